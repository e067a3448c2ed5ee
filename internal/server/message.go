package server

// This file owns the messages of the routers' protocol: it takes them apart in place and makes the answers. It must
// never touch a socket, nor take a length or a number on trust.

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/msgpack"
)

// The types of message on the wire of the routers.
const (
	typeCall   = 0
	typeAnswer = 1
	typeNotice = 2
)

// message is one frame, parsed in place: its parts are valid until the next read.
type message struct {
	kind   uint64
	id     uint64
	method []byte
	params []byte
}

var errFrame = errors.New("no message of the protocol")

// parseMessage takes the first message of b and returns how long it is. The error is msgpack.ErrShort while
// more of it is to come.
func parseMessage(b []byte) (m message, size int, err error) {
	p := msgpack.Parse(b)
	p.Skip()
	if p.Err() != nil {
		return m, 0, p.Err()
	}
	size = p.At()
	p = msgpack.Parse(b[:size])
	n := p.Array()
	m.kind = p.Uint()
	switch {
	case p.Err() != nil:
		return m, size, errFrame
	case m.kind == typeCall && n == 4:
		m.id = p.Uint()
	case m.kind == typeNotice && n == 3:
	default:
		return m, size, errFrame
	}
	m.method = p.Bytes()
	m.params = b[p.At():size]
	if p.Err() != nil {
		return m, size, errFrame
	}
	return m, size, nil
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
	maxBody = 2 << 10 // as the protocol says
	maxWork = 3.6e6   // ms: an hour of work is no hint
	maxHeld = 2000.0  // KB, as the protocol says
)

// parseRPC reads the fields and the body of an RPC. The error says what is wrong with them.
func parseRPC(method, params []byte) (rpc gate.RPC, txn string, body []byte, err error) {
	p := msgpack.Parse(params)
	if n := p.Array(); p.Err() != nil || n != 2 {
		return rpc, "", nil, errors.New("params: fields and body expected")
	}
	rpc.Method = string(method)
	var f fields
	for n := p.Map(); n > 0 && p.Err() == nil; n-- {
		key, v := p.Bytes(), p.Bytes()
		if p.Err() != nil {
			break
		}
		switch string(key) {
		case "txn":
			txn = string(v)
		case "door":
			rpc.Door = f.number("door", v, 1, 1e15)
		case "lb":
			rpc.Caller = uint16(f.whole("lb", v, 10, 16))
		case "team":
			rpc.Customer = string(v)
		case "second":
			rpc.Retry = string(v) == "1"
		case "cpu":
			rpc.Hint = f.number("cpu", v, 0, maxWork)
		case "ram":
			rpc.HeldKB = f.number("ram", v, 0, maxHeld)
		case "standing":
			f.number("standing", v, 0, 1) // checked; decisions go by criticality and share
		case "unique":
			rpc.Token = string(v)
		case "item":
			rpc.Subject = f.whole("item", v, 16, 64)
		}
	}
	if p.Err() != nil {
		return rpc, "", nil, errors.New("fields: a map of strings expected")
	}
	body = p.Bytes()
	switch {
	case p.Err() != nil:
		return rpc, "", nil, errors.New("body: bytes expected")
	case len(body) > maxBody:
		return rpc, "", nil, fmt.Errorf("body: at most %d bytes expected, %d there", maxBody, len(body))
	case f.bad != nil:
		return rpc, "", nil, f.bad
	case txn == "" || len(txn) > 64:
		return rpc, "", nil, errors.New("txn: up to 64 characters expected")
	case rpc.Door == 0:
		return rpc, "", nil, errors.New("door: a time expected, none there")
	}
	return rpc, txn, bytes.Clone(body), nil
}

// fields reads the values of fields and keeps the first thing found wrong.
type fields struct{ bad error }

func (f *fields) fail(key, want string, v []byte) {
	if f.bad == nil {
		f.bad = fmt.Errorf("%s: %s expected, %.40q there", key, want, v)
	}
}

func (f *fields) number(key string, v []byte, low, high float64) float64 {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || !(x >= low && x <= high) {
		f.fail(key, fmt.Sprintf("a number from %g to %g", low, high), v)
		return 0
	}
	return x
}

func (f *fields) whole(key string, v []byte, base, bits int) uint64 {
	x, err := strconv.ParseUint(string(v), base, bits)
	if err != nil {
		f.fail(key, fmt.Sprintf("a whole number of %d bits to base %d", bits, base), v)
	}
	return x
}

// appendAnswer begins an answer. Behind it come the error and the result.
func appendAnswer(b []byte, id uint64) []byte {
	return msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(b, 4), typeAnswer), id)
}

// okHead is what goes before a result of n bytes, and okTail what goes behind it.
func okHead(id uint64, n int) []byte {
	b := msgpack.AppendArray(msgpack.AppendNil(appendAnswer(make([]byte, 0, 24), id)), 2)
	return msgpack.AppendBinHead(b, n)
}

func okTail() []byte { return msgpack.AppendMap(nil, 0) }

// pushback is the answer to an RPC that never ran.
func pushback(id uint64, away float64, last bool) []byte {
	b := msgpack.AppendArray(appendAnswer(make([]byte, 0, 48), id), 2)
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
func failure(id uint64, what, why string) []byte {
	b := msgpack.AppendArray(appendAnswer(make([]byte, 0, 64), id), 2)
	b = msgpack.AppendMap(msgpack.AppendString(b, what), 1)
	b = msgpack.AppendString(msgpack.AppendString(b, "why"), why)
	return msgpack.AppendNil(b)
}

// healthAnswer is the answer to a check.
func healthAnswer(id uint64, good bool) []byte {
	b := msgpack.AppendArray(msgpack.AppendNil(appendAnswer(make([]byte, 0, 16), id)), 2)
	return msgpack.AppendMap(msgpack.AppendBool(b, good), 0)
}

// closingNotice asks for no more RPCs on a connection.
func closingNotice() []byte {
	b := msgpack.AppendUint(msgpack.AppendArray(nil, 3), typeNotice)
	return msgpack.AppendArray(msgpack.AppendString(b, "closing"), 0)
}
