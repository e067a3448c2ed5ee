// Package gossip stores the last-writer-wins state that origins gossip to one another: for each origin and key the record
// with the highest (start, sequence) version wins.
//
// Merging is commutative, associative and idempotent, so servers that received the same records hold the same state
// whatever the order and however often records arrive; Put reports which records were newer than what was stored.
// Storage is bounded in bytes and record count, per origin and in total. Records are treated as opaque payloads, and
// their checksum is verified so that a corrupted record is never stored.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. A Table is not safe for concurrent use;
// its owner must serialise calls.
package gossip

import (
	"cmp"
	"errors"
	"hash/crc32"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
)

// Record is one thing that one origin says.
type Record struct {
	Origin      string
	Key         string
	Generation  uint64 // of the origin: larger after each restart
	Incarnation uint64 // drawn by the origin at its start; tells apart two that claim one start
	Sequence    uint64 // within the start
	Body        []byte
}

// newer tells whether r goes before o. Of two lives with one start the larger draw wins, everywhere alike.
func (r *Record) newer(o *Record) bool {
	return cmp.Or(cmp.Compare(r.Generation, o.Generation), cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Sequence, o.Sequence)) > 0
}

var (
	ErrCorrupt   = errors.New("a record is damaged")
	ErrOverLimit = errors.New("a record is over the bounds")
)

// The fields of a record on the wire, as in internal/fleet/fleet.proto. Fields of later builds are passed over when read
// and stay in the bytes that are passed on.
const (
	fOrigin = 1
	fKey    = 2
	fStart  = 3
	fSeq    = 4
	fBody   = 5
	fLife   = 6
	fSum    = 15
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// sumBytes is what the sum at a record's end takes: the field's number, and four bytes.
const sumBytes = 5

// Append writes a record: its fields, and last the sum of all bytes before.
func (r *Record) Append(b []byte) []byte {
	from := len(b)
	b = protowire.AppendString(protowire.AppendTag(b, fOrigin, protowire.BytesType), r.Origin)
	b = protowire.AppendString(protowire.AppendTag(b, fKey, protowire.BytesType), r.Key)
	b = protowire.AppendVarint(protowire.AppendTag(b, fStart, protowire.VarintType), r.Generation)
	b = protowire.AppendVarint(protowire.AppendTag(b, fSeq, protowire.VarintType), r.Sequence)
	b = protowire.AppendBytes(protowire.AppendTag(b, fBody, protowire.BytesType), r.Body)
	b = protowire.AppendFixed64(protowire.AppendTag(b, fLife, protowire.Fixed64Type), r.Incarnation)
	return appendSum(b, from)
}

// appendSum ends a record that begins at from.
func appendSum(b []byte, from int) []byte {
	sum := crc32.Checksum(b[from:], castagnoli)
	return protowire.AppendFixed32(protowire.AppendTag(b, fSum, protowire.Fixed32Type), sum)
}

// Parse reads a record. The body is a part of b.
func Parse(b []byte) (r Record, err error) {
	if len(b) <= sumBytes || b[len(b)-sumBytes] != fSum<<3|byte(protowire.Fixed32Type) {
		return r, ErrCorrupt
	}
	fields := b[:len(b)-sumBytes]
	if sum, n := protowire.ConsumeFixed32(b[len(fields)+1:]); n < 0 || sum != crc32.Checksum(fields, castagnoli) {
		return r, ErrCorrupt
	}
	for len(fields) > 0 {
		num, typ, n := protowire.ConsumeTag(fields)
		if n < 0 {
			return r, ErrCorrupt
		}
		v := fields[n:]
		switch {
		case num == fOrigin && typ == protowire.BytesType:
			r.Origin, n = protowire.ConsumeString(v)
		case num == fKey && typ == protowire.BytesType:
			r.Key, n = protowire.ConsumeString(v)
		case num == fStart && typ == protowire.VarintType:
			r.Generation, n = protowire.ConsumeVarint(v)
		case num == fSeq && typ == protowire.VarintType:
			r.Sequence, n = protowire.ConsumeVarint(v)
		case num == fBody && typ == protowire.BytesType:
			r.Body, n = protowire.ConsumeBytes(v)
		case num == fLife && typ == protowire.Fixed64Type:
			r.Incarnation, n = protowire.ConsumeFixed64(v)
		default:
			n = protowire.ConsumeFieldValue(num, typ, v)
		}
		if n < 0 {
			return r, ErrCorrupt
		}
		fields = v[n:]
	}
	if r.Origin == "" || r.Key == "" {
		return r, ErrCorrupt
	}
	return r, nil
}

// Limits are those of a Table. Bytes are those of records as written.
type Limits struct {
	MaxOrigins       int // that are known at a time
	MaxKeysPerOrigin int // of one origin
	MaxRecordBytes   int // of one record
	MaxOriginBytes   int // of one origin
}

// DefaultLimits bounds 4,096 servers to 64 MB in all, with a record small enough to travel in one packet beside others.
var DefaultLimits = Limits{MaxOrigins: 4096, MaxKeysPerOrigin: 16, MaxRecordBytes: 1024, MaxOriginBytes: 16 << 10}

// Counts are of what came since the table was made.
type Counts struct {
	Updated   uint64 `json:"News"`
	Duplicate uint64 `json:"Known"`
	Stale     uint64 `json:"Old"`
	Corrupt   uint64 `json:"Damaged"`
	OverLimit uint64 `json:"Over"`
}

// entry is a record as it came.
type entry struct {
	Record
	raw []byte
	at  float64 // when it was heard
}

type origin struct {
	name  string
	keys  []entry // by key
	bytes int
	start uint64 // the newest life of it
	life  uint64
	heard float64 // last news of any key
}

// Table holds the records.
type Table struct {
	b       Limits
	origins map[string]*origin
	Counts  Counts
}

// NewTable returns an empty one.
func NewTable(b Limits) *Table { return &Table{b: b, origins: map[string]*origin{}} }

// What Put found.
type PutResult int

const (
	Updated   PutResult = iota // newer than all that was known: to be passed on
	Duplicate                  // the very one that is known
	Stale                      // something newer is known
	Corrupt                    // not a record
	OverLimit                  // over the bounds; nothing was changed
)

// Put takes a record as written, at now in ms. The bytes are copied if they are kept.
func (t *Table) Put(now float64, raw []byte) (Record, PutResult) {
	r, err := Parse(raw)
	if err != nil {
		t.Counts.Corrupt++
		return r, Corrupt
	}
	f := t.put(now, &r, raw)
	switch f {
	case Updated:
		t.Counts.Updated++
	case Duplicate:
		t.Counts.Duplicate++
	case Stale:
		t.Counts.Stale++
	case OverLimit:
		t.Counts.OverLimit++
	}
	return r, f
}

func (t *Table) put(now float64, r *Record, raw []byte) PutResult {
	if len(raw) > t.b.MaxRecordBytes {
		return OverLimit
	}
	o := t.origins[r.Origin]
	if o == nil {
		if len(t.origins) >= t.b.MaxOrigins {
			return OverLimit
		}
		o = &origin{name: r.Origin, start: r.Generation, life: r.Incarnation, heard: now}
	}
	this := cmp.Or(cmp.Compare(r.Generation, o.start), cmp.Compare(r.Incarnation, o.life))
	if this < 0 {
		return Stale
	}
	if this > 0 { // another life of it: what the former one said is no longer said
		o.keys, o.bytes, o.start, o.life = nil, 0, r.Generation, r.Incarnation
	}
	i, has := slices.BinarySearchFunc(o.keys, r.Key, func(e entry, key string) int { return cmp.Compare(e.Key, key) })
	grows := len(raw)
	if has {
		if e := &o.keys[i]; !r.newer(&e.Record) {
			if r.Sequence == e.Sequence {
				return Duplicate
			}
			return Stale
		}
		grows -= len(o.keys[i].raw)
	} else if len(o.keys) >= t.b.MaxKeysPerOrigin {
		return OverLimit
	}
	if o.bytes+grows > t.b.MaxOriginBytes {
		return OverLimit
	}
	e := entry{raw: slices.Clone(raw), at: now} // as it came, fields of later builds and all
	e.Record, _ = Parse(e.raw)
	if has {
		o.keys[i] = e
	} else {
		o.keys = slices.Insert(o.keys, i, e)
	}
	o.bytes += grows
	o.heard = now
	t.origins[r.Origin] = o
	return Updated
}

// Get returns what an origin says under a key, and for how long in ms that has been known.
func (t *Table) Get(now float64, name, key string) (r Record, age float64, has bool) {
	o := t.origins[name]
	if o == nil {
		return r, 0, false
	}
	for i := range o.keys {
		if e := &o.keys[i]; e.Key == key {
			return e.Record, now - e.at, true
		}
	}
	return r, 0, false
}

// LatestIncarnation tells the newest life of an origin that is known.
func (t *Table) LatestIncarnation(name string) (start, life uint64, has bool) {
	if o := t.origins[name]; o != nil {
		return o.start, o.life, true
	}
	return 0, 0, false
}

// Forget drops all of an origin.
func (t *Table) Forget(name string) { delete(t.origins, name) }

// Origins are the names of all that are known, sorted.
func (t *Table) Origins() []string {
	all := make([]string, 0, len(t.origins))
	for name := range t.origins {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// Each calls f for each record under a key, by origin, with its age in ms.
func (t *Table) Each(now float64, key string, f func(r *Record, age float64)) {
	for _, name := range t.Origins() {
		for i := range t.origins[name].keys {
			if e := &t.origins[name].keys[i]; e.Key == key {
				f(&e.Record, now-e.at)
			}
		}
	}
}

// AppendState writes every record, each behind its length, up to most bytes in all; those of origins that were heard
// last come first, so that what does not fit is what others are the likeliest to know.
func (t *Table) AppendState(b []byte, most int) []byte {
	all := make([]*origin, 0, len(t.origins))
	for _, o := range t.origins {
		all = append(all, o)
	}
	slices.SortFunc(all, func(x, y *origin) int {
		return cmp.Or(cmp.Compare(y.heard, x.heard), cmp.Compare(x.name, y.name))
	})
	from := len(b)
	for _, o := range all {
		for i := range o.keys {
			raw := o.keys[i].raw
			if len(b)-from+len(raw)+protowire.SizeVarint(uint64(len(raw))) > most {
				return b
			}
			b = protowire.AppendBytes(b, raw)
		}
	}
	return b
}

// SplitState calls f for each record in what AppendAll wrote, and tells whether all of it could be read.
func SplitState(b []byte, f func(raw []byte)) bool {
	for len(b) > 0 {
		raw, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return false
		}
		f(raw)
		b = b[n:]
	}
	return true
}

// Size is what stands in the table.
func (t *Table) Size() (origins, records, bytes int) {
	for _, o := range t.origins {
		records += len(o.keys)
		bytes += o.bytes
	}
	return len(t.origins), records, bytes
}
