package gate

import "slices"

// Counts holds the numbers of RPCs by final verdict since the gate was created. RPCs whose caller is gone are not counted. The
// critical method is the first one with the highest criticality.
type Counts struct {
	Total          uint64
	Rejected       uint64
	Aborted        uint64
	Late           uint64 // answered with OK later than their latency objective
	Critical       uint64 // RPCs of the critical method
	CriticalFailed uint64 // RPCs of the critical method that were not answered with OK
}

// MethodStats holds the counts of one method since the gate was created.
type MethodStats struct {
	OK        uint64   // RPCs answered with OK
	RunMs     float64  // total duration of its runs in ms
	Customers []uint64 // RPCs answered with OK by index of the customer; the last element is for all other RPCs
}

// Counts returns the counts over all methods.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// MethodStats returns a copy of the counts of each method, in the order of the start-up configuration.
func (g *Gate) MethodStats() []MethodStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := slices.Clone(g.methodStats)
	for i := range stats {
		stats[i].Customers = slices.Clone(stats[i].Customers)
	}
	return stats
}

// count updates the counts for a final verdict.
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
