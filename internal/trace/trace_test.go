package trace

import (
	"bytes"
	"errors"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"testing"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

func testHeader() *Header {
	return &Header{Startup: startup.Config{Config: control.Config{Methods: []control.Method{{Name: "view", LatencyObjective: 100}}}, Gauges: []string{"core_use"}}, SlowStart: true, OriginMS: 5, Build: "b"}
}

// testEntry returns the test entry at an index, the same on every call.
func testEntry(i int) Entry {
	random := rand.New(rand.NewSource(int64(i)))
	e := Entry{Now: random.Float64() * 1e6, Token: random.Uint64()}
	e.Event = control.Event{
		Kind: control.EventKind(i % int(control.TimerFired+1)), RPC: uint32(i), Method: i % 3, Customer: i % 5, Caller: uint16(i), Subject: random.Uint64(),
		DuplicateOf: uint32(i / 2), Remaining: random.Float64(), Age: -random.Float64(), CostHint: random.ExpFloat64(), QueuedKB: 1, Retry: i%2 == 0,
		Outcome: control.Outcome(i % int(control.OutcomeNotStarted+1)), Elapsed: float64(i), Label: uint64(i),
		Gauges: control.Gauges{Stale: i%7 == 0, CPUUtilization: 0.5, Runnable: 3},
	}
	for k := range i % 4 {
		e.Actions = append(e.Actions, control.Action{Kind: []control.ActionKind{control.Run, control.Reject, control.Abort, control.Join}[k], RPC: uint32(k), Time: float64(k), NoRetry: k%2 == 0})
	}
	return e
}

// writeTrace writes a trace of n test entries.
func writeTrace(t *testing.T, path string, n int, limits FileLimits) {
	t.Helper()
	w, err := Create(path, testHeader(), limits)
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		e := testEntry(i)
		w.Event(e.Now, e.Event, append(e.Actions, control.Action{Kind: control.SetTimer}), e.Token)
		for len(w.fullBlocks) > maxQueuedBlocks/2 { // wait for the disk, so that nothing is dropped
			time.Sleep(time.Millisecond)
		}
	}
	w.Close()
	w.Event(1, control.Event{}, nil, 0) // has no effect after Close
	w.Close()
	if w.Dropped.Load()+w.FailedBlocks.Load() > 0 {
		t.Fatalf("got %d dropped entries and %d failed blocks, want none", w.Dropped.Load(), w.FailedBlocks.Load())
	}
}

// readAll returns all entries up to the first error, which is io.EOF at the end.
func readAll(r *Reader) (got []Entry, err error) {
	for {
		e, err := r.Next()
		if err != nil {
			return got, err
		}
		e.Actions = append([]control.Action(nil), e.Actions...)
		got = append(got, e)
	}
}

func TestRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t")
	const n = 5000
	writeTrace(t, path, n, FileLimits{MaxFileBytes: 1 << 30, MaxFiles: 1})
	r, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	if !reflect.DeepEqual(r.Header, *testHeader()) {
		t.Errorf("header: got %+v", r.Header)
	}
	got, err := readAll(r)
	if !errors.Is(err, io.EOF) || len(got) != n {
		t.Fatalf("read: got %d entries, error %v", len(got), err)
	}
	for i, e := range got {
		if want := testEntry(i); !reflect.DeepEqual(e, want) {
			t.Fatalf("entry %d: got %+v, want %+v", i, e, want)
		}
	}
}

// TestRotation checks that files are rotated, that the configured number of them is retained, and that they are read as one trace.
func TestRotation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t")
	writeTrace(t, path, 20000, FileLimits{MaxFileBytes: 100 << 10, MaxFiles: 3})
	files := Files(path)
	if len(files) != 3 || files[2] != path {
		t.Fatalf("files after rotation: got %v", files)
	}
	r, err := Open(files...)
	if err != nil {
		t.Fatal(err)
	}
	got, err := readAll(r)
	if !errors.Is(err, io.EOF) || len(got) < 2000 {
		t.Fatalf("read: got %d entries, error %v", len(got), err)
	}
	for i, e := range got {
		if e.Event.RPC != uint32(20000-len(got)+i) {
			t.Fatalf("entry %d: got RPC %d", i, e.Event.RPC)
		}
	}
}

// TestDamage checks that damage to a file is reported and that the complete entries before it are read.
func TestDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t")
	writeTrace(t, path, 5000, FileLimits{MaxFileBytes: 1 << 30, MaxFiles: 1})
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		change func(b []byte) []byte
		begin  error // expected from Begin
		want   error // expected after the last entry
		least  int   // minimum number of entries read
	}{
		{"empty file", func([]byte) []byte { return nil }, ErrNotTrace, nil, 0},
		{"another file", func([]byte) []byte { return []byte("{\"name\":\"x\"}") }, ErrNotTrace, nil, 0},
		{"an older version", func(b []byte) []byte { b[7] = 0; return b }, ErrVersion, nil, 0},
		{"truncated within the header", func(b []byte) []byte { return b[:20] }, ErrTorn, nil, 0},
		{"a damaged header", func(b []byte) []byte { b[40] ^= 1; return b }, ErrDamaged, nil, 0},
		{"truncated within the last block", func(b []byte) []byte { return b[:len(b)-100] }, nil, ErrTorn, 2000},
		{"truncated within a block's header", func(b []byte) []byte { return append(b, 1, 2, 3) }, nil, ErrTorn, 5000},
		{"a flipped bit in the last block", func(b []byte) []byte { b[len(b)-100] ^= 4; return b }, nil, ErrDamaged, 2000},
		{"zeros after the last block", func(b []byte) []byte { return append(b, make([]byte, 4096)...) }, nil, ErrDamaged, 5000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &Reader{}
			err := r.Begin(bytes.NewReader(c.change(bytes.Clone(complete))))
			if !errors.Is(err, c.begin) {
				t.Fatalf("begin: got error %v, want %v", err, c.begin)
			}
			if c.begin != nil {
				return
			}
			got, err := readAll(r)
			if !errors.Is(err, c.want) || len(got) < c.least {
				t.Errorf("read: got %d entries, error %v, want error %v", len(got), err, c.want)
			}
		})
	}
}

// disk is a file whose writes fail once its free space is used up, and may block.
type disk struct {
	free  int           // remaining space in bytes
	block chan struct{} // if set, writes block until it is closed
	buf   *bytes.Buffer
	mu    *sync.Mutex
}

func (d *disk) Write(b []byte) (int, error) {
	if d.block != nil {
		<-d.block
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	n := min(len(b), d.free)
	d.free -= n
	d.buf.Write(b[:n])
	if n < len(b) {
		return n, errors.New("no space")
	}
	return n, nil
}

func (d *disk) Close() error { return nil }

// TestDiskFull checks that blocks that a full disk rejects are lost and counted without blocking Event, and that the entries
// written before can be read up to the torn block.
func TestDiskFull(t *testing.T) {
	var mu sync.Mutex
	buf := &bytes.Buffer{}
	opened := 0
	w, err := create("t", testHeader(), FileLimits{MaxFileBytes: 1 << 30, MaxFiles: 1}, func(string) (File, error) {
		if opened++; opened > 1 {
			return nil, errors.New("no space")
		}
		return &disk{free: 60 << 10, buf: buf, mu: &mu}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20000 {
		e := testEntry(i)
		w.Event(e.Now, e.Event, e.Actions, 0)
		for len(w.fullBlocks) == maxQueuedBlocks {
			time.Sleep(time.Millisecond)
		}
	}
	w.Close()
	if w.FailedBlocks.Load() == 0 {
		t.Error("no block failed on a full disk")
	}
	r := &Reader{}
	if err := r.Begin(buf); err != nil {
		t.Fatal(err)
	}
	if got, err := readAll(r); !errors.Is(err, ErrTorn) || len(got) == 0 {
		t.Errorf("read: got %d entries, error %v", len(got), err)
	}
}

// TestDiskStalls checks that Event does not block on a stalled disk: entries are dropped, and the next one that is recorded
// contains their number.
func TestDiskStalls(t *testing.T) {
	var mu sync.Mutex
	buf := &bytes.Buffer{}
	d := &disk{free: 1 << 30, buf: buf, mu: &mu}
	w, err := create("t", testHeader(), FileLimits{MaxFileBytes: 1 << 30, MaxFiles: 1}, func(string) (File, error) { return d, nil })
	if err != nil {
		t.Fatal(err)
	}
	block := make(chan struct{})
	d.block = block
	const n = 40000
	for i := range n {
		e := testEntry(i)
		w.Event(e.Now, e.Event, e.Actions, 0)
	}
	if w.Dropped.Load() == 0 {
		t.Fatal("no entry was dropped on a stalled disk")
	}
	close(block)
	for len(w.fullBlocks) > 0 {
		time.Sleep(time.Millisecond)
	}
	w.Event(1, control.Event{}, nil, 0) // records the number of entries dropped before it
	w.Close()
	r := &Reader{}
	if err := r.Begin(buf); err != nil {
		t.Fatal(err)
	}
	got, err := readAll(r)
	reportedDropped := 0
	for _, e := range got {
		reportedDropped += e.Dropped
	}
	if !errors.Is(err, io.EOF) || reportedDropped == 0 || uint64(len(got))+w.Dropped.Load() != n+1 {
		t.Errorf("got %d entries, %d dropped, %d reported as dropped, error %v", len(got), w.Dropped.Load(), reportedDropped, err)
	}
}

func FuzzReader(f *testing.F) {
	path := filepath.Join(f.TempDir(), "t")
	w, err := Create(path, testHeader(), FileLimits{MaxFileBytes: 1 << 30, MaxFiles: 1})
	if err != nil {
		f.Fatal(err)
	}
	for i := range 20 {
		e := testEntry(i)
		w.Event(e.Now, e.Event, e.Actions, e.Token)
	}
	w.Close()
	b, err := os.ReadFile(path)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		r := &Reader{}
		if r.Begin(bytes.NewReader(b)) != nil {
			return
		}
		for n := 0; n < 1e5; n++ {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}

func FuzzEntry(f *testing.F) {
	var scratch []byte
	for i := range 8 {
		e := testEntry(i)
		f.Add(appendEntry(nil, &e, &scratch)[3:])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := parseEntry(b, nil)
		if err == nil && e.String() == "" {
			t.Error("text of a valid entry is empty")
		}
	})
}

func BenchmarkEvent(b *testing.B) {
	w, err := create("t", testHeader(), FileLimits{MaxFileBytes: 1 << 40, MaxFiles: 1}, func(string) (File, error) {
		return &disk{free: 1 << 62, buf: &bytes.Buffer{}, mu: &sync.Mutex{}}, nil
	})
	if err != nil {
		b.Fatal(err)
	}
	e := testEntry(1)
	b.ReportAllocs()
	for b.Loop() {
		w.Event(e.Now, e.Event, e.Actions, e.Token)
	}
	w.Close()
}
