package control

import "math"

// slowStartRetryAfter is the retry-after in ms of rejections by slow start. It is short because the caller should try
// another server at once.
const slowStartRetryAfter = 100.0

// longRunFactor is the multiple of the mean run time above which an RPC is put into the long lane of the queue. With
// lognormally distributed run times, half of the RPCs are below the mean and 5% above three times the mean.
const longRunFactor = 3.0

// retryWeight is the fraction of its criticality that a retry keeps. Part of its time has passed, and in a retry storm
// most retries are answered late.
const retryWeight = 0.5

// onArrived decides whether an RPC that has just been read is joined, rejected or queued.
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
	// Slow start does not apply to a retry, which was rejected elsewhere, while this server has free capacity.
	freeRun := ev.Retry && c.queue.length == 0 && c.runningCount < c.runLimit.maxRuns()
	switch {
	case tooLate:
		c.reject(i, c.maxRetryAfter, false)
	case !freeRun && !c.slowStart.admits(c.now, ev.Caller, ev.Subject, ev.RPC):
		c.reject(i, math.Min(slowStartRetryAfter, c.maxRetryAfter), false)
	case ev.Quota == OverQuota && c.overQuotaFraction == 0: // a hard quota is enforced even if capacity is free
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

// newRPC creates the rpc for an RPC that has just been read: its latency objective, its deadline, and its weight, which
// is its criticality reduced if it is over its customer's quota and if it is a retry.
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
		age = method.LatencyObjective / 2 // estimate: another server rejected it before, or its client did not wait
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

// quotaWeight returns the fraction of its criticality that an arrival keeps with regard to its customer's quota. The
// status from a shared quota's lease takes precedence over the rate measured at this server.
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

// callerWillAbandon reports whether an RPC is likely to end after its caller's estimated timeout.
func (c *Controller) callerWillAbandon(r *rpc, ev *Event) bool {
	return !c.propagatesDeadline && ev.CostHint > 0 &&
		r.arrivedAt+c.callerTimeouts[ev.Caller].estimate() < c.now+c.expectedRunTime(r)
}

// arrivedTooLateForDrain reports whether an RPC arrived after the grace period of a drain, or so shortly before the
// stop that it could not be answered in time.
func (c *Controller) arrivedTooLateForDrain(r *rpc) bool {
	if !c.drain.active {
		return false
	}
	return r.arrivedAt > c.drain.noticedAt+c.drainGrace-c.node.Tick || c.now > c.drain.stopAt-2*tickPeriod
}

// duplicatesKnownRPC reports whether an arrival duplicates an RPC that is in flight or has a cached token. An original
// that this server has not seen is ignored: if two attempts in one batch name each other as original, the first is
// admitted.
func (c *Controller) duplicatesKnownRPC(ev *Event) bool {
	if ev.DuplicateOf == 0 {
		return false
	}
	_, inFlight := c.rpcs.byID[ev.DuplicateOf]
	return inFlight || c.tokens.contains(ev.DuplicateOf)
}

// join answers a duplicate with the result of its original. A duplicate must not run again, and must not be rejected
// once any attempt has run, so it is aborted if it cannot be joined.
func (c *Controller) join(i int, tooLate bool) {
	if tooLate || !c.hasMemory() {
		c.abort(i)
		return
	}
	r := &c.rpcs.slots[i]
	r.state = joined
	c.emit(Action{Kind: Join, RPC: r.id})
}

// enqueue admits an RPC to the queue. age is the time in ms since it arrived. The idempotency token is cached before
// the RPC runs and expires when the deduplication window, counted from the arrival, ends.
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
