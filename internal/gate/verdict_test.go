package gate

import (
	"testing"
	"time"

	"sorrelvalve/control"
)

// verdictCase is one way of an RPC to its final verdict.
type verdictCase struct {
	name string
	run  func(w *testGate)
}

var verdictCases = []verdictCase{
	{"ok", func(w *testGate) {
		a := w.submit("view", "")
		w.expect(a, Run)
		a.Report(Succeeded, 100, []byte("r"))
		if v := w.expect(a, OK); string(v.Result) != "r" {
			w.Errorf("result %q", v.Result)
		}
	}},
	{"a failed run", func(w *testGate) {
		a := w.submit("view", "")
		w.expect(a, Run)
		a.Report(Failed, 100, nil)
		w.expect(a, Aborted)
	}},
	{"an end that is reported twice", func(w *testGate) {
		a := w.submit("view", "")
		w.expect(a, Run)
		a.Report(Failed, 100, nil)
		a.Report(Succeeded, 100, nil)
		w.expect(a, Aborted)
		w.expect(a, -1)
	}},
	{"aborted when due, the run's end comes later", func(w *testGate) {
		a := w.submit("view", "")
		w.expect(a, Run)
		w.advance(1900 * time.Millisecond)
		w.expect(a, -1)
		w.advance(100 * time.Millisecond)
		w.expect(a, Aborted)
		a.Report(Succeeded, 2000, nil)
		w.expect(a, -1)
	}},
	{"cancelled while queued: the RPC behind it runs", func(w *testGate) {
		a, b, c, d := w.submit("view", ""), w.submit("view", ""), w.submit("view", ""), w.submit("view", "")
		w.expect(a, Run)
		w.expect(b, Run)
		w.expect(c, -1)
		c.Cancel()
		w.expect(c, CallerGone)
		a.Report(Succeeded, 100, nil)
		w.expect(d, Run)
	}},
	{"cancelled while it runs", func(w *testGate) {
		a := w.submit("view", "")
		w.expect(a, Run)
		a.Cancel()
		w.expect(a, CallerGone)
		a.Report(Succeeded, 100, nil)
		w.expect(a, -1)
	}},
	{"an answer before the cancel", func(w *testGate) {
		a := w.submit("view", "")
		w.expect(a, Run)
		a.Report(Succeeded, 100, nil)
		a.Cancel()
		w.expect(a, OK)
		w.expect(a, -1)
	}},
	{"overdue, as the controller has lost it", func(w *testGate) {
		a := w.submit("view", "")
		w.expect(a, Run)
		w.controller.Handle(w.elapsedMs(w.clock), control.Event{Kind: control.CallerGone, RPC: a.id}) // the controller loses the RPC
		w.advance(2100 * time.Millisecond)
		w.expect(a, Aborted)
	}},
	{"draining: within the grace period and after", func(w *testGate) {
		w.Drain(3 * time.Second)
		if w.Healthy() {
			w.Error("healthy in a drain")
		}
		a := w.submit("view", "")
		w.expect(a, Run)
		a.Report(Succeeded, 10, nil)
		w.advance(1010 * time.Millisecond)
		w.expect(w.submit("view", ""), Rejected)
	}},
	{"a stall is made up for by one tick", func(w *testGate) {
		a := w.submit("view", "")
		w.expect(a, Run)
		w.clock = w.clock.Add(5 * time.Second)
		if next := w.Tick(nil); next > 50*time.Millisecond {
			w.Errorf("next tick in %v", next)
		}
		w.expect(a, Aborted)
	}},
	{"a caller's clock that is wrong", func(w *testGate) {
		w.expect(w.submitAt("view", "", w.clock.Add(time.Hour)), Run)
		w.expect(w.submitAt("view", "", w.clock.Add(-time.Hour)), Rejected)
	}},
}

func TestVerdicts(t *testing.T) {
	for _, c := range verdictCases {
		t.Run(c.name, func(t *testing.T) {
			w := open(t, true)
			c.run(w)
			w.advance(20 * time.Second)
			for _, left := range w.tickets {
				if !left.final {
					t.Error("one in flight at the end, without an answer")
				}
			}
		})
	}
}
