package control

import "math"

// usual is the run time of the usual RPC: the mean over the methods by what has run.
func (c *Controller) usual() float64 {
	t, n := 0.0, 0.0
	for i := range c.pace {
		t, n = t+c.pace[i].spent, n+c.pace[i].runs
	}
	return t / n
}

// expectedRunTime is the expected run time of an RPC without its calls.
func (c *Controller) expectedRunTime(r *rpc) float64 { return c.pace[r.method].run(r.work, c.speed) }

// learn takes in a run. All methods together tell the speed of late: each alone runs too seldom on a small
// server, and its twenty runs reach back past what has changed, a slow machine or a storm of reads.
func (c *Controller) learn(r *rpc, spent float64) {
	const weight = 0.15 // about seven runs, a second or two of traffic
	p := &c.pace[r.method]
	f := math.Max(1, spent) / math.Max(1, p.run(r.work, 1))
	c.speed += weight * (math.Min(4, math.Max(0.25, f)) - c.speed) // bounded, as one heavy run tells no speed
	p.learn(spent/c.speed, r.work, r.below)
}

// pace learns how long the runs of a method take, and how far their hints tell it.
type pace struct {
	spent, work, runs float64
	below, prior      float64 // mean time at calls; run time before any has ended
	both, hint        float64 // covariance of run time and hint, and variance of the hint, each over its mean
}

// newPace starts as if two runs had ended, of a sixth of the latency target and as long as hinted: one run
// with a short hint would make all others seem endless. Hints are trusted in full.
func newPace(target float64) pace {
	t := target / 6
	return pace{prior: t, spent: 2 * t, work: 2 * t, runs: 2, both: 0.5, hint: 0.5}
}

func (p *pace) learn(spent, work, below float64) {
	const (
		keep = 0.95 // twenty runs of memory; what changes sooner shows in the speed
		slow = 0.98 // fifty for what hints are good for, which no speed changes
	)
	spent = math.Max(1, spent) // a run that took no time tells no speed
	p.spent, p.work, p.runs = p.spent*keep+spent, p.work*keep+work, p.runs*keep+1
	p.below += (1 - keep) * (math.Min(below, 3*p.prior) - p.below)
	s, w := spent*p.runs/p.spent-1, work*p.runs/p.work-1
	p.both, p.hint = p.both*slow+(1-slow)*s*w, p.hint*slow+(1-slow)*w*w
}

// run is the run time to expect. Rough hints overrate what they call heavy, so it is drawn to the mean.
// What was learnt in a hang must not keep a method from ever being tried again: the mean stays under what
// an idle server takes.
func (p *pace) run(work, speed float64) float64 {
	trust := math.Max(0.3, math.Min(1, p.both/p.hint))
	return math.Min(speed*p.spent/p.runs, 5*p.prior) * (1 - trust + trust*work*p.runs/p.work)
}
