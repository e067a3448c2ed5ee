package pool

import (
	"math"
	"slices"
)

// Place is the outcome of Ask: a member granted at once, a place in the wait queue, or neither.
type Placement int

const (
	Granted    Placement = iota // a member was granted
	Queued                      // End or Look will grant it, or Expire or Cancel end the wait
	NoCapacity                  // no room, in the pool and in its line
)

// Ask asks for a place for an RPC. id is the caller's name for it in the line. Members in avoid, which have failed it,
// are chosen only if there is no other that could ever do. caller is a hash of whose RPC it is.
func (p *Pool) Acquire(now float64, id uint64, avoid []int, caller uint64) (member int, got Placement) {
	p.updateEjections(now)
	if len(p.queue) == 0 { // who waits goes first
		if m := p.choose(now, avoid, caller); m != nil {
			p.assign(now, m)
			return m.id, Granted
		}
	}
	if len(p.queue) >= p.config.MaxQueued {
		return 0, NoCapacity
	}
	p.queue = append(p.queue, queuedRequest{id, now + p.config.QueueTimeout, avoid, caller})
	return 0, Queued
}

// Probe is a place at a member that is out, for one RPC that tells how it is.
func (p *Pool) AcquireEjected(now float64, addr string) (member int, got bool) {
	for _, m := range p.members {
		if m.addr == addr && !m.removed && m.ejection != NotEjected && !m.draining && m.inFlight < p.config.MaxConnections {
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

// part is how much of its full load a member may have: all, but for one that has just returned.
func (p *Pool) loadShare(now float64, m *member) float64 {
	if p.config.SlowStart <= 0 || p.fleetAdmits != nil { // judged: it is full for those callers that it takes
		return 1
	}
	return math.Min(1, math.Max(initialLoadShare, (now-m.returnedAt)/p.config.SlowStart))
}

// open tells whether a member gets RPCs of a caller.
func (p *Pool) admits(m *member, caller uint64) bool {
	return m.usable() && (p.fleetAdmits == nil || p.fleetAdmits(m.addr, caller, m.callerShare))
}

func (p *Pool) hasCapacity(now float64, m *member, caller uint64) bool {
	return p.admits(m, caller) && m.inFlight < p.connectionLimit(now, m)
}

// places is how many RPCs a member may have in flight from here. What is not whole is rounded by chance, the same for the
// whole return: a member hears from all servers of a fleet, and were each to round up, the sum would be many times the part that it is
// to have while each is to send less than one. The mean over the servers is that part, without any contact between them.
func (p *Pool) connectionLimit(now float64, m *member) int {
	return min(p.config.MaxConnections, int(float64(p.config.MaxConnections)*p.loadShare(now, m)+m.roundingDraw))
}

// choose takes the better of two members drawn by chance, each by its part.
func (p *Pool) choose(now float64, avoid []int, caller uint64) *member {
	free := make([]*member, 0, 16)
	for _, m := range p.members {
		if p.hasCapacity(now, m, caller) && !slices.Contains(avoid, m.id) {
			free = append(free, m)
		}
	}
	if len(free) == 0 && len(avoid) > 0 && !slices.ContainsFunc(p.members, func(m *member) bool {
		return p.admits(m, caller) && !slices.Contains(avoid, m.id)
	}) { // all that are left have failed it
		return p.choose(now, nil, caller)
	}
	if len(free) == 0 {
		return nil
	}
	if p.config.RoundRobin {
		p.roundRobinIndex++
		return free[p.roundRobinIndex%len(free)]
	}
	a, b := p.drawWeighted(now, free), p.drawWeighted(now, free)
	if p.expectedWait(now, b) < p.expectedWait(now, a) {
		return b
	}
	return a
}

// draw takes one by chance, each by its part.
func (p *Pool) drawWeighted(now float64, free []*member) *member {
	sum := 0.0
	for _, m := range free {
		sum += p.loadShare(now, m)
	}
	x := p.random.Float64() * sum
	for _, m := range free {
		if x -= p.loadShare(now, m); x < 0 {
			return m
		}
	}
	return free[len(free)-1]
}

// load is the expected time at a member: RPCs in flight, this one included, by their latency of late, and by the
// part that a returning one may have.
func (p *Pool) expectedWait(now float64, m *member) float64 {
	latency := m.meanLatency
	if m.samples < minSamples {
		latency = math.Max(latency, p.medianLatencyExcept(m))
	}
	return float64(m.inFlight+1) * math.Max(1, latency) / p.loadShare(now, m)
}

// How is the outcome of a request at a member, as End records it.
type Outcome int

const (
	Succeeded Outcome = iota // a response that counts as success; its latency is recorded
	Failed                   // an answer that says so, a broken connection, none in time
	Canceled                 // its caller gave up: nothing is said of the member
)

// Grant is a member granted to a queued request: ID is the caller's name of the request, Member the member's id.
type Grant struct {
	ID     uint64
	Member int
}

// End books the end of an RPC at a member after latency ms, and grants what room there is to those that wait.
func (p *Pool) Complete(now float64, member int, how Outcome, latency float64) []Grant {
	m := p.member(member)
	if m == nil || m.inFlight == 0 {
		return nil
	}
	m.inFlight--
	switch how {
	case Succeeded:
		m.failuresInARow, m.silentSince = 0, now
		if m.samples == 0 {
			m.meanLatency = latency
		} else { // a rise counts at once in part, so that a member that turns slow is left to itself soon
			m.meanLatency += latencyWeight * (latency - m.meanLatency)
		}
		m.samples++
	case Failed: // its latency says nothing: one that fails fast must not look quick
		m.failuresInARow++
		m.silentSince = now
		if m.ejection == NotEjected && p.config.ConsecutiveFailures > 0 && m.failuresInARow >= p.config.ConsecutiveFailures {
			p.eject(now, m, FailuresInARow)
		}
	}
	if m.inFlight == 0 {
		m.silentSince = now
	}
	p.removeIdleDeleted()
	return p.Update(now)
}
