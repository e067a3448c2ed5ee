// Package plan tunes settings offline over a recorded trace. It varies a few parameters, one at a time in a random order and
// within a bounded number of replays, in search of settings that would have served more criticality on the training parts
// of the trace, and reports how the best candidate does on the held-out parts. The package is pure: no I/O, and it does not
// apply the settings.
package plan

import (
	"math"
	"math/rand"
	"slices"

	"sorrelvalve/decision/replay"
)

// Parameters are the searched parameters. Unchanged returns parameters that change nothing.
type Parameters struct {
	DisplaceableMS    float64   // hold.settled_ms in the operator's file; negative: unchanged
	OverQuotaFraction float64   // limits.over_share: factor on the criticality of an RPC over its quota; negative: unchanged
	MaxRunsPerCore    float64   // limits.runs_a_core; 0: unchanged
	QuotaFactors      []float64 // factor on the quota, by customer; missing ones are 1
}

// Unchanged returns parameters that change nothing.
func Unchanged(customers int) Parameters {
	return Parameters{DisplaceableMS: -1, OverQuotaFraction: -1, QuotaFactors: slices.Repeat([]float64{1}, customers)}
}

// Apply returns a copy of the settings with the parameters applied.
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

// Score is the result of settings on one or more parts of a trace.
type Score struct {
	Served   float64 // criticality served, as a share of that of all arrived RPCs
	Critical float64 // the same share for the most critical method alone
}

// HeldOutResult compares the scores on one held-out part before and after the change of settings.
type HeldOutResult struct{ Before, After Score }

// gain returns the change in the share of criticality served.
func (r *HeldOutResult) gain() float64 { return r.After.Served - r.Before.Served }

// Plan is the outcome of a search.
type Plan struct {
	Best                       Parameters
	Replays                    int             // number of candidates, each replayed on all training parts
	TrainBefore, TrainAfter    float64         // mean share of criticality served on the training parts
	HeldOut                    []HeldOutResult // by held-out part
	MeanGain, MinGain, MaxGain float64         // over HeldOut; 0 if there are no held-out parts
}

const (
	// maxCriticalLoss is the largest loss on the most critical method for which a candidate is accepted: noise amounts to a
	// few RPCs in a thousand.
	maxCriticalLoss = 0.005
	// minGain is the smallest gain that justifies a change: another seed of the same traffic causes smaller differences.
	minGain = 0.002
)

// The values that are tried: steps that an operator would take, within the bounds that the operator's file allows.
var (
	displaceableValues      = []float64{0, 10, 20, 50, 100, 300}
	overQuotaFractionValues = []float64{0, 0.1, 0.3, 0.6, 1}
	runsPerCoreValues       = []float64{2, 3, 4, 6, 8, 12}
	quotaFactors            = []float64{0.5, 0.75, 0.9, 1, 1.1, 1.3, 2}
)

// parameter is one searched parameter with the values that are tried.
type parameter struct {
	field  func(*Parameters) *float64
	values []float64
}

// parameters returns the searched parameters, given the number of customers.
func parameters(customers int) []parameter {
	searched := []parameter{
		{func(p *Parameters) *float64 { return &p.DisplaceableMS }, displaceableValues},
		{func(p *Parameters) *float64 { return &p.OverQuotaFraction }, overQuotaFractionValues},
		{func(p *Parameters) *float64 { return &p.MaxRunsPerCore }, runsPerCoreValues},
	}
	for i := range customers {
		searched = append(searched, parameter{func(p *Parameters) *float64 { return &p.QuotaFactors[i] }, quotaFactors})
	}
	return searched
}

// Search tries parameters on every other part of a trace, the training parts, and evaluates the best ones on the remaining,
// held-out parts. budget bounds the number of candidates that are tried; seed determines their order.
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

// train searches for the best parameters, in rounds over all parameters in random order, until a round brings no improvement
// or the budget is used up.
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

// score returns the mean score of a candidate over the parts, and counts it in Replays.
func (p *Plan) score(candidate Parameters, s replay.Settings, parts [][]replay.Step) Score {
	p.Replays++
	settings := candidate.Apply(s)
	mean := Score{}
	for _, part := range parts {
		partScore := score(settings, part)
		mean.Served += partScore.Served / float64(len(parts))
		mean.Critical += partScore.Critical / float64(len(parts))
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
