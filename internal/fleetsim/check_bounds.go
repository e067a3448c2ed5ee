package fleetsim

// failureDetectionLagMs is how old the lower bound of a view may be. A detector checks the more rarely the less it is answered,
// down to one peer in 4 s: where half a fleet is stopped, it took up to 33 s in 1,000 random schedules of 30 servers until a
// killed one was declared dead and all knew.
const failureDetectionLagMs = 45e3

// boundsChecker checks that there are never more servers than a view's upper bound, nor fewer than its lower one, detection
// time allowed for.
type boundsChecker struct {
	cases  int
	roster map[uint64]int // by process: members leave it only by departing
}

func (*boundsChecker) Name() string { return "bounds" }
func (c *boundsChecker) Cases() int { return c.cases }
func (*boundsChecker) MustHaveCases(sim *Simulation) bool {
	return sim.options.DurationMs > minCheckedMs
}
func (*boundsChecker) Finish(*Simulation) {}

// fleetCount is how many servers of a fleet run, and how many run or ran of late.
type fleetCount struct{ up, recentlyUp int }

func (c *boundsChecker) Check(sim *Simulation) {
	counts := map[int32]fleetCount{} // by the fleet's first server
	for i := range sim.servers {
		s := &sim.servers[i]
		n := counts[s.fleetFirst]
		if s.up {
			n.up++
		}
		if s.up || sim.now-s.downAt < failureDetectionLagMs {
			n.recentlyUp++
		}
		counts[s.fleetFirst] = n
	}
	for i := range sim.servers {
		if s := &sim.servers[i]; s.up && !s.stopped {
			c.cases++
			c.checkServer(sim, s, counts[s.fleetFirst])
		}
	}
}

func (c *boundsChecker) checkServer(sim *Simulation, s *server, count fleetCount) {
	view := s.health.Summary(sim.localClock(s))
	// Without an expected number, a fleet started anew while cut can't know of the others.
	if sim.options.HealthRules.ExpectedServers > 0 && !view.MaxUnknown && view.MaxServers < count.up {
		sim.AddFinding("bounds", "%s says at most %d, and %d run", s.name, view.MaxServers, count.up)
	}
	if c.roster == nil {
		c.roster = map[uint64]int{}
	}
	process := uint64(s.incarnation)<<32 | uint64(s.index)
	if was := c.roster[process]; view.Members < was-sim.drainedServers {
		sim.AddFinding("bounds", "%s has %d on its roster, and had %d; %d left", s.name, view.Members, was, sim.drainedServers)
	} else if view.Members > was {
		c.roster[process] = view.Members
	}
	if view.MinServers > count.recentlyUp {
		sim.AddFinding("bounds", "%s says at least %d, and %d run or ran of late", s.name, view.MinServers, count.recentlyUp)
	}
}
