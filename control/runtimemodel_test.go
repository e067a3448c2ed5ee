package control

import (
	"testing"
)

// Runs that never end in time must not leave the estimate to those that do, nor keep a method out for good.
func TestLateAbortsAreLearnt(t *testing.T) {
	s := defaultSetup()
	s.node.Preemption = PreemptSuspend
	w := newHarness(t, s)
	for id := uint32(1); id <= 40; id++ {
		w.arrive(id, Event{})
		w.advance(w.now+1200, Gauges{Runnable: 2, CPUUtilization: 1})
		w.complete(id, OutcomeCancelled, 1100)
	}
	if e := w.controller.expectedRunTime(&rpc{cost: w.controller.runTimes[0].prior}); e < 800 {
		t.Errorf("run time of %v expected after 40 that were given up at 1000", e)
	}
	w.advance(w.now+30000, Gauges{})
	w.arrive(200, Event{})
	if w.runs[200] != 1 {
		t.Error("not run half a minute after a hang")
	}
}

// Hints that say little must not have work rejected that only looks heavy.
func TestRoughCostHints(t *testing.T) {
	cases := []struct {
		name      string
		took      func(hint float64) float64
		low, most float64 // expected of a hint of 400, the mean being 200
	}{
		{"good", func(h float64) float64 { return 2 * h }, 700, 900},
		{"worthless", func(float64) float64 { return 400 }, 350, 550},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newRunTimeModel(1000)
			for i := range 300 {
				hint := 100 + 200*float64(i%2)
				p.observe(c.took(hint), hint, 0)
			}
			if e := p.predict(400, 1); e < c.low || e > c.most {
				t.Errorf("%v expected", e)
			}
		})
	}
}

// One run with a short hint must not make all others seem endless, and a change of speed shows in a few runs.
func TestFewRuns(t *testing.T) {
	c := newHarness(t, defaultSetup()).controller
	usual := rpc{cost: 200}
	c.learnRunTime(&rpc{cost: 4}, 6)
	if e := c.expectedRunTime(&usual); e < 100 || e > 500 {
		t.Errorf("%v expected after one short run", e)
	}
	for range 30 {
		c.learnRunTime(&usual, 200)
	}
	for range 8 {
		c.learnRunTime(&usual, 600)
	}
	if e := c.expectedRunTime(&usual); e < 450 || e > 700 {
		t.Errorf("%v expected after eight runs three times as long", e)
	}
}
