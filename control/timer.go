package control

// loopPeriod is the number of timers between two steps of the feedback loops: about two steps per half second, which is
// the period that the CPU utilization gauge covers.
const loopPeriod = 5

// onTimer reads the gauges, updates the feedback loops and checks the deadlines of all RPCs.
func (c *Controller) onTimer(g *Gauges) {
	if gap := c.now - c.nextTimer; gap > 3*tickPeriod {
		c.slowStart.startedAt += gap // exclude the stall from slow start: there was no traffic during it
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

// stepLoops updates the feedback loops that set the admitted fraction, the idle timeout and the load feedback.
func (c *Controller) stepLoops(g *Gauges) {
	const (
		lightLoadCPU        = 0.5  // utilization
		lightLoadRejections = 0.02 // fraction of arrivals
	)
	c.admission.step(g)
	// With idle cores and few rejections, keeping a connection open costs less than opening a new one.
	lightlyLoaded := !g.Stale && g.CPUUtilization < lightLoadCPU && c.retries.rejectFraction < lightLoadRejections
	if c.retries.updateIdleTimeout(c.runLimit.unreadWait, lightlyLoaded) {
		c.emit(Action{Kind: SetIdleTimeout, Time: c.retries.idleTimeout})
	}
	// The number of RPCs in flight that can meet their latency objective.
	inTime := float64(c.runLimit.maxRuns()) * (1 + c.tightestObjective/2/c.meanRunTime())
	if value, changed := c.feedback.step(inTime, c.runLimit.unreadWait); changed {
		c.emit(Action{Kind: SetFeedback, Feedback: value})
	}
}

// checkDeadline answers an RPC whose deadline is before the next timer or that can no longer meet its latency
// objective.
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
		if c.now >= answerBy || c.now+minRunTimeFraction*c.expectedRunTime(r)+c.runTimes[r.method].dependencyTime > last {
			c.shed(i)
		}
	case c.now >= answerBy:
		c.abort(i)
	case c.now > r.objective && method.LateFraction == 0 && c.canPreempt(r):
		c.abort(i) // the response has no value anymore, and other RPCs need the core
	case r.state == awaitingCall:
		c.startCall(i)
	}
}
