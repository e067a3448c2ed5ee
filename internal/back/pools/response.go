package pools

// This file reads the response to one attempt.

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	wire "sorrelvalve/internal/uwsgi"
)

const (
	// maxHeadBytes is the maximum size of the head of a response. Web servers accept 4 to 8 KB by default.
	maxHeadBytes = 16 << 10
	// maxInterimResponses is the maximum number of interim (1xx) responses before the final one. An application server sends
	// at most one.
	maxInterimResponses = 4
)

var (
	errHeadTooLong = fmt.Errorf("head exceeds %d bytes", maxHeadBytes)
	errTruncated   = errors.New("connection closed before the end")
	errChunked     = errors.New("transfer coding is not supported by uwsgi")
)

// busyError is the error for a response with status 503 and a Retry-After.
type busyError struct{ retryAfterMs float64 }

func (e *busyError) Error() string {
	return fmt.Sprintf("status 503 with a Retry-After of %g ms", e.retryAfterMs)
}

// retryAfter returns the Retry-After of a response head in ms, or 0 if there is none. A Retry-After with a date is ignored,
// because clocks differ between machines.
func retryAfter(head []byte) (ms float64) {
	wire.EachField(head, func(name, value []byte) {
		seconds, err := strconv.ParseUint(string(value), 10, 16)
		if err == nil && strings.EqualFold(string(name), "Retry-After") {
			ms = float64(seconds) * 1000
		}
	})
	return ms
}

// readResponse reads one response. Data after the response is ignored, because the connection is not used again.
func (a *attempt) readResponse(in *bufio.Reader) (head, result []byte, err error) {
	for interim := 0; ; interim++ {
		r, err := readResponseHead(in)
		if err != nil {
			return nil, nil, err
		}
		if r.Status == 101 || r.Status < 200 && interim == maxInterimResponses {
			return nil, nil, fmt.Errorf("unexpected interim status %d", r.Status)
		}
		if r.Status < 200 {
			continue
		}
		if err := a.checkResponse(&r); err != nil {
			return nil, nil, err
		}
		if a.noBody || r.HasNoBody() {
			return r.Head, nil, nil
		}
		result, err = a.readBody(in, r.Length)
		return r.Head, result, err
	}
}

// checkResponse returns an error for a final response that does not count as a result.
func (a *attempt) checkResponse(r *wire.Response) error {
	switch {
	case r.Chunked:
		return errChunked
	case r.Status == 503 && retryAfter(r.Head) > 0:
		return &busyError{retryAfterMs: retryAfter(r.Head)}
	case r.Status >= 500:
		return fmt.Errorf("status %d", r.Status)
	case r.Length > int64(a.maxBodyBytes):
		return fmt.Errorf("body has %d bytes, the limit is %d", r.Length, a.maxBodyBytes)
	}
	return nil
}

// readResponseHead reads the head of a response. Head of the result is a copy.
func readResponseHead(in *bufio.Reader) (r wire.Response, err error) {
	for need := 1; need <= maxHeadBytes; need = in.Buffered() + 1 {
		if _, err := in.Peek(need); err != nil {
			if errors.Is(err, io.EOF) && in.Buffered() > 0 {
				err = errTruncated
			}
			return r, err
		}
		b, _ := in.Peek(in.Buffered()) // can't fail: the bytes are buffered
		r, size, err := wire.ParseResponse(b)
		if errors.Is(err, wire.ErrTruncated) {
			continue
		}
		if err == nil {
			r.Head = bytes.Clone(r.Head)
			_, _ = in.Discard(size) // can't fail: the bytes are buffered
		}
		return r, err
	}
	return r, errHeadTooLong
}

// readBody reads a body of the given length, or up to the end of the connection if length is negative.
func (a *attempt) readBody(in *bufio.Reader, length int64) ([]byte, error) {
	if length < 0 {
		body, err := io.ReadAll(io.LimitReader(in, int64(a.maxBodyBytes)+1))
		if err == nil && len(body) > a.maxBodyBytes {
			err = fmt.Errorf("body exceeds %d bytes", a.maxBodyBytes)
		}
		return body, err
	}
	body, err := wire.ReadBody(in, length)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, errTruncated
	}
	return body, err
}
