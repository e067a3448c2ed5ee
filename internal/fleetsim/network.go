package fleetsim

import "math/rand/v2"

// This file models the network between servers. It has the rules of the test bed's relays, but for sets of servers instead of
// pairs, since simulated fleets are large.

// serverSet is a bit set of server indexes; nil holds every server.
type serverSet []uint64

func newServerSet(n int, indexes []int32) serverSet {
	s := make(serverSet, (n+63)/64)
	for _, i := range indexes {
		s[i/64] |= 1 << (i % 64)
	}
	return s
}

func (s serverSet) has(i int32) bool { return s == nil || s[i/64]&(1<<(i%64)) != 0 }

// networkRule is a fault on the way from one set of servers to another. Rates are probabilities.
type networkRule struct {
	from        serverSet
	to          serverSet
	cut         bool
	dropRate    float64
	disturbRate float64 // each of: corrupted, duplicated, reordered
	delayMs     float64 // added to every packet
	jitterMs    float64 // and evenly up to so much more
}

const (
	networkDelayMs = 0.5  // without rules, and evenly up to as much again
	reorderDelayMs = 60.0 // added to a packet that others overtake
)

// network carries packets. Packets never pass a cut.
type network struct {
	rules     []networkRule
	rand      *rand.Rand
	delivered uint64
	dropped   uint64
}

// isOpen reports whether no rule cuts a direction.
func (n *network) isOpen(from, to int32) bool {
	for i := range n.rules {
		if r := &n.rules[i]; r.cut && r.from.has(from) && r.to.has(to) {
			return false
		}
	}
	return true
}

// transmit draws the delay in ms after which a packet arrives, and the one of its duplicate; negative for never.
func (n *network) transmit(from, to int32) (first, duplicate float64) {
	first = networkDelayMs + networkDelayMs*n.rand.Float64()
	duplicate = -1
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
		if r.disturbRate <= 0 {
			continue
		}
		if n.rand.Float64() < r.disturbRate { // corrupted: the receiver drops it for its checksum
			n.dropped++
			return -1, -1
		}
		if n.rand.Float64() < r.disturbRate {
			duplicate = first + networkDelayMs
		}
		if n.rand.Float64() < r.disturbRate {
			first += reorderDelayMs
		}
	}
	n.delivered++
	return first, duplicate
}
