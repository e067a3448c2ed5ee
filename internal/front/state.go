package front

// This file owns what is the state of one connection, and from it how readily it is given up. It must never write
// to the connection: what a protocol says at the end is the front's own.

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
	Useless                // never more than silence, nonsense or a check, each of which has a connection of its own
)

// Crossing is how long a connection without anything open is kept at the limit, as an RPC may be on its way: twice
// the time in which one that crosses a close is sent again, and enough for a first message.
const Crossing = 100 * time.Millisecond

// Lingers is how long a connection stays open after its closing notice and its last answer, for its peer to close
// it; far above the 50 ms in which an RPC may cross the notice.
const Lingers = 1500 * time.Millisecond

// ConnState is the state of one connection, to be embedded. Its fields are guarded by Mu.
type ConnState struct {
	net.Conn

	Mu    sync.Mutex
	Open  int       // RPCs in hand, and answers that are being written
	Last  time.Time // when something was read or answered
	Spoke bool      // a whole message has come
	Used  bool      // and a sound RPC
	Told  time.Time // when the peer was asked for no more
	Shut  bool      // closed from here: nothing more is taken, as its peer may send it again
}

// Room is how readily the connection is given up for another, and when something last came or went on it.
func (s *ConnState) Room(now time.Time) (readily Readily, last time.Time) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	quiet := now.Sub(s.Last) > Crossing
	switch {
	case s.Open > 0:
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

// Evict closes the connection unless something has come on it. What crosses that is sent again: it is not taken here.
func (s *ConnState) Evict(last time.Time) {
	s.Mu.Lock()
	s.Shut = s.Shut || s.Open == 0 && s.Last.Equal(last)
	shut := s.Shut
	s.Mu.Unlock()
	if shut {
		s.Close()
	}
}

const (
	flushTime = 200 * time.Millisecond // for a peer to take its last answers
	flushMost = 1 << 20                // and what it may send meanwhile
)

// Flush ends the writing side and reads on for a moment: a close over unread bytes would reset the connection, and
// take answers with it that the peer has not read yet.
func (s *ConnState) Flush() {
	if t, ok := s.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	s.SetReadDeadline(time.Now().Add(flushTime))
	io.CopyN(io.Discard, s.Conn, flushMost)
}
