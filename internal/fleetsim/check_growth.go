package fleetsim

// This file owns the checker that no table grows with time: what a server holds is bounded by the fleet's size and by what
// is in hand.

type growthChecker struct{ cases int }

func (*growthChecker) Name() string { return "growth" }
func (c *growthChecker) Cases() int { return c.cases }
func (*growthChecker) MustHaveCases(sim *Simulation) bool {
	return sim.options.DurationMs > 2*checkIntervalMs
}
func (*growthChecker) Finish(*Simulation) {}

func (c *growthChecker) Check(sim *Simulation) {
	n := len(sim.servers)
	sim.expireTokens()
	for i := range sim.servers {
		s := &sim.servers[i]
		if !s.up {
			continue
		}
		c.cases++
		if s.detector.updates.pending > 2*n || s.detector.updates.stored > 4*n+64 || len(s.detector.suspicions) > n {
			sim.AddFinding("growth", "%s holds %d news, %d with those replaced, and %d suspicions", s.name, s.detector.updates.pending, s.detector.updates.stored, len(s.detector.suspicions))
		}
		if names := s.health.MemberCount(); names > n-1 {
			sim.AddFinding("growth", "%s remembers %d names of %d", s.name, names, n-1)
		}
		if s.gate != nil && s.gate.InFlight() > len(s.inFlight)+1 {
			sim.AddFinding("growth", "%s: the gate holds %d RPCs, %d are open", s.name, s.gate.InFlight(), len(s.inFlight))
		}
	}
	if len(sim.rpcs) > 4*n*(int(sim.options.RatePerServer*deadlineMs/1000)+16) {
		sim.AddFinding("growth", "%d RPCs are held at a time", len(sim.rpcs))
	}
}
