package mprpc

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"sorrelvalve/internal/front"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/msgpack"
)

const (
	maxBody      = 2 << 10 // bytes; the protocol's limit
	maxCostHint  = 3.6e6   // ms; an expected cost of more than an hour is not a meaningful hint
	maxQueuedKB  = 2000.0  // the protocol's limit
	maxToken     = 64      // bytes; twice the length of the tokens in the protocol's examples
	maxClockSkew = 10e3    // ms that an arrival may be ahead of our clock; far above the clock differences on one machine
	idDigits     = 16      // hex digits of an RPC id
)

// parseRPC parses the parameters of a call. The text of its error is sent to the router.
func parseRPC(method, params []byte) (rpc gate.RPC, err error) {
	p := msgpack.Parse(params)
	if n := p.Array(); p.Err() != nil || n != 2 {
		return rpc, errors.New("params: fields and body expected")
	}
	rpc.Method = string(method)
	var f fieldParser
	for n := p.Map(); n > 0 && p.Err() == nil; n-- {
		key, value := p.Bytes(), p.Bytes()
		if p.Err() == nil {
			f.parse(&rpc, key, value)
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

// fieldParser parses the fields of a call and keeps the first error.
type fieldParser struct{ err error }

// parse parses one field into rpc. Unknown fields are ignored.
func (f *fieldParser) parse(rpc *gate.RPC, key, value []byte) {
	switch string(key) {
	case "txn":
		rpc.ID = string(value)
		if len(value) != idDigits {
			f.fail("txn", "16 hex digits", value)
		}
		f.unsigned("txn", value, 16)
	case "door":
		rpc.ArrivedMs = f.number("door", value, 1, float64(time.Now().UnixMilli())+maxClockSkew)
	case "lb": // any value is valid, as new routers use new numbers
		rpc.Caller = front.CallerNumber(f.unsigned("lb", value, 10))
	case "team":
		rpc.Customer = string(value)
	case "second":
		rpc.Retry = string(value) == "1"
	case "cpu":
		rpc.CostHintMs = f.number("cpu", value, 0, maxCostHint)
	case "ram":
		rpc.QueuedKB = f.number("ram", value, 0, maxQueuedKB)
		if rpc.QueuedKB == 0 || rpc.QueuedKB == maxQueuedKB {
			f.fail("ram", fmt.Sprintf("a number between 0 and %g", maxQueuedKB), value)
		}
	case "standing": // validated only; decisions depend on criticality and quota
		if f.number("standing", value, 0, 1) == 1 {
			f.fail("standing", "a number under 1", value)
		}
	case "unique":
		rpc.Token = string(value)
		if len(value) == 0 || len(value) > maxToken {
			f.fail("unique", fmt.Sprintf("up to %d characters", maxToken), value)
		}
	case "item":
		rpc.Subject = f.unsigned("item", value, 16)
	}
}

func (f *fieldParser) fail(key, want string, value []byte) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s expected, %.40q there", key, want, value)
	}
}

func (f *fieldParser) number(key string, value []byte, low, high float64) float64 {
	x, err := strconv.ParseFloat(string(value), 64)
	inRange := x >= low && x <= high // false for NaN
	if err != nil || !inRange {
		f.fail(key, fmt.Sprintf("a number from %g to %g", low, high), value)
		return 0
	}
	return x
}

func (f *fieldParser) unsigned(key string, value []byte, base int) uint64 {
	x, err := strconv.ParseUint(string(value), base, 64)
	if err != nil {
		f.fail(key, fmt.Sprintf("a whole number to base %d", base), value)
	}
	return x
}
