package control

import "math"

// retryAfter returns the retry-after in ms of a rejection by overload: the time until half of the queue has drained. If
// callers waited until the whole queue has drained, the cores would become idle and the callers would return together.
// Retries, which cause retry storms, also wait for the arrivals that have not been read yet.
func (c *Controller) retryAfter(retry bool) float64 {
	wait := c.expectedWait(math.Inf(1), 0) / 2
	if retry {
		wait += c.runLimit.unreadWait * c.tightestObjective
	}
	return math.Min(c.maxRetryAfter, math.Max(wait, slowStartRetryAfter))
}

// shed rejects an RPC by overload. A marked retry has been rejected by another overloaded server before, so its caller
// is asked not to retry elsewhere: each further attempt costs another server the time to read it.
func (c *Controller) shed(i int) {
	retry := c.rpcs.slots[i].retry
	c.reject(i, c.retryAfter(retry), retry || c.retries.fleetOverloaded())
}

// reject answers an RPC that has not run with a rejection.
func (c *Controller) reject(i int, retryAfter float64, noRetry bool) {
	r := &c.rpcs.slots[i]
	c.evictToken(r)
	c.emit(Action{Kind: Reject, RPC: r.id, NoRetry: noRetry, Time: retryAfter})
	c.remove(i)
}

// evictToken evicts the idempotency token of an RPC that has not run.
func (c *Controller) evictToken(r *rpc) {
	if r.tokenCached && r.state == queued {
		c.tokens.evict(r.id, c.now)
		c.emit(Action{Kind: EvictToken, RPC: r.id})
	}
}

// abort answers an RPC with an error. A running RPC is preempted if that is possible, unless a duplicate may still
// request the result of its effect.
func (c *Controller) abort(i int) {
	r := &c.rpcs.slots[i]
	if !r.answered {
		c.emit(Action{Kind: Abort, RPC: r.id})
		if r.state == running { // if only runs that end in time were learnt, the estimates would be too low
			c.learnRunTime(r, math.Max(c.now-r.startedAt-r.dependencyTime, c.expectedRunTime(r)))
		}
	}
	r.answered = true
	switch r.state {
	case running:
		if c.canPreempt(r) {
			c.emit(Action{Kind: Preempt, RPC: r.id})
		}
	case awaitingCall, calling: // the RPC stays until its end is reported; a call continues at the dependency until then
	default:
		c.remove(i)
	}
}

// canPreempt reports whether a run can be stopped without leaving it uncertain whether it took effect.
func (c *Controller) canPreempt(r *rpc) bool {
	return c.node.Preemption != PreemptNone && c.methods[r.method].Idempotency == Idempotent
}

// remove removes an RPC from the table.
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
