package fleetsim

// This file owns the checker that views settle after the last fault: every server that runs hears all that run.

import "sorrelvalve/decision/health"

type viewsChecker struct {
	cases   int
	settled float64 // ms after the last act; negative while not
}

func (*viewsChecker) Name() string { return "views" }
func (c *viewsChecker) Cases() int { return c.cases }
func (c *viewsChecker) MustHaveCases(w *Simulation) bool {
	return w.o.DurationMs >= w.lastAct+w.o.SettleTimeoutMs
}

func (c *viewsChecker) Check(w *Simulation) {
	if w.now < w.lastAct {
		return
	}
	all := true
	for i := range w.servers {
		s := &w.servers[i]
		if !s.up || s.stopped {
			continue
		}
		c.cases++
		if s.hear.State(w.local(s)) == health.Whole {
			continue
		}
		all = false
		if w.now >= w.lastAct+w.o.SettleTimeoutMs {
			v := s.hear.View(w.local(s))
			w.AddFinding("views", "%s hears %s, %d of %d, %.1f s after the last fault", s.name, v.State, v.Heard, v.Roster, (w.now-w.lastAct)/1000)
			break
		}
	}
	if !all {
		c.settled = -1
	} else if c.settled <= 0 {
		c.settled = w.now - w.lastAct
	}
}

func (c *viewsChecker) Finish(w *Simulation) { w.result.SettledMs = c.settled }
