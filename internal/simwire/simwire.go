// Package simwire reads the batches of the simulator's wire and writes the replies.
// It turns the wire's names, units and codes into those of package control and decides nothing.
package simwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

const (
	evOpen       = 10
	evWakeup     = 20
	evAsk        = 30
	evExit       = 40
	evSettled    = 50
	evNotice     = 60
	evCalled     = 70
	evAwaiting   = 80
	evClientLeft = 90
)

const (
	acProcess      = 10
	acReject       = 20
	acEndFailed    = 30
	acAbortWork    = 40
	acReachOut     = 50
	acSkip         = 60
	acRemember     = 70
	acForget       = 80
	acJoin         = 90
	acReportHealth = 100
	acStamp        = 110
	acIdleLimit    = 120
	acArm          = 130
	acTrace        = 140
)

const nsPerMs = 1e6

// RecordKind says what the adapter has to do for a record.
type RecordKind int

// The kinds of records.
const (
	ControlEvent   RecordKind = iota // the event is for the controller of the instance
	InstanceOpened                   // a fresh instance starts with Config
	InstanceExited                   // the instance's process has died
)

// Event is one record of a batch.
type Event struct {
	Record   RecordKind
	Instance uint16
	Config   *startup.Config // of InstanceOpened
	control.Event
}

// Reader reads batches from the simulator.
type Reader struct {
	src    io.Reader
	buf    bytes.Buffer
	rest   []byte
	left   uint32 // records still to be read
	at     int    // record number, for messages
	frame  int
	gauges map[uint16][]string
}

// NewReader returns a reader of the batches in src.
func NewReader(src io.Reader) *Reader {
	return &Reader{src: src, gauges: map[uint16][]string{}}
}

// Batch reads the next frame and returns its clock in milliseconds. It returns io.EOF at a clean end.
func (r *Reader) Batch() (now float64, err error) {
	var head [16]byte
	r.frame++
	if n, err := io.ReadFull(r.src, head[:]); err == io.EOF {
		return 0, io.EOF
	} else if err != nil {
		return 0, fmt.Errorf("frame %d: header of 16 bytes cut off after %d", r.frame, n)
	}
	size := binary.BigEndian.Uint32(head[0:])
	r.buf.Reset()
	// CopyN grows the buffer with what arrives, so a false length allocates nothing.
	if n, err := io.CopyN(&r.buf, r.src, int64(size)); err != nil {
		return 0, fmt.Errorf("frame %d: %d bytes announced, %d there", r.frame, size, n)
	}
	r.rest, r.left, r.at = r.buf.Bytes(), binary.BigEndian.Uint32(head[12:]), 0
	return float64(binary.BigEndian.Uint64(head[4:])) / nsPerMs, nil
}

// Next returns the next event of the batch, and false when there is none.
func (r *Reader) Next() (ev Event, more bool, err error) {
	if r.left == 0 {
		if len(r.rest) > 0 {
			return ev, false, fmt.Errorf("frame %d: %d bytes after the last record", r.frame, len(r.rest))
		}
		return ev, false, nil
	}
	r.left--
	r.at++
	if len(r.rest) < 5 {
		return ev, false, r.fail("record header of 5 bytes expected, %d there", len(r.rest))
	}
	code, size := r.rest[0], binary.BigEndian.Uint32(r.rest[1:])
	if uint64(size) > uint64(len(r.rest)-5) {
		return ev, false, r.fail("record of %d bytes announced, %d there", size, len(r.rest)-5)
	}
	f := fields{rest: r.rest[5 : 5+size]}
	r.rest = r.rest[5+size:]
	if err := r.decode(code, &f, &ev); err != nil {
		return ev, false, err
	}
	return ev, true, nil
}

func (r *Reader) fail(format string, args ...any) error {
	return fmt.Errorf("frame %d, record %d: %s", r.frame, r.at, fmt.Sprintf(format, args...))
}

func (r *Reader) decode(code byte, f *fields, ev *Event) error {
	ev.Instance = f.u16()
	switch code {
	case evOpen:
		ev.Record, ev.Kind = InstanceOpened, control.Started
		seed, text := f.u64(), f.bytes()
		if f.bad == "" {
			o, err := startup.Parse(string(text))
			if err != nil {
				return r.fail("%v", err)
			}
			o.Node.Seed = seed
			ev.Config = o
			r.gauges[ev.Instance] = o.Gauges
		}
	case evExit:
		ev.Record = InstanceExited
	case evWakeup:
		ev.Kind = control.TimerFired
		ev.Label = f.u64()
		n := int(f.u8())
		for i := 0; i < n && f.bad == ""; i++ {
			v := f.f32()
			names := r.gauges[ev.Instance]
			if i >= len(names) {
				continue
			}
			switch names[i] {
			case "core_use":
				ev.Gauges.CPUUtilization = v
			case "on_cores":
				ev.Gauges.Runnable = v
			}
		}
	case evAsk:
		ev.Kind = control.Arrived
		ev.RPC = f.u32()
		ev.Method, ev.Customer = int(f.u16()), int(f.u16())
		ev.Subject = f.u64()
		ev.Remaining, ev.CostHint = f.ms(), f.ms()
		ev.QueuedKB = f.f32()
		f.f32() // the rank: decisions go by criticality and share
		flags := f.u8()
		if flags&1 == 0 {
			ev.CostHint = 0
		}
		ev.Retry = flags&2 != 0
		ev.Caller = f.u16()
		ev.Age = f.ms()
		ev.DuplicateOf = f.u32()
	case evSettled, evCalled:
		ev.Kind = control.Completed
		if code == evCalled {
			ev.Kind = control.CallCompleted
		}
		ev.RPC = f.u32()
		verdict := f.u8()
		if verdict > 7 && f.bad == "" {
			return r.fail("verdict 0 to 7 expected, %d there", verdict)
		}
		ev.Outcome = control.Outcome(verdict) // the numbers of control.Outcome are those of the wire
		ev.Elapsed = f.ms()
	case evNotice:
		ev.Kind = control.DrainNotice
		ev.Remaining = f.ms()
	case evAwaiting:
		ev.Kind = control.AwaitingCall
		ev.RPC = f.u32()
	case evClientLeft:
		ev.Kind = control.CallerGone
		ev.RPC = f.u32()
	default:
		return r.fail("an event code expected, %d there", code)
	}
	if f.bad != "" {
		return r.fail("code %d: %s", code, f.bad)
	}
	return nil
}

// fields reads the packed fields of a record. Fields that are not there are zero.
type fields struct {
	rest []byte
	bad  string
}

func (f *fields) take(n int) []byte {
	if len(f.rest) == 0 || f.bad != "" {
		return nil
	}
	if len(f.rest) < n {
		f.bad = fmt.Sprintf("field of %d bytes expected, %d there", n, len(f.rest))
		return nil
	}
	b := f.rest[:n]
	f.rest = f.rest[n:]
	return b
}

func (f *fields) u8() uint8 {
	if b := f.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *fields) u16() uint16 {
	if b := f.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (f *fields) u32() uint32 {
	if b := f.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *fields) u64() uint64 {
	if b := f.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (f *fields) f32() float64 {
	v := float64(math.Float32frombits(f.u32()))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

func (f *fields) ms() float64 { return float64(f.u64()) / nsPerMs }

func (f *fields) bytes() []byte {
	n := f.u32()
	if uint64(n) > uint64(len(f.rest)) {
		f.bad = fmt.Sprintf("text of %d bytes announced, %d there", n, len(f.rest))
		return nil
	}
	return f.take(int(n))
}

// Reply collects the actions that answer one batch.
type Reply struct {
	buf []byte
	n   uint32
}

// Add appends the actions of one instance.
func (p *Reply) Add(who uint16, actions []control.Action) {
	if p.buf == nil {
		p.Reset()
	}
	for i := range actions {
		p.add(who, &actions[i])
	}
}

func (p *Reply) add(who uint16, a *control.Action) {
	var code byte
	switch a.Kind {
	case control.Run:
		code = acProcess
	case control.Reject:
		code = acReject
	case control.Abort:
		code = acEndFailed
	case control.Preempt:
		code = acAbortWork
	case control.Call:
		code = acReachOut
	case control.SkipCall:
		code = acSkip
	case control.CacheToken:
		code = acRemember
	case control.EvictToken:
		code = acForget
	case control.Join:
		code = acJoin
	case control.SetHealth:
		code = acReportHealth
	case control.SetFeedback:
		code = acStamp
	case control.SetIdleTimeout:
		code = acIdleLimit
	case control.SetTimer:
		code = acArm
	case control.LogEvent:
		code = acTrace
	}
	be := binary.BigEndian
	start := len(p.buf)
	b := append(p.buf, code, 0, 0, 0, 0)
	b = be.AppendUint16(b, who)
	switch a.Kind {
	case control.SetHealth:
		b = append(b, 1, bit(a.Healthy))
	case control.SetFeedback:
		b = be.AppendUint32(b, math.Float32bits(float32(a.Feedback)))
	case control.SetIdleTimeout:
		b = be.AppendUint64(b, ns(a.Time))
	case control.SetTimer:
		b = be.AppendUint64(b, ns(a.Time))
		b = be.AppendUint64(b, a.Label)
	case control.LogEvent:
		text := a.Message[:min(len(a.Message), 200)]
		b = be.AppendUint16(b, uint16(len(text)))
		b = append(b, text...)
	default:
		b = be.AppendUint32(b, a.RPC)
		switch a.Kind {
		case control.Reject:
			b = append(b, bit(a.NoRetry))
			b = be.AppendUint64(b, ns(a.Time))
		case control.Call, control.CacheToken:
			b = be.AppendUint64(b, ns(a.Time))
		}
	}
	be.PutUint32(b[start+1:], uint32(len(b)-start-5))
	p.buf = b
	p.n++
}

func bit(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// ns turns milliseconds into the wire's unit; rounding up keeps a timer from coming early.
func ns(ms float64) uint64 {
	if !(ms > 0) {
		return 0
	}
	return uint64(math.Ceil(ms * nsPerMs))
}

// Reset empties the reply and keeps its memory.
func (p *Reply) Reset() { p.buf, p.n = append(p.buf[:0], make([]byte, 8)...), 0 }

// WriteTo writes the reply as one frame.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	if p.buf == nil {
		p.Reset()
	}
	binary.BigEndian.PutUint32(p.buf[0:], uint32(len(p.buf)-8))
	binary.BigEndian.PutUint32(p.buf[4:], p.n)
	n, err := w.Write(p.buf)
	return int64(n), err
}
