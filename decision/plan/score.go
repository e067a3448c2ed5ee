package plan

import (
	"io"
	"math"

	"sorrelvalve/control"
	"sorrelvalve/decision/replay"
)

// minArrived keeps a share of nothing from being a division by zero.
const minArrived = 1e-9

// score simulates one part of a trace with settings.
func score(s replay.Settings, steps []replay.Step) Score {
	s.Node.WarmingUp = false // a part begins in mid service
	tallies := make([]replay.Tally, len(s.Methods))
	next := func() (replay.Step, error) {
		if len(steps) == 0 {
			return replay.Step{}, io.EOF
		}
		step := steps[0]
		steps = steps[1:]
		return step, nil
	}
	// Simulate returns no errors but those of next.
	_ = replay.Simulate(&s, next, func(c replay.Completion) {
		tallies[min(c.Method, len(tallies)-1)].Add(c.Verdict)
	})
	served, arrived := 0.0, 0.0
	for i := range s.Methods {
		methodServed, methodArrived := tallies[i].WeightedCriticality(&s.Methods[i])
		served += methodServed
		arrived += methodArrived
	}
	critical := mostCritical(s.Methods)
	return Score{
		Served:   served / math.Max(minArrived, arrived),
		Critical: servedShare(&tallies[critical], &s.Methods[critical]),
	}
}

// mostCritical returns the index of the most critical method; of several, the first.
func mostCritical(methods []control.Method) (index int) {
	for i := range methods {
		if methods[i].Criticality > methods[index].Criticality {
			index = i
		}
	}
	return index
}

// servedShare returns the share of a method's criticality that was served; 1 if no RPC arrived.
func servedShare(t *replay.Tally, m *control.Method) float64 {
	served, arrived := t.WeightedCriticality(m)
	if arrived == 0 {
		return 1
	}
	return served / math.Max(minArrived, arrived)
}
