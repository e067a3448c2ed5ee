package permitserver

// This file owns what a keeper asks of its disk before and while it serves: a log that is whole in all that is read of it, and
// commands that are what was written. A keeper that finds otherwise ends: the others go on without it, and it must never
// answer, vote or keep a copy by what it can't trust.

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"runtime/debug"
	"time"

	"github.com/hashicorp/raft"
	"github.com/klauspost/compress/zstd"
	"go.etcd.io/bbolt"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
)

// openWait is for the lock on the file, which another process holds while it serves from the folder.
const openTimeout = time.Second

// whole walks all that a log's file holds, so that one that was torn or cut short is found here and not by whoever reads it later. A
// file that is not there is whole.
func verifyLog(path string) (err error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // the file is mapped: what lies beyond its end faults
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("%s: the log is torn: %v", path, x)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: openTimeout, PreLoadFreelist: true})
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer db.Close()
	bytes := 0
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				for _, x := range [...][]byte{k, v} { // touched, each page of it
					for i := 0; i < len(x); i += 512 {
						bytes += int(x[i] & 1)
					}
				}
				return nil
			})
		})
	})
	if err != nil {
		return fmt.Errorf("%s: the log is torn: %w", path, err)
	}
	return nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errEntry is an entry of the log that is not as it was written.
var errCorruptEntry = errors.New("an entry of the log is not what was written")

// entry is one of the log: a command on permits, or one on releases.
type entry struct {
	permit.Command
	Release *release.Command `json:"release,omitempty"`
}

// seal makes an entry's bytes, with a checksum before them.
func seal(e *entry) ([]byte, error) {
	b, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	if len(b) >= compressFrom {
		b = compressor.EncodeAll(b, []byte{encodingZstd})
	} else {
		b = append([]byte{encodingPlain}, b...)
	}
	return append(binary.LittleEndian.AppendUint32(nil, crc32.Checksum(b, castagnoli)), b...), nil
}

// What a leader saw of 300 servers is 60 KB each 1.5 s of a release, and packs to an eighth.
const (
	encodingPlain, encodingZstd = byte(0), byte(1)
	compressFrom                = 2048
	maxEntryBytes               = 64 << 20
)

var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(1<<17))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxEntryBytes))
)

func unseal(b []byte) (e entry, err error) {
	if len(b) < 5 || crc32.Checksum(b[4:], castagnoli) != binary.LittleEndian.Uint32(b) {
		return e, errCorruptEntry
	}
	text := b[5:]
	if b[4] == encodingZstd {
		if text, err = decompressor.DecodeAll(text, nil); err != nil {
			return e, errCorruptEntry
		}
	}
	return e, json.Unmarshal(text, &e)
}

// late is a log on a slow disk, for tests: each write takes so much longer.
type delayedLog struct {
	raft.LogStore
	delay time.Duration
}

func (l delayedLog) StoreLog(e *raft.Log) error { return l.StoreLogs([]*raft.Log{e}) }
func (l delayedLog) StoreLogs(e []*raft.Log) error {
	time.Sleep(l.delay)
	return l.LogStore.StoreLogs(e)
}
