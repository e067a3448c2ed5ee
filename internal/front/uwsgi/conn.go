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
	bufferSize           = 4 << 10               // most blocks of a web tier take one to three KB; longer ones are read past it
	initialBodySize      = 16 << 10              // set aside at once for a body; the rest as it comes, as lengths may lie
	maxFaultsUndelayed   = 40                    // messages in a row without a sound RPC
	faultDelay           = 20 * time.Millisecond // before each one after those
	bodyBudgetRetryAfter = 250.0                 // ms to stay away where all bodies take more than they may: some answers later
	idleCloseDelay       = front.TransitTime     // an idle connection is closed no sooner after the drain has begun

	// The ping of the protocol: a packet without variables, answered by one with modifier2 set.
	pingModifier = 100
)

// conn is one connection of a web tier.
type conn struct {
	front.ConnState
	server    *Server
	in        *bufio.Reader
	variables wire.Variables
	ticket    *gate.Ticket  // of the RPC in hand; guarded by Mu
	handled   chan struct{} // has a value once the RPC beside the reader has been answered
	faults    int           // messages in a row without a sound RPC
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{ConnState: front.ConnState{Conn: nc, WriteTimeout: s.gate.MaxAnswerTime(), LastActivity: time.Now()}, server: s, handled: make(chan struct{}, 1)}
}

var (
	errMessageTimeout = errors.New("no message came whole in time")
	errClosedHere     = errors.New("the connection ends here") // answered, and no more is wanted
	errTruncated      = errors.New("the connection ended within a message")
)

// Serve reads messages, one RPC after the other, until the connection ends.
func (c *conn) Serve() {
	defer c.Finish()
	defer func() {
		if v := recover(); v != nil {
			c.server.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("server: panic on a connection")
		}
	}()
	c.in = bufio.NewReaderSize(c.Conn, bufferSize)
	for first := true; ; first = false {
		err := c.handleMessage(first)
		switch {
		case err == nil:
			continue
		case err == errMessageTimeout && !c.Ending():
			c.server.log.WithField("peer", c.RemoteAddr()).Info("server: silent connection closed")
		case err == errTruncated:
			c.server.log.WithField("peer", c.RemoteAddr()).Info("uwsgi: peer left within a message")
		}
		return
	}
}

// message takes one message and sees to its answer. io.EOF is a clean end.
func (c *conn) handleMessage(first bool) error {
	v := c.server.config.Load()
	if first {
		c.BoundReads(time.Now().Add(operator.Milliseconds(v.limits.ReadTimeoutMs)))
	}
	if _, err := c.in.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errMessageTimeout
		}
		return err
	}
	c.BeginMessage()
	began := time.Now()
	c.BoundReads(began.Add(operator.Milliseconds(v.limits.ReadTimeoutMs)))
	head, err := c.in.Peek(wire.HeaderSize)
	if err != nil {
		return truncation(err)
	}
	h := wire.ParseHeader(head)
	switch {
	case h.Modifier1 == pingModifier && h.BlockSize == 0 && h.Modifier2 == 0:
		return c.answerPing()
	case h.Modifier1 != 0:
		return c.rejectInvalid(&requestError{status: 400, reason: "modifier1: 0 expected"}, false)
	case h.BlockSize > v.limits.MaxHeaderBytes:
		return c.rejectInvalid(&requestError{status: 431, reason: "the block is longer than this server takes"}, false)
	}
	block, err := c.readBlock(h.BlockSize)
	if err != nil {
		return truncation(err)
	}
	if err := c.variables.Parse(block, v.limits.MaxVariables); err != nil {
		status := 400
		if errors.Is(err, wire.ErrTooManyVariables) {
			status = 431
		}
		return c.rejectInvalid(&requestError{status: status, reason: err.Error()}, false)
	}
	defer c.variables.Reset()
	m := request{Message: route.Message{Variables: &c.variables}}
	if w := v.parseRequest(&m); w != nil {
		return c.rejectInvalid(w, false)
	}
	found, err := v.routes.Resolve(&m.Message)
	if err != nil {
		w := &requestError{status: 400, reason: err.Error()}
		switch {
		case errors.Is(err, route.ErrNoRoute):
			w.status = 404
		case errors.Is(err, route.ErrVerbNotAllowed):
			w.status, w.allow = 405, v.routes.Verbs(&m.Message)
		}
		return c.rejectInvalid(w, m.keepAlive && m.bodyLength == 0)
	}
	taken := int64(m.bodyLength)
	if c.server.bodyBytes.Add(taken) > int64(v.limits.BodyMemoryKB)<<10 {
		c.server.bodyBytes.Add(-taken)
		c.markReceived()
		away := gate.Verdict{Kind: gate.Rejected, RetryAfterMs: c.server.gate.CapRetryAfter(bodyBudgetRetryAfter)}
		c.Send(failureHead(&away, false))
		return errClosedHere
	}
	defer c.server.bodyBytes.Add(-taken)
	c.BoundReads(time.Now().Add(operator.Milliseconds(v.limits.BodyTimeoutMs)))
	body, err := c.readBody(m.bodyLength)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.rejectInvalid(&requestError{status: 400, reason: "CONTENT_LENGTH: so much did not come in time"}, false)
	} else if err != nil {
		return truncation(err)
	}
	c.BoundReads(time.Time{})
	door := found.Door
	if door == 0 {
		door = float64(began.UnixNano()) / 1e6
	}
	rpc := gate.RPC{
		ID: c.server.newID(), Method: found.Method, Customer: found.Customer, Body: body,
		Caller:  uint16(found.Caller ^ found.Caller>>16 ^ found.Caller>>32 ^ found.Caller>>48),
		Subject: found.Subject, ArrivedMs: door, CostHintMs: found.Hint, QueuedKB: v.limits.QueuedKB + float64(len(body))/1024,
		Retry: found.Retry, Token: strings.Clone(found.Token), // it may outlive the block
	}
	c.Mu.Lock()
	shut := c.CloseRequested
	if !shut { // from here on the connection is not idle
		c.InFlight, c.ReceivedMessage, c.PartialMessage, c.LastActivity = 1, true, false, time.Now()
	}
	c.Mu.Unlock()
	if shut {
		return net.ErrClosed // given up for another just now: the peer sends it again, so it must not run here
	}
	t, err := c.server.gate.Submit(rpc)
	if err != nil {
		return c.rejectInvalid(&requestError{status: 400, reason: err.Error()}, m.keepAlive)
	}
	c.faults = 0
	c.Mu.Lock()
	c.ReceivedRPC, c.ticket = true, t
	shut = c.CloseRequested
	c.Mu.Unlock()
	if shut { // cut before the ticket could be seen
		t.ConnectionLost()
	}
	work := gate.RunRequest{ID: rpc.ID, Method: rpc.Method, Body: body, DueMs: t.DueMs(), Variables: block, Caller: gate.CallerHash(&rpc)}
	verdict, there := t.TryWait()
	if there && verdict.Kind != gate.Run { // decided at once, as most in overload: no need for a goroutine
		return c.complete(c.writeVerdict(&verdict, m.Verb, v.contentTypes[found.Rule], m.keepAlive))
	}
	keep := false
	go func() {
		defer func() {
			if p := recover(); p != nil {
				c.server.log.WithField("panic", p).WithField("stack", string(debug.Stack())).Error("server: panic on an RPC")
				t.ConnectionLost()
				c.Send(failureHead(&gate.Verdict{Kind: gate.Aborted, Reason: "a fault of the server"}, false))
			}
			c.BoundReads(time.Unix(1, 0)) // wakes the reader, should it watch
			c.handled <- struct{}{}
		}()
		for !there || verdict.Kind == gate.Run {
			if there {
				c.server.run(work, t.ReportWithHead)
			}
			verdict, there = t.Wait(context.Background()), true
		}
		keep = c.writeVerdict(&verdict, m.Verb, v.contentTypes[found.Rule], m.keepAlive)
	}()
	c.watchPeer(t, v.limits.HalfClose)
	<-c.handled
	c.BoundReads(time.Time{})
	return c.complete(keep)
}

// watch reads ahead while an RPC is in hand, so that a peer that leaves is noticed. It returns once the peer has left,
// has sent as much ahead as the buffer holds, or the reader has been woken.
func (c *conn) watchPeer(t *gate.Ticket, halfClose bool) {
	for n := c.in.Buffered() + 1; n <= c.in.Size(); n++ {
		_, err := c.in.Peek(n)
		switch {
		case err == nil:
			n = c.in.Buffered()
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
		case err == io.EOF && halfClose:
		case err == io.EOF:
			t.Cancel()
		default:
			t.ConnectionLost()
		}
		return
	}
}

// final writes what a verdict asks for and tells whether the connection goes on.
func (c *conn) writeVerdict(v *gate.Verdict, verb, kind string, keep bool) bool {
	keep = keep && !c.server.table.ShuttingDown()
	switch v.Kind {
	case gate.OK:
		head, body := resultResponse(v, verb, kind, keep)
		return c.Send(head, body) && keep
	case gate.CallerGone: // nothing is owed, and nobody reads
		return false
	}
	return c.Send(failureHead(v, keep)) && keep
}

// end books that a message has been dealt with.
func (c *conn) complete(keep bool) error {
	c.Mu.Lock()
	c.InFlight, c.LastActivity, c.ticket = 0, time.Now(), nil
	c.Mu.Unlock()
	if !keep {
		return errClosedHere
	}
	return nil
}

// spoken books a message that brought no RPC.
func (c *conn) markReceived() {
	c.Mu.Lock()
	c.ReceivedMessage, c.PartialMessage, c.LastActivity = true, false, time.Now()
	c.Mu.Unlock()
}

// senseless answers a message that makes no sense. The reader does it itself, so who sends on without reading waits.
func (c *conn) rejectInvalid(w *requestError, keep bool) error {
	c.markReceived()
	c.server.log.WithField("peer", c.RemoteAddr()).WithError(w).Warn("server: senseless RPC")
	if c.faults++; c.faults > maxFaultsUndelayed {
		time.Sleep(faultDelay)
	}
	return c.complete(c.Send(requestErrorHead(w, keep)) && keep && !c.server.table.ShuttingDown())
}

// ping answers a check: with the protocol's own packet if health is good, else with the end of the connection.
func (c *conn) answerPing() error {
	c.markReceived()
	c.in.Discard(wire.HeaderSize)
	if c.server.gate.Healthy() {
		c.Send(wire.AppendHeader(nil, pingModifier, 0, 1))
	}
	return errClosedHere
}

// cut is what an error within a message means.
func truncation(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errMessageTimeout
	}
	return errTruncated
}

// block reads the block of variables as one text.
func (c *conn) readBlock(size int) (string, error) {
	if wire.HeaderSize+size <= c.in.Size() {
		b, err := c.in.Peek(wire.HeaderSize + size)
		if err != nil {
			return "", err
		}
		s := string(b[wire.HeaderSize:])
		c.in.Discard(wire.HeaderSize + size)
		return s, nil
	}
	c.in.Discard(wire.HeaderSize)
	var s strings.Builder
	_, err := io.CopyN(&s, c.in, int64(size))
	return s.String(), err
}

// body reads a body of a length that has been checked, with memory set aside as it comes.
func (c *conn) readBody(size int) ([]byte, error) {
	b := make([]byte, min(size, initialBodySize))
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
func (c *conn) Abort(by time.Time) {
	c.ConnState.Abort(by)
	c.Mu.Lock()
	t := c.ticket
	c.Mu.Unlock()
	if t != nil {
		t.ConnectionLost()
	}
}

// Closing asks for no more: the protocol has no word for it, so a connection that is kept is closed after its answer,
// or by Retire once it has been idle for as long as an RPC may be on its way.
func (c *conn) GoAway() { c.MarkGoAway() }

// Retire closes a connection that has been idle for so long.
func (c *conn) CloseIdle(idle, _ time.Duration) {
	c.CloseIfDrained(idleCloseDelay)
	c.Mu.Lock()
	last, quiet := c.LastActivity, c.InFlight == 0 && c.ReceivedRPC && time.Since(c.LastActivity) > idle
	c.Mu.Unlock()
	if quiet && !c.server.table.ShuttingDown() {
		c.Evict(last)
	}
}
