package gate

import (
	"slices"
)

// Flow counts RPCs since the start, by their final verdicts; those whose caller left are not in it. The most critical method is the one
// of the largest criticality, or the first of several.
type Counts struct {
	Total, Rejected, Aborted, Late uint64 // Late: ok past their latency target
	Critical, CriticalFailed       uint64 // of the most critical method, and not ok
}

// MethodStats is what a method carried since the start.
type MethodStats struct {
	OK        uint64
	RunMs     float64  // of all of its runs
	Customers []uint64 // ok, by customer as the settings have them; the last is for those without one
}

// Counts returns the counts.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.flow
}

// MethodStats returns what each method carried, as the settings have them.
func (g *Gate) MethodStats() []MethodStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := slices.Clone(g.ran)
	for i := range all {
		all[i].Customers = slices.Clone(all[i].Customers)
	}
	return all
}

// count notes a final verdict.
func (g *Gate) count(t *Ticket, v *Verdict) {
	if v.Kind == CallerGone || v.Kind == Run {
		return
	}
	f := &g.flow
	f.Total++
	if t.method == g.top {
		f.Critical++
		if v.Kind != OK {
			f.CriticalFailed++
		}
	}
	switch v.Kind {
	case Rejected:
		f.Rejected++
	case Aborted:
		f.Aborted++
	case OK:
		if unixMs(g.now())-t.door > g.told.Methods[t.method].LatencyObjective {
			f.Late++
		}
		r := &g.ran[t.method]
		r.OK++
		r.Customers[min(t.customer, len(r.Customers)-1)]++
	}
}
