package uwsgi

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

func block(pairs ...string) string {
	var b []byte
	for i := 0; i < len(pairs); i += 2 {
		b = AppendVariable(b, pairs[i], pairs[i+1])
	}
	return string(b)
}

func TestVariables(t *testing.T) {
	cases := []struct {
		name, block string
		want        error
	}{
		{"no variables", "", nil},
		{"several variables, one of them empty", block("REQUEST_METHOD", "GET", "CONTENT_LENGTH", "", "PATH_INFO", "/a"), nil},
		{"duplicate with the same value", block("PATH_INFO", "/a", "PATH_INFO", "/a"), nil},
		{"duplicate header line", block("HTTP_COOKIE", "a", "HTTP_COOKIE", "b", "PATH_INFO", "/a"), nil},
		{"duplicate with another value", block("PATH_INFO", "/a", "PATH_INFO", "/b"), ErrDuplicate},
		{"two different lengths", block("CONTENT_LENGTH", "1", "CONTENT_LENGTH", "2"), ErrDuplicate},
		{"two different hosts", block("HTTP_HOST", "a", "HTTP_HOST", "b"), ErrDuplicate},
		{"empty name", block("", "x"), ErrEmptyName},
		{"a length beyond the end of the block", block("A", "x") + "\x05\x00ab", ErrLengthOutOfRange},
		{"a name without a value", "\x01\x00A", ErrLengthOutOfRange},
		{"half a length", block("A", "x") + "\x01", ErrLengthOutOfRange},
		{"too many variables", block("A", "", "B", "", "C", "", "D", ""), ErrTooManyVariables},
		{"the longest value", block("A", strings.Repeat("x", MaxBlockSize)), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var v Variables
			if err := v.Parse(c.block, 3); !errors.Is(err, c.want) {
				t.Fatalf("Parse: error %v, want %v", err, c.want)
			}
			if c.want == nil && strings.Contains(c.block, "PATH_INFO") {
				if got, ok := v.Get("PATH_INFO"); got != "/a" || !ok {
					t.Errorf("PATH_INFO: got %q", got)
				}
			}
		})
	}
}

func TestParseResponse(t *testing.T) {
	cases := []struct {
		name, in     string
		status, size int
		length       int64
		want         error
	}{
		{"plain", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", 200, 38, 3, nil},
		{"bare newlines, no reason", "HTTP/1.0 404\nA: b\n\n", 404, 19, -1, nil},
		{"duplicate length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\ncontent-length: 3\r\n\r\n", 200, 57, 3, nil},
		{"two different lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 0, 0, 0, ErrContentLength},
		{"a negative length", "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", 0, 0, 0, ErrContentLength},
		{"a length out of range", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", 0, 0, 0, ErrContentLength},
		{"truncated in the status line", "HTTP/1.", 0, 0, 0, ErrTruncated},
		{"truncated in a header field", "HTTP/1.1 200 OK\r\nConte", 0, 0, 0, ErrTruncated},
		{"unsupported HTTP version", "HTTP/2 200 OK\r\n\r\n", 0, 0, 0, ErrStatusLine},
		{"no status", "HTTP/1.1 abc OK\r\n\r\n", 0, 0, 0, ErrStatusLine},
		{"a status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", 0, 0, 0, ErrStatusLine},
		{"a status out of range", "HTTP/1.1 999 OK\r\n\r\n", 0, 0, 0, ErrStatusLine},
		{"garbage", "\x00\x01\x02", 0, 0, 0, ErrStatusLine},
		{"a field without a colon", "HTTP/1.1 200 OK\r\nabc\r\n\r\n", 0, 0, 0, ErrHeaderField},
		{"a folded field", "HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\r\n", 0, 0, 0, ErrHeaderField},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, size, err := ParseResponse([]byte(c.in))
			if !errors.Is(err, c.want) {
				t.Fatalf("ParseResponse: error %v, want %v", err, c.want)
			}
			if err == nil && (response.Status != c.status || size != c.size || response.Length != c.length) {
				t.Errorf("response: got %+v with a head of %d bytes", response, size)
			}
		})
	}
}

func FuzzVariables(f *testing.F) {
	f.Add(block("REQUEST_METHOD", "GET", "PATH_INFO", "/a"))
	f.Add("\x01\x00A\xff\xff")
	f.Fuzz(func(t *testing.T, s string) {
		var v Variables
		if v.Parse(s, 64) != nil {
			return
		}
		var b []byte
		for i := range v.Len() {
			b = AppendVariable(b, v.pairs[i].name, v.pairs[i].value)
		}
		if string(b) != s {
			t.Errorf("block encoded again: got %q", b)
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.0 500\nA: b\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		response, size, err := ParseResponse(b)
		if err != nil {
			return
		}
		if size > len(b) || !bytes.Equal(response.Head, b[:size]) || response.Status < 100 || response.Length < -1 {
			t.Errorf("response: got %+v with a head of %d bytes", response, size)
		}
		EachField(response.Head, func(name, _ []byte) {
			if len(name) == 0 {
				t.Error("header field without a name")
			}
		})
	})
}
