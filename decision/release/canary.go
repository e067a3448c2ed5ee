package release

// This file has the canary analysis: the servers that run the version are compared with those that do not have it yet, over
// the same minutes, by their memory and by their shares of bad outcomes. The shares are compared with a sequential test,
// which may be evaluated at any time. The analysis must never blame a version for a fault that affects both sides, nor
// mistake the variance between servers for an effect of the version.

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

// minServers is the smallest number of servers from which the variance between servers can be estimated. With fewer, a
// difference between two servers cannot be distinguished from an effect of the version.
const minServers = 2

// sum returns the number of bad outcomes and the total of a signal over the servers of one side.
func sum(s signal, side []sample) (bad, total float64) {
	for i := range side {
		b, n := side[i].counts.signal(s)
		bad += b
		total += n
	}
	return bad, total
}

// stratum is the comparison of one signal among a group of servers, such as a zone.
type stratum struct {
	maxShare   float64 // of bad outcomes that a version without a fault may have
	bad, total float64 // on the canary side
}

// newStratum compares the two sides within a group of servers. A version without a fault may have the control's share of bad
// outcomes, plus the margin, plus three standard errors. The standard error includes the variance between servers, so that
// a server that is always a little worse does not count against the version. It returns false if one side has no RPCs.
func newStratum(s signal, canary, control []sample, margin float64) (stratum, bool) {
	bad, total := sum(s, canary)
	controlBad, controlTotal := sum(s, control)
	if total == 0 || controlTotal == 0 {
		return stratum{}, false
	}
	share := (controlBad + 0.5) / (controlTotal + 1) // so that the estimate is never exactly 0
	variance := share * (1 - share) / controlTotal
	if between, servers := varianceBetween(s, control); servers >= minServers {
		variance += between * (1/float64(len(canary)) + 1/float64(servers))
	}
	maxShare := math.Min(1, controlBad/controlTotal+margin+3*math.Sqrt(variance))
	return stratum{maxShare: maxShare, bad: bad, total: total}, true
}

// likelihoodRatio returns how many times more likely the observed bad outcomes are under a larger share, mixed uniformly over
// all larger shares, than under the largest share that a version without a fault may have. It is a test martingale (Ville
// 1939; Robbins 1970 for mixtures): the probability that it ever exceeds 1/a is at most a, however often it is evaluated. It
// is exact for few outcomes, for which a normal approximation would give a false alarm in one of seven cases.
func (s *stratum) likelihoodRatio() float64 {
	if !(s.bad > s.maxShare*s.total) || s.maxShare >= 1 {
		return 0
	}
	good := s.total - s.bad
	alpha := s.bad + 1
	beta := good + 1
	logGammaAlpha, _ := math.Lgamma(alpha)
	logGammaBeta, _ := math.Lgamma(beta)
	logGammaSum, _ := math.Lgamma(alpha + beta)
	tail := 1 - mathext.RegIncBeta(alpha, beta, s.maxShare)
	if tail <= 0 {
		return 0
	}
	logRatio := logGammaAlpha + logGammaBeta - logGammaSum + math.Log(tail) - math.Log(1-s.maxShare) -
		s.bad*math.Log(s.maxShare) - good*math.Log(1-s.maxShare)
	return math.Exp(math.Min(maxLogRatio, logRatio))
}

// maxLogRatio bounds the logarithm of a likelihood ratio, so that the ratio stays finite.
const maxLogRatio = 600

// varianceBetween returns the variance of a share between servers in excess of the sampling variance (method of moments for
// the one-way layout), and the number of servers with RPCs.
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

// Evidence is the comparison with the strongest evidence against a version, for the operator.
type Evidence struct {
	Signal          string  `json:"signal"`
	Zone            string  `json:"zone,omitempty"` // "" for all zones together
	Excess          float64 `json:"worse"`          // by how much the share of bad outcomes exceeds the allowed share
	LikelihoodRatio float64 `json:"ratio"`          // of a difference to no difference
	Threshold       float64 `json:"wanted"`         // the ratio from which the version is considered worse
}

// compare returns the strongest evidence against the version, and whether it is sufficient. Each signal is compared within
// each zone, and over all zones with each zone compared to its own control, since a fault of a zone's infrastructure affects
// both sides within the zone. The rate of false alarms is divided among all comparisons of all waves.
func compare(rules Rules, waves int, canary, control []sample) (worst Evidence, worse bool) {
	zones := zonesOf(canary)
	threshold := float64(int(signalCount)*(len(zones)+1)*max(1, waves)) / rules.FalseAlarmRate
	consider := func(s signal, zone string, compared *stratum, excess float64) {
		if ratio := compared.likelihoodRatio(); ratio > worst.LikelihoodRatio {
			worst = Evidence{Signal: signalNames[s], Zone: zone, Excess: excess, LikelihoodRatio: ratio, Threshold: threshold}
		}
	}
	for s := range signalCount {
		expectedBad := 0.0
		var all stratum
		for _, zone := range zones {
			compared, ok := newStratum(s, inZone(canary, zone), inZone(control, zone), rules.Margin)
			if !ok { // the zone has no control left, and servers of other zones are no control for it
				continue
			}
			expectedBad += compared.total * compared.maxShare
			all.bad += compared.bad
			all.total += compared.total
			if len(zones) > 1 {
				consider(s, zone, &compared, compared.bad/compared.total-compared.maxShare)
			}
		}
		if all.total > 0 {
			all.maxShare = expectedBad / all.total
			consider(s, "", &all, (all.bad-expectedBad)/all.total)
		}
	}
	return worst, worst.LikelihoodRatio >= threshold
}

// zonesOf returns the sorted zones of the servers of one side.
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
	for _, server := range side {
		if server.zone == zone {
			servers = append(servers, server)
		}
	}
	return servers
}

const (
	// baselineMargin is by how much the control group may become worse than the baseline before the environment is blamed.
	baselineMargin = 0.05
	// minBaselineRPCs is the number of RPCs of a signal that each side of that comparison needs.
	minBaselineRPCs = 50
	// baselineDeviations is the number of standard errors that the difference must exceed.
	baselineDeviations = 4
)

// controlDegraded describes the signal in which the control group is worse than the baseline; "" if there is none. The cause
// is then a fault elsewhere than in the version.
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
	// Memory above maxMemoryRatio times that of the control's largest server plus memorySpareMB is excessive; the spare
	// allows for the usual differences between servers.
	maxMemoryRatio = 1.5
	memorySpareMB  = 32.0
	// Growth above maxGrowthRatio times the largest growth in the control over the same minutes plus growthSpareMB is a leak;
	// the spare allows for the heap that a newly started version fills.
	maxGrowthRatio = 2.0
	growthSpareMB  = 12.0
)

// memoryUse is a server's resident size, and its growth since the wave has run the version.
type memoryUse struct {
	name                string
	residentMB, grownMB float64
}

// excessMemory describes a server with the version that uses far more memory than any server without it, or whose memory
// grows far faster; "" if there is none.
func excessMemory(canary, control []memoryUse) string {
	if len(control) == 0 {
		return ""
	}
	maxResident, maxGrown := 0.0, 0.0
	for _, use := range control {
		maxResident = math.Max(maxResident, use.residentMB)
		maxGrown = math.Max(maxGrown, use.grownMB)
	}
	for _, use := range canary {
		if use.residentMB > maxMemoryRatio*maxResident+memorySpareMB {
			return fmt.Sprintf("%s has %.0f MB, the others up to %.0f", use.name, use.residentMB, maxResident)
		}
		if use.grownMB > maxGrowthRatio*maxGrown+growthSpareMB {
			return fmt.Sprintf("%s has grown by %.0f MB, the others by up to %.0f", use.name, use.grownMB, maxGrown)
		}
	}
	return ""
}
