package control

// health is what health checks are told. A server is unhealthy while all that arrives waits unread until it is too old,
// as only a pause without traffic lets it catch up, and while it alone rejects a large part of its traffic. It stays on
// the endpoint list for at least a third of the time, so that a fleet that is flooded as a whole does not vanish from it.
type health struct {
	healthy   bool
	changedAt float64 // clock value in ms
}

// update takes the wait of arrivals before they are read, in tightest latency objectives, and whether this server alone
// is overloaded. It reports whether the state changed.
func (h *health) update(now, unreadWait float64, overloadedAlone bool) bool {
	const (
		flooded        = 1.0    // all that is read is too old
		minUnhealthy   = 1000.0 // ms, about what the queue takes to drain; after longer, callers find it idle and all come back
		maxUnhealthy   = 4000.0 // ms, enough to read what has piled up; a fleet flooded as a whole must not be gone
		healthyAlone   = 3000.0 // ms: three quarters of the time on the list, as only a part of the traffic is too much
		healthyFlooded = 2 * minUnhealthy
	)
	change := overloadedAlone && now > h.changedAt+healthyAlone ||
		unreadWait > flooded && now > h.changedAt+healthyFlooded
	if !h.healthy {
		change = now > h.changedAt+minUnhealthy && unreadWait < flooded || now > h.changedAt+maxUnhealthy
	}
	if change {
		h.healthy = !h.healthy
		h.changedAt = now
	}
	return change
}
