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

// rig is a store on a disk that can fail, with a clock that the test moves.
type rig struct {
	t      failer
	disk   *standin.Disk
	b      store.Limits
	s      *store.Store
	mu     sync.Mutex
	at     float64
	window float64 // of the settings of now, where it is longer
	lines  []string
}

func (r *rig) now() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

func (r *rig) advance(ms float64) {
	r.mu.Lock()
	r.at += ms
	r.mu.Unlock()
}

func (r *rig) open() error {
	s, err := store.Open(r.disk.Folder(), r.b, "n1", r.now, func(text string, err error) {
		r.mu.Lock()
		r.lines = append(r.lines, fmt.Sprint(text, " ", err))
		r.mu.Unlock()
	})
	r.s = s
	return err
}

func (r *rig) mustOpen() {
	if err := r.open(); err != nil {
		r.t.Fatalf("open: %v", err)
	}
}

func start(t failer, b store.Limits) *rig {
	r := &rig{t: t, disk: standin.NewDisk(1), b: b, at: 1.7e12}
	r.mustOpen()
	return r
}

// close closes the store, which must succeed.
func (r *rig) close() {
	if r.s == nil {
		return // it could not be opened
	}
	if err := r.s.Close(); err != nil {
		r.t.Errorf("close: %v", err)
	}
}

// crash is a power loss: what is under way fails, and the store is opened again.
func (r *rig) crash() {
	r.disk.PowerOff()
	_ = r.s.Close() // the power is off
	r.disk.Configure(func(d *standin.Disk) { d.FailSyncs = 0 })
	r.mustOpen()
}

func (r *rig) begin(key string, body uint64) error {
	if x := r.s.Reserve(); x != nil {
		return errors.New(x.Reason)
	}
	done := make(chan error, 1)
	r.s.RecordStart(store.FingerprintOf(key), body, r.now()+window, func(err error) { done <- err })
	return <-done
}

func (r *rig) end(key string, state recovery.State, body uint64, result string) error {
	done := make(chan error, 1)
	r.s.RecordEnd(store.FingerprintOf(key), state, body, r.now()+window, []byte("head"), []byte(result), func(err error) { done <- err })
	return <-done
}

// mustBegin is begin, which must succeed.
func (r *rig) mustBegin(key string, body uint64) {
	if err := r.begin(key, body); err != nil {
		r.t.Fatalf("begin %s: %v", key, err)
	}
}

// mustEnd is end, which must succeed.
func (r *rig) mustEnd(key string, state recovery.State, body uint64, result string) {
	if err := r.end(key, state, body, result); err != nil {
		r.t.Fatalf("end %s: %v", key, err)
	}
}

// resolution is how a duplicate is answered, in short.
func (r *rig) resolution(key string, body uint64) string {
	f, has, err := r.s.Lookup(store.FingerprintOf(key))
	switch {
	case err != nil:
		return "unreadable"
	case !has:
		return "unknown"
	}
	switch recovery.Resolve(f.Entry, r.now(), body, r.window, r.b.ClockTolerance) {
	case recovery.ReplayResult:
		return "answer " + string(f.Result)
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
		r.t.Fatalf("%s: %q, want %q; log %q", key, got, want, r.lines)
	}
}

func (r *rig) segment(n int) string {
	var all []string
	for _, name := range r.disk.Files() {
		if strings.HasSuffix(name, ".seg") {
			all = append(all, name)
		}
	}
	if n < 0 {
		n += len(all)
	}
	return all[n]
}

// TestModel compares the store with a model, with power losses at any step: what was confirmed is found, what was not is
// found as it was written or not at all, and nothing is found that was never written.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := defaultLimits
		b.SegmentBytes = 600
		r := start(t, b)
		defer r.close()
		r.disk.Configure(func(*standin.Disk) {})
		type known struct {
			sure  string          // what it must say; "" if it is not sure
			maybe map[string]bool // else one of these
		}
		model := map[string]*known{}
		get := func(key string) *known {
			if model[key] == nil {
				model[key] = &known{sure: "unknown"}
			}
			return model[key]
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			k := get(key)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if k.sure != "unknown" {
					continue
				}
				if err := r.begin(key, 7); err == nil {
					k.sure = "may have run"
				} else {
					k.sure, k.maybe = "", map[string]bool{"unknown": true, "may have run": true}
				}
			case 2:
				if k.sure != "may have run" {
					continue
				}
				if err := r.end(key, recovery.Succeeded, 7, key); err == nil {
					k.sure = "answer " + key
				} else {
					k.sure, k.maybe = "", map[string]bool{"answer " + key: true, "may have run": true}
				}
			case 3:
				r.crash()
			case 4: // the power goes while records are on their way
				if k.sure != "unknown" || r.s.Reserve() != nil {
					continue
				}
				done := make(chan error, 1)
				r.s.RecordStart(store.FingerprintOf(key), 7, r.now()+window, func(err error) { done <- err })
				r.crash()
				if <-done == nil {
					k.sure = "may have run"
				} else {
					k.sure, k.maybe = "", map[string]bool{"unknown": true, "may have run": true}
				}
			case 5:
				r.disk.Configure(func(d *standin.Disk) { d.FailSyncs = rapid.IntRange(0, 1).Draw(t, "syncs") })
			}
			for key, k := range model {
				got := r.resolution(key, 7)
				if k.sure != "" && got != k.sure || k.sure == "" && !k.maybe[got] {
					t.Fatalf("%s: %q, want %q or %v; log %q", key, got, k.sure, k.maybe, r.lines)
				}
			}
		}
	})
}

// TestLock checks that two processes can't use one folder.
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
	defer func() { _ = b.Close() }() // closed by the store already, unless that was not opened
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
	if st := r.s.Status(); st.Syncs > 50 || st.Records != 200 {
		t.Errorf("%+v", st)
	}
}

func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{100000, 1000000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			path := b.TempDir()
			bounds := store.Limits{MaxBytes: 4 << 30, SegmentBytes: 16 << 20, MaxResultBytes: 1 << 10, MaxWindow: 1e9, ClockTolerance: 500}
			open := func() *store.Store {
				fs, err := store.OpenDir(path)
				if err != nil {
					b.Fatal(err)
				}
				s, err := store.Open(fs, bounds, "n", func() float64 { return 1e12 }, func(string, error) {})
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
			var st store.Status
			for b.Loop() {
				s := open()
				st = s.Status()
				if err := s.Close(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(st.IndexKB*1024/float64(n), "B/entry")
			b.ReportMetric(st.RecoveryTime.Seconds(), "s")
		})
	}
}
