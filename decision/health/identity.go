package health

// This file owns which start of its name a server is. Nothing that lasts tells it, and no clock: it learns from its peers
// which starts they have seen, and goes one further. It must never give way to a former life of its own.

// Identity is a server's own.
type Identity struct {
	Generation, Incarnation uint64 // the start's number, and a draw that tells two processes of one number apart
	raised                  []float64
}

// Two processes that bear one name raise their starts against each other without end; one that restarted raises its own
// once for what its former life left, perhaps once more for what was still under way.
const (
	twinRaises = 4
	twinWithin = 10e3 // ms
)

// Refute is told of a record of the own name. raised: the own start had to be raised, and all that was said must be said
// again under it. twin: another process bears the name.
func (i *Identity) Refute(now float64, start, life uint64) (raised, twin bool) {
	if life == i.Incarnation || start < i.Generation {
		return false, false
	}
	i.Generation = start + 1
	keep := i.raised[:0]
	for _, at := range i.raised {
		if now-at < twinWithin {
			keep = append(keep, at)
		}
	}
	i.raised = append(keep, now)
	if len(i.raised) > twinRaises {
		i.raised = i.raised[1:]
		return true, true
	}
	return true, len(i.raised) == twinRaises
}
