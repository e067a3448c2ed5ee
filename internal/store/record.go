package store

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

// A segment begins with a header: magic, version, the owner and the segment's number. Its records follow without gaps, each
// a header of magic, length and checksum, then the fixed fields, then head and result, which may be compressed together.
// Numbers are little-endian. No length is used before the checksum has covered it.
const (
	segmentMagic      = "SVSTORE"
	versionOffset     = 7
	ownerOffset       = 8
	segmentHeaderSize = 8 + 8 + 8

	recordMagic      = 0x56524543
	recordHeaderSize = 4 + 4 + 4
	lengthOffset     = 4
	checksumOffset   = 8

	// The fixed fields of a record, from the end of its header.
	stateOffset       = 0
	compressedOffset  = 1 // 1 if what follows the fixed fields is compressed by s2
	fingerprintOffset = 2
	bodyHashOffset    = 18
	untilOffset       = 26
	writtenOffset     = 34
	headLengthOffset  = 42 // of the head before compression
	recordFixedSize   = 46

	// compressFrom is the length of head and result from which compression is worth while: below it s2 rarely saves a tenth.
	compressFrom = 256
	// maxRecord is the largest length of a record, and of its head and result, that is taken to be sound.
	maxRecord = 32 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Fingerprint identifies a token: two hashes of its key.
type Fingerprint [2]uint64

// secondSeed is the seed of the second hash of a Fingerprint.
const secondSeed = 0x5bd1e995

// FingerprintOf returns the fingerprint of a token's key, the same in every process.
func FingerprintOf(key string) Fingerprint {
	second := xxhash.NewWithSeed(secondSeed)
	_, _ = second.WriteString(key) // it never fails
	return Fingerprint{xxhash.Sum64String(key), second.Sum64()}
}

// record is the state of a token as it is written.
type record struct {
	fingerprint Fingerprint
	state       recovery.State
	bodyHash    uint64
	untilMs     float64 // end of its window, in Unix ms
	writtenMs   float64 // in Unix ms
	head        []byte
	result      []byte
}

// maxRecordSize returns the size that a record takes at most with a head and result of so many bytes.
func maxRecordSize(bytes int) int {
	return recordHeaderSize + recordFixedSize + s2.MaxEncodedLen(bytes)
}

// append appends the record to b.
func (r *record) append(b []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, recordHeaderSize+recordFixedSize)...)
	payload := append(append([]byte(nil), r.head...), r.result...)
	compressed := byte(0)
	if len(payload) >= compressFrom {
		if p := s2.Encode(nil, payload); len(p) < len(payload) {
			payload = p
			compressed = 1
		}
	}
	b = append(b, payload...)
	fields := b[start+recordHeaderSize:]
	fields[stateOffset] = byte(r.state)
	fields[compressedOffset] = compressed
	binary.LittleEndian.PutUint64(fields[fingerprintOffset:], r.fingerprint[0])
	binary.LittleEndian.PutUint64(fields[fingerprintOffset+8:], r.fingerprint[1])
	binary.LittleEndian.PutUint64(fields[bodyHashOffset:], r.bodyHash)
	binary.LittleEndian.PutUint64(fields[untilOffset:], math.Float64bits(r.untilMs))
	binary.LittleEndian.PutUint64(fields[writtenOffset:], math.Float64bits(r.writtenMs))
	binary.LittleEndian.PutUint32(fields[headLengthOffset:], uint32(len(r.head)))
	header := b[start:]
	binary.LittleEndian.PutUint32(header, recordMagic)
	binary.LittleEndian.PutUint32(header[lengthOffset:], uint32(len(fields)))
	binary.LittleEndian.PutUint32(header[checksumOffset:], crc32.Checksum(fields, crcTable))
	return b
}

var (
	errNotSegment = errors.New("no segment of a store")
	errTruncated  = errors.New("cut off")
	errDamaged    = errors.New("damaged")
)

// parseRecord reads the record at the beginning of b and returns its size. The error is errTruncated if b ends before the
// record does, or errDamaged. Head and result are left out unless payload is set; recovery needs only the rest.
func parseRecord(b []byte, payload bool) (r record, size int, err error) {
	if len(b) < recordHeaderSize {
		return r, 0, errTruncated
	}
	length := binary.LittleEndian.Uint32(b[lengthOffset:])
	if binary.LittleEndian.Uint32(b) != recordMagic || length < recordFixedSize || length > maxRecord {
		return r, 0, errDamaged
	}
	size = recordHeaderSize + int(length)
	if len(b) < size {
		return r, 0, errTruncated
	}
	fields := b[recordHeaderSize:size]
	if crc32.Checksum(fields, crcTable) != binary.LittleEndian.Uint32(b[checksumOffset:]) {
		return r, 0, errDamaged
	}
	r.state = recovery.State(fields[stateOffset])
	r.fingerprint = Fingerprint{littleEndian64(fields[fingerprintOffset:]), littleEndian64(fields[fingerprintOffset+8:])}
	r.bodyHash = littleEndian64(fields[bodyHashOffset:])
	r.untilMs = math.Float64frombits(littleEndian64(fields[untilOffset:]))
	r.writtenMs = math.Float64frombits(littleEndian64(fields[writtenOffset:]))
	if !r.state.Known() || math.IsNaN(r.untilMs) || math.IsInf(r.untilMs, 0) || math.IsNaN(r.writtenMs) {
		return r, 0, errDamaged
	}
	if payload {
		if err := r.parsePayload(fields); err != nil {
			return r, 0, err
		}
	}
	return r, size, nil
}

// parsePayload reads head and result, which follow the fixed fields.
func (r *record) parsePayload(fields []byte) error {
	payload := fields[recordFixedSize:]
	if fields[compressedOffset] == 1 {
		n, err := s2.DecodedLen(payload)
		if err != nil || n > maxRecord {
			return errDamaged
		}
		if payload, err = s2.Decode(nil, payload); err != nil {
			return errDamaged
		}
	}
	headLength := int(binary.LittleEndian.Uint32(fields[headLengthOffset:]))
	if headLength > len(payload) {
		return errDamaged
	}
	r.head = append([]byte(nil), payload[:headLength]...)
	r.result = append([]byte(nil), payload[headLength:]...)
	return nil
}

// appendSegmentHeader appends the header of a segment of an owner.
func appendSegmentHeader(b []byte, owner, number uint64) []byte {
	b = append(b, segmentMagic...)
	b = append(b, Version)
	b = binary.LittleEndian.AppendUint64(b, owner)
	return binary.LittleEndian.AppendUint64(b, number)
}

func littleEndian64(b []byte) uint64 { return binary.LittleEndian.Uint64(b) }

// recordSizeAt returns the size of the record at an offset.
func recordSizeAt(f File, offset int64) (int64, error) {
	var header [recordHeaderSize]byte
	if _, err := f.ReadAt(header[:], offset); err != nil {
		return 0, err
	}
	return int64(recordHeaderSize + binary.LittleEndian.Uint32(header[lengthOffset:])), nil
}
