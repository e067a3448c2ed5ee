// Package plan performs what-if tuning over a recorded trace: it searches a few typed parameters, one at a time in an order
// drawn from a seed and within a bounded number of replays, for settings that would have served more weighted
// criticality on a training part of the trace, and reports how the best candidate does on the held-out part. The
// package is pure: no I/O, and it applies nothing.
package plan

import (
	"math"
	"math/rand"
	"slices"

	"sorrelvalve/decision/replay"
)

// Parameters are what is searched. Unchanged returns those that change nothing.
type Parameters struct {
	DisplaceableMS    float64   // hold.settled_ms of the operator's file; negative: unchanged
	OverQuotaFraction float64   // limits.over_share: of its criticality that an RPC over its quota keeps; negative: unchanged
	MaxRunsPerCore    float64   // limits.runs_a_core; 0: unchanged
	QuotaFactors      []float64 // by customer; missing ones are 1
}

// Unchanged returns the parameters that change nothing.
func Unchanged(customers int) Parameters {
	return Parameters{DisplaceableMS: -1, OverQuotaFraction: -1, QuotaFactors: slices.Repeat([]float64{1}, customers)}
}

// Apply returns the settings with the parameters.
func (p Parameters) Apply(s replay.Settings) replay.Settings {
	if p.DisplaceableMS >= 0 {
		s.Limits.DisplaceableFor = p.DisplaceableMS
	}
	if p.OverQuotaFraction >= 0 {
		s.Fleet.OverQuotaFraction = p.OverQuotaFraction
	}
	if p.MaxRunsPerCore > 0 {
		s.Limits.MaxRunsPerCore = p.MaxRunsPerCore
	}
	s.Customers = slices.Clone(s.Customers)
	for i := range s.Customers {
		if i < len(p.QuotaFactors) {
			s.Customers[i].Quota *= p.QuotaFactors[i]
		}
	}
	return s
}

// Score is how settings did on some parts of a trace.
type Score struct {
	Served   float64 // criticality served, as a share of what arrived
	Critical float64 // the same of the most critical method alone
}

// HeldOutResult is what a plan does on one part that was not searched on.
type HeldOutResult struct{ Before, After Score }

// gain returns the change in the criticality served.
func (r *HeldOutResult) gain() float64 { return r.After.Served - r.Before.Served }

// Plan is the outcome of a search.
type Plan struct {
	Best                       Parameters
	Replays                    int             // of all training parts
	TrainBefore, TrainAfter    float64         // criticality served on the parts searched on
	HeldOut                    []HeldOutResult // on the other parts
	MeanGain, MinGain, MaxGain float64         // over HeldOut; 0 without
}

const (
	// maxCriticalLoss is by how much the most critical method may do worse for parameters to be taken: noise of some RPCs in
	// a thousand.
	maxCriticalLoss = 0.005
	// minGain is the least gain that is worth a change: below it lies what another seed of the same traffic does.
	minGain = 0.002
)

// The values that are tried: steps that an operator would take, none beyond what the checks of the file allow.
var (
	displaceableValues      = []float64{0, 10, 20, 50, 100, 300}
	overQuotaFractionValues = []float64{0, 0.1, 0.3, 0.6, 1}
	runsPerCoreValues       = []float64{2, 3, 4, 6, 8, 12}
	quotaFactors            = []float64{0.5, 0.75, 0.9, 1, 1.1, 1.3, 2}
)

// parameter is one parameter that is searched.
type parameter struct {
	field  func(*Parameters) *float64
	values []float64
}

// parameters returns what is searched for so many customers.
func parameters(customers int) []parameter {
	all := []parameter{
		{func(p *Parameters) *float64 { return &p.DisplaceableMS }, displaceableValues},
		{func(p *Parameters) *float64 { return &p.OverQuotaFraction }, overQuotaFractionValues},
		{func(p *Parameters) *float64 { return &p.MaxRunsPerCore }, runsPerCoreValues},
	}
	for i := range customers {
		all = append(all, parameter{func(p *Parameters) *float64 { return &p.QuotaFactors[i] }, quotaFactors})
	}
	return all
}

// Search tries parameters on every other part of a trace and evaluates the best on the parts between. budget bounds the
// number of parameters that are tried.
func Search(s replay.Settings, parts [][]replay.Step, budget int, seed int64) Plan {
	var train, heldOut [][]replay.Step
	for i, part := range parts {
		if i%2 == 0 {
			train = append(train, part)
		} else {
			heldOut = append(heldOut, part)
		}
	}
	p := Plan{Best: Unchanged(len(s.Customers))}
	p.train(s, train, budget, rand.New(rand.NewSource(seed)))
	p.evaluate(s, heldOut)
	return p
}

// train searches the best parameters: rounds over all parameters in random order, until a round finds none better or the
// budget is used up.
func (p *Plan) train(s replay.Settings, parts [][]replay.Step, budget int, random *rand.Rand) {
	before := p.score(p.Best, s, parts)
	best := before
	searched := parameters(len(s.Customers))
	for improved := true; improved && p.Replays < budget; {
		improved = false
		for _, i := range random.Perm(len(searched)) {
			for _, value := range searched[i].values {
				if p.Replays >= budget {
					break
				}
				candidate := p.Best
				candidate.QuotaFactors = slices.Clone(candidate.QuotaFactors)
				*searched[i].field(&candidate) = value
				score := p.score(candidate, s, parts)
				if score.Served > best.Served+minGain && score.Critical >= before.Critical-maxCriticalLoss {
					best = score
					p.Best = candidate
					improved = true
				}
			}
		}
	}
	p.TrainBefore = before.Served
	p.TrainAfter = best.Served
}

// score returns the mean score over some parts, and counts the replay.
func (p *Plan) score(candidate Parameters, s replay.Settings, parts [][]replay.Step) Score {
	p.Replays++
	settings := candidate.Apply(s)
	mean := Score{}
	for _, part := range parts {
		x := score(settings, part)
		mean.Served += x.Served / float64(len(parts))
		mean.Critical += x.Critical / float64(len(parts))
	}
	return mean
}

// evaluate compares the best parameters with the unchanged settings on each held-out part.
func (p *Plan) evaluate(s replay.Settings, parts [][]replay.Step) {
	if len(parts) == 0 {
		return
	}
	p.MinGain = math.Inf(1)
	p.MaxGain = math.Inf(-1)
	for _, part := range parts {
		result := HeldOutResult{Before: score(s, part), After: score(p.Best.Apply(s), part)}
		p.HeldOut = append(p.HeldOut, result)
		p.MeanGain += result.gain() / float64(len(parts))
		p.MinGain = math.Min(p.MinGain, result.gain())
		p.MaxGain = math.Max(p.MaxGain, result.gain())
	}
}
