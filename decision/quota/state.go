package quota

// This file reports how an allocation stands. Fleet status prints these types as JSON under the names in the tags.

// Counts are totals of one allocation since the start of the process.
type Counts struct {
	Admitted   uint64 `json:"Taken"`  // calls of TryAcquire that were admitted
	Rejected   uint64 `json:"Turned"` // and those that were not
	Requested  uint64 `json:"Asked"`  // lease requests sent, renewals included
	Granted    uint64 // new leases granted to peers
	Denied     uint64 // own requests that were denied
	Leased     uint64 `json:"Borrowed"` // new leases got from peers
	Released   uint64 `json:"Returned"` // leases given back before they expired
	LateGrants uint64 `json:"Late"`     // grants that came too late, twice or malformed, and were not used
	Renewed    uint64 // renewals, as grantor or holder
}

// AllocationState is how an allocation stands. Amounts are a second, or in flight.
type AllocationState struct {
	Owned       float64      `json:"Own"`
	Floor       float64      // of Owned, never granted
	Granted     float64      `json:"Lent"`     // to peers
	Leased      float64      `json:"Borrowed"` // from peers
	Capacity    float64      `json:"Part"`     // what may be used now
	Usage       float64      `json:"Use"`
	UnmetDemand float64      `json:"Need"` // what was rejected, as an average
	InFlight    float64      `json:"InHand"`
	Leases      []LeaseState `json:"Loans"`
	LastDenial  Denial       `json:"Refused"` // zero for none
}

// LeaseState is one lease. From is the grantor, To the holder; To is empty for what a former incarnation may have granted.
type LeaseState struct {
	From, To  string
	Amount    float64
	Remaining float64 `json:"For"` // ms until it expires
}

// State reports the allocation of the server called self, with at most maxReported leases of either direction.
func (a *Allocation) State(now float64, self string, maxReported int) (st AllocationState) {
	a.advance(now)
	st = AllocationState{
		Owned:      a.owned,
		Floor:      a.limit.Floor,
		Capacity:   a.capacity(),
		InFlight:   a.inFlight,
		Granted:    a.grantedSum,
		Leased:     a.leasedSum,
		LastDenial: a.lastDenial,
	}
	if st.LastDenial.By != "" {
		st.LastDenial.Age = now - a.lastDenialAt
	}
	st.Usage, st.UnmetDemand = a.demand()
	for _, l := range a.granted[:min(maxReported, len(a.granted))] {
		st.Leases = append(st.Leases, LeaseState{From: self, To: l.peer, Amount: l.amount, Remaining: l.expires - now})
	}
	for _, l := range a.leased[:min(maxReported, len(a.leased))] {
		st.Leases = append(st.Leases, LeaseState{From: l.peer, To: self, Amount: l.amount, Remaining: l.expires - now})
	}
	return st
}
