// Package pool implements load balancing over the members (endpoints) of one backend pool.
//
// Members are picked by power of two choices, weighing requests in flight by recent latency, among the members that
// are not ejected and have spare connection capacity. Outlier detection ejects members after consecutive failures,
// failed health checks, a latency far above the pool's median, or requests in flight with no response; ejection never
// drops the pool below a minimum share of healthy members, and its duration doubles on repeated ejection. Returning
// members go through slow start. Requests that find no capacity wait in a bounded queue with a timeout. A pool may
// instead follow outlier verdicts made by the fleet.
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

// Rules are the operator settings of a pool. Durations are in ms; a zero Failures, Outlier or Check disables that
// kind of ejection.
type Config struct {
	MaxConnections      int     // at each member
	MaxQueued           int     // RPCs that may wait for one, over the pool
	QueueTimeout        float64 // and for how long
	ConsecutiveFailures int     // in a row until a member is ejected
	LatencyFactor       float64 // times the others' latency until it is
	MinHealthyShare     float64 // of the members that stay in use, whatever they do
	BaseEjection        float64 // for how long at first; doubled each time that it is ejected again soon
	SlowStart           float64 // over which a member comes back to its full part
	HealthCheckInterval float64 // between two active checks; 0 for none
	RoundRobin          bool    // in turn, without regard to load: what the rest is measured against
}

const (
	// longestEject is in times of the first ejection: a member that has recovered must not be missed for longer, and
	// what asking a bad one costs is bounded by its first part of places.
	maxEjectionFactor = 2.0
	minSamples        = 8    // answers until a latency tells anything
	latencyWeight     = 0.2  // of an answer in the mean: about five, a second or less of one member's traffic
	initialLoadShare  = 0.1  // of its places, for a member that returns
	minSilence        = 50.0 // ms without any answer, below which nobody is called silent
	// silent times the usual latency, or its own if that is longer, without any answer, while work is in hand: with several RPCs in flight the
	// chance that a sound member shows none for so long is small.
	silenceFactor = 10.0
	// softShare of the members stay in use whatever their latency or silence suggests: these also show in sound members
	// under more load than they bear, and each one that goes leaves more of it to the next.
	minInUseForWeakEvidence = 0.75
	ejectionResetFactor     = 4.0 // times its last ejection without another, and the next one is a first again
)

type member struct {
	id                  int
	addr                string
	inFlight            int
	meanLatency         float64        // mean of answers of late, 0 for none yet
	samples             int            // since it was last ejected
	failuresInARow      int            // in a row
	silentSince         float64        // since when no answer has come, with work in hand
	ejection            EjectionReason // Sound while in use
	ejectedUntil        float64        // ejected until then
	ejectionDuration    float64        // of its last ejection
	returnedAt          float64        // when it returned; long ago for one that never left
	roundingDraw        float64        // from 0 to 1, new with each return
	passedHealthCheck   bool           // the check after its ejection
	nextHealthCheck     float64
	healthCheckInFlight bool
	removed             bool // no longer in the settings; forgotten once nothing is in flight
	requests            uint64
	callerShare         float64 // judged: of the callers that it gets RPCs of
	draining            bool    // to be left alone, by an operator's drain
}

// Pool is the balancing and ejection state of one backend pool. Create it with New; it is not safe for concurrent use.
type Pool struct {
	config          Config
	random          *rand.Rand
	members         []*member
	nextID          int
	roundRobinIndex int
	queue           []queuedRequest
	events          []Event
	fleetAdmits     func(member string, caller uint64, share float64) bool // nil: this server judges for itself
}

// New returns a pool of the members at these addresses.
func New(r Config, addrs []string, seed uint64, now float64) *Pool {
	p := &Pool{random: rand.New(rand.NewSource(int64(seed)))}
	p.Set(now, r, addrs)
	for _, m := range p.members {
		m.returnedAt = math.Inf(-1) // at the start there is nobody to carry the rest
	}
	return p
}

// Set takes new rules and members. A member whose address stays keeps all that is known of it and what is in flight;
// one that goes takes nothing new, and one that comes begins as one that returns.
func (p *Pool) Set(now float64, r Config, addrs []string) {
	p.config = r
	for _, m := range p.members {
		m.removed = !slices.Contains(addrs, m.addr)
	}
	for _, addr := range addrs {
		if !slices.ContainsFunc(p.members, func(m *member) bool { return m.addr == addr }) {
			p.members = append(p.members, &member{id: p.nextID, addr: addr, returnedAt: now, nextHealthCheck: now, passedHealthCheck: true})
			p.nextID++
		}
	}
	p.removeIdleDeleted()
	p.restoreMinHealthy(now)
}

func (p *Pool) removeIdleDeleted() {
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

// Addr is the address of a member that has been handed out and not yet ended.
func (p *Pool) Addr(id int) string {
	if m := p.member(id); m != nil {
		return m.addr
	}
	return ""
}

// usable tells whether a member may get anything new.
func (m *member) usable() bool { return !m.removed && m.ejection == NotEjected && !m.draining }

// usual is the median latency of the other members that are in use, 0 if that is not known.
func (p *Pool) medianLatencyExcept(but *member) float64 {
	var all []float64
	for _, m := range p.members {
		if m != but && m.usable() && m.samples >= minSamples {
			all = append(all, m.meanLatency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// middle is the median latency of the other members in use that have answered at all; a member's own if there are none. With little
// traffic for each few have answered often enough to tell what is usual.
func (p *Pool) medianOfAnswering(m *member) float64 {
	var all []float64
	for _, o := range p.members {
		if o != m && o.usable() && o.meanLatency > 0 {
			all = append(all, o.meanLatency)
		}
	}
	if len(all) == 0 {
		return m.meanLatency
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// Usual is the expected latency of an RPC here, in ms; 0 if it is not known yet.
func (p *Pool) MedianLatency() float64 { return p.medianLatencyExcept(nil) }

// Events returns what happened to members since the last call.
func (p *Pool) Events() []Event {
	e := p.events
	p.events = nil
	return e
}

// State is a snapshot of one member for status pages and metrics.
type MemberState struct {
	Addr      string
	Ejection  EjectionReason
	InFlight  int
	Latency   float64 // ms
	LoadShare float64 // slow-start fraction of its full connection limit, from 0.1 to 1
	Requests  uint64
}

// States returns how the members stand, in their order.
func (p *Pool) MemberStates(now float64) (all []MemberState) {
	for _, m := range p.members {
		if !m.removed {
			why := m.ejection
			if m.draining {
				why = Draining
			}
			all = append(all, MemberState{m.addr, why, m.inFlight, m.meanLatency, p.loadShare(now, m), m.requests})
		}
	}
	return all
}
