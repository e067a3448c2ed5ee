// Package trace records the events of the control decisions and the verdicts on them, without bodies and with tokens as
// hashes, and reads the records again. A trace is a file of compressed, checksummed blocks of protobuf messages (trace.proto);
// a reader takes complete blocks and stops at the first that is not. The writer must never block the decisions: entries that
// it can't keep up with are dropped and counted.
package trace

import (
	"errors"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

// Version is that of the traces which this build writes and reads; it reads no other.
const Version = 1

// Errors of reading a trace; what was read before ErrTorn or ErrDamaged is complete.
var (
	// ErrNotTrace is a file of another kind.
	ErrNotTrace = errors.New("no trace of sorrelvalve")
	// ErrVersion is a trace that another version of this code wrote.
	ErrVersion = errors.New("a trace of another version")
	// ErrTorn is a trace that ends within a block.
	ErrTorn = errors.New("the trace ends within a block")
	// ErrDamaged is a block that is not what was written.
	ErrDamaged = errors.New("a block of the trace is damaged")
)

// Header stands at the beginning of each file: all that the decisions were configured with.
type Header struct {
	Startup   startup.Config `json:"told"`
	SlowStart bool           `json:"cold"`   // the recorded process began cold
	OriginMS  float64        `json:"origin"` // Unix ms at which the clock of the decisions was 0
	Build     string         `json:"build"`  // version of the recording program
}

// Entry is one event, and the actions that the decisions took on it.
type Entry struct {
	Now     float64 // ms of the decisions' clock
	Event   control.Event
	Token   uint64           // Hash of the RPC's token; 0 for none
	Actions []control.Action // those that Recorded names
	Dropped int              // entries that were dropped before this one
}

// Recorded reports whether traces hold an action: verdicts and joins; all other actions follow from the events.
func Recorded(a control.Action) bool {
	return a.Kind == control.Run || a.Kind == control.Reject || a.Kind == control.Abort || a.Kind == control.Join
}

// The parameters of FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns the hash by which a trace holds a token: FNV-1a, except that no token hashes to 0.
func Hash(token string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(token) {
		h = (h ^ uint64(token[i])) * fnvPrime
	}
	return max(1, h)
}
