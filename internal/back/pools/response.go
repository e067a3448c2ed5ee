package pools

// This file owns the reading of one response.

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
	// maxHeadBytes bounds the head of a response: what web tiers take by default is 4 to 8 KB.
	maxHeadBytes = 16 << 10
	// maxInterimResponses of the 100s may precede the final one; an application server sends one at most.
	maxInterimResponses = 4
)

var (
	errHeadTooLong = fmt.Errorf("a head of more than %d bytes", maxHeadBytes)
	errTruncated   = errors.New("the connection ended within it")
	errChunked     = errors.New("in a transfer coding, which uwsgi does not have")
)

// busyError is a 503 with a Retry-After.
type busyError struct{ retryAfterMs float64 }

func (e *busyError) Error() string {
	return fmt.Sprintf("status 503, to be left alone for %g ms", e.retryAfterMs)
}

// retryAfter returns the Retry-After of a head in ms, 0 without one. A date is not read: clocks differ.
func retryAfter(head []byte) (ms float64) {
	wire.EachField(head, func(name, value []byte) {
		seconds, err := strconv.ParseUint(string(value), 10, 16)
		if err == nil && strings.EqualFold(string(name), "Retry-After") {
			ms = float64(seconds) * 1000
		}
	})
	return ms
}

// readResponse reads one response. The connection is not used again, so what follows on it is ignored.
func (a *attempt) readResponse(in *bufio.Reader) (head, result []byte, err error) {
	for interim := 0; ; interim++ {
		r, err := readResponseHead(in)
		if err != nil {
			return nil, nil, err
		}
		if r.Status == 101 || r.Status < 200 && interim == maxInterimResponses {
			return nil, nil, fmt.Errorf("status %d is no answer", r.Status)
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

// checkResponse returns why a final response does not count as a result, if so.
func (a *attempt) checkResponse(r *wire.Response) error {
	switch {
	case r.Chunked:
		return errChunked
	case r.Status == 503 && retryAfter(r.Head) > 0:
		return &busyError{retryAfterMs: retryAfter(r.Head)}
	case r.Status >= 500:
		return fmt.Errorf("status %d", r.Status)
	case r.Length > int64(a.maxBodyBytes):
		return fmt.Errorf("a body of %d bytes, at most %d are taken", r.Length, a.maxBodyBytes)
	}
	return nil
}

// readResponseHead reads the head of a response off the reader; Head is a copy.
func readResponseHead(in *bufio.Reader) (r wire.Response, err error) {
	for need := 1; need <= maxHeadBytes; need = in.Buffered() + 1 {
		if _, err := in.Peek(need); err != nil {
			if errors.Is(err, io.EOF) && in.Buffered() > 0 {
				err = errTruncated
			}
			return r, err
		}
		b, _ := in.Peek(in.Buffered()) // can't fail: they are buffered
		r, size, err := wire.ParseResponse(b)
		if errors.Is(err, wire.ErrTruncated) {
			continue
		}
		if err == nil {
			r.Head = bytes.Clone(r.Head)
			_, _ = in.Discard(size) // it is buffered
		}
		return r, err
	}
	return r, errHeadTooLong
}

// readBody reads a body of a length, or to the end of the connection if length is negative.
func (a *attempt) readBody(in *bufio.Reader, length int64) ([]byte, error) {
	if length < 0 {
		body, err := io.ReadAll(io.LimitReader(in, int64(a.maxBodyBytes)+1))
		if err == nil && len(body) > a.maxBodyBytes {
			err = fmt.Errorf("a body of more than %d bytes", a.maxBodyBytes)
		}
		return body, err
	}
	body, err := wire.ReadBody(in, length)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, errTruncated
	}
	return body, err
}
