package fleetsim

// This file owns the checker of shared budgets: no second in which more was taken than bound and burst, no moment at which
// the parts sum to more than the bound, nobody under its floor, and tables that do not grow.

type quotaChecker struct{ cases int }

func (*quotaChecker) Name() string { return "budgets" }
func (c *quotaChecker) Cases() int { return c.cases }
func (*quotaChecker) MustHaveCases(w *Simulation) bool {
	return w.o.Quota != nil && w.o.Quota.Scheme == PeerLeases && w.o.DurationMs > 2*checkMs
}

func (c *quotaChecker) Check(w *Simulation) {
	b := w.o.Quota
	if b == nil || b.Scheme == GossipEstimates || b.Scheme == StaticSplit {
		return
	}
	r := &b.Rules
	if w.peakUse > 1+1e-9 {
		w.AddFinding("budgets", "within a second %.3f of bound and burst were taken", w.peakUse)
		w.peakUse = 0
	}
	for key := range w.admissions {
		sum := 0.0
		for i := range w.servers {
			s := &w.servers[i]
			if !s.up {
				continue
			}
			now := w.local(s)
			part := s.book.Part(now, budgetName(int32(key)))
			if sum += part; part < r.Floor*(1-1e-9) {
				w.AddFinding("budgets", "%s has %g, under its floor", s.name, part)
			}
		}
		c.cases += len(w.admissions[key])
		if sum > r.Bound*(1+1e-9) {
			w.AddFinding("budgets", "the parts of %s sum to %.3f of the bound", budgetName(int32(key)), sum/r.Bound)
		}
	}
	for i := range w.servers {
		if s := &w.servers[i]; s.up {
			if out, in, asks := s.book.Loans(); out+in+asks > len(w.admissions)*(2*mostLoansSeen+4*len(w.servers)) {
				w.AddFinding("budgets", "%s has %d loans out, %d in, %d asks", s.name, out, in, asks)
			}
		}
	}
}

// mostLoansSeen: loans given up in part, and those whose answer was lost, stand beside those in use to their end.
const mostLoansSeen = 64

func (*quotaChecker) Finish(*Simulation) {}
