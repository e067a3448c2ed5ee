package fleetsim

// This file owns the checker that views settle after the last fault: every server that runs hears all that run.

import "sorrelvalve/decision/health"

type viewsChecker struct {
	cases   int
	settled float64 // ms after the last act; negative while not
}

func (*viewsChecker) Name() string        { return "views" }
func (c *viewsChecker) Saw() int          { return c.cases }
func (c *viewsChecker) Due(w *World) bool { return w.o.Length >= w.lastAct+w.o.SettleMs }

func (c *viewsChecker) Look(w *World) {
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
		if w.now >= w.lastAct+w.o.SettleMs {
			v := s.hear.View(w.local(s))
			w.Found("views", "%s hears %s, %d of %d, %.1f s after the last fault", s.name, v.State, v.Heard, v.Roster, (w.now-w.lastAct)/1000)
			break
		}
	}
	if !all {
		c.settled = -1
	} else if c.settled <= 0 {
		c.settled = w.now - w.lastAct
	}
}

func (c *viewsChecker) End(w *World) { w.result.Settled = c.settled }
