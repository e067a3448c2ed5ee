// Package trace writes and reads what the decisions were told and what they said: every event, with its verdicts, but
// no bodies, and tokens as hashes. A trace is a file of compressed, checksummed blocks of protobuf messages
// (trace.proto); whoever reads it takes whole blocks and stops at the first that is not. The writer must never hold up
// the decisions: what it can't keep up with is dropped and counted.
package trace

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

// Version is that of the traces which this build writes. It reads no other: an older one is told from a damaged one.
const Version = 1

var (
	ErrNoTrace = errors.New("no trace of sorrelvalve")
	ErrVersion = errors.New("a trace of another version")
	ErrTorn    = errors.New("the trace ends within a block")
	ErrDamaged = errors.New("a block of the trace is damaged")
)

// Header is what a trace begins with: all that the decisions were made from.
type Header struct {
	Startup   startup.Config `json:"told"`
	SlowStart bool           `json:"cold"`
	OriginMS  float64        `json:"origin"` // Unix ms of the module's zero
	Build     string         `json:"build"`
}

// Entry is one thing that happened, and what the decisions said to it.
type Entry struct {
	Now     float64 // ms of the module's clock
	Event   control.Event
	Token   uint64 // hash; 0 for none
	Actions []control.Action
	Dropped int // entries that were dropped before this one
}

// Keeps tells whether an action is one that traces bear: verdicts and joins; the rest follows from the events.
func Recorded(a control.Action) bool {
	return a.Kind == control.Run || a.Kind == control.Reject || a.Kind == control.Abort || a.Kind == control.Join
}

// The fields of the messages, as in trace.proto.
const (
	fieldHeader = 1
	fieldEntry  = 2

	fieldNow, fieldKind, fieldRPC, fieldMethod, fieldCustomer, fieldCaller, fieldSubject, fieldOriginal = 1, 2, 3, 4, 5, 6, 7, 8
	fieldTime, fieldWaited, fieldHint, fieldHeldKB, fieldRetry, fieldOutcome, fieldSpent, fieldLabel    = 9, 10, 11, 12, 13, 14, 15, 16
	fieldCoreUse, fieldOnCores, fieldStale, fieldToken, fieldAction, fieldDropped                       = 17, 18, 19, 20, 21, 22
	fieldBudget, fieldAgain                                                                             = 23, 24

	fieldDo, fieldActionRPC, fieldActionTime, fieldLast = 1, 2, 3, 4
)

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

// appendEntry adds one entry as a message of the stream. scratch is used for its parts.
func appendEntry(b []byte, e *Entry, scratch *[]byte) []byte {
	m := (*scratch)[:0]
	ev := &e.Event
	m = appendNumber(m, fieldNow, e.Now)
	m = appendUint(m, fieldKind, uint64(ev.Kind)+1) // so that Begin is told, too
	m = appendUint(m, fieldRPC, uint64(ev.RPC))
	m = appendUint(m, fieldMethod, uint64(ev.Method))
	m = appendUint(m, fieldCustomer, uint64(ev.Customer))
	m = appendUint(m, fieldCaller, uint64(ev.Caller))
	m = appendUint(m, fieldSubject, ev.Subject)
	m = appendUint(m, fieldOriginal, uint64(ev.DuplicateOf))
	m = appendNumber(m, fieldTime, ev.Remaining)
	m = appendNumber(m, fieldWaited, ev.Age)
	m = appendNumber(m, fieldHint, ev.CostHint)
	m = appendNumber(m, fieldHeldKB, ev.QueuedKB)
	m = appendBool(m, fieldRetry, ev.Retry)
	m = appendUint(m, fieldOutcome, uint64(ev.Outcome))
	m = appendNumber(m, fieldSpent, ev.Elapsed)
	m = appendUint(m, fieldLabel, ev.Label)
	m = appendNumber(m, fieldCoreUse, ev.Gauges.CPUUtilization)
	m = appendNumber(m, fieldOnCores, ev.Gauges.Runnable)
	m = appendBool(m, fieldStale, ev.Gauges.Stale)
	m = appendUint(m, fieldToken, e.Token)
	m = appendUint(m, fieldDropped, uint64(e.Dropped))
	m = appendUint(m, fieldBudget, uint64(ev.Quota))
	m = appendNumber(m, fieldAgain, ev.RetryAfter)
	for _, a := range e.Actions {
		if !Recorded(a) {
			continue
		}
		var own [32]byte
		x := appendUint(own[:0], fieldDo, uint64(a.Kind)+1)
		x = appendUint(x, fieldActionRPC, uint64(a.RPC))
		x = appendNumber(x, fieldActionTime, a.Time)
		x = appendBool(x, fieldLast, a.NoRetry)
		m = protowire.AppendBytes(protowire.AppendTag(m, fieldAction, protowire.BytesType), x)
	}
	*scratch = m
	return protowire.AppendBytes(protowire.AppendTag(b, fieldEntry, protowire.BytesType), m)
}

func appendHeader(b []byte, h *Header) ([]byte, error) {
	text, err := json.Marshal(h)
	return protowire.AppendBytes(protowire.AppendTag(b, fieldHeader, protowire.BytesType), text), err
}

// fields walks over a message; each gets a number as it stood, or the bytes.
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
		default: // of a later build
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

// parseEntry reads one entry. Its actions are appended to those given.
func parseEntry(m []byte, actions []control.Action) (e Entry, err error) {
	ev := &e.Event
	e.Actions = actions
	err = fields(m, func(f protowire.Number, v uint64, b []byte) error {
		x := math.Float64frombits(v)
		switch f {
		case fieldNow:
			e.Now = x
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
			ev.Remaining = x
		case fieldWaited:
			ev.Age = x
		case fieldHint:
			ev.CostHint = x
		case fieldHeldKB:
			ev.QueuedKB = x
		case fieldRetry:
			ev.Retry = v != 0
		case fieldOutcome:
			if v > uint64(control.OutcomeNotStarted) {
				return ErrDamaged
			}
			ev.Outcome = control.Outcome(v)
		case fieldSpent:
			ev.Elapsed = x
		case fieldLabel:
			ev.Label = v
		case fieldCoreUse:
			ev.Gauges.CPUUtilization = x
		case fieldOnCores:
			ev.Gauges.Runnable = x
		case fieldStale:
			ev.Gauges.Stale = v != 0
		case fieldBudget:
			if v > uint64(control.OverQuota) {
				return ErrDamaged
			}
			ev.Quota = control.QuotaStatus(v)
		case fieldAgain:
			ev.RetryAfter = x
		case fieldToken:
			e.Token = v
		case fieldDropped:
			e.Dropped = int(v)
		case fieldAction:
			a := control.Action{}
			err := fields(b, func(f protowire.Number, v uint64, _ []byte) error {
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
			if err != nil {
				return err
			}
			e.Actions = append(e.Actions, a)
		}
		return nil
	})
	for _, x := range [...]float64{e.Now, ev.Remaining, ev.Age, ev.CostHint, ev.QueuedKB, ev.Elapsed} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			err = ErrDamaged
		}
	}
	return e, err
}

// A block is its magic, the sizes of what is in it as it stands and unpacked, and a checksum; then the packed bytes.
const (
	blockHeaderBytes = 16
	maxBlockBytes    = 256 << 10 // unpacked: what a reader sets aside for one
)

var (
	fileMagic  = []byte("SVTRACE\x01")
	blockMagic = uint32(0x5356424b)
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func appendBlockHeader(b []byte, packed []byte, raw int) []byte {
	b = binary.LittleEndian.AppendUint32(b, blockMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(packed)))
	b = binary.LittleEndian.AppendUint32(b, uint32(raw))
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(packed, castagnoli))
}

// Hash is how a token stands in a trace.
func Hash(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return max(1, h)
}

// String shows an entry in one line.
func (e *Entry) String() string {
	kinds := [...]string{"begin", "arrive", "left", "ended", "wait", "called", "notice", "timer", "stay"}
	s := fmt.Sprintf("%12.3f %-6s", e.Now, kinds[e.Event.Kind])
	ev := &e.Event
	switch ev.Kind {
	case control.Arrived:
		s += fmt.Sprintf(" rpc %d method %d customer %d caller %d waited %.1f hint %.1f", ev.RPC, ev.Method, ev.Customer, ev.Caller, ev.Age, ev.CostHint)
		if ev.Retry {
			s += " again"
		}
		if ev.Quota == control.OverQuota {
			s += " over its quota"
		}
		if ev.DuplicateOf != 0 {
			s += fmt.Sprintf(" repeats %d", ev.DuplicateOf)
		}
	case control.Completed, control.CallerGone:
		s += fmt.Sprintf(" rpc %d outcome %d spent %.1f", ev.RPC, ev.Outcome, ev.Elapsed)
	case control.TimerFired:
		s += fmt.Sprintf(" cores %.2f on them %.0f", ev.Gauges.CPUUtilization, ev.Gauges.Runnable)
	case control.DrainNotice:
		s += fmt.Sprintf(" stop in %.0f", ev.Remaining)
	}
	for _, a := range e.Actions {
		switch a.Kind {
		case control.Run:
			s += fmt.Sprintf("; run %d", a.RPC)
		case control.Reject:
			s += fmt.Sprintf("; push back %d for %.0f", a.RPC, a.Time)
		case control.Abort:
			s += fmt.Sprintf("; abort %d", a.RPC)
		case control.Join:
			s += fmt.Sprintf("; join %d", a.RPC)
		}
	}
	if e.Dropped > 0 {
		s += fmt.Sprintf("; %d dropped before", e.Dropped)
	}
	return s
}
