package control

// tick looks at the gauges and at all that falls due.
func (c *Controller) tick(g *Gauges) {
	if gap := c.now - c.wake; gap > 3*period {
		c.slowStart.begin += gap // a stall ran the clock without traffic: the ramp's does not count it
	}
	c.limit.step(c.now, g, c.active)
	if c.looks++; c.looks%5 == 0 { // twice in the half second that the gauge covers
		c.pressure.step(g)
		// With cores to spare and nothing pushed back, an open connection costs less than the next one.
		calm := !g.Stale && g.CPUUtilization < 0.5 && c.tries.pushed < 0.02
		if c.tries.step(c.limit.unread, calm) {
			c.do(Action{Kind: SetIdleTimeout, Time: c.tries.idle})
		}
		inTime := float64(c.limit.runs()) * (1 + c.tightest/2/c.usual()) // RPCs in hand that can still be ok
		if v, say := c.signal.step(inTime, c.limit.unread); say {
			c.do(Action{Kind: SetFeedback, Feedback: v})
		}
	}
	if !c.drain.on && c.health.step(c.now, c.limit.unread, c.tries.alone()) {
		c.do(Action{Kind: SetHealth, Healthy: c.health.good})
	}
	c.note(0, !c.slowStart.warm, "ramp: begins, a share of callers taken", "ramp: over, all callers taken")
	c.note(1, c.pressure.share < 1, "pressure: share of arrivals cut", "pressure: all arrivals taken again")
	c.note(2, !c.health.good, "health: no, flooded, or alone in pushing back", "health: good again")
	c.note(3, c.short, "memory: no room for more", "memory: room again")
	c.note(4, 2*c.calls.most < c.calls.share, "calls: fewer in hand, slow below", "calls: as many as before")
	c.short, c.wake = false, c.now+period
	for i := range c.in.rpc {
		c.review(i)
	}
	c.do(Action{Kind: SetTimer, Time: c.wake})
}

// review answers an RPC that is due or can no longer be ok in time.
func (c *Controller) review(i int) {
	r := &c.in.rpc[i]
	if r.state == free || r.answered {
		return
	}
	due := r.due - period
	m := &c.methods[r.method]
	switch {
	case r.state == queued:
		last := r.target
		if m.LateFraction > 0 {
			last = r.due
		}
		if c.now >= due || c.now+doubt*c.expectedRunTime(r)+c.pace[r.method].below > last {
			c.shed(i)
		}
	case c.now >= due:
		c.abort(i)
	case c.now > r.target && m.LateFraction == 0 && m.Idempotency == Idempotent && c.node.Preemption != PreemptNone:
		c.abort(i) // no answer counts any more, and the core is wanted
	case r.state == standing:
		c.call(i)
	}
}
