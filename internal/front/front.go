// Package front implements what the fronts of all protocols share: the accept loops, the table of connections with one
// limit for all fronts, the eviction of connections at that limit, and the graceful shutdown.
//
// The package must never inspect the data on a connection or make decisions about an RPC.
package front

import "time"

// Conn is one connection of a front. Its methods may be called from any goroutine; all but Serve return without
// waiting for the peer.
type Conn interface {
	// Serve reads until the connection ends, and closes it with ConnState.Finish.
	Serve()
	// EvictionPriority returns the connection's eviction class and the time of its last activity.
	EvictionPriority(now time.Time) (class EvictionClass, last time.Time)
	// Evict closes the connection unless it has been active since last.
	Evict(last time.Time)
	// CloseIdle closes the connection, in the way of its protocol, if it has been idle for longer than idle. After
	// GoAway it closes the connection if it has been idle for longer than linger, or for TransitTime if its protocol does
	// not linger.
	CloseIdle(idle, linger time.Duration)
	// GoAway asks the peer to send no more RPCs on this connection.
	GoAway()
	// Abort ends all reading and writing on the connection at the deadline.
	Abort(deadline time.Time)
}

// EvictionClass states whether a connection may be evicted to make room for another one, and in which order.
type EvictionClass int

// The eviction classes.
const (
	// Busy means that an RPC is in flight or may be in transit. A busy connection is never evicted.
	Busy EvictionClass = iota
	// Idle means that the connection has carried RPCs and none is in flight.
	Idle
	// AwaitingFirstMessage means that the connection's first message may be in transit, or that the connection has
	// carried no valid RPC and is being closed. No idle connection is evicted while there is such a connection.
	AwaitingFirstMessage
	// Closing means that the connection has carried RPCs and that the server has begun to close it.
	Closing
	// Unused means that the connection has carried no valid RPC: nothing at all, invalid messages or health checks.
	// Unused connections are evicted first.
	Unused
)

const (
	// TransitTime is how long a connection without an RPC in flight is kept when the limit is reached, as an RPC may be
	// in transit. It is twice the time within which a peer resends an RPC that crossed a close, and long enough for a
	// first message to arrive.
	TransitTime = 100 * time.Millisecond
	// LingerTimeout is how long a connection stays open after the closing notice and the last response so that its peer
	// can close it. It is far above the 50 ms in which an RPC may cross the notice.
	LingerTimeout = 1500 * time.Millisecond

	// MaxUndelayedFaults is how many consecutive messages without a valid RPC a connection may send before its messages
	// are delayed. It is above the number of cancels that can cross responses.
	MaxUndelayedFaults = 40
	// FaultDelay is the delay before each further message. The resulting 50 messages a second cost little.
	FaultDelay = 20 * time.Millisecond
)

// CallerNumber folds a number or hash that identifies a caller into 16 bits.
func CallerNumber(n uint64) uint16 { return uint16(n ^ n>>16 ^ n>>32 ^ n>>48) }
