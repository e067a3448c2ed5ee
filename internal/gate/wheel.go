package gate

// This file owns the index by which tokens expire: a timing wheel of three turns, so that a tick touches what has
// had its time and nothing else. It must never let an entry go before its time, whatever the clock does, and never
// do more than a bounded share of work in one look, as the gate stands still meanwhile.

// expiry is the place of one entry in a wheel, to be embedded in what expires.
type expiry struct {
	at         float64 // Unix ms
	next, prev *expiry
	token      *token
}

const (
	// slotMs is the width of the finest slot: an entry outlives its time by that at the most, and a tick of 40 ms
	// meets a new one more often than not.
	slotMs = 64.0
	// turnBits make 256 slots a turn: 16 s, more than the windows told so far, 70 minutes and 12 days.
	turnBits = 8
	turnSize = 1 << turnBits
	turnMask = turnSize - 1
	turns    = 3
	// leastMoves is the number of entries moved or handed out in one look, if a 64th of all is not more: some
	// tens of microseconds, and at 25 looks a second far above the RPCs that a server reads.
	leastMoves = 1024
	moveShare  = 64
)

// wheel holds entries by the time at which they are over. The zero value is not ready; newWheel is.
type wheel struct {
	now  int64 // the slot that is looked at next
	size int
	slot [turns][turnSize]expiry // heads of rings
}

func newWheel(now float64) *wheel {
	w := &wheel{now: int64(now / slotMs)}
	for t := range w.slot {
		for i := range w.slot[t] {
			h := &w.slot[t][i]
			h.next, h.prev = h, h
		}
	}
	return w
}

// add puts an entry in its place. It must not be in one.
func (w *wheel) add(e *expiry) {
	w.size++
	w.place(e)
}

func (w *wheel) place(e *expiry) {
	at := max(int64(e.at/slotMs), w.now) // one whose time has passed is next
	ahead, turn := at-w.now, 0
	if last := int64(1)<<(turns*turnBits) - 1; ahead > last { // placed anew when the wheel comes there
		at, ahead = w.now+last, last
	}
	for ahead >= turnSize {
		ahead >>= turnBits
		turn++
	}
	h := &w.slot[turn][at>>(turn*turnBits)&turnMask]
	e.next, e.prev = h, h.prev
	h.prev.next, h.prev = e, e
}

// remove takes an entry out. One that is in no place is left alone.
func (w *wheel) remove(e *expiry) {
	if e.next == nil {
		return
	}
	e.prev.next, e.next.prev = e.next, e.prev
	e.next, e.prev = nil, nil
	w.size--
}

// advance hands out, one by one, what was over before now; what is handed out is in no place any more. Where much
// is due at once the rest is left to the next call.
func (w *wheel) advance(now float64, over func(*expiry)) {
	end := int64(now / slotMs)
	if end-w.now > turnSize*turnSize { // a clock that jumped by hours: all places are wrong, so all are taken anew
		w.anew(end)
	}
	moves := max(leastMoves, w.size/moveShare)
	for w.now < end {
		if w.size == 0 {
			w.now = end
			return
		}
		// At the beginning of a turn what lies in the slot of the next coarser one is spread over it.
		for t := turns - 1; t > 0; t-- {
			if w.now&(1<<(t*turnBits)-1) != 0 {
				continue
			}
			for h := &w.slot[t][w.now>>(t*turnBits)&turnMask]; h.next != h; moves-- {
				if moves == 0 {
					return
				}
				e := h.next
				w.remove(e)
				w.add(e)
			}
		}
		for h := &w.slot[0][w.now&turnMask]; h.next != h; moves-- {
			if moves == 0 {
				return
			}
			e := h.next
			w.remove(e)
			over(e)
		}
		w.now++
	}
}

// anew places all entries as seen from slot end. It is the one look that costs what a look at all costs.
func (w *wheel) anew(end int64) {
	var all []*expiry
	for t := range w.slot {
		for i := range w.slot[t] {
			for h := &w.slot[t][i]; h.next != h; {
				all = append(all, h.next)
				w.remove(h.next)
			}
		}
	}
	w.now = end - 1 // what is over is handed out by the look that goes on from here
	for _, e := range all {
		w.add(e)
	}
}
