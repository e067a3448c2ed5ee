package control

import (
	"math"
	"math/rand"
	"slices"
)

// pressure is the loop that sets the share of arrivals taken.
type pressure struct {
	share float64
	late  []float64 // per method: latency of runs over the part of the latency target they may take
}

// targetPart of the latency target is what runs may take in the mean: the rest is for the way and spread.
const targetPart = 0.9

func (p *pressure) learn(m int, latency, target float64) {
	const weight = 0.1 // about ten runs of memory, some seconds of one method's traffic
	p.late[m] += weight * (latency/(targetPart*target) - p.late[m])
}

// step moves the share.
func (p *pressure) step(g *Gauges) {
	const (
		cut  = 0.95 // halves the share in under three seconds
		rise = 0.02 // from a half to all in five
	)
	if !g.Stale && slices.Max(p.late) > 1 && g.CPUUtilization > 0.9 {
		p.share = math.Max(0.1, p.share*cut)
	} else if !g.Stale { // without a gauge the share stays
		p.share = math.Min(1, p.share+rise)
	}
}

// takes tells whether an arrival is taken: the share cut is the lowest in rank, with a soft edge by chance.
func (p *pressure) takes(chance *rand.Rand, rank float64) bool {
	const edge = 0.2 // equal values share a rank: without it they would all go at once
	return p.share == 1 || rank+edge*(chance.Float64()-0.5) >= 1-p.share
}

// ranks are the values of the latest arrivals.
type ranks struct {
	value [64]float64 // some seconds of traffic
	n     int
}

// of adds a value and returns the part of the others that lie below it, equals counting half, and the value
// over their mean.
func (k *ranks) of(v float64) (rank, rel float64) {
	k.value[k.n%len(k.value)] = v
	k.n++
	all := k.value[:min(k.n, len(k.value))]
	below, sum := 0.0, 0.0
	for _, o := range all {
		sum += o
		if o < v {
			below++
		} else if o == v {
			below += 0.5
		}
	}
	return below / float64(len(all)), v * float64(len(all)) / math.Max(sum, 1e-9)
}
