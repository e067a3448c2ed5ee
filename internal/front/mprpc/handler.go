package mprpc

// This file implements the handler goroutines, one for each RPC in flight. Each message id is answered exactly once.

import (
	"context"
	"runtime/debug"
	"time"

	"sorrelvalve/internal/gate"
)

// startHandler runs handle, which answers the RPC with the given message id, in a goroutine of its own.
func (c *conn) startHandler(id uint64, t *gate.Ticket, handle func()) {
	c.Mu.Lock()
	c.tickets[id] = t
	c.ReceivedRPC = true
	c.InFlight = len(c.tickets)
	closing := c.CloseRequested
	c.Mu.Unlock()
	if closing { // abandonAll may have run before the ticket was stored
		t.ConnectionLost()
	}
	c.handlers.Add(1)
	go func() {
		defer c.handlers.Done()
		defer func() {
			if v := recover(); v != nil {
				c.server.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("server.rpc_panic")
				t.ConnectionLost()
				c.write(errorResponse(id, "Internal", "a fault of the server"))
			}
			c.complete(id)
		}()
		handle()
	}()
}

// awaitVerdicts carries out the verdicts on an RPC up to and including the final one.
func (c *conn) awaitVerdicts(id uint64, t *gate.Ticket, rpc gate.RPC) {
	for {
		v := t.Wait(context.Background()) // bounded by the gate: each RPC gets a final verdict by its due time
		if v.Kind != gate.Run {
			c.writeVerdict(id, &v)
			return
		}
		c.server.run(gate.RunRequest{
			ID:     rpc.ID,
			Method: rpc.Method,
			Body:   rpc.Body,
			DueMs:  t.DueMs(),
			Caller: gate.CallerHash(&rpc),
		}, t.ReportWithHead)
	}
}

// writeVerdict writes the response that a final verdict requires.
func (c *conn) writeVerdict(id uint64, v *gate.Verdict) {
	switch v.Kind {
	case gate.OK:
		c.write(resultHeader(id, len(v.Result)), v.Result, resultTrailer(v.Head))
	case gate.Rejected:
		c.write(rejection(id, v.RetryAfterMs, v.NoRetry))
	case gate.Aborted:
		c.write(errorResponse(id, "Aborted", v.Reason))
	case gate.CallerGone:
		// Not required, but a router that cancelled all its calls would otherwise read nothing until the idle timeout.
		c.write(errorResponse(id, "Cancelled", "its caller no longer waits"))
	}
}

// complete releases a message id that has been answered.
func (c *conn) complete(id uint64) {
	c.Mu.Lock()
	delete(c.tickets, id)
	c.InFlight = len(c.tickets)
	c.LastActivity = time.Now()
	c.Mu.Unlock()
}
