package quota

// This file is the grantor's side of a lease: how free capacity is divided among those that request it, renewals, and
// offers to those that got too little. It must never grant capacity that is not booked first.

import (
	"cmp"
	"math"
	"slices"
)

const (
	competitorWindow   = 1000.0 // ms for which a requester counts when free capacity is divided
	requesterWindow    = 3000.0 // ms for which a requester is offered capacity that becomes free
	maxRequesters      = 32
	maxOffers          = 4   // requesters that are told at a time
	competitorFraction = 0.8 // of a holder's capacity: a requester with less competes with the holder's renewal
	minOfferFraction   = 0.1 // of the own capacity: so much more must be free than requesters know of
)

// requester is a peer that requested capacity of late.
type requester struct {
	name            string
	at              float64
	priorityWeight  float64
	amount          float64
	currentCapacity float64
}

// sendOffers tells recent requesters, those with the highest priority weight first, that capacity has become free.
func (a *Allocation) sendOffers(now float64, out []Message) []Message {
	a.requesters = slices.DeleteFunc(a.requesters, func(r requester) bool { return now-r.at > requesterWindow })
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

// grantLease answers a request. A duplicate gets the same answer, and no second lease.
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
		if m.Renews != 0 && (l.id == m.Renews || l.formerID == m.Renews) { // it may not have heard of the last renewal
			renewed = i
		}
	}
	competitors, requested := a.competitors(now, from, &m, renewed < 0)
	switch {
	case renewed >= 0:
		return a.renewGrant(now, from, m, renewed, competitors, requested)
	case m.Renews != 0: // it has expired here: what is requested now is another lease, and the holder must know
		return denyMessage(from, m, Exhausted)
	}
	return a.newGrant(now, from, m, competitors, requested)
}

// renewGrant renews a lease. Its holder keeps it as far as there is capacity beside what is used here, and shares it with
// competitors. What it gives up stays booked until it confirms that, or the lease that it has can have expired.
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
	if rest := l.amount - amount; rest > 0 {
		a.granted = append(a.granted, lease{
			peer:        from,
			id:          m.Renews,
			incarnation: m.Incarnation,
			amount:      rest,
			began:       l.began,
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

// newGrant grants a new lease. What is free is divided evenly among the recent requesters, so that the first one does not
// get all of it; one that wants less than its part leaves the rest to the others.
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
	// Booked before it is announced; its holder counts from when it sent the request.
	a.granted = append(a.granted, lease{
		peer:        from,
		id:          m.RequestID,
		incarnation: m.Incarnation,
		amount:      amount,
		began:       now,
		expires:     a.grantExpiry(now),
	})
	a.sumLeases()
	a.trimBucket()
	a.Counts.Granted++
	a.reduceRequester(from, amount)
	return a.grantMessage(from, m, amount)
}

// reduceRequester makes the latest requester compete only for what it still lacks after a grant.
func (a *Allocation) reduceRequester(name string, granted float64) {
	last := len(a.requesters) - 1
	if last < 0 || a.requesters[last].name != name {
		return
	}
	if a.requesters[last].amount -= granted; a.requesters[last].amount < minLeaseFraction*a.owned {
		a.requesters = a.requesters[:last]
	}
}

// competitors counts the recent requesters other than from, and what they requested. With a renewal only those compete
// that have much less than the holder: capacity that moves between two that have as much lies idle on its way. For a new
// lease, from is noted as a requester itself.
func (a *Allocation) competitors(now float64, from string, m *Message, newLease bool) (n int, requested float64) {
	a.requesters = slices.DeleteFunc(a.requesters, func(r requester) bool {
		return now-r.at > requesterWindow || newLease && r.name == from
	})
	for i := range a.requesters {
		r := &a.requesters[i]
		if r.name != from && now-r.at <= competitorWindow && (newLease || r.currentCapacity < competitorFraction*m.CurrentCapacity) {
			n++
			requested += r.amount
		}
	}
	if newLease && len(a.requesters) < maxRequesters {
		a.requesters = append(a.requesters, requester{
			name:            from,
			at:              now,
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
