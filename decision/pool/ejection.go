package pool

import (
	"math"
)

// Why is the reason a member is out of use; Sound means it is in use.
type EjectionReason int

const (
	NotEjected        EjectionReason = iota // in use
	FailuresInARow                          // consecutive failures
	HighLatency                             // far slower than the rest
	Unresponsive                            // work in hand and no answer
	HealthCheckFailed                       // active checks
	EjectedByFleet                          // by the fleet
	Draining                                // an operator has it drained
)

// String returns the reason as logs and status pages print it; out-of-range values print as the nearest reason.
func (w EjectionReason) String() string {
	return [...]string{"sound", "failing", "slow", "silent", "checked", "judged by the fleet", "drained"}[min(max(w, 0), Draining)]
}

// Event is an ejection or a return of a member, for logs and counters. For is the ejection duration in ms, 0 for a
// return or a fleet ejection.
type Event struct {
	Addr     string
	Reason   EjectionReason // Sound: it returned
	Duration float64
}

func (p *Pool) updateEjections(now float64) {
	if p.fleetAdmits != nil {
		return
	}
	for _, m := range p.members {
		if m.ejection != NotEjected && now >= m.ejectedUntil && (p.config.HealthCheckInterval == 0 || m.passedHealthCheck) {
			p.restore(now, m)
		}
	}
	for _, m := range p.members {
		if !m.usable() {
			continue
		}
		usual := p.medianLatencyExcept(m)
		if usual == 0 {
			continue
		}
		switch {
		case p.config.LatencyFactor > 0 && m.samples >= minSamples && m.meanLatency > p.config.LatencyFactor*usual:
			p.eject(now, m, HighLatency)
		case p.config.ConsecutiveFailures > 0 && m.inFlight > 1 && now-m.silentSince > math.Max(minSilence, silenceFactor*math.Max(usual, m.meanLatency)):
			p.eject(now, m, Unresponsive)
		}
	}
}

// eject takes a member out of use, unless too few would be left.
func (p *Pool) eject(now float64, m *member, why EjectionReason) {
	if p.fleetAdmits != nil {
		return
	}
	in, all := 0, 0
	for _, o := range p.members {
		if !o.removed {
			all++
			if o.ejection == NotEjected && !o.draining {
				in++
			}
		}
	}
	share := p.config.MinHealthyShare
	if why == HighLatency || why == Unresponsive {
		share = math.Max(share, minInUseForWeakEvidence)
	}
	if float64(in-1) < share*float64(all) {
		return
	}
	if now-m.returnedAt > ejectionResetFactor*m.ejectionDuration { // it had been sound for a while
		m.ejectionDuration = 0
	}
	m.ejectionDuration = math.Min(maxEjectionFactor*p.config.BaseEjection, math.Max(p.config.BaseEjection, 2*m.ejectionDuration))
	m.ejection, m.ejectedUntil, m.passedHealthCheck, m.nextHealthCheck = why, now+m.ejectionDuration, false, now+m.ejectionDuration
	p.events = append(p.events, Event{m.addr, why, m.ejectionDuration})
}

// refill takes ejected members back, the one first that would return first, where members that went have left too few.
func (p *Pool) restoreMinHealthy(now float64) {
	if p.fleetAdmits != nil {
		return
	}
	for {
		var first *member
		in, all := 0, 0
		for _, m := range p.members {
			switch {
			case m.removed:
				continue
			case m.draining:
			case m.ejection == NotEjected:
				in++
			case first == nil || m.ejectedUntil < first.ejectedUntil:
				first = m
			}
			all++
		}
		if first == nil || float64(in) >= p.config.MinHealthyShare*float64(all) {
			return
		}
		p.restore(now, first)
	}
}

// restore takes an ejected member back. What it has done before is no longer held against it.
func (p *Pool) restore(now float64, m *member) {
	m.ejection, m.returnedAt, m.failuresInARow, m.samples, m.silentSince = NotEjected, now, 0, 0, now
	m.roundingDraw = p.random.Float64()
	p.events = append(p.events, Event{Addr: m.addr})
}

// Soonest is the ms until an ejected member may return, 0 if none is ejected: what to tell one that found no room.
func (p *Pool) UntilNextReturn(now float64) float64 {
	least := math.Inf(1)
	for _, m := range p.members {
		if !m.removed && m.ejection != NotEjected {
			least = math.Min(least, m.ejectedUntil-now)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return math.Max(0, least)
}
