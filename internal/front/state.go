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
type Readily int

const (
	Busy    Readily = iota // something is open, or may be on its way
	Idle                   // it has carried RPCs
	Young                  // its first message may be on its way: that is waited for before any idle one is given up
	Ending                 // given up, and not yet gone
	Useless                // never more than silence, nonsense or a check, each of which has a connection of its own
)

// Crossing is how long a connection without anything open is kept at the limit, as an RPC may be on its way: twice
// the time in which one that crosses a close is sent again, and enough for a first message.
const Crossing = 100 * time.Millisecond

// Lingers is how long a connection stays open after its closing notice and its last answer, for its peer to close
// it; far above the 50 ms in which an RPC may cross the notice.
const Lingers = 1500 * time.Millisecond

const (
	// lingerTime is for a peer to take its last answers and to close: twice Crossing, as what crossed must be read.
	lingerTime = 2 * Crossing
	// lingerEvicted is that for one that is evicted: a crowd of such that never closes must not keep others out for
	// longer than an RPC may cross a close.
	lingerEvicted = Crossing / 2
	lingerMost    = 1 << 20 // bytes that a peer may send meanwhile
)

// ConnState is the state of one connection, to be embedded. One goroutine owns it: the reader, which alone closes it,
// by Finish. All others ask for that by End. The fields are guarded by Mu.
type ConnState struct {
	net.Conn
	WriteTime time.Duration // for one answer: past the longest deadline told, so that only a dead peer meets it

	Mu      sync.Mutex
	Open    int       // RPCs in hand, and answers that are being written
	Last    time.Time // when something was read or answered
	Spoke   bool      // a whole message has come
	Used    bool      // and a sound RPC
	Begun   bool      // a part of the next message has come
	Told    time.Time // when the peer was asked for no more
	Shut    bool      // it ends: nothing more is taken, as its peer may send it again; set once, by End
	by      time.Time // if set, all reading and writing on it is over then
	brief   bool      // it is closed for another that waits
	lingers bool      // Finish reads on

	writing sync.Mutex
	mute    bool // nothing more may be written; guarded by writing
}

// Room is how readily the connection is given up for another, and when something last came or went on it.
func (s *ConnState) Room(now time.Time) (readily Readily, last time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	quiet := now.Sub(s.Last) > Crossing
	switch {
	case s.Shut && s.Used:
		return Ending, s.Last
	case s.Shut: // its room is waited for before any idle one is given up
		return Young, s.Last
	case s.Open > 0 || s.Begun && s.Used:
		return Busy, s.Last
	case !s.Used && (s.Spoke || quiet):
		return Useless, s.Last
	case !s.Used:
		return Young, s.Last
	case quiet:
		return Idle, s.Last
	}
	return Busy, s.Last
}

// Tell books that the peer is asked for no more, and tells whether that is the first time.
func (s *ConnState) Tell() bool {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	first := s.Told.IsZero()
	if first {
		s.Told = time.Now()
	}
	return first
}

// Evict has the connection closed unless something has come on it. What crosses that is sent again: it is not taken here.
func (s *ConnState) Evict(last time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if s.Open == 0 && !(s.Begun && s.Used) && !s.Shut && s.Last.Equal(last) {
		s.brief = true
		s.end()
	}
}

// Begins books that a part of the next message has come: what is on its way is waited for, for as long as the front lets
// a message take.
func (s *ConnState) Begins() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.Begun {
		s.Begun, s.Last = true, time.Now()
	}
}

// Rested has the connection closed if its peer was asked for no more and nothing has been open on it for so long.
func (s *ConnState) Rested(lingers time.Duration) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if s.Open == 0 && !s.Begun && !s.Told.IsZero() && time.Since(s.Last) > lingers && time.Since(s.Told) > lingers {
		s.end()
	}
}

// End has the connection closed by its owner, whatever is open on it. It does not block.
func (s *ConnState) End() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.end()
}

func (s *ConnState) end() {
	if !s.Shut { // later on the deadline is Finish's
		s.Shut = true
		s.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes the owner
	}
}

// Ended tells whether the connection is to be closed: a deadline that its reader meets may be no silence.
func (s *ConnState) Ended() bool {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.Shut
}

// Cut ends the connection, and bounds all that is still written on it and its closing.
func (s *ConnState) Cut(by time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.by = by
	s.Conn.SetWriteDeadline(by)
	if s.end(); s.lingers {
		s.Conn.SetReadDeadline(by)
	}
}

// ReadBy bounds the owner's next reads, the zero time not at all; once the connection is to end it changes nothing.
func (s *ConnState) ReadBy(t time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.Shut {
		s.Conn.SetReadDeadline(t)
	}
}

// Send writes one message in parts, whole or not at all as far as the peer reads it, and tells whether that went well.
// After an error nothing more is written and the connection ends: nobody is left to answer.
func (s *ConnState) Send(parts ...[]byte) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.mute {
		return false
	}
	s.Mu.Lock()
	s.Conn.SetWriteDeadline(s.within(s.WriteTime))
	s.Mu.Unlock()
	b := net.Buffers(parts)
	if _, err := b.WriteTo(s.Conn); err != nil {
		s.mute = true
		s.End()
		return false
	}
	return true
}

// within is the time after d, or the end of all if that comes first. Mu is held.
func (s *ConnState) within(d time.Duration) time.Time {
	t := time.Now().Add(d)
	if !s.by.IsZero() && s.by.Before(t) {
		return s.by
	}
	return t
}

// Finish is the one closing path. The owner calls it once nothing is in hand any more: what is being written is
// written whole, the writing side ends, and what the peer still sends is read and dropped until it closes, for a bounded
// time. A close over unread bytes would reset the connection and take answers along that the peer has not read yet; an
// RPC among them crossed the close, and its peer sends it again.
func (s *ConnState) Finish() {
	s.End()
	s.writing.Lock()
	s.mute = true
	s.writing.Unlock()
	if t, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	s.Mu.Lock()
	linger := lingerTime
	if s.brief {
		linger = lingerEvicted
	}
	s.lingers = true
	s.Conn.SetReadDeadline(s.within(linger))
	s.Mu.Unlock()
	io.CopyN(io.Discard, s.Conn, lingerMost)
	s.Conn.Close()
}
