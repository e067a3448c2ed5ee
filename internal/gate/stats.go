package gate

import "slices"

// Counts are numbers of RPCs since the start by their final verdicts. Those whose caller left are not counted. The critical
// method is that of the largest criticality, the first of several.
type Counts struct {
	Total          uint64
	Rejected       uint64
	Aborted        uint64
	Late           uint64 // answered with OK past their latency objective
	Critical       uint64 // of the critical method
	CriticalFailed uint64 // of these, not answered with OK
}

// MethodStats are the counts of one method since the start.
type MethodStats struct {
	OK        uint64   // RPCs answered with OK
	RunMs     float64  // total time of its runs
	Customers []uint64 // RPCs answered with OK by customer, as in the start-up configuration; the last is for all others
}

// Counts returns the counts over all methods.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// MethodStats returns the counts of each method in the order of the start-up configuration. The caller may keep them.
func (g *Gate) MethodStats() []MethodStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := slices.Clone(g.methodStats)
	for i := range all {
		all[i].Customers = slices.Clone(all[i].Customers)
	}
	return all
}

// count counts a final verdict.
func (g *Gate) count(t *Ticket, v *Verdict) {
	if v.Kind == CallerGone || v.Kind == Run {
		return
	}
	c := &g.counts
	c.Total++
	if t.method == g.criticalMethod {
		c.Critical++
		if v.Kind != OK {
			c.CriticalFailed++
		}
	}
	switch v.Kind {
	case Rejected:
		c.Rejected++
	case Aborted:
		c.Aborted++
	case OK:
		if unixMillis(g.now())-t.arrivedMs > g.startup.Methods[t.method].LatencyObjective {
			c.Late++
		}
		m := &g.methodStats[t.method]
		m.OK++
		m.Customers[min(t.customer, len(m.Customers)-1)]++
	}
}
