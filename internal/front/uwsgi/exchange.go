package uwsgi

// This file owns an RPC from its message to its response. It must never answer an RPC twice, nor keep one in flight whose
// peer is known to have left.

import (
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
)

// exchange is one RPC on a connection, whose message has been read completely.
type exchange struct {
	conn     *conn
	config   *config
	request  *request
	resolved *route.Resolved
	block    string // of variables
	body     []byte
	began    time.Time // when its first byte came
}

// serve passes the RPC through the gate, has it run and answers it. A nil error means that the connection goes on.
func (x *exchange) serve() error {
	c := x.conn
	rpc := x.rpc()
	if !x.begin() {
		return net.ErrClosed // evicted just now: the peer sends the RPC again elsewhere, so it must not run here
	}
	t, err := c.server.gate.Submit(rpc)
	if err != nil {
		e := badRequest(err.Error())
		e.keepAlive = x.request.keepAlive
		return c.rejectInvalid(e)
	}
	c.faults = 0
	x.track(t)
	run := gate.RunRequest{
		ID:        rpc.ID,
		Method:    rpc.Method,
		Body:      x.body,
		DueMs:     t.DueMs(),
		Variables: x.block,
		Caller:    gate.CallerHash(&rpc),
	}
	verdict, decided := t.TryWait()
	if decided && verdict.Kind != gate.Run { // decided at once, as most in overload: no goroutine is needed
		return c.complete(x.writeVerdict(&verdict))
	}
	keepAlive := false
	go func() {
		defer x.handled(t)
		keepAlive = x.awaitVerdicts(t, run, verdict, decided)
	}()
	c.watchPeer(t, x.config.limits.HalfClose)
	<-c.handled
	c.BoundReads(time.Time{})
	return c.complete(keepAlive)
}

// rpc returns the RPC as the gate takes it.
func (x *exchange) rpc() gate.RPC {
	r := x.resolved
	arrived := r.ArrivedMs
	if arrived == 0 {
		arrived = float64(x.began.UnixNano()) / 1e6
	}
	return gate.RPC{
		ID:         x.conn.server.newID(),
		Method:     r.Method,
		Customer:   r.Customer,
		Body:       x.body,
		Caller:     front.CallerNumber(r.Caller),
		Subject:    r.Subject,
		ArrivedMs:  arrived,
		CostHintMs: r.CostHintMs,
		QueuedKB:   x.config.limits.QueuedKB + float64(len(x.body))/1024,
		Retry:      r.Retry,
		Token:      strings.Clone(r.Token), // it may outlive the block
	}
}

// begin marks the connection as busy. It reports false if the connection is to be closed.
func (x *exchange) begin() bool {
	c := x.conn
	c.Mu.Lock()
	defer c.Mu.Unlock()
	if c.CloseRequested {
		return false
	}
	c.InFlight = 1
	c.ReceivedMessage = true
	c.PartialMessage = false
	c.LastActivity = time.Now()
	return true
}

// track makes the ticket known to Abort.
func (x *exchange) track(t *gate.Ticket) {
	c := x.conn
	c.Mu.Lock()
	c.ReceivedRPC = true
	c.ticket = t
	closing := c.CloseRequested
	c.Mu.Unlock()
	if closing { // Abort may have run before the ticket could be seen
		t.ConnectionLost()
	}
}

// awaitVerdicts carries out the verdicts on an RPC up to the final one, the first of which may be decided already. It
// reports whether the connection goes on.
func (x *exchange) awaitVerdicts(t *gate.Ticket, run gate.RunRequest, verdict gate.Verdict, decided bool) (keepAlive bool) {
	for !decided || verdict.Kind == gate.Run {
		if decided {
			x.conn.server.run(run, t.ReportWithHead)
		}
		verdict = t.Wait(context.Background()) // the gate bounds the wait: each RPC gets a final verdict by its due time
		decided = true
	}
	return x.writeVerdict(&verdict)
}

// handled ends the goroutine beside the reader, which it wakes. A panic is answered as a failed run.
func (x *exchange) handled(t *gate.Ticket) {
	c := x.conn
	if v := recover(); v != nil {
		c.server.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("server.rpc_panic")
		t.ConnectionLost()
		c.Send(failureHead(&gate.Verdict{Kind: gate.Aborted, Reason: "a fault of the server"}, false))
	}
	c.WakeReader()
	c.handled <- struct{}{}
}

// writeVerdict writes the response that a final verdict asks for and reports whether the connection goes on.
func (x *exchange) writeVerdict(v *gate.Verdict) (keepAlive bool) {
	c := x.conn
	keepAlive = x.request.keepAlive && !c.server.table.ShuttingDown()
	switch v.Kind {
	case gate.OK:
		head, body := resultResponse(v, x.request.Verb, x.config.contentTypes[x.resolved.Rule], keepAlive)
		return c.Send(head, body) && keepAlive
	case gate.CallerGone: // nothing is owed, and nobody reads
		return false
	}
	return c.Send(failureHead(v, keepAlive)) && keepAlive
}

// watchPeer reads ahead while an RPC is in flight, so that a peer that leaves is noticed. It returns once the peer has
// left, has sent as much ahead as the buffer holds, or the reader has been woken.
func (c *conn) watchPeer(t *gate.Ticket, halfClose bool) {
	for n := c.in.Buffered() + 1; n <= c.in.Size(); n++ {
		_, err := c.in.Peek(n)
		switch {
		case err == nil:
			n = c.in.Buffered()
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, io.EOF) && halfClose:
		case errors.Is(err, io.EOF):
			t.Cancel()
		default:
			t.ConnectionLost()
		}
		return
	}
}
