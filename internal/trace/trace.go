// Package trace records and reads the events that the control decisions are made on, and the resulting verdicts. Bodies are
// not recorded, and tokens only as hashes. A trace is a file of compressed, checksummed blocks of protobuf messages
// (trace.proto). A reader stops at the first block that is incomplete or damaged. The writer must never block the control
// decisions: if the disk can't keep up, entries are dropped and counted.
package trace

import (
	"errors"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

// Version is the version of the format that this build writes. It reads no other version.
const Version = 1

// Errors of reading a trace. Entries that were read before ErrTorn or ErrDamaged are complete.
var (
	// ErrNotTrace is returned for a file that is not a trace.
	ErrNotTrace = errors.New("not a trace of sorrelvalve")
	// ErrVersion is returned for a trace with another version of the format.
	ErrVersion = errors.New("unsupported version of the trace format")
	// ErrTorn is returned if the trace ends within a block, as after a crash during a write.
	ErrTorn = errors.New("the trace ends within a block")
	// ErrDamaged is returned for a block that is not as it was written.
	ErrDamaged = errors.New("a block of the trace is damaged")
)

// Header is written at the beginning of each file. It contains the whole configuration of the control decisions.
type Header struct {
	Startup   startup.Config `json:"told"`
	SlowStart bool           `json:"cold"`   // the recorded process began with a slow start
	OriginMS  float64        `json:"origin"` // Unix ms at which the clock of the control decisions was 0
	Build     string         `json:"build"`  // version of the recording program
}

// Entry is one event and the actions that the control decisions took on it.
type Entry struct {
	Now     float64 // ms on the clock of the control decisions
	Event   control.Event
	Token   uint64           // Hash of the RPC's token; 0 for none
	Actions []control.Action // those for which Recorded returns true
	Dropped int              // number of entries dropped just before this one
}

// Recorded reports whether an action is written to traces. Verdicts and joins are; all other actions can be derived from the
// events.
func Recorded(a control.Action) bool {
	return a.Kind == control.Run || a.Kind == control.Reject || a.Kind == control.Abort || a.Kind == control.Join
}

// The parameters of FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns the FNV-1a hash that a trace contains in place of a token. A hash of 0 is replaced by 1, as 0 means that the
// RPC has no token.
func Hash(token string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(token) {
		h = (h ^ uint64(token[i])) * fnvPrime
	}
	return max(1, h)
}
