package control

import "math"

// slowStart is the rising share of callers that a cold server takes.
type slowStart struct {
	warm          bool
	begin, length float64
	parts, salt   uint64 // few callers are split in so many parts each
	most          float64
}

// finest is the least number of shares: the ramp's steps are a twentieth of the traffic at most.
const finest = 20

// slowest makes the ramp's length of the longest warm-up told: most servers are warm well before, and what
// the ramp pushes back the rest of a fleet that is being replaced must run.
const slowest = 0.35

func newSlowStart(cold bool, warmBy float64, callers int, salt uint64) slowStart {
	parts := uint64((finest + callers - 1) / callers)
	return slowStart{warm: !cold, length: slowest * warmBy, parts: parts, salt: salt}
}

// takes tells whether the ramp lets a caller in. The share never falls, so a caller once in stays in. Where
// callers are few, each is split by subject: a hashed share of three callers is no share of the traffic.
func (p *slowStart) takes(now float64, caller uint16, subject uint64, id uint32) bool {
	if p.warm {
		return true
	}
	percent := math.Floor((now-p.begin)/1000) * 1000 / p.length * 100
	p.most = math.Max(p.most, percent)
	if p.most >= 100 {
		p.warm = true
		return true
	}
	h := mix(uint64(caller) ^ p.salt) // salted, lest successors all shut out the same callers
	if p.parts > 1 {
		if subject == 0 {
			subject = uint64(id)
		}
		h = mix(h + mix(subject)%p.parts)
	}
	return float64(h%100) <= p.most
}
