package mprpc

// This file owns one connection: its reader, the goroutines beside it and its writes. It must never let one RPC
// wait for another, nor end a connection while something that came whole is unanswered.

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/msgpack"
)

const (
	maxFrame           = 8 << 10               // a body of 2 KiB and fields of some hundred bytes, with room for new ones
	maxInFlight        = 64                    // RPCs on one connection: twice what the protocol says, as answers may be on their way
	tooManyRetryAfter  = 500                   // ms to stay away for one past that: the others are answered by then
	maxFaultsUndelayed = 40                    // messages in a row without a sound RPC: more than the cancels that cross answers
	faultDelay         = 20 * time.Millisecond // before each one after those: fifty a second cost little
)

// conn is one connection of a router.
type conn struct {
	front.ConnState // its Open is the length of open
	server          *Server
	handlers        sync.WaitGroup // of the goroutines beside the reader

	tickets        map[uint64]*gate.Ticket // by message id; nil while a check or an error is answered; guarded by Mu
	handlersClosed bool                    // no goroutine begins beside the reader any more; guarded by Mu
	faults         int                     // messages in a row without a sound RPC; the reader's own
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{ConnState: front.ConnState{Conn: nc, WriteTimeout: s.gate.MaxAnswerTime(), LastActivity: time.Now()}, server: s, tickets: map[uint64]*gate.Ticket{}}
}

// Serve reads until the connection ends, waits for what is in hand, and closes it.
func (c *conn) Serve() {
	if c.server.table.ShuttingDown() {
		c.GoAway()
	}
	err := c.readMessages()
	var lost *net.OpError
	switch {
	case errors.Is(err, io.EOF): // the peer may still read: all that came whole is answered
	case errors.As(err, &lost):
		c.abandonAll() // nobody is left to answer
	case err == errClosedHere: // from here; what is open, as after a write that failed, has nobody to answer to
		c.abandonAll()
	case err == errMessageTimeout:
		c.server.log.WithField("peer", c.RemoteAddr()).Info("server: silent connection closed")
	default:
		c.server.log.WithField("peer", c.RemoteAddr()).WithError(err).Warn("server: broken frame, connection closed")
	}
	c.Mu.Lock()
	c.handlersClosed = true
	c.Mu.Unlock()
	c.handlers.Wait()
	c.Finish()
}

// leave takes the callers of all that is open as gone.
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

var (
	errDuplicateID    = errors.New("message id is open already")
	errMessageTimeout = errors.New("no message came whole in time")
	errClosedHere     = errors.New("the connection is closed from here")
)

// read takes messages until an error; io.EOF is a clean end. Frames are parsed in the reader's buffer.
func (c *conn) readMessages() (err error) {
	defer func() {
		if v := recover(); v != nil {
			c.server.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("server: panic on a connection")
			err = errFrame
		}
	}()
	in := bufio.NewReaderSize(c.Conn, maxFrame)
	need := 1 // bytes that must be there before another look can find more
	// A message that has begun must come whole in time, and so must the first: who says nothing, or never
	// comes to an end, must not keep a descriptor.
	timed := true
	c.BoundReads(time.Now().Add(c.server.messageTimeout))
	for {
		_, err := in.Peek(need)
		b, _ := in.Peek(in.Buffered())
		switch {
		case err == io.EOF && len(b) > 0:
			return errors.New("the connection ended within a message")
		case errors.Is(err, os.ErrDeadlineExceeded) && c.Ending():
			return errClosedHere
		case errors.Is(err, os.ErrDeadlineExceeded):
			return errMessageTimeout
		case err != nil:
			return err
		}
		m, size, err := parseMessage(b)
		switch err {
		case nil:
			if timed {
				timed = false
				c.BoundReads(time.Time{})
			}
			if err := c.dispatch(m); err != nil {
				return err
			}
			in.Discard(size)
			need = 1
			if c.faults > maxFaultsUndelayed { // only this peer waits, and what it has in hand does not
				time.Sleep(faultDelay)
			}
		case msgpack.ErrTruncated:
			need = size
			c.BeginMessage()
			if !timed {
				timed = true
				c.BoundReads(time.Now().Add(c.server.messageTimeout))
			}
		default:
			c.answerBroken(b, err.Error())
			return err
		}
	}
}

// broken answers a call that can't be read, if its id can and is not open.
func (c *conn) answerBroken(b []byte, why string) {
	id, ok := callID(b)
	c.Mu.Lock()
	if _, taken := c.tickets[id]; taken || c.CloseRequested {
		ok = false
	}
	if ok { // it is not closed for another while this is being written
		c.tickets[id] = nil
		c.InFlight = len(c.tickets)
	}
	c.Mu.Unlock()
	if ok {
		c.write(errorResponse(id, "Invalid", why))
		c.complete(id)
	}
}

// take handles one message.
func (c *conn) dispatch(m message) error {
	c.Mu.Lock()
	c.LastActivity, c.ReceivedMessage, c.PartialMessage = time.Now(), true, false
	shut := c.CloseRequested
	_, taken := c.tickets[m.id]
	full := len(c.tickets) >= maxInFlight
	if m.kind == typeCall && !taken && !shut && !full {
		c.tickets[m.id] = nil // from here on the connection is not idle
		c.InFlight = len(c.tickets)
	}
	c.Mu.Unlock()
	c.faults++
	switch {
	case shut:
		return errClosedHere
	case m.kind == typeNotification:
		if string(m.method) == "cancel" {
			for _, id := range parseCancel(m.params) {
				c.Mu.Lock()
				t := c.tickets[id]
				c.Mu.Unlock()
				if t != nil {
					t.Cancel()
					c.faults = 0
				}
			}
		}
		return nil
	case taken: // an answer to this number would be a second one to that of the first
		return errDuplicateID
	case full: // the reader writes this itself: a peer that sends on without reading waits for it
		c.write(rejection(m.id, c.server.gate.CapRetryAfter(tooManyRetryAfter), false))
		return nil
	case string(m.method) == "health" && isHealthCheck(m.params):
		c.faults = 0
		c.write(healthResponse(m.id, c.server.gate.Healthy()))
		c.complete(m.id)
		return nil
	}
	rpc, err := parseRPC(m.method, m.params)
	var t *gate.Ticket
	if err == nil {
		t, err = c.server.gate.Submit(rpc)
	}
	if err != nil {
		c.server.log.WithField("peer", c.RemoteAddr()).WithError(err).Warn("server: senseless RPC")
		c.write(errorResponse(m.id, "Invalid", err.Error()))
		c.complete(m.id)
		return nil
	}
	c.faults = 0
	c.startHandler(m.id, t, func() { c.awaitVerdicts(m.id, t, rpc) })
	return nil
}

// done frees a message id that has been answered.
func (c *conn) complete(id uint64) {
	c.Mu.Lock()
	delete(c.tickets, id)
	c.InFlight = len(c.tickets)
	c.LastActivity = time.Now()
	c.Mu.Unlock()
}

// beside does what answers an RPC in a goroutine of its own.
func (c *conn) startHandler(id uint64, t *gate.Ticket, do func()) {
	c.Mu.Lock()
	c.tickets[id], c.ReceivedRPC = t, true
	c.InFlight = len(c.tickets)
	shut := c.CloseRequested
	c.Mu.Unlock()
	if shut { // it ended before the ticket could be seen
		t.ConnectionLost()
	}
	c.handlers.Add(1)
	go func() {
		defer c.handlers.Done()
		defer func() {
			v := recover()
			if v != nil {
				c.server.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("server: panic on an RPC")
				t.ConnectionLost()
				c.write(errorResponse(id, "Internal", "a fault of the server"))
			}
			c.complete(id)
		}()
		do()
	}()
}

// answer waits for the verdicts on an RPC and carries them out until the final one.
func (c *conn) awaitVerdicts(id uint64, t *gate.Ticket, rpc gate.RPC) {
	for {
		switch v := t.Wait(context.Background()); v.Kind {
		case gate.Run:
			c.server.run(gate.RunRequest{ID: rpc.ID, Method: rpc.Method, Body: rpc.Body, DueMs: t.DueMs(), Caller: gate.CallerHash(&rpc)}, t.ReportWithHead)
			continue
		case gate.OK:
			c.write(resultHeader(id, len(v.Result)), v.Result, resultTrailer(v.Head))
		case gate.Rejected:
			c.write(rejection(id, v.RetryAfterMs, v.NoRetry))
		case gate.Aborted:
			c.write(errorResponse(id, "Aborted", v.Reason))
		case gate.CallerGone: // nothing is owed, but who withdrew all it sent would else hear nothing until the idle limit
			c.write(errorResponse(id, "Cancelled", "its caller no longer waits"))
		}
		return
	}
}

// write sends one message in parts. If that fails nobody is left to answer.
func (c *conn) write(parts ...[]byte) {
	if !c.Send(parts...) {
		c.abandonAll()
	}
}

// Cut ends the connection as the process does: what is unanswered by then has lost its caller.
func (c *conn) Abort(by time.Time) {
	c.ConnState.Abort(by)
	c.abandonAll()
}

// Closing asks the router for no more RPCs here.
func (c *conn) GoAway() {
	if !c.MarkGoAway() {
		return
	}
	c.Mu.Lock()
	defer c.Mu.Unlock()
	if c.handlersClosed { // it is being closed
		return
	}
	c.handlers.Add(1)
	go func() { // a caller that reads slowly must not hold up the one who asks
		defer c.handlers.Done()
		c.write(closingNotice())
	}()
}

// Retire closes a connection that has carried nothing for so long: first it is told, then its router closes
// it, and if that does not come it is closed from here.
func (c *conn) CloseIdle(idle, lingers time.Duration) {
	c.Mu.Lock()
	ask := len(c.tickets) == 0 && c.GoAwayAt.IsZero() && time.Since(c.LastActivity) > idle
	c.Mu.Unlock()
	if ask {
		c.GoAway()
	}
	c.CloseIfDrained(lingers)
}
