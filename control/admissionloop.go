package control

import (
	"math"
	"math/rand"
	"slices"
)

// admissionLoop is the feedback loop that sets the fraction of arrivals that are admitted under overload.
type admissionLoop struct {
	admitFraction float64
	lateness      []float64 // per method: ratio of the mean latency to objectiveFraction of the latency objective
}

// objectiveFraction is the fraction of the latency objective that is the target of the mean latency. The rest is for
// the network and for variation.
const objectiveFraction = 0.9

// observe records the latency of a completed run of a method.
func (l *admissionLoop) observe(method int, latency, objective float64) {
	const weight = 0.1 // averages over about ten runs, a few seconds of a method's traffic
	l.lateness[method] += weight * (latency/(objectiveFraction*objective) - l.lateness[method])
}

// step updates the fraction. It decreases only while runs are late and the cores are busy.
func (l *admissionLoop) step(g *Gauges) {
	const (
		decrease    = 0.95 // factor per step; halves the fraction in less than three seconds
		increase    = 0.02 // per step; from one half to 1 in five seconds
		minFraction = 0.1
		busyCPU     = 0.9 // CPU utilization
	)
	if g.Stale {
		return // keep the fraction while the CPU utilization is unknown
	}
	if slices.Max(l.lateness) > 1 && g.CPUUtilization > busyCPU {
		l.admitFraction = math.Max(minFraction, l.admitFraction*decrease)
	} else {
		l.admitFraction = math.Min(1, l.admitFraction+increase)
	}
}

// admits reports whether an arrival of the given rank is admitted. The arrivals of the lowest rank are rejected; near
// the threshold the result is random.
func (l *admissionLoop) admits(random *rand.Rand, rank float64) bool {
	// Arrivals of equal weight have the same rank, so with a sharp threshold all of them would be rejected at once.
	const edgeWidth = 0.2
	return l.admitFraction == 1 || rank+edgeWidth*(random.Float64()-0.5) >= 1-l.admitFraction
}
