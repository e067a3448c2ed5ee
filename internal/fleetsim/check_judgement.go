package fleetsim

// This file owns the checker that nobody judges by what it knew before a stall of its own: whoever calls another dead must
// have begun to suspect it while it ran, and run on until now.

type deathChecker struct {
	cases int
	stops bool
}

func (*deathChecker) Name() string { return "judgement" }
func (c *deathChecker) Cases() int { return c.cases }

// MustHaveCases is where somebody was stopped or killed for long enough to be judged, or to judge.
func (c *deathChecker) MustHaveCases(w *Simulation) bool { return c.stops }

func (c *deathChecker) declaredDead(w *Simulation, s *server, p int32, x *suspicion) {
	c.cases++
	if w.local(s)-x.began > (w.now-s.roused)*s.rate+1 {
		w.AddFinding("judgement", "%s calls %s dead by a suspicion of %.1f s ago; it woke %.1f s ago", s.name, w.servers[p].name, (w.local(s)-x.began)/1000, (w.now-s.roused)/1000)
	}
}

func (c *deathChecker) Check(w *Simulation) {
	for i := range w.servers {
		if s := &w.servers[i]; !s.up && w.now-s.downAt > usualSettle && s.downAt > usualSettle {
			c.stops = true
		}
	}
}

func (*deathChecker) Finish(*Simulation) {}
