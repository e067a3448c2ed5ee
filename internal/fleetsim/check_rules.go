package fleetsim

// This file owns the checker of the four rules. What is broken as it happens is found in callers.go; here it is counted and
// the ends are looked at.

type rpcChecker struct{ cases int }

func (*rpcChecker) Name() string                     { return "rules" }
func (c *rpcChecker) Cases() int                     { return c.cases }
func (*rpcChecker) MustHaveCases(w *Simulation) bool { return w.o.RatePerServer > 0 }
func (c *rpcChecker) Check(w *Simulation)            { c.cases = w.ends }

// Finish counts RPCs that never came to an end though their time is over.
func (c *rpcChecker) Finish(w *Simulation) {
	c.cases = w.ends
	for i := range w.rpcs {
		if r := &w.rpcs[i]; r.id != 0 && r.open && w.now-r.first > deadlineMs+slackMs {
			w.AddFinding("rules", "RPC %d never came to an end", r.id)
		}
	}
	for i := range w.servers {
		if s := &w.servers[i]; s.overdue > 0 {
			w.AddFinding("rules", "%s left %d RPCs without an answer to their due time", s.name, s.overdue)
		}
	}
}
