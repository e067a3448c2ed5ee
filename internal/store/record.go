package store

// This file owns the form of segments and records on disk. It must never take a length on trust that the checksum has
// not covered.

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/s2"

	"sorrelvalve/decision/recovery"
)

// Version is that of the format which this build writes and reads.
const Version = 1

const (
	segmentMagic      = "SVSTORE"
	segmentHeaderSize = 8 + 8 + 8 // magic and version, owner, number
	recordHeaderSize  = 4 + 4 + 4 // magic, length, checksum
	recordMagic       = 0x56524543
	recordFixedSize   = 1 + 1 + 16 + 8 + 8 + 8 + 4 // state, packed, fingerprint, body, until, written, head length
	compressFrom      = 256                        // bytes from which an answer is worth packing: below that s2 rarely saves a tenth
	maxRecord         = 32 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Fingerprint is the fingerprint of a token: two hashes of method and token.
type Fingerprint [2]uint64

// FingerprintOf is that of a key.
func FingerprintOf(key string) Fingerprint {
	d := xxhash.NewWithSeed(0x5bd1e995)
	d.WriteString(key)
	return Fingerprint{xxhash.Sum64String(key), d.Sum64()}
}

// record is what is written of a token.
type record struct {
	fingerprint Fingerprint
	state       recovery.State
	bodyHash    uint64
	untilMs     float64
	writtenMs   float64
	head        []byte
	result      []byte
}

// size is the most that a record with so many bytes takes.
func maxRecordSize(bytes int) int {
	return recordHeaderSize + recordFixedSize + s2.MaxEncodedLen(bytes)
}

func (r *record) append(b []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, recordHeaderSize+recordFixedSize)...)
	payload := append(append([]byte(nil), r.head...), r.result...)
	packed := byte(0)
	if len(payload) >= compressFrom {
		if p := s2.Encode(nil, payload); len(p) < len(payload) {
			payload, packed = p, 1
		}
	}
	b = append(b, payload...)
	f := b[start+recordHeaderSize:]
	f[0], f[1] = byte(r.state), packed
	binary.LittleEndian.PutUint64(f[2:], r.fingerprint[0])
	binary.LittleEndian.PutUint64(f[10:], r.fingerprint[1])
	binary.LittleEndian.PutUint64(f[18:], r.bodyHash)
	binary.LittleEndian.PutUint64(f[26:], math.Float64bits(r.untilMs))
	binary.LittleEndian.PutUint64(f[34:], math.Float64bits(r.writtenMs))
	binary.LittleEndian.PutUint32(f[42:], uint32(len(r.head)))
	h := b[start:]
	binary.LittleEndian.PutUint32(h, recordMagic)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(f)))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(f, crcTable))
	return b
}

var (
	errTruncated = errors.New("cut off")
	errDamaged   = errors.New("damaged")
)

// parse reads the record at the beginning of b, and returns how long it is. With what it does not unpack the answer, as
// recovery needs only the rest.
func parseRecord(b []byte, unpack bool) (r record, n int, err error) {
	if len(b) < recordHeaderSize {
		return r, 0, errTruncated
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if binary.LittleEndian.Uint32(b) != recordMagic || length < recordFixedSize || length > maxRecord {
		return r, 0, errDamaged
	}
	if len(b) < recordHeaderSize+int(length) {
		return r, 0, errTruncated
	}
	f := b[recordHeaderSize : recordHeaderSize+int(length)]
	if crc32.Checksum(f, crcTable) != binary.LittleEndian.Uint32(b[8:]) {
		return r, 0, errDamaged
	}
	r.state = recovery.State(f[0])
	r.fingerprint = Fingerprint{binary.LittleEndian.Uint64(f[2:]), binary.LittleEndian.Uint64(f[10:])}
	r.bodyHash = binary.LittleEndian.Uint64(f[18:])
	r.untilMs = math.Float64frombits(binary.LittleEndian.Uint64(f[26:]))
	r.writtenMs = math.Float64frombits(binary.LittleEndian.Uint64(f[34:]))
	if !r.state.Known() || math.IsNaN(r.untilMs) || math.IsInf(r.untilMs, 0) || math.IsNaN(r.writtenMs) {
		return r, 0, errDamaged
	}
	if !unpack {
		return r, recordHeaderSize + int(length), nil
	}
	payload := f[recordFixedSize:]
	if f[1] == 1 {
		if n, err := s2.DecodedLen(payload); err != nil || n > maxRecord {
			return r, 0, errDamaged
		}
		if payload, err = s2.Decode(nil, payload); err != nil {
			return r, 0, errDamaged
		}
	}
	head := int(binary.LittleEndian.Uint32(f[42:]))
	if head > len(payload) {
		return r, 0, errDamaged
	}
	r.head, r.result = append([]byte(nil), payload[:head]...), append([]byte(nil), payload[head:]...)
	return r, recordHeaderSize + int(length), nil
}

// appendSegHead begins a segment of an owner.
func appendSegmentHeader(b []byte, owner, number uint64) []byte {
	b = append(append(b, segmentMagic...), Version)
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(b, owner), number)
}

func littleEndian64(b []byte) uint64 { return binary.LittleEndian.Uint64(b) }

// sizeAt is how long the record at a place is.
func recordSizeAt(f File, off int64) (int64, error) {
	var b [recordHeaderSize]byte
	if _, err := f.ReadAt(b[:], off); err != nil {
		return 0, err
	}
	return int64(recordHeaderSize + binary.LittleEndian.Uint32(b[4:])), nil
}
