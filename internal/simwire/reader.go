// Package simwire implements the simulator's binary protocol: it reads batches of events and writes replies. It
// converts the names, units and codes of the protocol to those of package control and makes no decisions.
package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

// RecordKind specifies how the adapter has to process a record.
type RecordKind int

// The kinds of records.
const (
	ControlEvent   RecordKind = iota // an event for the controller of the instance
	InstanceOpened                   // a new instance starts with Config
	InstanceExited                   // the instance's process has exited
)

// Event is a record of a batch.
type Event struct {
	Record   RecordKind
	Instance uint16
	Config   *startup.Config // set for InstanceOpened
	control.Event
}

// FormatError reports a malformed batch.
type FormatError struct {
	Frame  int // number of the batch, starting at 1
	Record int // number of the record in the batch, starting at 1; 0 if the batch as a whole is malformed
	Err    error
}

// Error returns the cause with the numbers of the frame and the record.
func (e *FormatError) Error() string {
	if e.Record == 0 {
		return fmt.Sprintf("frame %d: %v", e.Frame, e.Err)
	}
	return fmt.Sprintf("frame %d, record %d: %v", e.Frame, e.Record, e.Err)
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// Reader reads batches from the simulator. It is not safe for concurrent use.
type Reader struct {
	src     io.Reader
	buf     bytes.Buffer
	rest    []byte              // undecoded bytes of the batch
	pending uint32              // number of records still to be read
	record  int                 // number of the latest record
	frame   int                 // number of the latest batch
	gauges  map[uint16][]string // by instance: names of its gauges, in the order of their values in eventWakeup
}

// NewReader returns a Reader that reads batches from src.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: src, gauges: map[uint16][]string{}}
}

// Batch reads the next batch and returns its clock value in milliseconds. It returns io.EOF if src ends before the
// batch, and a *FormatError if src ends within it.
func (r *Reader) Batch() (now float64, err error) {
	var header [batchHeaderSize]byte
	r.frame++
	r.record = 0
	n, err := io.ReadFull(r.src, header[:])
	if errors.Is(err, io.EOF) {
		return 0, io.EOF
	}
	if err != nil {
		return 0, r.fail("truncated batch header: want %d bytes, got %d", batchHeaderSize, n)
	}
	size := binary.BigEndian.Uint32(header[0:])
	r.buf.Reset()
	// CopyN grows the buffer with the data that arrives, so a wrong length field does not cause a large allocation.
	if n, err := io.CopyN(&r.buf, r.src, int64(size)); err != nil {
		return 0, r.fail("truncated batch: length field is %d bytes, got %d", size, n)
	}
	r.rest = r.buf.Bytes()
	r.pending = binary.BigEndian.Uint32(header[12:])
	return float64(binary.BigEndian.Uint64(header[4:])) / nsPerMs, nil
}

// Next returns the next event of the batch. more is false after the last event. The error is a *FormatError.
func (r *Reader) Next() (ev Event, more bool, err error) {
	if r.pending == 0 {
		if len(r.rest) > 0 {
			r.record = 0
			return ev, false, r.fail("%d bytes after the last record", len(r.rest))
		}
		return ev, false, nil
	}
	r.pending--
	r.record++
	if len(r.rest) < recordHeaderSize {
		return ev, false, r.fail("truncated record header: want %d bytes, have %d", recordHeaderSize, len(r.rest))
	}
	code := r.rest[0]
	size := binary.BigEndian.Uint32(r.rest[1:])
	body := r.rest[recordHeaderSize:]
	if uint64(size) > uint64(len(body)) {
		return ev, false, r.fail("truncated record: length field is %d bytes, have %d", size, len(body))
	}
	f := fields{rest: body[:size]}
	r.rest = body[size:]
	if err := r.decode(code, &f, &ev); err != nil {
		return ev, false, err
	}
	return ev, true, nil
}

func (r *Reader) fail(format string, args ...any) error {
	return &FormatError{Frame: r.frame, Record: r.record, Err: fmt.Errorf(format, args...)}
}

func (r *Reader) decode(code byte, f *fields, ev *Event) error {
	ev.Instance = f.u16()
	var err error
	switch code {
	case eventOpenInstance:
		err = r.decodeOpenInstance(f, ev)
	case eventExit:
		ev.Record = InstanceExited
	case eventWakeup:
		r.decodeWakeup(f, ev)
	case eventAsk:
		decodeArrival(f, ev)
	case eventSettled:
		ev.Kind = control.Completed
		err = r.decodeOutcome(f, ev)
	case eventCalled:
		ev.Kind = control.CallCompleted
		err = r.decodeOutcome(f, ev)
	case eventNotice:
		ev.Kind = control.DrainNotice
		ev.Remaining = f.ms()
	case eventAwaiting:
		ev.Kind = control.AwaitingCall
		ev.RPC = f.u32()
	case eventClientLeft:
		ev.Kind = control.CallerGone
		ev.RPC = f.u32()
	default:
		return r.fail("unknown event code %d", code)
	}
	if err != nil {
		return err
	}
	if f.err != nil {
		return r.fail("code %d: %w", code, f.err)
	}
	return nil
}

func (r *Reader) decodeOpenInstance(f *fields, ev *Event) error {
	ev.Record = InstanceOpened
	ev.Kind = control.Started
	seed := f.u64()
	text := f.bytes()
	if f.err != nil {
		return nil // the caller reports f.err
	}
	config, err := startup.Parse(string(text))
	if err != nil {
		return r.fail("%w", err)
	}
	config.Node.Seed = seed
	ev.Config = config
	r.gauges[ev.Instance] = config.Gauges
	return nil
}

func (r *Reader) decodeWakeup(f *fields, ev *Event) {
	ev.Kind = control.TimerFired
	ev.Label = f.u64()
	names := r.gauges[ev.Instance]
	count := int(f.u8())
	for i := 0; i < count && f.err == nil; i++ {
		value := f.f32()
		if i >= len(names) {
			continue
		}
		switch names[i] {
		case "core_use":
			ev.Gauges.CPUUtilization = value
		case "on_cores":
			ev.Gauges.Runnable = value
		}
	}
}

func decodeArrival(f *fields, ev *Event) {
	ev.Kind = control.Arrived
	ev.RPC = f.u32()
	ev.Method = int(f.u16())
	ev.Customer = int(f.u16())
	ev.Subject = f.u64()
	ev.Remaining = f.ms()
	ev.CostHint = f.ms()
	ev.QueuedKB = f.f32()
	f.f32() // the rank, which is unused: decisions are based on criticality and quota
	flags := f.u8()
	if flags&flagCostHint == 0 {
		ev.CostHint = 0
	}
	ev.Retry = flags&flagRetry != 0
	ev.Caller = f.u16()
	ev.Age = f.ms()
	ev.DuplicateOf = f.u32()
}

func (r *Reader) decodeOutcome(f *fields, ev *Event) error {
	ev.RPC = f.u32()
	verdict := f.u8()
	if verdict > maxVerdict && f.err == nil {
		return r.fail("verdict must be 0 to %d, got %d", maxVerdict, verdict)
	}
	ev.Outcome = control.Outcome(verdict)
	ev.Elapsed = f.ms()
	return nil
}
