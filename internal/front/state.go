package front

// This file owns the state of one connection, its writing side and its one closing path, whatever its protocol. It must
// never know what passes on it, nor close a connection over bytes that nobody has read.

import (
	"io"
	"net"
	"sync"
	"time"
)

// Readily is how readily a connection is given up for another.
type EvictionClass int

const (
	Busy                 EvictionClass = iota // something is open, or may be on its way
	Idle                                      // it has carried RPCs
	AwaitingFirstMessage                      // its first message may be on its way: that is waited for before any idle one is given up
	Closing                                   // given up, and not yet gone
	Unused                                    // never more than silence, nonsense or a check, each of which has a connection of its own
)

// Crossing is how long a connection without anything open is kept at the limit, as an RPC may be on its way: twice
// the time in which one that crosses a close is sent again, and enough for a first message.
const TransitTime = 100 * time.Millisecond

// Lingers is how long a connection stays open after its closing notice and its last answer, for its peer to close
// it; far above the 50 ms in which an RPC may cross the notice.
const LingerTimeout = 1500 * time.Millisecond

const (
	// lingerTime is for a peer to take its last answers and to close: twice Crossing, as what crossed must be read.
	finishLinger = 2 * TransitTime
	// lingerEvicted is that for one that is evicted: a crowd of such that never closes must not keep others out for
	// longer than an RPC may cross a close.
	evictedLinger  = TransitTime / 2
	maxLingerBytes = 1 << 20 // bytes that a peer may send meanwhile
)

// ConnState is the state of one connection, to be embedded. One goroutine owns it: the reader, which alone closes it,
// by Finish. All others ask for that by End. The fields are guarded by Mu.
type ConnState struct {
	net.Conn
	WriteTimeout time.Duration // for one answer: past the longest deadline told, so that only a dead peer meets it

	Mu              sync.Mutex
	InFlight        int       // RPCs in hand, and answers that are being written
	LastActivity    time.Time // when something was read or answered
	ReceivedMessage bool      // a whole message has come
	ReceivedRPC     bool      // and a sound RPC
	PartialMessage  bool      // a part of the next message has come
	GoAwayAt        time.Time // when the peer was asked for no more
	CloseRequested  bool      // it ends: nothing more is taken, as its peer may send it again; set once, by End
	abortDeadline   time.Time // if set, all reading and writing on it is over then
	evicted         bool      // it is closed for another that waits
	lingering       bool      // Finish reads on

	writing      sync.Mutex
	writesClosed bool // nothing more may be written; guarded by writing
}

// Room is how readily the connection is given up for another, and when something last came or went on it.
func (s *ConnState) EvictionPriority(now time.Time) (readily EvictionClass, last time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	quiet := now.Sub(s.LastActivity) > TransitTime
	switch {
	case s.CloseRequested && s.ReceivedRPC:
		return Closing, s.LastActivity
	case s.CloseRequested: // its room is waited for before any idle one is given up
		return AwaitingFirstMessage, s.LastActivity
	case s.InFlight > 0 || s.PartialMessage && s.ReceivedRPC:
		return Busy, s.LastActivity
	case !s.ReceivedRPC && (s.ReceivedMessage || quiet):
		return Unused, s.LastActivity
	case !s.ReceivedRPC:
		return AwaitingFirstMessage, s.LastActivity
	case quiet:
		return Idle, s.LastActivity
	}
	return Busy, s.LastActivity
}

// Tell books that the peer is asked for no more, and tells whether that is the first time.
func (s *ConnState) MarkGoAway() bool {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	first := s.GoAwayAt.IsZero()
	if first {
		s.GoAwayAt = time.Now()
	}
	return first
}

// Evict has the connection closed unless something has come on it. What crosses that is sent again: it is not taken here.
func (s *ConnState) Evict(last time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if s.InFlight == 0 && !(s.PartialMessage && s.ReceivedRPC) && !s.CloseRequested && s.LastActivity.Equal(last) {
		s.evicted = true
		s.requestClose()
	}
}

// Begins books that a part of the next message has come: what is on its way is waited for, for as long as the front lets
// a message take.
func (s *ConnState) BeginMessage() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.PartialMessage {
		s.PartialMessage, s.LastActivity = true, time.Now()
	}
}

// Rested has the connection closed if its peer was asked for no more and nothing has been open on it for so long.
func (s *ConnState) CloseIfDrained(lingers time.Duration) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if s.InFlight == 0 && !s.PartialMessage && !s.GoAwayAt.IsZero() && time.Since(s.LastActivity) > lingers && time.Since(s.GoAwayAt) > lingers {
		s.requestClose()
	}
}

// End has the connection closed by its owner, whatever is open on it. It does not block.
func (s *ConnState) RequestClose() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.requestClose()
}

func (s *ConnState) requestClose() {
	if !s.CloseRequested { // later on the deadline is Finish's
		s.CloseRequested = true
		s.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes the owner
	}
}

// Ended tells whether the connection is to be closed: a deadline that its reader meets may be no silence.
func (s *ConnState) Ending() bool {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.CloseRequested
}

// Cut ends the connection, and bounds all that is still written on it and its closing.
func (s *ConnState) Abort(by time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.abortDeadline = by
	s.Conn.SetWriteDeadline(by)
	if s.requestClose(); s.lingering {
		s.Conn.SetReadDeadline(by)
	}
}

// ReadBy bounds the owner's next reads, the zero time not at all; once the connection is to end it changes nothing.
func (s *ConnState) BoundReads(t time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.CloseRequested {
		s.Conn.SetReadDeadline(t)
	}
}

// Send writes one message in parts, whole or not at all as far as the peer reads it, and tells whether that went well.
// After an error nothing more is written and the connection ends: nobody is left to answer.
func (s *ConnState) Send(parts ...[]byte) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.writesClosed {
		return false
	}
	s.Mu.Lock()
	s.Conn.SetWriteDeadline(s.earliest(s.WriteTimeout))
	s.Mu.Unlock()
	b := net.Buffers(parts)
	if _, err := b.WriteTo(s.Conn); err != nil {
		s.writesClosed = true
		s.RequestClose()
		return false
	}
	return true
}

// within is the time after d, or the end of all if that comes first. Mu is held.
func (s *ConnState) earliest(d time.Duration) time.Time {
	t := time.Now().Add(d)
	if !s.abortDeadline.IsZero() && s.abortDeadline.Before(t) {
		return s.abortDeadline
	}
	return t
}

// Finish is the one closing path. The owner calls it once nothing is in hand any more: what is being written is
// written whole, the writing side ends, and what the peer still sends is read and dropped until it closes, for a bounded
// time. A close over unread bytes would reset the connection and take answers along that the peer has not read yet; an
// RPC among them crossed the close, and its peer sends it again.
func (s *ConnState) Finish() {
	s.RequestClose()
	s.writing.Lock()
	s.writesClosed = true
	s.writing.Unlock()
	if t, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	s.Mu.Lock()
	linger := finishLinger
	if s.evicted {
		linger = evictedLinger
	}
	s.lingering = true
	s.Conn.SetReadDeadline(s.earliest(linger))
	s.Mu.Unlock()
	io.CopyN(io.Discard, s.Conn, maxLingerBytes)
	s.Conn.Close()
}
