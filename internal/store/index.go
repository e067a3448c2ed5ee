package store

// This file owns the index in memory: a table with open addressing that holds a fingerprint and a place, and nothing of
// what stands there. It must never be trusted alone: the record tells the whole fingerprint.

// slot is one entry: 16 bytes. A place in segment 0 is none.
type slot struct {
	fingerprint uint64
	segment     uint32
	offset      uint32
}

// index is a table of slots; its size is a power of two.
type index struct {
	slots        []slot
	used         int    // with those of segments that are gone
	firstSegment uint32 // segments before it are gone
}

const minSlots = 1024

func newIndex() *index { return &index{slots: make([]slot, minSlots), firstSegment: 1} }

func (x *index) probeStart(print uint64) int { return int(print >> 20 & uint64(len(x.slots)-1)) }

// put sets the place of a fingerprint, in place of an earlier one.
func (x *index) put(print uint64, seg, off uint32) {
	if 4*x.used >= 3*len(x.slots) {
		x.rebuild()
	}
	for i := x.probeStart(print); ; i = (i + 1) & (len(x.slots) - 1) {
		s := &x.slots[i]
		if s.segment == 0 {
			x.used++
		} else if s.fingerprint != print {
			continue
		}
		*s = slot{print, seg, off}
		return
	}
}

// get is the place of a fingerprint; false if there is none, or its segment is gone.
func (x *index) get(print uint64) (seg, off uint32, has bool) {
	for i := x.probeStart(print); ; i = (i + 1) & (len(x.slots) - 1) {
		s := &x.slots[i]
		if s.segment == 0 {
			return 0, 0, false
		}
		if s.fingerprint == print {
			return s.segment, s.offset, s.segment >= x.firstSegment
		}
	}
}

// drop forgets all in segments before first. The slots are freed when the table is made anew.
func (x *index) dropBefore(first uint32) { x.firstSegment = max(x.firstSegment, first) }

// anew makes the table anew without what is gone, twice as large if it would still be more than five eighths full.
func (x *index) rebuild() {
	live := 0
	for i := range x.slots {
		if x.slots[i].segment >= x.firstSegment {
			live++
		}
	}
	size := len(x.slots)
	for 8*live >= 5*size {
		size *= 2
	}
	for size > minSlots && 8*live < size {
		size /= 2
	}
	old := x.slots
	x.slots, x.used = make([]slot, size), 0
	for _, s := range old {
		if s.segment >= x.firstSegment {
			x.put(s.fingerprint, s.segment, s.offset)
		}
	}
}
