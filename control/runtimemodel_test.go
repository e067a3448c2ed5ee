package control

import (
	"testing"
)

// Runs that are aborted because they are late must raise the estimate, as it would otherwise be based on short runs
// only. They must not cause the method to be rejected forever either.
func TestLateAbortsAreLearnt(t *testing.T) {
	s := defaultSetup()
	s.node.Preemption = PreemptSuspend
	h := newHarness(t, s)
	for id := uint32(1); id <= 40; id++ {
		h.arrive(id, Event{})
		h.advance(h.now+1200, Gauges{Runnable: 2, CPUUtilization: 1})
		h.complete(id, OutcomeCancelled, 1100)
	}
	if e := h.controller.expectedRunTime(&rpc{cost: h.controller.runTimes[0].prior}); e < 800 {
		t.Errorf("expected run time: got %v after 40 runs that were aborted at 1000 ms, want at least 800", e)
	}
	h.advance(h.now+30000, Gauges{})
	h.arrive(200, Event{})
	if h.runs[200] != 1 {
		t.Error("an RPC that arrived 30 s after a hang was not run")
	}
}

// If cost hints do not predict the run time, an RPC with a large hint must not get a long expected run time.
func TestRoughCostHints(t *testing.T) {
	cases := []struct {
		name     string
		runTime  func(hint float64) float64
		min, max float64 // of the prediction for a hint of 400, where the mean hint is 200
	}{
		{"accurate hints", func(hint float64) float64 { return 2 * hint }, 700, 900},
		{"hints unrelated to the run time", func(float64) float64 { return 400 }, 350, 550},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			model := newRunTimeModel(1000)
			for i := range 300 {
				hint := 100 + 200*float64(i%2)
				model.observe(c.runTime(hint), hint, 0)
			}
			if predicted := model.predict(400, 1); predicted < c.min || predicted > c.max {
				t.Errorf("predicted run time: got %v", predicted)
			}
		})
	}
}

// One run with a short hint must not make the predictions for other RPCs far too long, and predictions must follow a
// change of speed within a few runs.
func TestFewRuns(t *testing.T) {
	c := newHarness(t, defaultSetup()).controller
	typical := rpc{cost: 200}
	c.learnRunTime(&rpc{cost: 4}, 6)
	if e := c.expectedRunTime(&typical); e < 100 || e > 500 {
		t.Errorf("expected run time: got %v after one short run, want 100 to 500", e)
	}
	for range 30 {
		c.learnRunTime(&typical, 200)
	}
	for range 8 {
		c.learnRunTime(&typical, 600)
	}
	if e := c.expectedRunTime(&typical); e < 450 || e > 700 {
		t.Errorf("expected run time: got %v after eight runs of 600 ms, want 450 to 700", e)
	}
}
