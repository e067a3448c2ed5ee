package mprpc

// This file implements the lifecycle of one connection: its state, its writes and its closing. It must never close a
// connection while a completely received message is unanswered.

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
)

// maxInFlight is the maximum number of RPCs in flight on one connection. It is twice the limit of the protocol, as
// responses may be in transit.
const maxInFlight = 64

// conn is one connection of a router.
type conn struct {
	front.ConnState // its InFlight equals len(tickets)
	server          *Server
	handlers        sync.WaitGroup // goroutines other than the reader

	tickets        map[uint64]*gate.Ticket // by message id; nil while a health check or an error is answered; guarded by Mu
	handlersClosed bool                    // no further handler goroutine may start; guarded by Mu
	faults         int                     // consecutive messages without a valid RPC; used only by the reader
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{
		ConnState: front.ConnState{Conn: nc, WriteTimeout: s.gate.MaxAnswerTime(), LastActivity: time.Now()},
		server:    s,
		tickets:   map[uint64]*gate.Ticket{},
	}
}

var (
	errDuplicateID      = errors.New("message id is already in flight")
	errMessageTimeout   = errors.New("message not received completely before the timeout")
	errClosedHere       = errors.New("connection is closed by the server")
	errTruncatedMessage = errors.New("connection ended within a message")
)

// Serve reads until the connection ends, waits for the RPCs in flight, and closes the connection.
func (c *conn) Serve() {
	if c.server.table.ShuttingDown() {
		c.GoAway()
	}
	c.handleReadError(c.readMessages())
	c.Mu.Lock()
	c.handlersClosed = true
	c.Mu.Unlock()
	c.handlers.Wait()
	c.Finish()
}

// handleReadError handles the error that ended reading.
func (c *conn) handleReadError(err error) {
	var opErr *net.OpError
	switch {
	case errors.Is(err, io.EOF): // the peer may still read, so all complete messages are answered
	case errors.As(err, &opErr):
		c.abandonAll() // the peer can't receive responses any more
	case errors.Is(err, errClosedHere): // as after a failed write, the callers of the RPCs in flight are gone
		c.abandonAll()
	case errors.Is(err, errMessageTimeout):
		c.server.log.WithField("peer", c.RemoteAddr()).Info("server.silent_connection_closed")
	default:
		c.server.log.WithField("peer", c.RemoteAddr()).WithError(err).Warn("server.broken_frame")
	}
}

// abandonAll notifies the gate that the callers of all RPCs in flight are gone.
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

// write sends one message, given in parts. If that fails, all RPCs in flight are abandoned, as the peer can't receive
// their responses.
func (c *conn) write(parts ...[]byte) {
	if !c.Send(parts...) {
		c.abandonAll()
	}
}

// Abort implements front.Conn. The callers of all unanswered RPCs count as gone.
func (c *conn) Abort(deadline time.Time) {
	c.ConnState.Abort(deadline)
	c.abandonAll()
}

// GoAway implements front.Conn by sending a closing notification to the router.
func (c *conn) GoAway() {
	if !c.MarkGoAway() {
		return
	}
	c.Mu.Lock()
	defer c.Mu.Unlock()
	if c.handlersClosed { // the connection is closing
		return
	}
	c.handlers.Add(1)
	go func() { // a slowly reading router must not block the caller of GoAway
		defer c.handlers.Done()
		c.write(closingNotification())
	}()
}

// CloseIdle implements front.Conn. It asks the router of an idle connection to go away, after which the router closes
// the connection. If the router does not, the server closes it.
func (c *conn) CloseIdle(idle, linger time.Duration) {
	c.Mu.Lock()
	isIdle := len(c.tickets) == 0 && c.GoAwayAt.IsZero() && time.Since(c.LastActivity) > idle
	c.Mu.Unlock()
	if isIdle {
		c.GoAway()
	}
	c.CloseIfDrained(linger)
}
