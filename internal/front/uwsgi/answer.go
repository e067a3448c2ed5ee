package uwsgi

// This file owns how a verdict looks on the wire: the one table of statuses, and the heads of answers. It must never
// change a result, nor let through a field that speaks of the connection it came by.

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"sorrelvalve/internal/gate"
	wire "sorrelvalve/internal/uwsgi"
)

// The statuses that this server makes itself. An ok answer of a pool bears the pool's own.
//
//	ok                                          200
//	pushed back: it never ran                   503, Retry-After, Valve-Away-Ms; Valve-Last: 1 if others are full, too
//	aborted as its answer was due               504
//	aborted for another reason                  500
//	no sense: verb missing, path, length, token 400
//	no sense: no route fits                     404
//	no sense: no route takes the verb           405, Allow
//	no sense: a body without a length           411
//	no sense: body too long                     413
//	no sense: path too long                     414
//	no sense: block too long, too many in it    431
var reasonPhrases = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 411: "Length Required",
	413: "Content Too Large", 414: "URI Too Long", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
}

// Fields of our own. Away is the exact advice, as Retry-After knows whole seconds only.
const (
	fieldRetryAfterMs = "Valve-Away-Ms"
	fieldDoNotRetry   = "Valve-Last"
	fieldReason       = "Valve-Why"
)

func appendStatusLine(b []byte, status int) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(b, ' '), reasonPhrases[status]...), "\r\n"...)
}

// endHead adds what each answer ends its head with.
func appendHeadEnd(b []byte, length int, keep bool) []byte {
	b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(length), 10), "\r\n"...)
	if !keep {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

// okHead is the head of an ok answer, and how much of the result goes behind it. One that a pool has put a head
// before keeps that, less what speaks of the connection.
func resultResponse(v *gate.Verdict, verb, kind string, keep bool) (b []byte, body []byte) {
	b, body = make([]byte, 0, 256), v.Result
	a, _, err := wire.ParseResponse(v.Head)
	if len(v.Head) == 0 || err != nil {
		b = appendStatusLine(b, 200)
		b = wire.AppendField(b, "Content-Type", kind)
		b = appendHeadEnd(b, len(body), keep)
	} else {
		b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(a.Status), 10)
		b = append(append(append(b, ' '), wire.ReasonPhrase(a.Head)...), "\r\n"...)
		wire.EachField(a.Head, func(name, value []byte) {
			if !isHopByHop(name) {
				b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
			}
		})
		switch {
		case a.HasNoBody():
			body = nil
			if !keep {
				b = append(b, "Connection: close\r\n"...)
			}
			b = append(b, "\r\n"...)
		case verb == "HEAD" && a.Length >= 0:
			b = appendHeadEnd(b, int(a.Length), keep)
		default:
			b = appendHeadEnd(b, len(body), keep)
		}
	}
	if verb == "HEAD" {
		body = nil
	}
	return b, body
}

// connectionFields are those that hold for one connection only, and the length, which is written anew.
var hopByHopFields = []string{"connection", "keep-alive", "proxy-authenticate", "proxy-connection", "te", "trailer",
	"transfer-encoding", "upgrade", "content-length"}

func isHopByHop(name []byte) bool {
	for _, f := range hopByHopFields {
		if len(f) == len(name) && bytes.EqualFold(name, []byte(f)) {
			return true
		}
	}
	return false
}

// failHead is the head of an answer without a result: pushed back or aborted.
func failureHead(v *gate.Verdict, keep bool) []byte {
	status := 500
	switch {
	case v.Kind == gate.Rejected:
		status = 503
	case v.Overdue:
		status = 504
	}
	b := appendStatusLine(make([]byte, 0, 192), status)
	if v.Kind == gate.Rejected && v.RetryAfterMs > 0 {
		seconds := math.Max(1, math.Ceil(v.RetryAfterMs/1000))
		b = append(strconv.AppendInt(append(b, "Retry-After: "...), int64(seconds), 10), "\r\n"...)
		b = append(strconv.AppendInt(append(b, fieldRetryAfterMs+": "...), int64(math.Ceil(v.RetryAfterMs)), 10), "\r\n"...)
	}
	if v.NoRetry {
		b = append(b, fieldDoNotRetry+": 1\r\n"...)
	}
	if v.Reason != "" {
		b = wire.AppendField(b, fieldReason, printableASCII(v.Reason))
	}
	return appendHeadEnd(b, 0, keep)
}

// wrongHead is the head of the answer to what makes no sense.
func requestErrorHead(w *requestError, keep bool) []byte {
	b := appendStatusLine(make([]byte, 0, 192), w.status)
	if len(w.allow) > 0 {
		b = wire.AppendField(b, "Allow", strings.Join(w.allow, ", "))
	}
	b = wire.AppendField(b, fieldReason, printableASCII(w.reason))
	return appendHeadEnd(b, 0, keep)
}

// oneLine keeps what a peer wrote, and an error repeats, from ending the field.
func printableASCII(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, s)
}
