// Package outlier implements outlier detection and ejection for the members of a pool.
//
// From this server's own statistics and those that its peers gossip (package evidence), it decides per member whether
// to eject it fleet-wide (it fails wherever it is seen from), only for this server or its zone (only the path to it
// fails), or not at all (all members are equally bad). Servers that received the same statistics eject the same
// members, the worst first, and never more than the configured fraction of the pool. It also assigns which server sends
// health checks to an ejected member, and which fraction of traffic a member gets while it returns from ejection. An
// ejection is never kept on the word of a peer that is no longer heard.
//
// All times are milliseconds as float64. The package is pure: it does no I/O, reads no clock (callers pass times) and
// starts no goroutine. A Detector is not safe for concurrent use; its owner must serialise calls.
//
// Ejection with a base time, a maximum ejected fraction and a return by a ramp is that of Envoy's outlier detection;
// judging by what a whole fleet reports is this package's own.
package outlier

import (
	"cmp"
	"math"
	"slices"

	"sorrelvalve/decision/evidence"
)

// Config holds the settings of one pool. Times are ms.
type Config struct {
	MinInUseFraction    float64 // of the members that stay in use, whatever is reported of them
	LatencyFactor       float64 // times the others' latency, from which a member is slow; 0 for never
	ConsecutiveFailures int     // that this server must observe to act on its own evidence alone; 0 for never
	BaseEjectionTime    float64 // of a first ejection; doubles each time that a member is soon ejected again
	RecoveryRamp        float64 // over which a returning member's traffic grows to all of it
}

// CompletePeriod is for how many ms the cluster must have been complete before a server acts on what peers report: right
// after a partition heals those that accuse have reported, and those that can refute have not yet.
const CompletePeriod = 3000.0

// Detector is one server's view of one pool.
type Detector struct {
	config     Config
	self, zone string
	startedAt  float64
	members    []*Member // by name
	events     []Member
	complete   bool // at the last evaluation

	opinions  []opinion // scratch space, kept between evaluations
	fractions []float64 // likewise
}

// New returns a Detector that has ejected nobody, for the server called self.
func New(config Config, self, zone string, members []string, now float64) *Detector {
	d := &Detector{self: self, zone: zone, startedAt: now}
	d.Update(config, members)
	return d
}

// Update applies another configuration and list of members. Those that stay keep their condition; a new one is in use.
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

// SetDrained keeps the members out of use that an operator drains, and no others for that. They use up what the pool may
// spare before any is ejected; one that is no longer drained returns by its ramp, over the whole fleet, as others do.
// Where all would be drained, none is.
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

// Evaluate classifies all members and ejects or restores them: by the server's own summaries, and by the peers' reports
// if the cluster is complete. reachable are the names of the reachable peers.
func (d *Detector) Evaluate(now float64, own []evidence.Summary, peers []Report, reachable []string, complete bool) {
	if !complete {
		peers = nil // in a partition, a server acts on what it observed itself
	} else if !d.complete {
		d.forgetEjections() // and what it did so is decided anew by what all observed
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

// forgetEjections puts all members back in use at once but those that are drained.
func (d *Detector) forgetEjections() {
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

// Members returns all members by name. They are the detector's own and must not be changed.
func (d *Detector) Members() []*Member { return d.members }

// Events returns the members that were ejected or restored since the last call, as they were then.
func (d *Detector) Events() []Member {
	events := d.events
	d.events = nil
	return events
}
