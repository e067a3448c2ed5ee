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
	segMagic  = "SVSTORE"
	segHead   = 8 + 8 + 8 // magic and version, owner, number
	recHead   = 4 + 4 + 4 // magic, length, checksum
	recMagic  = 0x56524543
	recFixed  = 1 + 1 + 16 + 8 + 8 + 8 + 4 // state, packed, fingerprint, body, until, written, head length
	packs     = 256                        // bytes from which an answer is worth packing: below that s2 rarely saves a tenth
	maxRecord = 32 << 20
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
	print   Fingerprint
	state   recovery.State
	body    uint64
	until   float64
	written float64
	head    []byte
	result  []byte
}

// size is the most that a record with so many bytes takes.
func size(bytes int) int { return recHead + recFixed + s2.MaxEncodedLen(bytes) }

func (r *record) append(b []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, recHead+recFixed)...)
	payload := append(append([]byte(nil), r.head...), r.result...)
	packed := byte(0)
	if len(payload) >= packs {
		if p := s2.Encode(nil, payload); len(p) < len(payload) {
			payload, packed = p, 1
		}
	}
	b = append(b, payload...)
	f := b[start+recHead:]
	f[0], f[1] = byte(r.state), packed
	binary.LittleEndian.PutUint64(f[2:], r.print[0])
	binary.LittleEndian.PutUint64(f[10:], r.print[1])
	binary.LittleEndian.PutUint64(f[18:], r.body)
	binary.LittleEndian.PutUint64(f[26:], math.Float64bits(r.until))
	binary.LittleEndian.PutUint64(f[34:], math.Float64bits(r.written))
	binary.LittleEndian.PutUint32(f[42:], uint32(len(r.head)))
	h := b[start:]
	binary.LittleEndian.PutUint32(h, recMagic)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(f)))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(f, crcTable))
	return b
}

var (
	errShort = errors.New("cut off")
	errBad   = errors.New("damaged")
)

// parse reads the record at the beginning of b, and returns how long it is. With what it does not unpack the answer, as
// recovery needs only the rest.
func parse(b []byte, unpack bool) (r record, n int, err error) {
	if len(b) < recHead {
		return r, 0, errShort
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if binary.LittleEndian.Uint32(b) != recMagic || length < recFixed || length > maxRecord {
		return r, 0, errBad
	}
	if len(b) < recHead+int(length) {
		return r, 0, errShort
	}
	f := b[recHead : recHead+int(length)]
	if crc32.Checksum(f, crcTable) != binary.LittleEndian.Uint32(b[8:]) {
		return r, 0, errBad
	}
	r.state = recovery.State(f[0])
	r.print = Fingerprint{binary.LittleEndian.Uint64(f[2:]), binary.LittleEndian.Uint64(f[10:])}
	r.body = binary.LittleEndian.Uint64(f[18:])
	r.until = math.Float64frombits(binary.LittleEndian.Uint64(f[26:]))
	r.written = math.Float64frombits(binary.LittleEndian.Uint64(f[34:]))
	if !r.state.Known() || math.IsNaN(r.until) || math.IsInf(r.until, 0) || math.IsNaN(r.written) {
		return r, 0, errBad
	}
	if !unpack {
		return r, recHead + int(length), nil
	}
	payload := f[recFixed:]
	if f[1] == 1 {
		if n, err := s2.DecodedLen(payload); err != nil || n > maxRecord {
			return r, 0, errBad
		}
		if payload, err = s2.Decode(nil, payload); err != nil {
			return r, 0, errBad
		}
	}
	head := int(binary.LittleEndian.Uint32(f[42:]))
	if head > len(payload) {
		return r, 0, errBad
	}
	r.head, r.result = append([]byte(nil), payload[:head]...), append([]byte(nil), payload[head:]...)
	return r, recHead + int(length), nil
}

// appendSegHead begins a segment of an owner.
func appendSegHead(b []byte, owner, number uint64) []byte {
	b = append(append(b, segMagic...), Version)
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(b, owner), number)
}

func le64(b []byte) uint64 { return binary.LittleEndian.Uint64(b) }

// sizeAt is how long the record at a place is.
func sizeAt(f File, off int64) (int64, error) {
	var b [recHead]byte
	if _, err := f.ReadAt(b[:], off); err != nil {
		return 0, err
	}
	return int64(recHead + binary.LittleEndian.Uint32(b[4:])), nil
}
