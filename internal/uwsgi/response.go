package uwsgi

// This file parses the head of an HTTP/1.x response as an application server writes it (RFC 9112): the status line, the
// header fields and the empty line. It must never trust a length that is not a number or is given twice with different
// values.

import (
	"bytes"
	"errors"
	"strconv"
)

// Response is the head of a response, parsed in place.
type Response struct {
	Status  int
	Head    []byte // status line, header fields and the empty line
	Length  int64  // of the body in bytes; -1 if the body ends with the connection
	Chunked bool   // the body has a transfer coding, which peers of this protocol need not support
}

// HasNoBody reports whether a response with this status never has a body (RFC 9112, section 6.3).
func (r *Response) HasNoBody() bool { return r.Status < 200 || r.Status == 204 || r.Status == 304 }

// Errors of ParseResponse, in addition to ErrTruncated.
var (
	// ErrStatusLine means that the bytes do not begin with an HTTP/1.x status line.
	ErrStatusLine = errors.New("uwsgi: no HTTP status line")
	// ErrHeaderField means that a line is not a valid header field.
	ErrHeaderField = errors.New("uwsgi: a header field that can't be read")
	// ErrContentLength means that a Content-Length is not a number, or that two of them differ.
	ErrContentLength = errors.New("uwsgi: a Content-Length that can't be")
)

const (
	versionPrefix = "HTTP/1."
	// shortestStatusLine is an example of the shortest status line. A space and a reason phrase may follow.
	shortestStatusLine = "HTTP/1.1 200"
	statusOffset       = len("HTTP/1.1 ")
)

// ParseResponse parses the head of a response at the beginning of b and returns the size of the head in bytes. The
// error is ErrTruncated if b does not contain all of the head. Lines may end with a bare newline, as CGI programs write
// them.
func ParseResponse(b []byte) (r Response, size int, err error) {
	r.Status, err = parseStatus(b)
	if err != nil {
		return r, 0, err
	}
	r.Length = -1
	for first := true; ; first = false {
		n := bytes.IndexByte(b[size:], '\n')
		if n < 0 {
			return r, 0, ErrTruncated
		}
		line := bytes.TrimSuffix(b[size:size+n], []byte{'\r'})
		size += n + 1
		switch {
		case first:
			if len(line) > len(shortestStatusLine) && line[len(shortestStatusLine)] != ' ' {
				return r, 0, ErrStatusLine
			}
		case len(line) == 0:
			r.Head = b[:size]
			return r, size, nil
		default:
			if err := r.parseField(line); err != nil {
				return r, 0, err
			}
		}
	}
}

// parseStatus parses the status at the beginning of a response.
func parseStatus(b []byte) (status int, err error) {
	start := b[:min(len(b), len(shortestStatusLine))]
	if !bytes.HasPrefix(start, []byte(versionPrefix)[:min(len(start), len(versionPrefix))]) {
		return 0, ErrStatusLine
	}
	if len(start) < len(shortestStatusLine) {
		return 0, ErrTruncated
	}
	for i, c := range start[len(versionPrefix):] { // a digit, a space, three digits
		isDigit := c >= '0' && c <= '9'
		if i == 1 && c != ' ' || i != 1 && !isDigit {
			return 0, ErrStatusLine
		}
	}
	status, err = strconv.Atoi(string(start[statusOffset:]))
	if err != nil || status < 100 || status > 599 {
		return status, ErrStatusLine
	}
	return status, nil
}

// parseField parses one header field and records those that determine the length of the body.
func (r *Response) parseField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r\x00") {
		return ErrHeaderField
	}
	value = bytes.TrimSpace(value)
	switch {
	case isName(name, "content-length"):
		length, err := strconv.ParseUint(string(value), 10, 62)
		if err != nil || r.Length >= 0 && r.Length != int64(length) {
			return ErrContentLength
		}
		r.Length = int64(length)
	case isName(name, "transfer-encoding"):
		r.Chunked = !bytes.EqualFold(value, []byte("identity"))
	}
	return nil
}

func isName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// EachField calls visit for each header field of a head that ParseResponse has accepted. The status line is skipped.
func EachField(head []byte, visit func(name, value []byte)) {
	for first := true; len(head) > 0; first = false {
		line, rest, _ := bytes.Cut(head, []byte{'\n'})
		head = rest
		name, value, ok := bytes.Cut(bytes.TrimSuffix(line, []byte{'\r'}), []byte{':'})
		if ok && !first {
			visit(name, bytes.TrimSpace(value))
		}
	}
}

// ReasonPhrase returns the reason phrase in the status line of a head that ParseResponse has accepted.
func ReasonPhrase(head []byte) []byte {
	line, _, _ := bytes.Cut(head, []byte{'\n'})
	line = bytes.TrimSuffix(line, []byte{'\r'})
	return line[min(len(line), len(shortestStatusLine)+1):]
}

// AppendField appends a header field.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
