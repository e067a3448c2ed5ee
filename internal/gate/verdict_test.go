package gate

import (
	"testing"
	"time"

	"sorrelvalve/control"
)

// verdictCase is a scenario that ends with the final verdict of an RPC.
type verdictCase struct {
	name string
	run  func(tg *testGate)
}

var verdictCases = []verdictCase{
	{"ok", func(tg *testGate) {
		a := tg.submit("view", "")
		tg.expect(a, Run)
		a.Report(Succeeded, 100, []byte("r"))
		if v := tg.expect(a, OK); string(v.Result) != "r" {
			tg.Errorf("result: got %q", v.Result)
		}
	}},
	{"a failed run", func(tg *testGate) {
		a := tg.submit("view", "")
		tg.expect(a, Run)
		a.Report(Failed, 100, nil)
		tg.expect(a, Aborted)
	}},
	{"a run whose end is reported twice", func(tg *testGate) {
		a := tg.submit("view", "")
		tg.expect(a, Run)
		a.Report(Failed, 100, nil)
		a.Report(Succeeded, 100, nil)
		tg.expect(a, Aborted)
		tg.expect(a, -1)
	}},
	{"aborted when due, the run ends later", func(tg *testGate) {
		a := tg.submit("view", "")
		tg.expect(a, Run)
		tg.advance(1900 * time.Millisecond)
		tg.expect(a, -1)
		tg.advance(100 * time.Millisecond)
		tg.expect(a, Aborted)
		a.Report(Succeeded, 2000, nil)
		tg.expect(a, -1)
	}},
	{"cancelled while queued: the RPC behind it runs", func(tg *testGate) {
		a, b, c, d := tg.submit("view", ""), tg.submit("view", ""), tg.submit("view", ""), tg.submit("view", "")
		tg.expect(a, Run)
		tg.expect(b, Run)
		tg.expect(c, -1)
		c.Cancel()
		tg.expect(c, CallerGone)
		a.Report(Succeeded, 100, nil)
		tg.expect(d, Run)
	}},
	{"cancelled while running", func(tg *testGate) {
		a := tg.submit("view", "")
		tg.expect(a, Run)
		a.Cancel()
		tg.expect(a, CallerGone)
		a.Report(Succeeded, 100, nil)
		tg.expect(a, -1)
	}},
	{"an answer before the cancellation", func(tg *testGate) {
		a := tg.submit("view", "")
		tg.expect(a, Run)
		a.Report(Succeeded, 100, nil)
		a.Cancel()
		tg.expect(a, OK)
		tg.expect(a, -1)
	}},
	{"overdue: the controller has lost the RPC", func(tg *testGate) {
		a := tg.submit("view", "")
		tg.expect(a, Run)
		tg.controller.Handle(tg.elapsedMs(tg.clock), control.Event{Kind: control.CallerGone, RPC: a.id}) // the controller loses the RPC
		tg.advance(2100 * time.Millisecond)
		tg.expect(a, Aborted)
	}},
	{"draining: within and after the grace period", func(tg *testGate) {
		tg.Drain(3 * time.Second)
		if tg.Healthy() {
			tg.Error("healthy during a drain")
		}
		a := tg.submit("view", "")
		tg.expect(a, Run)
		a.Report(Succeeded, 10, nil)
		tg.advance(1010 * time.Millisecond)
		tg.expect(tg.submit("view", ""), Rejected)
	}},
	{"one tick is enough after a stall", func(tg *testGate) {
		a := tg.submit("view", "")
		tg.expect(a, Run)
		tg.clock = tg.clock.Add(5 * time.Second)
		if next := tg.Tick(nil); next > 50*time.Millisecond {
			tg.Errorf("time to the next tick: got %v, want at most 50ms", next)
		}
		tg.expect(a, Aborted)
	}},
	{"a caller with a wrong clock", func(tg *testGate) {
		tg.expect(tg.submitAt("view", "", tg.clock.Add(time.Hour)), Run)
		tg.expect(tg.submitAt("view", "", tg.clock.Add(-time.Hour)), Rejected)
	}},
}

func TestVerdicts(t *testing.T) {
	for _, c := range verdictCases {
		t.Run(c.name, func(t *testing.T) {
			tg := open(t, true)
			c.run(tg)
			tg.advance(20 * time.Second)
			for _, ticket := range tg.tickets {
				if !ticket.final {
					t.Error("an RPC has no final verdict at the end")
				}
			}
		})
	}
}
