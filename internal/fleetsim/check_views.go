package fleetsim

// This file owns the checker that views settle after the last fault: every server that runs hears all that run.

import "sorrelvalve/decision/health"

type viewsChecker struct {
	cases   int
	settled float64 // ms after the last act; negative while not
}

func (*viewsChecker) Name() string { return "views" }
func (c *viewsChecker) Cases() int { return c.cases }
func (c *viewsChecker) MustHaveCases(sim *Simulation) bool {
	return sim.options.DurationMs >= sim.lastStepAt+sim.options.SettleTimeoutMs
}

func (c *viewsChecker) Check(sim *Simulation) {
	if sim.now < sim.lastStepAt {
		return
	}
	all := true
	for i := range sim.servers {
		s := &sim.servers[i]
		if !s.up || s.stopped {
			continue
		}
		c.cases++
		if s.health.State(sim.localClock(s)) == health.Complete {
			continue
		}
		all = false
		if sim.now >= sim.lastStepAt+sim.options.SettleTimeoutMs {
			v := s.health.View(sim.localClock(s))
			sim.AddFinding("views", "%s hears %s, %d of %d, %.1f s after the last fault", s.name, v.State, v.Reachable, v.Members, (sim.now-sim.lastStepAt)/1000)
			break
		}
	}
	if !all {
		c.settled = -1
	} else if c.settled <= 0 {
		c.settled = sim.now - sim.lastStepAt
	}
}

func (c *viewsChecker) Finish(sim *Simulation) { sim.result.SettledMs = c.settled }
