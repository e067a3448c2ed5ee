package health

// This file determines which generation of its name a server is. No durable state and no clock tells it: a server learns
// from its peers which generations they have seen, and takes the next one, as SWIM members refute suspicions by raising
// their incarnation number. It must never give way to a former incarnation of its own.

// Identity is a server's own generation and incarnation.
type Identity struct {
	Generation  uint64 // counts starts of this name; raised by Refute
	Incarnation uint64 // random, tells apart two processes of one generation
	refutations []float64
}

// Two processes with one name raise their generations against each other without end. One that restarted raises its own
// once for what its former incarnation left, perhaps once more for records that were still in transit.
const (
	duplicateRefutations = 4
	duplicatePeriod      = 10e3 // ms
)

// Refute takes a record under the server's own name. refuted: the server's generation had to be raised, and all its
// records must be published again under it. duplicate: another process uses the name.
func (id *Identity) Refute(now float64, generation, incarnation uint64) (refuted, duplicate bool) {
	if incarnation == id.Incarnation || generation < id.Generation {
		return false, false
	}
	id.Generation = generation + 1
	recent := id.refutations[:0]
	for _, at := range id.refutations {
		if now-at < duplicatePeriod {
			recent = append(recent, at)
		}
	}
	id.refutations = append(recent, now)
	if len(id.refutations) > duplicateRefutations {
		id.refutations = id.refutations[1:]
		return true, true
	}
	return true, len(id.refutations) == duplicateRefutations
}
