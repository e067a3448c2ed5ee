// Package recovery chooses what a durable store of tokens means: what a recovered entry tells a repeat, what may begin
// while space or syncs fail, and which segment may be dropped when. It does no I/O and has no clock. It must never let
// a token run again whose first run can't be ruled out, nor drop an entry within its window.
package recovery

import "math"

// State is that of a token on disk.
type State uint8

const (
	Started           State = iota + 1 // its run was asked for, or was about to be
	Succeeded                          // it ran, and its answer is kept
	Failed                             // it ran, or may have, and has no answer
	SucceededUncached                  // it ran, and its answer was too large to keep
	NeverRan                           // it never ran
)

// Known tells whether a state is one that a store may hold.
func (s State) Known() bool { return s >= Started && s <= NeverRan }

// Resolution is what a repeat is told.
type Resolution int

const (
	Unknown      Resolution = iota // nothing is known of it: it may run
	ReplayResult                   // with the answer that is kept
	MayHaveRun                     // it may have run: an error, and never a run
	HasRun                         // it has run, and its answer was not kept: an error, and never a run
	BodyMismatch                   // it is no repeat: its first try had another body
)

// Entry is what a store holds of a token. Times are Unix ms.
type Entry struct {
	State     State
	BodyHash  uint64  // hash
	UntilMs   float64 // no try that came to the machine before may run
	WrittenMs float64 // when it was written
}

// Resolve is what a try with a door and a body is told by an entry, where windows are as long as now. They may have been
// shorter when it was written: the longer one counts. The tolerance is how far the wall clock may have stepped while
// the process was down: an entry counts that much longer.
func Resolve(e Entry, door float64, body uint64, window, tolerance float64) Resolution {
	switch {
	case e.State == NeverRan, door >= math.Max(e.UntilMs, e.WrittenMs+window)+tolerance:
		return Unknown
	case e.BodyHash != body:
		return BodyMismatch
	case e.State == Succeeded:
		return ReplayResult
	case e.State == SucceededUncached:
		return HasRun
	}
	return MayHaveRun // begun without an end, failed, or what can't be told
}

// Health is how the disk stands.
type Health int

const (
	Healthy    Health = iota
	Recovering        // entries are being read: nothing is known yet
	Broken            // a write or a sync failed, and none has succeeded since
)

func (h Health) String() string {
	return [...]string{"sound", "recovers", "broken"}[min(max(h, 0), Broken)]
}

// Disk is what is known before a token may begin. Bytes count the whole store.
type Disk struct {
	Health         Health
	UsedBytes      float64
	CapacityBytes  float64
	ReservedBytes  float64 // what begun tokens may still write for their ends
	FreesAtMs      float64 // Unix ms: when the oldest segment is over; 0 for none
	SuspectUntilMs float64 // Unix ms: until then entries may be missing, as a part of the store was damaged
}

// Rejection tells why a token may not begin, and for how many ms to stay away.
type Rejection struct {
	Reason       string
	RetryAfterMs float64
}

const (
	// brokenAway is the ms to stay away from a broken disk: a few times what a stall of one takes.
	brokenRetryAfter = 1000.0
	// recoverAway is that during recovery, of which a second is long.
	recoveringRetryAfter = 200.0
	minRetryAfter        = 50.0
)

// Admit tells whether a token may begin that needs so many bytes, its end included. now is Unix ms. What can't be
// remembered is not run.
func (d *Disk) Admit(now, need float64) *Rejection {
	switch {
	case d.Health == Recovering:
		return &Rejection{"the store is being read", recoveringRetryAfter}
	case d.Health == Broken:
		return &Rejection{"the store can't be written", brokenRetryAfter}
	case now < d.SuspectUntilMs:
		return &Rejection{"a part of the store was damaged: what has run can't be told", math.Max(minRetryAfter, d.SuspectUntilMs-now)}
	case d.UsedBytes+d.ReservedBytes+need > d.CapacityBytes:
		after := brokenRetryAfter
		if d.FreesAtMs > 0 {
			after = d.FreesAtMs - now
		}
		return &Rejection{"the store is full", math.Max(minRetryAfter, after)}
	}
	return nil
}

// Segment is one file of a store.
type Segment struct {
	LastExpiryMs float64 // Unix ms: the latest window of an entry in it
	OpenRuns     int     // tokens begun in it that have no end yet
	Bytes        float64
}

// Droppable tells whether a segment may go: all windows in it are over by more than the tolerance, and no run that it
// tells of is still going on.
func (s *Segment) Droppable(now, tolerance float64) bool {
	return s.OpenRuns == 0 && now > s.LastExpiryMs+tolerance
}

// SuspectUntil is until when a store may miss entries, of which a part was damaged: an entry written at the latest then may
// have a window as long as the longest that was told, before or now.
func SuspectUntil(written, longest, tolerance float64) float64 { return written + longest + tolerance }

// Damaged tells what a bad record means. Behind the last sync anything may be torn, and nothing there was answered for;
// where sound records follow it, it is not the tail.
func Damaged(soundBehind bool) (damaged bool) { return soundBehind }
