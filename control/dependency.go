package control

import (
	"math"
	"slices"
)

// call makes, puts off or goes without the call that an RPC stands at.
func (c *Controller) call(i int) {
	r := &c.in.rpc[i]
	if r.answered || r.state != standing {
		return
	}
	m := &c.methods[r.method]
	left := r.target - c.now - c.expectedRunTime(r)/3 // what its run still needs after the call is not told
	if m.LateFraction > 0 || c.now > r.target {
		left += r.due - r.target
	}
	if m.DegradedFraction > 0 && (left < c.calls.usual || r.tries >= 2) {
		c.do(Action{Kind: SkipCall, RPC: r.id})
		c.resume(r)
		return
	}
	if left <= 0 || r.tries >= 3 {
		c.abort(i)
		return
	}
	if m.DegradedFraction > 0 {
		left *= 0.7 // leaves time to go on without it
	}
	if left = c.calls.take(c.now, left); left == 0 {
		if m.DegradedFraction > 0 { // the room is for those that can't go without; this one would hold a run while it waits
			c.do(Action{Kind: SkipCall, RPC: r.id})
			c.resume(r)
		}
		return
	}
	r.tries++
	r.state = calling
	c.do(Action{Kind: Call, RPC: r.id, Time: left})
}

// resume books that an RPC is back from its call.
func (c *Controller) resume(r *rpc) {
	r.below += c.now - r.stood
	r.state = running
	c.active++
}

// called hears the end of a call.
func (c *Controller) called(i int, ev *Event) {
	r := &c.in.rpc[i]
	c.calls.done(c.now, ev.Elapsed, ev.Outcome)
	r.state = standing
	switch {
	case r.answered: // it ends here
	case ev.Outcome == OutcomeOK:
		c.resume(r)
	case c.methods[r.method].Idempotency != Idempotent && ev.Outcome != OutcomeRejected && ev.Outcome != OutcomeUnreachable:
		c.abort(i) // an effect below is not asked for again unless the call before is known not to have run
	}
	for i := range c.in.rpc {
		c.call(i) // those that had to wait
	}
}

// calls are the calls in hand below. A shared dependency limits them to this node's share at every moment,
// so that the mean is kept whatever the others do.
type calls struct {
	share        float64 // 0 where nothing is shared
	most         float64 // of that, what keeps it quick
	linger       float64
	inHand       int
	ghosts       []float64 // until when abandoned calls stay there
	usual, quick float64   // time that a call takes, and when it is not crowded
	over         float64   // what the share is a mean of
	begun        float64   // the latest call
	times        []span    // of the calls that ended within that, where the share is under one call
}

type span struct{ from, to float64 }

// take books a call if there is room for it, and returns how long it may last, up to left; 0 for no room. A share
// under one call is kept in the mean: the call ends before any window holds more than that, however slow the
// dependency becomes meanwhile, which all servers meet at the same time.
func (k *calls) take(now, left float64) float64 {
	const worth = 1.5 // times the usual call, below which one is not begun
	k.ghosts = slices.DeleteFunc(k.ghosts, func(until float64) bool { return until <= now })
	if k.share > 0 && float64(k.inHand+len(k.ghosts)) >= math.Max(1, math.Floor(k.most)) {
		return 0
	}
	if k.share > 0 && k.share < 1 {
		k.times = slices.DeleteFunc(k.times, func(s span) bool { return s.to <= now-k.over })
		room := k.most*k.over - k.linger
		for _, s := range k.times {
			room -= s.to - math.Max(s.from, now-k.over)
		}
		if room < math.Min(left, math.Max(1, worth*k.usual)) {
			return 0
		}
		left = math.Min(left, room)
	}
	k.inHand, k.begun = k.inHand+1, now
	return left
}

// done books the end of a call. One that we gave up on stays in hand below for a while.
func (k *calls) done(now, spent float64, how Outcome) {
	k.inHand--
	if how == OutcomeTimedOut || how == OutcomeReset {
		now += k.linger
		k.ghosts = append(k.ghosts, now)
	}
	if k.share > 0 && k.share < 1 {
		k.times = append(k.times, span{k.begun, now}) // it may be told late
	}
	// A crowded dependency slows all and stays crowded: callers wait longer, so more calls stand there. Fewer
	// calls in hand let it recover whatever slowed it; where it is slow for another reason this costs what
	// queues here instead.
	const slow = 2.5 // times as long as when quick: above the spread of single calls
	if how == OutcomeOK {
		if k.quick == 0 {
			k.usual, k.quick = spent, spent
		}
		k.usual += 0.1 * (spent - k.usual) // ten calls of memory
		k.quick = math.Min(k.usual, 1.001*k.quick)
	}
	if k.usual > slow*k.quick || how == OutcomeTimedOut {
		k.most = math.Max(math.Min(1, k.share), math.Min(k.most, float64(k.inHand+1))*0.95)
	} else {
		k.most = math.Min(k.share, k.most+0.1)
	}
}
