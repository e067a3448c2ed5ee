package pools

// This file owns one attempt at one member: its connection, the packet and the response. It must never report less
// progress than an attempt may have made: an application server may begin as soon as it has read the variables.

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

// extraVariablesSize is the memory allocated for variables beside those of the RPC.
const extraVariablesSize = 256

// packet returns the header and the block of variables for a run, and whether its response has no body. An RPC that came
// by uwsgi goes on with the variables that it came with; another one gets those of the method's record.
func (t *target) packet(w gate.RunRequest) (b []byte, noBody bool) {
	b = make([]byte, wire.HeaderSize, wire.HeaderSize+len(w.Variables)+extraVariablesSize)
	verb := t.method.Verb
	if w.Variables != "" {
		b = append(b, w.Variables...)
		verb, _ = wire.Lookup(w.Variables, "REQUEST_METHOD")
	} else {
		b = t.appendVariables(b, len(w.Body))
	}
	withID := wire.AppendVariable(b, "VALVE_ID", w.ID)
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

// attempt is what is decided about an attempt before it is made.
type attempt struct {
	addr           string
	connectTimeout time.Duration
	deadline       time.Time // for the complete response
	maxBodyBytes   int
	noBody         bool
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHeadBytes) }}

// send makes the attempt. The head that it returns ends with the empty line; head and result are the caller's.
func (a *attempt) send(packet, body []byte) (head, result []byte, failed *retry.Error) {
	timeout := min(a.connectTimeout, time.Until(a.deadline))
	if timeout <= 0 {
		return nil, nil, &retry.Error{Progress: retry.NotSent, Reason: "no time is left"}
	}
	nc, err := net.DialTimeout("tcp", a.addr, timeout)
	if err != nil {
		return nil, nil, &retry.Error{Progress: retry.NotSent, Reason: "connect: " + errorText(err)}
	}
	defer func() { _ = nc.Close() }() // the response has been read, or failed for a reason of its own
	_ = nc.SetDeadline(a.deadline)    // fails only once closed
	parts := net.Buffers{packet, body}
	n, err := parts.WriteTo(nc)
	progress := retry.MayHaveRun
	if n == 0 {
		progress = retry.NotSent
	} else if n < int64(len(packet)) {
		progress = retry.Sent
	}
	if err != nil && progress < retry.MayHaveRun {
		return nil, nil, &retry.Error{Progress: progress, Reason: "write: " + errorText(err)}
	}
	// A member that responds before it has read the body may have closed; its response counts if it is complete.
	in := readerPool.Get().(*bufio.Reader)
	in.Reset(nc)
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

// responseError returns the error of an attempt that was sent and has no response that counts.
func responseError(err error) *retry.Error {
	e := &retry.Error{
		Progress: retry.MayHaveRun,
		Reason:   "answer: " + errorText(err),
		TimedOut: errors.Is(err, os.ErrDeadlineExceeded),
	}
	var busy *busyError
	if errors.As(err, &busy) {
		e.RetryAfter = busy.retryAfterMs
	}
	return e
}

// errorText returns the text of an error without the addresses in it, which the log has already.
func errorText(err error) string {
	var op *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "none in time"
	case errors.As(err, &op):
		return op.Err.Error()
	case errors.Is(err, io.EOF):
		return "the connection ended without one"
	}
	return err.Error()
}

// pingModifier is modifier1 of the protocol's ping and of its answer.
const pingModifier = 100

// ping makes an active health check by the protocol's ping, which an application server answers by itself.
func ping(addr string, timeout time.Duration) (healthy bool) {
	nc, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return false
	}
	defer func() { _ = nc.Close() }()           // the answer has been read, or there is none
	_ = nc.SetDeadline(time.Now().Add(timeout)) // fails only once closed
	if _, err := nc.Write(wire.AppendHeader(nil, pingModifier, 0, 0)); err != nil {
		return false
	}
	answer := make([]byte, wire.HeaderSize)
	if _, err := io.ReadFull(nc, answer); err != nil {
		return false
	}
	return wire.ParseHeader(answer).Modifier1 == pingModifier
}
