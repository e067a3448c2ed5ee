// Package pool implements load balancing over the members (endpoints) of one backend pool.
//
// Members are picked by power of two choices (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing"),
// weighing requests in flight by recent latency, among the members that are not ejected and have spare connection
// capacity. Outlier detection ejects members after consecutive failures, failed health checks, a latency far above the
// pool's median, or requests in flight with no response; ejection never drops the pool below a minimum share of healthy
// members, and its duration doubles on repeated ejection. Returning members go through slow start. Requests that find
// no capacity wait in a bounded queue with a timeout. A pool may instead follow ejection decisions made by the fleet.
//
// The package is pure: no I/O, no clock (times are passed in as ms), no goroutines, and randomness comes from a seed.
// A Pool is not safe for concurrent use; its owner must serialise calls. It never admits more requests to a member
// than the member's connection limit.
package pool

import (
	"math"
	"math/rand"
	"slices"
)

// Pool is the balancing and ejection state of one backend pool. Create it with New; it is not safe for concurrent use.
type Pool struct {
	config          Config
	random          *rand.Rand
	members         []*member
	nextID          int
	roundRobinIndex int
	queue           []queuedRequest
	events          []Event

	// fleetAdmits reports whether a member accepts a caller's requests, given its CallerShare. It is set while the pool
	// follows the fleet's decisions, and nil while this server detects outliers by itself.
	fleetAdmits func(member string, caller uint64, share float64) bool
}

// New returns a pool of the members at addrs, all of them in use without slow start. Equal seeds give equal choices.
func New(config Config, addrs []string, seed uint64, now float64) *Pool {
	p := &Pool{random: rand.New(rand.NewSource(int64(seed)))}
	p.Set(now, config, addrs)
	for _, m := range p.members {
		m.returnedAt = math.Inf(-1) // no slow start: no other members could take the rest of the load
	}
	return p
}

// Set replaces the configuration and the members. A member whose address is still listed keeps its state and its
// requests in flight, a removed member gets no new requests, and an added member goes through slow start.
func (p *Pool) Set(now float64, config Config, addrs []string) {
	p.config = config
	for _, m := range p.members {
		m.removed = !slices.Contains(addrs, m.addr)
	}
	for _, addr := range addrs {
		known := slices.ContainsFunc(p.members, func(m *member) bool { return m.addr == addr })
		if known {
			continue
		}
		p.members = append(p.members, &member{
			id:                p.nextID,
			addr:              addr,
			returnedAt:        now,
			nextHealthCheck:   now,
			passedHealthCheck: true,
		})
		p.nextID++
	}
	p.deleteRemoved()
	p.restoreMinHealthy(now)
}

// deleteRemoved deletes the removed members that have no requests in flight.
func (p *Pool) deleteRemoved() {
	p.members = slices.DeleteFunc(p.members, func(m *member) bool { return m.removed && m.inFlight == 0 })
}

func (p *Pool) member(id int) *member {
	for _, m := range p.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// Addr returns the address of a member, or "" if the member is not known. A removed member is known until its last
// request is complete.
func (p *Pool) Addr(id int) string {
	if m := p.member(id); m != nil {
		return m.addr
	}
	return ""
}

// MedianLatency returns the expected latency in ms of a request to the pool, which is the median over the members in use,
// or 0 until there have been enough responses.
func (p *Pool) MedianLatency() float64 { return p.medianLatencyExcept(nil) }

// medianLatencyExcept returns the median latency of the members in use other than excluded, or 0 if it is not known.
func (p *Pool) medianLatencyExcept(excluded *member) float64 {
	var latencies []float64
	for _, m := range p.members {
		if m != excluded && m.usable() && m.samples >= minSamples {
			latencies = append(latencies, m.meanLatency)
		}
	}
	return median(latencies)
}

// medianOfResponding returns the median latency of the other members in use that have responded at least once, or m's
// own latency if there are none. If each member gets little traffic, few have enough samples for medianLatencyExcept.
func (p *Pool) medianOfResponding(m *member) float64 {
	var latencies []float64
	for _, other := range p.members {
		if other != m && other.usable() && other.meanLatency > 0 {
			latencies = append(latencies, other.meanLatency)
		}
	}
	if len(latencies) == 0 {
		return m.meanLatency
	}
	return median(latencies)
}

// median sorts values and returns their upper median, or 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Events returns the ejections and returns of members since the last call, in the order in which they happened.
func (p *Pool) Events() []Event {
	events := p.events
	p.events = nil
	return events
}
