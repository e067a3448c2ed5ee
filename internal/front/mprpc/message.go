package mprpc

// This file parses the frames of the routers' protocol in place. It must never use a socket, or trust a length or a
// number that it has not checked.

import (
	"errors"
	"fmt"

	"sorrelvalve/internal/msgpack"
)

// The message types on the wire, as in MessagePack-RPC.
const (
	typeCall         = 0
	typeResponse     = 1
	typeNotification = 2
)

// message is one frame, parsed in place. Its method and params are valid until the next read.
type message struct {
	kind   uint64
	id     uint64 // of a call; zero for a notification
	method []byte
	params []byte
}

var (
	errFrame        = errors.New("no message of the protocol")
	errFrameTooLong = fmt.Errorf("a message of more than %d bytes", maxFrame)
)

// parseMessage parses the first message of b and returns its size. If b does not contain all of the message, the error
// is msgpack.ErrTruncated and size is a lower bound. A message that announces more than maxFrame bytes fails at once.
func parseMessage(b []byte) (m message, size int, err error) {
	p := msgpack.Parse(b)
	p.Skip()
	switch {
	case errors.Is(p.Err(), msgpack.ErrTruncated) && p.Missing() > uint64(maxFrame-len(b)):
		return m, 0, errFrameTooLong
	case p.Err() != nil:
		return m, len(b) + int(p.Missing()), p.Err()
	}
	size = p.Offset()
	p = msgpack.Parse(b[:size])
	parts := p.Array()
	m.kind = p.Uint()
	switch {
	case p.Err() != nil:
		return m, size, errFrame
	case m.kind == typeCall && parts == 4:
		m.id = p.Uint()
	case m.kind == typeNotification && parts == 3:
	default:
		return m, size, errFrame
	}
	m.method = p.Bytes()
	m.params = b[p.Offset():size]
	if p.Err() != nil {
		return m, size, errFrame
	}
	return m, size, nil
}

// callID returns the message id of a call whose beginning can be parsed, even if the rest can't.
func callID(b []byte) (id uint64, ok bool) {
	p := msgpack.Parse(b)
	if p.Array() != 4 || p.Uint() != typeCall {
		return 0, false
	}
	id = p.Uint()
	return id, p.Err() == nil
}

// isHealthCheck reports whether params are valid parameters of a health call.
func isHealthCheck(params []byte) bool {
	p := msgpack.Parse(params)
	n := p.Array()
	p.Map()
	return n == 1 && p.Err() == nil
}

// parseCancel returns the message ids in the parameters of a cancel notification.
func parseCancel(params []byte) (ids []uint64) {
	p := msgpack.Parse(params)
	for n := p.Array(); n > 0 && p.Err() == nil; n-- {
		if id := p.Uint(); p.Err() == nil {
			ids = append(ids, id)
		}
	}
	return ids
}
