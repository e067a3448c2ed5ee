package fleetsim

// This file owns the checker of the safe ends: there are never more servers than a view says at most, nor fewer than it says at
// least, the time that the detector takes allowed for.

// failureDetectionLagMs is how old the lower end may be. A detector asks the more rarely the less it is answered, down to one peer in 4 s:
// where half a fleet is stopped, it took up to 33 s in 1,000 random schedules of 30 servers until a killed one was called
// dead and all had heard of it.
const failureDetectionLagMs = 45e3

type boundsChecker struct {
	cases  int
	roster map[uint64]int // by server and life: names leave it only by leaving
}

func (*boundsChecker) Name() string { return "bounds" }
func (c *boundsChecker) Cases() int { return c.cases }
func (*boundsChecker) MustHaveCases(sim *Simulation) bool {
	return sim.options.DurationMs > 2*checkIntervalMs
}
func (*boundsChecker) Finish(*Simulation) {}

func (c *boundsChecker) Check(sim *Simulation) {
	runs := map[int32][2]int{} // by fleet: now, and now or of late
	for i := range sim.servers {
		s := &sim.servers[i]
		n := runs[s.fleetFirst]
		if s.up {
			n[0]++
		}
		if s.up || sim.now-s.downAt < failureDetectionLagMs {
			n[1]++
		}
		runs[s.fleetFirst] = n
	}
	for i := range sim.servers {
		s := &sim.servers[i]
		if !s.up || s.stopped {
			continue
		}
		up, late := runs[s.fleetFirst][0], runs[s.fleetFirst][1]
		v := s.health.Summary(sim.localClock(s))
		c.cases++
		if sim.options.HealthRules.ExpectedServers > 0 && !v.MaxUnknown && v.MaxServers < up { // without a number to expect, a fleet started anew while cut can't know
			sim.AddFinding("bounds", "%s says at most %d, and %d run", s.name, v.MaxServers, up)
		}
		if c.roster == nil {
			c.roster = map[uint64]int{}
		}
		life := uint64(s.incarnation)<<32 | uint64(i)
		if was := c.roster[life]; v.Members < was-sim.drainedServers {
			sim.AddFinding("bounds", "%s has %d on its roster, and had %d; %d left", s.name, v.Members, was, sim.drainedServers)
		} else if v.Members > was {
			c.roster[life] = v.Members
		}
		if v.MinServers > late {
			sim.AddFinding("bounds", "%s says at least %d, and %d run or ran of late", s.name, v.MinServers, late)
		}
	}
}
