package quota

// This file keeps the leases themselves: when they expire on either side, and their sums.

import "math"

// lease is capacity that a grantor gave to a holder for a time. It stands in both servers' allocations.
type lease struct {
	peer        string  // the other side; "" for what a former incarnation may have granted
	id          uint64  // the RequestID by which it was granted or last renewed
	formerID    uint64  // grantor: id before the last renewal
	incarnation uint64  // of the holder
	amount      float64 // a second, or in flight
	expires     float64 // by the own clock; until then it may be used, or counts as granted
	began       float64
	renewing    bool // holder: a renewal was requested
	denied      bool // holder: the renewal was denied, it will expire
	remainder   bool // grantor: what the holder is to give up after a smaller renewal, and may not know of yet
}

// maxLeases of either direction exist at a time in an allocation.
const maxLeases = 1024

// grantExpiry is until when a lease granted now counts as granted: longer than its holder, whose clock may be slow where
// ours is fast, can use it.
func (a *Allocation) grantExpiry(now float64) float64 {
	return now + a.limit.MaxLeaseDuration*(1+a.limit.ClockDrift)*(1+a.limit.ClockDrift)
}

// leaseExpiry is until when a lease requested at a time may be used: counted from the request, which was before the
// grant, and shortened by the drift.
func (a *Allocation) leaseExpiry(requestedAt, duration float64) float64 {
	return requestedAt + math.Min(duration, a.limit.MaxLeaseDuration)*(1-a.limit.ClockDrift)
}

// reserveFormerGrants counts as granted all that a former incarnation may have granted until the process started.
func (a *Allocation) reserveFormerGrants(start float64) {
	a.granted = a.granted[:0]
	if amount := a.owned - a.limit.Floor; amount > 0 {
		a.granted = append(a.granted, lease{amount: amount, expires: a.grantExpiry(start)})
	}
	a.sumLeases()
}

// sumLeases must be called whenever leases have changed.
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
