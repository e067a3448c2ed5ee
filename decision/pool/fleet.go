package pool

import (
	"math"
	"slices"
)

// Verdict is what the fleet says of a member.
type FleetDecision struct {
	Addr        string
	Ejected     bool
	CallerShare float64 // of the callers that it gets RPCs of, if it is not out; takes says whose
}

// Takes tells whether the pool goes by the fleet's verdicts.
func (p *Pool) FollowsFleet() bool { return p.fleetAdmits != nil }

// Alone has the pool judge for itself again, as without a fleet. What it did on hearsay is taken back.
func (p *Pool) UseLocalDetection(now float64) {
	if p.fleetAdmits == nil {
		return
	}
	p.fleetAdmits = nil
	for _, m := range p.members {
		if m.ejection == EjectedByFleet {
			p.restore(now, m)
		}
	}
}

// Judge has the pool go by the fleet's verdicts from now on: it ejects and takes back nobody by itself. takes tells whether a
// member with a share gets a caller's RPCs. A member without a verdict is in use.
func (p *Pool) UseFleetDecisions(now float64, all []FleetDecision, takes func(member string, caller uint64, share float64) bool) {
	p.fleetAdmits = takes
	for _, m := range p.members {
		out, share := false, 1.0
		for i := range all {
			if all[i].Addr == m.addr {
				out, share = all[i].Ejected, all[i].CallerShare
			}
		}
		switch {
		case out && m.ejection == NotEjected:
			m.ejection, m.ejectedUntil = EjectedByFleet, math.Inf(1)
			p.events = append(p.events, Event{Addr: m.addr, Reason: EjectedByFleet})
		case !out && m.ejection != NotEjected:
			p.restore(now, m)
			m.meanLatency = p.medianOfAnswering(m) // its own is of another time: its load is to be its part of the callers
		}
		m.callerShare = share
	}
}

// Aside leaves members alone that are being drained, and no others: they get nothing new, neither first tries nor probes, and use
// up what the pool may spare before any is ejected. One that is no longer drained returns by its ramp. Where all are drained
// none is left alone: that is nobody's intent, and names come back as what could not be done.
func (p *Pool) SetDraining(now float64, addrs []string) (cannot []string) {
	in := 0
	for _, m := range p.members {
		if !m.removed && !slices.Contains(addrs, m.addr) {
			in++
		}
	}
	for _, m := range p.members {
		drained := !m.removed && slices.Contains(addrs, m.addr)
		if drained && in == 0 {
			cannot = append(cannot, m.addr)
			drained = false
		}
		switch {
		case drained && !m.draining:
			p.events = append(p.events, Event{Addr: m.addr, Reason: Draining})
		case !drained && m.draining && !m.removed:
			p.restore(now, m)
		}
		m.draining = drained
	}
	p.restoreMinHealthy(now)
	return cannot
}
