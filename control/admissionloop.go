package control

import (
	"math"
	"math/rand"
	"slices"
)

// admissionLoop is the feedback loop that sets the fraction of arrivals admitted under pressure.
type admissionLoop struct {
	admitFraction float64
	lateness      []float64 // per method: mean latency over the part of the latency objective that runs may take
}

// objectivePart of the latency objective is what runs may take in the mean: the rest is for the network and the spread.
const objectivePart = 0.9

// observe takes in the latency of a run of a method.
func (l *admissionLoop) observe(method int, latency, objective float64) {
	const weight = 0.1 // about ten runs of memory, some seconds of one method's traffic
	l.lateness[method] += weight * (latency/(objectivePart*objective) - l.lateness[method])
}

// step moves the fraction. It falls only while runs are late and the cores are busy.
func (l *admissionLoop) step(g *Gauges) {
	const (
		decrease    = 0.95 // factor that halves the fraction in under three seconds
		increase    = 0.02 // from a half to all in five seconds
		minFraction = 0.1
		busy        = 0.9 // CPU utilization
	)
	if g.Stale {
		return // without a gauge the fraction stays
	}
	if slices.Max(l.lateness) > 1 && g.CPUUtilization > busy {
		l.admitFraction = math.Max(minFraction, l.admitFraction*decrease)
	} else {
		l.admitFraction = math.Min(1, l.admitFraction+increase)
	}
}

// admits tells whether an arrival of a rank is admitted: the fraction that is not is the lowest in rank, with a soft edge
// that is drawn at random.
func (l *admissionLoop) admits(random *rand.Rand, rank float64) bool {
	const edge = 0.2 // equal weights share a rank: without it they would all be rejected at once
	return l.admitFraction == 1 || rank+edge*(random.Float64()-0.5) >= 1-l.admitFraction
}
