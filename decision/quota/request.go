package quota

// This file is the holder's side of a lease: which peers are asked for capacity and how much, renewals, and when a lease
// is given back. It must never use capacity that was not granted to a request of this incarnation.

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Requests go out in rounds; times are ms.
const (
	minRoundInterval = 100.0  // between two rounds, at the fastest
	maxRoundInterval = 1600.0 // and at the slowest, where rounds bring nothing
	maxRoundSize     = 64     // peers in a round
	smallRoundSize   = 8      // after a round that brought nothing
	retransmitAfter  = 130.0  // without an answer, first: more than a round trip between zones
	requestTimeout   = 400.0
	minPeerBackoff   = 200.0 // for which a peer that denied is not asked again; doubles each time
	maxPeerBackoff   = 3200.0
	maxBackoffs      = 4096 // peers whose backoff is remembered

	renewalFraction  = 0.5  // of MaxLeaseDuration: a lease with less left is renewed
	releaseFraction  = 0.5  // of a lease: if so much of it is not needed, it is given back
	minLeaseAge      = 1.0  // times averagingTime, before a lease may be given back
	minUnmetFraction = 0.02 // of the usage: less that is rejected is chance
	minLeaseFraction = 0.05 // of the own capacity: less is not worth a message

	jitterMin         = 0.75 // the least factor of a jittered duration
	jitterRange       = 0.5  // so that the mean factor is 1
	roundingTolerance = 1e-9 // by which a grant may exceed what was requested
)

// pendingRequest is a request without an answer so far.
type pendingRequest struct {
	id              uint64
	peer            string
	sentAt          float64
	amount          float64
	priorityWeight  float64
	currentCapacity float64
	renews          uint64 // id of the lease to renew; 0 for a new one
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

// backoff is for how long a peer that denied is left alone.
type backoff struct {
	until, duration float64
}

// negotiation is what an allocation remembers of its messages, as holder and as grantor.
type negotiation struct {
	lastRequestID *uint64 // over all allocations of this incarnation
	rng           *rand.Rand

	pending       []pendingRequest
	backoffs      map[string]backoff // by peer
	offers        []string           // peers that offered capacity
	nextRound     float64
	roundInterval float64
	roundSize     int
	lastDenial    Denial
	lastDenialAt  float64

	requesters []requester // that this server granted less than they wanted, or nothing
	offeredAt  float64     // when requesters were last told of free capacity
	announced  float64     // free capacity that requesters know of
	idle       bool        // nothing to do until something is acquired or a message arrives
}

// Tick must be called several times a second, with the peers that can be asked. It returns the messages to send: few, and
// none at rest.
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

// retransmit sends requests without an answer again, since messages get lost (a grantor answers a duplicate alike), and
// gives up those that timed out.
func (a *Allocation) retransmit(now float64, out []Message) []Message {
	for i := 0; i < len(a.pending); {
		r := &a.pending[i]
		if now-r.sentAt > requestTimeout {
			timedOut := *r
			a.pending = slices.Delete(a.pending, i, i+1)
			a.backOff(now, timedOut.peer, NoAnswer)
			if k := a.renewedLease(timedOut); k >= 0 {
				a.leased[k].renewing = false // requested again as long as the lease lasts
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

// releaseUnused gives leases back that are not needed, the latest first.
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
		if l.amount*releaseFraction > spare || now-l.began < minLeaseAge*averagingTime || inUse {
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

// renewLeases requests renewals of leases that expire soon, as far as needed: a grantor has them booked, and no other could
// have them before they expire. It returns what this server will have beside leases that expire, and how many of those
// there are.
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

// shortfall is how much capacity to request beside what this server will have and has requested.
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

// requestLeases sends one round of requests for a shortfall: first to peers that offered capacity, then to those that
// never denied, then to the rest, from a random one on.
func (a *Allocation) requestLeases(now, shortfall float64, peers []string, out []Message) []Message {
	minLease := minLeaseFraction * a.owned
	if shortfall < minLease || len(a.leased) >= maxLeases || len(peers) == 0 {
		return out
	}
	if a.roundInterval == 0 {
		a.roundInterval = minRoundInterval
		a.roundSize = maxRoundSize
	}
	perPeer := math.Max(1, a.owned-a.limit.Floor) // what a peer may have of which nothing is known
	if a.limit.OwnedCapacity > 0 {
		perPeer = a.limit.Capacity
	}
	first := a.rng.IntN(len(peers))
	sent := 0
	request := func(peer string) (more bool) {
		if sent >= a.roundSize || shortfall < minLease {
			return false
		}
		if !a.isAsked(peer) {
			amount := math.Min(shortfall, perPeer)
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
	// The more peers were asked, the later the next round; a grant or an offer resets that.
	a.nextRound = now + a.jitter(a.roundInterval)
	slowest := math.Max(minRoundInterval, maxRoundInterval*math.Min(1, float64(sent)/smallRoundSize))
	a.roundInterval = math.Min(2*a.roundInterval, slowest)
	a.roundSize = smallRoundSize
	return out
}

// isAsked tells whether a request for a new lease to a peer is pending.
func (a *Allocation) isAsked(peer string) bool {
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

// pendingIndex is the place of the request that a message answers; negative if there is none of this incarnation.
func (a *Allocation) pendingIndex(from string, m Message) int {
	if m.Incarnation != a.incarnation {
		return -1
	}
	return slices.IndexFunc(a.pending, func(r pendingRequest) bool { return r.id == m.RequestID && r.peer == from })
}

// renewedLease is the place of the lease that a request would renew; negative if there is none.
func (a *Allocation) renewedLease(r pendingRequest) int {
	return slices.IndexFunc(a.leased, func(l lease) bool { return r.renews != 0 && l.id == r.renews && l.peer == r.peer })
}

// backOff notes that a peer denied or did not answer: it is not asked for a while, the longer the more often that was so.
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

// jitter spreads a duration, so that servers do not request in step.
func (a *Allocation) jitter(duration float64) float64 {
	return duration * (jitterMin + jitterRange*a.rng.Float64())
}

// expedite makes the next round come soon and large.
func (a *Allocation) expedite(now float64) {
	a.roundInterval = minRoundInterval
	a.roundSize = maxRoundSize
	a.nextRound = math.Min(a.nextRound, now+minRoundInterval/2)
}

// acceptGrant books a grant once: for a pending request of this incarnation, from when it was sent. If it is for less than
// the lease that it renews, it returns that lease's id, to be relinquished: nothing of the rest is used from here on.
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
	} else { // a new lease, or the former expired or was relinquished meanwhile and the grant stands by itself
		a.leased = append(a.leased, lease{
			peer:        from,
			id:          m.RequestID,
			incarnation: a.incarnation,
			amount:      m.Amount,
			began:       now,
			expires:     expires,
		})
	}
	a.sumLeases()
	a.trimBucket()
	return relinquished
}

// acceptDenial ends a pending request that was denied.
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

// Receive takes a message from a peer and returns the answers.
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
