package store_test

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/store"
)

// faultCase is one fault of the disk, the process or the clock.
type faultCase struct {
	name string
	do   func(r *rig)
}

var faultCases = []faultCase{
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
			r.t.Fatalf("resolution %q", got)
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
	{"a run that goes on retains its segment", func(r *rig) {
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
			r.t.Fatalf("started on a disk that writes half")
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
	{"a sync that fails once: its records have not started a run, and a new segment takes over", func(r *rig) {
		r.mustBegin("a", 7)
		r.disk.Configure(func(d *standin.Disk) { d.FailSyncs = 1 })
		if err := r.begin("b", 7); !errors.Is(err, store.ErrNotDurable) {
			r.t.Fatalf("%v", err)
		}
		if x := r.s.Reserve(); x == nil {
			r.t.Fatalf("it may start on a broken disk")
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
	{"no space: what can't be recorded isn't started, and ends have their space", func(r *rig) {
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
			r.t.Fatalf("started without space")
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
		r.expect("answer x", "a") // retained longer, never shorter
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
			r.t.Fatalf("started after the end")
		}
		r.mustOpen()
		r.expect("may have run", "a")
		r.expect("unknown", "b")
	}},
}

// TestFaults shows what each fault does, as the table of docs/operate/store.md has it.
func TestFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, defaultLimits)
			defer r.close()
			c.do(r)
		})
	}
}
