package pool

// member is what the pool knows of one endpoint. Times are in ms of the pool's clock.
type member struct {
	id       int
	addr     string
	removed  bool // no longer configured; deleted once nothing is in flight
	draining bool // an operator drains it: nothing new is sent

	inFlight    int
	requests    uint64  // ever assigned
	meanLatency float64 // moving average in ms; 0 before the first response
	samples     int     // responses since the last ejection
	silentSince float64 // last response, or the first request in flight after an idle time

	failuresInARow   int
	ejection         EjectionReason // NotEjected while in use
	ejectedUntil     float64
	ejectionDuration float64 // of the last ejection
	returnedAt       float64 // end of the last ejection; long past for a member that never left
	roundingDraw     float64 // in [0, 1), drawn anew at each return
	callerShare      float64 // fraction of the callers that the fleet's decision admits

	passedHealthCheck   bool // a check since the ejection has succeeded
	nextHealthCheck     float64
	healthCheckInFlight bool
}

// usable reports whether a member may get new requests.
func (m *member) usable() bool {
	return !m.removed && m.ejection == NotEjected && !m.draining
}

// MemberState is a snapshot of one member for status pages and metrics.
type MemberState struct {
	Addr      string
	Ejection  EjectionReason // Draining wins over any other reason
	InFlight  int
	Latency   float64 // moving average in ms; 0 if unknown
	LoadShare float64 // slow-start fraction of its connection limit, from 0.1 to 1
	Requests  uint64  // ever assigned to it
}

// MemberStates returns a snapshot of the configured members in their order.
func (p *Pool) MemberStates(now float64) (states []MemberState) {
	for _, m := range p.members {
		if m.removed {
			continue
		}
		reason := m.ejection
		if m.draining {
			reason = Draining
		}
		states = append(states, MemberState{
			Addr:      m.addr,
			Ejection:  reason,
			InFlight:  m.inFlight,
			Latency:   m.meanLatency,
			LoadShare: p.loadShare(now, m),
			Requests:  m.requests,
		})
	}
	return states
}
