package msgpack

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	text := func(p *Parser) any { return string(p.Bytes()) }
	num := func(p *Parser) any { return p.Uint() }
	array := func(p *Parser) any { return p.Array() }
	dict := func(p *Parser) any { return p.Map() }
	skip := func(p *Parser) any { p.Skip(); return p.Offset() }
	cases := []struct {
		name, in string
		read     func(*Parser) any
		want     any
		wantErr  error
	}{
		{"fixint", "\x07", num, uint64(7), nil},
		{"uint16", "\xcd\x01\x00", num, uint64(256), nil},
		{"uint64", "\xcf\xff\xff\xff\xff\xff\xff\xff\xff", num, uint64(math.MaxUint64), nil},
		{"non-negative number in a signed form", "\xd2\x00\x00\x00\x09", num, uint64(9), nil},
		{"negative", "\xff", num, uint64(0), ErrUnexpectedType},
		{"negative, wide", "\xd1\xff\x00", num, uint64(0), ErrUnexpectedType},
		{"truncated number", "\xce\x00", num, uint64(0), ErrTruncated},
		{"string", "\xa3abc", text, "abc", nil},
		{"str8", "\xd9\x02ab", text, "ab", nil},
		{"bin16", "\xc5\x00\x02\x00\xff", text, "\x00\xff", nil},
		{"truncated string", "\xa3ab", text, "", ErrTruncated},
		{"string with a length of four gigabytes", "\xdb\xff\xff\xff\xffab", text, "", ErrTruncated},
		{"nil instead of a string", "\xc0", text, "", ErrUnexpectedType},
		{"array", "\x92\x01\x02", array, 2, nil},
		{"array32 with more items than bytes", "\xdd\xff\xff\xff\xff\x01", array, 0, ErrTruncated},
		{"map", "\x81\xa1a\xa1b", dict, 1, nil},
		{"map16 with more pairs than bytes", "\xde\x00\x02\xa1a\xa1", dict, 0, ErrTruncated},
		{"skip nested", "\x92\x81\xa1a\xc4\x01x\xcb\x00\x00\x00\x00\x00\x00\x00\x00rest", skip, 16, nil},
		{"skip an extension", "\xd6\x01abcd\x05", skip, 6, nil},
		{"skip a long extension", "\xc7\x02\x01ab", skip, 5, nil},
		{"unused code", "\xc1", skip, 1, ErrInvalid},
		{"nested too deep", strings.Repeat("\x91", 40), skip, 18, ErrTooDeep},
		{"empty input", "", skip, 0, ErrTruncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := Parse([]byte(c.in))
			if got := c.read(&p); !errors.Is(p.Err(), c.wantErr) || c.wantErr == nil && got != c.want {
				t.Errorf("value read: got %v, error %v; want %v, error %v", got, p.Err(), c.want, c.wantErr)
			}
		})
	}
}

func TestAppend(t *testing.T) {
	for _, n := range []int{0, 1, 15, 16, 31, 32, 127, 128, 255, 256, 65535, 65536} {
		b := AppendArray(nil, 5)
		b = AppendString(b, strings.Repeat("s", n))
		b = append(AppendBinHeader(b, n), make([]byte, n)...)
		b = AppendUint(AppendUint(b, uint64(n)), uint64(n)<<32)
		b = AppendBool(AppendNil(b), n%2 == 0)
		p := Parse(b)
		p.Array()
		s, bin, v, w := p.Bytes(), p.Bytes(), p.Uint(), p.Uint()
		p.Nil()
		if even := p.Bool(); p.Err() != nil || len(s) != n || len(bin) != n || v != uint64(n) || w != v<<32 ||
			even != (n%2 == 0) || p.Offset() != len(b) {
			t.Errorf("size %d: got lengths %d and %d, numbers %d and %d, offset %d of %d, error %v", n, len(s), len(bin), v, w, p.Offset(), len(b), p.Err())
		}
		p = Parse(AppendMap(nil, n))
		if p.expect(mapKind) != uint64(n) {
			t.Errorf("map of %d pairs: error %v", n, p.Err())
		}
	}
}

// A skipped value must lie within the input. Without its last byte, Skip must fail with ErrTruncated and one missing
// byte.
func FuzzSkip(f *testing.F) {
	for _, s := range []string{"\x94\x00\x07\xa1m\x92\x80\xc4\x00", "\xdd\xff\xff\xff\xff", "\xd8\x00", "\x81\xc0"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p := Parse(b)
		if p.Skip(); p.Err() != nil {
			return
		}
		if p.Offset() > len(b) {
			t.Fatalf("offset: got %d in an input of %d bytes", p.Offset(), len(b))
		}
		cut := Parse(bytes.Clone(b[:p.Offset()-1]))
		if cut.Skip(); !errors.Is(cut.Err(), ErrTruncated) || cut.Missing() != 1 {
			t.Errorf("value truncated by one byte: error %v, %d bytes missing", cut.Err(), cut.Missing())
		}
	})
}
