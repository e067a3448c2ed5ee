package gate

// expiry is an entry of a wheel. It is embedded in the value that expires.
type expiry struct {
	atMs       float64 // Unix ms
	next, prev *expiry // neighbours in the ring of its slot; nil while it is in no wheel
	token      *token  // token in which it is embedded
}

const (
	// slotMs is the width of the finest slot. An entry expires at most that much too late, and with ticks of 40 ms most ticks
	// reach a new slot.
	slotMs = 64.0
	// levelBits gives each level 256 slots. The levels then span 16 s, which is more than usual windows, 70 minutes and 12
	// days.
	levelBits = 8
	levelSize = 1 << levelBits
	levelMask = levelSize - 1
	levels    = 3
	// One advance moves or expires at most minMoves entries, or the size of the wheel divided by moveDivisor if that is more.
	// minMoves entries take some tens of microseconds, and at 25 calls a second are far more than the RPCs that a server
	// reads.
	minMoves    = 1024
	moveDivisor = 64
)

// wheel is a hierarchical timing wheel (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987): an index of
// entries by expiry time. Adding and removing take constant time, and the time of each advance is bounded except after a
// large jump of the clock. An entry never expires before its time, whatever the clock does. A wheel must be created by
// newWheel and is not safe for concurrent use.
type wheel struct {
	nextSlot int64 // next slot to expire, counted in units of slotMs since 1970
	size     int
	slots    [levels][levelSize]expiry // heads of rings; a slot spans all slots of the level below
}

func newWheel(nowMs float64) *wheel {
	w := &wheel{nextSlot: int64(nowMs / slotMs)}
	for level := range w.slots {
		for i := range w.slots[level] {
			head := &w.slots[level][i]
			head.next = head
			head.prev = head
		}
	}
	return w
}

// add adds an entry, which must not be in a wheel.
func (w *wheel) add(e *expiry) {
	w.size++
	slot := max(int64(e.atMs/slotMs), w.nextSlot) // an entry whose time has passed goes into the next slot
	ahead := slot - w.nextSlot
	if last := int64(1)<<(levels*levelBits) - 1; ahead > last { // beyond the span: added again when the wheel reaches its last slot
		slot = w.nextSlot + last
		ahead = last
	}
	level := 0
	for ahead >= levelSize {
		ahead >>= levelBits
		level++
	}
	head := w.slotOf(level, slot)
	e.next = head
	e.prev = head.prev
	head.prev.next = e
	head.prev = e
}

// slotOf returns the head of the slot of a level that contains the given slot of the finest level.
func (w *wheel) slotOf(level int, slot int64) *expiry {
	return &w.slots[level][slot>>(level*levelBits)&levelMask]
}

// remove removes an entry. It does nothing if the entry is in no wheel.
func (w *wheel) remove(e *expiry) {
	if e.next == nil {
		return
	}
	e.prev.next = e.next
	e.next.prev = e.prev
	e.next = nil
	e.prev = nil
	w.size--
}

// advance removes the entries whose time is before now and passes each to expired. If too many are due at once, it leaves the
// rest to the next call.
func (w *wheel) advance(nowMs float64, expired func(*expiry)) {
	end := int64(nowMs / slotMs)
	if end-w.nextSlot > levelSize*levelSize { // the clock jumped by hours, and entries are in the wrong slots
		w.rebuild(end)
	}
	moves := max(minMoves, w.size/moveDivisor)
	for w.nextSlot < end {
		if w.size == 0 {
			w.nextSlot = end
			return
		}
		// When a level starts over, its entries are moved down from the current slot of the next coarser level.
		for level := levels - 1; level > 0; level-- {
			if w.nextSlot&(1<<(level*levelBits)-1) != 0 {
				continue
			}
			if !w.emptySlot(w.slotOf(level, w.nextSlot), &moves, w.add) {
				return
			}
		}
		if !w.emptySlot(w.slotOf(0, w.nextSlot), &moves, expired) {
			return
		}
		w.nextSlot++
	}
}

// emptySlot removes the entries of a slot and passes each to f. It returns false if moves is used up before the slot is
// empty.
func (w *wheel) emptySlot(head *expiry, moves *int, f func(*expiry)) bool {
	for head.next != head {
		if *moves == 0 {
			return false
		}
		*moves--
		e := head.next
		w.remove(e)
		f(e)
	}
	return true
}

// rebuild removes all entries and adds them again relative to the slot end. It takes time proportional to their number.
func (w *wheel) rebuild(end int64) {
	var entries []*expiry
	for level := range w.slots {
		for i := range w.slots[level] {
			for head := &w.slots[level][i]; head.next != head; {
				entries = append(entries, head.next)
				w.remove(head.next)
			}
		}
	}
	w.nextSlot = end - 1 // the calling advance expires the entries that are due
	for _, e := range entries {
		w.add(e)
	}
}
