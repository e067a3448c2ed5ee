package outlier

// This file restores ejected members: it coordinates the start of a return over the fleet, and computes the traffic ramp.

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

const (
	healthCheckers  = 2 // servers that send health checks to an ejected member
	returnSuccesses = 3 // consecutive successes of one observer after which the member may return

	// returnNotice is the time in ms between the announcement of a return and its start, so that all servers start it
	// together. Most servers of a fleet of 300 receive a report within this time.
	returnNotice    = 2000.0
	initialFraction = 0.05 // fraction of the callers at the start of the ramp
)

// mayReturn reports in may whether the evidence allows an ejected member to return, leaving aside how long it has been
// ejected. The member may return if an observer saw returnSuccesses successes in a row and no observer reports recent
// failures. Without recent failures it may also return if it was ejected only as slow or busy and is neither any more, or if
// there is no recent evidence at all, since stale evidence must not keep a member ejected. rejected is true if the evidence
// keeps the member ejected even if a peer has announced its return.
func (d *Detector) mayReturn(m *Member, observers []Report) (may, rejected bool) {
	succeeded := false
	failed := false
	for i := range observers {
		o := &observers[i]
		for k := range o.Summaries {
			s := &o.Summaries[k]
			if s.Member != m.Name || s.Age+o.Age > maxHealthCheckInterval+freshAge || credibility(o) <= unreliableTrust && i > 0 {
				continue
			}
			succeeded = succeeded || s.Run >= returnSuccesses
			failed = failed || s.Run < 0
		}
	}
	switch {
	case m.Condition == Slow || m.Condition == Busy:
		return false, true
	case succeeded && !failed:
		return true, false
	case m.Condition == Failing || m.Condition == FailingLocally:
		return false, true
	}
	return !failed && (!m.observed || m.performanceOnly), failed
}

// updateRecovery decides when an ejected member returns, and restores it at that time. The first server that may restore it
// announces the return and waits until its peers have received the announcement. They start at the same time regardless of
// their own ejection times, so that the ramp is the same over the fleet. If the member fails in the meantime, it stays
// ejected.
func (d *Detector) updateRecovery(now float64, m *Member, observers []Report) {
	may, rejected := d.mayReturn(m, observers)
	if rejected {
		m.returnsAt = 0
		return
	}
	announcedAt, announced := d.announcedReturn(now, m.Name, observers[1:])
	// An announced return proceeds unless the member fails, without checking may again: the successes that allowed it
	// decay, and a peer that received the announcement may not have received them.
	if !announced && m.returnsAt == 0 && (!may || now < m.EjectedUntil) {
		return
	}
	if m.returnsAt == 0 {
		m.returnsAt = now
		if len(observers) > 1 {
			m.returnsAt += returnNotice
		}
	}
	if announced {
		m.returnsAt = math.Max(math.Min(m.returnsAt, announcedAt), m.Since)
	}
	if now >= m.returnsAt {
		d.restore(m, m.returnsAt)
	}
}

// announcedReturn returns the earliest start of a member's return that peers announced in fresh reports.
func (d *Detector) announcedReturn(now float64, name string, peers []Report) (at float64, announced bool) {
	at = math.Inf(1)
	for i := range peers {
		p := &peers[i]
		if p.Age > freshAge {
			continue
		}
		for _, r := range p.Recoveries {
			if r.Member == name && r.Elapsed+p.Age < d.config.RecoveryRamp {
				at = math.Min(at, now-r.Elapsed-p.Age)
				announced = true
			}
		}
	}
	return at, announced
}

// restore puts a member back in use, with a ramp that starts at the given time.
func (d *Detector) restore(m *Member, at float64) {
	m.Ejected = false
	m.Since = at
	m.HealthChecker = false
	m.returnsAt = 0
	d.events = append(d.events, *m)
}

// TryHealthCheck reports whether an RPC may be sent to an ejected member as a health check. If so, it records the health
// check as sent. Only a few servers send health checks, at first one per second, then fewer.
func (d *Detector) TryHealthCheck(now float64, member string) bool {
	for _, m := range d.members {
		if m.Name == member && m.Ejected && m.HealthChecker && now-m.lastHealthCheck >= m.healthCheckInterval {
			m.lastHealthCheck = now
			m.healthCheckInterval = math.Min(maxHealthCheckInterval, 2*m.healthCheckInterval)
			return true
		}
	}
	return false
}

// isHealthChecker reports whether this server sends health checks to a member. The servers that do so are selected by
// rendezvous hashing over the reachable servers.
func (d *Detector) isHealthChecker(member string, reachable []string) bool {
	own := rendezvousWeight(member, d.self)
	before := 0
	for _, name := range reachable {
		if name != d.self && rendezvousWeight(member, name) > own {
			before++
		}
	}
	return before < healthCheckers
}

// TrafficFraction returns the fraction of callers whose RPCs a member in use receives. It is below 1 only during the ramp
// after an ejection. AcceptsCaller selects the callers.
func (d *Detector) TrafficFraction(now float64, m *Member) float64 {
	if d.config.RecoveryRamp <= 0 {
		return 1
	}
	return math.Min(1, math.Max(initialFraction, (now-m.Since)/d.config.RecoveryRamp))
}

// AcceptsCaller reports whether a member with the given traffic fraction receives the RPCs of a caller, identified by a
// hash. The result is the same at every server.
func AcceptsCaller(member string, caller uint64, fraction float64) bool {
	if fraction >= 1 {
		return true
	}
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], caller)
	return float64(rendezvousWeight(member, string(key[:]))>>11)/(1<<53) < fraction // the upper 53 bits as a uniform float64 in [0, 1)
}

// rendezvousWeight returns the weight of a server for a member in rendezvous hashing, also known as highest random weight
// hashing (D. Thaler, C. Ravishankar, 1998).
func rendezvousWeight(member, server string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(member))
	h.Write([]byte{0})
	h.Write([]byte(server))
	// Mix the bits as MurmurHash3's finalizer does, because the last input bytes hardly affect the high bits of FNV.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
