package uwsgi

// This file owns one connection: its reader, the goroutine beside it and its writes. It must never answer an RPC
// twice, nor keep one in hand whose peer is known to have left.

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"sorrelvalve/decision/route"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	wire "sorrelvalve/internal/uwsgi"
)

const (
	bufferSize = 4 << 10               // most blocks of a web tier take one to three KB; longer ones are read past it
	firstBody  = 16 << 10              // set aside at once for a body; the rest as it comes, as lengths may lie
	pointless  = 40                    // messages in a row without a sound RPC
	slowdown   = 20 * time.Millisecond // before each one after those
	bodyAway   = 250.0                 // ms to stay away where all bodies take more than they may: some answers later
	crossing   = front.Crossing        // an idle connection is closed no sooner after the drain has begun

	// The ping of the protocol: a packet without variables, answered by one with modifier2 set.
	pingModifier = 100
)

// conn is one connection of a web tier.
type conn struct {
	front.ConnState
	s      *Server
	in     *bufio.Reader
	vars   wire.Variables
	ticket *gate.Ticket  // of the RPC in hand; guarded by Mu
	done   chan struct{} // has a value once the RPC beside the reader has been answered
	faults int           // messages in a row without a sound RPC
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{ConnState: front.ConnState{Conn: nc, WriteTime: s.gate.Longest(), Last: time.Now()}, s: s, done: make(chan struct{}, 1)}
}

var (
	errSilent = errors.New("no message came whole in time")
	errEnd    = errors.New("the connection ends here") // answered, and no more is wanted
	errCut    = errors.New("the connection ended within a message")
)

// Serve reads messages, one RPC after the other, until the connection ends.
func (c *conn) Serve() {
	defer c.Finish()
	defer func() {
		if v := recover(); v != nil {
			c.s.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("server: panic on a connection")
		}
	}()
	c.in = bufio.NewReaderSize(c.Conn, bufferSize)
	for first := true; ; first = false {
		err := c.message(first)
		switch {
		case err == nil:
			continue
		case err == errSilent && !c.Ended():
			c.s.log.WithField("peer", c.RemoteAddr()).Info("server: silent connection closed")
		case err == errCut:
			c.s.log.WithField("peer", c.RemoteAddr()).Info("uwsgi: peer left within a message")
		}
		return
	}
}

// message takes one message and sees to its answer. io.EOF is a clean end.
func (c *conn) message(first bool) error {
	v := c.s.view.Load()
	if first {
		c.ReadBy(time.Now().Add(operator.Milliseconds(v.limits.ReadTimeoutMs)))
	}
	if _, err := c.in.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errSilent
		}
		return err
	}
	c.Begins()
	began := time.Now()
	c.ReadBy(began.Add(operator.Milliseconds(v.limits.ReadTimeoutMs)))
	head, err := c.in.Peek(wire.HeadSize)
	if err != nil {
		return cut(err)
	}
	h := wire.ParseHead(head)
	switch {
	case h.Modifier1 == pingModifier && h.Size == 0 && h.Modifier2 == 0:
		return c.ping()
	case h.Modifier1 != 0:
		return c.senseless(&wrong{status: 400, why: "modifier1: 0 expected"}, false)
	case h.Size > v.limits.MaxHeaderBytes:
		return c.senseless(&wrong{status: 431, why: "the block is longer than this server takes"}, false)
	}
	block, err := c.block(h.Size)
	if err != nil {
		return cut(err)
	}
	if err := c.vars.Parse(block, v.limits.MaxVariables); err != nil {
		status := 400
		if errors.Is(err, wire.ErrMany) {
			status = 431
		}
		return c.senseless(&wrong{status: status, why: err.Error()}, false)
	}
	defer c.vars.Reset()
	m := message{Message: route.Message{Variables: &c.vars}}
	if w := v.understand(&m); w != nil {
		return c.senseless(w, false)
	}
	found, err := v.routes.Resolve(&m.Message)
	if err != nil {
		w := &wrong{status: 400, why: err.Error()}
		switch {
		case errors.Is(err, route.ErrNoRoute):
			w.status = 404
		case errors.Is(err, route.ErrVerbNotAllowed):
			w.status, w.allow = 405, v.routes.Verbs(&m.Message)
		}
		return c.senseless(w, m.keep && m.length == 0)
	}
	taken := int64(m.length)
	if c.s.bodies.Add(taken) > int64(v.limits.BodyMemoryKB)<<10 {
		c.s.bodies.Add(-taken)
		c.spoken()
		away := gate.Verdict{Answer: gate.PushedBack, Away: c.s.gate.Advice(bodyAway)}
		c.Send(failHead(&away, false))
		return errEnd
	}
	defer c.s.bodies.Add(-taken)
	c.ReadBy(time.Now().Add(operator.Milliseconds(v.limits.BodyTimeoutMs)))
	body, err := c.body(m.length)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.senseless(&wrong{status: 400, why: "CONTENT_LENGTH: so much did not come in time"}, false)
	} else if err != nil {
		return cut(err)
	}
	c.ReadBy(time.Time{})
	door := found.Door
	if door == 0 {
		door = float64(began.UnixNano()) / 1e6
	}
	rpc := gate.RPC{
		ID: c.s.newID(), Method: found.Method, Customer: found.Customer, Body: body,
		Caller:  uint16(found.Caller ^ found.Caller>>16 ^ found.Caller>>32 ^ found.Caller>>48),
		Subject: found.Subject, Door: door, Hint: found.Hint, HeldKB: v.limits.QueuedKB + float64(len(body))/1024,
		Retry: found.Retry, Token: strings.Clone(found.Token), // it may outlive the block
	}
	c.Mu.Lock()
	shut := c.Shut
	if !shut { // from here on the connection is not idle
		c.Open, c.Spoke, c.Begun, c.Last = 1, true, false, time.Now()
	}
	c.Mu.Unlock()
	if shut {
		return net.ErrClosed // given up for another just now: the peer sends it again, so it must not run here
	}
	t, err := c.s.gate.Enter(rpc)
	if err != nil {
		return c.senseless(&wrong{status: 400, why: err.Error()}, m.keep)
	}
	c.faults = 0
	c.Mu.Lock()
	c.Used, c.ticket = true, t
	shut = c.Shut
	c.Mu.Unlock()
	if shut { // cut before the ticket could be seen
		t.Lost()
	}
	work := gate.Work{ID: rpc.ID, Method: rpc.Method, Body: body, Due: t.Due(), Variables: block, Caller: gate.CallerOf(&rpc)}
	verdict, there := t.Now()
	if there && verdict.Answer != gate.Run { // decided at once, as most in overload: no need for a goroutine
		return c.end(c.final(&verdict, m.Verb, v.types[found.Rule], m.keep))
	}
	keep := false
	go func() {
		defer func() {
			if p := recover(); p != nil {
				c.s.log.WithField("panic", p).WithField("stack", string(debug.Stack())).Error("server: panic on an RPC")
				t.Lost()
				c.Send(failHead(&gate.Verdict{Answer: gate.Aborted, Why: "a fault of the server"}, false))
			}
			c.ReadBy(time.Unix(1, 0)) // wakes the reader, should it watch
			c.done <- struct{}{}
		}()
		for !there || verdict.Answer == gate.Run {
			if there {
				c.s.run(work, t.ReportHead)
			}
			verdict, there = t.Wait(context.Background()), true
		}
		keep = c.final(&verdict, m.Verb, v.types[found.Rule], m.keep)
	}()
	c.watch(t, v.limits.HalfClose)
	<-c.done
	c.ReadBy(time.Time{})
	return c.end(keep)
}

// watch reads ahead while an RPC is in hand, so that a peer that leaves is noticed. It returns once the peer has left,
// has sent as much ahead as the buffer holds, or the reader has been woken.
func (c *conn) watch(t *gate.Ticket, halfClose bool) {
	for n := c.in.Buffered() + 1; n <= c.in.Size(); n++ {
		_, err := c.in.Peek(n)
		switch {
		case err == nil:
			n = c.in.Buffered()
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
		case err == io.EOF && halfClose:
		case err == io.EOF:
			t.Leave()
		default:
			t.Lost()
		}
		return
	}
}

// final writes what a verdict asks for and tells whether the connection goes on.
func (c *conn) final(v *gate.Verdict, verb, kind string, keep bool) bool {
	keep = keep && !c.s.table.Over()
	switch v.Answer {
	case gate.OK:
		head, body := okHead(v, verb, kind, keep)
		return c.Send(head, body) && keep
	case gate.Gone: // nothing is owed, and nobody reads
		return false
	}
	return c.Send(failHead(v, keep)) && keep
}

// end books that a message has been dealt with.
func (c *conn) end(keep bool) error {
	c.Mu.Lock()
	c.Open, c.Last, c.ticket = 0, time.Now(), nil
	c.Mu.Unlock()
	if !keep {
		return errEnd
	}
	return nil
}

// spoken books a message that brought no RPC.
func (c *conn) spoken() {
	c.Mu.Lock()
	c.Spoke, c.Begun, c.Last = true, false, time.Now()
	c.Mu.Unlock()
}

// senseless answers a message that makes no sense. The reader does it itself, so who sends on without reading waits.
func (c *conn) senseless(w *wrong, keep bool) error {
	c.spoken()
	c.s.log.WithField("peer", c.RemoteAddr()).WithError(w).Warn("server: senseless RPC")
	if c.faults++; c.faults > pointless {
		time.Sleep(slowdown)
	}
	return c.end(c.Send(wrongHead(w, keep)) && keep && !c.s.table.Over())
}

// ping answers a check: with the protocol's own packet if health is good, else with the end of the connection.
func (c *conn) ping() error {
	c.spoken()
	c.in.Discard(wire.HeadSize)
	if c.s.gate.Good() {
		c.Send(wire.AppendHead(nil, pingModifier, 0, 1))
	}
	return errEnd
}

// cut is what an error within a message means.
func cut(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errSilent
	}
	return errCut
}

// block reads the block of variables as one text.
func (c *conn) block(size int) (string, error) {
	if wire.HeadSize+size <= c.in.Size() {
		b, err := c.in.Peek(wire.HeadSize + size)
		if err != nil {
			return "", err
		}
		s := string(b[wire.HeadSize:])
		c.in.Discard(wire.HeadSize + size)
		return s, nil
	}
	c.in.Discard(wire.HeadSize)
	var s strings.Builder
	_, err := io.CopyN(&s, c.in, int64(size))
	return s.String(), err
}

// body reads a body of a length that has been checked, with memory set aside as it comes.
func (c *conn) body(size int) ([]byte, error) {
	b := make([]byte, min(size, firstBody))
	for at := 0; ; {
		n, err := io.ReadFull(c.in, b[at:])
		if at += n; err != nil {
			return nil, err
		}
		if at == size {
			return b, nil
		}
		b = append(b, make([]byte, min(size-at, at))...)
	}
}

// Cut ends the connection as the process does: an RPC that is unanswered by then has lost its caller.
func (c *conn) Cut(by time.Time) {
	c.ConnState.Cut(by)
	c.Mu.Lock()
	t := c.ticket
	c.Mu.Unlock()
	if t != nil {
		t.Lost()
	}
}

// Closing asks for no more: the protocol has no word for it, so a connection that is kept is closed after its answer,
// or by Retire once it has been idle for as long as an RPC may be on its way.
func (c *conn) Closing() { c.Tell() }

// Retire closes a connection that has been idle for so long.
func (c *conn) Retire(idle, _ time.Duration) {
	c.Rested(crossing)
	c.Mu.Lock()
	last, quiet := c.Last, c.Open == 0 && c.Used && time.Since(c.Last) > idle
	c.Mu.Unlock()
	if quiet && !c.s.table.Over() {
		c.Evict(last)
	}
}
