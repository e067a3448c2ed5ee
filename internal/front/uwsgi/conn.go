package uwsgi

// This file implements the lifecycle of one connection: its reader and its closing.

import (
	"bufio"
	"errors"
	"net"
	"runtime/debug"
	"time"

	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
	wire "sorrelvalve/internal/uwsgi"
)

// bufferSize is the size in bytes of a connection's read buffer. Most blocks of a web tier have one to three KB and
// fit; longer ones bypass the buffer.
const bufferSize = 4 << 10

// conn is one connection of a web tier. It carries one RPC at a time.
type conn struct {
	front.ConnState
	server    *Server
	in        *bufio.Reader
	variables wire.Variables
	ticket    *gate.Ticket  // of the RPC in flight; guarded by Mu
	handled   chan struct{} // receives a value when the handler goroutine has answered its RPC
	faults    int           // consecutive messages without a valid RPC
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{
		ConnState: front.ConnState{Conn: nc, WriteTimeout: s.gate.MaxAnswerTime(), LastActivity: time.Now()},
		server:    s,
		handled:   make(chan struct{}, 1),
	}
}

var (
	errMessageTimeout = errors.New("message not received completely before the timeout")
	// errClosedHere means that the message was answered and that no further message is accepted.
	errClosedHere = errors.New("connection is closed by the server")
	errTruncated  = errors.New("connection ended within a message")
)

// Serve handles messages one at a time until the connection ends.
func (c *conn) Serve() {
	defer c.Finish()
	defer func() {
		if v := recover(); v != nil {
			c.server.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("server.connection_panic")
		}
	}()
	c.in = bufio.NewReaderSize(c.Conn, bufferSize)
	for first := true; ; first = false {
		err := c.handleMessage(first)
		switch {
		case err == nil:
			continue
		case errors.Is(err, errMessageTimeout) && !c.Ending():
			c.server.log.WithField("peer", c.RemoteAddr()).Info("server.silent_connection_closed")
		case errors.Is(err, errTruncated):
			c.server.log.WithField("peer", c.RemoteAddr()).Info("uwsgi.message_truncated")
		}
		return
	}
}

// Abort implements front.Conn. The caller of an unanswered RPC counts as gone.
func (c *conn) Abort(deadline time.Time) {
	c.ConnState.Abort(deadline)
	c.Mu.Lock()
	t := c.ticket
	c.Mu.Unlock()
	if t != nil {
		t.ConnectionLost()
	}
}

// GoAway implements front.Conn. The protocol has no such message, so the connection is closed after the response in
// flight, or by CloseIdle when it has been idle for as long as an RPC may be in transit.
func (c *conn) GoAway() { c.MarkGoAway() }

// CloseIdle implements front.Conn. It does not linger, as a web tier accepts that a connection closes without notice.
func (c *conn) CloseIdle(idle, _ time.Duration) {
	c.CloseIfDrained(front.TransitTime)
	c.Mu.Lock()
	last := c.LastActivity
	isIdle := c.InFlight == 0 && c.ReceivedRPC && time.Since(last) > idle
	c.Mu.Unlock()
	if isIdle && !c.server.table.ShuttingDown() {
		c.Evict(last)
	}
}
