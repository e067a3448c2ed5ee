package fleetsim

// This file owns the news that a server passes on: the least sent first, of one time in the order of their coming, each a
// bounded number of times; newer news of a server takes the place of older. It is buckets by how often they were sent, so
// that a packet costs what it takes and not what there is. It must never pass on what has been replaced.

// updateQueue is one server's. Entries that were replaced lie in their buckets until they come up, or until there are too many.
type updateQueue struct {
	buckets      []bucket
	pending      int // that are still passed on
	stored       int // with those that were replaced
	first        int32
	latest       [][2]uint32 // the number of the live entry by whom it is about, from low on: of states, and of records; 0 for none
	lastSequence uint32
}

type bucket struct {
	entries []entry
	head    int
}

type entry struct {
	update
	sequence uint32
}

// reset forgets all; what comes is about so many, from low on.
func (n *updateQueue) reset(low, many int32) {
	if n.latest == nil {
		n.first, n.latest = low, make([][2]uint32, many)
	}
	for i := range n.buckets {
		n.buckets[i] = bucket{entries: n.buckets[i].entries[:0]}
	}
	n.pending, n.stored = 0, 0
	clear(n.latest)
}

func (n *updateQueue) latestOf(u *update) *uint32 {
	if m := &n.latest[u.subject-n.first]; u.state == heartbeat {
		return &m[1]
	} else {
		return &m[0]
	}
}

// add adds one, never sent, in place of an older one.
func (n *updateQueue) add(u update) {
	mark := n.latestOf(&u)
	if *mark == 0 {
		n.pending++
	}
	n.lastSequence++
	*mark = n.lastSequence
	n.push(0, entry{u, n.lastSequence})
	if n.stored > 2*n.pending+64 {
		n.compact()
	}
}

func (n *updateQueue) push(sent int, e entry) {
	for len(n.buckets) <= sent {
		n.buckets = append(n.buckets, bucket{})
	}
	n.buckets[sent].entries = append(n.buckets[sent].entries, e)
	n.stored++
}

func (n *updateQueue) isCurrent(e *entry) bool { return *n.latestOf(&e.update) == e.sequence }

// retire is an entry that is not passed on any more.
func (n *updateQueue) retire(e *entry) {
	*n.latestOf(&e.update) = 0
	n.pending--
}

// take appends up to most of them, each of which is passed on limit times, half as often if it is a record.
func (n *updateQueue) take(into []update, most, limit int) []update {
	times := func(e *entry) int {
		if e.state == heartbeat {
			return (limit + 1) / 2
		}
		return limit
	}
	// From the last bucket down, so that what is taken is not met again.
	room := most - len(into)
	upTo, part := 0, 0 // all of the buckets below upTo are taken, and part of that one
	for ; upTo < len(n.buckets) && room > 0; upTo++ {
		count := 0
		b := &n.buckets[upTo]
		for i := b.head; i < len(b.entries) && count < room; i++ {
			if n.isCurrent(&b.entries[i]) && upTo < times(&b.entries[i]) {
				count++
			}
		}
		if part = count; count == room {
			break
		}
		room -= count
	}
	for sent := min(upTo, len(n.buckets)-1); sent >= 0; sent-- {
		left := most
		if sent == upTo {
			left = part
		}
		b := &n.buckets[sent]
		for b.head < len(b.entries) && left > 0 {
			e := b.entries[b.head]
			b.head++
			n.stored--
			if !n.isCurrent(&e) {
				continue
			}
			if sent >= times(&e) { // the limit has become less
				n.retire(&e)
				continue
			}
			left--
			into = append(into, e.update)
			if sent+1 < times(&e) {
				n.push(sent+1, e)
				b = &n.buckets[sent]
			} else {
				n.retire(&e)
			}
		}
		if b.head > len(b.entries)/2 {
			b.entries, b.head = append(b.entries[:0], b.entries[b.head:]...), 0
		}
	}
	return into
}

// compact drops what was replaced.
func (n *updateQueue) compact() {
	n.stored = 0
	for i := range n.buckets {
		b := &n.buckets[i]
		keep := b.entries[:0]
		for _, e := range b.entries[b.head:] {
			if n.isCurrent(&e) {
				keep = append(keep, e)
			}
		}
		b.entries, b.head = keep, 0
		n.stored += len(keep)
	}
}
