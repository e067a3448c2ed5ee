// Package msgpack parses MessagePack in place and writes it. A Parser walks over bytes that it never copies,
// checks every length against what is there before it goes on, and allocates nothing. It knows nothing of
// messages or sockets, and must never be asked to trust a length that it has not seen the bytes of.
package msgpack

import (
	"encoding/binary"
	"errors"
	"math"
)

var (
	ErrTruncated      = errors.New("msgpack: the value is cut off")
	ErrInvalid        = errors.New("msgpack: not MessagePack")
	ErrTooDeep        = errors.New("msgpack: nested too deep")
	ErrUnexpectedType = errors.New("msgpack: a value of another type expected")
)

// maxDepth bounds the nesting: the protocol's own messages are four deep.
const maxDepth = 16

// Parser reads one value after the other. The first error stays, and all that is read after it is zero.
type Parser struct {
	data    []byte
	offset  int
	missing uint64
	err     error
}

// Parse returns a parser of b.
func Parse(b []byte) Parser { return Parser{data: b} }

// Err is the first error met.
func (p *Parser) Err() error { return p.err }

// Lack is, after ErrShort, how many bytes more there must be at the least.
func (p *Parser) Missing() uint64 { return p.missing }

// At is the number of bytes read.
func (p *Parser) Offset() int { return p.offset }

func (p *Parser) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

// has tells whether n more bytes are there.
func (p *Parser) has(n uint64) bool {
	left := uint64(len(p.data) - p.offset)
	if p.err == nil && n > left {
		p.err, p.missing = ErrTruncated, n-left
	}
	return p.err == nil
}

func (p *Parser) take(n uint64) []byte {
	if !p.has(n) {
		return nil
	}
	b := p.data[p.offset : p.offset+int(n)]
	p.offset += int(n)
	return b
}

func (p *Parser) peek() byte {
	if !p.has(1) {
		return 0
	}
	return p.data[p.offset]
}

// uint reads an unsigned number of n bytes.
func (p *Parser) uint(n int) (v uint64) {
	for _, c := range p.take(uint64(n)) {
		v = v<<8 | uint64(c)
	}
	return v
}

// kind is what the first byte of a value tells.
type kind uint8

const (
	noKind kind = iota
	nilKind
	boolKind
	uintKind
	intKind
	floatKind
	strKind
	binKind
	extKind
	arrayKind
	mapKind
)

// head reads a value's first byte and the length or number behind it. For numbers v holds the bits, for
// strings and the like the bytes that follow, for arrays the items and for maps the pairs.
func (p *Parser) head() (k kind, v uint64) {
	c := p.peek()
	if p.err != nil {
		return noKind, 0
	}
	p.offset++
	switch {
	case c <= 0x7f:
		return uintKind, uint64(c)
	case c <= 0x8f:
		return mapKind, uint64(c & 0x0f)
	case c <= 0x9f:
		return arrayKind, uint64(c & 0x0f)
	case c <= 0xbf:
		return strKind, uint64(c & 0x1f)
	case c >= 0xe0:
		return intKind, uint64(int64(int8(c)))
	}
	switch c {
	case 0xc0:
		return nilKind, 0
	case 0xc2, 0xc3:
		return boolKind, uint64(c & 1)
	case 0xc4, 0xc5, 0xc6:
		return binKind, p.uint(1 << (c - 0xc4))
	case 0xc7, 0xc8, 0xc9:
		return extKind, p.uint(1<<(c-0xc7)) + 1
	case 0xca:
		return floatKind, math.Float64bits(float64(math.Float32frombits(uint32(p.uint(4)))))
	case 0xcb:
		return floatKind, p.uint(8)
	case 0xcc, 0xcd, 0xce, 0xcf:
		return uintKind, p.uint(1 << (c - 0xcc))
	case 0xd0:
		return intKind, uint64(int64(int8(p.uint(1))))
	case 0xd1:
		return intKind, uint64(int64(int16(p.uint(2))))
	case 0xd2:
		return intKind, uint64(int64(int32(p.uint(4))))
	case 0xd3:
		return intKind, p.uint(8)
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8:
		return extKind, 1<<(c-0xd4) + 1
	case 0xd9, 0xda, 0xdb:
		return strKind, p.uint(1 << (c - 0xd9))
	case 0xdc, 0xdd:
		return arrayKind, p.uint(2 << (c - 0xdc))
	case 0xde, 0xdf:
		return mapKind, p.uint(2 << (c - 0xde))
	}
	p.fail(ErrInvalid) // 0xc1 is never used
	return noKind, 0
}

func (p *Parser) expect(k kind) uint64 {
	got, v := p.head()
	if got != k {
		p.fail(ErrUnexpectedType)
	}
	if p.err != nil {
		return 0
	}
	return v
}

// Array reads the head of an array and returns how many items follow.
func (p *Parser) Array() int { return p.count(arrayKind, 1) }

// Map reads the head of a map and returns how many pairs follow.
func (p *Parser) Map() int { return p.count(mapKind, 2) }

// items returns a count; each item takes a byte at least, so a false one is found here.
func (p *Parser) count(k kind, each uint64) int {
	n := p.expect(k)
	if !p.has(n * each) {
		return 0
	}
	return int(n)
}

// Uint reads a whole number from 0 up.
func (p *Parser) Uint() uint64 {
	k, v := p.head()
	if k != uintKind && (k != intKind || int64(v) < 0) {
		p.fail(ErrUnexpectedType)
	}
	if p.err != nil {
		return 0
	}
	return v
}

// Bool reads true or false.
func (p *Parser) Bool() bool { return p.expect(boolKind) == 1 }

// Nil reads a nil.
func (p *Parser) Nil() { p.expect(nilKind) }

// Bytes reads a string or binary. The bytes are those parsed, not a copy.
func (p *Parser) Bytes() []byte {
	k, n := p.head()
	if k != strKind && k != binKind {
		p.fail(ErrUnexpectedType)
	}
	return p.take(n)
}

// Skip passes over one value, whatever it is.
func (p *Parser) Skip() { p.skip(0) }

func (p *Parser) skip(depth int) {
	if depth > maxDepth {
		p.fail(ErrTooDeep)
		return
	}
	k, n := p.head()
	switch k {
	case strKind, binKind, extKind:
		p.take(n)
	case mapKind:
		n *= 2
		fallthrough
	case arrayKind:
		for p.has(n); n > 0 && p.err == nil; n-- {
			p.skip(depth + 1)
		}
	}
}

// AppendArray begins an array of n items.
func AppendArray(b []byte, n int) []byte { return appendSize(b, 0x90, 15, 0xdc, n) }

// AppendMap begins a map of n pairs.
func AppendMap(b []byte, n int) []byte { return appendSize(b, 0x80, 15, 0xde, n) }

// AppendNil adds a nil.
func AppendNil(b []byte) []byte { return append(b, 0xc0) }

// AppendBool adds true or false.
func AppendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 0xc3)
	}
	return append(b, 0xc2)
}

// AppendUint adds a number in its shortest form.
func AppendUint(b []byte, v uint64) []byte {
	switch {
	case v < 0x80:
		return append(b, byte(v))
	case v <= math.MaxUint8:
		return append(b, 0xcc, byte(v))
	case v <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(v))
	case v <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(v))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xcf), v)
}

// AppendString adds a string.
func AppendString(b []byte, s string) []byte {
	if len(s) > 31 && len(s) <= math.MaxUint8 {
		b = append(b, 0xd9, byte(len(s)))
	} else {
		b = appendSize(b, 0xa0, 31, 0xda, len(s))
	}
	return append(b, s...)
}

// AppendBinHead begins a binary of n bytes, which the caller writes behind it.
func AppendBinHeader(b []byte, n int) []byte {
	if n <= math.MaxUint8 {
		return append(b, 0xc4, byte(n))
	}
	return appendSize(b, 0, -1, 0xc5, n)
}

// appendSize adds a length: within the first byte up to most, else behind the code wide as two or four bytes.
func appendSize(b []byte, tight byte, most int, wide byte, n int) []byte {
	switch {
	case n <= most:
		return append(b, tight|byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, wide), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, wide+1), uint32(n))
}
