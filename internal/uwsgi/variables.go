package uwsgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// Errors of Variables.Parse.
var (
	// ErrLengthOutOfRange means that a name or a value extends beyond the end of the block.
	ErrLengthOutOfRange = errors.New("uwsgi: a variable's length goes beyond the block")
	// ErrTooManyVariables means that the block has more variables than allowed.
	ErrTooManyVariables = errors.New("uwsgi: too many variables")
	// ErrEmptyName means that a variable has no name.
	ErrEmptyName = errors.New("uwsgi: a variable without a name")
	// ErrDuplicate means that a variable is given twice with different values.
	ErrDuplicate = errors.New("uwsgi: a variable stands twice with two values")
)

// Variables holds the variables of one block in their order. Names and values are substrings of the parsed block. The
// zero value is empty and ready to use. Variables is not safe for concurrent use.
type Variables struct {
	pairs []variable
}

type variable struct{ name, value string }

// Parse parses a complete block of at most maxCount variables. HTTP_ variables represent header lines and may be
// repeated; the first one is used. Any other variable, and HTTP_HOST, may be repeated only with the same value, as two
// readers might otherwise use different values. The error wraps one of the errors above.
func (v *Variables) Parse(block string, maxCount int) error {
	v.pairs = v.pairs[:0]
	for len(block) > 0 {
		name, value, rest, ok := cutVariable(block)
		if !ok {
			return ErrLengthOutOfRange
		}
		block = rest
		if name == "" {
			return ErrEmptyName
		}
		if len(v.pairs) == maxCount {
			return ErrTooManyVariables
		}
		if !strings.HasPrefix(name, "HTTP_") || name == "HTTP_HOST" {
			if earlier, ok := v.Get(name); ok && earlier != value {
				return fmt.Errorf("%w: %.40q", ErrDuplicate, name)
			}
		}
		v.pairs = append(v.pairs, variable{name: name, value: value})
	}
	return nil
}

// cutVariable returns the first variable of a block and the rest of the block.
func cutVariable(block string) (name, value, rest string, ok bool) {
	name, rest, ok = cutString(block)
	if !ok {
		return "", "", "", false
	}
	value, rest, ok = cutString(rest)
	return name, value, rest, ok
}

// cutString returns the length-prefixed string at the beginning of b and the rest of b.
func cutString(b string) (s, rest string, ok bool) {
	const lengthSize = 2
	if len(b) < lengthSize {
		return "", "", false
	}
	n := int(b[0]) | int(b[1])<<8
	b = b[lengthSize:]
	if len(b) < n {
		return "", "", false
	}
	return b[:n], b[n:], true
}

// Get returns the value of the first variable with the given name.
func (v *Variables) Get(name string) (value string, ok bool) {
	for i := range v.pairs {
		if v.pairs[i].name == name {
			return v.pairs[i].value, true
		}
	}
	return "", false
}

// Lookup returns the value of the first variable with the given name in a block that Parse has accepted. It reads the
// block only up to that variable.
func Lookup(block, name string) (value string, ok bool) {
	for len(block) > 0 {
		n, value, rest, ok := cutVariable(block)
		if !ok {
			return "", false
		}
		if n == name {
			return value, true
		}
		block = rest
	}
	return "", false
}

// Len returns the number of variables.
func (v *Variables) Len() int { return len(v.pairs) }

// At returns the variable at index i, from 0 to Len-1.
func (v *Variables) At(i int) (name, value string) { return v.pairs[i].name, v.pairs[i].value }

// Reset removes all variables, so that the parsed block can be garbage-collected.
func (v *Variables) Reset() {
	clear(v.pairs)
	v.pairs = v.pairs[:0]
}

// AppendVariable appends a variable to a block. A name or value longer than MaxBlockSize is truncated; a parsed one is
// never that long.
func AppendVariable(b []byte, name, value string) []byte {
	return appendString(appendString(b, name), value)
}

func appendString(b []byte, s string) []byte {
	s = s[:min(len(s), MaxBlockSize)]
	b = binary.LittleEndian.AppendUint16(b, uint16(len(s)))
	return append(b, s...)
}
