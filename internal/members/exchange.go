package members

// This file sends one report over HTTP and reads the response.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	maxHeadBytes = 8 << 10  // of a response, including interim ones
	maxBodyBytes = 64 << 10 // of a response
	bufferSize   = 1 << 10  // bounds a line of a response's head
)

// The phases of a server in the protocol of the membership service.
const (
	phaseServing    = "UP"
	phaseNotServing = "OUT"
)

// cancelIO is a deadline in the past. Setting it ends reads and writes in progress at once.
var cancelIO = time.Unix(1, 0)

// exchange is one report with its connection.
type exchange struct {
	addr     string
	conn     net.Conn // nil if a new connection must be dialled
	reader   *bufio.Reader
	cancel   context.CancelFunc
	sent     bool // the report was written completely, so the service may have processed it
	serving  bool // the state that was reported
	reusable bool // the response was read completely, so the connection can carry another report
	err      error
}

// close closes the connection of an exchange, if any. The receiver may be nil.
func (x *exchange) close() {
	if x != nil && x.conn != nil {
		_ = x.conn.Close() // the report is over, and its error, if any, is in x.err
		x.conn = nil
	}
}

// report sends one report. The service may have closed a reused connection in the meantime, so if the report fails on one, it
// is sent once more on a new connection.
func (r *Reporter) report(ctx context.Context, x *exchange) {
	reused := x.conn != nil
	code := r.send(ctx, x)
	if x.err != nil && reused && ctx.Err() == nil {
		x.close()
		code = r.send(ctx, x)
	}
	if x.err == nil && (code < 200 || code > 299) {
		x.err = fmt.Errorf("response status %d", code)
	}
}

// send sends one report and returns the status of the response. It sets x.err on failure and stops when ctx ends.
func (r *Reporter) send(ctx context.Context, x *exchange) (code int) {
	x.sent = false
	x.reusable = false
	if x.conn == nil {
		x.conn, x.err = r.dial(ctx, "tcp", x.addr)
		if x.err != nil {
			x.conn = nil
			return 0
		}
		x.reader = bufio.NewReaderSize(x.conn, bufferSize)
	}
	conn := x.conn
	_ = conn.SetDeadline(time.Time{}) // fails only on a closed connection, on which the write fails as well
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(cancelIO) // fails only on a closed connection
	})
	defer stop()
	x.err = r.writeRequest(ctx, x)
	if x.err != nil {
		return 0
	}
	x.sent = true
	code, x.reusable, x.err = readResponse(x.reader)
	return code
}

// writeRequest writes a report of the current state. It does not block in practice: the connection is new or its last
// response was complete, so the small request fits into the send buffer.
func (r *Reporter) writeRequest(ctx context.Context, x *exchange) error {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	x.serving = r.serving()
	phase := phaseNotServing
	if x.serving {
		phase = phaseServing
	}
	body := `{"phase":"` + phase + `"}`
	_, err := fmt.Fprintf(x.conn, "PUT /members/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", r.name, x.addr, len(body), body)
	return err
}

// errMalformed means that a response is not valid HTTP/1.x or exceeds the size limits.
var errMalformed = errors.New("malformed or too long HTTP/1.1 response")

// readResponse reads one response with its body. reusable reports whether the connection can be used for another request.
func readResponse(in *bufio.Reader) (code int, reusable bool, err error) {
	remaining := maxHeadBytes
	for {
		h, err := readHead(in, &remaining)
		if err != nil {
			return 0, false, err
		}
		if h.code < 200 { // an interim response, which precedes the final one
			continue
		}
		switch {
		case h.code == 204 || h.code == 304:
			return h.code, h.keepAlive, nil
		case h.chunked || h.length < 0: // finding the end of the body costs more than a new connection
			return h.code, false, nil
		}
		if _, err := io.CopyN(io.Discard, in, int64(h.length)); err != nil {
			return 0, false, err
		}
		return h.code, h.keepAlive, nil
	}
}

// responseHead is the parsed head of a response.
type responseHead struct {
	code      int
	keepAlive bool
	length    int // length of the body; -1 if there is no Content-Length field
	chunked   bool
}

// readHead reads one head of at most remaining bytes, and subtracts its size from remaining.
func readHead(in *bufio.Reader, remaining *int) (h responseHead, err error) {
	line, err := readLine(in, remaining)
	if err != nil {
		return h, err
	}
	version, rest, _ := strings.Cut(line, " ")
	status, _, _ := strings.Cut(rest, " ")
	h.code, err = strconv.Atoi(status)
	if err != nil || len(status) != 3 || h.code < 100 || !strings.HasPrefix(version, "HTTP/1.") {
		return h, errMalformed
	}
	h.keepAlive = version != "HTTP/1.0"
	h.length = -1
	for {
		line, err = readLine(in, remaining)
		if err != nil {
			return h, err
		}
		if line == "" {
			return h, nil
		}
		if err := h.parseField(line); err != nil {
			return h, err
		}
	}
}

// parseField parses one header field.
func (h *responseHead) parseField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return errMalformed
	}
	value = strings.ToLower(strings.TrimSpace(value))
	switch strings.ToLower(name) {
	case "content-length":
		length, err := strconv.Atoi(value)
		if err != nil || length < 0 || length > maxBodyBytes {
			return errMalformed
		}
		h.length = length
	case "transfer-encoding":
		h.chunked = true
	case "connection":
		h.keepAlive = h.keepAlive && !strings.Contains(value, "close")
	}
	return nil
}

// readLine reads one line, without its line ending, and subtracts its length from remaining.
func readLine(in *bufio.Reader, remaining *int) (string, error) {
	line, err := in.ReadSlice('\n')
	*remaining -= len(line)
	if err == nil && *remaining < 0 || errors.Is(err, bufio.ErrBufferFull) {
		return "", errMalformed
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}
