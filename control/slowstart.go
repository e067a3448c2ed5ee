package control

import "math"

const (
	// minShares is the minimum number of parts into which slow start divides the traffic: the admitted share rises by
	// at most 5% of the traffic at a time.
	minShares = 20
	// durationFraction is the duration of slow start as a fraction of the longest warm-up. Most servers are warm well
	// before the longest warm-up ends, and the other servers of a fleet that is being replaced must run the RPCs that
	// slow start rejects.
	durationFraction = 0.35
	// slowStartStep is the time in ms between two increases of the admitted share.
	slowStartStep = 1000
)

// slowStart computes the increasing share of callers that a cold server admits, as described in the AppOptics post
// "Zero-Downtime AWS ALB Deployments": the percentage of admitted callers (percentEnabled there) rises linearly with
// the whole seconds since the start, and a caller is admitted if the hash of its number modulo 100 does not exceed it.
type slowStart struct {
	complete        bool
	startedAt       float64 // clock value in ms
	duration        float64 // ms
	subjectParts    uint64  // number of parts into which each caller is divided by subject; above 1 if there are few callers
	salt            uint64  // salt of the hash
	admittedPercent float64
}

func newSlowStart(warmingUp bool, warmUpTime float64, callers int, salt uint64) slowStart {
	return slowStart{
		complete:     !warmingUp,
		duration:     durationFraction * warmUpTime,
		subjectParts: uint64((minShares + callers - 1) / callers),
		salt:         salt,
	}
}

// admits reports whether slow start admits an RPC of a caller. The share never decreases, so an admitted caller stays
// admitted. If there are few callers, each is divided by the subjects of its RPCs, because a share of, say, three
// hashed callers does not correspond to a share of the traffic.
func (s *slowStart) admits(now float64, caller uint16, subject uint64, id uint32) bool {
	if s.complete {
		return true
	}
	percent := math.Floor((now-s.startedAt)/slowStartStep) * slowStartStep / s.duration * 100
	s.admittedPercent = math.Max(s.admittedPercent, percent)
	if s.admittedPercent >= 100 {
		s.complete = true
		return true
	}
	h := mix(uint64(caller) ^ s.salt) // without the salt, servers started one after another would all reject the same callers
	if s.subjectParts > 1 {
		if subject == 0 {
			subject = uint64(id)
		}
		h = mix(h + mix(subject)%s.subjectParts)
	}
	return float64(h%100) <= s.admittedPercent
}
