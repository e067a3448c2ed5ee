package control

import "math"

const (
	// minShares is the least number of shares in which slow start admits traffic: its steps are a twentieth of the
	// traffic at most.
	minShares = 20
	// durationFraction is the duration of slow start over the longest warm-up: most servers are warm well before its
	// end, and what slow start rejects the rest of a fleet that is being replaced must run.
	durationFraction = 0.35
	// slowStartStep is the time in ms between two rises of the admitted share.
	slowStartStep = 1000
)

// slowStart is the rising share of callers that a cold server admits, after the AppOptics post "Zero-Downtime AWS ALB
// Deployments": percentEnabled rises linearly with the whole seconds since the start, and a caller is admitted if the
// hash of its number modulo 100 is not above it.
type slowStart struct {
	complete        bool
	startedAt       float64 // clock value in ms
	duration        float64 // ms
	subjectParts    uint64  // few callers are split by subject into so many parts each
	salt            uint64  // of the hash
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

// admits tells whether slow start admits a caller. The share never falls, so a caller that was admitted stays so. Where
// callers are few, each is split by the subject of its RPCs: a hashed share of three callers is no share of the traffic.
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
	h := mix(uint64(caller) ^ s.salt) // salted, or successive servers would all reject the same callers
	if s.subjectParts > 1 {
		if subject == 0 {
			subject = uint64(id)
		}
		h = mix(h + mix(subject)%s.subjectParts)
	}
	return float64(h%100) <= s.admittedPercent
}
