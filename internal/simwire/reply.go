package simwire

import (
	"encoding/binary"
	"io"
	"math"

	"sorrelvalve/control"
)

// Reply collects the actions in response to one batch. The zero value is an empty reply.
type Reply struct {
	buf   []byte
	count uint32 // number of records in buf
}

// Add appends actions of an instance.
func (p *Reply) Add(instance uint16, actions []control.Action) {
	if p.buf == nil {
		p.Reset()
	}
	for i := range actions {
		p.add(instance, &actions[i])
	}
}

func (p *Reply) add(instance uint16, a *control.Action) {
	be := binary.BigEndian
	start := len(p.buf)
	b := append(p.buf, actionCodes[a.Kind], 0, 0, 0, 0) // the length is set below
	b = be.AppendUint16(b, instance)
	switch a.Kind {
	case control.SetHealth:
		b = append(b, 1, bit(a.Healthy))
	case control.SetFeedback:
		b = be.AppendUint32(b, math.Float32bits(float32(a.Feedback)))
	case control.SetIdleTimeout:
		b = be.AppendUint64(b, nanoseconds(a.Time))
	case control.SetTimer:
		b = be.AppendUint64(b, nanoseconds(a.Time))
		b = be.AppendUint64(b, a.Label)
	case control.LogEvent:
		text := a.Message[:min(len(a.Message), maxTraceBytes)]
		b = be.AppendUint16(b, uint16(len(text)))
		b = append(b, text...)
	case control.Reject:
		b = be.AppendUint32(b, a.RPC)
		b = append(b, bit(a.NoRetry))
		b = be.AppendUint64(b, nanoseconds(a.Time))
	case control.Call, control.CacheToken:
		b = be.AppendUint32(b, a.RPC)
		b = be.AppendUint64(b, nanoseconds(a.Time))
	default:
		b = be.AppendUint32(b, a.RPC)
	}
	be.PutUint32(b[start+1:], uint32(len(b)-start-recordHeaderSize))
	p.buf = b
	p.count++
}

func bit(v bool) byte {
	if v {
		return 1
	}
	return 0
}

// nanoseconds converts milliseconds to nanoseconds. It rounds up so that timers do not fire early.
func nanoseconds(ms float64) uint64 {
	if !(ms > 0) { // NaN included
		return 0
	}
	return uint64(math.Ceil(ms * nsPerMs))
}

// Reset empties the reply and keeps its buffer.
func (p *Reply) Reset() {
	p.buf = append(p.buf[:0], make([]byte, replyHeaderSize)...)
	p.count = 0
}

// WriteTo writes the reply as one frame. It implements io.WriterTo.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	if p.buf == nil {
		p.Reset()
	}
	binary.BigEndian.PutUint32(p.buf[0:], uint32(len(p.buf)-replyHeaderSize))
	binary.BigEndian.PutUint32(p.buf[4:], p.count)
	n, err := w.Write(p.buf)
	return int64(n), err
}
