// Package quota divides a fleet-wide limit among the servers of a fleet, as leases of capacity in the manner of Doorman.
//
// A limit is either a rate with a burst or a count of items in flight. Each of the servers that the operator counts owns
// an equal share, always keeps a floor of it whatever its peers request, and grants leases on the rest to peers for a
// bounded time; a lease holder uses leased capacity only while the grantor cannot yet have taken it back. The sum over
// the fleet therefore stays within the limit by construction, whoever is partitioned, crashes or stalls, as long as no
// more servers run than were counted and clocks drift by no more than stated. A server never uses capacity it cannot
// prove to be its own at that moment.
//
// The package is pure: it does no I/O, reads no clock (callers pass times in ms), starts no goroutine and draws
// randomness only from a seeded source. An instance is not safe for concurrent use; its owner must serialise calls.
package quota

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Kind is what a bound is of.
type Kind int

const (
	Rate        Kind = iota // so many a second, and a burst beyond
	Concurrency             // so many in hand at a time
)

// Limit are what an operator sets, the same on all servers. Times are ms.
type Limit struct {
	Kind             Kind
	Capacity         float64 // of the whole fleet: a second, or in hand
	Burst            float64 // of the whole fleet beyond the rate
	Servers          int     // that run at a time, at the most
	Floor            float64 // of each server, never lent
	MaxLeaseDuration float64 // that a loan lasts
	ClockDrift       float64 // by which the rate of a server's clock may be off, as a share
	OwnedCapacity    float64 // owned here, where that is no equal part; 0 for one. All servers' together must be within the bound
}

// Usual figures for what operators do not set: a loan is long enough that renewing it is a few messages, and short enough that
// a part whose borrower has gone is back within a breath; clocks of machines are off by less than a thousandth.
const (
	DefaultLeaseDuration = 4000.0
	DefaultClockDrift    = 1e-3
)

// Usable tells whether each server has room for one whole thing of a rate: its part of the burst. With less, a bucket that
// never holds one lets nothing through.
func (r Limit) Usable() bool { return r.Kind == Concurrency || r.Burst >= float64(max(1, r.Servers)) }

const (
	useTime  = 500.0 // of the means of use and need
	ceased   = 15.0  // expected things that have not come: their callers have gone elsewhere. By chance once in 3 million
	headroom = 1.25  // times the own use, before anything counts as free
)

// loan is a part that has changed hands.
type loan struct {
	peer   string
	number uint64
	was    uint64 // lent: before it was renewed
	life   uint64 // of the borrower
	amount float64
	ends   float64 // own ms: until then it is used, or counts as lent
	began  float64
	asking bool // borrowed: to renew it
	denied bool // borrowed: it will end
	rest   bool // lent: what its borrower is to give up, and may not know of yet
}

// Allocation is one server's part of one bound.
type Allocation struct {
	r    Limit
	life uint64
	own  float64

	lent     []loan
	borrowed []loan
	out, in  float64 // sums of the two
	next     float64 // when the first of them ends
	talk

	tokens float64 // Rate: in the bucket
	filled float64 // when
	inHand float64 // Stock

	use, need float64 // means a second, or of what is in hand; need is what was turned away
	worth     float64 // of what was turned away of late, the most
	meanAt    float64
	last, due float64 // when something was last asked for, and how often a second that was
	Counts    Counts
}

// Counts are since the start.
type Counts struct {
	Admitted   uint64 `json:"Taken"`
	Rejected   uint64 `json:"Turned"`
	Requested  uint64 `json:"Asked"` // lease requests sent, renewals included
	Granted    uint64
	Denied     uint64
	Leased     uint64 `json:"Borrowed"`
	Released   uint64 `json:"Returned"`
	LateGrants uint64 `json:"Late"`
	Renewed    uint64
}

// New returns the part of a server whose process has the given life, drawn at its start. What its former life may have lent
// counts as lent until no such loan can last: at first it has its floor.
func New(r Limit, life uint64, seed int64, now float64) *Allocation {
	s := fresh(r, life, new(uint64), now)
	s.chance = rand.New(rand.NewPCG(uint64(seed), 1))
	s.forgotten(now)
	return s
}

// fresh is a part that has lent nothing.
func fresh(r Limit, life uint64, numbers *uint64, now float64) *Allocation {
	s := &Allocation{life: life, filled: now, meanAt: now}
	s.numbers = numbers
	s.rule(r)
	s.sum()
	return s
}

func (s *Allocation) rule(r Limit) {
	s.r = r
	if s.own = r.OwnedCapacity; s.own == 0 {
		s.own = r.Capacity / float64(max(1, r.Servers))
	}
}

// forgotten books all that may be out as a process starts, and is not known of.
func (s *Allocation) forgotten(start float64) {
	s.lent = s.lent[:0]
	if out := s.own - s.r.Floor; out > 0 {
		s.lent = append(s.lent, loan{amount: out, ends: s.booked(start)})
	}
	s.sum()
}

// booked is until when a loan of now counts as lent: longer than its borrower, whose clock may be slow where ours is fast,
// can use it.
func (s *Allocation) booked(now float64) float64 {
	return now + s.r.MaxLeaseDuration*(1+s.r.ClockDrift)*(1+s.r.ClockDrift)
}

// Update takes new rules while loans are out. What is lent stays lent to its end, whatever is owned from now on: until the last
// server has the new bound and a longest loan has passed, the fleet keeps within the larger of the two bounds.
func (s *Allocation) Update(now float64, r Limit) {
	s.pass(now)
	s.rule(r)
	s.tokens = math.Min(s.tokens, s.burst())
}

// Invalidate drops what is borrowed: the own clock can't be trusted to have seen its end. What is lent counts as lent anew.
func (s *Allocation) Invalidate(now float64) {
	s.pass(now)
	s.borrowed = s.borrowed[:0]
	s.asks = s.asks[:0]
	for i := range s.lent {
		s.lent[i].ends = s.booked(now)
	}
	s.sum()
	s.tokens = math.Min(s.tokens, s.burst())
}

// sum is to be called whenever loans have changed.
func (s *Allocation) sum() {
	s.out, s.in, s.next = 0, 0, math.Inf(1)
	for i := range s.lent {
		s.out += s.lent[i].amount
		s.next = math.Min(s.next, s.lent[i].ends)
	}
	for i := range s.borrowed {
		s.in += s.borrowed[i].amount
		s.next = math.Min(s.next, s.borrowed[i].ends)
	}
}

// pass brings loans and the bucket up to now.
func (s *Allocation) pass(now float64) {
	// The bucket fills at the part held meanwhile; what ended on the way ends for the time after it.
	for s.next <= now {
		at := math.Max(s.filled, s.next)
		s.fill(at)
		over := func(l loan) bool { return l.ends <= at }
		s.borrowed, s.lent = slices.DeleteFunc(s.borrowed, over), slices.DeleteFunc(s.lent, over)
		s.sum()
		s.tokens = math.Min(s.tokens, s.burst()) // what a loan brought of the burst goes with it
	}
	s.fill(now)
	if dt := now - s.meanAt; dt > 0 {
		keep := math.Exp(-dt / useTime)
		s.use, s.need, s.worth = s.use*keep, s.need*keep, s.worth*keep
		s.meanAt = now
		if (now-s.last)*s.due > ceased*1000 {
			s.use, s.need, s.due = 0, 0, 0
		}
	}
}

// part is what may be used now: the own one without what is lent, and what is borrowed.
func (s *Allocation) part() float64 { return math.Max(0, s.own-s.out+s.in) }

// held is part at a time, without any change to the instance.
func (s *Allocation) held(now float64) float64 {
	sum := s.own
	for i := range s.lent {
		if l := &s.lent[i]; l.ends > now {
			sum -= l.amount
		}
	}
	for i := range s.borrowed {
		if l := &s.borrowed[i]; l.ends > now {
			sum += l.amount
		}
	}
	return math.Max(0, sum)
}

// burst is what the bucket holds: room for one thing, which never moves, and the part's share of the rest. Over the fleet
// that is the whole burst.
func (s *Allocation) burst() float64 {
	if s.r.Capacity <= 0 || s.r.Kind != Rate {
		return 0
	}
	each := math.Min(1, s.r.Burst/float64(max(1, s.r.Servers)))
	return each + (s.r.Burst-each*float64(max(1, s.r.Servers)))*math.Min(1, s.part()/s.r.Capacity)
}

func (s *Allocation) fill(now float64) {
	if s.r.Kind == Rate && now > s.filled {
		// A clock that is fast by the drift must not fill the bucket faster than the part.
		s.tokens = math.Min(s.burst(), s.tokens+s.part()/(1+s.r.ClockDrift)*(now-s.filled)/1000)
	}
	s.filled = math.Max(s.filled, now)
}

// TryAcquire asks for n of the bound, of a criticality. For a stock, longest is how long it may be held at the most: it is taken
// from a loan only if that lasts as long. What is taken of a stock is given back by Give.
func (s *Allocation) TryAcquire(now, n, worth, longest float64) bool {
	s.pass(now)
	s.quiet = false
	ok := false
	if s.r.Kind == Rate {
		if ok = s.tokens >= n; ok {
			s.tokens -= n
		}
	} else {
		room := s.own - s.inHand - s.out
		for i := range s.borrowed {
			if l := &s.borrowed[i]; l.ends-now >= longest*(1+s.r.ClockDrift) {
				room += l.amount
			}
		}
		if ok = room >= n; ok {
			s.inHand += n
		}
	}
	if ok {
		s.Counts.Admitted++
		s.use += n * 1000 / useTime
	} else {
		s.Counts.Rejected++
		s.need += n * 1000 / useTime
		s.worth = math.Max(s.worth, worth)
	}
	s.last, s.due = now, (s.use+s.need)/n
	return ok
}

// Release returns n of a stock.
func (s *Allocation) Release(n float64) { s.inHand = math.Max(0, s.inHand-n) }

// RetryAfter is how many ms from now one more of a rate may be taken, if nothing else is; for a stock that is not known, and 0.
func (s *Allocation) RetryAfter(now float64) float64 {
	s.pass(now)
	if s.r.Kind == Concurrency || s.tokens >= 1 {
		return 0
	}
	return (1 - s.tokens) * 1000 * (1 + s.r.ClockDrift) / math.Max(s.part(), 1e-3)
}

// wanted is what this server uses, a second or in hand, and what it turns away.
func (s *Allocation) wanted() (use, need float64) {
	if s.r.Kind == Concurrency {
		return s.inHand, s.need * useTime / 1000
	}
	return s.use, s.need
}

// free is what may be lent: not the floor, nor what is used, nor what is lent already. What is borrowed is never lent on.
func (s *Allocation) free() float64 {
	use, need := s.wanted()
	return math.Max(0, s.own-s.out-math.Max(s.r.Floor, headroom*use+need))
}

// AllocationState is how a part stands.
type AllocationState struct {
	Owned       float64 `json:"Own"`
	Floor       float64
	Granted     float64      `json:"Lent"`
	Leased      float64      `json:"Borrowed"`
	Capacity    float64      `json:"Part"`
	Usage       float64      `json:"Use"`
	UnmetDemand float64      `json:"Need"`
	InFlight    float64      `json:"InHand"`
	Leases      []LeaseState `json:"Loans"`
	LastDenial  Denial       `json:"Refused"` // zero for none
}

// LeaseState is one loan. To is empty for what a former life may have lent.
type LeaseState struct {
	From, To  string
	Amount    float64
	Remaining float64 `json:"For"` // ms that are left
}

// State tells it; loans are told for an instance called name, at most so many of either kind.
func (s *Allocation) State(now float64, name string, most int) (st AllocationState) {
	s.pass(now)
	st = AllocationState{Owned: s.own, Floor: s.r.Floor, Capacity: s.part(), InFlight: s.inHand, Granted: s.out, Leased: s.in, LastDenial: s.refused}
	if st.LastDenial.By != "" {
		st.LastDenial.Age = now - st.LastDenial.Age
	}
	st.Usage, st.UnmetDemand = s.wanted()
	for _, l := range s.lent[:min(most, len(s.lent))] {
		st.Leases = append(st.Leases, LeaseState{name, l.peer, l.amount, l.ends - now})
	}
	for _, l := range s.borrowed[:min(most, len(s.borrowed))] {
		st.Leases = append(st.Leases, LeaseState{l.peer, name, l.amount, l.ends - now})
	}
	return st
}
