package permitserver

// This file owns the check of the log's file before a replica serves from it. A replica must never vote or answer by a log
// that it can't read completely.

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
)

// openTimeout bounds the wait for the lock on the file, which another process holds while it serves from the directory.
const openTimeout = time.Second

// verifyLog reads all that a log's file holds, so that a torn or truncated file is found here and not by a later reader. A
// file that does not exist is complete.
func verifyLog(path string) (err error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	// The file is mapped into memory, and what lies beyond its end faults.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("%s: the log is torn: %v", path, x)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: openTimeout, PreLoadFreelist: true})
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = db.Close() }() // it is only read
	if err := db.View(readAll); err != nil {
		return fmt.Errorf("%s: the log is torn: %w", path, err)
	}
	return nil
}

// readAll touches each page of all keys and values.
func readAll(tx *bbolt.Tx) error {
	const stride = 512 // no page is smaller
	parity := 0        // keeps the reads from being optimized away
	return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error {
		return b.ForEach(func(k, v []byte) error {
			for _, x := range [...][]byte{k, v} {
				for i := 0; i < len(x); i += stride {
					parity += int(x[i] & 1)
				}
			}
			return nil
		})
	})
}
