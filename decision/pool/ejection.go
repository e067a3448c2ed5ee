package pool

import "math"

// EjectionReason is the reason why a member gets no new requests. NotEjected means that the member is in use.
type EjectionReason int

// The reasons.
const (
	// NotEjected: the member is in use.
	NotEjected EjectionReason = iota
	// FailuresInARow: consecutive requests failed.
	FailuresInARow
	// HighLatency: the member's latency is far above the other members' median.
	HighLatency
	// Unresponsive: the member has requests in flight and has sent no response for a long time.
	Unresponsive
	// HealthCheckFailed: consecutive active health checks failed.
	HealthCheckFailed
	// EjectedByFleet: the fleet decided to eject the member; see UseFleetDecisions.
	EjectedByFleet
	// Draining: an operator is draining the member; see SetDraining.
	Draining
)

// String returns the reason as logs and status pages print it; out-of-range values print as the nearest reason.
func (r EjectionReason) String() string {
	names := [...]string{"sound", "failing", "slow", "silent", "checked", "judged by the fleet", "drained"}
	return names[min(max(r, 0), Draining)]
}

// Event is an ejection or a return of a member, for logs and counters.
type Event struct {
	Addr     string
	Reason   EjectionReason // NotEjected if the member returned
	Duration float64        // of the ejection in ms; 0 for a return, a drain or an ejection by the fleet
}

// updateEjections ends the ejections that are over and ejects members that are slow or unresponsive now.
func (p *Pool) updateEjections(now float64) {
	if p.fleetAdmits != nil {
		return
	}
	for _, m := range p.members {
		checked := p.config.HealthCheckInterval == 0 || m.passedHealthCheck
		if m.ejection != NotEjected && now >= m.ejectedUntil && checked {
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
		case p.isSlow(m, usual):
			p.eject(now, m, HighLatency)
		case p.isUnresponsive(now, m, usual):
			p.eject(now, m, Unresponsive)
		}
	}
}

// isSlow reports whether a member's mean latency is too far above the usual latency of the others.
func (p *Pool) isSlow(m *member, usual float64) bool {
	return p.config.LatencyFactor > 0 && m.samples >= minSamples && m.meanLatency > p.config.LatencyFactor*usual
}

// isUnresponsive reports whether a member has sent no response for too long. It requires at least two requests in
// flight, because a single request may simply take long.
func (p *Pool) isUnresponsive(now float64, m *member, usual float64) bool {
	if p.config.ConsecutiveFailures <= 0 || m.inFlight <= 1 {
		return false
	}
	limit := math.Max(minSilence, silenceFactor*math.Max(usual, m.meanLatency))
	return now-m.silentSince > limit
}

// eject takes a member out of use unless that would leave too few members in use.
func (p *Pool) eject(now float64, m *member, reason EjectionReason) {
	if p.fleetAdmits != nil {
		return
	}
	inUse, configured := 0, 0
	for _, other := range p.members {
		if other.removed {
			continue
		}
		configured++
		if other.usable() {
			inUse++
		}
	}
	minShare := p.config.MinHealthyShare
	if reason == HighLatency || reason == Unresponsive {
		minShare = math.Max(minShare, minInUseForWeakEvidence)
	}
	if float64(inUse-1) < minShare*float64(configured) {
		return
	}
	if now-m.returnedAt > ejectionResetFactor*m.ejectionDuration { // the member had been healthy for a while
		m.ejectionDuration = 0
	}
	maxDuration := maxEjectionFactor * p.config.BaseEjection
	m.ejectionDuration = math.Min(maxDuration, math.Max(p.config.BaseEjection, 2*m.ejectionDuration))
	m.ejection = reason
	m.ejectedUntil = now + m.ejectionDuration
	m.passedHealthCheck = false
	m.nextHealthCheck = m.ejectedUntil
	p.events = append(p.events, Event{Addr: m.addr, Reason: reason, Duration: m.ejectionDuration})
}

// restoreMinHealthy returns ejected members to use while fewer than the minimum share are in use, which may happen
// after members were removed or drained. The member whose ejection ends first returns first.
func (p *Pool) restoreMinHealthy(now float64) {
	if p.fleetAdmits != nil {
		return
	}
	for {
		var next *member
		inUse, configured := 0, 0
		for _, m := range p.members {
			if m.removed {
				continue
			}
			configured++
			switch {
			case m.draining:
			case m.ejection == NotEjected:
				inUse++
			case next == nil || m.ejectedUntil < next.ejectedUntil:
				next = m
			}
		}
		if next == nil || float64(inUse) >= p.config.MinHealthyShare*float64(configured) {
			return
		}
		p.restore(now, next)
	}
}

// restore returns a member to use in slow start. It clears the member's failures in a row and its latency samples.
func (p *Pool) restore(now float64, m *member) {
	m.ejection = NotEjected
	m.returnedAt = now
	m.failuresInARow = 0
	m.samples = 0
	m.silentSince = now
	m.roundingDraw = p.random.Float64()
	p.events = append(p.events, Event{Addr: m.addr})
}

// UntilNextReturn returns the time in ms until the next ejected member may return, or 0 if none is ejected. It serves as
// the Retry-After of a request that found no capacity.
func (p *Pool) UntilNextReturn(now float64) float64 {
	soonest := math.Inf(1)
	for _, m := range p.members {
		if !m.removed && m.ejection != NotEjected {
			soonest = math.Min(soonest, m.ejectedUntil-now)
		}
	}
	if math.IsInf(soonest, 1) {
		return 0
	}
	return math.Max(0, soonest)
}
