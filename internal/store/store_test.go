package store_test

import (
	"errors"
	"fmt"
	"math/rand"
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

// What each fault does: the table of docs/operate/store.md.
func TestFaults(t *testing.T) {
	cases := []struct {
		name string
		do   func(r *rig)
	}{
		{"a restart", func(r *rig) {
			r.mustBegin("a", 7)
			r.mustEnd("a", recovery.Succeeded, 7, strings.Repeat("x", 600))
			r.mustBegin("b", 7)
			r.mustBegin("c", 7)
			r.mustEnd("c", recovery.Failed, 7, "")
			r.mustBegin("d", 7)
			r.mustEnd("d", recovery.Succeeded, 7, strings.Repeat("x", 2000))
			r.mustBegin("e", 7)
			r.mustEnd("e", recovery.NeverRan, 7, "")
			r.crash()
			r.expect("answer "+strings.Repeat("x", 600), "a")
			r.expect("may have run", "b")
			r.expect("may have run", "c")
			r.expect("has run", "d")
			r.expect("unknown", "e")
			r.expect("unknown", "f")
			if got := r.resolution("a", 8); got != "other body" {
				r.t.Fatalf("says %q", got)
			}
		}},
		{"entries age out, and their segments go", func(r *rig) {
			for i := range 100 {
				r.mustBegin(fmt.Sprint(i), 7)
				r.mustEnd(fmt.Sprint(i), recovery.Succeeded, 7, "x")
			}
			before := r.s.Status()
			r.advance(window + 1000)
			r.expect("unknown", "1")
			r.s.Reserve()
			if after := r.s.Status(); before.Segments < 2 || after.Segments != 1 || after.UsedBytes > 9000 {
				r.t.Fatalf("before %+v, after %+v", before, after)
			}
		}},
		{"a run that goes on keeps its segment", func(r *rig) {
			r.mustBegin("long", 7)
			for i := range 200 {
				r.mustBegin(fmt.Sprint(i), 7)
				r.mustEnd(fmt.Sprint(i), recovery.Succeeded, 7, "x")
			}
			r.advance(window + 1000)
			r.s.Reserve()
			if n := r.s.Status().Segments; n < 2 {
				r.t.Fatalf("%d segments", n)
			}
			r.mustEnd("long", recovery.Succeeded, 7, "late")
			r.s.Reserve()
			r.expect("answer late", "long")
			if n := r.s.Status().Segments; n != 1 {
				r.t.Fatalf("%d segments", n)
			}
		}},
		{"a torn tail", func(r *rig) {
			r.mustBegin("a", 7)
			r.disk.Configure(func(d *standin.Disk) { d.ShortWrites = true })
			if r.begin("b", 7) == nil {
				r.t.Fatalf("begun on a disk that takes half")
			}
			r.disk.Configure(func(d *standin.Disk) { d.ShortWrites = false })
			r.crash()
			r.expect("may have run", "a")
			if x := r.s.Reserve(); x != nil {
				r.t.Fatalf("%+v", x)
			}
		}},
		{"a flipped bit before the tail: nothing new until all windows are over", func(r *rig) {
			for i := range 10 {
				r.mustBegin(fmt.Sprint(i), 7)
			}
			r.disk.FlipBit(r.segment(-1), 100)
			r.crash()
			x := r.s.Reserve()
			if x == nil || x.RetryAfterMs < window {
				r.t.Fatalf("%+v", x)
			}
			r.advance(window + 501)
			if x := r.s.Reserve(); x != nil {
				r.t.Fatalf("%+v", x)
			}
		}},
		{"a flipped bit in the last record: as a torn tail", func(r *rig) {
			r.mustBegin("a", 7)
			r.mustBegin("b", 7)
			r.disk.FlipBit(r.segment(-1), -3)
			r.crash()
			r.expect("may have run", "a")
		}},
		{"a sync that fails once: what it was to keep has not begun, and a new segment takes over", func(r *rig) {
			r.mustBegin("a", 7)
			r.disk.Configure(func(d *standin.Disk) { d.FailSyncs = 1 })
			if err := r.begin("b", 7); !errors.Is(err, store.ErrNotDurable) {
				r.t.Fatalf("%v", err)
			}
			if x := r.s.Reserve(); x == nil {
				r.t.Fatalf("it may begin on a broken disk")
			}
			r.mustEnd("a", recovery.Succeeded, 7, "x") // which begins the new segment
			if err := r.begin("c", 7); err != nil {
				r.t.Fatalf("%v", err)
			}
			r.crash()
			r.expect("answer x", "a")
			r.expect("unknown", "b")
			r.expect("may have run", "c")
		}},
		{"no space: what can't be remembered isn't begun, and ends have their room", func(r *rig) {
			n := 0
			for ; n < 1000; n++ {
				if r.begin(fmt.Sprint(n), 7) != nil {
					break
				}
			}
			x := r.s.Reserve()
			if x == nil || !strings.Contains(x.Reason, "full") || n == 1000 {
				r.t.Fatalf("%+v after %d", x, n)
			}
			incompressible := make([]byte, 1000)
			rand.New(rand.NewSource(1)).Read(incompressible)
			for i := range n {
				if err := r.end(fmt.Sprint(i), recovery.Succeeded, 7, string(incompressible)); err != nil {
					r.t.Fatalf("end %d of %d: %v", i, n, err)
				}
			}
			if st := r.s.Status(); st.UsedBytes > r.b.MaxBytes+r.b.SegmentBytes || st.ReservedBytes > 1 {
				r.t.Fatalf("%+v", st)
			}
			if x = r.s.Reserve(); x != nil && x.RetryAfterMs > window+1000 {
				r.t.Fatalf("%+v", x)
			}
			r.advance(window + 1000)
			if x := r.s.Reserve(); x != nil {
				r.t.Fatalf("%+v once all is over", x)
			}
		}},
		{"a disk that is full before the bounds are", func(r *rig) {
			r.mustBegin("a", 7)
			r.disk.Configure(func(d *standin.Disk) { d.FreeBytes = 10 })
			if r.begin("b", 7) == nil {
				r.t.Fatalf("begun without space")
			}
			r.disk.Configure(func(d *standin.Disk) { d.FreeBytes = -1 })
			for end := time.Now().Add(10 * time.Second); r.begin("c", 7) != nil; time.Sleep(time.Millisecond) {
				_ = r.end("x", recovery.NeverRan, 7, "") // it fails until there is space
				if time.Now().After(end) {
					r.t.Fatalf("never written again")
				}
			}
			r.crash()
			r.expect("may have run", "a")
		}},
		{"an entry that can't be read: it must not run", func(r *rig) {
			r.mustBegin("a", 7)
			r.disk.Configure(func(d *standin.Disk) { d.FailReads = true })
			r.expect("unreadable", "a")
			r.expect("unknown", "b")
		}},
		{"reads that fail during recovery", func(r *rig) {
			r.mustBegin("a", 7)
			r.close()
			r.disk.Configure(func(d *standin.Disk) { d.FailReads = true })
			if err := r.open(); err == nil {
				r.t.Fatalf("opened")
			}
			r.disk.Configure(func(d *standin.Disk) { d.FailReads = false })
			r.mustOpen()
			r.expect("may have run", "a")
		}},
		{"a store of another version, and of another server: untouched", func(r *rig) {
			r.mustBegin("a", 7)
			r.close()
			name := r.segment(-1)
			if _, err := store.Open(r.disk.Folder(), r.b, "n2", r.now, func(string, error) {}); !errors.Is(err, store.ErrOwner) {
				r.t.Fatalf("%v", err)
			}
			r.disk.FlipBit(name, 7) // the version
			if err := r.open(); !errors.Is(err, store.ErrVersion) {
				r.t.Fatalf("%v", err)
			}
			r.disk.FlipBit(name, 7)
			r.mustOpen()
			r.expect("may have run", "a")
		}},
		{"a clock stepped back by more than a window, and forward", func(r *rig) {
			r.mustBegin("a", 7)
			r.mustEnd("a", recovery.Succeeded, 7, "x")
			r.advance(-3 * window)
			r.crash()
			r.expect("answer x", "a") // kept longer, never shorter
			r.advance(3*window + window + 400)
			r.crash()
			r.expect("answer x", "a") // within the tolerance
			r.advance(200)
			r.expect("unknown", "a")
		}},
		{"a window longer than before in the new settings", func(r *rig) {
			r.mustBegin("a", 7)
			r.mustEnd("a", recovery.Succeeded, 7, "x")
			r.close()
			r.b.MaxWindow, r.window = 3*window, 3*window
			r.mustOpen()
			r.advance(2 * window)
			if r.s.Reserve(); r.s.Status().Segments != 2 {
				r.t.Fatalf("its segment is gone")
			}
			r.expect("answer x", "a")
			r.advance(window + 1000)
			r.expect("unknown", "a")
		}},
		{"the power goes again and again while it is read", func(r *rig) {
			r.mustBegin("a", 7)
			r.mustEnd("a", recovery.Succeeded, 7, "x")
			for range 20 {
				r.crash()
			}
			r.expect("answer x", "a")
			if x := r.s.Reserve(); x != nil {
				r.t.Fatalf("%+v", x)
			}
		}},
		{"closed while records are on their way", func(r *rig) {
			r.s.Reserve()
			done := make(chan error, 1)
			r.s.RecordStart(store.FingerprintOf("a"), 7, r.now()+window, func(err error) { done <- err })
			r.close()
			if err := <-done; err != nil {
				r.t.Fatalf("%v", err)
			}
			r.s.RecordStart(store.FingerprintOf("b"), 7, r.now()+window, func(err error) { done <- err })
			if err := <-done; err == nil {
				r.t.Fatalf("begun after the end")
			}
			r.mustOpen()
			r.expect("may have run", "a")
			r.expect("unknown", "b")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, defaultLimits)
			defer r.close()
			c.do(r)
		})
	}
}

// Against a plain model, with the power going at any step: what was confirmed is found, what was not is found as it was
// written or not at all, and nothing is found that was never written.
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

// Two processes can't have one folder.
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

// Many at once share syncs.
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
