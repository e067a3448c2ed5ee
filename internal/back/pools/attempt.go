package pools

// This file owns one attempt at one member: a connection of its own, the packet, the answer. It must never call an
// attempt less far than it may have come: an application server may begin as soon as it has read the variables.

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"sorrelvalve/decision/retry"
	"sorrelvalve/internal/gate"
	wire "sorrelvalve/internal/uwsgi"
)

const (
	// maxHead bytes bound the head of an answer: what web tiers take by default is 4 to 8 KB.
	maxHeadBytes = 16 << 10
	// firstAnswer is set aside at once for a body of a length told; the rest as it comes, as lengths may lie.
	initialBodySize = 16 << 10
	// interim answers of the 100s before the final one; an application server sends one at the most.
	maxInterimResponses = 4
)

// packet is the head and the block of variables for a run, and whether its answer has no body. An RPC that came by
// uwsgi goes on with the variables that it came with; another gets those of the method's record.
func (t *target) packet(w gate.RunRequest) (b []byte, noBody bool) {
	b = make([]byte, wire.HeaderSize, wire.HeaderSize+len(w.Variables)+256)
	verb := t.method.Verb
	if w.Variables != "" {
		b = append(b, w.Variables...)
		verb, _ = wire.Lookup(w.Variables, "REQUEST_METHOD")
	} else {
		for _, v := range [...][2]string{{"REQUEST_METHOD", verb}, {"PATH_INFO", t.method.Path}, {"REQUEST_URI", t.method.Path},
			{"QUERY_STRING", ""}, {"SERVER_PROTOCOL", "HTTP/1.1"}, {"CONTENT_LENGTH", strconv.Itoa(len(w.Body))}} {
			b = wire.AppendVariable(b, v[0], v[1])
		}
		for name, v := range t.method.Variables {
			b = wire.AppendVariable(b, name, v)
		}
	}
	if own := wire.AppendVariable(b, "VALVE_ID", w.ID); len(own)-wire.HeaderSize <= wire.MaxBlockSize {
		b = own
	}
	size := len(b) - wire.HeaderSize
	wire.AppendHeader(b[:0], 0, size, 0)
	return b, verb == "HEAD"
}

// attempt is what is known before it is made.
type attempt struct {
	addr           string
	connectTimeout time.Duration
	deadline       time.Time // the answer must be whole by then
	maxBodyBytes   int       // bytes of the body
	noBody         bool
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHeadBytes) }}

// do makes the attempt. The head ends with its empty line; both it and the body are the caller's.
func (a *attempt) send(packet, body []byte) (head, result []byte, failed *retry.Error) {
	limit := min(a.connectTimeout, time.Until(a.deadline))
	if limit <= 0 {
		return nil, nil, &retry.Error{Progress: retry.NotSent, Reason: "no time is left"}
	}
	nc, err := net.DialTimeout("tcp", a.addr, limit)
	if err != nil {
		return nil, nil, &retry.Error{Progress: retry.NotSent, Reason: "connect: " + errorText(err)}
	}
	defer nc.Close()
	nc.SetDeadline(a.deadline)
	parts := net.Buffers{packet, body}
	n, err := parts.WriteTo(nc)
	reached := retry.MayHaveRun
	if n == 0 {
		reached = retry.NotSent
	} else if n < int64(len(packet)) {
		reached = retry.Sent
	}
	if err != nil && reached < retry.MayHaveRun {
		return nil, nil, &retry.Error{Progress: reached, Reason: "write: " + errorText(err)}
	}
	// One that answers before it has read the body may have closed; its answer counts if it is whole.
	in := readerPool.Get().(*bufio.Reader)
	in.Reset(nc)
	defer func() {
		in.Reset(nil)
		readerPool.Put(in)
	}()
	head, result, err = a.readResponse(in)
	if err != nil {
		e := &retry.Error{Progress: retry.MayHaveRun, Reason: "answer: " + errorText(err), TimedOut: errors.Is(err, os.ErrDeadlineExceeded)}
		var busy busyError
		if errors.As(err, &busy) {
			e.RetryAfter = float64(busy)
		}
		return nil, nil, e
	}
	return head, result, nil
}

var (
	errHeadTooLong = fmt.Errorf("a head of more than %d bytes", maxHeadBytes)
	errTruncated   = errors.New("the connection ended within it")
	errChunked     = errors.New("in a transfer coding, which uwsgi does not have")
)

// errBusy is a 503 that tells for how many ms its sender is to be left alone.
type busyError float64

func (e busyError) Error() string {
	return fmt.Sprintf("status 503, to be left alone for %g ms", float64(e))
}

// awayOf is the Retry-After of a head in ms, as seconds; 0 without one. A date is not read: clocks differ.
func retryAfter(head []byte) (ms float64) {
	wire.EachField(head, func(name, value []byte) {
		if s, err := strconv.ParseUint(string(value), 10, 16); err == nil && strings.EqualFold(string(name), "Retry-After") {
			ms = float64(s) * 1000
		}
	})
	return ms
}

// answer reads one answer. What comes behind it is another's, and the connection is not used again.
func (a *attempt) readResponse(in *bufio.Reader) (head, result []byte, err error) {
	for interim := 0; ; interim++ {
		h, err := readResponseHead(in)
		switch {
		case err != nil:
			return nil, nil, err
		case h.Status == 101 || h.Status < 200 && interim == maxInterimResponses:
			return nil, nil, fmt.Errorf("status %d is no answer", h.Status)
		case h.Status < 200:
			continue
		case h.Chunked:
			return nil, nil, errChunked
		case h.Status == 503 && retryAfter(h.Head) > 0:
			return nil, nil, busyError(retryAfter(h.Head))
		case h.Status >= 500:
			return nil, nil, fmt.Errorf("status %d", h.Status)
		case h.Length > int64(a.maxBodyBytes):
			return nil, nil, fmt.Errorf("a body of %d bytes, at most %d are taken", h.Length, a.maxBodyBytes)
		case a.noBody || h.HasNoBody():
			return h.Head, nil, nil
		}
		result, err = a.readBody(in, h.Length)
		return h.Head, result, err
	}
}

// readHead reads the head of an answer and takes it out of the reader; it is a copy.
func readResponseHead(in *bufio.Reader) (h wire.Response, err error) {
	for need := 1; ; need = in.Buffered() + 1 {
		if need > maxHeadBytes {
			return h, errHeadTooLong
		}
		if _, err := in.Peek(need); err != nil {
			if err == io.EOF && in.Buffered() > 0 {
				err = errTruncated
			}
			return h, err
		}
		b, _ := in.Peek(in.Buffered())
		h, size, err := wire.ParseResponse(b)
		if err == wire.ErrTruncated {
			continue
		}
		if err == nil {
			h.Head = bytes.Clone(h.Head)
			in.Discard(size)
		}
		return h, err
	}
}

// body reads as many bytes as were told, or to the end of the connection.
func (a *attempt) readBody(in *bufio.Reader, length int64) ([]byte, error) {
	if length < 0 {
		b, err := io.ReadAll(io.LimitReader(in, int64(a.maxBodyBytes)+1))
		if err == nil && len(b) > a.maxBodyBytes {
			err = fmt.Errorf("a body of more than %d bytes", a.maxBodyBytes)
		}
		return b, err
	}
	b := make([]byte, min(length, initialBodySize))
	for at := 0; ; {
		n, err := io.ReadFull(in, b[at:])
		at += n
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF:
			return nil, errTruncated
		case err != nil:
			return nil, err
		case int64(at) == length:
			return b, nil
		}
		b = append(b, make([]byte, min(length-int64(at), int64(at)))...)
	}
}

// reason is an error without the addresses in it, which the log has already.
func errorText(err error) string {
	var op *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "none in time"
	case errors.As(err, &op):
		return op.Err.Error()
	case err == io.EOF:
		return "the connection ended without one"
	}
	return err.Error()
}

// ping is the active check: the protocol's own packet for it, which an application server answers by itself.
func ping(addr string, limit time.Duration) bool {
	nc, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(limit))
	const modifier = 100
	if _, err := nc.Write(wire.AppendHeader(nil, modifier, 0, 0)); err != nil {
		return false
	}
	b := make([]byte, wire.HeaderSize)
	if _, err := io.ReadFull(nc, b); err != nil {
		return false
	}
	return wire.ParseHeader(b).Modifier1 == modifier
}
