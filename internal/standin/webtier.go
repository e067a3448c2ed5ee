package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	wire "sorrelvalve/internal/uwsgi"
)

const (
	maxIdleConnections = 256
	packetCapacity     = 1024
)

// HTTP status codes (RFC 9110). The daemon links this package for its demo, and net/http would add 2 MB to it.
const (
	statusBadRequest          = 400
	statusInternalServerError = 500
	statusServiceUnavailable  = 503
)

// WebTier is a Caller that speaks uwsgi as web servers do: one connection for each RPC, or connections kept alive.
type WebTier struct {
	addr      string
	keepAlive bool
	idle      chan net.Conn
}

// NewWebTier returns a web tier in front of the server at addr.
func NewWebTier(addr string, keepAlive bool) *WebTier {
	return &WebTier{addr: addr, keepAlive: keepAlive, idle: make(chan net.Conn, maxIdleConnections)}
}

// Close closes idle connections.
func (w *WebTier) Close() {
	for {
		select {
		case c := <-w.idle:
			_ = c.Close() // the server may have closed it
		default:
			return
		}
	}
}

// RequestPacket returns what a web tier sends for a call before the body; extra variables are alternating names and values.
func RequestPacket(c Call, extra ...string) []byte {
	variables := append([]string{
		"REQUEST_METHOD", "POST",
		"PATH_INFO", "/" + c.Method,
		"REQUEST_URI", "/" + c.Method,
		"QUERY_STRING", "",
		"SERVER_PROTOCOL", "HTTP/1.1",
		"HTTP_HOST", "portal.example",
		"CONTENT_TYPE", "application/octet-stream",
		"CONTENT_LENGTH", strconv.Itoa(len(c.Body)),
		"REMOTE_ADDR", fmt.Sprintf("10.0.0.%d", c.Caller),
		"PROVIDER", c.Customer,
		"HTTP_USER_AGENT", "Mozilla/5.0 (X11; Linux x86_64) stand-in",
		"HTTP_ACCEPT", "*/*",
	}, extra...)
	if c.Token != "" {
		variables = append(variables, "HTTP_IDEMPOTENCY_KEY", c.Token)
	}
	if c.HintMs > 0 {
		variables = append(variables, "WORK_MS", strconv.FormatFloat(c.HintMs, 'f', 2, 64))
	}
	if c.Retry {
		variables = append(variables, "SECOND", "1")
	}
	if c.Subject != 0 {
		variables = append(variables, "SUBJECT", strconv.FormatUint(c.Subject, 16))
	}
	b := make([]byte, wire.HeaderSize, packetCapacity)
	for i := 0; i < len(variables); i += 2 {
		b = wire.AppendVariable(b, variables[i], variables[i+1])
	}
	wire.AppendHeader(b[:0], 0, len(b)-wire.HeaderSize, 0)
	return b
}

// connect returns an idle connection, or else a new one.
func (w *WebTier) connect() (net.Conn, error) {
	if w.keepAlive {
		select {
		case conn := <-w.idle:
			return conn, nil
		default:
		}
	}
	return net.DialTimeout("tcp", w.addr, dialTimeout)
}

// Call makes one call. Once ctx is done, its connection is closed.
func (w *WebTier) Call(ctx context.Context, c Call) (reply Reply) {
	began := time.Now()
	defer func() { reply.Latency = time.Since(began) }()
	conn, err := w.connect()
	if err != nil {
		return lost(err)
	}
	var extra []string
	if w.keepAlive {
		extra = []string{"VALVE_KEEP", "1"}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // which ends the read below
	packet := net.Buffers{RequestPacket(c, extra...), c.Body}
	if _, err := packet.WriteTo(conn); err != nil {
		_ = conn.Close() // it is broken anyway
		return lost(err)
	}
	reply, reusable := ReadResponse(bufio.NewReader(conn))
	if stop() && reusable && w.keepAlive && reply.Outcome != Lost {
		select {
		case w.idle <- conn:
			return reply
		default:
		}
	}
	_ = conn.Close() // the answer is complete or lost
	return reply
}

// ReadResponse reads one HTTP response, and reports whether the connection stays open behind it.
func ReadResponse(in *bufio.Reader) (r Reply, reusable bool) {
	head, err := readHead(in)
	if err != nil {
		return lost(err), false
	}
	response, _, err := wire.ParseResponse(head)
	if err != nil {
		return lost(err), false
	}
	reusable = true
	wire.EachField(response.Head, func(name, value []byte) {
		switch string(name) {
		case "Connection":
			reusable = string(value) != "close"
		case "Valve-Away-Ms":
			r.RetryAfterMs, _ = strconv.ParseFloat(string(value), 64) // 0 without a number
		case "Valve-Why":
			r.Reason = string(value)
		}
	})
	r.Outcome = outcomeOf(response.Status)
	switch {
	case response.Length > 0:
		r.Body = make([]byte, response.Length)
		if _, err := io.ReadFull(in, r.Body); err != nil {
			return lost(err), false
		}
	case response.Length < 0 && !response.HasNoBody():
		if r.Body, err = io.ReadAll(in); err != nil {
			return lost(err), false
		}
		reusable = false
	}
	return r, reusable
}

// readHead reads a response's head, its empty line included.
func readHead(in *bufio.Reader) (head []byte, err error) {
	const emptyLine = len("\r\n")
	for {
		line, err := in.ReadSlice('\n')
		head = append(head, line...)
		if err != nil {
			return nil, err
		}
		if len(line) <= emptyLine {
			return head, nil
		}
	}
}

// outcomeOf maps an HTTP status to an outcome.
func outcomeOf(status int) Outcome {
	switch {
	case status < statusBadRequest:
		return OK
	case status == statusServiceUnavailable:
		return Rejected
	case status >= statusInternalServerError:
		return Aborted
	default:
		return Invalid
	}
}
