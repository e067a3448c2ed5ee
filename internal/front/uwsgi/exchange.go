package uwsgi

// This file handles an RPC from its message to its response. It must never answer an RPC twice, or keep an RPC in
// flight whose peer is known to have left.

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

// exchange is one RPC on a connection. Its message has been read completely.
type exchange struct {
	conn     *conn
	config   *config
	request  *request
	resolved *route.Resolved
	block    string // of variables
	body     []byte
	began    time.Time // when the first byte of the message arrived
}

// serve submits the RPC to the gate, has it run and answers it. A nil error means that the connection is kept.
func (x *exchange) serve() error {
	c := x.conn
	rpc := x.rpc()
	if !x.begin() {
		return net.ErrClosed // evicted in the meantime: the peer resends the RPC elsewhere, so it must not run here
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
	if decided && verdict.Kind != gate.Run { // decided at once, like most RPCs in overload; no goroutine is needed
		return c.complete(x.writeVerdict(&verdict))
	}
	keepAlive := false
	go func() {
		defer x.finishHandler(t)
		keepAlive = x.awaitVerdicts(t, run, verdict, decided)
	}()
	c.watchPeer(t, x.config.limits.HalfClose)
	<-c.handled
	c.BoundReads(time.Time{})
	return c.complete(keepAlive)
}

// rpc returns the RPC in the form that the gate expects.
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
		Token:      strings.Clone(r.Token), // the token may outlive the block
	}
}

// begin marks the connection as busy. It returns false if the connection is to be closed.
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

// track stores the ticket for Abort.
func (x *exchange) track(t *gate.Ticket) {
	c := x.conn
	c.Mu.Lock()
	c.ReceivedRPC = true
	c.ticket = t
	closing := c.CloseRequested
	c.Mu.Unlock()
	if closing { // Abort may have run before the ticket was stored
		t.ConnectionLost()
	}
}

// awaitVerdicts carries out the verdicts on an RPC up to and including the final one. If decided is true, verdict is
// the first of them. It reports whether the connection is kept.
func (x *exchange) awaitVerdicts(t *gate.Ticket, run gate.RunRequest, verdict gate.Verdict, decided bool) (keepAlive bool) {
	for !decided || verdict.Kind == gate.Run {
		if decided {
			x.conn.server.run(run, t.ReportWithHead)
		}
		verdict = t.Wait(context.Background()) // bounded by the gate: each RPC gets a final verdict by its due time
		decided = true
	}
	return x.writeVerdict(&verdict)
}

// finishHandler ends the handler goroutine and wakes the reader. A panic of the handler is answered like a failed run.
func (x *exchange) finishHandler(t *gate.Ticket) {
	c := x.conn
	if v := recover(); v != nil {
		c.server.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("server.rpc_panic")
		t.ConnectionLost()
		c.Send(failureHead(&gate.Verdict{Kind: gate.Aborted, Reason: "a fault of the server"}, false))
	}
	c.WakeReader()
	c.handled <- struct{}{}
}

// writeVerdict writes the response that a final verdict requires and reports whether the connection is kept.
func (x *exchange) writeVerdict(v *gate.Verdict) (keepAlive bool) {
	c := x.conn
	keepAlive = x.request.keepAlive && !c.server.table.ShuttingDown()
	switch v.Kind {
	case gate.OK:
		head, body := resultResponse(v, x.request.Verb, x.config.contentTypes[x.resolved.Rule], keepAlive)
		return c.Send(head, body) && keepAlive
	case gate.CallerGone: // no response is required, and the peer no longer reads
		return false
	}
	return c.Send(failureHead(v, keepAlive)) && keepAlive
}

// watchPeer reads ahead while an RPC is in flight, to detect that the peer leaves. It returns when the peer has left,
// when the data read ahead fills the buffer, or when the reader is woken.
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
