package fleetsim

// growthChecker checks that no table grows with time: what a server stores is bounded by the fleet's size and by the RPCs in
// flight.
type growthChecker struct{ cases int }

func (*growthChecker) Name() string { return "growth" }
func (c *growthChecker) Cases() int { return c.cases }
func (*growthChecker) MustHaveCases(sim *Simulation) bool {
	return sim.options.DurationMs > minCheckedMs
}
func (*growthChecker) Finish(*Simulation) {}

func (c *growthChecker) Check(sim *Simulation) {
	const spareRPCs = 16 // for each server
	n := len(sim.servers)
	sim.expireTokens()
	for i := range sim.servers {
		if s := &sim.servers[i]; s.up {
			c.cases++
			checkTables(sim, s)
		}
	}
	perServer := int(sim.options.RatePerServer*deadlineMs/1000) + spareRPCs
	if len(sim.rpcs) > 4*n*perServer {
		sim.AddFinding("growth", "%d RPCs are held at a time", len(sim.rpcs))
	}
}

func checkTables(sim *Simulation, s *server) {
	n := len(sim.servers)
	updates := &s.detector.updates
	suspicions := len(s.detector.suspicions)
	if updates.pending > 2*n || updates.stored > 4*n+staleEntries || suspicions > n {
		sim.AddFinding("growth", "%s holds %d news, %d with those replaced, and %d suspicions",
			s.name, updates.pending, updates.stored, suspicions)
	}
	if names := s.health.MemberCount(); names > n-1 {
		sim.AddFinding("growth", "%s remembers %d names of %d", s.name, names, n-1)
	}
	if s.gate != nil && s.gate.InFlight() > len(s.inFlight)+1 {
		sim.AddFinding("growth", "%s: the gate holds %d RPCs, %d are open", s.name, s.gate.InFlight(), len(s.inFlight))
	}
}
