package uwsgi

// This file owns the wire form of verdicts: the one table of statuses, and the heads of responses. It must never change a
// result, nor pass on a field that is about the connection it came by.

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"sorrelvalve/internal/gate"
	wire "sorrelvalve/internal/uwsgi"
)

// The statuses that this server makes itself. The response of a pool has the pool's own.
const (
	statusOK                   = 200
	statusBadRequest           = 400 // invalid: verb missing, path, length, token
	statusNotFound             = 404 // invalid: no route matches
	statusMethodNotAllowed     = 405 // invalid: no route takes the verb; with Allow
	statusLengthRequired       = 411 // invalid: a body without a length
	statusContentTooLarge      = 413 // invalid: body too long
	statusURITooLong           = 414 // invalid: path too long
	statusHeaderFieldsTooLarge = 431 // invalid: block too long, too many variables
	statusInternalServerError  = 500 // aborted
	statusServiceUnavailable   = 503 // rejected: it never ran; with Retry-After and the fields below
	statusGatewayTimeout       = 504 // aborted as its response was due
)

var reasonPhrases = map[int]string{
	statusOK:                   "OK",
	statusBadRequest:           "Bad Request",
	statusNotFound:             "Not Found",
	statusMethodNotAllowed:     "Method Not Allowed",
	statusLengthRequired:       "Length Required",
	statusContentTooLarge:      "Content Too Large",
	statusURITooLong:           "URI Too Long",
	statusHeaderFieldsTooLarge: "Request Header Fields Too Large",
	statusInternalServerError:  "Internal Server Error",
	statusServiceUnavailable:   "Service Unavailable",
	statusGatewayTimeout:       "Gateway Timeout",
}

// The header fields of our own.
const (
	fieldRetryAfterMs = "Valve-Away-Ms" // the exact advice: Retry-After knows whole seconds only
	fieldDoNotRetry   = "Valve-Last"    // 1 if other servers are full as well
	fieldReason       = "Valve-Why"
)

// headSize is the memory allocated for a head, which most need no more than.
const headSize = 256

func appendStatusLine[T string | []byte](b []byte, status int, reasonPhrase T) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrase...)
	return append(b, "\r\n"...)
}

func appendIntField(b []byte, name string, value int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, value, 10)
	return append(b, "\r\n"...)
}

// appendHeadEnd adds the fields that each head with a body length ends with, and the empty line.
func appendHeadEnd(b []byte, bodyLength int, keepAlive bool) []byte {
	b = appendIntField(b, "Content-Length", int64(bodyLength))
	return appendConnectionEnd(b, keepAlive)
}

func appendConnectionEnd(b []byte, keepAlive bool) []byte {
	if !keepAlive {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

// resultResponse returns the head of a response with a result, and what of the result follows as its body.
func resultResponse(v *gate.Verdict, verb, contentType string, keepAlive bool) (head, body []byte) {
	head = make([]byte, 0, headSize)
	body = v.Result
	poolResponse, _, err := wire.ParseResponse(v.Head)
	if len(v.Head) == 0 || err != nil {
		head = appendStatusLine(head, statusOK, reasonPhrases[statusOK])
		head = wire.AppendField(head, "Content-Type", contentType)
		head = appendHeadEnd(head, len(body), keepAlive)
	} else {
		head = appendPoolHead(head, &poolResponse, len(body), verb, keepAlive)
	}
	if verb == "HEAD" || err == nil && poolResponse.HasNoBody() {
		body = nil
	}
	return head, body
}

// appendPoolHead adds the head of a pool's response, without the fields that are about its connection.
func appendPoolHead(b []byte, r *wire.Response, bodyLength int, verb string, keepAlive bool) []byte {
	b = appendStatusLine(b, r.Status, wire.ReasonPhrase(r.Head))
	wire.EachField(r.Head, func(name, value []byte) {
		if !isHopByHop(name) {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	})
	switch {
	case r.HasNoBody():
		return appendConnectionEnd(b, keepAlive)
	case verb == "HEAD" && r.Length >= 0:
		return appendHeadEnd(b, int(r.Length), keepAlive)
	}
	return appendHeadEnd(b, bodyLength, keepAlive)
}

// hopByHopFields are about one connection only (RFC 9110, section 7.6.1), or the length, which is written anew.
var hopByHopFields = []string{
	"connection", "keep-alive", "proxy-authenticate", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
	"content-length",
}

func isHopByHop(name []byte) bool {
	for _, f := range hopByHopFields {
		if len(f) == len(name) && bytes.EqualFold(name, []byte(f)) {
			return true
		}
	}
	return false
}

// failureHead returns the response without a result: rejected or aborted.
func failureHead(v *gate.Verdict, keepAlive bool) []byte {
	status := statusInternalServerError
	switch {
	case v.Kind == gate.Rejected:
		status = statusServiceUnavailable
	case v.Overdue:
		status = statusGatewayTimeout
	}
	b := appendStatusLine(make([]byte, 0, headSize), status, reasonPhrases[status])
	if v.Kind == gate.Rejected && v.RetryAfterMs > 0 {
		seconds := math.Max(1, math.Ceil(v.RetryAfterMs/1000))
		b = appendIntField(b, "Retry-After", int64(seconds))
		b = appendIntField(b, fieldRetryAfterMs, int64(math.Ceil(v.RetryAfterMs)))
	}
	if v.NoRetry {
		b = wire.AppendField(b, fieldDoNotRetry, "1")
	}
	if v.Reason != "" {
		b = wire.AppendField(b, fieldReason, printableASCII(v.Reason))
	}
	return appendHeadEnd(b, 0, keepAlive)
}

// requestErrorHead returns the response to an invalid message.
func requestErrorHead(e *requestError, keepAlive bool) []byte {
	b := appendStatusLine(make([]byte, 0, headSize), e.status, reasonPhrases[e.status])
	if len(e.allow) > 0 {
		b = wire.AppendField(b, "Allow", strings.Join(e.allow, ", "))
	}
	b = wire.AppendField(b, fieldReason, printableASCII(e.reason))
	return appendHeadEnd(b, 0, keepAlive)
}

// printableASCII keeps what a peer wrote, and an error repeats, from ending the field.
func printableASCII(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, s)
}
