package control

import "math"

// arrive decides on an RPC that has just been read.
func (c *Controller) arrive(ev *Event) {
	r := c.newRPC(ev)
	meth := &c.methods[r.method]
	hasty := !c.tells && ev.CostHint > 0 && r.arrived+c.habits[ev.Caller].wait() < c.now+c.expectedRunTime(&r)
	c.limit.read(ev.Age / c.tightest)
	c.signal.seen++
	c.tries.read(ev.Retry)
	i := c.in.add(r)
	c.used += r.kb
	late := c.drain.on && (r.arrived > c.drain.since+c.grace-c.node.Tick || c.now > c.drain.stop-2*period)

	// A repeat of a remembered RPC is joined: it must neither run again nor, once any try has run, be pushed
	// back. An original never seen here (two tries of one batch name each other) is no reason to join: the
	// first is taken.
	_, inHand := c.in.byID[ev.DuplicateOf]
	if ev.DuplicateOf != 0 && (inHand || c.keys.knows(ev.DuplicateOf)) {
		if late || !c.hasCapacity() {
			c.abort(i)
			return
		}
		c.in.rpc[i].state = joined
		c.do(Action{Kind: Join, RPC: ev.RPC})
		return
	}
	idle := ev.Retry && c.hold.n == 0 && c.active < c.limit.runs() // others were full, here a run is free
	switch {
	case late:
		c.push(i, c.retry, false)
	case !idle && !c.slowStart.takes(c.now, ev.Caller, ev.Subject, ev.RPC):
		c.push(i, math.Min(slowStartRetryAfter, c.retry), false)
	case ev.Quota == OverQuota && c.overShare == 0: // a quota that is kept whatever room there is
		c.push(i, math.Min(ev.RetryAfter, c.retry), false)
	case hasty:
		c.push(i, 0, false)
	case !c.pressure.takes(c.chance, r.rank) || !c.makeWay(&r) || !c.hasCapacity():
		c.tries.pushed += oneTry
		c.signal.shed++
		c.shed(i)
	default:
		if meth.Idempotency == IdempotencyKeyed {
			// Remembered before it runs, for the whole window counted from its arrival here.
			life := math.Max(meth.DedupWindow-ev.Age, c.node.Tick)
			c.keys.drop(ev.RPC, c.now)
			c.keys.list = append(c.keys.list, key{ev.RPC, c.now + life, c.now + life + meth.Deadline})
			c.in.rpc[i].tokenCached = true
			c.do(Action{Kind: CacheToken, RPC: ev.RPC, Time: life})
		}
		if c.expectedRunTime(&r) > longFactor*c.usual() {
			c.in.rpc[i].line = long
		}
		c.hold.add(c.in.rpc, i)
	}
}

// newRPC makes the record of an RPC just read: when its answer is wanted, when its caller gives up, and the
// criticality that it counts for after its customer's quota and its retry are weighed in.
func (c *Controller) newRPC(ev *Event) rpc {
	m := min(ev.Method, len(c.methods)-1)
	meth := &c.methods[m]
	r := rpc{
		id: ev.RPC, state: queued, method: m, caller: ev.Caller, again: ev.Retry,
		arrived: c.now - ev.Age, read: c.now, work: ev.CostHint, value: meth.Criticality,
		queuedKB: ev.QueuedKB, kb: ev.QueuedKB,
	}
	if ev.CostHint == 0 {
		r.work = c.pace[m].prior
	}
	r.due = r.arrived + meth.Deadline
	age := 0.0
	if c.tells {
		r.due = c.now + ev.Remaining
	} else if ev.Retry {
		age = meth.LatencyObjective / 2 // nothing tells; others pushed it back before, or its client did not wait
	}
	r.target = math.Min(r.arrived+meth.LatencyObjective+meth.ObjectiveStretch*ev.CostHint-age, r.due)
	c.drain.bound(&r)
	if ev.Customer < len(c.shares) {
		in := c.shares[ev.Customer].within(c.now, c.limit.begin, ev.Retry)
		if ev.Quota == WithinQuota {
			in = 1
		} else if ev.Quota == OverQuota {
			in = 0
		}
		r.value *= in + (1-in)*c.overShare
	}
	if ev.Retry {
		r.value *= 0.5 // part of its time is gone: in a storm most such are late when answered
	}
	r.rank, r.relativeValue = c.ranks.of(r.value)
	return r
}

// slowStartRetryAfter is the advice with a pushback by the ramp: short, as others are to be asked at once.
const slowStartRetryAfter = 100.0

// longFactor parts the two lines: work of more than this multiple of the usual is long. Half of all
// lognormal work lies below the mean, a twentieth above three times it.
const longFactor = 3.0

// patience is the part of the time before the latency target that an RPC may wait in the hold. What counts
// for more may wait longer, so in overload the hold stands where the least of it is pushed back, at once,
// and the rest gets in.
func patience(rank, rel float64) float64 {
	const (
		least = 0.05 // the least valuable of all come in while runs are free, and hardly else
		most  = 0.8  // leaves a fifth for what the estimate does not know
	)
	return math.Max(least+(most-least)*rank, most*math.Min(1, rel*rel))
}

// wait is the expected time in the hold of an RPC that would come last before target, if all that counts
// for less than floor were pushed back.
func (c *Controller) wait(target, floor float64) float64 {
	ahead := 0.0
	for i := range c.in.rpc {
		r := &c.in.rpc[i]
		switch r.state {
		case running:
			e := c.expectedRunTime(r)
			ahead += math.Max(e-(c.now-r.began), e/4)
		case queued:
			if r.target <= target && (r.value >= floor || c.settled(r)) {
				ahead += c.expectedRunTime(r)
			}
		}
	}
	n := float64(c.limit.runs())
	if float64(c.active) < n && c.hold.n == 0 {
		return 0
	}
	return ahead / n
}

// settled tells whether an RPC has been held for so long that it stays, where those pushed back are to hear at once.
// Without that it may make way as long as it is held, which serves more where bursts of what counts most are long.
func (c *Controller) settled(r *rpc) bool { return c.settle > 0 && c.now-r.read > c.settle }

// doubt is the part of its expected run time by which one RPC's own is trusted to be no shorter: hints are
// rough, and a run that has a core to itself costs little if it comes late. Heavy work counts most where
// work is counted.
const doubt = 0.5

// feasible tells whether an RPC just read can be ok in time, with the patience that its value gives it.
func (c *Controller) feasible(r *rpc, floor float64) bool {
	p := &c.pace[r.method]
	left := r.target - c.now - c.expectedRunTime(r) - p.below
	w := c.wait(r.target, floor)
	if w == 0 {
		return left+(1-doubt)*math.Max(0, 1-2*c.tries.pushed)*c.expectedRunTime(r) > 0
	}
	return w-c.expectedRunTime(r)/float64(c.limit.runs()) < left*patience(r.rank, r.relativeValue)
}

// makeWay tells whether an RPC just read can be ok in time, and pushes back what is held and counts for
// less if it must: the least valuable first.
func (c *Controller) makeWay(r *rpc) bool {
	const less = 0.8 // of the value: near equal ones stay
	for c.feasible(r, less*r.value) {
		if c.feasible(r, 0) {
			return true
		}
		least := -1
		for i := range c.in.rpc {
			if o := &c.in.rpc[i]; o.state == queued && o.target <= r.target && o.value < less*r.value &&
				!c.settled(o) &&
				(least < 0 || o.value < c.in.rpc[least].value) {
				least = i
			}
		}
		c.shed(least)
	}
	return false
}

// hasCapacity tells whether memory allows to hold an RPC just read, with its token, and still to run what is held.
func (c *Controller) hasCapacity() bool {
	const share = 0.8
	fits := c.used+c.keys.used(c.now)+c.keys.kb < share*c.node.MemoryKB
	c.short = c.short || !fits
	return fits
}
