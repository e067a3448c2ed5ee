// Package msgpack parses MessagePack in place and encodes it, following the specification
// (https://github.com/msgpack/msgpack/blob/master/spec.md). A Parser does not copy its input, checks every length
// against the available bytes before it proceeds, and allocates nothing.
//
// The package is independent of messages and sockets, and must never trust a length whose bytes it has not received.
package msgpack

import (
	"errors"
	"math"
)

// Errors of a Parser.
var (
	// ErrTruncated means that the input ends within the value; see Parser.Missing.
	ErrTruncated = errors.New("msgpack: value is truncated")
	// ErrInvalid means that the input is not MessagePack.
	ErrInvalid = errors.New("msgpack: not MessagePack")
	// ErrTooDeep means that arrays and maps are nested deeper than maxDepth.
	ErrTooDeep = errors.New("msgpack: nested too deep")
	// ErrUnexpectedType means that the value does not have the requested type.
	ErrUnexpectedType = errors.New("msgpack: a value of another type expected")
)

// maxDepth is the maximum nesting depth. The protocol's own messages are nested four deep.
const maxDepth = 16

// Parser reads consecutive values. It keeps the first error; every value read after that is zero.
type Parser struct {
	data    []byte
	offset  int
	missing uint64
	err     error
}

// Parse returns a parser of b.
func Parse(b []byte) Parser { return Parser{data: b} }

// Err returns the first error.
func (p *Parser) Err() error { return p.err }

// Missing returns a lower bound of the number of missing bytes after ErrTruncated.
func (p *Parser) Missing() uint64 { return p.missing }

// Offset returns the number of bytes read so far.
func (p *Parser) Offset() int { return p.offset }

func (p *Parser) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

// require reports whether n more bytes are available, and fails with ErrTruncated if they are not.
func (p *Parser) require(n uint64) bool {
	left := uint64(len(p.data) - p.offset)
	if p.err == nil && n > left {
		p.err = ErrTruncated
		p.missing = n - left
	}
	return p.err == nil
}

// take reads n bytes.
func (p *Parser) take(n uint64) []byte {
	if !p.require(n) {
		return nil
	}
	b := p.data[p.offset : p.offset+int(n)]
	p.offset += int(n)
	return b
}

// peek returns the next byte without reading it.
func (p *Parser) peek() byte {
	if !p.require(1) {
		return 0
	}
	return p.data[p.offset]
}

// uint reads an unsigned integer of n bytes.
func (p *Parser) uint(n int) (v uint64) {
	for _, c := range p.take(uint64(n)) {
		v = v<<8 | uint64(c)
	}
	return v
}

// kind is the type of a value, which its first byte determines.
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

// The first bytes of values, under the names of the specification. The first bytes that form a range hold a number or a
// length in their low bits.
const (
	maxPositiveFixint = 0x7f
	fixmapBase        = 0x80
	maxFixmap         = 0x8f
	fixarrayBase      = 0x90
	maxFixarray       = 0x9f
	fixstrBase        = 0xa0
	maxFixstr         = 0xbf
	codeNil           = 0xc0
	codeFalse         = 0xc2
	codeTrue          = 0xc3
	codeBin8          = 0xc4
	codeBin16         = 0xc5
	codeBin32         = 0xc6
	codeExt8          = 0xc7
	codeExt16         = 0xc8
	codeExt32         = 0xc9
	codeFloat32       = 0xca
	codeFloat64       = 0xcb
	codeUint8         = 0xcc
	codeUint16        = 0xcd
	codeUint32        = 0xce
	codeUint64        = 0xcf
	codeInt8          = 0xd0
	codeInt16         = 0xd1
	codeInt32         = 0xd2
	codeInt64         = 0xd3
	codeFixext1       = 0xd4
	codeFixext2       = 0xd5
	codeFixext4       = 0xd6
	codeFixext8       = 0xd7
	codeFixext16      = 0xd8
	codeStr8          = 0xd9
	codeStr16         = 0xda
	codeStr32         = 0xdb
	codeArray16       = 0xdc
	codeArray32       = 0xdd
	codeMap16         = 0xde
	codeMap32         = 0xdf
	minNegativeFixint = 0xe0
)

// head reads the first byte of a value and the length or number that follows it. For a number, v holds its bits; for a
// string, binary or extension the number of bytes that follow; for an array the number of items; for a map the number
// of pairs.
func (p *Parser) head() (k kind, v uint64) {
	c := p.peek()
	if p.err != nil {
		return noKind, 0
	}
	p.offset++
	switch {
	case c <= maxPositiveFixint:
		return uintKind, uint64(c)
	case c <= maxFixmap:
		return mapKind, uint64(c - fixmapBase)
	case c <= maxFixarray:
		return arrayKind, uint64(c - fixarrayBase)
	case c <= maxFixstr:
		return strKind, uint64(c - fixstrBase)
	case c >= minNegativeFixint:
		return intKind, uint64(int64(int8(c)))
	}
	return p.codedHead(c)
}

// codedHead is head for a first byte that holds only the type. The size of the number that follows doubles from one
// code of a type to the next.
func (p *Parser) codedHead(c byte) (k kind, v uint64) {
	switch c {
	case codeNil:
		return nilKind, 0
	case codeFalse, codeTrue:
		return boolKind, uint64(c - codeFalse)
	case codeBin8, codeBin16, codeBin32:
		return binKind, p.uint(1 << (c - codeBin8))
	case codeExt8, codeExt16, codeExt32:
		return extKind, p.uint(1<<(c-codeExt8)) + 1 // one more byte for the type of the extension
	case codeFloat32:
		return floatKind, math.Float64bits(float64(math.Float32frombits(uint32(p.uint(4)))))
	case codeFloat64:
		return floatKind, p.uint(8)
	case codeUint8, codeUint16, codeUint32, codeUint64:
		return uintKind, p.uint(1 << (c - codeUint8))
	case codeInt8:
		return intKind, uint64(int64(int8(p.uint(1))))
	case codeInt16:
		return intKind, uint64(int64(int16(p.uint(2))))
	case codeInt32:
		return intKind, uint64(int64(int32(p.uint(4))))
	case codeInt64:
		return intKind, p.uint(8)
	case codeFixext1, codeFixext2, codeFixext4, codeFixext8, codeFixext16:
		return extKind, 1<<(c-codeFixext1) + 1
	case codeStr8, codeStr16, codeStr32:
		return strKind, p.uint(1 << (c - codeStr8))
	case codeArray16, codeArray32:
		return arrayKind, p.uint(2 << (c - codeArray16))
	case codeMap16, codeMap32:
		return mapKind, p.uint(2 << (c - codeMap16))
	}
	p.fail(ErrInvalid) // the specification never uses 0xc1
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

// Array reads the header of an array and returns the number of its items.
func (p *Parser) Array() int { return p.count(arrayKind, 1) }

// Map reads the header of a map and returns the number of its pairs.
func (p *Parser) Map() int { return p.count(mapKind, 2) }

// count reads the header of an array or a map. An item takes at least minSize bytes, so a count that exceeds the
// available bytes fails here.
func (p *Parser) count(k kind, minSize uint64) int {
	n := p.expect(k)
	if !p.require(n * minSize) {
		return 0
	}
	return int(n)
}

// Uint reads a non-negative integer in any of its forms.
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

// Bool reads a boolean.
func (p *Parser) Bool() bool { return p.expect(boolKind) == 1 }

// Nil reads nil.
func (p *Parser) Nil() { p.expect(nilKind) }

// Bytes reads a string or binary. The result is part of the input, not a copy.
func (p *Parser) Bytes() []byte {
	k, n := p.head()
	if k != strKind && k != binKind {
		p.fail(ErrUnexpectedType)
	}
	return p.take(n)
}

// Skip skips one value of any type.
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
		p.skipItems(2*n, depth)
	case arrayKind:
		p.skipItems(n, depth)
	}
}

// skipItems skips the n values contained in a value at depth. It fails if fewer than n bytes are available.
func (p *Parser) skipItems(n uint64, depth int) {
	p.require(n)
	for ; n > 0 && p.err == nil; n-- {
		p.skip(depth + 1)
	}
}
