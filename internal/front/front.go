// Package front holds what all fronts share, whatever protocol they speak: the accept loops, the table of connections
// with one limit over all fronts, the eviction of connections at that limit, and the graceful shutdown.
//
// The package must never look at what passes on a connection, nor decide anything about an RPC.
package front

import "time"

// Conn is one connection of a front. Its methods may be called from any goroutine; all but Serve return without
// waiting for the peer.
type Conn interface {
	// Serve reads until the connection ends, and closes it by ConnState.Finish.
	Serve()
	// EvictionPriority returns how readily the connection is closed for another, and when something last passed on it.
	EvictionPriority(now time.Time) (class EvictionClass, last time.Time)
	// Evict closes the connection unless something has passed on it since last.
	Evict(last time.Time)
	// CloseIdle closes the connection in its protocol's way once nothing has passed on it for idle, and in any case
	// once nothing has passed for linger after GoAway.
	CloseIdle(idle, linger time.Duration)
	// GoAway tells the peer that no more RPCs are wanted here.
	GoAway()
	// Abort ends all reading and writing on the connection at the deadline.
	Abort(deadline time.Time)
}

// EvictionClass is how readily a connection is closed for another one.
type EvictionClass int

// The classes.
const (
	// Busy: something is in flight, or may be on its way. Never evicted.
	Busy EvictionClass = iota
	// Idle: it has carried RPCs and nothing is in flight.
	Idle
	// AwaitingFirstMessage: its first message may be on its way. That is waited for before any idle one is evicted.
	AwaitingFirstMessage
	// Closing: evicted, and not closed yet.
	Closing
	// Unused: it has carried nothing but silence, invalid messages or health checks. Evicted first.
	Unused
)

const (
	// TransitTime is how long a connection with nothing in flight is kept at the limit, as an RPC may be on its way:
	// twice the time in which a peer sends an RPC that crosses a close again, and enough for a first message.
	TransitTime = 100 * time.Millisecond
	// LingerTimeout is how long a connection stays open after its closing notice and its last response, for its peer to
	// close it; far above the 50 ms in which an RPC may cross the notice.
	LingerTimeout = 1500 * time.Millisecond

	// MaxUndelayedFaults messages in a row without a valid RPC are taken at full speed from one connection: more than
	// the cancels that cross responses.
	MaxUndelayedFaults = 40
	// FaultDelay is waited before each message after those: fifty a second cost little.
	FaultDelay = 20 * time.Millisecond
)

// CallerNumber folds a number or a hash that tells callers apart into 16 bits.
func CallerNumber(n uint64) uint16 { return uint16(n ^ n>>16 ^ n>>32 ^ n>>48) }
