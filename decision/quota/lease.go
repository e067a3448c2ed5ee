package quota

// This file implements the bookkeeping of leases: their expiry on either side, and their sums.

import "math"

// lease is capacity that a grantor has given to a holder for a limited time. Both keep a copy in their allocations.
type lease struct {
	peer        string  // the other side; "" for capacity that a former incarnation may have granted
	id          uint64  // RequestID of the request that created or last renewed the lease
	formerID    uint64  // grantor: id before the last renewal
	incarnation uint64  // of the holder
	amount      float64 // items per second, or in flight
	expires     float64 // local clock, ms; until then the holder may use it and the grantor counts it as granted
	startedAt   float64
	renewing    bool // holder: a renewal is pending
	denied      bool // holder: the renewal was denied, so the lease will expire
	remainder   bool // grantor: capacity that the holder loses by a smaller renewal, and may still use until it learns of it
}

// maxLeases is the maximum number of leases of an allocation in each direction.
const maxLeases = 1024

// grantExpiry returns the time until which a lease granted now counts as granted. It is later than the holder can use the
// lease, even if the holder's clock is slow and the local clock is fast.
func (a *Allocation) grantExpiry(now float64) float64 {
	return now + a.limit.MaxLeaseDuration*(1+a.limit.ClockDrift)*(1+a.limit.ClockDrift)
}

// leaseExpiry returns the time until which a lease requested at requestedAt may be used. The duration counts from the
// request, which precedes the grant, and is shortened by the clock drift.
func (a *Allocation) leaseExpiry(requestedAt, duration float64) float64 {
	return requestedAt + math.Min(duration, a.limit.MaxLeaseDuration)*(1-a.limit.ClockDrift)
}

// reserveFormerGrants books all capacity that a former incarnation may have granted before the process started.
func (a *Allocation) reserveFormerGrants(start float64) {
	a.granted = a.granted[:0]
	if amount := a.owned - a.limit.Floor; amount > 0 {
		a.granted = append(a.granted, lease{amount: amount, expires: a.grantExpiry(start)})
	}
	a.sumLeases()
}

// sumLeases updates the sums and the next expiry. It must be called after every change to the leases.
func (a *Allocation) sumLeases() {
	a.grantedSum = 0
	a.leasedSum = 0
	a.nextExpiry = math.Inf(1)
	for i := range a.granted {
		a.grantedSum += a.granted[i].amount
		a.nextExpiry = math.Min(a.nextExpiry, a.granted[i].expires)
	}
	for i := range a.leased {
		a.leasedSum += a.leased[i].amount
		a.nextExpiry = math.Min(a.nextExpiry, a.leased[i].expires)
	}
}
