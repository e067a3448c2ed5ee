package store

// slotBytes is the size of a slot.
const slotBytes = 16

// slot is one entry of an index: where the last record of a token stands. The segment 0 marks an empty slot.
type slot struct {
	fingerprint uint64 // the first half
	segment     uint32
	offset      uint32
}

// index maps the first halves of fingerprints to the places of records: a hash table with open addressing and linear
// probing, the size of which is a power of two. It is not sufficient alone: the record holds the whole fingerprint. It is not
// safe for concurrent use.
type index struct {
	slots        []slot
	used         int    // slots, with those of segments that are dropped
	firstSegment uint32 // the segments before it are dropped
}

// minSlots is the smallest size of an index.
const minSlots = 1024

func newIndex() *index { return &index{slots: make([]slot, minSlots), firstSegment: 1} }

// firstSlot returns the first slot for a fingerprint.
func (x *index) firstSlot(fingerprint uint64) int {
	return int(fingerprint >> 20 & uint64(len(x.slots)-1))
}

// put sets the place of a fingerprint and replaces an earlier one.
func (x *index) put(fingerprint uint64, segment, offset uint32) {
	if 4*x.used >= 3*len(x.slots) {
		x.rebuild()
	}
	for i := x.firstSlot(fingerprint); ; i = (i + 1) & (len(x.slots) - 1) {
		s := &x.slots[i]
		if s.segment == 0 {
			x.used++
		} else if s.fingerprint != fingerprint {
			continue
		}
		*s = slot{fingerprint, segment, offset}
		return
	}
}

// get returns the place of a fingerprint; false if there is none, or its segment is dropped.
func (x *index) get(fingerprint uint64) (segment, offset uint32, ok bool) {
	for i := x.firstSlot(fingerprint); ; i = (i + 1) & (len(x.slots) - 1) {
		s := &x.slots[i]
		if s.segment == 0 {
			return 0, 0, false
		}
		if s.fingerprint == fingerprint {
			return s.segment, s.offset, s.segment >= x.firstSegment
		}
	}
}

// dropBefore forgets the entries of all segments before one. Their slots are freed by the next rebuild.
func (x *index) dropBefore(segment uint32) { x.firstSegment = max(x.firstSegment, segment) }

// rebuild makes a new table without the entries of dropped segments: larger if it would still be more than five eighths
// full, smaller if less than one eighth.
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
	x.slots = make([]slot, size)
	x.used = 0
	for _, s := range old {
		if s.segment >= x.firstSegment {
			x.put(s.fingerprint, s.segment, s.offset)
		}
	}
}
