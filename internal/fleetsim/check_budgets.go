package fleetsim

// This file owns the checker of shared budgets: no second in which more was taken than bound and burst, no moment at which
// the parts sum to more than the bound, nobody under its floor, and tables that do not grow.

type budgetsChecker struct{ cases int }

func (*budgetsChecker) Name() string { return "budgets" }
func (c *budgetsChecker) Saw() int   { return c.cases }
func (*budgetsChecker) Due(w *World) bool {
	return w.o.Budgets != nil && w.o.Budgets.Way == Lent && w.o.Length > 2*checkMs
}

func (c *budgetsChecker) Look(w *World) {
	b := w.o.Budgets
	if b == nil || b.Way == Estimated || b.Way == Fixed {
		return
	}
	r := &b.Rules
	if w.worst > 1+1e-9 {
		w.Found("budgets", "within a second %.3f of bound and burst were taken", w.worst)
		w.worst = 0
	}
	for key := range w.log {
		sum := 0.0
		for i := range w.servers {
			s := &w.servers[i]
			if !s.up {
				continue
			}
			now := w.local(s)
			part := s.book.Part(now, budgetName(int32(key)))
			if sum += part; part < r.Floor*(1-1e-9) {
				w.Found("budgets", "%s has %g, under its floor", s.name, part)
			}
		}
		c.cases += len(w.log[key])
		if sum > r.Bound*(1+1e-9) {
			w.Found("budgets", "the parts of %s sum to %.3f of the bound", budgetName(int32(key)), sum/r.Bound)
		}
	}
	for i := range w.servers {
		if s := &w.servers[i]; s.up {
			if out, in, asks := s.book.Loans(); out+in+asks > len(w.log)*(2*mostLoansSeen+4*len(w.servers)) {
				w.Found("budgets", "%s has %d loans out, %d in, %d asks", s.name, out, in, asks)
			}
		}
	}
}

// mostLoansSeen: loans given up in part, and those whose answer was lost, stand beside those in use to their end.
const mostLoansSeen = 64

func (*budgetsChecker) End(*World) {}
