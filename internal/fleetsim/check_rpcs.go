package fleetsim

// This file owns the checker of the four rules. What is broken as it happens is found in callers.go; here it is counted and
// the ends are looked at.

type rpcChecker struct{ cases int }

func (*rpcChecker) Name() string                       { return "rules" }
func (c *rpcChecker) Cases() int                       { return c.cases }
func (*rpcChecker) MustHaveCases(sim *Simulation) bool { return sim.options.RatePerServer > 0 }
func (c *rpcChecker) Check(sim *Simulation)            { c.cases = sim.finishedRPCs }

// Finish counts RPCs that never came to an end though their time is over.
func (c *rpcChecker) Finish(sim *Simulation) {
	c.cases = sim.finishedRPCs
	for i := range sim.rpcs {
		if r := &sim.rpcs[i]; r.id != 0 && r.open && sim.now-r.startedAt > deadlineMs+answerSlackMs {
			sim.AddFinding("rules", "RPC %d never came to an end", r.id)
		}
	}
	for i := range sim.servers {
		if s := &sim.servers[i]; s.overdue > 0 {
			sim.AddFinding("rules", "%s left %d RPCs without an answer to their due time", s.name, s.overdue)
		}
	}
}
