package mprpc

// This file owns the messages of the routers' protocol: it takes them apart in place and makes the answers. It must
// never touch a socket, nor take a length or a number on trust.

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/msgpack"
	"sorrelvalve/internal/uwsgi"
)

// The types of message on the wire of the routers.
const (
	typeCall         = 0
	typeResponse     = 1
	typeNotification = 2
)

// message is one frame, parsed in place: its parts are valid until the next read.
type message struct {
	kind   uint64
	id     uint64
	method []byte
	params []byte
}

var errFrame = errors.New("no message of the protocol")

var errFrameTooLong = fmt.Errorf("a message of more than %d bytes", maxFrame)

// parseMessage takes the first message of b and returns how long it is. The error is msgpack.ErrShort while more of it
// is to come; size is then how long it is at the least. What it claims beyond the bound is not waited for.
func parseMessage(b []byte) (m message, size int, err error) {
	p := msgpack.Parse(b)
	p.Skip()
	switch {
	case p.Err() == msgpack.ErrTruncated && p.Missing() > uint64(maxFrame-len(b)):
		return m, 0, errFrameTooLong
	case p.Err() != nil:
		return m, len(b) + int(p.Missing()), p.Err()
	}
	size = p.Offset()
	p = msgpack.Parse(b[:size])
	n := p.Array()
	m.kind = p.Uint()
	switch {
	case p.Err() != nil:
		return m, size, errFrame
	case m.kind == typeCall && n == 4:
		m.id = p.Uint()
	case m.kind == typeNotification && n == 3:
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

// numberOf returns the message id of a call of which only the beginning can be read.
func callID(b []byte) (id uint64, ok bool) {
	p := msgpack.Parse(b)
	if n := p.Array(); n == 4 && p.Uint() == typeCall {
		id = p.Uint()
		return id, p.Err() == nil
	}
	return 0, false
}

// parseHealth tells whether the parameters of a check make sense.
func isHealthCheck(params []byte) bool {
	p := msgpack.Parse(params)
	n := p.Array()
	p.Map()
	return n == 1 && p.Err() == nil
}

// parseCancel returns the message ids in a cancel.
func parseCancel(params []byte) (ids []uint64) {
	p := msgpack.Parse(params)
	for n := p.Array(); n > 0 && p.Err() == nil; n-- {
		if id := p.Uint(); p.Err() == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

const (
	maxBody      = 2 << 10 // as the protocol says
	maxCostHint  = 3.6e6   // ms: an hour of work is no hint
	maxHeldKB    = 2000.0  // KB, as the protocol says
	maxToken     = 64      // of a token: twice what the protocol shows
	maxClockSkew = 10e3    // ms that a door may lie ahead of our clock: far above what clocks of one machine differ
)

// parseRPC reads the fields and the body of an RPC. The error says what is wrong with them.
func parseRPC(method, params []byte) (rpc gate.RPC, err error) {
	p := msgpack.Parse(params)
	if n := p.Array(); p.Err() != nil || n != 2 {
		return rpc, errors.New("params: fields and body expected")
	}
	rpc.Method = string(method)
	var f fieldParser
	for n := p.Map(); n > 0 && p.Err() == nil; n-- {
		key, v := p.Bytes(), p.Bytes()
		if p.Err() != nil {
			break
		}
		switch string(key) {
		case "txn":
			if rpc.ID = string(v); len(v) != 16 {
				f.fail("txn", "16 hex digits", v)
			}
			f.unsigned("txn", v, 16)
		case "door":
			rpc.ArrivedMs = f.number("door", v, 1, float64(time.Now().UnixMilli())+maxClockSkew)
		case "lb": // of any size: routers come with always new numbers
			n := f.unsigned("lb", v, 10)
			rpc.Caller = uint16(n ^ n>>16 ^ n>>32 ^ n>>48)
		case "team":
			rpc.Customer = string(v)
		case "second":
			rpc.Retry = string(v) == "1"
		case "cpu":
			rpc.CostHintMs = f.number("cpu", v, 0, maxCostHint)
		case "ram":
			if rpc.QueuedKB = f.number("ram", v, 0, maxHeldKB); rpc.QueuedKB == 0 || rpc.QueuedKB == maxHeldKB {
				f.fail("ram", fmt.Sprintf("a number between 0 and %g", maxHeldKB), v)
			}
		case "standing": // checked; decisions go by criticality and share
			if f.number("standing", v, 0, 1) == 1 {
				f.fail("standing", "a number under 1", v)
			}
		case "unique":
			if rpc.Token = string(v); len(v) == 0 || len(v) > maxToken {
				f.fail("unique", fmt.Sprintf("up to %d characters", maxToken), v)
			}
		case "item":
			rpc.Subject = f.unsigned("item", v, 16)
		}
	}
	if p.Err() != nil {
		return rpc, errors.New("fields: a map of strings expected")
	}
	body := p.Bytes()
	switch {
	case p.Err() != nil:
		return rpc, errors.New("body: bytes expected")
	case len(body) > maxBody:
		return rpc, fmt.Errorf("body: at most %d bytes expected, %d there", maxBody, len(body))
	case f.err != nil:
		return rpc, f.err
	case rpc.ID == "":
		return rpc, errors.New("txn: 16 hex digits expected, none there")
	case rpc.ArrivedMs == 0:
		return rpc, errors.New("door: a time expected, none there")
	case rpc.QueuedKB == 0:
		return rpc, errors.New("ram: a number expected, none there")
	}
	rpc.Body = bytes.Clone(body)
	return rpc, nil
}

// fields reads the values of fields and keeps the first thing found wrong.
type fieldParser struct{ err error }

func (f *fieldParser) fail(key, want string, v []byte) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s expected, %.40q there", key, want, v)
	}
}

func (f *fieldParser) number(key string, v []byte, low, high float64) float64 {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || !(x >= low && x <= high) {
		f.fail(key, fmt.Sprintf("a number from %g to %g", low, high), v)
		return 0
	}
	return x
}

func (f *fieldParser) unsigned(key string, v []byte, base int) uint64 {
	x, err := strconv.ParseUint(string(v), base, 64)
	if err != nil {
		f.fail(key, fmt.Sprintf("a whole number to base %d", base), v)
	}
	return x
}

// appendAnswer begins an answer. Behind it come the error and the result.
func appendResponseHeader(b []byte, id uint64) []byte {
	return msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(b, 4), typeResponse), id)
}

// okHead is what goes before a result of n bytes, and okTail what goes behind it.
func resultHeader(id uint64, n int) []byte {
	b := msgpack.AppendArray(msgpack.AppendNil(appendResponseHeader(make([]byte, 0, 24), id)), 2)
	return msgpack.AppendBinHeader(b, n)
}

// okTail ends it. The head of an answer that came from a pool of the web does not cross, but for a status that is not
// 200 and the type of what is in the body.
func resultTrailer(head []byte) []byte {
	if len(head) == 0 {
		return msgpack.AppendMap(nil, 0)
	}
	var fields []string
	if a, _, err := uwsgi.ParseResponse(head); err == nil && a.Status != 200 {
		fields = append(fields, "status", strconv.Itoa(a.Status))
	}
	uwsgi.EachField(head, func(name, value []byte) {
		if strings.EqualFold(string(name), "content-type") && len(fields) < 4 {
			fields = append(fields, "type", string(value))
		}
	})
	b := msgpack.AppendMap(nil, len(fields)/2)
	for _, f := range fields {
		b = msgpack.AppendString(b, f)
	}
	return b
}

// pushback is the answer to an RPC that never ran.
func rejection(id uint64, away float64, last bool) []byte {
	b := msgpack.AppendArray(appendResponseHeader(make([]byte, 0, 48), id), 2)
	b = msgpack.AppendString(b, "Overloaded")
	n := 0
	if away >= 1 {
		n++
	}
	if last {
		n++
	}
	b = msgpack.AppendMap(b, n)
	if away >= 1 {
		b = msgpack.AppendString(msgpack.AppendString(b, "later"), strconv.Itoa(int(away)))
	}
	if last {
		b = msgpack.AppendString(msgpack.AppendString(b, "giveup"), "1")
	}
	return msgpack.AppendNil(b)
}

// failure is the answer to an RPC that may have run, or that makes no sense.
func errorResponse(id uint64, what, why string) []byte {
	b := msgpack.AppendArray(appendResponseHeader(make([]byte, 0, 64), id), 2)
	b = msgpack.AppendMap(msgpack.AppendString(b, what), 1)
	b = msgpack.AppendString(msgpack.AppendString(b, "why"), why)
	return msgpack.AppendNil(b)
}

// healthAnswer is the answer to a check.
func healthResponse(id uint64, good bool) []byte {
	b := msgpack.AppendArray(msgpack.AppendNil(appendResponseHeader(make([]byte, 0, 16), id)), 2)
	return msgpack.AppendMap(msgpack.AppendBool(b, good), 0)
}

// closingNotice asks for no more RPCs on a connection.
func closingNotice() []byte {
	b := msgpack.AppendUint(msgpack.AppendArray(nil, 3), typeNotification)
	return msgpack.AppendArray(msgpack.AppendString(b, "closing"), 0)
}
