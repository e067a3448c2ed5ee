package store

// slotBytes is the size of a slot.
const slotBytes = 16

// slot is one entry of an index: the location of a token's last record. Segment 0 marks an empty slot.
type slot struct {
	fingerprint uint64 // the first half of the Fingerprint
	segment     uint32
	offset      uint32
}

// index maps the first half of a fingerprint to the location of a record. It is a hash table with open addressing and linear
// probing, whose size is a power of two. Two tokens may share the first half, so the caller must compare the whole fingerprint
// with the one in the record. An index is not safe for concurrent use.
type index struct {
	slots        []slot
	used         int    // occupied slots, including those of dropped segments
	firstSegment uint32 // segments before it are dropped
}

// minSlots is the smallest size of an index.
const minSlots = 1024

func newIndex() *index { return &index{slots: make([]slot, minSlots), firstSegment: 1} }

// firstSlot returns the slot at which probing for a fingerprint begins.
func (x *index) firstSlot(fingerprint uint64) int {
	return int(fingerprint >> 20 & uint64(len(x.slots)-1))
}

// put sets the location for a fingerprint and replaces an earlier one.
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

// get returns the location for a fingerprint. ok is false if there is none or if its segment is dropped.
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

// dropBefore invalidates the entries of all segments before the given one. The next rebuild frees their slots.
func (x *index) dropBefore(segment uint32) { x.firstSegment = max(x.firstSegment, segment) }

// rebuild creates a new table without the entries of dropped segments. The table grows if it would be at least five eighths
// full, and shrinks if it would be less than one eighth full.
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
