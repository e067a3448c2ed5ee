package control

import "math"

// away is the advice that goes with an overload's pushback: until half the hold has drained. Callers that
// stay away until all has find idle cores, and come back together. Further tries, which a storm is made of,
// stay away for what waits unread as well.
func (c *Controller) away(again bool) float64 {
	w := c.wait(math.Inf(1), 0) / 2
	if again {
		w += c.limit.unread * c.tightest
	}
	return math.Min(c.retry, math.Max(w, slowStartRetryAfter))
}

// drop takes an RPC out of the slab.
func (c *Controller) drop(i int) {
	r := &c.in.rpc[i]
	if r.state == queued {
		c.hold.remove(i, r.line)
	} else if r.state == running {
		c.active--
	}
	c.used -= r.kb
	c.in.drop(i)
}

// shed pushes an RPC back for overload. A marked further try has met another full server before this one:
// its caller is asked not to go on, or each read of it costs one more server.
func (c *Controller) shed(i int) {
	again := c.in.rpc[i].again
	c.push(i, c.away(again), again || c.tries.everywhere())
}

// push pushes a held RPC back; it never ran.
func (c *Controller) push(i int, away float64, last bool) {
	r := &c.in.rpc[i]
	c.forget(r)
	c.do(Action{Kind: Reject, RPC: r.id, NoRetry: last, Time: away})
	c.drop(i)
}

// forget drops the token of an RPC that never ran.
func (c *Controller) forget(r *rpc) {
	if r.tokenCached && r.state == queued {
		c.keys.drop(r.id, c.now)
		c.do(Action{Kind: EvictToken, RPC: r.id})
	}
}

// abort answers an RPC with an error. Running work that can be stopped is stopped, unless it has an effect,
// which a repeat may still ask for.
func (c *Controller) abort(i int) {
	r := &c.in.rpc[i]
	if !r.answered {
		c.do(Action{Kind: Abort, RPC: r.id})
		if r.state == running { // if only those that end in time counted, all would seem quick
			c.learn(r, math.Max(c.now-r.began-r.below, c.expectedRunTime(r)))
		}
	}
	r.answered = true
	switch r.state {
	case running:
		if c.node.Preemption != PreemptNone && c.methods[r.method].Idempotency == Idempotent {
			c.do(Action{Kind: Preempt, RPC: r.id})
		}
	case standing, calling: // its end is told, and a call goes on below until then
	default:
		c.drop(i)
	}
}
