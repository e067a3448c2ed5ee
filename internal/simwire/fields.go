package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
)

// fields decodes the packed big-endian fields of a record. Fields beyond the end of the record are zero.
type fields struct {
	rest []byte
	err  error // set if a field is truncated; no field is read after that
}

// take returns the next n bytes, or nil at the end of the record or after an error.
func (f *fields) take(n int) []byte {
	if len(f.rest) == 0 || f.err != nil {
		return nil
	}
	if len(f.rest) < n {
		f.err = fmt.Errorf("truncated field: want %d bytes, have %d", n, len(f.rest))
		return nil
	}
	b := f.rest[:n]
	f.rest = f.rest[n:]
	return b
}

func (f *fields) u8() uint8 {
	if b := f.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *fields) u16() uint16 {
	if b := f.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (f *fields) u32() uint32 {
	if b := f.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *fields) u64() uint64 {
	if b := f.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// f32 reads a 32-bit floating-point number. It returns 0 for NaN and infinities.
func (f *fields) f32() float64 {
	v := float64(math.Float32frombits(f.u32()))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// ms reads a time in nanoseconds and returns it in milliseconds.
func (f *fields) ms() float64 { return float64(f.u64()) / nsPerMs }

// bytes reads a 4-byte length followed by that number of bytes.
func (f *fields) bytes() []byte {
	n := f.u32()
	if uint64(n) > uint64(len(f.rest)) {
		f.err = fmt.Errorf("truncated text: length field is %d bytes, have %d", n, len(f.rest))
		return nil
	}
	return f.take(int(n))
}
