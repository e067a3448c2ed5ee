package httpvalve

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sorrelvalve/valve"
)

// The header fields of responses written by the valve, in addition to Retry-After.
const (
	headerRetryAfterMs = "Valve-Away-Ms" // retry-after in ms
	headerNoRetry      = "Valve-Last"    // 1 if the caller should not retry on another server
	headerReason       = "Valve-Why"     // reason of an abort or of an invalid request
)

// writeError writes the response to a request that was not admitted or has no result.
func writeError(w http.ResponseWriter, err error) {
	var rejected *valve.RejectedError
	var aborted *valve.AbortedError
	switch {
	case errors.As(err, &rejected):
		writeRejected(w, rejected)
	case errors.As(err, &aborted):
		w.Header().Set(headerReason, aborted.Reason)
		status := http.StatusInternalServerError
		if aborted.Overdue {
			status = http.StatusGatewayTimeout
		}
		writeEmpty(w, status)
	case errors.Is(err, valve.ErrInvalidRPC):
		writeInvalid(w, http.StatusBadRequest, err.Error())
	case errors.Is(err, valve.ErrClosed):
		writeEmpty(w, http.StatusServiceUnavailable)
	default: // the client has disconnected
		panic(http.ErrAbortHandler)
	}
}

func writeRejected(w http.ResponseWriter, e *valve.RejectedError) {
	if e.RetryAfter > 0 {
		seconds := max(1, roundUp(e.RetryAfter, time.Second))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
		w.Header().Set(headerRetryAfterMs, strconv.FormatInt(roundUp(e.RetryAfter, time.Millisecond), 10))
	}
	if e.NoRetry {
		w.Header().Set(headerNoRetry, "1")
	}
	writeEmpty(w, http.StatusServiceUnavailable)
}

// roundUp returns d as a number of units, rounded up.
func roundUp(d, unit time.Duration) int64 { return int64((d + unit - 1) / unit) }

// writeInvalid writes the response to an invalid request.
func writeInvalid(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(headerReason, strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, reason))
	writeEmpty(w, status)
}

func writeEmpty(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// perConnection are the header fields that apply to a single connection or response only.
var perConnection = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Trailer":           true,
	"Date":              true,
	"Content-Length":    true,
}

// encodeHead encodes status and header for the cache, as an HTTP/1.1 response head, so that any front can read it.
func encodeHead(status int, h http.Header) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = h.WriteSubset(&b, perConnection) // writing to a bytes.Buffer never fails
	b.WriteString("\r\n")
	return b.Bytes()
}

// The position of the status in the first line of an encoded head, such as "HTTP/1.1 200 OK".
const (
	statusFrom = len("HTTP/1.1 ")
	statusTo   = statusFrom + len("200")
)

// writeCached writes a cached response.
func writeCached(w http.ResponseWriter, r valve.Result) {
	first, rest, ok := bytes.Cut(r.Head, []byte("\r\n"))
	status := http.StatusOK
	if ok && len(first) >= statusTo {
		if n, err := strconv.Atoi(string(first[statusFrom:statusTo])); err == nil {
			status = n
		}
	}
	h := w.Header()
	for _, line := range bytes.Split(rest, []byte("\r\n")) {
		if name, value, ok := strings.Cut(string(line), ": "); ok {
			h.Add(name, value)
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(status)
	_, _ = w.Write(r.Body) // an error means that the client has disconnected
}
