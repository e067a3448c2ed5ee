package uwsgi

// This file reads messages and answers those without an RPC. It must never trust a length whose bytes it has not
// received.

import (
	"errors"
	"io"
	"os"
	"strings"
	"time"

	"sorrelvalve/decision/route"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	wire "sorrelvalve/internal/uwsgi"
)

const (
	// bodyMemoryRetryAfterMs is the retry-after for an RPC whose body would exceed the memory limit of all bodies. Some
	// of the RPCs in flight are answered by then.
	bodyMemoryRetryAfterMs = 250.0
	// pingModifier is modifier1 of the protocol's ping, a packet without variables. Its response has modifier2 set.
	pingModifier = 100
)

// handleMessage reads one message and answers it. A nil error means that the connection is kept, io.EOF that the peer
// has closed it between two messages.
func (c *conn) handleMessage(first bool) error {
	config := c.server.config.Load()
	limits := &config.limits
	began, err := c.awaitMessage(first, operator.Milliseconds(limits.ReadTimeoutMs))
	if err != nil {
		return err
	}
	head, err := c.in.Peek(wire.HeaderSize)
	if err != nil {
		return truncation(err)
	}
	header := wire.ParseHeader(head)
	if header.Modifier1 == pingModifier && header.BlockSize == 0 && header.Modifier2 == 0 {
		return c.answerPing()
	}
	if e := checkHeader(header, limits); e != nil {
		return c.rejectInvalid(e)
	}
	block, err := c.readBlock(header.BlockSize)
	if err != nil {
		return truncation(err)
	}
	if e := parseVariables(&c.variables, block, limits); e != nil {
		return c.rejectInvalid(e)
	}
	defer c.variables.Reset()
	r := request{Message: route.Message{Variables: &c.variables}}
	if e := config.parseRequest(&r); e != nil {
		return c.rejectInvalid(e)
	}
	resolved, e := config.resolve(&r)
	if e != nil {
		return c.rejectInvalid(e)
	}
	bodyLength := int64(r.bodyLength)
	if !c.server.reserveBody(bodyLength, int64(limits.BodyMemoryKB)<<10) {
		return c.rejectForMemory()
	}
	defer c.server.releaseBody(bodyLength)
	body, err := c.readBodyWithin(r.bodyLength, operator.Milliseconds(limits.BodyTimeoutMs))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.rejectInvalid(badRequest("CONTENT_LENGTH: so much did not come in time"))
	}
	if err != nil {
		return truncation(err)
	}
	x := exchange{
		conn:     c,
		config:   config,
		request:  &r,
		resolved: &resolved,
		block:    block,
		body:     body,
		began:    began,
	}
	return x.serve()
}

// awaitMessage waits for the first byte of the next message and returns its arrival time. The rest of the message must
// arrive within timeout after that. The first message of a connection must also begin within timeout.
func (c *conn) awaitMessage(first bool, timeout time.Duration) (began time.Time, err error) {
	if first {
		c.BoundReads(time.Now().Add(timeout))
	}
	if _, err := c.in.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return began, errMessageTimeout
		}
		return began, err
	}
	c.BeginMessage()
	began = time.Now()
	c.BoundReads(began.Add(timeout))
	return began, nil
}

// truncation maps an error of a read within a message to errMessageTimeout or errTruncated.
func truncation(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errMessageTimeout
	}
	return errTruncated
}

// readBlock reads the header, which is already buffered, and the block of variables. It returns the block.
func (c *conn) readBlock(size int) (string, error) {
	if wire.HeaderSize+size <= c.in.Size() {
		b, err := c.in.Peek(wire.HeaderSize + size)
		if err != nil {
			return "", err
		}
		block := string(b[wire.HeaderSize:])
		_, _ = c.in.Discard(wire.HeaderSize + size) // it is buffered
		return block, nil
	}
	_, _ = c.in.Discard(wire.HeaderSize) // it is buffered
	var block strings.Builder
	_, err := io.CopyN(&block, c.in, int64(size))
	return block.String(), err
}

// readBodyWithin reads a body whose length has been checked. If it arrives within timeout, later reads have no
// deadline.
func (c *conn) readBodyWithin(size int, timeout time.Duration) ([]byte, error) {
	c.BoundReads(time.Now().Add(timeout))
	body, err := wire.ReadBody(c.in, int64(size))
	if err == nil {
		c.BoundReads(time.Time{})
	}
	return body, err
}

// markReceived records a message without an RPC.
func (c *conn) markReceived() {
	c.Mu.Lock()
	c.ReceivedMessage = true
	c.PartialMessage = false
	c.LastActivity = time.Now()
	c.Mu.Unlock()
}

// rejectInvalid answers an invalid message. The answer is written by the reader, so that a peer that sends without
// reading is slowed down.
func (c *conn) rejectInvalid(e *requestError) error {
	c.markReceived()
	c.server.log.WithField("peer", c.RemoteAddr()).WithError(e).Warn("server.invalid_rpc")
	c.faults++
	if c.faults > front.MaxUndelayedFaults {
		time.Sleep(front.FaultDelay)
	}
	sent := c.Send(requestErrorHead(e, e.keepAlive))
	return c.complete(sent && e.keepAlive && !c.server.table.ShuttingDown())
}

// rejectForMemory answers a message whose body would exceed the memory limit of all bodies.
func (c *conn) rejectForMemory() error {
	c.markReceived()
	v := gate.Verdict{Kind: gate.Rejected, RetryAfterMs: c.server.gate.CapRetryAfter(bodyMemoryRetryAfterMs)}
	c.Send(failureHead(&v, false))
	return errClosedHere
}

// answerPing answers a health check. A healthy server sends the protocol's response and any other server none; the
// connection is closed in both cases.
func (c *conn) answerPing() error {
	c.markReceived()
	_, _ = c.in.Discard(wire.HeaderSize) // it is buffered
	if c.server.gate.Healthy() {
		c.Send(wire.AppendHeader(nil, pingModifier, 0, 1))
	}
	return errClosedHere
}

// complete records that a message has been answered. It returns errClosedHere unless the connection is kept.
func (c *conn) complete(keepAlive bool) error {
	c.Mu.Lock()
	c.InFlight = 0
	c.LastActivity = time.Now()
	c.ticket = nil
	c.Mu.Unlock()
	if !keepAlive {
		return errClosedHere
	}
	return nil
}
