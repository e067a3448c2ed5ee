package quota

// This file implements the grantor's side of a lease: it divides free capacity among requesters, renews leases, and offers
// capacity to requesters that received too little. A lease must be booked before its grant is sent.

import (
	"cmp"
	"math"
	"slices"
)

const (
	competitorWindow   = 1000.0 // ms, age up to which a requester counts when free capacity is divided
	requesterWindow    = 3000.0 // ms, age up to which a requester is offered capacity that becomes free
	maxRequesters      = 32
	maxOffers          = 4   // offers sent at a time
	competitorFraction = 0.8 // of a holder's capacity: a requester with less capacity competes with the holder's renewal
	minOfferFraction   = 0.1 // of the owned capacity, by which free capacity must exceed the announced amount before it is offered
)

// requester is a peer that has requested capacity recently.
type requester struct {
	name            string
	requestedAt     float64
	priorityWeight  float64
	amount          float64
	currentCapacity float64
}

// sendOffers appends to out offers of free capacity to the recent requesters with the highest priority weights. It sends none
// unless enough capacity has become free since the last offers.
func (a *Allocation) sendOffers(now float64, out []Message) []Message {
	a.requesters = slices.DeleteFunc(a.requesters, func(r requester) bool { return now-r.requestedAt > requesterWindow })
	free := a.grantable()
	a.announced = math.Min(a.announced, free)
	if len(a.requesters) == 0 || free-a.announced < minOfferFraction*a.owned || now-a.offeredAt < minRoundInterval/2 {
		return out
	}
	a.announced = free
	a.offeredAt = now
	n := min(maxOffers, len(a.requesters))
	byWeight := slices.Clone(a.requesters)
	slices.SortStableFunc(byWeight, func(x, y requester) int { return cmp.Compare(y.priorityWeight, x.priorityWeight) })
	for i := range byWeight[:n] {
		out = append(out, Message{Kind: Offer, To: byWeight[i].name, Amount: free / float64(n)})
	}
	return out
}

// grantLease answers a request. A duplicate request receives the same answer and creates no second lease.
func (a *Allocation) grantLease(now float64, from string, m Message) Message {
	renewed := -1
	for i := range a.granted {
		l := &a.granted[i]
		if l.peer != from || l.incarnation != m.Incarnation || l.remainder {
			continue
		}
		if l.id == m.RequestID {
			return a.grantMessage(from, m, l.amount)
		}
		// The holder refers to the lease by its former ID if the grant of the last renewal was lost.
		if m.Renews != 0 && (l.id == m.Renews || l.formerID == m.Renews) {
			renewed = i
		}
	}
	competitors, requested := a.competitors(now, from, &m, renewed < 0)
	switch {
	case renewed >= 0:
		return a.renewGrant(now, from, m, renewed, competitors, requested)
	case m.Renews != 0:
		// The lease has expired here. A grant would be a different lease, and the holder must learn of the expiry.
		return denyMessage(from, m, Exhausted)
	}
	return a.newGrant(now, from, m, competitors, requested)
}

// renewGrant renews a lease. The holder keeps what this server does not need itself, shared with competitors. Capacity that
// the holder loses stays booked until the holder relinquishes it or its current lease must have expired.
func (a *Allocation) renewGrant(now float64, from string, m Message, renewed, competitors int, requested float64) Message {
	l := &a.granted[renewed]
	usage, unmet := a.demand()
	total := a.owned - math.Max(a.limit.Floor, headroom*usage+unmet)
	amount := math.Min(l.amount, total-(a.grantedSum-l.amount))
	amount = math.Min(amount, math.Max(total/float64(competitors+1), total-requested))
	if a.limit.Kind == Concurrency {
		amount = math.Floor(amount)
	}
	if !(amount >= minLeaseFraction*a.owned) || len(a.granted) >= maxLeases {
		return denyMessage(from, m, Contended)
	}
	if remainder := l.amount - amount; remainder > 0 {
		a.granted = append(a.granted, lease{
			peer:        from,
			id:          m.Renews,
			incarnation: m.Incarnation,
			amount:      remainder,
			startedAt:   l.startedAt,
			expires:     l.expires,
			remainder:   true,
		})
		l = &a.granted[renewed]
	}
	l.formerID = m.Renews
	l.id = m.RequestID
	l.amount = amount
	l.expires = a.grantExpiry(now)
	a.sumLeases()
	a.Counts.Renewed++
	return a.grantMessage(from, m, amount)
}

// newGrant grants a new lease. Free capacity is divided evenly among the recent requesters, so that the first one does not
// receive all of it; a requester that asks for less than its share leaves the rest to the others.
func (a *Allocation) newGrant(now float64, from string, m Message, competitors int, requested float64) Message {
	free := a.grantable()
	amount := math.Min(m.Amount, math.Max(free/float64(competitors+1), free-requested))
	if a.limit.Kind == Concurrency {
		amount = math.Floor(amount)
	}
	switch {
	case len(a.granted) >= maxLeases:
		return denyMessage(from, m, TooManyLeases)
	case !(amount >= minLeaseFraction*a.owned && amount > 0):
		if competitors > 0 {
			return denyMessage(from, m, Contended)
		}
		return denyMessage(from, m, Exhausted)
	}
	// Book the lease before the grant is sent. The holder counts its duration from when it sent the request.
	a.granted = append(a.granted, lease{
		peer:        from,
		id:          m.RequestID,
		incarnation: m.Incarnation,
		amount:      amount,
		startedAt:   now,
		expires:     a.grantExpiry(now),
	})
	a.sumLeases()
	a.trimBucket()
	a.Counts.Granted++
	a.reduceRequester(from, amount)
	return a.grantMessage(from, m, amount)
}

// reduceRequester deducts a grant from the latest requester's amount, so that it competes only for the remainder.
func (a *Allocation) reduceRequester(name string, granted float64) {
	last := len(a.requesters) - 1
	if last < 0 || a.requesters[last].name != name {
		return
	}
	if a.requesters[last].amount -= granted; a.requesters[last].amount < minLeaseFraction*a.owned {
		a.requesters = a.requesters[:last]
	}
}

// competitors returns the number of recent requesters other than from and the sum of the amounts that they requested. For a
// renewal, only requesters with much less capacity than the holder count, because capacity that moves between servers with
// similar amounts is idle in transit. For a new lease, from is recorded as a requester itself.
func (a *Allocation) competitors(now float64, from string, m *Message, newLease bool) (n int, requested float64) {
	a.requesters = slices.DeleteFunc(a.requesters, func(r requester) bool {
		return now-r.requestedAt > requesterWindow || newLease && r.name == from
	})
	for i := range a.requesters {
		r := &a.requesters[i]
		if r.name != from && now-r.requestedAt <= competitorWindow && (newLease || r.currentCapacity < competitorFraction*m.CurrentCapacity) {
			n++
			requested += r.amount
		}
	}
	if newLease && len(a.requesters) < maxRequesters {
		a.requesters = append(a.requesters, requester{
			name:            from,
			requestedAt:     now,
			priorityWeight:  m.PriorityWeight,
			amount:          m.Amount,
			currentCapacity: m.CurrentCapacity,
		})
	}
	return n, requested
}

func (a *Allocation) grantMessage(to string, request Message, amount float64) Message {
	return Message{
		Kind:        Grant,
		To:          to,
		RequestID:   request.RequestID,
		Incarnation: request.Incarnation,
		Amount:      amount,
		Duration:    a.limit.MaxLeaseDuration,
	}
}

func denyMessage(to string, request Message, reason DenialReason) Message {
	return Message{
		Kind:        Deny,
		To:          to,
		RequestID:   request.RequestID,
		Incarnation: request.Incarnation,
		Reason:      reason,
	}
}
