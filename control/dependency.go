package control

import (
	"math"
	"slices"
)

const (
	// maxCallAttempts bounds the calls that an RPC makes for one response, and maxOptionalCallAttempts the calls of one
	// that may go on without.
	maxCallAttempts         = 3
	maxOptionalCallAttempts = 2
)

// onAwaitingCall handles a running RPC that has come to its dependency call.
func (c *Controller) onAwaitingCall(i int) {
	r := &c.rpcs.slots[i]
	if r.state != running {
		return
	}
	c.runningCount--
	r.state = awaitingCall
	r.awaitingSince = c.now
	r.callAttempts = 0
	c.startCall(i)
}

// startCall makes, defers or skips the call that an RPC awaits.
func (c *Controller) startCall(i int) {
	const optionalCallTime = 0.7 // of the time left, for a call that can be skipped: the rest is to go on without it
	r := &c.rpcs.slots[i]
	if r.answered || r.state != awaitingCall {
		return
	}
	method := &c.methods[r.method]
	optional := method.DegradedFraction > 0
	left := r.objective - c.now - c.expectedRunTime(r)/3 // what its run still needs after the call is not known
	if method.LateFraction > 0 || c.now > r.objective {
		left += r.deadline - r.objective
	}
	if optional && (left < c.calls.meanTime || r.callAttempts >= maxOptionalCallAttempts) {
		c.skipCall(r)
		return
	}
	if left <= 0 || r.callAttempts >= maxCallAttempts {
		c.abort(i)
		return
	}
	if optional {
		left *= optionalCallTime
	}
	timeout := c.calls.acquire(c.now, left)
	if timeout == 0 {
		if optional { // the capacity is for those that can't skip; this one would occupy a run while it waits
			c.skipCall(r)
		}
		return
	}
	r.callAttempts++
	r.state = calling
	c.emit(Action{Kind: Call, RPC: r.id, Time: timeout})
}

// skipCall has an RPC go on without its dependency call.
func (c *Controller) skipCall(r *rpc) {
	c.emit(Action{Kind: SkipCall, RPC: r.id})
	c.resume(r)
}

// resume accounts for an RPC that runs again after its call.
func (c *Controller) resume(r *rpc) {
	r.dependencyTime += c.now - r.awaitingSince
	r.state = running
	c.runningCount++
}

// onCallCompleted handles the end of a dependency call.
func (c *Controller) onCallCompleted(i int, ev *Event) {
	r := &c.rpcs.slots[i]
	if r.state != calling {
		return
	}
	c.calls.release(c.now, ev.Elapsed, ev.Outcome)
	r.state = awaitingCall
	neverRan := ev.Outcome == OutcomeRejected || ev.Outcome == OutcomeUnreachable
	switch {
	case r.answered: // its run ends here
	case ev.Outcome == OutcomeOK:
		c.resume(r)
	case c.methods[r.method].Idempotency != Idempotent && !neverRan:
		c.abort(i) // the call may have had its effect, so it must not be made again
	}
	for k := range c.rpcs.slots {
		c.startCall(k) // those that were deferred
	}
}

// callLimiter bounds the concurrent calls to a shared dependency to this node's share at every moment, so that the mean
// over the fleet holds whatever the other nodes do. All times are ms.
type callLimiter struct {
	share          float64   // concurrent calls that this node may have; 0 if nothing is shared
	limit          float64   // what of the share is used, to keep the dependency fast
	linger         float64   // as in Dependency
	window         float64   // as in Dependency
	inFlight       int       // calls
	abandonedUntil []float64 // clock values until which abandoned calls linger
	meanTime       float64   // recent duration of a call
	baseline       float64   // that duration when the dependency is not crowded
	startedAt      float64   // clock value at which the latest call began
	history        []span    // the calls that ended within window, if the share is under one call
}

// span is a period of the clock.
type span struct{ from, to float64 }

func newCallLimiter(d *Dependency) callLimiter {
	return callLimiter{share: d.ConcurrencyShare, limit: d.ConcurrencyShare, linger: d.Linger, window: d.AveragingWindow}
}

// fractional tells whether the share is less than one call at any time.
func (k *callLimiter) fractional() bool { return k.share > 0 && k.share < 1 }

// acquire takes capacity for a call and returns how long the call may last, up to left; 0 if there is no capacity. A
// share under one call is kept in the mean: the call ends before any window holds more than that, however slow the
// dependency becomes meanwhile, which all servers meet at the same time.
func (k *callLimiter) acquire(now, left float64) float64 {
	const minTimes = 1.5 // times the usual duration, below which a call is not begun
	k.abandonedUntil = slices.DeleteFunc(k.abandonedUntil, func(until float64) bool { return until <= now })
	if k.share > 0 && float64(k.inFlight+len(k.abandonedUntil)) >= math.Max(1, math.Floor(k.limit)) {
		return 0
	}
	if k.fractional() {
		k.history = slices.DeleteFunc(k.history, func(s span) bool { return s.to <= now-k.window })
		capacity := k.limit*k.window - k.linger
		for _, s := range k.history {
			capacity -= s.to - math.Max(s.from, now-k.window)
		}
		if capacity < math.Min(left, math.Max(1, minTimes*k.meanTime)) {
			return 0
		}
		left = math.Min(left, capacity)
	}
	k.inFlight++
	k.startedAt = now
	return left
}

// release returns the capacity of a call that took elapsed ms. A call that we gave up on lingers at the dependency.
//
// A crowded dependency slows all callers and stays crowded: callers wait longer, so more calls are in flight there. Fewer
// calls let it recover whatever slowed it; where it is slow for another reason, this costs the RPCs that are queued here
// instead.
func (k *callLimiter) release(now, elapsed float64, outcome Outcome) {
	const (
		slow       = 2.5   // times the baseline: above the spread of single calls
		meanWeight = 0.1   // ten calls of memory
		drift      = 1.001 // growth of the baseline per call
		decrease   = 0.95  // factor of the limit per call while the dependency is slow
		increase   = 0.1   // calls that the limit grows by per call
	)
	k.inFlight--
	if outcome == OutcomeTimedOut || outcome == OutcomeReset {
		now += k.linger
		k.abandonedUntil = append(k.abandonedUntil, now)
	}
	if k.fractional() {
		k.history = append(k.history, span{k.startedAt, now}) // its end may be reported late
	}
	if outcome == OutcomeOK {
		if k.baseline == 0 {
			k.meanTime = elapsed
			k.baseline = elapsed
		}
		k.meanTime += meanWeight * (elapsed - k.meanTime)
		k.baseline = math.Min(k.meanTime, drift*k.baseline)
	}
	if k.meanTime > slow*k.baseline || outcome == OutcomeTimedOut {
		k.limit = math.Max(math.Min(1, k.share), math.Min(k.limit, float64(k.inFlight+1))*decrease)
	} else {
		k.limit = math.Min(k.share, k.limit+increase)
	}
}

// reduced tells whether the limit is at less than half of the share.
func (k *callLimiter) reduced() bool { return 2*k.limit < k.share }
