package outlier

// This file defines what servers tell one another about a pool, and when that is urgent.

import (
	"math"
	"slices"

	"sorrelvalve/decision/evidence"
)

// Report is what one server tells about a pool.
type Report struct {
	Origin, Zone string
	Age          float64 // ms since it was received
	Summaries    []evidence.Summary
	Ejected      []string // members that it has ejected
	Recoveries   []Recovery
}

// Recovery is a member that returns from ejection.
type Recovery struct {
	Member  string
	Elapsed float64 // ms since its return began; below 0: until it begins
}

// MinElapsed is the least that a Recovery may report.
const MinElapsed = -returnNotice

// refuters is how many servers of a fleet answer an accusation with their own good evidence, at each evaluation: enough to
// weigh against a few accusers, and few beside all.
const refuters = 8.0

// Latency is urgent from four times the pool's median on, with so many samples behind it.
const (
	urgentLogLatencyRatio = 2 * math.Ln2
	urgentLatencySamples  = 0.5
)

// Urgent tells whether what this server observed must be reported soon: a member fails, or is slow.
func Urgent(own []evidence.Summary) bool {
	return slices.ContainsFunc(own, func(s evidence.Summary) bool {
		return s.Run < 0 && s.Age < freshAge || s.LatencySamples > urgentLatencySamples && s.LogLatencyRatio > urgentLogLatencyRatio
	})
}

// ShouldRefute tells whether this server must report its own good evidence on a member that others accuse. random, drawn
// from [0, 1) by the caller, selects a few of the servers.
func (d *Detector) ShouldRefute(own []evidence.Summary, random float64, servers int) bool {
	if random >= refuters/float64(max(1, servers)) {
		return false
	}
	for _, m := range d.members {
		if len(m.Accusers) > 0 && slices.ContainsFunc(own, func(s evidence.Summary) bool { return s.Member == m.Name && s.Run > 0 && s.Age < freshAge }) {
			return true
		}
	}
	return false
}

// Announcement is what this server reports beside its summaries: the members that it has ejected, and those that return.
func (d *Detector) Announcement(now float64) (ejected []string, recoveries []Recovery) {
	for _, m := range d.members {
		if m.Ejected {
			ejected = append(ejected, m.Name)
			if m.returnsAt != 0 {
				recoveries = append(recoveries, Recovery{Member: m.Name, Elapsed: now - m.returnsAt})
			}
		} else if now-m.Since < d.config.RecoveryRamp {
			recoveries = append(recoveries, Recovery{Member: m.Name, Elapsed: now - m.Since})
		}
	}
	return ejected, recoveries
}
