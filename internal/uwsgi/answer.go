package uwsgi

// This file owns the head of an HTTP/1.x answer, as an application server writes it: status line, header fields and
// the empty line. It must never take a length on trust that stands twice or is no number.

import (
	"bytes"
	"errors"
	"strconv"
)

// Answer is the head of an answer, parsed in place.
type Response struct {
	Status  int
	Head    []byte // status line and header fields, with the empty line
	Length  int64  // of the body; -1 if it ends with the connection
	Chunked bool   // the body is in a coding that this protocol's peers need not know
}

// NoBody tells whether an answer of that status never has a body.
func (a *Response) HasNoBody() bool { return a.Status < 200 || a.Status == 204 || a.Status == 304 }

var (
	ErrStatusLine    = errors.New("uwsgi: no HTTP status line")
	ErrHeaderField   = errors.New("uwsgi: a header field that can't be read")
	ErrContentLength = errors.New("uwsgi: a Content-Length that can't be")
)

// ParseAnswer reads the head of an answer from the beginning of b and returns how long it is. The error is ErrShort
// while more of it is to come. A head that ends its lines with a bare newline is taken, too, as CGI programs write it.
func ParseResponse(b []byte) (a Response, size int, err error) {
	const least = "HTTP/1.1 200"
	head := b[:min(len(b), len(least))]
	if !bytes.HasPrefix(head, []byte("HTTP/1.")[:min(len(head), 7)]) {
		return a, 0, ErrStatusLine
	}
	if len(head) < len(least) {
		return a, 0, ErrTruncated
	}
	for i, c := range head[7:] {
		if i == 1 && c != ' ' || i != 1 && (c < '0' || c > '9') {
			return a, 0, ErrStatusLine
		}
	}
	if a.Status, err = strconv.Atoi(string(head[9:])); err != nil || a.Status < 100 || a.Status > 599 {
		return a, 0, ErrStatusLine
	}
	a.Length = -1
	for first := true; ; first = false {
		n := bytes.IndexByte(b[size:], '\n')
		if n < 0 {
			return a, 0, ErrTruncated
		}
		line := bytes.TrimSuffix(b[size:size+n], []byte{'\r'})
		size += n + 1
		switch {
		case first:
			if len(line) > len(least) && line[len(least)] != ' ' {
				return a, 0, ErrStatusLine
			}
			continue
		case len(line) == 0:
			a.Head = b[:size]
			return a, size, nil
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r\x00") {
			return a, 0, ErrHeaderField
		}
		switch value = bytes.TrimSpace(value); {
		case isName(name, "content-length"):
			v, err := strconv.ParseUint(string(value), 10, 62)
			if err != nil || a.Length >= 0 && a.Length != int64(v) {
				return a, 0, ErrContentLength
			}
			a.Length = int64(v)
		case isName(name, "transfer-encoding"):
			a.Chunked = !bytes.EqualFold(value, []byte("identity"))
		}
	}
}

func isName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// FieldsOf walks over the header fields of a head that ParseAnswer has taken, without the status line.
func EachField(head []byte, each func(name, value []byte)) {
	for first := true; len(head) > 0; first = false {
		line, rest, _ := bytes.Cut(head, []byte{'\n'})
		head = rest
		if name, value, ok := bytes.Cut(bytes.TrimSuffix(line, []byte{'\r'}), []byte{':'}); ok && !first {
			each(name, bytes.TrimSpace(value))
		}
	}
}

// ReasonOf is what stands behind the status in the first line of such a head.
func ReasonPhrase(head []byte) []byte {
	line, _, _ := bytes.Cut(head, []byte{'\n'})
	line = bytes.TrimSuffix(line, []byte{'\r'})
	return line[min(len(line), len("HTTP/1.1 200 ")):]
}

// AppendField adds a header field.
func AppendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}
