package trace

// This file encodes and parses header and entries as protobuf messages. The field numbers are defined in trace.proto and must
// never change.

import (
	"encoding/json"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"sorrelvalve/control"
)

// The fields of Stream.
const (
	fieldHeader = 1
	fieldEntry  = 2
)

// The fields of Entry.
const (
	fieldNow      = 1
	fieldKind     = 2
	fieldRPC      = 3
	fieldMethod   = 4
	fieldCustomer = 5
	fieldCaller   = 6
	fieldSubject  = 7
	fieldOriginal = 8
	fieldTime     = 9
	fieldWaited   = 10
	fieldHint     = 11
	fieldQueuedKB = 12
	fieldRetry    = 13
	fieldOutcome  = 14
	fieldSpent    = 15
	fieldLabel    = 16
	fieldCoreUse  = 17
	fieldOnCores  = 18
	fieldStale    = 19
	fieldToken    = 20
	fieldAction   = 21
	fieldDropped  = 22
	fieldBudget   = 23
	fieldAgain    = 24
)

// The fields of Action.
const (
	fieldDo         = 1
	fieldActionRPC  = 2
	fieldActionTime = 3
	fieldLast       = 4
)

// As in proto3, the append functions omit zero values.

func appendNumber(b []byte, field protowire.Number, v float64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), math.Float64bits(v))
}

func appendUint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func appendBool(b []byte, field protowire.Number, v bool) []byte {
	if !v {
		return b
	}
	return appendUint(b, field, 1)
}

// appendEntry appends one entry as a message of the stream. scratch is a buffer that is reused between calls.
func appendEntry(b []byte, e *Entry, scratch *[]byte) []byte {
	m := appendNumber((*scratch)[:0], fieldNow, e.Now)
	m = appendEvent(m, &e.Event)
	m = appendUint(m, fieldToken, e.Token)
	m = appendUint(m, fieldDropped, uint64(e.Dropped))
	m = appendUint(m, fieldBudget, uint64(e.Event.Quota))
	m = appendNumber(m, fieldAgain, e.Event.RetryAfter)
	for i := range e.Actions {
		if Recorded(e.Actions[i]) {
			m = appendAction(m, &e.Actions[i])
		}
	}
	*scratch = m
	return protowire.AppendBytes(protowire.AppendTag(b, fieldEntry, protowire.BytesType), m)
}

// appendEvent appends the fields of an event up to fieldStale. appendEntry appends those with higher numbers.
func appendEvent(m []byte, ev *control.Event) []byte {
	m = appendUint(m, fieldKind, uint64(ev.Kind)+1) // plus 1 so that the first kind is not a zero value
	m = appendUint(m, fieldRPC, uint64(ev.RPC))
	m = appendUint(m, fieldMethod, uint64(ev.Method))
	m = appendUint(m, fieldCustomer, uint64(ev.Customer))
	m = appendUint(m, fieldCaller, uint64(ev.Caller))
	m = appendUint(m, fieldSubject, ev.Subject)
	m = appendUint(m, fieldOriginal, uint64(ev.DuplicateOf))
	m = appendNumber(m, fieldTime, ev.Remaining)
	m = appendNumber(m, fieldWaited, ev.Age)
	m = appendNumber(m, fieldHint, ev.CostHint)
	m = appendNumber(m, fieldQueuedKB, ev.QueuedKB)
	m = appendBool(m, fieldRetry, ev.Retry)
	m = appendUint(m, fieldOutcome, uint64(ev.Outcome))
	m = appendNumber(m, fieldSpent, ev.Elapsed)
	m = appendUint(m, fieldLabel, ev.Label)
	m = appendNumber(m, fieldCoreUse, ev.Gauges.CPUUtilization)
	m = appendNumber(m, fieldOnCores, ev.Gauges.Runnable)
	return appendBool(m, fieldStale, ev.Gauges.Stale)
}

func appendAction(m []byte, a *control.Action) []byte {
	var buffer [32]byte // the longest action takes 20 bytes
	encoded := appendUint(buffer[:0], fieldDo, uint64(a.Kind)+1)
	encoded = appendUint(encoded, fieldActionRPC, uint64(a.RPC))
	encoded = appendNumber(encoded, fieldActionTime, a.Time)
	encoded = appendBool(encoded, fieldLast, a.NoRetry)
	return protowire.AppendBytes(protowire.AppendTag(m, fieldAction, protowire.BytesType), encoded)
}

func appendHeader(b []byte, h *Header) ([]byte, error) {
	text, err := json.Marshal(h)
	return protowire.AppendBytes(protowire.AppendTag(b, fieldHeader, protowire.BytesType), text), err
}

// fields calls each for every field of a message, with the encoded number of a numeric field or the bytes of a bytes field.
func fields(m []byte, each func(f protowire.Number, v uint64, b []byte) error) error {
	for len(m) > 0 {
		f, kind, n := protowire.ConsumeTag(m)
		if n < 0 {
			return ErrDamaged
		}
		m = m[n:]
		var v uint64
		var b []byte
		switch kind {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(m)
		case protowire.Fixed64Type:
			v, n = protowire.ConsumeFixed64(m)
		case protowire.BytesType:
			b, n = protowire.ConsumeBytes(m)
		default: // a type that a later build writes
			n = protowire.ConsumeFieldValue(f, kind, m)
		}
		if n < 0 {
			return ErrDamaged
		}
		m = m[n:]
		if err := each(f, v, b); err != nil {
			return err
		}
	}
	return nil
}

// parseEntry parses one entry. Its actions are appended to the given slice, so that its memory can be reused.
func parseEntry(m []byte, actions []control.Action) (e Entry, err error) {
	e.Actions = actions
	err = fields(m, func(f protowire.Number, v uint64, b []byte) error {
		switch f {
		case fieldNow:
			e.Now = math.Float64frombits(v)
		case fieldToken:
			e.Token = v
		case fieldDropped:
			e.Dropped = int(v)
		case fieldAction:
			a, err := parseAction(b)
			if err != nil {
				return err
			}
			e.Actions = append(e.Actions, a)
		default:
			return parseEventField(&e.Event, f, v)
		}
		return nil
	})
	ev := &e.Event
	for _, x := range [...]float64{e.Now, ev.Remaining, ev.Age, ev.CostHint, ev.QueuedKB, ev.Elapsed} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			err = ErrDamaged
		}
	}
	return e, err
}

// parseEventField sets one field of an event. Unknown fields, which a later build may write, are ignored.
func parseEventField(ev *control.Event, f protowire.Number, v uint64) error {
	number := math.Float64frombits(v)
	switch f {
	case fieldKind:
		if v == 0 || v > uint64(control.DrainCancelled)+1 {
			return ErrDamaged
		}
		ev.Kind = control.EventKind(v - 1)
	case fieldRPC:
		ev.RPC = uint32(v)
	case fieldMethod:
		ev.Method = int(v)
	case fieldCustomer:
		ev.Customer = int(v)
	case fieldCaller:
		ev.Caller = uint16(v)
	case fieldSubject:
		ev.Subject = v
	case fieldOriginal:
		ev.DuplicateOf = uint32(v)
	case fieldTime:
		ev.Remaining = number
	case fieldWaited:
		ev.Age = number
	case fieldHint:
		ev.CostHint = number
	case fieldQueuedKB:
		ev.QueuedKB = number
	case fieldRetry:
		ev.Retry = v != 0
	case fieldOutcome:
		if v > uint64(control.OutcomeNotStarted) {
			return ErrDamaged
		}
		ev.Outcome = control.Outcome(v)
	case fieldSpent:
		ev.Elapsed = number
	case fieldLabel:
		ev.Label = v
	case fieldCoreUse:
		ev.Gauges.CPUUtilization = number
	case fieldOnCores:
		ev.Gauges.Runnable = number
	case fieldStale:
		ev.Gauges.Stale = v != 0
	case fieldBudget:
		if v > uint64(control.OverQuota) {
			return ErrDamaged
		}
		ev.Quota = control.QuotaStatus(v)
	case fieldAgain:
		ev.RetryAfter = number
	}
	return nil
}

func parseAction(m []byte) (a control.Action, err error) {
	err = fields(m, func(f protowire.Number, v uint64, _ []byte) error {
		switch f {
		case fieldDo:
			a.Kind = control.ActionKind(v - 1)
		case fieldActionRPC:
			a.RPC = uint32(v)
		case fieldActionTime:
			a.Time = math.Float64frombits(v)
		case fieldLast:
			a.NoRetry = v != 0
		}
		return nil
	})
	return a, err
}
