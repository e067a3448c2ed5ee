package fleetsim

// This file holds the updates that a server still gossips, as memberlist's transmit-limited queue does: the least transmitted
// first, those alike in the order of their arrival, each a bounded number of times. They lie in buckets by their number of
// transmissions, so that filling a packet costs what it takes and not what is queued.

// updateQueue is one server's queue. Replaced entries stay in their buckets until they come up or there are too many.
type updateQueue struct {
	buckets      []bucket // by the number of transmissions
	pending      int      // entries that are still transmitted
	stored       int      // entries in the buckets, replaced ones included
	first        int32    // lowest subject
	latest       []sequences
	lastSequence uint32
}

// sequences are the numbers of the current entries about one subject; 0 for none.
type sequences struct {
	state     uint32
	heartbeat uint32
}

// bucket holds entries in the order of their arrival; those before head have been taken.
type bucket struct {
	entries []entry
	head    int
}

type entry struct {
	update
	sequence uint32
}

// staleEntries is how many replaced entries a queue may hold beyond twice those pending.
const staleEntries = 64

// reset empties the queue, for subjects from first on.
func (q *updateQueue) reset(first, subjects int32) {
	if q.latest == nil {
		q.first = first
		q.latest = make([]sequences, subjects)
	}
	for i := range q.buckets {
		q.buckets[i] = bucket{entries: q.buckets[i].entries[:0]}
	}
	q.pending = 0
	q.stored = 0
	clear(q.latest)
}

// latestOf returns where the number of the current entry of an update's subject stands.
func (q *updateQueue) latestOf(u *update) *uint32 {
	s := &q.latest[u.subject-q.first]
	if u.state == heartbeat {
		return &s.heartbeat
	}
	return &s.state
}

// add queues an update that was never sent, in place of an older one.
func (q *updateQueue) add(u update) {
	latest := q.latestOf(&u)
	if *latest == 0 {
		q.pending++
	}
	q.lastSequence++
	*latest = q.lastSequence
	q.push(0, entry{u, q.lastSequence})
	if q.stored > 2*q.pending+staleEntries {
		q.compact()
	}
}

func (q *updateQueue) push(transmissions int, e entry) {
	for len(q.buckets) <= transmissions {
		q.buckets = append(q.buckets, bucket{})
	}
	b := &q.buckets[transmissions]
	b.entries = append(b.entries, e)
	q.stored++
}

func (q *updateQueue) isCurrent(e *entry) bool { return *q.latestOf(&e.update) == e.sequence }

// retire ends an entry's transmissions.
func (q *updateQueue) retire(e *entry) {
	*q.latestOf(&e.update) = 0
	q.pending--
}

// transmissionLimit is how often an entry is sent: heartbeats half as often.
func transmissionLimit(e *entry, limit int) int {
	if e.state == heartbeat {
		return (limit + 1) / 2
	}
	return limit
}

// take appends updates until there are maxUpdates, each of which is sent limit times.
func (q *updateQueue) take(into []update, maxUpdates, limit int) []update {
	lastBucket, fromLast := q.plan(maxUpdates-len(into), limit)
	// From the last bucket down, so that an entry that moves up is not met again.
	for sent := min(lastBucket, len(q.buckets)-1); sent >= 0; sent-- {
		count := maxUpdates
		if sent == lastBucket {
			count = fromLast
		}
		into = q.takeFrom(sent, into, count, limit)
	}
	return into
}

// plan returns the bucket at which a packet is full, and how many entries it takes from that one; it takes all those of the
// buckets before.
func (q *updateQueue) plan(capacity, limit int) (lastBucket, fromLast int) {
	for ; lastBucket < len(q.buckets) && capacity > 0; lastBucket++ {
		count := 0
		b := &q.buckets[lastBucket]
		for i := b.head; i < len(b.entries) && count < capacity; i++ {
			e := &b.entries[i]
			if q.isCurrent(e) && lastBucket < transmissionLimit(e, limit) {
				count++
			}
		}
		fromLast = count
		if count == capacity {
			break
		}
		capacity -= count
	}
	return lastBucket, fromLast
}

// takeFrom appends up to count updates of one bucket and moves them to the next.
func (q *updateQueue) takeFrom(sent int, into []update, count, limit int) []update {
	b := &q.buckets[sent]
	for b.head < len(b.entries) && count > 0 {
		e := b.entries[b.head]
		b.head++
		q.stored--
		if !q.isCurrent(&e) {
			continue
		}
		allowed := transmissionLimit(&e, limit)
		if sent >= allowed { // the limit has fallen meanwhile
			q.retire(&e)
			continue
		}
		count--
		into = append(into, e.update)
		if sent+1 < allowed {
			q.push(sent+1, e)
			b = &q.buckets[sent] // push may have moved the buckets
		} else {
			q.retire(&e)
		}
	}
	if b.head > len(b.entries)/2 {
		b.entries = append(b.entries[:0], b.entries[b.head:]...)
		b.head = 0
	}
	return into
}

// compact drops replaced entries.
func (q *updateQueue) compact() {
	q.stored = 0
	for i := range q.buckets {
		b := &q.buckets[i]
		current := b.entries[:0]
		for _, e := range b.entries[b.head:] {
			if q.isCurrent(&e) {
				current = append(current, e)
			}
		}
		b.entries = current
		b.head = 0
		q.stored += len(current)
	}
}
