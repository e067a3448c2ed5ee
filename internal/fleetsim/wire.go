package fleetsim

// This file owns what becomes of a packet on its way between two servers: the same rules as the fault bed's relay, by sets
// instead of pairs, since fleets here are large. It must never deliver what is cut.

import (
	"math/rand/v2"
)

// set is some servers, by number.
type set []uint64

func setOf(n int, all []int32) set {
	s := make(set, (n+63)/64)
	for _, i := range all {
		s[i/64] |= 1 << (i % 64)
	}
	return s
}

func (s set) has(i int32) bool { return s == nil || s[i/64]&(1<<(i%64)) != 0 }

// rule is what happens between two sets; nil is everybody.
type rule struct {
	from, to      set
	cut           bool
	drop, mess    float64
	delay, spread float64 // ms
}

// The network without rules: half a millisecond on the way, and up to as much again.
const (
	wayMs       = 0.5
	overtakenMs = 60.0
)

// wire is the network.
type wire struct {
	rules  []rule
	chance *rand.Rand
	passed uint64
	lost   uint64
}

// open tells whether nothing is cut on a way.
func (w *wire) open(from, to int32) bool {
	for i := range w.rules {
		if r := &w.rules[i]; r.cut && r.from.has(from) && r.to.has(to) {
			return false
		}
	}
	return true
}

// fate is after how long a packet arrives, and again if it is doubled; negative for never.
func (w *wire) fate(from, to int32) (first, again float64) {
	first, again = wayMs+wayMs*w.chance.Float64(), -1
	for i := range w.rules {
		r := &w.rules[i]
		if !r.from.has(from) || !r.to.has(to) {
			continue
		}
		if r.cut || r.drop > 0 && w.chance.Float64() < r.drop {
			w.lost++
			return -1, -1
		}
		first += r.delay
		if r.spread > 0 {
			first += r.spread * w.chance.Float64()
		}
		if r.mess > 0 {
			if w.chance.Float64() < r.mess { // spoilt: the sum at its end does not fit, and it is dropped
				w.lost++
				return -1, -1
			}
			if w.chance.Float64() < r.mess {
				again = first + wayMs
			}
			if w.chance.Float64() < r.mess {
				first += overtakenMs
			}
		}
	}
	w.passed++
	return first, again
}
