package control

import (
	"math"
	"slices"
)

const (
	// maxCallAttempts limits the attempts per dependency call, and maxOptionalCallAttempts those of a call that can be
	// skipped.
	maxCallAttempts         = 3
	maxOptionalCallAttempts = 2
)

// onAwaitingCall handles a running RPC that has reached its dependency call.
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

// startCall makes, defers or skips the dependency call that an RPC is waiting for, or aborts the RPC.
func (c *Controller) startCall(i int) {
	const optionalCallFraction = 0.7 // of the time left, for a call that can be skipped; the rest is to proceed without it
	r := &c.rpcs.slots[i]
	if r.answered || r.state != awaitingCall {
		return
	}
	method := &c.methods[r.method]
	optional := method.DegradedFraction > 0
	left := r.objective - c.now - c.expectedRunTime(r)/3 // the run time after the call is unknown; assume a third
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
		left *= optionalCallFraction
	}
	timeout := c.calls.acquire(c.now, left)
	if timeout == 0 {
		if optional { // leave the capacity to calls that cannot be skipped, and do not block a run while waiting
			c.skipCall(r)
		}
		return
	}
	r.callAttempts++
	r.state = calling
	c.emit(Action{Kind: Call, RPC: r.id, Time: timeout})
}

// skipCall resumes an RPC without its dependency call.
func (c *Controller) skipCall(r *rpc) {
	c.emit(Action{Kind: SkipCall, RPC: r.id})
	c.resume(r)
}

// resume updates the state of an RPC that continues to run after its call.
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
	case r.answered: // the run ends without another call
	case ev.Outcome == OutcomeOK:
		c.resume(r)
	case c.methods[r.method].Idempotency != Idempotent && !neverRan:
		c.abort(i) // the call may have taken effect, so it must not be repeated
	}
	for k := range c.rpcs.slots {
		c.startCall(k) // a call that was deferred
	}
}

// callLimiter limits the concurrent calls to a shared dependency to this node's share at any time, so that the mean
// over the fleet stays within its limit regardless of the other nodes. All times are in ms.
type callLimiter struct {
	share          float64   // concurrent calls that this node may have; 0 if there is no shared dependency
	limit          float64   // adaptive limit of concurrent calls, at most share
	linger         float64   // as in Dependency
	window         float64   // as in Dependency
	inFlight       int       // number of calls
	abandonedUntil []float64 // clock values until which abandoned calls occupy the dependency
	meanTime       float64   // mean duration of recent calls
	baseline       float64   // mean duration while the dependency is not overloaded
	startedAt      float64   // clock value at the start of the latest call
	history        []span    // calls that ended within window; used if the share is below one call
}

// span is a time interval between two clock values.
type span struct{ from, to float64 }

func newCallLimiter(d *Dependency) callLimiter {
	return callLimiter{share: d.ConcurrencyShare, limit: d.ConcurrencyShare, linger: d.Linger, window: d.AveragingWindow}
}

// fractional reports whether the share is below one concurrent call.
func (k *callLimiter) fractional() bool { return k.share > 0 && k.share < 1 }

// acquire reserves capacity for a call and returns the timeout of the call, at most left, or 0 if there is no capacity.
// A share below one call is enforced in the mean over the window: the timeout ends the call before the mean over any
// window exceeds the share, even if the dependency slows down in the meantime, which affects all servers at the same
// time.
func (k *callLimiter) acquire(now, left float64) float64 {
	const minTimeoutRatio = 1.5 // to the mean duration; a call with a shorter timeout is not started
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
		if capacity < math.Min(left, math.Max(1, minTimeoutRatio*k.meanTime)) {
			return 0
		}
		left = math.Min(left, capacity)
	}
	k.inFlight++
	k.startedAt = now
	return left
}

// release returns the capacity of a call that took elapsed ms. An abandoned call occupies the dependency for linger ms
// more.
//
// An overloaded dependency stays overloaded: calls take longer, so more of them are in flight there. Reducing the limit
// lets it recover, whatever slowed it down. If the dependency is slow for another reason than overload, reducing the
// limit only delays the RPCs that are queued here.
func (k *callLimiter) release(now, elapsed float64, outcome Outcome) {
	const (
		slowRatio  = 2.5   // of the mean to the baseline; above the variation of single calls
		meanWeight = 0.1   // averages over about ten calls
		drift      = 1.001 // growth factor of the baseline per call
		decrease   = 0.95  // factor applied to the limit per call while the dependency is slow
		increase   = 0.1   // added to the limit per call otherwise
	)
	k.inFlight--
	if outcome == OutcomeTimedOut || outcome == OutcomeReset {
		now += k.linger
		k.abandonedUntil = append(k.abandonedUntil, now)
	}
	if k.fractional() {
		k.history = append(k.history, span{k.startedAt, now}) // the end may be reported late
	}
	if outcome == OutcomeOK {
		if k.baseline == 0 {
			k.meanTime = elapsed
			k.baseline = elapsed
		}
		k.meanTime += meanWeight * (elapsed - k.meanTime)
		k.baseline = math.Min(k.meanTime, drift*k.baseline)
	}
	if k.meanTime > slowRatio*k.baseline || outcome == OutcomeTimedOut {
		k.limit = math.Max(math.Min(1, k.share), math.Min(k.limit, float64(k.inFlight+1))*decrease)
	} else {
		k.limit = math.Min(k.share, k.limit+increase)
	}
}

// reduced reports whether the limit is below half of the share.
func (k *callLimiter) reduced() bool { return 2*k.limit < k.share }
