package front

// This file implements the protocol-independent state of one connection: its activity, its writes and its only closing
// path. It must never inspect the data on the connection, or close the connection while received bytes are unread.

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// finishLinger is how long a peer has to read its last responses and to close the connection. It is twice
	// TransitTime, as messages that crossed the close must be read.
	finishLinger = 2 * TransitTime
	// evictedLinger is the same for an evicted connection. Many evicted connections whose peers never close them must
	// not keep other peers out for longer than an RPC can take to cross a close.
	evictedLinger = TransitTime / 2
	// maxLingerBytes is how many bytes a peer may send during that time.
	maxLingerBytes = 1 << 20
)

// wakeReader is a deadline in the past. Setting it ends a read in progress at once.
var wakeReader = time.Unix(1, 0)

// ConnState is the state of one connection. It is embedded in the connection type of each protocol. Its owner is the
// reader's goroutine, which is the only one to close the connection, with Finish. Other goroutines ask it to do so with
// RequestClose. The fields are guarded by Mu.
//
// Errors of the connection's Set…Deadline methods are ignored throughout: only a closed connection returns them, and
// its reads and writes fail as well.
type ConnState struct {
	net.Conn
	WriteTimeout time.Duration // for one message; above the longest known deadline, so that only a dead peer exceeds it

	Mu              sync.Mutex
	InFlight        int       // RPCs in flight, including responses being written
	LastActivity    time.Time // when a message was last read or answered
	ReceivedMessage bool      // a complete message has been received
	ReceivedRPC     bool      // a valid RPC has been received
	PartialMessage  bool      // a part of the next message has been received
	GoAwayAt        time.Time // when the peer was asked to send no more RPCs; zero before
	CloseRequested  bool      // no further RPC is accepted, as the peer may resend it elsewhere; set once, by requestClose

	abortDeadline time.Time // if set, the time at which all reading and writing ends
	evicted       bool      // the connection is closed to make room for another one
	lingering     bool      // Finish is reading and discarding the rest

	writing      sync.Mutex // held while a message is written
	writesClosed bool       // no further message may be written; guarded by writing
}

// EvictionPriority implements Conn.
func (s *ConnState) EvictionPriority(now time.Time) (class EvictionClass, last time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.evictionClass(now), s.LastActivity
}

func (s *ConnState) evictionClass(now time.Time) EvictionClass {
	quiet := now.Sub(s.LastActivity) > TransitTime
	switch {
	case s.CloseRequested && s.ReceivedRPC:
		return Closing
	case s.CloseRequested: // as with a first message, no idle connection is evicted until this one is closed
		return AwaitingFirstMessage
	case s.busy():
		return Busy
	case !s.ReceivedRPC && (s.ReceivedMessage || quiet):
		return Unused
	case !s.ReceivedRPC:
		return AwaitingFirstMessage
	case quiet:
		return Idle
	}
	return Busy
}

// busy reports whether an RPC is in flight, or a message is partly received from a peer that has sent RPCs before.
func (s *ConnState) busy() bool { return s.InFlight > 0 || s.PartialMessage && s.ReceivedRPC }

// MarkGoAway records that the peer is asked to send no more RPCs, and reports whether this is the first time.
func (s *ConnState) MarkGoAway() bool {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	first := s.GoAwayAt.IsZero()
	if first {
		s.GoAwayAt = time.Now()
	}
	return first
}

// Evict implements Conn. An RPC that crosses the close is not accepted, and its peer resends it.
func (s *ConnState) Evict(last time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.busy() && !s.CloseRequested && s.LastActivity.Equal(last) {
		s.evicted = true
		s.requestClose()
	}
}

// BeginMessage records that a part of the next message has been received. The connection is then kept open for the rest
// of the message, up to the message timeout of the front.
func (s *ConnState) BeginMessage() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.PartialMessage {
		s.PartialMessage = true
		s.LastActivity = time.Now()
	}
}

// CloseIfDrained closes the connection if its peer was asked to go away and no RPC has been in flight for linger.
func (s *ConnState) CloseIfDrained(linger time.Duration) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if s.InFlight > 0 || s.PartialMessage || s.GoAwayAt.IsZero() {
		return
	}
	if time.Since(s.LastActivity) > linger && time.Since(s.GoAwayAt) > linger {
		s.requestClose()
	}
}

// RequestClose asks the owner to close the connection, whether or not RPCs are in flight. It does not block.
func (s *ConnState) RequestClose() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.requestClose()
}

func (s *ConnState) requestClose() {
	if s.CloseRequested { // after the first request Finish sets the read deadline
		return
	}
	s.CloseRequested = true
	_ = s.SetReadDeadline(wakeReader) // see ConnState
}

// Ending reports whether the connection is to be closed. If so, a reader whose deadline is exceeded must not conclude
// that the peer was silent.
func (s *ConnState) Ending() bool {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.CloseRequested
}

// Abort implements Conn. The deadline bounds all further writes on the connection and the time it takes to close.
func (s *ConnState) Abort(deadline time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.abortDeadline = deadline
	_ = s.SetWriteDeadline(deadline) // see ConnState
	s.requestClose()
	if s.lingering {
		_ = s.SetReadDeadline(deadline) // see ConnState
	}
}

// BoundReads sets the deadline of the owner's next reads; the zero time means no deadline. It has no effect once the
// connection is to be closed.
func (s *ConnState) BoundReads(deadline time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.CloseRequested {
		_ = s.SetReadDeadline(deadline) // see ConnState
	}
}

// WakeReader ends a read in progress by the owner. It has no effect once the connection is to be closed.
func (s *ConnState) WakeReader() { s.BoundReads(wakeReader) }

// Send writes one message, given in parts, and reports whether all of it was written. Messages are never interleaved,
// and after an error no further message is written: the connection is closed, as its peer can no longer receive a
// response.
func (s *ConnState) Send(parts ...[]byte) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.writesClosed {
		return false
	}
	s.Mu.Lock()
	_ = s.SetWriteDeadline(s.earliest(s.WriteTimeout)) // see ConnState
	s.Mu.Unlock()
	message := net.Buffers(parts)
	if _, err := message.WriteTo(s.Conn); err != nil {
		s.writesClosed = true
		s.RequestClose()
		return false
	}
	return true
}

// earliest returns the time in d from now, or the deadline of Abort if that is earlier. The caller must hold Mu.
func (s *ConnState) earliest(d time.Duration) time.Time {
	t := time.Now().Add(d)
	if !s.abortDeadline.IsZero() && s.abortDeadline.Before(t) {
		return s.abortDeadline
	}
	return t
}

// Finish closes the connection; there is no other way to close it. The owner calls it when no RPC is in flight any
// more. Finish waits for a write in progress, closes the writing side, and then reads and discards what the peer sends
// until the peer closes the connection or a time limit is reached. Closing the connection with unread bytes would reset
// it, and the peer would lose responses that it has not read yet. An RPC among the discarded bytes crossed the close,
// and its peer resends it.
func (s *ConnState) Finish() {
	s.RequestClose()
	s.writing.Lock()
	s.writesClosed = true
	s.writing.Unlock()
	if half, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only if the peer has left, in which case the reads below fail as well
	}
	s.Mu.Lock()
	linger := finishLinger
	if s.evicted {
		linger = evictedLinger
	}
	s.lingering = true
	_ = s.SetReadDeadline(s.earliest(linger)) // see ConnState
	s.Mu.Unlock()
	_, _ = io.CopyN(io.Discard, s.Conn, maxLingerBytes) // ends at the peer's close, the deadline or the limit
	_ = s.Close()                                       // an error can't be handled here
}
