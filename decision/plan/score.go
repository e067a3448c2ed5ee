package plan

import (
	"io"
	"math"

	"sorrelvalve/control"
	"sorrelvalve/decision/replay"
)

// minArrived avoids a division by zero if no criticality arrived.
const minArrived = 1e-9

// score simulates one part of a trace with settings.
func score(s replay.Settings, steps []replay.Step) Score {
	s.Node.WarmingUp = false // a part begins while the server is already warm
	tallies := make([]replay.Tally, len(s.Methods))
	next := func() (replay.Step, error) {
		if len(steps) == 0 {
			return replay.Step{}, io.EOF
		}
		step := steps[0]
		steps = steps[1:]
		return step, nil
	}
	// The only errors that Simulate returns are those of next, which has none.
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

// mostCritical returns the index of the most critical method; the first if several tie.
func mostCritical(methods []control.Method) (index int) {
	for i := range methods {
		if methods[i].Criticality > methods[index].Criticality {
			index = i
		}
	}
	return index
}

// servedShare returns the share of a method's criticality that was served; 1 if none arrived.
func servedShare(t *replay.Tally, m *control.Method) float64 {
	served, arrived := t.WeightedCriticality(m)
	if arrived == 0 {
		return 1
	}
	return served / math.Max(minArrived, arrived)
}
