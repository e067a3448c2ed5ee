package outlier

// This file returns ejected members to use: when the return begins, over the whole fleet at one time, and the ramp.

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

const (
	healthCheckers  = 2 // servers that send health checks to an ejected member
	returnSuccesses = 3 // successes in a row of one of them, and the member may return

	// returnNotice (ms) is how long a return is announced before it begins, so that all begin it together: most of 300
	// servers receive a report within it.
	returnNotice    = 2000.0
	initialFraction = 0.05 // of the callers, for a member that has just returned
)

// mayReturn tells whether a member that was ejected for long enough may return: some observer got successes in a row, and
// none met failures as fresh; or nobody knows anything of it any more, since stale evidence must not keep it ejected.
// rejected tells whether the evidence keeps it ejected whatever else is known.
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

// updateRecovery decides when an ejected member begins to return, and restores it once it does. The first server that may
// restore it announces that, and begins only when the others have received it; those begin with it, whatever their own
// ejection times, so that the ramp is one over the fleet. If the member fails meanwhile, it stays ejected.
func (d *Detector) updateRecovery(now float64, m *Member, observers []Report) {
	may, rejected := d.mayReturn(m, observers)
	if rejected {
		m.returnsAt = 0
		return
	}
	announcedAt, announced := d.announcedReturn(now, m.Name, observers[1:])
	// A return that has begun goes on unless the member fails: the successes that it was begun by fade, and those that
	// received the announcement may not have received them.
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

// announcedReturn is the earliest return of a member that peers announced in fresh reports.
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

// restore puts a member back in use, its ramp as of a given time.
func (d *Detector) restore(m *Member, at float64) {
	m.Ejected = false
	m.Since = at
	m.HealthChecker = false
	m.returnsAt = 0
	d.events = append(d.events, *m)
}

// TryHealthCheck tells whether an RPC may be sent to an ejected member as a health check, and counts it as sent. Only a
// few servers send them, first every second, then more rarely.
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

// isHealthChecker tells whether this server is one of the few that send health checks to a member, by rendezvous hashing
// over the reachable servers.
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

// TrafficFraction is the fraction of the callers whose RPCs a member in use gets: all, but for one that returns. AcceptsCaller
// tells which callers these are.
func (d *Detector) TrafficFraction(now float64, m *Member) float64 {
	if d.config.RecoveryRamp <= 0 {
		return 1
	}
	return math.Min(1, math.Max(initialFraction, (now-m.Since)/d.config.RecoveryRamp))
}

// AcceptsCaller tells whether a member with a traffic fraction gets the RPCs of a caller, given as a hash: the same callers
// at every server.
func AcceptsCaller(member string, caller uint64, fraction float64) bool {
	if fraction >= 1 {
		return true
	}
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], caller)
	return float64(rendezvousWeight(member, string(key[:]))>>11)/(1<<53) < fraction // 53 bits: a uniform float64 in [0, 1)
}

// rendezvousWeight is that of highest random weight hashing (D. Thaler, C. Ravishankar, 1998).
func rendezvousWeight(member, server string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(member))
	h.Write([]byte{0})
	h.Write([]byte(server))
	// Mixed as by MurmurHash3's finalizer, since FNV's high bits tell little of the last bytes.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
