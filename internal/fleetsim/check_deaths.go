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
func (c *deathChecker) MustHaveCases(sim *Simulation) bool { return c.stops }

func (c *deathChecker) declaredDead(sim *Simulation, s *server, p int32, x *suspicion) {
	c.cases++
	if sim.localClock(s)-x.startedAt > (sim.now-s.resumedAt)*s.clockRate+1 {
		sim.AddFinding("judgement", "%s calls %s dead by a suspicion of %.1f s ago; it woke %.1f s ago", s.name, sim.servers[p].name, (sim.localClock(s)-x.startedAt)/1000, (sim.now-s.resumedAt)/1000)
	}
}

func (c *deathChecker) Check(sim *Simulation) {
	for i := range sim.servers {
		if s := &sim.servers[i]; !s.up && sim.now-s.downAt > defaultSettleMs && s.downAt > defaultSettleMs {
			c.stops = true
		}
	}
}

func (*deathChecker) Finish(*Simulation) {}
