package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sorrelvalve/internal/msgpack"
)

// lastTransaction numbers the RPCs of all routers of this process.
var lastTransaction atomic.Uint64

// errConnectionClosed is why calls on a closed connection are lost.
var errConnectionClosed = errors.New("the connection ended")

// Router is a Caller that speaks MessagePack-RPC over several connections.
type Router struct {
	addr        string
	mu          sync.Mutex
	connections []*routerConn
}

// routerConn is one connection with its pending calls.
type routerConn struct {
	conn net.Conn

	mu       sync.Mutex
	next     uint64
	pending  map[uint64]chan Reply
	draining bool // takes no more calls
}

const (
	maxPending       = 32 // calls that the protocol allows on one connection
	readBufferSize   = 16 << 10
	notificationSize = 3      // fields of a notification; requests and responses have four
	requestType      = 0      // of a message
	notificationType = 2      // of a message
	queuedKB         = "24.5" // memory of a queued RPC, as routers state it
)

// NewRouter returns a router that opens connections to addr as it needs them.
func NewRouter(addr string) *Router { return &Router{addr: addr} }

// Close closes its connections; calls on them are lost.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.connections {
		_ = c.conn.Close() // the server may have closed it
	}
}

// reserve returns a connection with capacity, and the number and the reply of a call on it.
func (r *Router) reserve() (*routerConn, uint64, chan Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.connections {
		if id, reply := c.register(); reply != nil {
			return c, id, reply, nil
		}
	}
	conn, err := net.DialTimeout("tcp", r.addr, dialTimeout)
	if err != nil {
		return nil, 0, nil, err
	}
	c := &routerConn{conn: conn, pending: map[uint64]chan Reply{}}
	r.connections = append(r.connections, c)
	go func() {
		c.read()
		r.remove(c)
	}()
	id, reply := c.register()
	return c, id, reply, nil
}

// remove forgets a connection.
func (r *Router) remove(c *routerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.connections {
		if other == c {
			r.connections = append(r.connections[:i], r.connections[i+1:]...)
			return
		}
	}
}

// register numbers a call; the channel is nil if the connection takes no more.
func (c *routerConn) register() (uint64, chan Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || len(c.pending) >= maxPending {
		return 0, nil
	}
	c.next++
	reply := make(chan Reply, 2)
	c.pending[c.next] = reply
	return c.next, reply
}

// Call makes one call. Once ctx is done, the server is told that it is cancelled.
func (r *Router) Call(ctx context.Context, c Call) (reply Reply) {
	began := time.Now()
	defer func() { reply.Latency = time.Since(began) }()
	conn, id, answer, err := r.reserve()
	if err != nil {
		return lost(err)
	}
	if c.ArrivedAt.IsZero() {
		c.ArrivedAt = began
	}
	if _, err := conn.conn.Write(appendRequest(nil, id, c)); err != nil {
		_ = conn.conn.Close() // it is broken anyway
		return lost(err)
	}
	select {
	case reply = <-answer:
		return reply
	case <-ctx.Done():
		_, _ = conn.conn.Write(appendCancel(nil, id)) // on a broken connection there is nothing to cancel
		return lost(ctx.Err())
	}
}

// requestFields returns the fields of a request's envelope as alternating names and values.
func requestFields(c Call) []string {
	fields := []string{
		"txn", fmt.Sprintf("%016x", lastTransaction.Add(1)),
		"door", strconv.FormatInt(c.ArrivedAt.UnixMilli(), 10),
		"lb", strconv.Itoa(c.Caller),
		"ram", queuedKB,
	}
	if c.Customer != "" {
		fields = append(fields, "team", c.Customer)
	}
	if c.HintMs > 0 {
		fields = append(fields, "cpu", strconv.FormatFloat(c.HintMs, 'f', 2, 64))
	}
	if c.Token != "" {
		fields = append(fields, "unique", c.Token)
	}
	if c.Subject != 0 {
		fields = append(fields, "item", strconv.FormatUint(c.Subject, 16))
	}
	if c.Retry {
		fields = append(fields, "second", "1")
	}
	return fields
}

// appendRequest appends the message [0, id, method, [fields, body]].
func appendRequest(b []byte, id uint64, c Call) []byte {
	fields := requestFields(c)
	b = msgpack.AppendArray(b, 4)
	b = msgpack.AppendUint(b, requestType)
	b = msgpack.AppendUint(b, id)
	b = msgpack.AppendString(b, c.Method)
	b = msgpack.AppendArray(b, 2)
	b = msgpack.AppendMap(b, len(fields)/2)
	for _, field := range fields {
		b = msgpack.AppendString(b, field)
	}
	b = msgpack.AppendBinHeader(b, len(c.Body))
	return append(b, c.Body...)
}

// appendCancel appends the notification [2, "cancel", [id]].
func appendCancel(b []byte, id uint64) []byte {
	b = msgpack.AppendArray(b, notificationSize)
	b = msgpack.AppendUint(b, notificationType)
	b = msgpack.AppendString(b, "cancel")
	b = msgpack.AppendArray(b, 1)
	return msgpack.AppendUint(b, id)
}

// read handles messages until the connection is closed, or drained and idle.
func (c *routerConn) read() {
	defer c.close()
	var unread []byte
	buffer := make([]byte, readBufferSize)
	for {
		p := msgpack.Parse(unread)
		p.Skip()
		if p.Err() != nil {
			n, err := c.conn.Read(buffer)
			unread = append(unread, buffer[:n]...)
			if err != nil {
				return
			}
			continue
		}
		c.handle(unread[:p.Offset()])
		unread = append([]byte(nil), unread[p.Offset():]...)
		c.mu.Lock()
		drained := c.draining && len(c.pending) == 0
		c.mu.Unlock()
		if drained {
			return
		}
	}
}

// close closes the connection; what is pending on it is lost.
func (c *routerConn) close() {
	_ = c.conn.Close() // the server may have closed it
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	for _, reply := range c.pending {
		reply <- lost(errConnectionClosed)
	}
	clear(c.pending)
}

// handle handles one message: a response, or the notification that asks for no more calls.
func (c *routerConn) handle(message []byte) {
	p := msgpack.Parse(message)
	if p.Array() == notificationSize {
		c.mu.Lock()
		c.draining = true
		c.mu.Unlock()
		return
	}
	p.Uint() // type
	id := p.Uint()
	reply := parseReply(p)
	c.mu.Lock()
	answer := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if answer != nil {
		answer <- reply
	}
}

// parseReply parses a response's error and result; the error is nil, or an array of its name and details.
func parseReply(p msgpack.Parser) (r Reply) {
	success := p // a copy, to try without consuming
	success.Nil()
	if success.Err() == nil {
		success.Array()
		r.Body = bytes.Clone(success.Bytes())
		return r
	}
	p.Array()
	switch string(p.Bytes()) {
	case "Overloaded":
		r.Outcome = Rejected
	case "Invalid":
		r.Outcome = Invalid
	default:
		r.Outcome = Aborted
	}
	for n := p.Map(); n > 0 && p.Err() == nil; n-- {
		key, value := string(p.Bytes()), string(p.Bytes())
		switch key {
		case "later":
			r.RetryAfterMs, _ = strconv.ParseFloat(value, 64) // 0 without a number
		case "why":
			r.Reason = value
		}
	}
	return r
}
