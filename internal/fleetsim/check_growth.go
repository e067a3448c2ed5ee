package fleetsim

// This file owns the checker that no table grows with time: what a server holds is bounded by the fleet's size and by what
// is in hand.

type growthChecker struct{ cases int }

func (*growthChecker) Name() string                     { return "growth" }
func (c *growthChecker) Cases() int                     { return c.cases }
func (*growthChecker) MustHaveCases(w *Simulation) bool { return w.o.DurationMs > 2*checkMs }
func (*growthChecker) Finish(*Simulation)               {}

func (c *growthChecker) Check(w *Simulation) {
	n := len(w.servers)
	w.forgetTokens()
	for i := range w.servers {
		s := &w.servers[i]
		if !s.up {
			continue
		}
		c.cases++
		if s.det.news.live > 2*n || s.det.news.held > 4*n+64 || len(s.det.suspects) > n {
			w.AddFinding("growth", "%s holds %d news, %d with those replaced, and %d suspicions", s.name, s.det.news.live, s.det.news.held, len(s.det.suspects))
		}
		if names := s.hear.Names(); names > n-1 {
			w.AddFinding("growth", "%s remembers %d names of %d", s.name, names, n-1)
		}
		if s.gate != nil && s.gate.InHand() > len(s.tickets)+1 {
			w.AddFinding("growth", "%s: the gate holds %d RPCs, %d are open", s.name, s.gate.InHand(), len(s.tickets))
		}
	}
	if len(w.rpcs) > 4*n*(int(w.o.RatePerServer*deadlineMs/1000)+16) {
		w.AddFinding("growth", "%d RPCs are held at a time", len(w.rpcs))
	}
}
