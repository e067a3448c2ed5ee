// Package quota divides a fleet-wide limit among the servers of a fleet, as leases of capacity in the manner of Doorman.
//
// A limit is either a rate with a burst or a number of items in flight. Each server owns an equal share of it, always keeps
// a floor of that share regardless of its peers' requests, and grants leases on the rest to peers for a bounded time. A
// holder uses leased capacity only while the grantor cannot yet have taken it back. The sum over the fleet therefore stays
// within the limit by construction, even if servers are partitioned, crash or stall, as long as no more servers run than
// configured and clocks drift by no more than configured. A server never uses capacity unless it can prove that it holds
// that capacity at that moment.
//
// An Allocation is one server's part of one limit; a Ledger holds the allocations of many limits. All times are
// milliseconds as float64.
//
// The package is pure: it does no I/O, reads no clock (callers pass times), starts no goroutine and draws randomness
// only from a seeded source. An instance is not safe for concurrent use; its owner must serialise calls.
//
// Leases and their terms follow Doorman (https://github.com/youtube/doorman). In Doorman one elected server grants all
// leases; here each server grants leases on the capacity that it owns.
package quota

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Kind is the quantity that a limit bounds.
type Kind int

// The values of Kind. Fleet status prints them as numbers.
const (
	Rate        Kind = iota // items per second, plus a burst
	Concurrency             // items in flight
)

// Limit is one fleet-wide limit as configured by the operator, identical on all servers except for OwnedCapacity. Times are
// in ms.
type Limit struct {
	Kind             Kind
	Capacity         float64 // of the whole fleet: items per second, or in flight
	Burst            float64 // of the whole fleet: items beyond the rate
	Servers          int     // maximum number of servers that run at the same time
	Floor            float64 // part of each server's capacity that is never leased to peers
	MaxLeaseDuration float64
	ClockDrift       float64 // maximum error of the rate of a server's clock, as a fraction
	OwnedCapacity    float64 // owned by this server; 0 for an equal share. The sum over all servers must not exceed Capacity
}

// Defaults for values that the operator does not set.
const (
	// DefaultLeaseDuration (ms) is long enough that renewals need few messages, and short enough that the grantor soon
	// regains the capacity of a holder that crashed.
	DefaultLeaseDuration = 4000.0
	// DefaultClockDrift is larger than the drift of the clocks of real machines.
	DefaultClockDrift = 1e-3
)

// Usable reports whether each server's share of the burst of a rate is at least one item. With less, the token bucket never
// holds a whole item and admits nothing. A limit of kind Concurrency has no burst and is always usable.
func (l Limit) Usable() bool { return l.Kind == Concurrency || l.Burst >= float64(max(1, l.Servers)) }

// serverCount returns Servers, but at least 1.
func (l *Limit) serverCount() float64 { return float64(max(1, l.Servers)) }

const (
	averagingTime     = 500.0 // ms, time constant of the moving averages of usage and unmet demand
	maxMissedArrivals = 15.0  // expected arrivals missed until demand counts as ceased; happens by chance once in 3 million
	headroom          = 1.25  // factor of this server's usage that is kept before capacity is granted to peers
	minRefillRate     = 1e-3  // items per second, lower bound of the capacity that RetryAfter assumes
)

// Allocation is one server's part of one limit: owned capacity, less leases granted to peers, plus leases from peers.
type Allocation struct {
	limit       Limit
	incarnation uint64
	owned       float64

	granted    []lease // to peers
	leased     []lease // from peers
	grantedSum float64
	leasedSum  float64
	nextExpiry float64 // of any lease
	negotiation

	tokens   float64 // Rate: content of the token bucket
	filledAt float64
	inFlight float64 // Concurrency

	// Moving averages, items per second. For Concurrency, only the unmet demand is used.
	usage       float64
	unmet       float64 // rejected items
	unmetWeight float64 // highest priority weight of recent rejections
	averagedAt  float64
	lastArrival float64
	arrivalRate float64 // items per second at lastArrival

	// Counts are totals since the start of the process.
	Counts Counts
}

// New returns the allocation of a server. The incarnation is a random number drawn at the start of the process. Capacity that
// a former incarnation may have granted counts as granted until any such lease must have expired, so at first the server
// has only its floor.
func New(limit Limit, incarnation uint64, seed int64, now float64) *Allocation {
	a := newAllocation(limit, incarnation, new(uint64), now)
	a.rng = rand.New(rand.NewPCG(uint64(seed), 1))
	a.reserveFormerGrants(now)
	return a
}

// newAllocation returns an allocation without leases. lastRequestID is shared by all allocations of an incarnation, so that an
// allocation that was evicted and created again does not reuse request IDs.
func newAllocation(limit Limit, incarnation uint64, lastRequestID *uint64, now float64) *Allocation {
	a := &Allocation{incarnation: incarnation, filledAt: now, averagedAt: now}
	a.lastRequestID = lastRequestID
	a.setLimit(limit)
	a.sumLeases()
	return a
}

func (a *Allocation) setLimit(limit Limit) {
	a.limit = limit
	if a.owned = limit.OwnedCapacity; a.owned == 0 {
		a.owned = limit.Capacity / limit.serverCount()
	}
}

// Update applies a changed limit while leases exist. Existing leases stay granted until they end, whatever the new owned
// capacity is. The fleet keeps within the larger of the two limits until the last server has the new limit and the maximum
// lease duration has passed after that.
func (a *Allocation) Update(now float64, limit Limit) {
	a.advance(now)
	a.setLimit(limit)
	a.trimBucket()
}

// Invalidate drops all leased capacity, because after a stall the server cannot be sure that its clock has seen the leases
// expire. Granted leases count as granted for a full duration from now.
func (a *Allocation) Invalidate(now float64) {
	a.advance(now)
	a.leased = a.leased[:0]
	a.pending = a.pending[:0]
	for i := range a.granted {
		a.granted[i].expires = a.grantExpiry(now)
	}
	a.sumLeases()
	a.trimBucket()
}

// advance updates leases, the token bucket and the averages to the time now.
func (a *Allocation) advance(now float64) {
	// Fill the bucket at the capacity of each interval: from its expiry on, a lease no longer contributes.
	for a.nextExpiry <= now {
		at := math.Max(a.filledAt, a.nextExpiry)
		a.fill(at)
		expired := func(l lease) bool { return l.expires <= at }
		a.leased = slices.DeleteFunc(a.leased, expired)
		a.granted = slices.DeleteFunc(a.granted, expired)
		a.sumLeases()
		a.trimBucket()
	}
	a.fill(now)
	if dt := now - a.averagedAt; dt > 0 {
		decay := math.Exp(-dt / averagingTime)
		a.usage *= decay
		a.unmet *= decay
		a.unmetWeight *= decay
		a.averagedAt = now
		if (now-a.lastArrival)*a.arrivalRate > maxMissedArrivals*1000 {
			a.usage = 0
			a.unmet = 0
			a.arrivalRate = 0
		}
	}
}

// capacity returns the capacity that may be used now: owned, less granted, plus leased.
func (a *Allocation) capacity() float64 { return math.Max(0, a.owned-a.grantedSum+a.leasedSum) }

// capacityAt returns the capacity at the time now without changing the allocation.
func (a *Allocation) capacityAt(now float64) float64 {
	sum := a.owned
	for i := range a.granted {
		if l := &a.granted[i]; l.expires > now {
			sum -= l.amount
		}
	}
	for i := range a.leased {
		if l := &a.leased[i]; l.expires > now {
			sum += l.amount
		}
	}
	return math.Max(0, sum)
}

// burst returns the size of the token bucket: one item, which never moves between servers, plus a share of the remaining burst
// in proportion to the capacity. Summed over the fleet, that is the whole burst.
func (a *Allocation) burst() float64 {
	if a.limit.Capacity <= 0 || a.limit.Kind != Rate {
		return 0
	}
	servers := a.limit.serverCount()
	fixed := math.Min(1, a.limit.Burst/servers)
	return fixed + (a.limit.Burst-fixed*servers)*math.Min(1, a.capacity()/a.limit.Capacity)
}

func (a *Allocation) fill(now float64) {
	if a.limit.Kind == Rate && now > a.filledAt {
		// A clock that runs fast by the drift must not fill the bucket faster than the capacity allows.
		a.tokens = math.Min(a.burst(), a.tokens+a.capacity()/(1+a.limit.ClockDrift)*(now-a.filledAt)/1000)
	}
	a.filledAt = math.Max(a.filledAt, now)
}

// trimBucket drops tokens beyond the burst. It is called after the capacity has shrunk.
func (a *Allocation) trimBucket() { a.tokens = math.Min(a.tokens, a.burst()) }

// TryAcquire takes n items of the limit for an RPC with the given priority weight, and reports whether they were available.
// For Concurrency, maxHold (ms) is the maximum time for which the items stay in flight: a lease is used only if it lasts that
// long, and the caller must return the items with Release.
func (a *Allocation) TryAcquire(now, n, priorityWeight, maxHold float64) bool {
	a.advance(now)
	a.idle = false
	var ok bool
	if a.limit.Kind == Rate {
		if ok = a.tokens >= n; ok {
			a.tokens -= n
		}
	} else if ok = a.availableFor(now, maxHold) >= n; ok {
		a.inFlight += n
	}
	if ok {
		a.Counts.Admitted++
		a.usage += n * 1000 / averagingTime
	} else {
		a.Counts.Rejected++
		a.unmet += n * 1000 / averagingTime
		a.unmetWeight = math.Max(a.unmetWeight, priorityWeight)
	}
	a.lastArrival = now
	a.arrivalRate = (a.usage + a.unmet) / n
	return ok
}

// availableFor returns the number of further items that may be in flight for up to maxHold ms.
func (a *Allocation) availableFor(now, maxHold float64) float64 {
	available := a.owned - a.inFlight - a.grantedSum
	for i := range a.leased {
		if l := &a.leased[i]; l.expires-now >= maxHold*(1+a.limit.ClockDrift) {
			available += l.amount
		}
	}
	return available
}

// Release returns n items that were in flight.
func (a *Allocation) Release(n float64) { a.inFlight = math.Max(0, a.inFlight-n) }

// RetryAfter returns the time (ms) until one more item of a rate is available, if no other RPC takes it first. For Concurrency
// that time is unknown, and the result is 0.
func (a *Allocation) RetryAfter(now float64) float64 {
	a.advance(now)
	if a.limit.Kind == Concurrency || a.tokens >= 1 {
		return 0
	}
	return (1 - a.tokens) * 1000 * (1 + a.limit.ClockDrift) / math.Max(a.capacity(), minRefillRate)
}

// demand returns this server's usage and the demand that it rejects on top of it, in items per second or in flight.
func (a *Allocation) demand() (usage, unmet float64) {
	if a.limit.Kind == Concurrency {
		return a.inFlight, a.unmet * averagingTime / 1000
	}
	return a.usage, a.unmet
}

// grantable returns the capacity that may be granted to peers: the owned capacity less what is already granted, and less the
// floor or the server's own demand with headroom, whichever is larger. Leased capacity is never granted to others.
func (a *Allocation) grantable() float64 {
	usage, unmet := a.demand()
	return math.Max(0, a.owned-a.grantedSum-math.Max(a.limit.Floor, headroom*usage+unmet))
}
