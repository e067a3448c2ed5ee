package uwsgi

// This file encodes verdicts as HTTP responses: it defines the table of statuses and writes response heads. It must
// never change a result, or pass on a header field that applies to the connection to the pool.

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"sorrelvalve/internal/gate"
	wire "sorrelvalve/internal/uwsgi"
)

// The statuses of responses that this server generates. The response of a pool keeps the pool's status.
const (
	statusOK                   = 200
	statusBadRequest           = 400 // invalid: verb missing, path, length, token
	statusNotFound             = 404 // invalid: no route matches
	statusMethodNotAllowed     = 405 // invalid: no route accepts the verb; sent with Allow
	statusLengthRequired       = 411 // invalid: a body without a length
	statusContentTooLarge      = 413 // invalid: body too long
	statusURITooLong           = 414 // invalid: path too long
	statusHeaderFieldsTooLarge = 431 // invalid: block too long, too many variables
	statusInternalServerError  = 500 // aborted
	statusServiceUnavailable   = 503 // rejected: the RPC never ran; sent with Retry-After and the fields below
	statusGatewayTimeout       = 504 // aborted: its response was overdue
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

// The server's own header fields.
const (
	fieldRetryAfterMs = "Valve-Away-Ms" // the exact retry-after; Retry-After has whole seconds only
	fieldNoRetry      = "Valve-Last"    // 1 if other servers are overloaded as well
	fieldReason       = "Valve-Why"
)

// headSize is the initial capacity of a head in bytes, which is enough for most.
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

// appendHeadEnd appends the Content-Length and connection fields and the empty line.
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

// resultResponse returns the head of a response with a result, and its body, which is nil if the response has none.
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

// appendPoolHead appends the head of a pool's response without the fields that apply to the pool's connection.
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

// hopByHopFields are the fields that apply to one connection only (RFC 9110, section 7.6.1), and Content-Length, which
// is generated.
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

// failureHead returns the response to a rejected or aborted RPC, which has no body.
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
		b = wire.AppendField(b, fieldNoRetry, "1")
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

// printableASCII replaces all other characters with '?', so that text of a peer quoted in an error can't end the field.
func printableASCII(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, s)
}
