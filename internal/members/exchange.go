package members

// This file owns one report on the wire.

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
	maxHeadBytes = 8 << 10  // of an answer, interim ones included
	maxBodyBytes = 64 << 10 // of an answer
	bufferSize   = 1 << 10  // bounds a line of an answer's head
)

// The phases of a server, as the service knows them.
const (
	phaseServing    = "UP"
	phaseNotServing = "OUT"
)

// cancelIO is a deadline in the past: it ends reads and writes that are in progress at once.
var cancelIO = time.Unix(1, 0)

// exchange is one report in flight, and its connection.
type exchange struct {
	addr     string
	conn     net.Conn // nil for a new one
	reader   *bufio.Reader
	cancel   context.CancelFunc
	sent     bool // completely: the service may have counted it
	serving  bool // what it said
	reusable bool // it was answered completely: the connection can carry another
	err      error
}

// close closes the connection of an exchange, if there is one. The receiver may be nil.
func (x *exchange) close() {
	if x != nil && x.conn != nil {
		_ = x.conn.Close() // its report has been answered, or failed for a reason of its own
		x.conn = nil
	}
}

// report sends one report. A connection that was reused may have been closed meanwhile, so that is tried once more.
func (r *Reporter) report(ctx context.Context, x *exchange) {
	reused := x.conn != nil
	code := r.send(ctx, x)
	if x.err != nil && reused && ctx.Err() == nil {
		x.close()
		code = r.send(ctx, x)
	}
	if x.err == nil && (code < 200 || code > 299) {
		x.err = fmt.Errorf("status %d", code)
	}
}

// send sends one report and returns the status of its answer. All of it ends with ctx.
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
	_ = conn.SetDeadline(time.Time{}) // fails only once closed, and so does the write
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(cancelIO) // fails only once closed
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

// writeRequest writes what holds now. It does not wait: a connection that is new or was answered completely takes so
// little at once.
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

// errMalformed means that an answer is no HTTP/1.x response, or exceeds the bounds.
var errMalformed = errors.New("not an HTTP/1.1 answer")

// readResponse reads one response with its body and returns whether the connection can be used again.
func readResponse(in *bufio.Reader) (code int, reusable bool, err error) {
	left := maxHeadBytes
	for {
		h, err := readHead(in, &left)
		if err != nil {
			return 0, false, err
		}
		if h.code < 200 { // an interim one, before the response itself
			continue
		}
		switch {
		case h.code == 204 || h.code == 304:
			return h.code, h.keepAlive, nil
		case h.chunked || h.length < 0: // finding its end costs more than a new connection
			return h.code, false, nil
		}
		if _, err := io.CopyN(io.Discard, in, int64(h.length)); err != nil {
			return 0, false, err
		}
		return h.code, h.keepAlive, nil
	}
}

// responseHead is what counts of the head of a response.
type responseHead struct {
	code      int
	keepAlive bool
	length    int // of the body; -1 if not told
	chunked   bool
}

// readHead reads one head, of at most left bytes, which it reduces.
func readHead(in *bufio.Reader, left *int) (h responseHead, err error) {
	line, err := readLine(in, left)
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
		line, err = readLine(in, left)
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

// readLine reads one line without its end, and reduces left by its length.
func readLine(in *bufio.Reader, left *int) (string, error) {
	line, err := in.ReadSlice('\n')
	*left -= len(line)
	if err == nil && *left < 0 || errors.Is(err, bufio.ErrBufferFull) {
		return "", errMalformed
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}
