package fleetsim

// This file owns the news that a server passes on: the least sent first, of one time in the order of their coming, each a
// bounded number of times; newer news of a server takes the place of older. It is buckets by how often they were sent, so
// that a packet costs what it takes and not what there is. It must never pass on what has been replaced.

// news is one server's. Entries that were replaced lie in their buckets until they come up, or until there are too many.
type news struct {
	buckets []bucket
	live    int // that are still passed on
	held    int // with those that were replaced
	low     int32
	marks   [][2]uint32 // the number of the live entry by whom it is about, from low on: of states, and of records; 0 for none
	number  uint32
}

type bucket struct {
	all  []entry
	head int
}

type entry struct {
	update
	number uint32
}

// clear forgets all; what comes is about so many, from low on.
func (n *news) clear(low, many int32) {
	if n.marks == nil {
		n.low, n.marks = low, make([][2]uint32, many)
	}
	for i := range n.buckets {
		n.buckets[i] = bucket{all: n.buckets[i].all[:0]}
	}
	n.live, n.held = 0, 0
	clear(n.marks)
}

func (n *news) mark(u *update) *uint32 {
	if m := &n.marks[u.about-n.low]; u.state == pulsed {
		return &m[1]
	} else {
		return &m[0]
	}
}

// put adds one, never sent, in place of an older one.
func (n *news) put(u update) {
	mark := n.mark(&u)
	if *mark == 0 {
		n.live++
	}
	n.number++
	*mark = n.number
	n.push(0, entry{u, n.number})
	if n.held > 2*n.live+64 {
		n.tidy()
	}
}

func (n *news) push(sent int, e entry) {
	for len(n.buckets) <= sent {
		n.buckets = append(n.buckets, bucket{})
	}
	n.buckets[sent].all = append(n.buckets[sent].all, e)
	n.held++
}

func (n *news) stands(e *entry) bool { return *n.mark(&e.update) == e.number }

// ends is an entry that is not passed on any more.
func (n *news) ends(e *entry) {
	*n.mark(&e.update) = 0
	n.live--
}

// take appends up to most of them, each of which is passed on limit times, half as often if it is a record.
func (n *news) take(into []update, most, limit int) []update {
	times := func(e *entry) int {
		if e.state == pulsed {
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
		for i := b.head; i < len(b.all) && count < room; i++ {
			if n.stands(&b.all[i]) && upTo < times(&b.all[i]) {
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
		for b.head < len(b.all) && left > 0 {
			e := b.all[b.head]
			b.head++
			n.held--
			if !n.stands(&e) {
				continue
			}
			if sent >= times(&e) { // the limit has become less
				n.ends(&e)
				continue
			}
			left--
			into = append(into, e.update)
			if sent+1 < times(&e) {
				n.push(sent+1, e)
				b = &n.buckets[sent]
			} else {
				n.ends(&e)
			}
		}
		if b.head > len(b.all)/2 {
			b.all, b.head = append(b.all[:0], b.all[b.head:]...), 0
		}
	}
	return into
}

// tidy drops what was replaced.
func (n *news) tidy() {
	n.held = 0
	for i := range n.buckets {
		b := &n.buckets[i]
		keep := b.all[:0]
		for _, e := range b.all[b.head:] {
			if n.stands(&e) {
				keep = append(keep, e)
			}
		}
		b.all, b.head = keep, 0
		n.held += len(keep)
	}
}
