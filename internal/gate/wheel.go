package gate

// expiry is an entry of a wheel, to be embedded in what expires.
type expiry struct {
	atMs       float64 // Unix ms
	next, prev *expiry // in the ring of its slot; nil while it is in no wheel
	token      *token  // that it is embedded in
}

const (
	// slotMs is the width of the finest slot. An entry outlives its time by that at the most, and a tick of 40 ms meets a new
	// slot more often than not.
	slotMs = 64.0
	// levelBits make 256 slots a level, so that the levels span 16 s, more than usual windows, 70 minutes and 12 days.
	levelBits = 8
	levelSize = 1 << levelBits
	levelMask = levelSize - 1
	levels    = 3
	// minMoves bounds the entries that one advance moves or hands out, if a moveShare-th of all is not more: some tens of
	// microseconds, and at 25 calls a second far more than the RPCs that a server reads.
	minMoves  = 1024
	moveShare = 64
)

// wheel is a hierarchical timing wheel (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987): an index of
// entries by their times in which adding and removing take constant time and each advance a bounded one. It never hands
// out an entry before its time, whatever the clock does. The zero value is not ready; newWheel is. It is not safe for
// concurrent use.
type wheel struct {
	nextSlot int64 // the number of the slot to be handed out next, of those of slotMs since 1970
	size     int
	slots    [levels][levelSize]expiry // heads of rings; one slot of a level spans all of the level below
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

// add puts an entry into the wheel. It must not be in one.
func (w *wheel) add(e *expiry) {
	w.size++
	slot := max(int64(e.atMs/slotMs), w.nextSlot) // one whose time has passed comes next
	ahead := slot - w.nextSlot
	if last := int64(1)<<(levels*levelBits) - 1; ahead > last { // it is added again when the wheel comes there
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

// slotOf returns the head of the slot of a level that covers a slot of the finest one.
func (w *wheel) slotOf(level int, slot int64) *expiry {
	return &w.slots[level][slot>>(level*levelBits)&levelMask]
}

// remove takes an entry out. One that is in no wheel is left alone.
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

// advance removes the entries whose time was before now and hands them to expired one by one. Where many are due at once
// it leaves the rest to the next call.
func (w *wheel) advance(nowMs float64, expired func(*expiry)) {
	end := int64(nowMs / slotMs)
	if end-w.nextSlot > levelSize*levelSize { // the clock jumped by hours: no entry is in its right slot any more
		w.rebuild(end)
	}
	moves := max(minMoves, w.size/moveShare)
	for w.nextSlot < end {
		if w.size == 0 {
			w.nextSlot = end
			return
		}
		// At the beginning of a level's turn its entries are taken from the slot of the next coarser level.
		for level := levels - 1; level > 0; level-- {
			if w.nextSlot&(1<<(level*levelBits)-1) != 0 {
				continue
			}
			if !w.empty(w.slotOf(level, w.nextSlot), &moves, w.add) {
				return
			}
		}
		if !w.empty(w.slotOf(0, w.nextSlot), &moves, expired) {
			return
		}
		w.nextSlot++
	}
}

// empty removes the entries of a slot and passes each to f. It returns false once moves are used up.
func (w *wheel) empty(head *expiry, moves *int, f func(*expiry)) bool {
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

// rebuild adds all entries anew as seen from slot end. It takes time in proportion to their number.
func (w *wheel) rebuild(end int64) {
	var all []*expiry
	for level := range w.slots {
		for i := range w.slots[level] {
			for head := &w.slots[level][i]; head.next != head; {
				all = append(all, head.next)
				w.remove(head.next)
			}
		}
	}
	w.nextSlot = end - 1 // what is over is handed out by the advance that calls
	for _, e := range all {
		w.add(e)
	}
}
