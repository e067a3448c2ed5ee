// Package compare benchmarks the store against libraries that could be used in its place. Each of them durably records the
// start and the end of tokens for many concurrent callers. The package contains no production code.
package compare

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"go.etcd.io/bbolt"

	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/store"
)

// tokenLog is the interface through which each library is measured.
type tokenLog interface {
	put(key uint64, value []byte) error // durable when it returns
	close() error
}

type logStore struct{ s *store.Store }

func (l logStore) put(key uint64, value []byte) error {
	done := make(chan error, 1)
	l.s.RecordEnd(store.Fingerprint{key, key}, recovery.Succeeded, 1, 2e12, nil, value, func(err error) { done <- err })
	return <-done
}
func (l logStore) close() error { return l.s.Close() }

type boltStore struct{ db *bbolt.DB }

var bucket = []byte("tokens")

func (b boltStore) put(key uint64, value []byte) error {
	return b.db.Batch(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucket).Put(binary.BigEndian.AppendUint64(nil, key), value)
	})
}
func (b boltStore) close() error { return b.db.Close() }

type pebbleStore struct{ db *pebble.DB }

func (p pebbleStore) put(key uint64, value []byte) error {
	return p.db.Set(binary.BigEndian.AppendUint64(nil, key), value, pebble.Sync)
}
func (p pebbleStore) close() error { return p.db.Close() }

func open(name, dir string) (tokenLog, error) {
	switch name {
	case "log":
		fs, err := store.OpenDir(dir)
		if err != nil {
			return nil, err
		}
		s, err := store.Open(fs, store.Limits{MaxBytes: 4 << 30, SegmentBytes: 8 << 20, MaxResultBytes: 16 << 10, MaxWindow: 1e9, ClockTolerance: 1000}, "n",
			func() float64 { return float64(time.Now().UnixMilli()) }, func(string, error) {})
		return logStore{s}, err
	case "bbolt":
		db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, nil)
		if err != nil {
			return nil, err
		}
		db.MaxBatchDelay = time.Millisecond // the default of 10 ms would dominate the latency
		return boltStore{db}, db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucketIfNotExists(bucket); return err })
	}
	db, err := pebble.Open(dir, &pebble.Options{Logger: quietLogger{}})
	return pebbleStore{db}, err
}

type quietLogger struct{}

func (quietLogger) Infof(string, ...any)      {}
func (quietLogger) Errorf(string, ...any)     {}
func (quietLogger) Fatalf(f string, a ...any) { panic(fmt.Sprintf(f, a...)) }

// sizeOf returns the total size of all files in a folder. Files that are removed during the walk are left out.
func sizeOf(dir string) (n int64, err error) {
	err = filepath.Walk(dir, func(_ string, i os.FileInfo, err error) error {
		if err == nil && !i.IsDir() {
			n += i.Size()
		}
		return nil
	})
	return n, err
}

// BenchmarkToken measures one empty record at the start and one of 512 bytes at the end of each token, with 32 concurrent
// callers.
func BenchmarkToken(b *testing.B) {
	for _, name := range []string{"log", "bbolt", "pebble"} {
		b.Run(name, func(b *testing.B) {
			dir := b.TempDir()
			log, err := open(name, dir)
			if err != nil {
				b.Fatal(err)
			}
			var next atomic.Uint64
			var wg sync.WaitGroup
			remaining := atomic.Int64{}
			remaining.Store(int64(b.N))
			result := make([]byte, 512)
			for i := range result {
				result[i] = byte(i * 31)
			}
			b.ResetTimer()
			for range 32 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for remaining.Add(-1) >= 0 {
						key := next.Add(1) * 0x9e3779b97f4a7c15
						if log.put(key, nil) != nil || log.put(key, result) != nil {
							b.Error("record was not written")
							return
						}
					}
				}()
			}
			wg.Wait()
			b.StopTimer()
			size, err := sizeOf(dir)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(size)/float64(b.N), "disk-B/op")
			if err := log.close(); err != nil {
				b.Fatal(err)
			}
			began := time.Now()
			if log, err = open(name, dir); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "reopen-ms")
			if err := log.close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}
