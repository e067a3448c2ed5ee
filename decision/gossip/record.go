package gossip

// This file defines the record, its version and its wire format.

import (
	"cmp"
	"errors"
	"hash/crc32"

	"google.golang.org/protobuf/encoding/protowire"
)

// Record is the value that one origin publishes under one key. Its version is (Generation, Incarnation, Sequence).
type Record struct {
	Origin      string
	Key         string
	Generation  uint64 // number of starts of the origin
	Incarnation uint64 // random, distinguishes two processes with the same generation
	Sequence    uint64 // increases within an incarnation
	Body        []byte
}

// newer reports whether r supersedes other. Of two incarnations of the same generation the larger number wins, so that all
// servers agree.
func (r *Record) newer(other *Record) bool {
	return cmp.Or(
		cmp.Compare(r.Generation, other.Generation),
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
	) > 0
}

// ErrCorrupt is returned for bytes that are not a valid record or whose checksum does not match.
var ErrCorrupt = errors.New("record is corrupt")

// Field numbers of a record on the wire, as in internal/fleet/fleet.proto. Unknown fields of later versions are skipped when
// a record is parsed, and kept in the bytes that are passed on.
const (
	fieldOrigin      = 1
	fieldKey         = 2
	fieldGeneration  = 3 // named start in fleet.proto
	fieldSequence    = 4 // named seq
	fieldBody        = 5
	fieldIncarnation = 6  // named life
	fieldChecksum    = 15 // named sum
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksumBytes is the size of the checksum field at the end of a record: one byte for the tag and four for the value.
const checksumBytes = 5

// Append appends the encoded record to b: its fields, followed by the CRC-32C of their encoding.
func (r *Record) Append(b []byte) []byte {
	start := len(b)
	b = protowire.AppendString(protowire.AppendTag(b, fieldOrigin, protowire.BytesType), r.Origin)
	b = protowire.AppendString(protowire.AppendTag(b, fieldKey, protowire.BytesType), r.Key)
	b = protowire.AppendVarint(protowire.AppendTag(b, fieldGeneration, protowire.VarintType), r.Generation)
	b = protowire.AppendVarint(protowire.AppendTag(b, fieldSequence, protowire.VarintType), r.Sequence)
	b = protowire.AppendBytes(protowire.AppendTag(b, fieldBody, protowire.BytesType), r.Body)
	b = protowire.AppendFixed64(protowire.AppendTag(b, fieldIncarnation, protowire.Fixed64Type), r.Incarnation)
	return appendChecksum(b, start)
}

// appendChecksum appends the checksum of the record that starts at offset start of b.
func appendChecksum(b []byte, start int) []byte {
	sum := crc32.Checksum(b[start:], castagnoli)
	return protowire.AppendFixed32(protowire.AppendTag(b, fieldChecksum, protowire.Fixed32Type), sum)
}

// checkedFields verifies the checksum of an encoded record and returns the bytes before it.
func checkedFields(b []byte) ([]byte, error) {
	if len(b) <= checksumBytes || b[len(b)-checksumBytes] != fieldChecksum<<3|byte(protowire.Fixed32Type) {
		return nil, ErrCorrupt
	}
	fields := b[:len(b)-checksumBytes]
	if sum, n := protowire.ConsumeFixed32(b[len(fields)+1:]); n < 0 || sum != crc32.Checksum(fields, castagnoli) {
		return nil, ErrCorrupt
	}
	return fields, nil
}

// Parse decodes a record, whose Body refers to the bytes of b. The only error it returns is ErrCorrupt.
func Parse(b []byte) (r Record, err error) {
	fields, err := checkedFields(b)
	if err != nil {
		return r, err
	}
	for len(fields) > 0 {
		num, typ, n := protowire.ConsumeTag(fields)
		if n < 0 {
			return r, ErrCorrupt
		}
		value := fields[n:]
		if n = r.setField(num, typ, value); n < 0 {
			return r, ErrCorrupt
		}
		fields = value[n:]
	}
	if r.Origin == "" || r.Key == "" {
		return r, ErrCorrupt
	}
	return r, nil
}

// setField decodes the value of one field and returns its encoded length, negative if the value is invalid.
func (r *Record) setField(num protowire.Number, typ protowire.Type, value []byte) (n int) {
	switch {
	case num == fieldOrigin && typ == protowire.BytesType:
		r.Origin, n = protowire.ConsumeString(value)
	case num == fieldKey && typ == protowire.BytesType:
		r.Key, n = protowire.ConsumeString(value)
	case num == fieldGeneration && typ == protowire.VarintType:
		r.Generation, n = protowire.ConsumeVarint(value)
	case num == fieldSequence && typ == protowire.VarintType:
		r.Sequence, n = protowire.ConsumeVarint(value)
	case num == fieldBody && typ == protowire.BytesType:
		r.Body, n = protowire.ConsumeBytes(value)
	case num == fieldIncarnation && typ == protowire.Fixed64Type:
		r.Incarnation, n = protowire.ConsumeFixed64(value)
	default:
		n = protowire.ConsumeFieldValue(num, typ, value)
	}
	return n
}
