package quota

// This file defines the status report of an allocation. Fleet status prints these types as JSON under the names in the tags.

// Counts are totals of one allocation since the start of the process.
type Counts struct {
	Admitted   uint64 `json:"Taken"`  // calls of TryAcquire that succeeded
	Rejected   uint64 `json:"Turned"` // calls of TryAcquire that failed
	Requested  uint64 `json:"Asked"`  // lease requests sent, renewals included
	Granted    uint64 // new leases granted to peers
	Denied     uint64 // requests of this server that were denied
	Leased     uint64 `json:"Borrowed"` // new leases received from peers
	Released   uint64 `json:"Returned"` // leases relinquished before they expired
	LateGrants uint64 `json:"Late"`     // grants that were late, duplicate or invalid, and therefore not used
	Renewed    uint64 // renewals, as grantor or holder
}

// AllocationState is the state of an allocation. Amounts are in items per second, or in flight.
type AllocationState struct {
	Owned       float64      `json:"Own"`
	Floor       float64      // of Owned, never granted
	Granted     float64      `json:"Lent"`     // to peers
	Leased      float64      `json:"Borrowed"` // from peers
	Capacity    float64      `json:"Part"`     // may be used now
	Usage       float64      `json:"Use"`
	UnmetDemand float64      `json:"Need"` // rejected demand, as a moving average
	InFlight    float64      `json:"InHand"`
	Leases      []LeaseState `json:"Loans"`
	LastDenial  Denial       `json:"Refused"` // zero value if there was none
}

// LeaseState is the state of one lease. From is the grantor and To the holder. To is empty for capacity that a former
// incarnation may have granted.
type LeaseState struct {
	From, To  string
	Amount    float64
	Remaining float64 `json:"For"` // ms until it expires
}

// State returns the state of the allocation. self is the name of this server. At most maxReported leases per direction are
// listed.
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
