package plan

import (
	"math/rand"
	"testing"

	"sorrelvalve/control"
	"sorrelvalve/decision/replay"
)

// Customer a sends far more than its quota (a hundredth of that of customer b), RPCs over quota have no criticality, and the
// cores are limited to one run each. The search must find settings that serve more, also on the held-out parts, and must
// find the same settings each time.
func TestSearch(t *testing.T) {
	s := replay.Settings{
		Node:      control.Node{Seed: 3, Cores: 4, MemoryKB: 1e6, RunMemoryFactor: 4, Tick: 4, WarmUpTime: 4000},
		Fleet:     control.Fleet{Peers: 1, Callers: 3, MarksRetries: true, MaxRetryAfter: 1000, OverQuotaFraction: 0, FeedbackTTL: 1000, IdleTimeout: 30000},
		Limits:    control.Limits{DrainGrace: 1000, MaxRunsPerCore: 1},
		Methods:   []control.Method{{Name: "view", LatencyObjective: 400, Deadline: 1000, Criticality: 1}, {Name: "buy", LatencyObjective: 400, Deadline: 1000, Criticality: 3}},
		Customers: []control.Customer{{Name: "a", Quota: 1}, {Name: "b", Quota: 100}},
	}
	random := rand.New(rand.NewSource(1))
	var parts [][]replay.Step
	id := uint32(0)
	for p := range 4 {
		var steps []replay.Step
		for at := 0.0; at < 5000; at += random.ExpFloat64() * 9 {
			id++
			ev := control.Event{Kind: control.Arrived, RPC: id, Customer: random.Intn(2), CostHint: 10 + 30*random.Float64(), QueuedKB: 10}
			if random.Intn(8) == 0 {
				ev.Method = 1
			}
			steps = append(steps, replay.Step{Now: float64(p)*5000 + at, Event: ev})
		}
		parts = append(parts, steps)
	}
	a, b := Search(s, parts, 60, 1), Search(s, parts, 60, 1)
	if a.TrainAfter != b.TrainAfter || a.Replays != b.Replays || a.MeanGain != b.MeanGain {
		t.Errorf("two searches with the same seed differ: %+v and %+v", a, b)
	}
	if a.Replays > 60 || a.TrainAfter < a.TrainBefore+minGain || a.MeanGain <= 0 || len(a.HeldOut) != 2 {
		t.Errorf("plan: got %+v, want a gain on training and held-out parts within 60 replays", a)
	}
	if c := Search(s, parts, 1, 1); c.Replays != 1 || c.TrainAfter != c.TrainBefore || c.MeanGain != 0 {
		t.Errorf("plan with a budget of one replay: got %+v, want unchanged settings", c)
	}
}
