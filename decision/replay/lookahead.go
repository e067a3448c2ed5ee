package replay

// This file owns reading steps ahead, since the trace tells a run's work only at its end.

import (
	"io"
	"math"

	"sorrelvalve/control"
)

const (
	lookaheadMS  = 10e3   // by which steps are read ahead: longer runs count by their hint
	maxLookahead = 200000 // steps
)

// lookahead reads steps so far before they are replayed that the end of nearly every run is known.
type lookahead struct {
	next         func() (Step, error)
	recordedWork map[uint32]float64 // by RPC: ms on one core, of the runs whose end was read
	cores        float64
	runnable     float64 // as the last gauge said
	queue        []Step
	err          error // of next
}

func newLookahead(next func() (Step, error), cores float64) *lookahead {
	return &lookahead{next: next, recordedWork: map[uint32]float64{}, cores: cores}
}

// step returns the next step that is replayed, without its actions. The error is that of next, once all steps are returned.
func (l *lookahead) step() (Step, error) {
	for l.err == nil && l.short() {
		x, err := l.next()
		if err != nil {
			l.err = err
			break
		}
		l.read(x)
	}
	if len(l.queue) == 0 {
		if l.err == nil {
			l.err = io.EOF
		}
		return Step{}, l.err
	}
	x := l.queue[0]
	l.queue = l.queue[1:]
	return x, nil
}

// short reports whether more steps are to be read.
func (l *lookahead) short() bool {
	n := len(l.queue)
	if n < 2 {
		return true
	}
	return n < maxLookahead && l.queue[n-1].Now-l.queue[0].Now < lookaheadMS
}

// read takes in a step: gauges and the ends of runs are not replayed. Where runs shared the cores, their work is what they
// took, divided by the number of runnable tasks per core.
func (l *lookahead) read(x Step) {
	ev := &x.Event
	switch ev.Kind {
	case control.TimerFired:
		l.runnable = ev.Gauges.Runnable
	case control.Completed:
		if ev.Outcome == control.OutcomeOK && ev.Elapsed > 0 {
			l.recordedWork[ev.RPC] = ev.Elapsed / math.Max(1, l.runnable/l.cores)
		}
	default:
		x.Actions = nil
		l.queue = append(l.queue, x)
	}
}

// takeWork returns the recorded work of an RPC, and forgets it.
func (l *lookahead) takeWork(rpc uint32) (work float64, known bool) {
	work, known = l.recordedWork[rpc]
	delete(l.recordedWork, rpc)
	return work, known
}
