package control

// onCallerGone handles a caller that no longer waits. A broken connection and an immediate withdrawal say nothing about
// the caller's timeout: taken for one, they would have all of that caller's RPCs rejected, with none left to correct it.
func (c *Controller) onCallerGone(i int, connectionBroke bool) {
	r := &c.rpcs.slots[i]
	minAge := c.tightestObjective / 10 // no attempt times out in less
	if age := c.now - r.arrivedAt; !connectionBroke && age > minAge {
		c.callerTimeouts[r.caller] = c.callerTimeouts[r.caller].observe(age)
	}
	r.answered = true
	c.evictToken(r)
	c.abort(i)
}

// onCompleted accounts for the end of a run or a join.
func (c *Controller) onCompleted(i int, ev *Event) {
	const longer = 1.3 // times the caller's estimated timeout
	r := &c.rpcs.slots[i]
	if r.state == calling {
		c.calls.release(c.now, c.now-r.awaitingSince, OutcomeTimedOut)
	}
	c.retries.completions++
	if !r.answered && c.now-r.arrivedAt > longer*c.callerTimeouts[r.caller].mean {
		delete(c.callerTimeouts, r.caller) // this time it waited longer
	}
	if ev.Outcome == OutcomeOK && r.state == running {
		c.learnRunTime(r, ev.Elapsed-r.dependencyTime)
		c.admission.observe(r.method, c.now-r.arrivedAt, c.methods[r.method].LatencyObjective)
	}
	c.remove(i)
}
