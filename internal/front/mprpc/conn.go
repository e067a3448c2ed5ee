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
	maxFrame  = 8 << 10               // a body of 2 KiB and fields of some hundred bytes, with room for new ones
	maxOpen   = 64                    // RPCs on one connection: twice what the protocol says, as answers may be on their way
	crowded   = 500                   // ms to stay away for one past that: the others are answered by then
	pointless = 40                    // messages in a row without a sound RPC: more than the cancels that cross answers
	slowdown  = 20 * time.Millisecond // before each one after those: fifty a second cost little
)

// conn is one connection of a router.
type conn struct {
	front.ConnState // its Open is the length of open
	s               *Server
	wg              sync.WaitGroup // of the goroutines beside the reader

	open   map[uint64]*gate.Ticket // by message id; nil while a check or an error is answered; guarded by Mu
	over   bool                    // no goroutine begins beside the reader any more; guarded by Mu
	faults int                     // messages in a row without a sound RPC; the reader's own
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{ConnState: front.ConnState{Conn: nc, WriteTime: s.gate.Longest(), Last: time.Now()}, s: s, open: map[uint64]*gate.Ticket{}}
}

// Serve reads until the connection ends, waits for what is in hand, and closes it.
func (c *conn) Serve() {
	if c.s.table.Over() {
		c.Closing()
	}
	err := c.read()
	var lost *net.OpError
	switch {
	case errors.Is(err, io.EOF): // the peer may still read: all that came whole is answered
	case errors.As(err, &lost):
		c.leave() // nobody is left to answer
	case err == errEnded: // from here; what is open, as after a write that failed, has nobody to answer to
		c.leave()
	case err == errSilent:
		c.s.log.WithField("peer", c.RemoteAddr()).Info("server: silent connection closed")
	default:
		c.s.log.WithField("peer", c.RemoteAddr()).WithError(err).Warn("server: broken frame, connection closed")
	}
	c.Mu.Lock()
	c.over = true
	c.Mu.Unlock()
	c.wg.Wait()
	c.Finish()
}

// leave takes the callers of all that is open as gone.
func (c *conn) leave() {
	c.Mu.Lock()
	tickets := make([]*gate.Ticket, 0, len(c.open))
	for _, t := range c.open {
		if t != nil {
			tickets = append(tickets, t)
		}
	}
	c.Mu.Unlock()
	for _, t := range tickets {
		t.Lost()
	}
}

var (
	errRepeated = errors.New("message id is open already")
	errSilent   = errors.New("no message came whole in time")
	errEnded    = errors.New("the connection is closed from here")
)

// read takes messages until an error; io.EOF is a clean end. Frames are parsed in the reader's buffer.
func (c *conn) read() (err error) {
	defer func() {
		if v := recover(); v != nil {
			c.s.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("server: panic on a connection")
			err = errFrame
		}
	}()
	in := bufio.NewReaderSize(c.Conn, maxFrame)
	need := 1 // bytes that must be there before another look can find more
	// A message that has begun must come whole in time, and so must the first: who says nothing, or never
	// comes to an end, must not keep a descriptor.
	timed := true
	c.ReadBy(time.Now().Add(c.s.silence))
	for {
		_, err := in.Peek(need)
		b, _ := in.Peek(in.Buffered())
		switch {
		case err == io.EOF && len(b) > 0:
			return errors.New("the connection ended within a message")
		case errors.Is(err, os.ErrDeadlineExceeded) && c.Ended():
			return errEnded
		case errors.Is(err, os.ErrDeadlineExceeded):
			return errSilent
		case err != nil:
			return err
		}
		m, size, err := parseMessage(b)
		switch err {
		case nil:
			if timed {
				timed = false
				c.ReadBy(time.Time{})
			}
			if err := c.take(m); err != nil {
				return err
			}
			in.Discard(size)
			need = 1
			if c.faults > pointless { // only this peer waits, and what it has in hand does not
				time.Sleep(slowdown)
			}
		case msgpack.ErrShort:
			need = size
			c.Begins()
			if !timed {
				timed = true
				c.ReadBy(time.Now().Add(c.s.silence))
			}
		default:
			c.broken(b, err.Error())
			return err
		}
	}
}

// broken answers a call that can't be read, if its id can and is not open.
func (c *conn) broken(b []byte, why string) {
	id, ok := numberOf(b)
	c.Mu.Lock()
	if _, taken := c.open[id]; taken || c.Shut {
		ok = false
	}
	if ok { // it is not closed for another while this is being written
		c.open[id] = nil
		c.Open = len(c.open)
	}
	c.Mu.Unlock()
	if ok {
		c.write(failure(id, "Invalid", why))
		c.done(id)
	}
}

// take handles one message.
func (c *conn) take(m message) error {
	c.Mu.Lock()
	c.Last, c.Spoke, c.Begun = time.Now(), true, false
	shut := c.Shut
	_, taken := c.open[m.id]
	full := len(c.open) >= maxOpen
	if m.kind == typeCall && !taken && !shut && !full {
		c.open[m.id] = nil // from here on the connection is not idle
		c.Open = len(c.open)
	}
	c.Mu.Unlock()
	c.faults++
	switch {
	case shut:
		return errEnded
	case m.kind == typeNotice:
		if string(m.method) == "cancel" {
			for _, id := range parseCancel(m.params) {
				c.Mu.Lock()
				t := c.open[id]
				c.Mu.Unlock()
				if t != nil {
					t.Leave()
					c.faults = 0
				}
			}
		}
		return nil
	case taken: // an answer to this number would be a second one to that of the first
		return errRepeated
	case full: // the reader writes this itself: a peer that sends on without reading waits for it
		c.write(pushback(m.id, c.s.gate.Advice(crowded), false))
		return nil
	case string(m.method) == "health" && parseHealth(m.params):
		c.faults = 0
		c.write(healthAnswer(m.id, c.s.gate.Good()))
		c.done(m.id)
		return nil
	}
	rpc, err := parseRPC(m.method, m.params)
	var t *gate.Ticket
	if err == nil {
		t, err = c.s.gate.Enter(rpc)
	}
	if err != nil {
		c.s.log.WithField("peer", c.RemoteAddr()).WithError(err).Warn("server: senseless RPC")
		c.write(failure(m.id, "Invalid", err.Error()))
		c.done(m.id)
		return nil
	}
	c.faults = 0
	c.beside(m.id, t, func() { c.answer(m.id, t, rpc) })
	return nil
}

// done frees a message id that has been answered.
func (c *conn) done(id uint64) {
	c.Mu.Lock()
	delete(c.open, id)
	c.Open = len(c.open)
	c.Last = time.Now()
	c.Mu.Unlock()
}

// beside does what answers an RPC in a goroutine of its own.
func (c *conn) beside(id uint64, t *gate.Ticket, do func()) {
	c.Mu.Lock()
	c.open[id], c.Used = t, true
	c.Open = len(c.open)
	shut := c.Shut
	c.Mu.Unlock()
	if shut { // it ended before the ticket could be seen
		t.Lost()
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer func() {
			v := recover()
			if v != nil {
				c.s.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("server: panic on an RPC")
				t.Lost()
				c.write(failure(id, "Internal", "a fault of the server"))
			}
			c.done(id)
		}()
		do()
	}()
}

// answer waits for the verdicts on an RPC and carries them out until the final one.
func (c *conn) answer(id uint64, t *gate.Ticket, rpc gate.RPC) {
	for {
		switch v := t.Wait(context.Background()); v.Answer {
		case gate.Run:
			c.s.run(gate.Work{ID: rpc.ID, Method: rpc.Method, Body: rpc.Body, Due: t.Due(), Caller: gate.CallerOf(&rpc)}, t.ReportHead)
			continue
		case gate.OK:
			c.write(okHead(id, len(v.Result)), v.Result, okTail(v.Head))
		case gate.PushedBack:
			c.write(pushback(id, v.Away, v.Last))
		case gate.Aborted:
			c.write(failure(id, "Aborted", v.Why))
		case gate.Gone: // nothing is owed, but who withdrew all it sent would else hear nothing until the idle limit
			c.write(failure(id, "Cancelled", "its caller no longer waits"))
		}
		return
	}
}

// write sends one message in parts. If that fails nobody is left to answer.
func (c *conn) write(parts ...[]byte) {
	if !c.Send(parts...) {
		c.leave()
	}
}

// Cut ends the connection as the process does: what is unanswered by then has lost its caller.
func (c *conn) Cut(by time.Time) {
	c.ConnState.Cut(by)
	c.leave()
}

// Closing asks the router for no more RPCs here.
func (c *conn) Closing() {
	if !c.Tell() {
		return
	}
	c.Mu.Lock()
	defer c.Mu.Unlock()
	if c.over { // it is being closed
		return
	}
	c.wg.Add(1)
	go func() { // a caller that reads slowly must not hold up the one who asks
		defer c.wg.Done()
		c.write(closingNotice())
	}()
}

// Retire closes a connection that has carried nothing for so long: first it is told, then its router closes
// it, and if that does not come it is closed from here.
func (c *conn) Retire(idle, lingers time.Duration) {
	c.Mu.Lock()
	ask := len(c.open) == 0 && c.Told.IsZero() && time.Since(c.Last) > idle
	c.Mu.Unlock()
	if ask {
		c.Closing()
	}
	c.Rested(lingers)
}
