package pool

import (
	"math"
	"slices"
)

// FleetDecision is what the fleet has decided about one member.
type FleetDecision struct {
	Addr        string
	Ejected     bool
	CallerShare float64 // fraction of the callers whose requests it gets, if it is not ejected
}

// FollowsFleet reports whether the pool follows the fleet's decisions.
func (p *Pool) FollowsFleet() bool { return p.fleetAdmits != nil }

// UseLocalDetection makes the pool detect outliers by itself, as without a fleet. Ejections by the fleet end.
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

// UseFleetDecisions makes the pool follow the fleet's decisions: it ejects and returns no member by itself. A member
// without a decision is in use. admits reports whether a member with a caller share takes a caller's requests.
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
			// Its own latency is of another time, and its load is to follow from its share of the callers.
			m.meanLatency = p.medianOfResponding(m)
		}
		m.callerShare = decision.CallerShare
	}
}

// SetDraining marks the members at addrs as drained by an operator, and no others: they get no requests and no trials,
// and count against the share that ejection may take out of use. One that is no longer drained returns in slow start.
// If all members are listed none is drained, as nobody intends that; refused then holds their addresses.
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
