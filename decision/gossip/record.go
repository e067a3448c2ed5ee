package gossip

// This file defines a record, its version and its form on the wire.

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
	Generation  uint64 // counts starts of the origin
	Incarnation uint64 // random, tells apart two processes of one generation
	Sequence    uint64 // within the incarnation
	Body        []byte
}

// newer tells whether r supersedes other. Of two incarnations of one generation the larger number wins, at every server.
func (r *Record) newer(other *Record) bool {
	return cmp.Or(
		cmp.Compare(r.Generation, other.Generation),
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
	) > 0
}

// ErrCorrupt is returned for bytes that are no record, or whose checksum does not match.
var ErrCorrupt = errors.New("a record is damaged")

// The fields of a record on the wire, as in internal/fleet/fleet.proto. Fields of later versions are skipped when read,
// and stay in the bytes that are passed on.
const (
	fieldOrigin      = 1
	fieldKey         = 2
	fieldGeneration  = 3 // start in fleet.proto
	fieldSequence    = 4 // seq
	fieldBody        = 5
	fieldIncarnation = 6  // life
	fieldChecksum    = 15 // sum
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksumBytes is what the checksum at a record's end takes: the field's tag, and four bytes.
const checksumBytes = 5

// Append appends the record to b: its fields, and last the CRC-32C of all bytes before.
func (r *Record) Append(b []byte) []byte {
	from := len(b)
	b = protowire.AppendString(protowire.AppendTag(b, fieldOrigin, protowire.BytesType), r.Origin)
	b = protowire.AppendString(protowire.AppendTag(b, fieldKey, protowire.BytesType), r.Key)
	b = protowire.AppendVarint(protowire.AppendTag(b, fieldGeneration, protowire.VarintType), r.Generation)
	b = protowire.AppendVarint(protowire.AppendTag(b, fieldSequence, protowire.VarintType), r.Sequence)
	b = protowire.AppendBytes(protowire.AppendTag(b, fieldBody, protowire.BytesType), r.Body)
	b = protowire.AppendFixed64(protowire.AppendTag(b, fieldIncarnation, protowire.Fixed64Type), r.Incarnation)
	return appendChecksum(b, from)
}

// appendChecksum ends a record that begins at from.
func appendChecksum(b []byte, from int) []byte {
	sum := crc32.Checksum(b[from:], castagnoli)
	return protowire.AppendFixed32(protowire.AppendTag(b, fieldChecksum, protowire.Fixed32Type), sum)
}

// checkedFields returns a record's bytes without the checksum, if that matches.
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

// Parse reads a record; its Body is part of b. The error is ErrCorrupt.
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

// setField reads the value of one field, and returns its length; negative if it can't be read.
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
