package pool

import (
	"math"
	"slices"
)

// FleetDecision is the fleet's decision about one member.
type FleetDecision struct {
	Addr        string
	Ejected     bool
	CallerShare float64 // fraction of the callers whose requests the member gets, if it is not ejected
}

// FollowsFleet reports whether the pool follows the fleet's decisions.
func (p *Pool) FollowsFleet() bool { return p.fleetAdmits != nil }

// UseLocalDetection makes the pool detect outliers by itself, as it does without a fleet, and ends ejections by the
// fleet.
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

// UseFleetDecisions makes the pool follow the fleet's decisions: it no longer ejects or returns members by itself. A
// member without a decision is in use. admits reports whether a member with a given caller share accepts the requests
// of a caller.
func (p *Pool) UseFleetDecisions(now float64, decisions []FleetDecision, admits func(member string, caller uint64, share float64) bool) {
	p.fleetAdmits = admits
	for _, m := range p.members {
		decision := FleetDecision{CallerShare: 1}
		for i := range decisions {
			if decisions[i].Addr == m.addr {
				decision = decisions[i]
			}
		}
		switch {
		case decision.Ejected && m.ejection == NotEjected:
			m.ejection = EjectedByFleet
			m.ejectedUntil = math.Inf(1)
			p.events = append(p.events, Event{Addr: m.addr, Reason: EjectedByFleet})
		case !decision.Ejected && m.ejection != NotEjected:
			p.restore(now, m)
			// The member's recorded latency is out of date. With the latency of the others, its load depends on its share
			// of the callers alone.
			m.meanLatency = p.medianOfResponding(m)
		}
		m.callerShare = decision.CallerShare
	}
}

// SetDraining marks the members at addrs, and no others, as drained by an operator. Drained members get no requests and
// no trials, and count against the share of members that ejection may take out of use. A member that is no longer
// drained returns in slow start. If addrs lists all members, none is drained, since that is assumed to be a mistake;
// refused then holds their addresses.
func (p *Pool) SetDraining(now float64, addrs []string) (refused []string) {
	remaining := 0
	for _, m := range p.members {
		if !m.removed && !slices.Contains(addrs, m.addr) {
			remaining++
		}
	}
	for _, m := range p.members {
		drained := !m.removed && slices.Contains(addrs, m.addr)
		if drained && remaining == 0 {
			refused = append(refused, m.addr)
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
	return refused
}
