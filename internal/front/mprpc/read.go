package mprpc

// This file implements the reader of a connection, which reads messages and dispatches them. It must never wait for an
// RPC.

import (
	"bufio"
	"errors"
	"io"
	"os"
	"runtime/debug"
	"time"

	"sorrelvalve/internal/front"
	"sorrelvalve/internal/msgpack"
)

const (
	// maxFrame is the size in bytes of the longest frame. It has room for a body of 2 KiB, the fields, which take some
	// hundred bytes, and new fields.
	maxFrame = 8 << 10
	// inFlightLimitRetryAfterMs is the retry-after for an RPC beyond maxInFlight. The RPCs in flight are answered by
	// then.
	inFlightLimitRetryAfterMs = 500
)

// readMessages reads and dispatches messages until an error; io.EOF is a clean end. Frames are parsed in the reader's
// buffer.
//
// The first message, and the rest of a message that has begun, must arrive within the message timeout, so that a peer
// that sends nothing or never completes a message does not hold a descriptor.
func (c *conn) readMessages() (err error) {
	defer func() {
		if v := recover(); v != nil {
			c.server.log.WithField("panic", v).WithField("stack", string(debug.Stack())).Error("server.connection_panic")
			err = errFrame
		}
	}()
	in := bufio.NewReaderSize(c.Conn, maxFrame)
	need := 1 // bytes that must be buffered before parsing can make progress
	timed := true
	c.BoundReads(time.Now().Add(c.server.messageTimeout))
	for {
		b, err := c.fill(in, need)
		if err != nil {
			return err
		}
		m, size, err := parseMessage(b)
		switch {
		case err == nil:
			if timed {
				timed = false
				c.BoundReads(time.Time{})
			}
			if err := c.dispatch(m); err != nil {
				return err
			}
			_, _ = in.Discard(size) // size bytes are buffered
			need = 1
			if c.faults > front.MaxUndelayedFaults { // delays only this peer, and none of its RPCs in flight
				time.Sleep(front.FaultDelay)
			}
		case errors.Is(err, msgpack.ErrTruncated):
			need = size
			c.BeginMessage()
			if !timed {
				timed = true
				c.BoundReads(time.Now().Add(c.server.messageTimeout))
			}
		default:
			c.answerMalformed(b, err.Error())
			return err
		}
	}
}

// fill waits until need bytes are buffered and returns all buffered bytes. They are valid until the next read.
func (c *conn) fill(in *bufio.Reader, need int) ([]byte, error) {
	_, err := in.Peek(need)
	b, _ := in.Peek(in.Buffered()) // can't fail: they are buffered
	switch {
	case errors.Is(err, io.EOF) && len(b) > 0:
		return nil, errTruncatedMessage
	case errors.Is(err, os.ErrDeadlineExceeded) && c.Ending():
		return nil, errClosedHere
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errMessageTimeout
	case err != nil:
		return nil, err
	}
	return b, nil
}

// answerMalformed answers a call that can't be parsed, if its message id can be parsed and is not in flight.
func (c *conn) answerMalformed(b []byte, reason string) {
	id, ok := callID(b)
	if !ok {
		return
	}
	c.Mu.Lock()
	_, inFlight := c.tickets[id]
	answer := !inFlight && !c.CloseRequested
	if answer { // the reserved id keeps the connection from being evicted before the answer is written
		c.reserve(id)
	}
	c.Mu.Unlock()
	if answer {
		c.write(errorResponse(id, "Invalid", reason))
		c.complete(id)
	}
}

// reserve marks a message id as in flight without a ticket. The caller must hold Mu.
func (c *conn) reserve(id uint64) {
	c.tickets[id] = nil
	c.InFlight = len(c.tickets)
}

// dispatch handles one message.
func (c *conn) dispatch(m message) error {
	c.Mu.Lock()
	c.LastActivity = time.Now()
	c.ReceivedMessage = true
	c.PartialMessage = false
	closing := c.CloseRequested
	_, inFlight := c.tickets[m.id]
	full := len(c.tickets) >= maxInFlight
	if m.kind == typeCall && !inFlight && !closing && !full {
		c.reserve(m.id) // from here on the connection is not idle
	}
	c.Mu.Unlock()
	c.faults++
	switch {
	case closing:
		return errClosedHere
	case m.kind == typeNotification:
		if string(m.method) == "cancel" {
			c.cancel(parseCancel(m.params))
		}
	case inFlight: // a second response with this id would be taken for the first call's
		return errDuplicateID
	case full: // written by the reader, so that a peer that sends without reading is slowed down
		c.write(rejection(m.id, c.server.gate.CapRetryAfter(inFlightLimitRetryAfterMs), false))
	case string(m.method) == "health" && isHealthCheck(m.params):
		c.faults = 0
		c.write(healthResponse(m.id, c.server.gate.Healthy()))
		c.complete(m.id)
	default:
		c.submit(m)
	}
	return nil
}

// cancel notifies the gate that the callers of the calls with these message ids no longer wait.
func (c *conn) cancel(ids []uint64) {
	for _, id := range ids {
		c.Mu.Lock()
		t := c.tickets[id]
		c.Mu.Unlock()
		if t != nil {
			t.Cancel()
			c.faults = 0
		}
	}
}

// submit submits the RPC of a call to the gate and starts its handler.
func (c *conn) submit(m message) {
	rpc, err := parseRPC(m.method, m.params)
	if err != nil {
		c.rejectInvalid(m.id, err)
		return
	}
	t, err := c.server.gate.Submit(rpc)
	if err != nil {
		c.rejectInvalid(m.id, err)
		return
	}
	c.faults = 0
	c.startHandler(m.id, t, func() { c.awaitVerdicts(m.id, t, rpc) })
}

func (c *conn) rejectInvalid(id uint64, err error) {
	c.server.log.WithField("peer", c.RemoteAddr()).WithError(err).Warn("server.invalid_rpc")
	c.write(errorResponse(id, "Invalid", err.Error()))
	c.complete(id)
}
