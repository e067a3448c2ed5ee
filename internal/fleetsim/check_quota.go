package fleetsim

// This file owns the checker of shared budgets: no second in which more was taken than bound and burst, no moment at which
// the parts sum to more than the bound, nobody under its floor, and tables that do not grow.

type quotaChecker struct{ cases int }

func (*quotaChecker) Name() string { return "budgets" }
func (c *quotaChecker) Cases() int { return c.cases }
func (*quotaChecker) MustHaveCases(sim *Simulation) bool {
	return sim.options.Quota != nil && sim.options.Quota.Scheme == PeerLeases && sim.options.DurationMs > 2*checkIntervalMs
}

func (c *quotaChecker) Check(sim *Simulation) {
	b := sim.options.Quota
	if b == nil || b.Scheme == GossipEstimates || b.Scheme == StaticSplit {
		return
	}
	r := &b.Rules
	if sim.peakUse > 1+1e-9 {
		sim.AddFinding("budgets", "within a second %.3f of bound and burst were taken", sim.peakUse)
		sim.peakUse = 0
	}
	for key := range sim.admissions {
		sum := 0.0
		for i := range sim.servers {
			s := &sim.servers[i]
			if !s.up {
				continue
			}
			now := sim.localClock(s)
			part := s.ledger.Capacity(now, customerName(int32(key)))
			if sum += part; part < r.Floor*(1-1e-9) {
				sim.AddFinding("budgets", "%s has %g, under its floor", s.name, part)
			}
		}
		c.cases += len(sim.admissions[key])
		if sum > r.Capacity*(1+1e-9) {
			sim.AddFinding("budgets", "the parts of %s sum to %.3f of the bound", customerName(int32(key)), sum/r.Capacity)
		}
	}
	for i := range sim.servers {
		if s := &sim.servers[i]; s.up {
			if out, in, asks := s.ledger.LeaseCounts(); out+in+asks > len(sim.admissions)*(2*extraLeases+4*len(sim.servers)) {
				sim.AddFinding("budgets", "%s has %d loans out, %d in, %d asks", s.name, out, in, asks)
			}
		}
	}
}

// extraLeases: loans given up in part, and those whose answer was lost, stand beside those in use to their end.
const extraLeases = 64

func (*quotaChecker) Finish(*Simulation) {}
