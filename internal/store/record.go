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

// Version is the version of the format that this build writes and reads.
const Version = 1

// A segment begins with a header of magic number, version, owner and the segment's number. Its records follow without gaps.
// Each record consists of a header (magic number, length, checksum), the fixed fields, and head and result, which may be
// compressed together. Numbers are little-endian. The lengths of head and result are used only after the checksum that covers
// them has been verified.
const (
	segmentMagic      = "SVSTORE"
	versionOffset     = 7
	ownerOffset       = 8
	segmentHeaderSize = 8 + 8 + 8

	recordMagic      = 0x56524543
	recordHeaderSize = 4 + 4 + 4
	lengthOffset     = 4
	checksumOffset   = 8

	// Offsets of the fixed fields of a record from the end of its header.
	stateOffset       = 0
	compressedOffset  = 1 // 1 if head and result are compressed with s2
	fingerprintOffset = 2
	bodyHashOffset    = 18
	untilOffset       = 26
	writtenOffset     = 34
	headLengthOffset  = 42 // length of the head before compression
	recordFixedSize   = 46

	// compressFrom is the combined length of head and result, in bytes, from which they are compressed. On shorter input s2
	// rarely saves a tenth.
	compressFrom = 256
	// maxRecord is the largest length of a record, and of its head and result, that is accepted as valid, in bytes.
	maxRecord = 32 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Fingerprint identifies a token by two hashes of its key.
type Fingerprint [2]uint64

// secondSeed is the seed of the second hash of a Fingerprint.
const secondSeed = 0x5bd1e995

// FingerprintOf returns the fingerprint of a token's key. It is the same in every process.
func FingerprintOf(key string) Fingerprint {
	second := xxhash.NewWithSeed(secondSeed)
	_, _ = second.WriteString(key) // never fails
	return Fingerprint{xxhash.Sum64String(key), second.Sum64()}
}

// record is one state of a token as it is written to a segment.
type record struct {
	fingerprint Fingerprint
	state       recovery.State
	bodyHash    uint64
	untilMs     float64 // end of the deduplication window, in Unix ms
	writtenMs   float64 // in Unix ms
	head        []byte
	result      []byte
}

// maxRecordSize returns the maximum size of a record whose head and result have the given number of bytes in all.
func maxRecordSize(bytes int) int {
	return recordHeaderSize + recordFixedSize + s2.MaxEncodedLen(bytes)
}

// append appends the encoded record to b.
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
	errNotSegment = errors.New("not a segment of a store")
	errTruncated  = errors.New("truncated")
	errDamaged    = errors.New("damaged")
)

// parseRecord parses the record at the beginning of b and returns its size. The error is errTruncated if b ends before the
// record does, or errDamaged. Head and result are parsed only if payload is set; recovery does not need them.
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

// parsePayload parses head and result, which follow the fixed fields.
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

// appendSegmentHeader appends the header of the owner's segment with the given number.
func appendSegmentHeader(b []byte, owner, number uint64) []byte {
	b = append(b, segmentMagic...)
	b = append(b, Version)
	b = binary.LittleEndian.AppendUint64(b, owner)
	return binary.LittleEndian.AppendUint64(b, number)
}

func littleEndian64(b []byte) uint64 { return binary.LittleEndian.Uint64(b) }

// recordSizeAt returns the size of the record at an offset, with its header.
func recordSizeAt(f File, offset int64) (int64, error) {
	var header [recordHeaderSize]byte
	if _, err := f.ReadAt(header[:], offset); err != nil {
		return 0, err
	}
	return int64(recordHeaderSize + binary.LittleEndian.Uint32(header[lengthOffset:])), nil
}
