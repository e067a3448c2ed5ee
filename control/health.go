package control

// health is the health state that is reported to health checks. A server is unhealthy while arrivals wait unread until
// they are too old, because only a pause without traffic lets it catch up, and while it rejects a large part of its
// traffic and other servers do not. It stays on the endpoint list for at least a third of the time, so that the list
// does not become empty when the whole fleet is overloaded.
type health struct {
	healthy   bool
	changedAt float64 // clock value in ms
}

// update updates the state and reports whether it changed. unreadWait is the time that arrivals wait before they are
// read, as a multiple of the shortest latency objective; overloadedAlone is whether only this server is overloaded.
func (h *health) update(now, unreadWait float64, overloadedAlone bool) bool {
	const (
		flooded        = 1.0    // unreadWait above which arrivals are too old when read
		minUnhealthy   = 1000.0 // ms, about the time to drain the queue; later it is idle and all callers return together
		maxUnhealthy   = 4000.0 // ms, enough to read the backlog; an overloaded fleet must not disappear from the list
		healthyAlone   = 3000.0 // ms; three quarters of the time on the list, as only part of the traffic is excessive
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
