package fleetsim

// This file owns the checker of the four rules. What is broken as it happens is found in callers.go; here it is counted and
// the ends are looked at.

type rulesChecker struct{ cases int }

func (*rulesChecker) Name() string      { return "rules" }
func (c *rulesChecker) Saw() int        { return c.cases }
func (*rulesChecker) Due(w *World) bool { return w.o.Rate > 0 }
func (c *rulesChecker) Look(w *World)   { c.cases = w.ends }

// End counts RPCs that never came to an end though their time is over.
func (c *rulesChecker) End(w *World) {
	c.cases = w.ends
	for i := range w.rpcs {
		if r := &w.rpcs[i]; r.id != 0 && r.open && w.now-r.first > deadlineMs+slackMs {
			w.Found("rules", "RPC %d never came to an end", r.id)
		}
	}
	for i := range w.servers {
		if s := &w.servers[i]; s.overdue > 0 {
			w.Found("rules", "%s left %d RPCs without an answer to their due time", s.name, s.overdue)
		}
	}
}
