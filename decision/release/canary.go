package release

// This file owns canary analysis: a wave is compared with the servers that do not have the version yet, over the same
// minutes, by shares of bad outcomes with a sequential test that may be evaluated at any time, and by memory. It must never
// blame a version for what strikes both sides, nor take the variance between servers for a difference.

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mathext"
)

// sample is one server's counts on one side of a comparison.
type sample struct {
	zone   string
	counts Counts
}

// minServers is the fewest servers that show a variance between servers; with fewer, a difference between two servers can't
// be told from the version's.
const minServers = 2

// sum returns a signal's bad outcomes and total over the servers of a side.
func sum(s signal, side []sample) (bad, total float64) {
	for i := range side {
		b, n := side[i].counts.signal(s)
		bad += b
		total += n
	}
	return bad, total
}

// stratum is one comparison of a signal among some servers.
type stratum struct {
	maxShare   float64 // of bad outcomes that a version without fault may have
	bad, total float64 // of the canary's side
}

// newStratum compares the two sides among some servers. A version without fault may have the control's share of bad outcomes,
// plus the margin, plus three standard errors, in which the variance between servers counts: a server that is always a
// little worse is no reason. It returns false where one side has no RPCs.
func newStratum(s signal, canary, control []sample, margin float64) (stratum, bool) {
	bad, total := sum(s, canary)
	controlBad, controlTotal := sum(s, control)
	if total == 0 || controlTotal == 0 {
		return stratum{}, false
	}
	share := (controlBad + 0.5) / (controlTotal + 1) // never taken for exactly nothing
	variance := share * (1 - share) / controlTotal
	if between, servers := varianceBetween(s, control); servers >= minServers {
		variance += between * (1/float64(len(canary)) + 1/float64(servers))
	}
	maxShare := math.Min(1, controlBad/controlTotal+margin+3*math.Sqrt(variance))
	return stratum{maxShare: maxShare, bad: bad, total: total}, true
}

// likelihoodRatio returns how many times likelier the bad outcomes are with any larger share, all weighted alike, than with the
// largest share that a version without fault may have: a test martingale (Ville 1939; Robbins 1970 for mixtures), which
// exceeds 1/a with a probability of at most a over all times at which it is evaluated. It is exact for few outcomes, where a
// normal approximation calls one in seven a proof.
func (x *stratum) likelihoodRatio() float64 {
	if !(x.bad > x.maxShare*x.total) || x.maxShare >= 1 {
		return 0
	}
	good := x.total - x.bad
	alpha := x.bad + 1
	beta := good + 1
	logGammaAlpha, _ := math.Lgamma(alpha)
	logGammaBeta, _ := math.Lgamma(beta)
	logGammaSum, _ := math.Lgamma(alpha + beta)
	tail := 1 - mathext.RegIncBeta(alpha, beta, x.maxShare)
	if tail <= 0 {
		return 0
	}
	logRatio := logGammaAlpha + logGammaBeta - logGammaSum + math.Log(tail) - math.Log(1-x.maxShare) -
		x.bad*math.Log(x.maxShare) - good*math.Log(1-x.maxShare)
	return math.Exp(math.Min(maxLogRatio, logRatio))
}

// maxLogRatio bounds the exponent of a likelihood ratio, which must stay finite.
const maxLogRatio = 600

// varianceBetween returns the variance of a share between servers beyond that of sampling (method of moments for the one-way
// layout), and the number of servers with RPCs.
func varianceBetween(s signal, side []sample) (variance float64, servers int) {
	bad, total, squares := 0.0, 0.0, 0.0
	for i := range side {
		if b, n := side[i].counts.signal(s); n > 0 {
			bad += b
			total += n
			squares += n * n
			servers++
		}
	}
	if servers < minServers {
		return 0, servers
	}
	share := bad / total
	between := 0.0
	for i := range side {
		if b, n := side[i].counts.signal(s); n > 0 {
			between += n * (b/n - share) * (b/n - share)
		}
	}
	sampling := share * (1 - share) * float64(servers-1)
	weight := total - squares/total
	if weight <= 0 {
		return 0, servers
	}
	return math.Max(0, (between-sampling)/weight), servers
}

// Evidence is the strongest comparison against a version, for the operator.
type Evidence struct {
	Signal          string  `json:"signal"`
	Zone            string  `json:"zone,omitempty"` // "" for all zones together
	Excess          float64 `json:"worse"`          // by how much the share of bad outcomes exceeds what it may be
	LikelihoodRatio float64 `json:"ratio"`          // for a difference against none
	Threshold       float64 `json:"wanted"`         // the ratio from which the version is worse
}

// compare returns the strongest evidence against the version, and whether it suffices: within each zone, and over all zones
// with each held against its own control, since what lies below a zone strikes both sides there. The rate of false alarms is
// divided among all comparisons of all waves.
func compare(rules Rules, waves int, canary, control []sample) (worst Evidence, worse bool) {
	zones := zonesOf(canary)
	threshold := float64(int(signalCount)*(len(zones)+1)*max(1, waves)) / rules.FalseAlarmRate
	note := func(s signal, zone string, x *stratum, excess float64) {
		if ratio := x.likelihoodRatio(); ratio > worst.LikelihoodRatio {
			worst = Evidence{Signal: signalNames[s], Zone: zone, Excess: excess, LikelihoodRatio: ratio, Threshold: threshold}
		}
	}
	for s := range signalCount {
		expectedBad := 0.0
		var all stratum
		for _, zone := range zones {
			x, ok := newStratum(s, inZone(canary, zone), inZone(control, zone), rules.Margin)
			if !ok { // the zone has no control any more, and other zones' servers tell nothing of it
				continue
			}
			expectedBad += x.total * x.maxShare
			all.bad += x.bad
			all.total += x.total
			if len(zones) > 1 {
				note(s, zone, &x, x.bad/x.total-x.maxShare)
			}
		}
		if all.total > 0 {
			all.maxShare = expectedBad / all.total
			note(s, "", &all, (all.bad-expectedBad)/all.total)
		}
	}
	return worst, worst.LikelihoodRatio >= threshold
}

// zonesOf returns the zones of some servers, sorted.
func zonesOf(side []sample) (zones []string) {
	for i := range side {
		if !slices.Contains(zones, side[i].zone) {
			zones = append(zones, side[i].zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// inZone returns the servers of a zone.
func inZone(side []sample, zone string) (servers []sample) {
	for _, x := range side {
		if x.zone == zone {
			servers = append(servers, x)
		}
	}
	return servers
}

const (
	// baselineMargin is by how much the control group may become worse than the baseline before the environment is blamed.
	baselineMargin = 0.05
	// minBaselineRPCs of a signal are needed on either side of that comparison.
	minBaselineRPCs = 50
	// baselineDeviations is how many standard errors that difference must exceed.
	baselineDeviations = 4
)

// controlDegraded describes by what the control group is worse than the baseline, a fault that lies elsewhere than in the
// version; "" if it is not worse.
func controlDegraded(baseline Counts, control []sample) string {
	for s := range signalCount {
		bad0, total0 := baseline.signal(s)
		bad1, total1 := sum(s, control)
		if total0 < minBaselineRPCs || total1 < minBaselineRPCs {
			continue
		}
		share := (bad0 + bad1 + 1) / (total0 + total1 + 2)
		deviation := math.Sqrt(share * (1 - share) * (1/total0 + 1/total1))
		if excess := bad1/total1 - bad0/total0; excess > baselineMargin && excess > baselineDeviations*deviation {
			return fmt.Sprintf("those without the version are worse, too: %s by %.3g", signalNames[s], excess)
		}
	}
	return ""
}

const (
	// maxMemoryRatio times the memory of the control's largest server is too much, beyond memorySpareMB for what differs anyway.
	maxMemoryRatio = 1.5
	memorySpareMB  = 32.0
	// maxGrowthRatio times the largest growth in the control over the same minutes is a leak, beyond growthSpareMB for the
	// heap that a new version has just filled.
	maxGrowthRatio = 2.0
	growthSpareMB  = 12.0
)

// memoryUse is a server's resident size, and how much of it came since the wave runs the version.
type memoryUse struct {
	name                string
	residentMB, grownMB float64
}

// excessMemory describes a server with the version that has far more memory than any without it, or grows far faster; "" if
// there is none.
func excessMemory(canary, control []memoryUse) string {
	if len(control) == 0 {
		return ""
	}
	maxResident, maxGrown := 0.0, 0.0
	for _, x := range control {
		maxResident = math.Max(maxResident, x.residentMB)
		maxGrown = math.Max(maxGrown, x.grownMB)
	}
	for _, x := range canary {
		if x.residentMB > maxMemoryRatio*maxResident+memorySpareMB {
			return fmt.Sprintf("%s has %.0f MB, the others up to %.0f", x.name, x.residentMB, maxResident)
		}
		if x.grownMB > maxGrowthRatio*maxGrown+growthSpareMB {
			return fmt.Sprintf("%s has grown by %.0f MB, the others by up to %.0f", x.name, x.grownMB, maxGrown)
		}
	}
	return ""
}
