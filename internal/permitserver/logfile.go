package permitserver

// This file implements the check of the log file before a replica serves from it. A replica must never vote or respond from a
// log that it can't read completely.

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
)

// openTimeout bounds the wait for the lock on the file. Another process holds it while it serves from the directory.
const openTimeout = time.Second

// verifyLog reads all keys and values of a log file, so that a torn or truncated file is detected here and not by a later
// read. A file that does not exist is valid.
func verifyLog(path string) (err error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	// The file is memory-mapped: an access beyond the end of a truncated file causes a page fault.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%s: the log is torn: %v", path, cause)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: openTimeout, PreLoadFreelist: true})
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = db.Close() }() // opened read-only
	if err := db.View(readAll); err != nil {
		return fmt.Errorf("%s: the log is torn: %w", path, err)
	}
	return nil
}

// readAll reads at least one byte of each page that holds keys or values.
func readAll(tx *bbolt.Tx) error {
	const stride = 512 // bytes; no page is smaller
	parity := 0        // keeps the reads from being optimized away
	return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error {
		return b.ForEach(func(k, v []byte) error {
			for _, data := range [...][]byte{k, v} {
				for i := 0; i < len(data); i += stride {
					parity += int(data[i] & 1)
				}
			}
			return nil
		})
	})
}
