package fleetsim

import "sorrelvalve/decision/health"

// viewsChecker checks that views settle after the last fault: every running server finds all that run.
type viewsChecker struct {
	cases   int
	settled float64 // ms after the last script step; negative while they have not
}

func (*viewsChecker) Name() string { return "views" }
func (c *viewsChecker) Cases() int { return c.cases }
func (*viewsChecker) MustHaveCases(sim *Simulation) bool {
	return sim.options.DurationMs >= sim.lastStepAt+sim.options.SettleTimeoutMs
}

func (c *viewsChecker) Check(sim *Simulation) {
	if sim.now < sim.lastStepAt {
		return
	}
	sinceStep := sim.now - sim.lastStepAt
	if !c.checkComplete(sim) {
		c.settled = -1
	} else if c.settled <= 0 {
		c.settled = sinceStep
	}
}

// checkComplete reports whether all views are complete. An incomplete one past the timeout is a finding.
func (c *viewsChecker) checkComplete(sim *Simulation) bool {
	complete := true
	for i := range sim.servers {
		s := &sim.servers[i]
		if !s.up || s.stopped {
			continue
		}
		c.cases++
		if s.health.State(sim.localClock(s)) == health.Complete {
			continue
		}
		complete = false
		if sim.now >= sim.lastStepAt+sim.options.SettleTimeoutMs {
			v := s.health.View(sim.localClock(s))
			sim.AddFinding("views", "%s hears %s, %d of %d, %.1f s after the last fault",
				s.name, v.State, v.Reachable, v.Members, (sim.now-sim.lastStepAt)/1000)
			break
		}
	}
	return complete
}

func (c *viewsChecker) Finish(sim *Simulation) { sim.result.SettledMs = c.settled }
