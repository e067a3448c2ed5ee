package fleetsim

// quotaChecker checks the fleet quotas: in no second is more admitted than capacity and burst, at no moment do the servers'
// parts sum to more than the capacity, no server is below its floor, and the ledgers don't grow.
type quotaChecker struct{ cases int }

func (*quotaChecker) Name() string       { return "budgets" }
func (c *quotaChecker) Cases() int       { return c.cases }
func (*quotaChecker) Finish(*Simulation) {}
func (*quotaChecker) MustHaveCases(sim *Simulation) bool {
	o := sim.options.Quota
	return o != nil && o.Scheme == PeerLeases && sim.options.DurationMs > minCheckedMs
}

// quotaRounding is the relative error allowed for sums of floating-point numbers.
const quotaRounding = 1e-9

func (c *quotaChecker) Check(sim *Simulation) {
	o := sim.options.Quota
	if o == nil || o.Scheme == GossipEstimates || o.Scheme == StaticSplit {
		return
	}
	if sim.peakUse > 1+quotaRounding {
		sim.AddFinding("budgets", "within a second %.3f of bound and burst were taken", sim.peakUse)
		sim.peakUse = 0
	}
	for customer := range sim.admissions {
		c.cases += len(sim.admissions[customer])
		checkParts(sim, customerName(int32(customer)))
	}
	checkLedgers(sim)
}

// checkParts checks the servers' parts of one customer's quota.
func checkParts(sim *Simulation, customer string) {
	limit := &sim.options.Quota.Rules
	sum := 0.0
	for i := range sim.servers {
		s := &sim.servers[i]
		if !s.up {
			continue
		}
		part := s.ledger.Capacity(sim.localClock(s), customer)
		sum += part
		if part < limit.Floor*(1-quotaRounding) {
			sim.AddFinding("budgets", "%s has %g, under its floor", s.name, part)
		}
	}
	if sum > limit.Capacity*(1+quotaRounding) {
		sim.AddFinding("budgets", "the parts of %s sum to %.3f of the bound", customer, sum/limit.Capacity)
	}
}

// extraLeases allows for leases that were returned in part, and those whose answer was lost: they stand beside those in use
// until they expire.
const extraLeases = 64

// checkLedgers checks that the servers' ledgers don't grow.
func checkLedgers(sim *Simulation) {
	maxEntries := len(sim.admissions) * (2*extraLeases + 4*len(sim.servers))
	for i := range sim.servers {
		s := &sim.servers[i]
		if !s.up {
			continue
		}
		granted, borrowed, requests := s.ledger.LeaseCounts()
		if granted+borrowed+requests > maxEntries {
			sim.AddFinding("budgets", "%s has %d loans out, %d in, %d asks", s.name, granted, borrowed, requests)
		}
	}
}
