package pool

import (
	"math"
	"slices"
)

// Placement is the result of Acquire.
type Placement int

// The placements.
const (
	// Granted: a member was assigned at once.
	Granted Placement = iota
	// Queued: Complete or Update will grant a member, or ExpireQueued or CancelQueued ends the wait.
	Queued
	// NoCapacity: neither a member nor the queue has capacity.
	NoCapacity
)

// Acquire requests a member for a request. id identifies the request while it is queued. Members in avoid, at which the
// request has failed before, are chosen only if no other member could ever serve it. caller is a hash of the request's
// caller.
func (p *Pool) Acquire(now float64, id uint64, avoid []int, caller uint64) (member int, placement Placement) {
	p.updateEjections(now)
	if len(p.queue) == 0 { // queued requests take precedence
		if m := p.choose(now, avoid, caller); m != nil {
			p.assign(now, m)
			return m.id, Granted
		}
	}
	if len(p.queue) >= p.config.MaxQueued {
		return 0, NoCapacity
	}
	p.queue = append(p.queue, queuedRequest{
		id:       id,
		deadline: now + p.config.QueueTimeout,
		avoid:    avoid,
		caller:   caller,
	})
	return 0, Queued
}

// AcquireEjected assigns a request to the ejected member at addr, as a trial of its health. It returns false if the
// member is not ejected, is draining or has no spare connection.
func (p *Pool) AcquireEjected(now float64, addr string) (member int, granted bool) {
	for _, m := range p.members {
		onTrial := m.addr == addr && !m.removed && m.ejection != NotEjected && !m.draining
		if onTrial && m.inFlight < p.config.MaxConnections {
			p.assign(now, m)
			return m.id, true
		}
	}
	return 0, false
}

func (p *Pool) assign(now float64, m *member) {
	if m.inFlight == 0 {
		m.silentSince = now
	}
	m.inFlight++
	m.requests++
}

// loadShare returns the fraction of its connection limit that a member may use, which is 1 except during slow start.
func (p *Pool) loadShare(now float64, m *member) float64 {
	if p.config.SlowStart <= 0 || p.fleetAdmits != nil { // the fleet limits the callers of a returning member instead
		return 1
	}
	return math.Min(1, math.Max(initialLoadShare, (now-m.returnedAt)/p.config.SlowStart))
}

// admits reports whether a member may receive requests from a caller.
func (p *Pool) admits(m *member, caller uint64) bool {
	return m.usable() && (p.fleetAdmits == nil || p.fleetAdmits(m.addr, caller, m.callerShare))
}

func (p *Pool) hasCapacity(now float64, m *member, caller uint64) bool {
	return p.admits(m, caller) && m.inFlight < p.connectionLimit(now, m)
}

// connectionLimit returns how many requests a member may have in flight from this server. During slow start the limit
// may be fractional; one random draw per slow start decides whether it is rounded up or down. A member gets requests
// from all servers of a fleet: if the limit of each were less than one and all rounded it up, their sum would
// be many times the member's share. With the draw, the mean over the servers equals that share without any
// communication between them.
func (p *Pool) connectionLimit(now float64, m *member) int {
	share := float64(p.config.MaxConnections) * p.loadShare(now, m)
	return min(p.config.MaxConnections, int(share+m.roundingDraw))
}

// choose returns the better of two members drawn at random, weighted by load share, or nil if no member has capacity.
func (p *Pool) choose(now float64, avoid []int, caller uint64) *member {
	candidates := make([]*member, 0, 16)
	for _, m := range p.members {
		if p.hasCapacity(now, m, caller) && !slices.Contains(avoid, m.id) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		if len(avoid) > 0 && !p.anyAdmits(avoid, caller) { // the request has failed at all other members
			return p.choose(now, nil, caller)
		}
		return nil
	}
	if p.config.RoundRobin {
		p.roundRobinIndex++
		return candidates[p.roundRobinIndex%len(candidates)]
	}
	first := p.drawWeighted(now, candidates)
	second := p.drawWeighted(now, candidates)
	if p.expectedWait(now, second) < p.expectedWait(now, first) {
		return second
	}
	return first
}

// anyAdmits reports whether any member outside avoid accepts the caller's requests, now or once it has capacity.
func (p *Pool) anyAdmits(avoid []int, caller uint64) bool {
	return slices.ContainsFunc(p.members, func(m *member) bool {
		return p.admits(m, caller) && !slices.Contains(avoid, m.id)
	})
}

// drawWeighted draws one candidate at random, weighted by load share.
func (p *Pool) drawWeighted(now float64, candidates []*member) *member {
	total := 0.0
	for _, m := range candidates {
		total += p.loadShare(now, m)
	}
	remaining := p.random.Float64() * total
	for _, m := range candidates {
		if remaining -= p.loadShare(now, m); remaining < 0 {
			return m
		}
	}
	return candidates[len(candidates)-1]
}

// expectedWait estimates how long one more request would take at a member: the requests in flight, including this one,
// times the recent latency in ms, divided by the member's load share.
func (p *Pool) expectedWait(now float64, m *member) float64 {
	latency := m.meanLatency
	if m.samples < minSamples {
		latency = math.Max(latency, p.medianLatencyExcept(m))
	}
	return float64(m.inFlight+1) * math.Max(1, latency) / p.loadShare(now, m)
}

// Outcome is how a request at a member ended.
type Outcome int

// The outcomes.
const (
	// Succeeded: the response counts as a success, and its latency is recorded.
	Succeeded Outcome = iota
	// Failed: an error response, a broken connection, or no response in time.
	Failed
	// Canceled: the caller gave up, which says nothing about the member.
	Canceled
)

// Grant is a member granted to a queued request.
type Grant struct {
	ID     uint64 // id of the request, as passed to Acquire
	Member int
}

// Complete records the end of a request at a member after latency ms, and grants the freed capacity to queued requests.
func (p *Pool) Complete(now float64, member int, outcome Outcome, latency float64) []Grant {
	m := p.member(member)
	if m == nil || m.inFlight == 0 {
		return nil
	}
	m.inFlight--
	switch outcome {
	case Succeeded:
		m.recordSuccess(now, latency)
	case Failed: // its latency is not recorded: a member that fails quickly must not look fast
		m.failuresInARow++
		m.silentSince = now
		if m.ejection == NotEjected && p.config.ConsecutiveFailures > 0 && m.failuresInARow >= p.config.ConsecutiveFailures {
			p.eject(now, m, FailuresInARow)
		}
	}
	if m.inFlight == 0 {
		m.silentSince = now
	}
	p.deleteRemoved()
	return p.Update(now)
}

func (m *member) recordSuccess(now, latency float64) {
	m.failuresInARow = 0
	m.silentSince = now
	if m.samples == 0 {
		m.meanLatency = latency
	} else { // each response counts at once, so that a member that becomes slow soon gets less traffic
		m.meanLatency += latencyWeight * (latency - m.meanLatency)
	}
	m.samples++
}
