package fleetsim

// This file owns what becomes of a packet on its way between two servers: the same rules as the fault bed's relay, by sets
// instead of pairs, since fleets here are large. It must never deliver what is cut.

import (
	"math/rand/v2"
)

// serverSet is some servers, by number.
type serverSet []uint64

func newServerSet(n int, all []int32) serverSet {
	s := make(serverSet, (n+63)/64)
	for _, i := range all {
		s[i/64] |= 1 << (i % 64)
	}
	return s
}

func (s serverSet) has(i int32) bool { return s == nil || s[i/64]&(1<<(i%64)) != 0 }

// networkRule is what happens between two sets; nil is everybody.
type networkRule struct {
	from, to              serverSet
	cut                   bool
	dropRate, disturbRate float64
	delayMs, jitterMs     float64 // ms
}

// The network without rules: half a millisecond on the way, and up to as much again.
const (
	networkDelayMs = 0.5
	reorderDelayMs = 60.0
)

// network is the network.
type network struct {
	rules     []networkRule
	rand      *rand.Rand
	delivered uint64
	dropped   uint64
}

// isOpen tells whether nothing is cut on a way.
func (n *network) isOpen(from, to int32) bool {
	for i := range n.rules {
		if r := &n.rules[i]; r.cut && r.from.has(from) && r.to.has(to) {
			return false
		}
	}
	return true
}

// transmit is after how long a packet arrives, and again if it is doubled; negative for never.
func (n *network) transmit(from, to int32) (first, again float64) {
	first, again = networkDelayMs+networkDelayMs*n.rand.Float64(), -1
	for i := range n.rules {
		r := &n.rules[i]
		if !r.from.has(from) || !r.to.has(to) {
			continue
		}
		if r.cut || r.dropRate > 0 && n.rand.Float64() < r.dropRate {
			n.dropped++
			return -1, -1
		}
		first += r.delayMs
		if r.jitterMs > 0 {
			first += r.jitterMs * n.rand.Float64()
		}
		if r.disturbRate > 0 {
			if n.rand.Float64() < r.disturbRate { // spoilt: the sum at its end does not fit, and it is dropped
				n.dropped++
				return -1, -1
			}
			if n.rand.Float64() < r.disturbRate {
				again = first + networkDelayMs
			}
			if n.rand.Float64() < r.disturbRate {
				first += reorderDelayMs
			}
		}
	}
	n.delivered++
	return first, again
}
