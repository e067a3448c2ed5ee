package uwsgi

// This file owns the life of one connection: its reader and its closing.

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

// bufferSize holds most blocks of a web tier, which have one to three KB; longer ones are read past the buffer.
const bufferSize = 4 << 10

// conn is one connection of a web tier. It carries one RPC at a time.
type conn struct {
	front.ConnState
	server    *Server
	in        *bufio.Reader
	variables wire.Variables
	ticket    *gate.Ticket  // of the RPC in flight; guarded by Mu
	handled   chan struct{} // has a value once the RPC beside the reader has been answered
	faults    int           // messages in a row without a valid RPC
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{
		ConnState: front.ConnState{Conn: nc, WriteTimeout: s.gate.MaxAnswerTime(), LastActivity: time.Now()},
		server:    s,
		handled:   make(chan struct{}, 1),
	}
}

var (
	errMessageTimeout = errors.New("no message came whole in time")
	errClosedHere     = errors.New("the connection ends here") // the message was answered, and no more is wanted
	errTruncated      = errors.New("the connection ended within a message")
)

// Serve handles messages, one after the other, until the connection ends.
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

// Abort implements front.Conn: an RPC that is unanswered by then has lost its caller.
func (c *conn) Abort(deadline time.Time) {
	c.ConnState.Abort(deadline)
	c.Mu.Lock()
	t := c.ticket
	c.Mu.Unlock()
	if t != nil {
		t.ConnectionLost()
	}
}

// GoAway implements front.Conn. The protocol has no message for it: the connection is closed after the response in
// flight, or by CloseIdle once it has been idle for as long as an RPC may be on its way.
func (c *conn) GoAway() { c.MarkGoAway() }

// CloseIdle implements front.Conn. It does not linger: a web tier takes the end of a connection without a notice.
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
