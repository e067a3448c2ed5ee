package control

import "math"

// slowStartRetryAfter is the retry-after of rejections by slow start: short, as other servers are to be tried at once.
const slowStartRetryAfter = 100.0

// longRunFactor separates the two lanes of the queue: expected run times above this multiple of the mean are long. Half
// of all lognormal work lies below the mean, a twentieth above three times it.
const longRunFactor = 3.0

// retryWeight is the part of its criticality that a retry counts for: part of its time is gone, and in a retry storm
// most retries are late when answered.
const retryWeight = 0.5

// onArrived decides on an RPC that has just been read.
func (c *Controller) onArrived(ev *Event) {
	r := c.newRPC(ev)
	abandoned := c.callerWillAbandon(&r, ev)
	c.runLimit.observeUnreadWait(ev.Age / c.tightestObjective)
	c.feedback.arrivals++
	c.retries.observe(ev.Retry)
	i := c.rpcs.add(r)
	c.usedKB += r.memoryKB
	tooLate := c.arrivedTooLateForDrain(&r)
	if c.duplicatesKnownRPC(ev) {
		c.join(i, tooLate)
		return
	}
	// Its caller was rejected elsewhere, and here capacity is free: slow start does not apply.
	freeRun := ev.Retry && c.queue.length == 0 && c.runningCount < c.runLimit.maxRuns()
	switch {
	case tooLate:
		c.reject(i, c.maxRetryAfter, false)
	case !freeRun && !c.slowStart.admits(c.now, ev.Caller, ev.Subject, ev.RPC):
		c.reject(i, math.Min(slowStartRetryAfter, c.maxRetryAfter), false)
	case ev.Quota == OverQuota && c.overQuotaFraction == 0: // a hard quota, which holds whatever capacity is free
		c.reject(i, math.Min(ev.RetryAfter, c.maxRetryAfter), false)
	case abandoned:
		c.reject(i, 0, false)
	case !c.admission.admits(c.random, r.rank) || !c.displaceFor(&r) || !c.hasMemory():
		c.retries.rejectFraction += attemptWeight
		c.feedback.rejections++
		c.shed(i)
	default:
		c.enqueue(i, ev.Age)
	}
}

// newRPC makes the record of an RPC just read: its latency objective, its deadline, and the weight that is left of its
// criticality after its customer's quota and whether it is a retry.
func (c *Controller) newRPC(ev *Event) rpc {
	methodIndex := min(ev.Method, len(c.methods)-1)
	method := &c.methods[methodIndex]
	r := rpc{
		id:        ev.RPC,
		state:     queued,
		method:    methodIndex,
		caller:    ev.Caller,
		retry:     ev.Retry,
		arrivedAt: c.now - ev.Age,
		readAt:    c.now,
		cost:      ev.CostHint,
		weight:    method.Criticality,
		queuedKB:  ev.QueuedKB,
		memoryKB:  ev.QueuedKB,
	}
	if ev.CostHint == 0 {
		r.cost = c.runTimes[methodIndex].prior
	}
	r.deadline = r.arrivedAt + method.Deadline
	age := 0.0
	if c.propagatesDeadline {
		r.deadline = c.now + ev.Remaining
	} else if ev.Retry {
		age = method.LatencyObjective / 2 // unknown: others rejected it before, or its client did not wait
	}
	r.objective = math.Min(r.arrivedAt+method.LatencyObjective+method.ObjectiveStretch*ev.CostHint-age, r.deadline)
	c.drain.clampDeadline(&r)
	if ev.Customer < len(c.quotas) {
		r.weight *= c.quotaWeight(ev)
	}
	if ev.Retry {
		r.weight *= retryWeight
	}
	r.rank, r.relativeWeight = c.ranks.rank(r.weight)
	return r
}

// quotaWeight is the part of its criticality that an arrival keeps with regard to its customer's quota. What the quota's
// lease says goes before what this server measures.
func (c *Controller) quotaWeight(ev *Event) float64 {
	within := c.quotas[ev.Customer].fractionWithin(c.now, c.runLimit.startedAt, ev.Retry)
	switch ev.Quota {
	case WithinQuota:
		within = 1
	case OverQuota:
		within = 0
	}
	return within + (1-within)*c.overQuotaFraction
}

// callerWillAbandon tells whether an RPC is likely to run longer than its caller has been seen to wait.
func (c *Controller) callerWillAbandon(r *rpc, ev *Event) bool {
	return !c.propagatesDeadline && ev.CostHint > 0 &&
		r.arrivedAt+c.callerTimeouts[ev.Caller].estimate() < c.now+c.expectedRunTime(r)
}

// arrivedTooLateForDrain tells whether an RPC arrived after the grace of a drain, or so close to the stop that its
// answer would miss it.
func (c *Controller) arrivedTooLateForDrain(r *rpc) bool {
	if !c.drain.active {
		return false
	}
	return r.arrivedAt > c.drain.noticedAt+c.drainGrace-c.node.Tick || c.now > c.drain.stopAt-2*tickPeriod
}

// duplicatesKnownRPC tells whether an arrival repeats an RPC that is in flight or has a cached token. An original that
// was never seen here does not count: of two attempts in one batch that name each other, the first is admitted.
func (c *Controller) duplicatesKnownRPC(ev *Event) bool {
	if ev.DuplicateOf == 0 {
		return false
	}
	_, inFlight := c.rpcs.byID[ev.DuplicateOf]
	return inFlight || c.tokens.contains(ev.DuplicateOf)
}

// join answers a duplicate with the result of its original. It must neither run again nor, once any attempt has run, be
// rejected; so where it can't be joined it is aborted.
func (c *Controller) join(i int, tooLate bool) {
	if tooLate || !c.hasMemory() {
		c.abort(i)
		return
	}
	r := &c.rpcs.slots[i]
	r.state = joined
	c.emit(Action{Kind: Join, RPC: r.id})
}

// enqueue admits an RPC to the queue. age is the time since it arrived. Its idempotency token is cached before it runs,
// for the whole window counted from its arrival.
func (c *Controller) enqueue(i int, age float64) {
	r := &c.rpcs.slots[i]
	method := &c.methods[r.method]
	if method.Idempotency == IdempotencyKeyed {
		lifetime := math.Max(method.DedupWindow-age, c.node.Tick)
		c.tokens.add(r.id, c.now, lifetime, method.Deadline)
		r.tokenCached = true
		c.emit(Action{Kind: CacheToken, RPC: r.id, Time: lifetime})
	}
	if c.expectedRunTime(r) > longRunFactor*c.meanRunTime() {
		r.lane = longLane
	}
	c.queue.add(c.rpcs.slots, i)
}
