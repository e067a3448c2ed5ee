// Package outlier implements outlier detection and ejection for the members of a pool.
//
// From this server's own statistics and those that its peers gossip (package evidence), it decides per member whether
// to eject it fleet-wide (it fails as seen from the whole fleet), only for this server or its zone (only the path to it
// fails), or not at all (all members fail alike). Servers that received the same statistics eject the same members, the
// worst first, and never more than the configured fraction of the pool. The package also assigns which servers send
// health checks to an ejected member, and which fraction of traffic a member gets while it returns from ejection. Reports
// of a peer that is no longer in contact never keep a member ejected.
//
// All times are milliseconds as float64. The package is pure: it does no I/O, reads no clock (callers pass times) and
// starts no goroutine. A Detector is not safe for concurrent use; its owner must serialise calls.
//
// The base ejection time, the maximum ejected fraction and the ramp after an ejection follow Envoy's outlier detection;
// the evaluation of reports from a whole fleet does not.
package outlier

import (
	"cmp"
	"math"
	"slices"

	"sorrelvalve/decision/evidence"
)

// Config holds the settings of one pool. Times are in ms.
type Config struct {
	MinInUseFraction    float64 // minimum fraction of members in use, regardless of the reports
	LatencyFactor       float64 // multiple of the pool's median latency above which a member is slow; 0 disables
	ConsecutiveFailures int     // number seen by this server on which it ejects without other evidence; 0 disables
	BaseEjectionTime    float64 // duration of a first ejection; doubled if the member is soon ejected again
	RecoveryRamp        float64 // time over which a returning member's traffic grows to its full amount
}

// CompletePeriod is the time in ms for which the cluster must have been complete before a server acts on the reports of
// its peers. Failures are reported sooner than successes, so that right after a partition heals, reports of failures have
// arrived and those that refute them have not.
const CompletePeriod = 3000.0

// Detector is one server's view of one pool.
type Detector struct {
	config     Config
	self, zone string
	startedAt  float64
	members    []*Member // sorted by name
	events     []Member  // not returned by Events yet
	complete   bool      // whether the cluster was complete at the last evaluation

	opinions  []opinion // buffer reused between evaluations
	fractions []float64 // likewise
}

// New returns a Detector for the server named self, with no member ejected.
func New(config Config, self, zone string, members []string, now float64) *Detector {
	d := &Detector{self: self, zone: zone, startedAt: now}
	d.Update(config, members)
	return d
}

// Update replaces the configuration and the list of members. Remaining members keep their state; new members are in use.
func (d *Detector) Update(config Config, members []string) {
	d.config = config
	d.members = slices.DeleteFunc(d.members, func(m *Member) bool { return !slices.Contains(members, m.Name) })
	for _, name := range members {
		if !slices.ContainsFunc(d.members, func(m *Member) bool { return m.Name == name }) {
			d.members = append(d.members, &Member{Name: name, Since: math.Inf(-1)})
		}
	}
	slices.SortFunc(d.members, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
}

// SetDrained sets the members that an operator has drained, which are kept out of use. They count as ejected against
// Config.MinInUseFraction. A member that is no longer drained returns with a ramp like one that was ejected. If members
// contains the whole pool, none is drained.
func (d *Detector) SetDrained(now float64, members []string) {
	if !slices.ContainsFunc(d.members, func(m *Member) bool { return !slices.Contains(members, m.Name) }) {
		members = nil
	}
	for _, m := range d.members {
		drained := slices.Contains(members, m.Name)
		if drained == m.drained {
			continue
		}
		m.drained = drained
		if !drained {
			d.restore(m, now)
			continue
		}
		m.Ejected = true
		m.Since = now
		m.EjectedUntil = math.Inf(1)
		m.Condition = Drained
		m.HealthChecker = false
		m.returnsAt = 0
		m.performanceOnly = false
		d.events = append(d.events, *m)
	}
}

// Evaluate classifies all members and ejects or restores them. It uses the server's own summaries and, if the cluster is
// complete, the reports of its peers. reachable holds the names of the reachable peers.
func (d *Detector) Evaluate(now float64, own []evidence.Summary, peers []Report, reachable []string, complete bool) {
	if !complete {
		peers = nil // in a partition, a server uses only its own observations
	} else if !d.complete {
		d.clearEjections() // ejections made on local evidence are decided again on the evidence of the whole fleet
	}
	d.complete = complete
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Report) int { return cmp.Compare(a.Origin, b.Origin) })
	observers := append([]Report{{Origin: d.self, Zone: d.zone, Summaries: own}}, peers...)
	trust := make([]float64, len(observers))
	zones := map[string]bool{}
	for i := range observers {
		trust[i] = credibility(&observers[i])
		zones[observers[i].Zone] = true
	}
	for _, m := range d.members {
		if m.drained {
			m.Condition = Drained
			m.EvidenceWeight = 0
			m.FailureFraction = 0
			continue
		}
		d.classify(m, observers, trust, min(len(zones), 2))
	}
	d.updateEjections(now, observers, reachable)
}

// clearEjections puts all ejected members back in use at once, except drained ones.
func (d *Detector) clearEjections() {
	for _, m := range d.members {
		if m.Ejected && !m.drained {
			m.Ejected = false
			m.Since = math.Inf(-1)
			m.HealthChecker = false
			m.returnsAt = 0
			d.events = append(d.events, *m)
		}
	}
}

// Members returns all members sorted by name. The slice and its elements belong to the Detector and must not be changed.
func (d *Detector) Members() []*Member { return d.members }

// Events returns the members that were ejected or restored since the last call, each as it was right after the change.
func (d *Detector) Events() []Member {
	events := d.events
	d.events = nil
	return events
}
