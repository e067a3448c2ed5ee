// Package msgpack parses MessagePack in place and writes it, as its specification says
// (https://github.com/msgpack/msgpack/blob/master/spec.md). A Parser never copies the bytes that it walks over, checks
// every length against what is there before it goes on, and allocates nothing.
//
// The package knows nothing of messages or sockets, and must never trust a length that it has not seen the bytes of.
package msgpack

import (
	"errors"
	"math"
)

// The errors of a Parser.
var (
	// ErrTruncated means that more bytes of the value are to come; see Parser.Missing.
	ErrTruncated = errors.New("msgpack: the value is cut off")
	// ErrInvalid means that the bytes are no MessagePack.
	ErrInvalid = errors.New("msgpack: not MessagePack")
	// ErrTooDeep means that arrays and maps are nested deeper than maxDepth.
	ErrTooDeep = errors.New("msgpack: nested too deep")
	// ErrUnexpectedType means that the value has another type than the one asked for.
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

// Err returns the first error met.
func (p *Parser) Err() error { return p.err }

// Missing returns, after ErrTruncated, a lower bound of the bytes that are missing.
func (p *Parser) Missing() uint64 { return p.missing }

// Offset returns the number of bytes read.
func (p *Parser) Offset() int { return p.offset }

func (p *Parser) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

// has reports whether n more bytes are there.
func (p *Parser) has(n uint64) bool {
	left := uint64(len(p.data) - p.offset)
	if p.err == nil && n > left {
		p.err = ErrTruncated
		p.missing = n - left
	}
	return p.err == nil
}

// take reads n bytes.
func (p *Parser) take(n uint64) []byte {
	if !p.has(n) {
		return nil
	}
	b := p.data[p.offset : p.offset+int(n)]
	p.offset += int(n)
	return b
}

// peek returns the next byte without reading it.
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

// kind is the type of a value, as its first byte tells.
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

// The first bytes of values, as the specification names them. Those in the form of ranges hold a number or a length in
// their low bits.
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

// head reads a value's first byte and the length or number behind it. For numbers v holds the bits, for strings and the
// like the number of bytes that follow, for arrays the items and for maps the pairs.
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

// codedHead is head for a first byte that holds nothing but the type. The sizes of the numbers behind it double from one
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
		return extKind, p.uint(1<<(c-codeExt8)) + 1 // the type of the extension takes one
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

// count returns a number of items; each takes minSize bytes at least, so a number beyond what is there is found here.
func (p *Parser) count(k kind, minSize uint64) int {
	n := p.expect(k)
	if !p.has(n * minSize) {
		return 0
	}
	return int(n)
}

// Uint reads an integer from 0 up, of any form.
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

// skipItems skips n values that lie in one at depth, if there are bytes enough for the shortest such.
func (p *Parser) skipItems(n uint64, depth int) {
	p.has(n)
	for ; n > 0 && p.err == nil; n-- {
		p.skip(depth + 1)
	}
}
