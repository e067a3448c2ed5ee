package outlier

// This file defines the report on a pool that servers send to one another, and when a report is urgent.

import (
	"math"
	"slices"

	"sorrelvalve/decision/evidence"
)

// Report is one server's report on a pool.
type Report struct {
	Origin, Zone string
	Age          float64 // ms since the report was received
	Summaries    []evidence.Summary
	Ejected      []string // members ejected by the server
	Recoveries   []Recovery
}

// Recovery describes a member's return from ejection.
type Recovery struct {
	Member  string
	Elapsed float64 // ms since the return started; negative: ms until it starts, negated
}

// MinElapsed is the lowest valid value of Recovery.Elapsed.
const MinElapsed = -returnNotice

// refuters is the expected number of servers that report successes at each evaluation while others report failures of a
// member: enough to outweigh a few accusers, and few compared with the whole fleet.
const refuters = 8.0

// A report on latency is urgent above four times the pool's median, with more than urgentLatencySamples samples.
const (
	urgentLogLatencyRatio = 2 * math.Ln2
	urgentLatencySamples  = 0.5
)

// Urgent reports whether this server's observations must be reported soon because a member fails or is slow.
func Urgent(own []evidence.Summary) bool {
	return slices.ContainsFunc(own, func(s evidence.Summary) bool {
		return s.Run < 0 && s.Age < freshAge || s.LatencySamples > urgentLatencySamples && s.LogLatencyRatio > urgentLogLatencyRatio
	})
}

// ShouldRefute reports whether this server must report its own successes with a member for which others report failures.
// random, which the caller draws uniformly from [0, 1), selects a few of the servers.
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

// Announcement returns the part of this server's report beside its summaries: the members that it has ejected, and those
// that are returning from ejection.
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
