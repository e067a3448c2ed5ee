package gate

import (
	"slices"
)

// Flow counts RPCs since the start, by their final verdicts; those whose caller left are not in it. The most critical method is the one
// of the largest criticality, or the first of several.
type Flow struct {
	All, PushedBack, Aborted, Late uint64 // Late: ok past their latency target
	Top, TopBad                    uint64 // of the most critical method, and not ok
}

// Ran is what a method carried since the start.
type Ran struct {
	OK        uint64
	RunMs     float64  // of all of its runs
	Customers []uint64 // ok, by customer as the settings have them; the last is for those without one
}

// Flow returns the counts.
func (g *Gate) Flow() Flow {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.flow
}

// Carried returns what each method carried, as the settings have them.
func (g *Gate) Carried() []Ran {
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
	if v.Answer == Gone || v.Answer == Run {
		return
	}
	f := &g.flow
	f.All++
	if t.method == g.top {
		f.Top++
		if v.Answer != OK {
			f.TopBad++
		}
	}
	switch v.Answer {
	case PushedBack:
		f.PushedBack++
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
