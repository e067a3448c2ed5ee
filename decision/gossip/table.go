// Package gossip stores the last-writer-wins state that origins gossip to one another: for each origin and key the record
// with the highest (generation, incarnation, sequence) version wins.
//
// Merging is commutative, associative and idempotent, so servers that received the same records hold the same state in
// whatever order and however often the records arrive. Put reports whether a record was newer than the stored one. Storage
// is bounded in bytes and record count, per origin and in total. The body of a record is opaque to this package, and the
// checksum is verified so that a corrupt record is never stored.
//
// The package is pure: it does no I/O, reads no clock (callers pass times in ms) and starts no goroutine. A Table is not
// safe for concurrent use; its owner must serialise calls.
package gossip

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
)

// Limits limit the size of a Table. Sizes in bytes refer to encoded records.
type Limits struct {
	MaxOrigins       int
	MaxKeysPerOrigin int
	MaxRecordBytes   int
	MaxOriginBytes   int // total of all records of an origin
}

// DefaultLimits allows 4,096 servers and 64 MB in total. A record is small enough to share a packet with others.
var DefaultLimits = Limits{MaxOrigins: 4096, MaxKeysPerOrigin: 16, MaxRecordBytes: 1024, MaxOriginBytes: 16 << 10}

// Counts holds the number of calls of Put by result. Fleet status prints them as JSON under the names in the tags.
type Counts struct {
	Updated   uint64 `json:"News"`
	Duplicate uint64 `json:"Known"`
	Stale     uint64 `json:"Old"`
	Corrupt   uint64 `json:"Damaged"`
	OverLimit uint64 `json:"Over"`
}

// entry is a stored record.
type entry struct {
	Record
	raw        []byte  // encoding as received, unknown fields included
	receivedAt float64 // ms
}

// origin holds the records of one origin's latest incarnation.
type origin struct {
	name        string
	records     []entry // sorted by key
	bytes       int     // total size of the encoded records
	generation  uint64
	incarnation uint64
	updatedAt   float64 // when a record was last stored, under any key
}

// Table holds the latest records of each origin.
type Table struct {
	limits  Limits
	origins map[string]*origin
	Counts  Counts // since the table was created
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table { return &Table{limits: limits, origins: map[string]*origin{}} }

// PutResult is the result of Put.
type PutResult int

// The values of PutResult.
const (
	Updated   PutResult = iota // newer than the stored record: it was stored, and must be passed on
	Duplicate                  // same version as the stored record
	Stale                      // older than the stored record, or of an earlier incarnation
	Corrupt                    // not a valid record
	OverLimit                  // over the limits; not stored
)

// Put merges an encoded record as received on the wire. It does not retain raw.
func (t *Table) Put(now float64, raw []byte) (Record, PutResult) {
	r, err := Parse(raw)
	if err != nil {
		t.Counts.Corrupt++
		return r, Corrupt
	}
	result := t.put(now, &r, raw)
	switch result {
	case Updated:
		t.Counts.Updated++
	case Duplicate:
		t.Counts.Duplicate++
	case Stale:
		t.Counts.Stale++
	case OverLimit:
		t.Counts.OverLimit++
	}
	return r, result
}

func (t *Table) put(now float64, r *Record, raw []byte) PutResult {
	if len(raw) > t.limits.MaxRecordBytes {
		return OverLimit
	}
	o := t.origins[r.Origin]
	if o == nil {
		if len(t.origins) >= t.limits.MaxOrigins {
			return OverLimit
		}
		o = &origin{name: r.Origin, generation: r.Generation, incarnation: r.Incarnation, updatedAt: now}
	}
	switch order := cmp.Or(cmp.Compare(r.Generation, o.generation), cmp.Compare(r.Incarnation, o.incarnation)); {
	case order < 0:
		return Stale
	case order > 0: // a later incarnation, which invalidates the records of the previous one
		o.records = nil
		o.bytes = 0
		o.generation = r.Generation
		o.incarnation = r.Incarnation
	}
	result := o.merge(now, r, raw, &t.limits)
	if result == Updated {
		t.origins[r.Origin] = o
	}
	return result
}

// merge stores a record of the origin's current incarnation if it is newer than the stored one and within the limits.
func (o *origin) merge(now float64, r *Record, raw []byte, limits *Limits) PutResult {
	i, ok := slices.BinarySearchFunc(o.records, r.Key, func(e entry, key string) int { return cmp.Compare(e.Key, key) })
	growth := len(raw)
	if ok {
		if e := &o.records[i]; !r.newer(&e.Record) {
			if r.Sequence == e.Sequence {
				return Duplicate
			}
			return Stale
		}
		growth -= len(o.records[i].raw)
	} else if len(o.records) >= limits.MaxKeysPerOrigin {
		return OverLimit
	}
	if o.bytes+growth > limits.MaxOriginBytes {
		return OverLimit
	}
	e := entry{raw: slices.Clone(raw), receivedAt: now}
	e.Record, _ = Parse(e.raw) // parse the copy, so that Body refers to it; raw has been parsed without error
	if ok {
		o.records[i] = e
	} else {
		o.records = slices.Insert(o.records, i, e)
	}
	o.bytes += growth
	o.updatedAt = now
	return Updated
}

// Get returns an origin's record under a key and the time in ms since it was received. ok is false if there is none.
func (t *Table) Get(now float64, origin, key string) (r Record, age float64, ok bool) {
	o := t.origins[origin]
	if o == nil {
		return r, 0, false
	}
	for i := range o.records {
		if e := &o.records[i]; e.Key == key {
			return e.Record, now - e.receivedAt, true
		}
	}
	return r, 0, false
}

// LatestIncarnation returns the latest known generation and incarnation of an origin. ok is false if the origin is unknown.
func (t *Table) LatestIncarnation(origin string) (generation, incarnation uint64, ok bool) {
	if o := t.origins[origin]; o != nil {
		return o.generation, o.incarnation, true
	}
	return 0, 0, false
}

// Forget drops all records of an origin.
func (t *Table) Forget(origin string) { delete(t.origins, origin) }

// Origins returns the names of all known origins in sorted order.
func (t *Table) Origins() []string {
	names := make([]string, 0, len(t.origins))
	for name := range t.origins {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Each calls visit for each record under a key, sorted by origin, with the time in ms since the record was received.
func (t *Table) Each(now float64, key string, visit func(r *Record, age float64)) {
	for _, name := range t.Origins() {
		for i := range t.origins[name].records {
			if e := &t.origins[name].records[i]; e.Key == key {
				visit(&e.Record, now-e.receivedAt)
			}
		}
	}
}

// AppendState appends the records to b for a full state exchange, each prefixed with its length, up to maxBytes in total.
// Records of the most recently updated origins come first, so that the records that do not fit are those that other servers
// most likely have.
func (t *Table) AppendState(b []byte, maxBytes int) []byte {
	origins := make([]*origin, 0, len(t.origins))
	for _, o := range t.origins {
		origins = append(origins, o)
	}
	slices.SortFunc(origins, func(x, y *origin) int {
		return cmp.Or(cmp.Compare(y.updatedAt, x.updatedAt), cmp.Compare(x.name, y.name))
	})
	start := len(b)
	for _, o := range origins {
		for i := range o.records {
			raw := o.records[i].raw
			if len(b)-start+len(raw)+protowire.SizeVarint(uint64(len(raw))) > maxBytes {
				return b
			}
			b = protowire.AppendBytes(b, raw)
		}
	}
	return b
}

// SplitState calls visit for each encoded record in the output of AppendState. It returns false if b is malformed, after
// visiting the records before the malformed part.
func SplitState(b []byte, visit func(raw []byte)) bool {
	for len(b) > 0 {
		raw, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return false
		}
		visit(raw)
		b = b[n:]
	}
	return true
}

// Size returns the number of origins and records in the table, and the total size of the encoded records in bytes.
func (t *Table) Size() (origins, records, bytes int) {
	for _, o := range t.origins {
		records += len(o.records)
		bytes += o.bytes
	}
	return len(t.origins), records, bytes
}
