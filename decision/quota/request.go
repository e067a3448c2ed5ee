package quota

// This file implements the holder's side of a lease: which peers are asked for how much capacity, renewals, and the return of
// leases that are not needed. It must never use capacity that was not granted to a request of this incarnation.

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Requests are sent in rounds. Times are in ms.
const (
	minRoundInterval = 100.0  // minimum interval between rounds
	maxRoundInterval = 1600.0 // maximum interval, reached if rounds yield no lease
	maxRoundSize     = 64     // peers per round
	smallRoundSize   = 8      // peers per round, after a round that yielded no lease
	retransmitAfter  = 130.0  // until the first retransmission: more than a round trip between zones
	requestTimeout   = 400.0
	minPeerBackoff   = 200.0 // during which a peer that denied a request is not asked again; doubles each time
	maxPeerBackoff   = 3200.0
	maxBackoffs      = 4096 // maximum number of peers with a recorded backoff

	renewalFraction  = 0.5  // of MaxLeaseDuration: a lease with less time left is renewed
	releaseFraction  = 0.5  // of a lease: it is relinquished if that much of it is not needed
	minLeaseAge      = 1.0  // in multiples of averagingTime, before a lease may be relinquished
	minUnmetFraction = 0.02 // of the usage: a smaller unmet demand is considered noise
	minLeaseFraction = 0.05 // of the owned capacity: a smaller lease is not worth a message

	jitterMin         = 0.75 // minimum factor of a jittered duration
	jitterRange       = 0.5  // width of the range of factors; the mean factor is 1
	roundingTolerance = 1e-9 // by which a grant may exceed the requested amount
)

// pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	id              uint64
	peer            string
	sentAt          float64
	amount          float64
	priorityWeight  float64
	currentCapacity float64
	renews          uint64 // ID of the lease to renew; 0 for a new lease
	attempts        int    // retransmissions
}

func (r *pendingRequest) message(incarnation uint64) Message {
	return Message{
		Kind:            Request,
		To:              r.peer,
		RequestID:       r.id,
		Incarnation:     incarnation,
		Amount:          r.amount,
		PriorityWeight:  r.priorityWeight,
		CurrentCapacity: r.currentCapacity,
		Renews:          r.renews,
	}
}

// backoff is the period during which a peer that denied or did not answer a request is not asked again.
type backoff struct {
	until, duration float64
}

// negotiation is the state of an allocation's message exchange, as holder and as grantor.
type negotiation struct {
	lastRequestID *uint64 // shared by all allocations of this incarnation
	rng           *rand.Rand

	pending       []pendingRequest
	backoffs      map[string]backoff // by peer
	offers        []string           // peers that offered capacity
	nextRound     float64
	roundInterval float64
	roundSize     int
	lastDenial    Denial
	lastDenialAt  float64

	requesters []requester // peers that were granted nothing, or less than they requested
	offeredAt  float64     // time of the last offers
	announced  float64     // free capacity already offered to requesters
	idle       bool        // nothing to do until an item is acquired or a message arrives
}

// Tick returns the messages to send: few, and none when idle. It must be called several times per second; peers are the
// peers that can be asked for capacity.
func (a *Allocation) Tick(now float64, peers []string) (out []Message) {
	if a.idle {
		return nil
	}
	a.advance(now)
	out = a.retransmit(now, out)
	out = a.releaseUnused(now, out)
	out = a.sendOffers(now, out)
	usage, unmet := a.demand()
	secured, expiring, out := a.renewLeases(now, headroom*usage+unmet, out)
	if now >= a.nextRound {
		out = a.requestLeases(now, a.shortfall(usage, unmet, secured, expiring), peers, out)
	}
	a.idle = len(a.granted) == 0 && len(a.leased) == 0 && len(a.pending) == 0 && usage+unmet < minLeaseFraction*a.owned && len(a.requesters) == 0
	return out
}

// retransmit resends unanswered requests, since messages may be lost, and drops those that timed out. A grantor gives a
// duplicate the same answer.
func (a *Allocation) retransmit(now float64, out []Message) []Message {
	for i := 0; i < len(a.pending); {
		r := &a.pending[i]
		if now-r.sentAt > requestTimeout {
			timedOut := *r
			a.pending = slices.Delete(a.pending, i, i+1)
			a.backOff(now, timedOut.peer, NoAnswer)
			if k := a.renewedLease(timedOut); k >= 0 {
				a.leased[k].renewing = false // the renewal is requested again while the lease lasts
			}
			continue
		}
		if n := float64(r.attempts + 1); now-r.sentAt > retransmitAfter*n*(n+1)/2 {
			r.attempts++
			out = append(out, r.message(a.incarnation))
		}
		i++
	}
	return out
}

// releaseUnused relinquishes leases that are not needed, the most recent first.
func (a *Allocation) releaseUnused(now float64, out []Message) []Message {
	usage, unmet := a.demand()
	spare := a.capacity() - headroom*usage - unmet
	if a.leasedSum == 0 || spare <= 0 {
		return out
	}
	released := false
	for i := len(a.leased) - 1; i >= 0; i-- {
		l := &a.leased[i]
		inUse := a.limit.Kind == Concurrency && a.inFlight > a.capacity()-l.amount
		if l.amount*releaseFraction > spare || now-l.startedAt < minLeaseAge*averagingTime || inUse {
			continue
		}
		spare -= l.amount
		out = append(out, Message{Kind: Relinquish, To: l.peer, RequestID: l.id, Incarnation: a.incarnation, Amount: l.amount})
		a.leased = slices.Delete(a.leased, i, i+1)
		a.Counts.Released++
		released = true
	}
	if released {
		a.sumLeases()
		a.trimBucket()
	}
	return out
}

// renewLeases requests renewals of leases that expire soon, until the needed capacity is secured. The grantor has these
// leases booked, so no other server could use the capacity before they expire. secured is the capacity that this server
// will have without the leases that are left to expire; expiring is the number of leases that were about to expire.
func (a *Allocation) renewLeases(now, needed float64, out []Message) (secured float64, expiring int, _ []Message) {
	secured = a.owned - a.grantedSum
	for i := range a.leased {
		if l := &a.leased[i]; l.renewing || !l.denied && !a.expiresSoon(l, now) {
			secured += l.amount
		} else {
			expiring++
		}
	}
	if expiring == 0 {
		return secured, 0, out
	}
	for i := range a.leased {
		l := &a.leased[i]
		if l.renewing || l.denied || !a.expiresSoon(l, now) || secured >= needed {
			continue
		}
		secured += l.amount
		l.renewing = true
		out = append(out, a.newRequest(now, l.peer, l.amount, l.id))
	}
	return secured, expiring, out
}

func (a *Allocation) expiresSoon(l *lease, now float64) bool {
	return l.expires-now < renewalFraction*a.limit.MaxLeaseDuration
}

// shortfall returns how much capacity to request on top of the secured capacity and pending requests.
func (a *Allocation) shortfall(usage, unmet, secured float64, expiring int) float64 {
	if unmet <= minUnmetFraction*usage && expiring == 0 {
		return 0
	}
	for i := range a.pending {
		if a.pending[i].renews == 0 {
			secured += a.pending[i].amount
		}
	}
	return math.Min(usage+unmet-secured, a.limit.Capacity-a.capacity())
}

// requestLeases sends one round of requests for a shortfall: first to peers that offered capacity, then to peers without a
// recorded backoff, then to the others. The order of the latter two starts at a random peer.
func (a *Allocation) requestLeases(now, shortfall float64, peers []string, out []Message) []Message {
	minLease := minLeaseFraction * a.owned
	if shortfall < minLease || len(a.leased) >= maxLeases || len(peers) == 0 {
		return out
	}
	if a.roundInterval == 0 {
		a.roundInterval = minRoundInterval
		a.roundSize = maxRoundSize
	}
	maxPerPeer := math.Max(1, a.owned-a.limit.Floor) // the most that any peer can grant with equal shares
	if a.limit.OwnedCapacity > 0 {
		maxPerPeer = a.limit.Capacity
	}
	first := a.rng.IntN(len(peers))
	sent := 0
	request := func(peer string) (more bool) {
		if sent >= a.roundSize || shortfall < minLease {
			return false
		}
		if !a.hasPendingRequest(peer) {
			amount := math.Min(shortfall, maxPerPeer)
			shortfall -= amount
			sent++
			out = append(out, a.newRequest(now, peer, amount, 0))
		}
		return true
	}
	for _, peer := range a.offers {
		request(peer)
	}
	a.offers = a.offers[:0]
	for _, hadDenied := range [2]bool{false, true} {
		for k := range peers {
			peer := peers[(first+k)%len(peers)]
			if b, denied := a.backoffs[peer]; denied != hadDenied || b.until > now {
				continue
			}
			if !request(peer) {
				break
			}
		}
	}
	// The more peers were asked, the longer the interval until the next round; a grant or an offer resets it.
	a.nextRound = now + a.jitter(a.roundInterval)
	slowest := math.Max(minRoundInterval, maxRoundInterval*math.Min(1, float64(sent)/smallRoundSize))
	a.roundInterval = math.Min(2*a.roundInterval, slowest)
	a.roundSize = smallRoundSize
	return out
}

// hasPendingRequest reports whether a request for a new lease is pending at a peer.
func (a *Allocation) hasPendingRequest(peer string) bool {
	return slices.ContainsFunc(a.pending, func(r pendingRequest) bool { return r.peer == peer && r.renews == 0 })
}

func (a *Allocation) newRequest(now float64, peer string, amount float64, renews uint64) Message {
	*a.lastRequestID++
	r := pendingRequest{
		id:              *a.lastRequestID,
		peer:            peer,
		sentAt:          now,
		amount:          amount,
		priorityWeight:  a.unmetWeight,
		currentCapacity: a.capacity(),
		renews:          renews,
	}
	a.pending = append(a.pending, r)
	a.Counts.Requested++
	return r.message(a.incarnation)
}

// pendingIndex returns the index of the pending request that a message answers, or -1 if there is none of this incarnation.
func (a *Allocation) pendingIndex(from string, m Message) int {
	if m.Incarnation != a.incarnation {
		return -1
	}
	return slices.IndexFunc(a.pending, func(r pendingRequest) bool { return r.id == m.RequestID && r.peer == from })
}

// renewedLease returns the index of the lease that a request renews, or -1 if there is none.
func (a *Allocation) renewedLease(r pendingRequest) int {
	return slices.IndexFunc(a.leased, func(l lease) bool { return r.renews != 0 && l.id == r.renews && l.peer == r.peer })
}

// backOff records that a peer denied or did not answer a request. The backoff doubles with each failure.
func (a *Allocation) backOff(now float64, peer string, reason DenialReason) {
	a.lastDenial = Denial{By: peer, Reason: reason}
	a.lastDenialAt = now
	if a.backoffs == nil {
		a.backoffs = map[string]backoff{}
	}
	b, known := a.backoffs[peer]
	if !known && len(a.backoffs) >= maxBackoffs {
		return
	}
	b.duration = math.Min(maxPeerBackoff, math.Max(minPeerBackoff, 2*b.duration))
	b.until = now + a.jitter(b.duration)
	a.backoffs[peer] = b
}

// jitter randomizes a duration, so that servers do not send requests in lockstep.
func (a *Allocation) jitter(duration float64) float64 {
	return duration * (jitterMin + jitterRange*a.rng.Float64())
}

// expedite schedules the next round soon and at full size.
func (a *Allocation) expedite(now float64) {
	a.roundInterval = minRoundInterval
	a.roundSize = maxRoundSize
	a.nextRound = math.Min(a.nextRound, now+minRoundInterval/2)
}

// acceptGrant books a grant once, and only for a pending request of this incarnation. The lease counts from when the request
// was sent. If the grant is smaller than the lease that it renews, acceptGrant returns the former ID of that lease for the
// caller to relinquish: the difference is not used from now on.
func (a *Allocation) acceptGrant(now float64, from string, m Message) (relinquished uint64) {
	i := a.pendingIndex(from, m)
	if i < 0 {
		a.Counts.LateGrants++
		return 0
	}
	r := a.pending[i]
	a.pending = slices.Delete(a.pending, i, i+1)
	expires := a.leaseExpiry(r.sentAt, m.Duration)
	if expires <= now || len(a.leased) >= maxLeases || !(m.Amount > 0 && m.Amount <= r.amount*(1+roundingTolerance)) {
		a.Counts.LateGrants++
		if k := a.renewedLease(r); k >= 0 {
			a.leased[k].renewing = false
		}
		return 0
	}
	if r.renews != 0 {
		a.Counts.Renewed++
	} else {
		delete(a.backoffs, from)
		a.expedite(now)
		a.Counts.Leased++
	}
	if k := a.renewedLease(r); k >= 0 {
		l := &a.leased[k]
		if m.Amount < l.amount {
			relinquished = l.id
		}
		l.id = m.RequestID
		l.amount = m.Amount
		l.expires = expires
		l.renewing = false
		l.denied = false
	} else { // a new lease, or a renewal whose former lease expired or was relinquished in the meantime
		a.leased = append(a.leased, lease{
			peer:        from,
			id:          m.RequestID,
			incarnation: a.incarnation,
			amount:      m.Amount,
			startedAt:   now,
			expires:     expires,
		})
	}
	a.sumLeases()
	a.trimBucket()
	return relinquished
}

// acceptDenial removes a pending request that was denied and backs off from the peer.
func (a *Allocation) acceptDenial(now float64, from string, m Message) {
	i := a.pendingIndex(from, m)
	if i < 0 {
		return
	}
	r := a.pending[i]
	a.pending = slices.Delete(a.pending, i, i+1)
	if k := a.renewedLease(r); k >= 0 {
		a.leased[k].renewing = false
		a.leased[k].denied = true
	}
	a.backOff(now, from, m.Reason)
	a.Counts.Denied++
}

// Receive handles a message from a peer and returns the replies.
func (a *Allocation) Receive(now float64, from string, m Message) (out []Message) {
	a.advance(now)
	a.idle = false
	switch m.Kind {
	case Request:
		out = append(out, a.grantLease(now, from, m))
		a.announced = math.Min(a.announced, a.grantable())
	case Grant:
		if id := a.acceptGrant(now, from, m); id > 0 {
			out = append(out, Message{Kind: Relinquish, To: from, RequestID: id, Incarnation: a.incarnation})
		}
	case Deny:
		a.acceptDenial(now, from, m)
	case Relinquish:
		a.granted = slices.DeleteFunc(a.granted, func(l lease) bool {
			return l.peer == from && l.incarnation == m.Incarnation && l.id == m.RequestID
		})
		a.sumLeases()
	case Offer:
		delete(a.backoffs, from)
		if len(a.offers) < maxRoundSize {
			a.offers = append(a.offers, from)
		}
		a.expedite(now)
	}
	return out
}
