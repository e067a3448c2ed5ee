package release

// This file owns how a wave is compared with the servers that do not have the version yet, in the same minutes: by shares of bad ends,
// with a sequential test that may be looked at at any time, by memory, and by crashes. It must never blame a version for what
// strikes both sides, nor take the spread that servers have among themselves for a difference.

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mathext"
)

// Signals are the shares that are compared.
const (
	signalFailed         = iota // of all RPCs: aborted, or failed
	signalRejected              // of all: pushed back
	signalLate                  // of all: answered past their latency target
	signalCriticalFailed        // of the most critical method's: anything but ok
	signalCount
)

var signalNames = [signalCount]string{"failed", "pushed back", "late", "the most critical method not served"}

// Counts are of one server since it runs a version, warm.
type Counts struct {
	Total          float64 `json:"all"`
	Failed         float64 `json:"failed,omitempty"`
	Rejected       float64 `json:"pushed,omitempty"`
	Late           float64 `json:"late,omitempty"`
	Critical       float64 `json:"top,omitempty"`     // of the most critical method
	CriticalFailed float64 `json:"top_bad,omitempty"` // and not ok
}

func (c *Counts) signal(signal int) (bad, n float64) {
	switch signal {
	case signalFailed:
		return c.Failed, c.Total
	case signalRejected:
		return c.Rejected, c.Total
	case signalLate:
		return c.Late, c.Total
	}
	return c.CriticalFailed, c.Critical
}

func (c *Counts) add(d Counts) {
	c.Total, c.Failed, c.Rejected, c.Late, c.Critical, c.CriticalFailed = c.Total+d.Total, c.Failed+d.Failed, c.Rejected+d.Rejected, c.Late+d.Late, c.Critical+d.Critical, c.CriticalFailed+d.CriticalFailed
}

// minus is what came since before; nothing if the counts began anew, or make no sense.
func (c Counts) minus(before Counts) (d Counts) {
	d = Counts{c.Total - before.Total, c.Failed - before.Failed, c.Rejected - before.Rejected, c.Late - before.Late, c.Critical - before.Critical, c.CriticalFailed - before.CriticalFailed}
	if !(d.Total >= 0 && d.Failed >= 0 && d.Rejected >= 0 && d.Late >= 0 && d.Critical >= 0 && d.CriticalFailed >= 0 && d.Total < 1e12) ||
		d.Failed > d.Total || d.Rejected > d.Total || d.Late > d.Total || d.Critical > d.Total || d.CriticalFailed > d.Critical {
		return Counts{}
	}
	return d
}

// sample is one server's counts on one side.
type sample struct {
	zone   string
	counts Counts
}

// leastServers behind a spread between servers; with fewer, a difference of one server from another is not told from the version's.
const minServers = 2

// stratum is what a version without fault may come to among some servers: the share of bad ends of those without it, with the margin,
// and with what that share is uncertain by and servers differ by among themselves, threefold: one server that is always a little
// worse is no reason.
func worstExpected(signal int, fresh, old []sample, margin float64) (may, bad, n float64, ok bool) {
	for i := range fresh {
		b, m := fresh[i].counts.signal(signal)
		bad, n = bad+b, n+m
	}
	bad0, n0 := 0.0, 0.0
	for i := range old {
		b, m := old[i].counts.signal(signal)
		bad0, n0 = bad0+b, n0+m
	}
	if n == 0 || n0 == 0 {
		return 0, 0, 0, false
	}
	p := (bad0 + 0.5) / (n0 + 1) // a share is never taken for surely nothing
	variance := p * (1 - p) / n0
	if between, servers := varianceBetween(signal, old); servers >= minServers {
		variance += between * (1/float64(len(fresh)) + 1/float64(servers))
	}
	return math.Min(1, bad0/n0+margin+3*math.Sqrt(variance)), bad, n, true
}

// likelier is how many times likelier so many bad ends are with any larger share, all held alike, than with the largest that a version
// without fault may have: a test martingale (Ville 1939; Robbins 1970 for mixtures), which passes 1/a with a chance of a at the
// most over all times that it is looked at. It is exact for few ends, where a normal form calls one in seven a proof.
func likelihoodRatio(may, bad, n float64) float64 {
	if !(bad > may*n) || may >= 1 {
		return 0
	}
	a, b := bad+1, n-bad+1
	la, _ := math.Lgamma(a)
	lb, _ := math.Lgamma(b)
	lab, _ := math.Lgamma(a + b)
	over := 1 - mathext.RegIncBeta(a, b, may)
	if over <= 0 {
		return 0
	}
	log := la + lb - lab + math.Log(over) - math.Log(1-may) - bad*math.Log(may) - (n-bad)*math.Log(1-may)
	return math.Exp(math.Min(600, log))
}

// spread is the variance of a share between servers beyond what chance does (moments of the one-way layout).
func varianceBetween(signal int, side []sample) (variance float64, servers int) {
	bad, n, squares := 0.0, 0.0, 0.0
	for i := range side {
		if b, m := side[i].counts.signal(signal); m > 0 {
			bad, n, squares, servers = bad+b, n+m, squares+m*m, servers+1
		}
	}
	if servers < minServers {
		return 0, servers
	}
	p := bad / n
	between := 0.0
	for i := range side {
		if b, m := side[i].counts.signal(signal); m > 0 {
			between += m * (b/m - p) * (b/m - p)
		}
	}
	chance := p * (1 - p) * float64(servers-1)
	weight := n - squares/n
	if weight <= 0 {
		return 0, servers
	}
	return math.Max(0, (between-chance)/weight), servers
}

// Evidence is one comparison, for the operator.
type Evidence struct {
	Signal          string  `json:"signal"`
	Zone            string  `json:"zone,omitempty"` // "" for all
	Excess          float64 `json:"worse"`          // by this share more than it may be
	LikelihoodRatio float64 `json:"ratio"`          // times likelier with a difference
	Threshold       float64 `json:"wanted"`         // from which the version is worse
}

// compare tells the strongest evidence against the version: within each zone, and over all zones, each held against its own, since what
// lies below a zone strikes both sides there. The alarm rate is parted among all comparisons of all waves.
func compare(r Rules, waves int, fresh, old []sample) (worst Evidence, worse bool) {
	var zones []string
	for i := range fresh {
		if !slices.Contains(zones, fresh[i].zone) {
			zones = append(zones, fresh[i].zone)
		}
	}
	slices.Sort(zones)
	in := func(side []sample, zone string) (some []sample) {
		for _, x := range side {
			if x.zone == zone {
				some = append(some, x)
			}
		}
		return some
	}
	wanted := float64(signalCount*(len(zones)+1)*max(1, waves)) / r.FalseAlarmRate
	note := func(e Evidence) {
		if e.LikelihoodRatio > worst.LikelihoodRatio {
			worst = e
		}
	}
	for s := range signalCount {
		may, bad, n := 0.0, 0.0, 0.0
		for _, zone := range zones {
			q, k, m, ok := worstExpected(s, in(fresh, zone), in(old, zone), r.Margin)
			if !ok { // nobody of the zone is without it any more: another zone's servers tell nothing of this one
				continue
			}
			may, bad, n = may+m*q, bad+k, n+m
			if len(zones) > 1 {
				note(Evidence{signalNames[s], zone, k/m - q, likelihoodRatio(q, k, m), wanted})
			}
		}
		if n > 0 {
			note(Evidence{signalNames[s], "", (bad - may) / n, likelihoodRatio(may/n, bad, n), wanted})
		}
	}
	return worst, worst.LikelihoodRatio >= wanted
}

const (
	// bothMargin is by how much the servers without the version may become worse than before it came, before nobody is blamed.
	baselineMargin = 0.05
	// mostMemory times what the others have is too much, with memorySpare MB for what differs anyway.
	maxMemoryRatio = 1.5
	memorySpareMB  = 32.0
	// mostStarts of a server on a version within its wave: the one that took it, and no more than one other.
	maxStarts = 2
	// mostGrowth times what any of the others grew by in the same minutes is a leak, with growthSpare MB for a heap that a new
	// version has just filled.
	maxGrowthRatio = 2.0
	growthSpareMB  = 12.0
)

// bothWorse tells a fault that lies elsewhere: those without the version are worse than all were before.
func controlDegraded(base Counts, old []sample) (string, bool) {
	var now Counts
	for i := range old {
		now.add(old[i].counts)
	}
	for s := range signalCount {
		b0, n0 := base.signal(s)
		b1, n1 := now.signal(s)
		if n0 < 50 || n1 < 50 {
			continue
		}
		p := (b0 + b1 + 1) / (n0 + n1 + 2)
		if d := b1/n1 - b0/n0; d > baselineMargin && d > 4*math.Sqrt(p*(1-p)*(1/n0+1/n1)) {
			return fmt.Sprintf("those without the version are worse, too: %s by %.3g", signalNames[s], d), true
		}
	}
	return "", false
}

// weight is what a server has resident, and by how much that has grown in this wave's minutes, in MB.
type memoryUse struct {
	name                string
	residentMB, grownMB float64
}

// heavy names a server with the version that has far more memory than any without it, or grows far faster.
func excessMemory(fresh, old []memoryUse) string {
	if len(old) == 0 {
		return ""
	}
	most, grew := 0.0, 0.0
	for _, w := range old {
		most, grew = math.Max(most, w.residentMB), math.Max(grew, w.grownMB)
	}
	for _, w := range fresh {
		if w.residentMB > maxMemoryRatio*most+memorySpareMB {
			return fmt.Sprintf("%s has %.0f MB, the others up to %.0f", w.name, w.residentMB, most)
		}
		if w.grownMB > maxGrowthRatio*grew+growthSpareMB {
			return fmt.Sprintf("%s has grown by %.0f MB, the others by up to %.0f", w.name, w.grownMB, grew)
		}
	}
	return ""
}
