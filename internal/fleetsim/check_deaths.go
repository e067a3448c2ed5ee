package fleetsim

// deathChecker checks that no server declares a peer dead by what it knew before a stall of its own: it must have begun to
// suspect the peer while it ran, and must have run on until now.
type deathChecker struct {
	cases    int
	longDown bool // a server was down for long enough to be declared dead
}

func (*deathChecker) Name() string                     { return "judgement" }
func (c *deathChecker) Cases() int                     { return c.cases }
func (c *deathChecker) MustHaveCases(*Simulation) bool { return c.longDown }
func (*deathChecker) Finish(*Simulation)               {}

func (c *deathChecker) declaredDead(sim *Simulation, s *server, peer int32, why *suspicion) {
	const rounding = 1 // ms
	c.cases++
	suspectedMs := sim.localClock(s) - why.startedAt
	awakeMs := sim.now - s.resumedAt
	if suspectedMs > awakeMs*s.clockRate+rounding {
		sim.AddFinding("judgement", "%s calls %s dead by a suspicion of %.1f s ago; it woke %.1f s ago",
			s.name, sim.servers[peer].name, suspectedMs/1000, awakeMs/1000)
	}
}

func (c *deathChecker) Check(sim *Simulation) {
	for i := range sim.servers {
		s := &sim.servers[i]
		if !s.up && sim.now-s.downAt > defaultSettleMs && s.downAt > defaultSettleMs {
			c.longDown = true
		}
	}
}
