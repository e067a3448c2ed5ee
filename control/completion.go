package control

import "math"

// left hears that a caller no longer waits. A connection that broke and what is withdrawn at once show no
// habit: taken for one, they would have all of that caller's RPCs pushed back, with none left to unlearn it.
func (c *Controller) left(i int, broke bool) {
	r := &c.in.rpc[i]
	if age := c.now - r.arrived; !broke && age > c.tightest/10 { // no try is given up in less
		c.habits[r.caller] = c.habits[r.caller].left(age)
	}
	r.answered = true
	c.forget(r)
	c.abort(i)
}

// ended books the end of a run or join.
func (c *Controller) ended(i int, ev *Event) {
	r := &c.in.rpc[i]
	if r.state == calling {
		c.calls.done(c.now, c.now-r.stood, OutcomeTimedOut)
	}
	c.tries.ends++
	if !r.answered && c.now-r.arrived > 1.3*c.habits[r.caller].mean {
		delete(c.habits, r.caller) // this one waited longer
	}
	if ev.Outcome == OutcomeOK && r.state == running {
		spent := ev.Elapsed - r.below
		c.learn(r, spent)
		c.pressure.learn(r.method, c.now-r.arrived, c.methods[r.method].LatencyObjective)
	}
	c.drop(i)
}

// habit is how long a caller waits for one try where nothing tells it. An impatient caller is gone before
// heavy work ends, which then runs for nobody and runs again elsewhere; it is better sent on at once to a
// server that may be quicker. A client that left once for its own reasons shows no habit.
type habit struct {
	mean, deviation float64
}

func (h habit) left(age float64) habit {
	const weight = 0.4 // three tries left alike make a habit, and it is soon unlearnt
	if h.mean == 0 {
		h.mean, h.deviation = age, age/2
	}
	h.mean += weight * (age - h.mean)
	h.deviation += weight * (math.Abs(age-h.mean) - h.deviation)
	return h
}

func (h habit) wait() float64 {
	if h.mean == 0 || h.deviation > 0.2*h.mean {
		return math.Inf(1)
	}
	return h.mean
}
