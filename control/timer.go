package control

// loopPeriod is the number of timers between two steps of the feedback loops: two steps in the half second that the
// gauge of CPU utilization covers.
const loopPeriod = 5

// onTimer reads the gauges, steps the feedback loops and checks the deadlines of all RPCs.
func (c *Controller) onTimer(g *Gauges) {
	if gap := c.now - c.nextTimer; gap > 3*tickPeriod {
		c.slowStart.startedAt += gap // during a stall the clock ran without traffic: slow start does not count it
	}
	c.runLimit.step(c.now, g, c.runningCount)
	c.ticks++
	if c.ticks%loopPeriod == 0 {
		c.stepLoops(g)
	}
	if !c.drain.active && c.health.update(c.now, c.runLimit.unreadWait, c.retries.overloadedAlone()) {
		c.emit(Action{Kind: SetHealth, Healthy: c.health.healthy})
	}
	c.logConditions()
	c.memoryShort = false
	c.nextTimer = c.now + tickPeriod
	for i := range c.rpcs.slots {
		c.checkDeadline(i)
	}
	c.emit(Action{Kind: SetTimer, Time: c.nextTimer})
}

// stepLoops steps the feedback loops that set the admitted fraction, the idle timeout and the load feedback.
func (c *Controller) stepLoops(g *Gauges) {
	const (
		calmCPU        = 0.5  // utilization
		calmRejections = 0.02 // fraction of arrivals
	)
	c.admission.step(g)
	// With cores to spare and no rejections, an open connection costs less than opening the next one.
	calm := !g.Stale && g.CPUUtilization < calmCPU && c.retries.rejectFraction < calmRejections
	if c.retries.updateIdleTimeout(c.runLimit.unreadWait, calm) {
		c.emit(Action{Kind: SetIdleTimeout, Time: c.retries.idleTimeout})
	}
	// RPCs in flight that can still meet their objective.
	inTime := float64(c.runLimit.maxRuns()) * (1 + c.tightestObjective/2/c.meanRunTime())
	if value, changed := c.feedback.step(inTime, c.runLimit.unreadWait); changed {
		c.emit(Action{Kind: SetFeedback, Feedback: value})
	}
}

// checkDeadline answers an RPC whose deadline falls before the next timer, or that can no longer meet its objective.
func (c *Controller) checkDeadline(i int) {
	r := &c.rpcs.slots[i]
	if r.state == free || r.answered {
		return
	}
	answerBy := r.deadline - tickPeriod
	method := &c.methods[r.method]
	switch {
	case r.state == queued:
		last := r.objective
		if method.LateFraction > 0 {
			last = r.deadline
		}
		if c.now >= answerBy || c.now+costDoubt*c.expectedRunTime(r)+c.runTimes[r.method].dependencyTime > last {
			c.shed(i)
		}
	case c.now >= answerBy:
		c.abort(i)
	case c.now > r.objective && method.LateFraction == 0 && c.canPreempt(r):
		c.abort(i) // its response has no value any more, and the core is needed
	case r.state == awaitingCall:
		c.startCall(i)
	}
}
