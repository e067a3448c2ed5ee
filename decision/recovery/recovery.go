// Package recovery decides what the records of a durable store of idempotency tokens mean: how a duplicate of an RPC from
// before a restart is answered, whether a token may start a run while the disk is full or failing, and when a segment of the
// store may be dropped. It never lets a token run again whose first run can't be ruled out, nor drops a record within its
// deduplication window.
//
// The package is pure: it does no I/O, reads no clock (callers pass Unix ms) and starts no goroutine. Its functions may be
// called by many goroutines at once; values are not to be changed meanwhile.
package recovery

import "math"

// State is the state of a token on disk. The values are stored and must not change.
type State uint8

// The states of tokens.
const (
	Started           State = iota + 1 // its run was asked for, or was about to be
	Succeeded                          // it ran, and its result is recorded
	Failed                             // it ran, or may have, without a result
	SucceededUncached                  // it ran, and its result was too large to record
	NeverRan                           // its run was asked for and never started
)

// Known tells whether a state is one that a store may hold.
func (s State) Known() bool { return s >= Started && s <= NeverRan }

// Resolution says how a duplicate is answered.
type Resolution int

// The ways of answering a duplicate.
const (
	Unknown      Resolution = iota // nothing is known of its token: it may run
	ReplayResult                   // with the recorded result
	MayHaveRun                     // with an error, as its token may have run; it must not run
	HasRun                         // with an error, as its token has run and the result was not recorded; it must not run
	BodyMismatch                   // it is no duplicate: the first attempt had another body
)

// Entry is what a store holds of a token.
type Entry struct {
	State     State
	BodyHash  uint64
	UntilMs   float64 // end of its window in Unix ms: no attempt that reached the machine before may run
	WrittenMs float64 // when it was written, in Unix ms
}

// Resolve returns how an attempt that reached the machine at arrivedMs with a body is answered, where windows are of so
// many ms now. They may have been shorter when the entry was written: the longer one counts. The tolerance is the ms by
// which the wall clock may have stepped while the process was down: an entry counts for that much longer.
func Resolve(e Entry, arrivedMs float64, bodyHash uint64, window, tolerance float64) Resolution {
	switch {
	case e.State == NeverRan, arrivedMs >= math.Max(e.UntilMs, e.WrittenMs+window)+tolerance:
		return Unknown
	case e.BodyHash != bodyHash:
		return BodyMismatch
	case e.State == Succeeded:
		return ReplayResult
	case e.State == SucceededUncached:
		return HasRun
	}
	return MayHaveRun // started without an end, failed, or a state of a later build
}

// Health is the health of the disk.
type Health int

// The states of a disk.
const (
	Healthy    Health = iota // the last write succeeded
	Recovering               // entries are being read: nothing is known yet
	Broken                   // a write or a sync failed, and none has succeeded since
)

// String returns the health as log lines have it.
func (h Health) String() string {
	return [...]string{"sound", "recovers", "broken"}[min(max(h, 0), Broken)]
}

// Disk is the state of a store that decides whether a token may start a run. Bytes are those of the whole store.
type Disk struct {
	Health         Health
	UsedBytes      float64
	CapacityBytes  float64
	ReservedBytes  float64 // that the ends of runs under way may still take
	FreesAtMs      float64 // when the oldest segment can be dropped, in Unix ms; 0 if that is not known
	SuspectUntilMs float64 // until when entries may be missing as the store was damaged, in Unix ms
}

// Rejection says why a token may not start a run.
type Rejection struct {
	Reason       string
	RetryAfterMs float64 // ms after which another attempt is worth while
}

const (
	// brokenRetryAfter is the ms to stay away from a broken disk: a few times what a stall takes.
	brokenRetryAfter = 1000.0
	// recoveringRetryAfter is that during recovery, for which a second is long.
	recoveringRetryAfter = 200.0
	// minRetryAfter is the least that is advised.
	minRetryAfter = 50.0
)

// Admit returns nil if a token may start a run whose records take so many bytes, that of its end included, and else why it
// may not: what can't be recorded is not run. now is in Unix ms.
func (d *Disk) Admit(now, bytes float64) *Rejection {
	switch {
	case d.Health == Recovering:
		return &Rejection{"the store is being read", recoveringRetryAfter}
	case d.Health == Broken:
		return &Rejection{"the store can't be written", brokenRetryAfter}
	case now < d.SuspectUntilMs:
		return &Rejection{"a part of the store was damaged: what has run can't be told", math.Max(minRetryAfter, d.SuspectUntilMs-now)}
	case d.UsedBytes+d.ReservedBytes+bytes > d.CapacityBytes:
		after := brokenRetryAfter
		if d.FreesAtMs > 0 {
			after = d.FreesAtMs - now
		}
		return &Rejection{"the store is full", math.Max(minRetryAfter, after)}
	}
	return nil
}

// Segment is the state of one file of a store.
type Segment struct {
	LastExpiryMs float64 // the latest end of a window in it, in Unix ms
	OpenRuns     int     // tokens that started a run in it, the end of which is not recorded yet
	Bytes        float64
}

// Droppable tells whether a segment may be dropped: all windows in it are over by more than the tolerance in ms, and all
// runs that started in it have ended.
func (s *Segment) Droppable(now, tolerance float64) bool {
	return s.OpenRuns == 0 && now > s.LastExpiryMs+tolerance
}

// SuspectUntil returns until when a damaged store may miss entries, in Unix ms. An entry that was written at writtenMs at
// the latest has at most the longest window that was ever configured.
func SuspectUntil(writtenMs, longestWindow, tolerance float64) float64 {
	return writtenMs + longestWindow + tolerance
}

// Damaged tells whether an unreadable record means that the store is damaged. Behind the last sync any record may be torn,
// and no run depends on one there; but if a valid record follows, the unreadable one was before that sync.
func Damaged(validRecordFollows bool) bool { return validRecordFollows }
