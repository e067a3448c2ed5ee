package fleetsim

// rpcChecker checks that each RPC is answered once and in time. Violations at one moment are found in responses.go; this
// counts the cases and looks at what is left at the end.
type rpcChecker struct{ cases int }

func (*rpcChecker) Name() string                       { return "rules" }
func (c *rpcChecker) Cases() int                       { return c.cases }
func (*rpcChecker) MustHaveCases(sim *Simulation) bool { return sim.options.RatePerServer > 0 }
func (c *rpcChecker) Check(sim *Simulation)            { c.cases = sim.finishedRPCs }

// Finish reports RPCs that were never finished though their time is over.
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
