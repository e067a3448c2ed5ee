package control

import "math"

const oneTry = 1.0 / 32 // its weight in the parts of tries: thirty of memory, some seconds of traffic

// tries tells from what has been read of late whether servers push back all over the fleet, and sets after
// what time idle connections are closed. Where further tries are not marked all count as first ones.
type tries struct {
	marks                bool
	firsts, ends         float64 // first tries read and runs ended, two seconds' worth
	marked, pushed       float64 // parts of the latest tries that were marked, and pushed back on arrival
	reach                float64 // for how long callers heed what they hear, in seconds, over their number
	idle, notified, most float64 // after what time idle connections are closed
}

func (t *tries) read(again bool) {
	t.marked -= oneTry * t.marked
	t.pushed -= oneTry * t.pushed
	if again {
		t.marked += oneTry
	} else {
		t.firsts++
	}
}

// everywhere tells whether a pushback would most likely meet the next. Each costs the fleet a read and
// often a connection, a fifth of a run together; where all are full it gains but the place of another RPC.
// A server slow by itself reads few marked tries, so those it can't take go on; unmarked, it looks like a
// flood.
func (t *tries) everywhere() bool {
	const (
		marked = 0.15 // of the tries were pushed back elsewhere: a fleet with room for most has under a tenth
		lost   = 0.5  // unmarked: of first and further tries, two for each run that ends
	)
	return t.marked > marked || !t.marks && t.firsts > t.ends/(1-lost)
}

// alone tells whether this server pushes back much and others do not, and its callers hear from it too
// seldom to heed what it says: it is slower than the rest or draws more, and the list has to tell them. It
// guards against slow machines and hot subjects; where nobody tries again, a full fleet looks the same.
func (t *tries) alone() bool {
	const (
		much = 0.3  // pushed back: a server of the usual load has half of that by chance
		few  = 0.17 // marked: about the same; off a list that then fails to follow, a server stays idle
	)
	return t.marks && t.pushed > much && t.marked < few && t.firsts*t.reach < 1
}

// step sets the idle limit. Most callers of a large fleet come back to one server long after: what they
// leave open fills the table, which slows the cores and shuts others out, so connections are closed soon.
// In a flood of first tries that fills the cores with reading and opening, the full table is the one way to
// turn away what costs nothing to read: they are kept longer the longer it lasts.
func (t *tries) step(unread float64, calm bool) bool {
	const (
		least  = 1000.0 // at a few callers each comes back sooner
		flood  = 3.0    // first tries for each run that ends: reading them takes half the cores or so
		unseen = 0.3    // of the tightest latency target waited unread: connections queue what is too old when read
		grow   = 1.15   // from a second to ten in three
		fall   = 0.95   // and back in nine
	)
	t.firsts, t.ends = 0.9*t.firsts, 0.9*t.ends
	change := fall
	if calm || t.firsts > flood*math.Max(1, t.ends) || unread > unseen {
		change = grow
	}
	t.idle = math.Min(t.most, math.Max(least, t.idle*change))
	if math.Abs(t.idle-t.notified) <= 0.1*t.notified {
		return false // too small a change to tell
	}
	t.notified = t.idle
	return true
}
