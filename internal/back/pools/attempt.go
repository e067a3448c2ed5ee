package pools

// This file makes one attempt at one member: it opens the connection, writes the packet and reads the response. It must never
// report less progress than the attempt may have made: an application server may start the request as soon as it has read the
// variables.

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"sorrelvalve/decision/retry"
	"sorrelvalve/internal/gate"
	wire "sorrelvalve/internal/uwsgi"
)

// extraVariablesSize is the buffer size, in bytes, for variables in addition to those of the RPC.
const extraVariablesSize = 256

// packet returns the header and the block of variables for a run, and whether its response has no body. An RPC that was
// received by uwsgi keeps its variables; any other RPC gets the variables configured for its method. VALVE_ID is omitted if the
// block would become too long.
func (t *target) packet(request gate.RunRequest) (b []byte, noBody bool) {
	b = make([]byte, wire.HeaderSize, wire.HeaderSize+len(request.Variables)+extraVariablesSize)
	verb := t.method.Verb
	if request.Variables != "" {
		b = append(b, request.Variables...)
		verb, _ = wire.Lookup(request.Variables, "REQUEST_METHOD")
	} else {
		b = t.appendVariables(b, len(request.Body))
	}
	withID := wire.AppendVariable(b, "VALVE_ID", request.ID)
	if len(withID)-wire.HeaderSize <= wire.MaxBlockSize {
		b = withID
	}
	size := len(b) - wire.HeaderSize
	wire.AppendHeader(b[:0], 0, size, 0)
	return b, verb == "HEAD"
}

func (t *target) appendVariables(b []byte, bodyLength int) []byte {
	b = wire.AppendVariable(b, "REQUEST_METHOD", t.method.Verb)
	b = wire.AppendVariable(b, "PATH_INFO", t.method.Path)
	b = wire.AppendVariable(b, "REQUEST_URI", t.method.Path)
	b = wire.AppendVariable(b, "QUERY_STRING", "")
	b = wire.AppendVariable(b, "SERVER_PROTOCOL", "HTTP/1.1")
	b = wire.AppendVariable(b, "CONTENT_LENGTH", strconv.Itoa(bodyLength))
	for name, value := range t.method.Variables {
		b = wire.AppendVariable(b, name, value)
	}
	return b
}

// attempt has the parameters of one attempt.
type attempt struct {
	addr           string
	connectTimeout time.Duration
	deadline       time.Time // for the complete response
	maxBodyBytes   int
	noBody         bool
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHeadBytes) }}

// send makes the attempt. The returned head includes the empty line at its end. The caller owns head and result.
func (a *attempt) send(packet, body []byte) (head, result []byte, failed *retry.Error) {
	timeout := min(a.connectTimeout, time.Until(a.deadline))
	if timeout <= 0 {
		return nil, nil, &retry.Error{Progress: retry.NotSent, Reason: "no time left before the deadline"}
	}
	conn, err := net.DialTimeout("tcp", a.addr, timeout)
	if err != nil {
		return nil, nil, &retry.Error{Progress: retry.NotSent, Reason: "connect: " + errorText(err)}
	}
	defer func() { _ = conn.Close() }() // the response has been read or the attempt has failed, so an error does not matter
	_ = conn.SetDeadline(a.deadline)    // fails only on a closed connection
	parts := net.Buffers{packet, body}
	n, err := parts.WriteTo(conn)
	progress := retry.MayHaveRun
	if n == 0 {
		progress = retry.NotSent
	} else if n < int64(len(packet)) {
		progress = retry.Sent
	}
	if err != nil && progress < retry.MayHaveRun {
		return nil, nil, &retry.Error{Progress: progress, Reason: "write: " + errorText(err)}
	}
	// A member may respond and close the connection before it has read the body. Its response counts if it is complete.
	in := readerPool.Get().(*bufio.Reader)
	in.Reset(conn)
	defer func() {
		in.Reset(nil)
		readerPool.Put(in)
	}()
	head, result, err = a.readResponse(in)
	if err != nil {
		return nil, nil, responseError(err)
	}
	return head, result, nil
}

// responseError returns the error of an attempt that was sent and has no valid response.
func responseError(err error) *retry.Error {
	e := &retry.Error{
		Progress: retry.MayHaveRun,
		Reason:   "response: " + errorText(err),
		TimedOut: errors.Is(err, os.ErrDeadlineExceeded),
	}
	var busy *busyError
	if errors.As(err, &busy) {
		e.RetryAfter = busy.retryAfterMs
	}
	return e
}

// errorText returns the text of an error without addresses, which the log already has.
func errorText(err error) string {
	var op *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "timed out"
	case errors.As(err, &op):
		return op.Err.Error()
	case errors.Is(err, io.EOF):
		return "connection closed before any data"
	}
	return err.Error()
}

// pingModifier is modifier1 of a uwsgi ping and of the answer to it.
const pingModifier = 100

// ping makes an active health check with a uwsgi ping, which application servers answer without running application code.
func ping(addr string, timeout time.Duration) (healthy bool) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()           // the check has its result, so an error does not matter
	_ = conn.SetDeadline(time.Now().Add(timeout)) // fails only on a closed connection
	if _, err := conn.Write(wire.AppendHeader(nil, pingModifier, 0, 0)); err != nil {
		return false
	}
	answer := make([]byte, wire.HeaderSize)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return false
	}
	return wire.ParseHeader(answer).Modifier1 == pingModifier
}
