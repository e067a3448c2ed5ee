package uwsgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// The errors of Variables.Parse.
var (
	// ErrLengthOutOfRange means that the length of a name or a value goes beyond the block.
	ErrLengthOutOfRange = errors.New("uwsgi: a variable's length goes beyond the block")
	// ErrTooManyVariables means that there are more variables than allowed.
	ErrTooManyVariables = errors.New("uwsgi: too many variables")
	// ErrEmptyName means that a variable has no name.
	ErrEmptyName = errors.New("uwsgi: a variable without a name")
	// ErrDuplicate means that a variable comes twice with two values.
	ErrDuplicate = errors.New("uwsgi: a variable stands twice with two values")
)

// Variables are those of one block, in their order. They are parts of the text that was parsed. The zero value is empty
// and ready to use; it is not safe for concurrent use.
type Variables struct {
	pairs []variable
}

type variable struct{ name, value string }

// Parse parses a complete block of at most maxCount variables. Of HTTP_ variables, which stand for header lines and may
// come several times, the first counts; any other one, and HTTP_HOST, may come twice only with one value, as two readers
// would else see two. The error wraps one of those above.
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
			if earlier, has := v.Get(name); has && earlier != value {
				return fmt.Errorf("%w: %.40q", ErrDuplicate, name)
			}
		}
		v.pairs = append(v.pairs, variable{name: name, value: value})
	}
	return nil
}

// cutVariable returns the first variable of a block and what follows it.
func cutVariable(block string) (name, value, rest string, ok bool) {
	name, rest, ok = cutString(block)
	if !ok {
		return "", "", "", false
	}
	value, rest, ok = cutString(rest)
	return name, value, rest, ok
}

// cutString returns the string at the beginning of b, behind its length, and what follows it.
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

// Get returns the first variable of a name.
func (v *Variables) Get(name string) (value string, has bool) {
	for i := range v.pairs {
		if v.pairs[i].name == name {
			return v.pairs[i].value, true
		}
	}
	return "", false
}

// Lookup finds a variable in a block that Parse has accepted, without parsing all of it again.
func Lookup(block, name string) (value string, has bool) {
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

// At returns the variable at an index from 0 to Len-1.
func (v *Variables) At(i int) (name, value string) { return v.pairs[i].name, v.pairs[i].value }

// Reset drops the variables, and with them the text that they are parts of.
func (v *Variables) Reset() {
	clear(v.pairs)
	v.pairs = v.pairs[:0]
}

// AppendVariable adds one variable to a block. A name or value longer than MaxBlockSize is cut, which none that was parsed
// is.
func AppendVariable(b []byte, name, value string) []byte {
	return appendString(appendString(b, name), value)
}

func appendString(b []byte, s string) []byte {
	s = s[:min(len(s), MaxBlockSize)]
	b = binary.LittleEndian.AppendUint16(b, uint16(len(s)))
	return append(b, s...)
}
