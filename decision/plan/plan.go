// Package plan performs what-if tuning over a recorded trace: it searches a few typed knobs, one at a time in an order
// drawn from a seed and within a bounded number of replays, for settings that would have served more weighted
// criticality on a training part of the trace, and reports how the best candidate does on the held-out part. The
// package is pure: no I/O, and it applies nothing.
package plan

import (
	"io"
	"math"
	"math/rand"
	"slices"

	"sorrelvalve/decision/replay"
)

// Knobs are what is searched. The zero value leaves all as it is.
type Parameters struct {
	SettleMS       float64   // ms: hold.settled_ms; below 0 for as it is
	OverShare      float64   // what an RPC over its quota keeps; below 0 for as it is
	MaxRunsPerCore float64   // at most; 0 for as it is
	QuotaFactors   []float64 // factor for each customer; nil for as they are
}

// Apply returns the settings with the knobs turned.
func (k Parameters) Apply(s replay.Settings) replay.Settings {
	if k.SettleMS >= 0 {
		s.Limits.DisplaceableFor = k.SettleMS
	}
	if k.OverShare >= 0 {
		s.Fleet.OverQuotaFraction = k.OverShare
	}
	if k.MaxRunsPerCore > 0 {
		s.Limits.MaxRunsPerCore = k.MaxRunsPerCore
	}
	s.Customers = slices.Clone(s.Customers)
	for i := range s.Customers {
		if i < len(k.QuotaFactors) {
			s.Customers[i].Quota *= k.QuotaFactors[i]
		}
	}
	return s
}

// AsItIs are the knobs that change nothing.
func Unchanged(customers int) Parameters {
	k := Parameters{SettleMS: -1, OverShare: -1}
	for range customers {
		k.QuotaFactors = append(k.QuotaFactors, 1)
	}
	return k
}

// The values that are tried: steps that an operator would take, none beyond what the checks of the file allow.
var (
	settleValues      = []float64{0, 10, 20, 50, 100, 300}
	overShareValues   = []float64{0, 0.1, 0.3, 0.6, 1}
	runsPerCoreValues = []float64{2, 3, 4, 6, 8, 12}
	quotaFactors      = []float64{0.5, 0.75, 0.9, 1, 1.1, 1.3, 2}
)

// Score is how a setting did on one part.
type Score struct {
	Served   float64 // criticality, as a share of what came
	Critical float64 // the share of the most critical method that was served
}

// Change is what a plan does on one part that it was not searched on.
type HeldOutResult struct{ Before, After Score }

// Plan is the outcome of a search.
type Plan struct {
	Best                       Parameters
	Replays                    int
	TrainBefore, TrainAfter    float64         // criticality served on the parts searched on
	HeldOut                    []HeldOutResult // on those not searched on
	MeanGain, MinGain, MaxGain float64         // of the change there
}

// worse is by how much the most critical method may do worse for a plan to be taken: noise of some ends in a thousand.
const maxCriticalLoss = 0.005

// gain is the least change that is worth a setting: below it lies what another seed of the same traffic does.
const minGain = 0.002

// Search tries settings on every other part. The budget is the number of settings that may be tried.
func Search(s replay.Settings, parts [][]replay.Step, budget int, seed int64) Plan {
	var learn, held [][]replay.Step
	for i, p := range parts {
		if i%2 == 0 {
			learn = append(learn, p)
		} else {
			held = append(held, p)
		}
	}
	chance := rand.New(rand.NewSource(seed))
	p := Plan{Best: Unchanged(len(s.Customers))}
	evaluate := func(k Parameters) Score {
		p.Replays++
		sum := Score{}
		for _, part := range learn {
			x := score(k.Apply(s), part)
			sum.Served += x.Served / float64(len(learn))
			sum.Critical += x.Critical / float64(len(learn))
		}
		return sum
	}
	first := evaluate(p.Best)
	best := first
	p.TrainBefore = first.Served
	var turns []func(*Parameters, int) bool // one knob each: sets its nth value, false if there is none
	turns = append(turns,
		func(k *Parameters, n int) bool { return set(&k.SettleMS, settleValues, n) },
		func(k *Parameters, n int) bool { return set(&k.OverShare, overShareValues, n) },
		func(k *Parameters, n int) bool { return set(&k.MaxRunsPerCore, runsPerCoreValues, n) })
	for c := range s.Customers {
		turns = append(turns, func(k *Parameters, n int) bool { return set(&k.QuotaFactors[c], quotaFactors, n) })
	}
	for improved := true; improved && p.Replays < budget; {
		improved = false
		for _, t := range chance.Perm(len(turns)) {
			for n := 0; p.Replays < budget; n++ {
				k := p.Best
				k.QuotaFactors = slices.Clone(k.QuotaFactors)
				if !turns[t](&k, n) {
					break
				}
				x := evaluate(k)
				if x.Served > best.Served+minGain && x.Critical >= first.Critical-maxCriticalLoss {
					best, p.Best, improved = x, k, true
				}
			}
		}
	}
	p.TrainAfter = best.Served
	p.MinGain, p.MaxGain = math.Inf(1), math.Inf(-1)
	for _, part := range held {
		c := HeldOutResult{score(s, part), score(p.Best.Apply(s), part)}
		p.HeldOut = append(p.HeldOut, c)
		d := c.After.Served - c.Before.Served
		p.MeanGain += d / float64(len(held))
		p.MinGain, p.MaxGain = math.Min(p.MinGain, d), math.Max(p.MaxGain, d)
	}
	if len(held) == 0 {
		p.MinGain, p.MaxGain = 0, 0
	}
	return p
}

func set(knob *float64, values []float64, n int) bool {
	if n >= len(values) {
		return false
	}
	*knob = values[n]
	return true
}

// score replays one part under settings.
func score(s replay.Settings, steps []replay.Step) Score {
	i := 0
	tallies := make([]replay.Tally, len(s.Methods))
	s.Node.WarmingUp = false // a part begins in mid service
	replay.Simulate(&s, func() (replay.Step, error) {
		if i == len(steps) {
			return replay.Step{}, io.EOF
		}
		i++
		return steps[i-1], nil
	}, func(f replay.Completion) { tallies[min(f.Method, len(tallies)-1)].Add(f.Verdict) })
	got, all, top := 0.0, 0.0, 0
	for m := range s.Methods {
		g, a := tallies[m].WeightedCriticality(&s.Methods[m])
		got, all = got+g, all+a
		if s.Methods[m].Criticality > s.Methods[top].Criticality {
			top = m
		}
	}
	x := Score{Served: got / math.Max(1e-9, all)}
	g, a := tallies[top].WeightedCriticality(&s.Methods[top])
	x.Critical = g / math.Max(1e-9, a)
	if a == 0 {
		x.Critical = 1
	}
	return x
}
