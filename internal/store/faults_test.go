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

// faultCase is one fault of the disk, the process or the clock, with the behaviour expected of the store.
type faultCase struct {
	name string
	run  func(r *rig)
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
			r.t.Fatalf("resolution with another body: got %q, want other body", got)
		}
	}},
	{"segments are dropped once all their windows have ended", func(r *rig) {
		for i := range 100 {
			r.mustBegin(fmt.Sprint(i), 7)
			r.mustEnd(fmt.Sprint(i), recovery.Succeeded, 7, "x")
		}
		before := r.store.Status()
		r.advance(window + 1000)
		r.expect("unknown", "1")
		r.store.Reserve()
		if after := r.store.Status(); before.Segments < 2 || after.Segments != 1 || after.UsedBytes > 9000 {
			r.t.Fatalf("status: got %+v before the windows ended, %+v after", before, after)
		}
	}},
	{"a run that has not ended retains its segment", func(r *rig) {
		r.mustBegin("long", 7)
		for i := range 200 {
			r.mustBegin(fmt.Sprint(i), 7)
			r.mustEnd(fmt.Sprint(i), recovery.Succeeded, 7, "x")
		}
		r.advance(window + 1000)
		r.store.Reserve()
		if n := r.store.Status().Segments; n < 2 {
			r.t.Fatalf("segments while the run is open: got %d, want at least 2", n)
		}
		r.mustEnd("long", recovery.Succeeded, 7, "late")
		r.store.Reserve()
		r.expect("answer late", "long")
		if n := r.store.Status().Segments; n != 1 {
			r.t.Fatalf("segments after the end of the run: got %d, want 1", n)
		}
	}},
	{"a torn tail", func(r *rig) {
		r.mustBegin("a", 7)
		r.disk.Configure(func(d *standin.Disk) { d.ShortWrites = true })
		if r.begin("b", 7) == nil {
			r.t.Fatalf("a run started although its record was written only in part")
		}
		r.disk.Configure(func(d *standin.Disk) { d.ShortWrites = false })
		r.crash()
		r.expect("may have run", "a")
		if rejection := r.store.Reserve(); rejection != nil {
			r.t.Fatalf("reserve after a torn tail: got rejection %+v", rejection)
		}
	}},
	{"a flipped bit before the tail: no run starts until all windows have ended", func(r *rig) {
		for i := range 10 {
			r.mustBegin(fmt.Sprint(i), 7)
		}
		r.disk.FlipBit(r.segment(-1), 100)
		r.crash()
		rejection := r.store.Reserve()
		if rejection == nil || rejection.RetryAfterMs < window {
			r.t.Fatalf("reserve after damage: got %+v, want a rejection for a whole window", rejection)
		}
		r.advance(window + 501)
		if rejection := r.store.Reserve(); rejection != nil {
			r.t.Fatalf("reserve after the end of all windows: got rejection %+v", rejection)
		}
	}},
	{"a flipped bit in the last record: treated as a torn tail", func(r *rig) {
		r.mustBegin("a", 7)
		r.mustBegin("b", 7)
		r.disk.FlipBit(r.segment(-1), -3)
		r.crash()
		r.expect("may have run", "a")
	}},
	{"a sync that fails once: its runs do not start, and writing continues in a new segment", func(r *rig) {
		r.mustBegin("a", 7)
		r.disk.Configure(func(d *standin.Disk) { d.FailSyncs = 1 })
		if err := r.begin("b", 7); !errors.Is(err, store.ErrNotDurable) {
			r.t.Fatalf("start with a failing sync: got error %v, want ErrNotDurable", err)
		}
		if rejection := r.store.Reserve(); rejection == nil {
			r.t.Fatalf("reserve on a broken disk: got no rejection")
		}
		r.mustEnd("a", recovery.Succeeded, 7, "x") // creates the new segment
		if err := r.begin("c", 7); err != nil {
			r.t.Fatalf("start in the new segment: %v", err)
		}
		r.crash()
		r.expect("answer x", "a")
		r.expect("unknown", "b")
		r.expect("may have run", "c")
	}},
	{"no space: runs that can't be recorded do not start, and the ends of started ones can be recorded", func(r *rig) {
		n := 0
		for ; n < 1000; n++ {
			if r.begin(fmt.Sprint(n), 7) != nil {
				break
			}
		}
		rejection := r.store.Reserve()
		if rejection == nil || !strings.Contains(rejection.Reason, "full") || n == 1000 {
			r.t.Fatalf("reserve in a full store: got %+v after %d starts", rejection, n)
		}
		incompressible := make([]byte, 1000)
		rand.New(rand.NewSource(1)).Read(incompressible)
		for i := range n {
			if err := r.end(fmt.Sprint(i), recovery.Succeeded, 7, string(incompressible)); err != nil {
				r.t.Fatalf("record end %d of %d: %v", i, n, err)
			}
		}
		if status := r.store.Status(); status.UsedBytes > r.limits.MaxBytes+r.limits.SegmentBytes || status.ReservedBytes > 1 {
			r.t.Fatalf("status after all ends: got %+v", status)
		}
		if rejection = r.store.Reserve(); rejection != nil && rejection.RetryAfterMs > window+1000 {
			r.t.Fatalf("reserve after all ends: got rejection %+v, want a shorter retry-after", rejection)
		}
		r.advance(window + 1000)
		if rejection := r.store.Reserve(); rejection != nil {
			r.t.Fatalf("reserve after the end of all windows: got rejection %+v", rejection)
		}
	}},
	{"a disk that is full before the store has reached its limits", func(r *rig) {
		r.mustBegin("a", 7)
		r.disk.Configure(func(d *standin.Disk) { d.FreeBytes = 10 })
		if r.begin("b", 7) == nil {
			r.t.Fatalf("a run started although the disk is full")
		}
		r.disk.Configure(func(d *standin.Disk) { d.FreeBytes = -1 })
		for end := time.Now().Add(10 * time.Second); r.begin("c", 7) != nil; time.Sleep(time.Millisecond) {
			_ = r.end("x", recovery.NeverRan, 7, "") // fails until there is space
			if time.Now().After(end) {
				r.t.Fatalf("writing did not resume after space became available")
			}
		}
		r.crash()
		r.expect("may have run", "a")
	}},
	{"an entry that can't be read: its token must not run", func(r *rig) {
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
			r.t.Fatalf("store was opened although reads fail")
		}
		r.disk.Configure(func(d *standin.Disk) { d.FailReads = false })
		r.mustOpen()
		r.expect("may have run", "a")
	}},
	{"a store of another version or another server is not changed", func(r *rig) {
		r.mustBegin("a", 7)
		r.close()
		name := r.segment(-1)
		if _, err := store.Open(r.disk.Folder(), r.limits, "n2", r.now, func(string, error) {}); !errors.Is(err, store.ErrOwner) {
			r.t.Fatalf("open as another server: got error %v, want ErrOwner", err)
		}
		r.disk.FlipBit(name, 7) // the byte of the version
		if err := r.open(); !errors.Is(err, store.ErrVersion) {
			r.t.Fatalf("open with another version: got error %v, want ErrVersion", err)
		}
		r.disk.FlipBit(name, 7)
		r.mustOpen()
		r.expect("may have run", "a")
	}},
	{"a clock that steps back by more than a window and then forward", func(r *rig) {
		r.mustBegin("a", 7)
		r.mustEnd("a", recovery.Succeeded, 7, "x")
		r.advance(-3 * window)
		r.crash()
		r.expect("answer x", "a") // a step back may retain an entry longer, never shorter
		r.advance(3*window + window + 400)
		r.crash()
		r.expect("answer x", "a") // the window has ended, but not the tolerance
		r.advance(200)
		r.expect("unknown", "a")
	}},
	{"new settings with a longer window", func(r *rig) {
		r.mustBegin("a", 7)
		r.mustEnd("a", recovery.Succeeded, 7, "x")
		r.close()
		r.limits.MaxWindow, r.window = 3*window, 3*window
		r.mustOpen()
		r.advance(2 * window)
		if r.store.Reserve(); r.store.Status().Segments != 2 {
			r.t.Fatalf("the segment was dropped before the end of the longer window")
		}
		r.expect("answer x", "a")
		r.advance(window + 1000)
		r.expect("unknown", "a")
	}},
	{"repeated power losses after recovery", func(r *rig) {
		r.mustBegin("a", 7)
		r.mustEnd("a", recovery.Succeeded, 7, "x")
		for range 20 {
			r.crash()
		}
		r.expect("answer x", "a")
		if rejection := r.store.Reserve(); rejection != nil {
			r.t.Fatalf("reserve after repeated power losses: got rejection %+v", rejection)
		}
	}},
	{"closed while records are queued", func(r *rig) {
		r.store.Reserve()
		done := make(chan error, 1)
		r.store.RecordStart(store.FingerprintOf("a"), 7, r.now()+window, func(err error) { done <- err })
		r.close()
		if err := <-done; err != nil {
			r.t.Fatalf("start queued before the close: %v", err)
		}
		r.store.RecordStart(store.FingerprintOf("b"), 7, r.now()+window, func(err error) { done <- err })
		if err := <-done; err == nil {
			r.t.Fatalf("start after the close: got no error")
		}
		r.mustOpen()
		r.expect("may have run", "a")
		r.expect("unknown", "b")
	}},
}

// TestFaults checks the behaviour under each fault that is listed in the table of docs/operate/store.md.
func TestFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, defaultLimits)
			defer r.close()
			c.run(r)
		})
	}
}
