package pool

// member is the state of one endpoint of the pool. Times are in ms of the pool's clock.
type member struct {
	id       int
	addr     string
	removed  bool // no longer configured; deleted once it has no requests in flight
	draining bool // drained by an operator; gets no new requests

	inFlight    int
	requests    uint64  // total number assigned
	meanLatency float64 // moving average in ms; 0 before the first response
	samples     int     // responses since the last ejection
	silentSince float64 // time of the last response, or of the first request after an idle period

	failuresInARow   int
	ejection         EjectionReason // NotEjected while in use
	ejectedUntil     float64
	ejectionDuration float64 // of the last ejection
	returnedAt       float64 // end of the last ejection, or the time at which the member was added; -Inf for the initial members
	roundingDraw     float64 // in [0, 1), drawn again at each return; see connectionLimit
	callerShare      float64 // fraction of the callers that the fleet's decision admits to the member

	passedHealthCheck   bool // a check has succeeded since the ejection
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
	Ejection  EjectionReason // Draining takes precedence over any other reason
	InFlight  int
	Latency   float64 // moving average in ms; 0 if unknown
	LoadShare float64 // fraction of its connection limit that slow start allows, from 0.1 to 1
	Requests  uint64  // total number assigned
}

// MemberStates returns snapshots of the configured members in the order in which they were added.
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
