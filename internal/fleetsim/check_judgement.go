package fleetsim

// This file owns the checker that nobody judges by what it knew before a stall of its own: whoever calls another dead must
// have begun to suspect it while it ran, and run on until now.

type judgementChecker struct {
	cases int
	stops bool
}

func (*judgementChecker) Name() string { return "judgement" }
func (c *judgementChecker) Saw() int   { return c.cases }

// Due is where somebody was stopped or killed for long enough to be judged, or to judge.
func (c *judgementChecker) Due(w *World) bool { return c.stops }

func (c *judgementChecker) judged(w *World, s *server, p int32, x *suspicion) {
	c.cases++
	if w.local(s)-x.began > (w.now-s.roused)*s.rate+1 {
		w.Found("judgement", "%s calls %s dead by a suspicion of %.1f s ago; it woke %.1f s ago", s.name, w.servers[p].name, (w.local(s)-x.began)/1000, (w.now-s.roused)/1000)
	}
}

func (c *judgementChecker) Look(w *World) {
	for i := range w.servers {
		if s := &w.servers[i]; !s.up && w.now-s.downAt > usualSettle && s.downAt > usualSettle {
			c.stops = true
		}
	}
}

func (*judgementChecker) End(*World) {}
