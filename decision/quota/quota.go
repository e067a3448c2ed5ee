// Package quota divides a fleet-wide limit among the servers of a fleet, as leases of capacity in the manner of Doorman.
//
// A limit is either a rate with a burst or a count of items in flight. Each of the servers that the operator counts owns
// an equal share, always keeps a floor of it whatever its peers request, and grants leases on the rest to peers for a
// bounded time; a lease holder uses leased capacity only while the grantor cannot yet have taken it back. The sum over
// the fleet therefore stays within the limit by construction, whoever is partitioned, crashes or stalls, as long as no
// more servers run than were counted and clocks drift by no more than stated. A server never uses capacity it cannot
// prove to be its own at that moment.
//
// An Allocation is one server's part of one limit; a Ledger holds the allocations of many limits. All times are
// milliseconds as float64.
//
// The package is pure: it does no I/O, reads no clock (callers pass times), starts no goroutine and draws randomness
// only from a seeded source. An instance is not safe for concurrent use; its owner must serialise calls.
//
// Source: leases and their names follow Doorman (https://github.com/youtube/doorman). There one elected server grants all
// leases; here each server grants leases on what it owns.
package quota

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Kind is what a limit bounds.
type Kind int

// The values of Kind. Fleet status prints them as numbers.
const (
	Rate        Kind = iota // items a second, and a burst beyond
	Concurrency             // items in flight at a time
)

// Limit is one fleet-wide limit as an operator sets it, the same on all servers. Times are ms.
type Limit struct {
	Kind             Kind
	Capacity         float64 // of the whole fleet: items a second, or in flight
	Burst            float64 // of the whole fleet, items beyond the rate
	Servers          int     // that run at a time, at most
	Floor            float64 // of each server's capacity, never leased to others
	MaxLeaseDuration float64
	ClockDrift       float64 // by which the rate of a server's clock may be off, as a fraction
	OwnedCapacity    float64 // owned by this server; 0 for an equal share. All servers' together must not exceed Capacity
}

// Defaults for what operators do not set.
const (
	// DefaultLeaseDuration (ms) is long enough that renewals are a few messages, and short enough that capacity whose
	// holder crashed is soon back.
	DefaultLeaseDuration = 4000.0
	// DefaultClockDrift is more than what machines' clocks are off by.
	DefaultClockDrift = 1e-3
)

// Usable tells whether each server's share of a rate's burst admits one whole item. With less, a token bucket that never
// holds one item admits nothing.
func (l Limit) Usable() bool { return l.Kind == Concurrency || l.Burst >= float64(max(1, l.Servers)) }

// serverCount is Servers, at least one.
func (l *Limit) serverCount() float64 { return float64(max(1, l.Servers)) }

const (
	averagingTime  = 500.0 // ms, time constant of the averages of usage and unmet demand
	ceasedArrivals = 15.0  // expected arrivals missed, from which on demand has ceased. By chance once in 3 million
	headroom       = 1.25  // times the own usage that is kept before anything is granted to others
	minRefillRate  = 1e-3  // a second, by which RetryAfter reckons with less capacity
)

// Allocation is one server's part of one limit: what it owns, less what it granted to peers, plus what it leased.
type Allocation struct {
	limit       Limit
	incarnation uint64
	owned       float64

	granted    []lease // to peers
	leased     []lease // from peers
	grantedSum float64
	leasedSum  float64
	nextExpiry float64 // of all leases
	negotiation

	tokens   float64 // Rate: in the token bucket
	filledAt float64
	inFlight float64 // Concurrency

	// Averages a second; for Concurrency the unmet demand only.
	usage       float64
	unmet       float64 // what was rejected
	unmetWeight float64 // the highest priority weight of recent rejections
	averagedAt  float64
	lastArrival float64
	arrivalRate float64 // a second, as of lastArrival

	// Counts since the start of the process.
	Counts Counts
}

// New returns the allocation of a server whose process has the given incarnation, a random number drawn at its start.
// What the former incarnation may have granted counts as granted until no such lease can last: at first the server has
// only its floor.
func New(limit Limit, incarnation uint64, seed int64, now float64) *Allocation {
	a := newAllocation(limit, incarnation, new(uint64), now)
	a.rng = rand.New(rand.NewPCG(uint64(seed), 1))
	a.reserveFormerGrants(now)
	return a
}

// newAllocation returns an allocation without any leases. lastRequestID is shared by all allocations of an incarnation.
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

// Update applies a changed limit while leases are out. What is granted stays granted to its end, whatever is owned from
// now on: until the last server has the new limit and a longest lease has passed, the fleet keeps within the larger of
// the two limits.
func (a *Allocation) Update(now float64, limit Limit) {
	a.advance(now)
	a.setLimit(limit)
	a.trimBucket()
}

// Invalidate drops all leased capacity: the server's clock can't be trusted to have seen it expire. What is granted
// counts as granted anew.
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

// advance brings leases, the token bucket and the averages up to now.
func (a *Allocation) advance(now float64) {
	// The bucket fills at the capacity held meanwhile; what expired on the way is gone for the time after it.
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
		if (now-a.lastArrival)*a.arrivalRate > ceasedArrivals*1000 {
			a.usage = 0
			a.unmet = 0
			a.arrivalRate = 0
		}
	}
}

// capacity is what may be used now: owned, less granted, plus leased.
func (a *Allocation) capacity() float64 { return math.Max(0, a.owned-a.grantedSum+a.leasedSum) }

// capacityAt is capacity at a given time, without any change to the instance.
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

// burst is the size of the token bucket: one item, which never moves between servers, and the capacity's share of the
// rest. Over the fleet that is the whole burst.
func (a *Allocation) burst() float64 {
	if a.limit.Capacity <= 0 || a.limit.Kind != Rate {
		return 0
	}
	servers := a.limit.serverCount()
	each := math.Min(1, a.limit.Burst/servers)
	return each + (a.limit.Burst-each*servers)*math.Min(1, a.capacity()/a.limit.Capacity)
}

func (a *Allocation) fill(now float64) {
	if a.limit.Kind == Rate && now > a.filledAt {
		// A clock that is fast by the drift must not fill the bucket faster than the capacity allows.
		a.tokens = math.Min(a.burst(), a.tokens+a.capacity()/(1+a.limit.ClockDrift)*(now-a.filledAt)/1000)
	}
	a.filledAt = math.Max(a.filledAt, now)
}

// trimBucket drops tokens beyond the burst, after capacity was granted, lost or released.
func (a *Allocation) trimBucket() { a.tokens = math.Min(a.tokens, a.burst()) }

// TryAcquire takes n items of the limit, for an RPC of a priority weight, and reports whether they were available. For
// Concurrency, maxHold (ms) is how long they may stay in flight at most: they are taken from a lease only if it lasts as
// long, and Release returns them.
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

// availableFor is how many more items may be in flight for up to maxHold ms.
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

// RetryAfter is in how many ms one more item of a rate is available, if nothing else takes it. For Concurrency that is
// not known, and 0.
func (a *Allocation) RetryAfter(now float64) float64 {
	a.advance(now)
	if a.limit.Kind == Concurrency || a.tokens >= 1 {
		return 0
	}
	return (1 - a.tokens) * 1000 * (1 + a.limit.ClockDrift) / math.Max(a.capacity(), minRefillRate)
}

// demand is what this server uses, a second or in flight, and what it rejects beyond.
func (a *Allocation) demand() (usage, unmet float64) {
	if a.limit.Kind == Concurrency {
		return a.inFlight, a.unmet * averagingTime / 1000
	}
	return a.usage, a.unmet
}

// grantable is what may be granted to peers: not the floor, nor what is used or granted already. Leased capacity is never
// granted on.
func (a *Allocation) grantable() float64 {
	usage, unmet := a.demand()
	return math.Max(0, a.owned-a.grantedSum-math.Max(a.limit.Floor, headroom*usage+unmet))
}
