package control

import "math"

// retryAfter is the advice that goes with a rejection by overload: until half the queue has drained. Callers that stay
// away until all of it has find idle cores, and come back together. Retries, which a storm is made of, stay away for what
// waits unread as well.
func (c *Controller) retryAfter(retry bool) float64 {
	wait := c.expectedWait(math.Inf(1), 0) / 2
	if retry {
		wait += c.runLimit.unreadWait * c.tightestObjective
	}
	return math.Min(c.maxRetryAfter, math.Max(wait, slowStartRetryAfter))
}

// shed rejects an RPC by overload. A marked retry has met another full server before this one: its caller is asked not to
// retry elsewhere, or reading it costs one more server each time.
func (c *Controller) shed(i int) {
	retry := c.rpcs.slots[i].retry
	c.reject(i, c.retryAfter(retry), retry || c.retries.fleetOverloaded())
}

// reject answers a queued RPC, which never ran, with a rejection.
func (c *Controller) reject(i int, retryAfter float64, noRetry bool) {
	r := &c.rpcs.slots[i]
	c.evictToken(r)
	c.emit(Action{Kind: Reject, RPC: r.id, NoRetry: noRetry, Time: retryAfter})
	c.remove(i)
}

// evictToken drops the token of an RPC that never ran.
func (c *Controller) evictToken(r *rpc) {
	if r.tokenCached && r.state == queued {
		c.tokens.evict(r.id, c.now)
		c.emit(Action{Kind: EvictToken, RPC: r.id})
	}
}

// abort answers an RPC with an error. A running RPC that can be preempted is, unless it has an effect that a duplicate
// may still ask for.
func (c *Controller) abort(i int) {
	r := &c.rpcs.slots[i]
	if !r.answered {
		c.emit(Action{Kind: Abort, RPC: r.id})
		if r.state == running { // if only runs that end in time counted, all would seem fast
			c.learnRunTime(r, math.Max(c.now-r.startedAt-r.dependencyTime, c.expectedRunTime(r)))
		}
	}
	r.answered = true
	switch r.state {
	case running:
		if c.canPreempt(r) {
			c.emit(Action{Kind: Preempt, RPC: r.id})
		}
	case awaitingCall, calling: // its end is reported, and a call goes on at the dependency until then
	default:
		c.remove(i)
	}
}

// canPreempt tells whether a run may be stopped without leaving an effect in doubt.
func (c *Controller) canPreempt(r *rpc) bool {
	return c.node.Preemption != PreemptNone && c.methods[r.method].Idempotency == Idempotent
}

// remove takes an RPC out of the table.
func (c *Controller) remove(i int) {
	r := &c.rpcs.slots[i]
	switch r.state {
	case queued:
		c.queue.remove(i, r.lane)
	case running:
		c.runningCount--
	}
	c.usedKB -= r.memoryKB
	c.rpcs.remove(i)
}
