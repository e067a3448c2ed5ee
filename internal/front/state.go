package front

// This file owns the state of one connection, its writing side and its one closing path, whatever its protocol. It must
// never know what passes on it, nor close a connection over bytes that nobody has read.

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// finishLinger is how long a peer has to read its last responses and to close: twice TransitTime, as what crossed the
	// close must be read.
	finishLinger = 2 * TransitTime
	// evictedLinger is the same for an evicted connection: a crowd of such that never close must not keep others out for
	// longer than an RPC may cross a close.
	evictedLinger = TransitTime / 2
	// maxLingerBytes is how much a peer may send meanwhile.
	maxLingerBytes = 1 << 20
)

// wakeReader is a deadline in the past: it ends a read that is in progress at once.
var wakeReader = time.Unix(1, 0)

// ConnState is the state of one connection, to be embedded. One goroutine owns it: the reader, which alone closes it, by
// Finish. All others ask for that by RequestClose. The fields are guarded by Mu.
//
// Errors of the connection's Set…Deadline methods are dropped throughout: they come only from a closed connection, whose
// reads and writes fail by themselves.
type ConnState struct {
	net.Conn
	WriteTimeout time.Duration // for one message: past the longest deadline known, so that only a dead peer meets it

	Mu              sync.Mutex
	InFlight        int       // RPCs in flight, and responses that are being written
	LastActivity    time.Time // when something was last read or answered
	ReceivedMessage bool      // a complete message has come
	ReceivedRPC     bool      // and a valid RPC
	PartialMessage  bool      // a part of the next message has come
	GoAwayAt        time.Time // when the peer was told that no more RPCs are wanted; zero before
	CloseRequested  bool      // nothing more is taken, as the peer may send it again elsewhere; set once, by requestClose

	abortDeadline time.Time // if set, all reading and writing ends then
	evicted       bool      // it is closed for another connection that waits
	lingering     bool      // Finish reads on

	writing      sync.Mutex // held while a message is written
	writesClosed bool       // nothing more may be written; guarded by writing
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
	case s.CloseRequested: // its capacity is waited for before any idle one is evicted
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

// busy reports whether something is in flight, or the rest of a message of a peer that has sent RPCs before.
func (s *ConnState) busy() bool { return s.InFlight > 0 || s.PartialMessage && s.ReceivedRPC }

// MarkGoAway records that the peer is told that no more RPCs are wanted, and reports whether that is the first time.
func (s *ConnState) MarkGoAway() bool {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	first := s.GoAwayAt.IsZero()
	if first {
		s.GoAwayAt = time.Now()
	}
	return first
}

// Evict implements Conn. An RPC that crosses the close is not taken here, and its peer sends it again.
func (s *ConnState) Evict(last time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.busy() && !s.CloseRequested && s.LastActivity.Equal(last) {
		s.evicted = true
		s.requestClose()
	}
}

// BeginMessage records that a part of the next message has come. Its rest is waited for, for as long as the front lets a
// message take.
func (s *ConnState) BeginMessage() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.PartialMessage {
		s.PartialMessage = true
		s.LastActivity = time.Now()
	}
}

// CloseIfDrained closes the connection if its peer was told to go away and nothing has been in flight for linger.
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

// RequestClose has the connection closed by its owner, whatever is in flight on it. It does not block.
func (s *ConnState) RequestClose() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.requestClose()
}

func (s *ConnState) requestClose() {
	if s.CloseRequested { // from then on the deadline is Finish's
		return
	}
	s.CloseRequested = true
	_ = s.SetReadDeadline(wakeReader) // see ConnState
}

// Ending reports whether the connection is to be closed: a deadline that its reader meets may then mean no silence.
func (s *ConnState) Ending() bool {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.CloseRequested
}

// Abort implements Conn: it bounds all that is still written on the connection and its closing.
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

// BoundReads sets the deadline of the owner's next reads, none for the zero time. Once the connection is to be closed it
// changes nothing.
func (s *ConnState) BoundReads(deadline time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.CloseRequested {
		_ = s.SetReadDeadline(deadline) // see ConnState
	}
}

// WakeReader ends a read of the owner's that is in progress. Once the connection is to be closed it changes nothing.
func (s *ConnState) WakeReader() { s.BoundReads(wakeReader) }

// Send writes one message in parts, complete or not at all as far as the peer reads it, and reports whether that went
// well. After an error nothing more is written and the connection ends: nobody is left to answer.
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

// earliest returns the time after d, or the deadline of Abort if that is earlier. Mu is held.
func (s *ConnState) earliest(d time.Duration) time.Time {
	t := time.Now().Add(d)
	if !s.abortDeadline.IsZero() && s.abortDeadline.Before(t) {
		return s.abortDeadline
	}
	return t
}

// Finish is the one closing path. The owner calls it once nothing is in flight any more: what is being written is
// written to its end, the writing side is closed, and what the peer still sends is read and dropped until it closes, for a
// bounded time. A close over unread bytes would reset the connection and take responses along that the peer has not read
// yet; an RPC among them crossed the close, and its peer sends it again.
func (s *ConnState) Finish() {
	s.RequestClose()
	s.writing.Lock()
	s.writesClosed = true
	s.writing.Unlock()
	if half, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only if the peer has gone, which the reads below meet as well
	}
	s.Mu.Lock()
	linger := finishLinger
	if s.evicted {
		linger = evictedLinger
	}
	s.lingering = true
	_ = s.SetReadDeadline(s.earliest(linger)) // see ConnState
	s.Mu.Unlock()
	_, _ = io.CopyN(io.Discard, s.Conn, maxLingerBytes) // ends with the peer's close, the deadline or the bound
	_ = s.Close()                                       // nothing is left to do about an error
}
