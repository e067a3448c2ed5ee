// Package uwsgi reads and writes the uwsgi protocol's packets: a head of four bytes, the block of variables, and the
// HTTP/1.x answer that comes back. Its source is the protocol's public specification. A parser walks over bytes that
// it never copies, checks each length against what is there, and allocates nothing once its slices have grown. The
// package must never touch a socket, trust a length that it has not seen the bytes of, or know what a variable is for.
package uwsgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// HeadSize is the number of bytes before the block of variables.
const HeaderSize = 4

// MaxBlock is the longest block that the head can tell.
const MaxBlockSize = 1<<16 - 1

// Head is what a packet begins with. Both modifiers are 0 for a WSGI-like RPC with variables and a body.
type Header struct {
	Modifier1, Modifier2 byte
	BlockSize            int // of the block in bytes
}

// ParseHead reads the head. b must hold HeadSize bytes.
func ParseHeader(b []byte) Header {
	return Header{Modifier1: b[0], Modifier2: b[3], BlockSize: int(binary.LittleEndian.Uint16(b[1:]))}
}

var (
	ErrTruncated        = errors.New("uwsgi: cut off")
	ErrLengthOutOfRange = errors.New("uwsgi: a variable's length goes beyond the block")
	ErrTooManyVariables = errors.New("uwsgi: too many variables")
	ErrEmptyName        = errors.New("uwsgi: a variable without a name")
	ErrDuplicate        = errors.New("uwsgi: a variable stands twice with two values")
)

// Variables are those of one block, in their order. They are parts of the text that was parsed.
type Variables struct {
	pairs []variable
}

type variable struct{ name, value string }

// Parse takes a whole block. Of HTTP_ variables, which stand for header lines and may come several times, the first
// counts; any other, and HTTP_HOST, may stand twice only with one value, as two readers would else go by two. An
// error is one of those above.
func (v *Variables) Parse(block string, most int) error {
	v.pairs = v.pairs[:0]
	for len(block) > 0 {
		name, rest, ok := cutString(block)
		if !ok {
			return ErrLengthOutOfRange
		}
		value, rest, ok := cutString(rest)
		if !ok {
			return ErrLengthOutOfRange
		}
		block = rest
		if name == "" {
			return ErrEmptyName
		}
		if len(v.pairs) == most {
			return ErrTooManyVariables
		}
		if !strings.HasPrefix(name, "HTTP_") || name == "HTTP_HOST" {
			if old, had := v.Get(name); had && old != value {
				return fmt.Errorf("%w: %.40q", ErrDuplicate, name)
			}
		}
		v.pairs = append(v.pairs, variable{name, value})
	}
	return nil
}

func cutString(b string) (s, rest string, ok bool) {
	if len(b) < 2 {
		return "", "", false
	}
	n := int(b[0]) | int(b[1])<<8
	if len(b)-2 < n {
		return "", "", false
	}
	return b[2 : 2+n], b[2+n:], true
}

// Get returns the first variable of a name.
func (v *Variables) Get(name string) (value string, has bool) {
	for i := range v.pairs {
		if v.pairs[i].name == name {
			return v.pairs[i].value, true
		}
	}
	return "", false
}

// Lookup finds a variable in a block that Parse has taken, without taking it apart again.
func Lookup(block, name string) (value string, has bool) {
	for len(block) > 0 {
		n, rest, ok := cutString(block)
		if !ok {
			return "", false
		}
		v, rest, ok := cutString(rest)
		if !ok {
			return "", false
		}
		if n == name {
			return v, true
		}
		block = rest
	}
	return "", false
}

// Len is the number of variables.
func (v *Variables) Len() int { return len(v.pairs) }

// At is the variable at a place from 0 up to Len.
func (v *Variables) At(i int) (name, value string) { return v.pairs[i].name, v.pairs[i].value }

// Reset forgets the variables, and with them the text that they are parts of.
func (v *Variables) Reset() {
	clear(v.pairs)
	v.pairs = v.pairs[:0]
}

// AppendHead adds the head of a packet with a block of size bytes, which is at most MaxBlock.
func AppendHeader(b []byte, modifier1 byte, size int, modifier2 byte) []byte {
	return append(binary.LittleEndian.AppendUint16(append(b, modifier1), uint16(size)), modifier2)
}

// AppendVariable adds one variable. What is longer than its length can tell is cut, which no block that was read has.
func AppendVariable(b []byte, name, value string) []byte {
	for _, s := range [...]string{name, value} {
		s = s[:min(len(s), MaxBlockSize)]
		b = append(binary.LittleEndian.AppendUint16(b, uint16(len(s))), s...)
	}
	return b
}
