package fleetsim

// This file owns the checker that no table grows with time: what a server holds is bounded by the fleet's size and by what
// is in hand.

type growthChecker struct{ cases int }

func (*growthChecker) Name() string      { return "growth" }
func (c *growthChecker) Saw() int        { return c.cases }
func (*growthChecker) Due(w *World) bool { return w.o.Length > 2*checkMs }
func (*growthChecker) End(*World)        {}

func (c *growthChecker) Look(w *World) {
	n := len(w.servers)
	w.forgetTokens()
	for i := range w.servers {
		s := &w.servers[i]
		if !s.up {
			continue
		}
		c.cases++
		if s.det.news.live > 2*n || s.det.news.held > 4*n+64 || len(s.det.suspects) > n {
			w.Found("growth", "%s holds %d news, %d with those replaced, and %d suspicions", s.name, s.det.news.live, s.det.news.held, len(s.det.suspects))
		}
		if names := s.hear.Names(); names > n-1 {
			w.Found("growth", "%s remembers %d names of %d", s.name, names, n-1)
		}
		if s.gate != nil && s.gate.InHand() > len(s.tickets)+1 {
			w.Found("growth", "%s: the gate holds %d RPCs, %d are open", s.name, s.gate.InHand(), len(s.tickets))
		}
	}
	if len(w.rpcs) > 4*n*(int(w.o.Rate*deadlineMs/1000)+16) {
		w.Found("growth", "%d RPCs are held at a time", len(w.rpcs))
	}
}
