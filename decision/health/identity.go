package health

// This file determines a server's generation, without durable state or a clock: a server learns from its peers which
// generations of its name they have seen and takes the next one, as SWIM members refute suspicions by raising their
// incarnation number. A server must never be superseded by an earlier incarnation of itself.

// Identity is a server's own generation and incarnation.
type Identity struct {
	Generation  uint64    // number of starts under this name; raised by Refute
	Incarnation uint64    // random, distinguishes two processes with the same generation
	refutations []float64 // times of recent refutations in ms
}

// Limits for detecting that two processes use the same name, which makes them raise their generations against each other
// forever. After a restart, a server raises its generation once for the records of its previous incarnation, and possibly
// once more for records that were still in transit.
const (
	duplicateRefutations = 4
	duplicatePeriod      = 10e3 // ms
)

// Refute processes a received record of the server's own name. refuted is true if the record made the server raise its
// generation; all its records must then be published again. duplicate is true if another process uses the same name.
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
