package store_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const window = 10e3

var defaultLimits = store.Limits{MaxBytes: 1 << 20, SegmentBytes: 8 << 10, MaxResultBytes: 1 << 10, MaxWindow: window, ClockTolerance: 500}

// failer is what testing.T and rapid.T have in common.
type failer interface {
	Errorf(string, ...any)
	Fatalf(string, ...any)
}

// rig is a store on a simulated disk that injects faults, with a clock that the test advances.
type rig struct {
	t        failer
	disk     *standin.Disk
	limits   store.Limits
	store    *store.Store
	mu       sync.Mutex
	nowMs    float64
	window   float64 // deduplication window of the current settings, if longer than the one that records were written with
	logLines []string
}

func (r *rig) now() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nowMs
}

func (r *rig) advance(ms float64) {
	r.mu.Lock()
	r.nowMs += ms
	r.mu.Unlock()
}

func (r *rig) open() error {
	s, err := store.Open(r.disk.Folder(), r.limits, "n1", r.now, func(text string, err error) {
		r.mu.Lock()
		r.logLines = append(r.logLines, fmt.Sprint(text, " ", err))
		r.mu.Unlock()
	})
	r.store = s
	return err
}

func (r *rig) mustOpen() {
	if err := r.open(); err != nil {
		r.t.Fatalf("open: %v", err)
	}
}

func start(t failer, limits store.Limits) *rig {
	r := &rig{t: t, disk: standin.NewDisk(1), limits: limits, nowMs: 1.7e12}
	r.mustOpen()
	return r
}

// close closes the store and fails the test on an error.
func (r *rig) close() {
	if r.store == nil {
		return // the store could not be opened
	}
	if err := r.store.Close(); err != nil {
		r.t.Errorf("close: %v", err)
	}
}

// crash simulates a power loss: operations in progress fail, and the store is opened again.
func (r *rig) crash() {
	r.disk.PowerOff()
	_ = r.store.Close() // fails, as the power is off
	r.disk.Configure(func(d *standin.Disk) { d.FailSyncs = 0 })
	r.mustOpen()
}

func (r *rig) begin(key string, body uint64) error {
	if rejection := r.store.Reserve(); rejection != nil {
		return errors.New(rejection.Reason)
	}
	done := make(chan error, 1)
	r.store.RecordStart(store.FingerprintOf(key), body, r.now()+window, func(err error) { done <- err })
	return <-done
}

func (r *rig) end(key string, state recovery.State, body uint64, result string) error {
	done := make(chan error, 1)
	r.store.RecordEnd(store.FingerprintOf(key), state, body, r.now()+window, []byte("head"), []byte(result), func(err error) { done <- err })
	return <-done
}

// mustBegin calls begin and fails the test on an error.
func (r *rig) mustBegin(key string, body uint64) {
	if err := r.begin(key, body); err != nil {
		r.t.Fatalf("record start of %s: %v", key, err)
	}
}

// mustEnd calls end and fails the test on an error.
func (r *rig) mustEnd(key string, state recovery.State, body uint64, result string) {
	if err := r.end(key, state, body, result); err != nil {
		r.t.Fatalf("record end of %s: %v", key, err)
	}
}

// resolution returns a short text for how a duplicate is answered.
func (r *rig) resolution(key string, body uint64) string {
	entry, ok, err := r.store.Lookup(store.FingerprintOf(key))
	switch {
	case err != nil:
		return "unreadable"
	case !ok:
		return "unknown"
	}
	switch recovery.Resolve(entry.Entry, r.now(), body, r.window, r.limits.ClockTolerance) {
	case recovery.ReplayResult:
		return "answer " + string(entry.Result)
	case recovery.MayHaveRun:
		return "may have run"
	case recovery.HasRun:
		return "has run"
	case recovery.BodyMismatch:
		return "other body"
	}
	return "unknown"
}

func (r *rig) expect(want, key string) {
	if got := r.resolution(key, 7); got != want {
		r.t.Fatalf("resolution of %s: got %q, want %q; log %q", key, got, want, r.logLines)
	}
}

// segment returns the name of the nth segment; a negative n counts from the last one.
func (r *rig) segment(n int) string {
	var segments []string
	for _, name := range r.disk.Files() {
		if strings.HasSuffix(name, ".seg") {
			segments = append(segments, name)
		}
	}
	if n < 0 {
		n += len(segments)
	}
	return segments[n]
}

// TestModel compares the store with a model, with power losses at any step. A confirmed record must be found, an unconfirmed
// one may be found as it was written or not at all, and nothing may be found that was never written.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := defaultLimits
		limits.SegmentBytes = 600
		r := start(t, limits)
		defer r.close()
		r.disk.Configure(func(*standin.Disk) {})
		type tokenState struct {
			certain  string          // the only valid resolution; "" if there are several
			possible map[string]bool // the valid resolutions if there are several
		}
		model := map[string]*tokenState{}
		get := func(key string) *tokenState {
			if model[key] == nil {
				model[key] = &tokenState{certain: "unknown"}
			}
			return model[key]
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			state := get(key)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if state.certain != "unknown" {
					continue
				}
				if err := r.begin(key, 7); err == nil {
					state.certain = "may have run"
				} else {
					state.certain, state.possible = "", map[string]bool{"unknown": true, "may have run": true}
				}
			case 2:
				if state.certain != "may have run" {
					continue
				}
				if err := r.end(key, recovery.Succeeded, 7, key); err == nil {
					state.certain = "answer " + key
				} else {
					state.certain, state.possible = "", map[string]bool{"answer " + key: true, "may have run": true}
				}
			case 3:
				r.crash()
			case 4: // power loss while a record is queued
				if state.certain != "unknown" || r.store.Reserve() != nil {
					continue
				}
				done := make(chan error, 1)
				r.store.RecordStart(store.FingerprintOf(key), 7, r.now()+window, func(err error) { done <- err })
				r.crash()
				if <-done == nil {
					state.certain = "may have run"
				} else {
					state.certain, state.possible = "", map[string]bool{"unknown": true, "may have run": true}
				}
			case 5:
				r.disk.Configure(func(d *standin.Disk) { d.FailSyncs = rapid.IntRange(0, 1).Draw(t, "syncs") })
			}
			for key, state := range model {
				got := r.resolution(key, 7)
				if state.certain != "" && got != state.certain || state.certain == "" && !state.possible[got] {
					t.Fatalf("resolution of %s: got %q, want %q or one of %v; log %q", key, got, state.certain, state.possible, r.logLines)
				}
			}
		}
	})
}

// TestLock checks that a folder can't be opened twice, and can be opened again after it was closed.
func TestLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	a, err := store.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.OpenDir(path); !errors.Is(err, store.ErrLocked) {
		t.Error(err)
	}
	if err := a.Close(); err != nil {
		t.Error(err)
	}
	b, err := store.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = b.Close() }() // already closed by the store unless the test failed before
	s, err := store.Open(b, defaultLimits, "n", func() float64 { return 1e12 }, func(string, error) {})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(filepath.Join(path, "00000001.seg")); err != nil {
		t.Error(err)
	}
}

// TestGroupCommit checks that concurrent records share syncs.
func TestGroupCommit(t *testing.T) {
	r := start(t, store.Limits{MaxBytes: 1 << 24, SegmentBytes: 1 << 22, MaxResultBytes: 1 << 10, MaxWindow: window, ClockTolerance: 500})
	defer r.close()
	r.disk.Configure(func(d *standin.Disk) { d.Delay = 2 * time.Millisecond })
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := r.begin(fmt.Sprint(i), 7); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	if status := r.store.Status(); status.Syncs > 50 || status.Records != 200 {
		t.Errorf("status: got %+v, want 200 records and at most 50 syncs", status)
	}
}

func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{100000, 1000000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			path := b.TempDir()
			limits := store.Limits{MaxBytes: 4 << 30, SegmentBytes: 16 << 20, MaxResultBytes: 1 << 10, MaxWindow: 1e9, ClockTolerance: 500}
			open := func() *store.Store {
				fs, err := store.OpenDir(path)
				if err != nil {
					b.Fatal(err)
				}
				s, err := store.Open(fs, limits, "n", func() float64 { return 1e12 }, func(string, error) {})
				if err != nil {
					b.Fatal(err)
				}
				return s
			}
			s := open()
			var wg sync.WaitGroup
			for i := range n {
				wg.Add(1)
				s.RecordEnd(store.FingerprintOf(fmt.Sprint(i)), recovery.Succeeded, 7, 2e12, nil, []byte("bought for 20 dollars"), func(error) { wg.Done() })
			}
			wg.Wait()
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
			var status store.Status
			for b.Loop() {
				s := open()
				status = s.Status()
				if err := s.Close(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(status.IndexKB*1024/float64(n), "B/entry")
			b.ReportMetric(status.RecoveryTime.Seconds(), "s")
		})
	}
}
