package replay

// This file reads steps ahead, because the trace records the work of a run only when the run ends.

import (
	"io"
	"math"

	"sorrelvalve/control"
)

const (
	lookaheadMS  = 10e3   // how far steps are read ahead; longer runs use their cost hint
	maxLookahead = 200000 // steps
)

// lookahead reads steps far enough ahead of their replay that the end of nearly every run is known.
type lookahead struct {
	next         func() (Step, error)
	recordedWork map[uint32]float64 // by RPC: ms on one core, for the runs whose end has been read
	cores        float64
	runnable     float64 // runnable tasks by the last gauges
	queue        []Step
	err          error // of next
}

func newLookahead(next func() (Step, error), cores float64) *lookahead {
	return &lookahead{next: next, recordedWork: map[uint32]float64{}, cores: cores}
}

// step returns the next step to replay, without its actions. After all steps it returns the error of next, such as io.EOF.
func (l *lookahead) step() (Step, error) {
	for l.err == nil && l.short() {
		step, err := l.next()
		if err != nil {
			l.err = err
			break
		}
		l.read(step)
	}
	if len(l.queue) == 0 {
		if l.err == nil {
			l.err = io.EOF
		}
		return Step{}, l.err
	}
	step := l.queue[0]
	l.queue = l.queue[1:]
	return step, nil
}

// short reports whether more steps have to be read.
func (l *lookahead) short() bool {
	n := len(l.queue)
	if n < 2 {
		return true
	}
	return n < maxLookahead && l.queue[n-1].Now-l.queue[0].Now < lookaheadMS
}

// read queues a step. Timers and the ends of runs are not replayed; read takes only the gauges and the work from them. If
// runs shared the cores, the work of a run is its duration divided by the number of runnable tasks per core.
func (l *lookahead) read(step Step) {
	ev := &step.Event
	switch ev.Kind {
	case control.TimerFired:
		l.runnable = ev.Gauges.Runnable
	case control.Completed:
		if ev.Outcome == control.OutcomeOK && ev.Elapsed > 0 {
			l.recordedWork[ev.RPC] = ev.Elapsed / math.Max(1, l.runnable/l.cores)
		}
	default:
		step.Actions = nil
		l.queue = append(l.queue, step)
	}
}

// takeWork returns the recorded work of an RPC and removes it from the lookahead.
func (l *lookahead) takeWork(rpc uint32) (work float64, known bool) {
	work, known = l.recordedWork[rpc]
	delete(l.recordedWork, rpc)
	return work, known
}
