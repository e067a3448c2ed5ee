package mprpc

// This file owns the life of one connection: its state, its closing and its writes. It must never end a connection while
// a message that came complete is unanswered.

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
)

// maxInFlight bounds the RPCs of one connection: twice what the protocol says, as responses may be on their way.
const maxInFlight = 64

// conn is one connection of a router.
type conn struct {
	front.ConnState // its InFlight is the length of tickets
	server          *Server
	handlers        sync.WaitGroup // goroutines beside the reader

	tickets        map[uint64]*gate.Ticket // by message id; nil while a check or an error is answered; guarded by Mu
	handlersClosed bool                    // no goroutine starts beside the reader any more; guarded by Mu
	faults         int                     // messages in a row without a valid RPC; the reader's own
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{
		ConnState: front.ConnState{Conn: nc, WriteTimeout: s.gate.MaxAnswerTime(), LastActivity: time.Now()},
		server:    s,
		tickets:   map[uint64]*gate.Ticket{},
	}
}

var (
	errDuplicateID      = errors.New("message id is open already")
	errMessageTimeout   = errors.New("no message came whole in time")
	errClosedHere       = errors.New("the connection is closed from here")
	errTruncatedMessage = errors.New("the connection ended within a message")
)

// Serve reads until the connection ends, waits for what is in flight, and closes the connection.
func (c *conn) Serve() {
	if c.server.table.ShuttingDown() {
		c.GoAway()
	}
	c.ended(c.readMessages())
	c.Mu.Lock()
	c.handlersClosed = true
	c.Mu.Unlock()
	c.handlers.Wait()
	c.Finish()
}

// ended handles the error that ended reading.
func (c *conn) ended(err error) {
	var lost *net.OpError
	switch {
	case errors.Is(err, io.EOF): // the peer may still read: all that came complete is answered
	case errors.As(err, &lost):
		c.abandonAll() // nobody is left to answer
	case errors.Is(err, errClosedHere): // what is in flight, as after a write that failed, has nobody to answer to
		c.abandonAll()
	case errors.Is(err, errMessageTimeout):
		c.server.log.WithField("peer", c.RemoteAddr()).Info("server.silent_connection_closed")
	default:
		c.server.log.WithField("peer", c.RemoteAddr()).WithError(err).Warn("server.broken_frame")
	}
}

// abandonAll tells the gate that the callers of all RPCs in flight are gone.
func (c *conn) abandonAll() {
	c.Mu.Lock()
	tickets := make([]*gate.Ticket, 0, len(c.tickets))
	for _, t := range c.tickets {
		if t != nil {
			tickets = append(tickets, t)
		}
	}
	c.Mu.Unlock()
	for _, t := range tickets {
		t.ConnectionLost()
	}
}

// write sends one message in parts. If that fails nobody is left to answer.
func (c *conn) write(parts ...[]byte) {
	if !c.Send(parts...) {
		c.abandonAll()
	}
}

// Abort implements front.Conn: what is unanswered by then has lost its caller.
func (c *conn) Abort(deadline time.Time) {
	c.ConnState.Abort(deadline)
	c.abandonAll()
}

// GoAway implements front.Conn by a closing notification to the router.
func (c *conn) GoAway() {
	if !c.MarkGoAway() {
		return
	}
	c.Mu.Lock()
	defer c.Mu.Unlock()
	if c.handlersClosed { // the connection is being closed
		return
	}
	c.handlers.Add(1)
	go func() { // a router that reads slowly must not hold up the caller of GoAway
		defer c.handlers.Done()
		c.write(closingNotification())
	}()
}

// CloseIdle implements front.Conn: the router is told to go away and closes the connection; if it does not, the
// connection is closed from here.
func (c *conn) CloseIdle(idle, linger time.Duration) {
	c.Mu.Lock()
	isIdle := len(c.tickets) == 0 && c.GoAwayAt.IsZero() && time.Since(c.LastActivity) > idle
	c.Mu.Unlock()
	if isIdle {
		c.GoAway()
	}
	c.CloseIfDrained(linger)
}
