// Package recovery implements the decisions of a durable store of idempotency tokens: how to answer a duplicate of an RPC
// from before a restart, whether a token may start a run while the disk is full or failing, and when a segment of the store
// may be dropped. It never lets a token run again unless its first run can be ruled out, and never drops a record within
// its deduplication window.
//
// The package is pure: it does no I/O, reads no clock (callers pass Unix ms) and starts no goroutine. Its functions may be
// called by several goroutines concurrently, provided that their arguments are not changed meanwhile.
package recovery

import "math"

// State is the state of a token on disk. The values are stored and must not change.
type State uint8

// The states of tokens.
const (
	Started           State = iota + 1 // its run was requested, or was about to be
	Succeeded                          // it ran, and its result is recorded
	Failed                             // it ran, or may have run, without a result
	SucceededUncached                  // it ran, and its result was too large to record
	NeverRan                           // its run was requested and never started
)

// Known reports whether the state is one of the constants above.
func (s State) Known() bool { return s >= Started && s <= NeverRan }

// Resolution is how a possible duplicate is answered.
type Resolution int

// The ways of answering a duplicate.
const (
	Unknown      Resolution = iota // no valid entry for its token: it may run
	ReplayResult                   // with the recorded result
	MayHaveRun                     // with an error, because its token may have run; it must not run
	HasRun                         // with an error, because its token has run and the result was not recorded; it must not run
	BodyMismatch                   // it is not a duplicate: the first attempt had another body
)

// Entry is the store's entry for a token.
type Entry struct {
	State     State
	BodyHash  uint64
	UntilMs   float64 // end of its deduplication window in Unix ms: no attempt that arrived before may run
	WrittenMs float64 // time of writing, in Unix ms
}

// Resolve returns how to answer an attempt that arrived at arrivedMs (Unix ms) with the given body hash. window is the
// deduplication window in ms as configured now; it may have been shorter when the entry was written, and the longer of the
// two applies. tolerance is the number of ms by which the wall clock may have stepped while the process was down; the entry
// remains valid for that much longer.
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
	return MayHaveRun // started without a recorded end, failed, or a state of a later version
}

// Health is the health of the disk.
type Health int

// The states of a disk.
const (
	Healthy    Health = iota // the last write succeeded
	Recovering               // entries are still being read after a start
	Broken                   // a write or a sync failed, and none has succeeded since
)

// String returns the text for log lines.
func (h Health) String() string {
	return [...]string{"sound", "recovers", "broken"}[min(max(h, 0), Broken)]
}

// Disk is the state of a store that determines whether a token may start a run. Byte counts are for the whole store.
type Disk struct {
	Health         Health
	UsedBytes      float64
	CapacityBytes  float64
	ReservedBytes  float64 // bytes that the end records of runs in progress may still take
	FreesAtMs      float64 // when the oldest segment can be dropped, in Unix ms; 0 if not known
	SuspectUntilMs float64 // time in Unix ms until which entries may be missing because the store was damaged
}

// Rejection is the reason why a token may not start a run.
type Rejection struct {
	Reason       string
	RetryAfterMs float64 // ms after which another attempt may succeed
}

const (
	// brokenRetryAfter is the Retry-After in ms for a broken disk, a few times the duration of a stall.
	brokenRetryAfter = 1000.0
	// recoveringRetryAfter is the Retry-After in ms during recovery, which rarely takes as long as a second.
	recoveringRetryAfter = 200.0
	// minRetryAfter is the shortest Retry-After in ms.
	minRetryAfter = 50.0
)

// Admit returns nil if a token may start a run, and otherwise the reason why it may not: a run that cannot be recorded is
// not started. bytes is the size of the run's records, its end record included. now is in Unix ms.
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
	LastExpiryMs float64 // latest end of a deduplication window in it, in Unix ms
	OpenRuns     int     // number of runs that were started in it and whose end is not recorded yet
	Bytes        float64
}

// Droppable reports whether a segment may be dropped: all windows in it ended more than tolerance ms ago, and all runs that
// were started in it have a recorded end.
func (s *Segment) Droppable(now, tolerance float64) bool {
	return s.OpenRuns == 0 && now > s.LastExpiryMs+tolerance
}

// SuspectUntil returns the time in Unix ms until which entries may be missing from a damaged store. The missing entries were
// written at writtenMs or before, and none has a window longer than longestWindow, the longest ever configured.
func SuspectUntil(writtenMs, longestWindow, tolerance float64) float64 {
	return writtenMs + longestWindow + tolerance
}

// Damaged reports whether an unreadable record means that the store is damaged. After the last sync a record may be torn by
// a crash, and no run depends on it. If a valid record follows, the unreadable one was written before the last sync, so the
// store is damaged.
func Damaged(validRecordFollows bool) bool { return validRecordFollows }
