package control

// onCallerGone handles an RPC whose caller has stopped waiting. Broken connections and immediate cancellations are not
// used to estimate the caller's timeout: they could cause all of its RPCs to be rejected, and then no RPC would run
// that corrects the estimate.
func (c *Controller) onCallerGone(i int, connectionBroke bool) {
	r := &c.rpcs.slots[i]
	minAge := c.tightestObjective / 10 // no caller has a shorter timeout
	if age := c.now - r.arrivedAt; !connectionBroke && age > minAge {
		c.callerTimeouts[r.caller] = c.callerTimeouts[r.caller].observe(age)
	}
	r.answered = true
	c.evictToken(r)
	c.abort(i)
}

// onCompleted handles the end of a run or a join.
func (c *Controller) onCompleted(i int, ev *Event) {
	const maxTimeoutRatio = 1.3 // latency over the estimated timeout; the estimate is dropped if it is exceeded
	r := &c.rpcs.slots[i]
	if r.state == calling {
		c.calls.release(c.now, c.now-r.awaitingSince, OutcomeTimedOut)
	}
	c.retries.completions++
	if !r.answered && c.now-r.arrivedAt > maxTimeoutRatio*c.callerTimeouts[r.caller].mean {
		delete(c.callerTimeouts, r.caller) // the caller waited much longer than the estimate
	}
	if ev.Outcome == OutcomeOK && r.state == running {
		c.learnRunTime(r, ev.Elapsed-r.dependencyTime)
		c.admission.observe(r.method, c.now-r.arrivedAt, c.methods[r.method].LatencyObjective)
	}
	c.remove(i)
}
