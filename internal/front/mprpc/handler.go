package mprpc

// This file owns the goroutines beside the reader, one for each RPC in flight. Each message id is answered once.

import (
	"context"
	"runtime/debug"
	"time"

	"sorrelvalve/internal/gate"
)

// startHandler runs handle, which answers the RPC of a message, in a goroutine of its own.
func (c *conn) startHandler(id uint64, t *gate.Ticket, handle func()) {
	c.Mu.Lock()
	c.tickets[id] = t
	c.ReceivedRPC = true
	c.InFlight = len(c.tickets)
	closing := c.CloseRequested
	c.Mu.Unlock()
	if closing { // abandonAll may have run before the ticket could be seen
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

// awaitVerdicts carries out the verdicts on an RPC, up to the final one.
func (c *conn) awaitVerdicts(id uint64, t *gate.Ticket, rpc gate.RPC) {
	for {
		v := t.Wait(context.Background()) // the gate bounds the wait: each RPC gets a final verdict by its due time
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

// writeVerdict writes the response to a call that a final verdict asks for.
func (c *conn) writeVerdict(id uint64, v *gate.Verdict) {
	switch v.Kind {
	case gate.OK:
		c.write(resultHeader(id, len(v.Result)), v.Result, resultTrailer(v.Head))
	case gate.Rejected:
		c.write(rejection(id, v.RetryAfterMs, v.NoRetry))
	case gate.Aborted:
		c.write(errorResponse(id, "Aborted", v.Reason))
	case gate.CallerGone: // not owed, but a router that cancelled all it sent would else read nothing until the idle limit
		c.write(errorResponse(id, "Cancelled", "its caller no longer waits"))
	}
}

// complete frees a message id that has been answered.
func (c *conn) complete(id uint64) {
	c.Mu.Lock()
	delete(c.tickets, id)
	c.InFlight = len(c.tickets)
	c.LastActivity = time.Now()
	c.Mu.Unlock()
}
