package outlier

// This file ejects members, the worst first, within what the pool may spare.

import (
	"cmp"
	"math"
	"slices"

	"sorrelvalve/decision/evidence"
)

const (
	othersFactor        = 2.0    // times the evidence against the better members, under which a member is no worse than they are
	softMinInUse        = 0.75   // of the members stay in use whatever their latency or advice suggests
	maxEjectionFactor   = 2.0    // times BaseEjectionTime
	calmFactor          = 4.0    // times the last ejection without another, after which the next is a first again
	inheritPeriod       = 6000.0 // ms after its start for which a server takes over what most others have ejected
	healthCheckInterval = 1000.0 // ms, at first; twice as long after each one that failed

	maxHealthCheckInterval     = 4000.0
	successHealthCheckInterval = 300.0 // after a success
)

// updateEjections restores members whose ejection is over, and ejects the worst.
func (d *Detector) updateEjections(now float64, observers []Report, reachable []string) {
	allFailing := true
	for _, m := range d.members {
		allFailing = allFailing && (m.Condition == Failing || m.Condition == FailingLocally || m.drained)
	}
	for _, m := range d.members {
		if m.drained {
			continue
		}
		d.updateHealthChecks(m, observers[0].Summaries, reachable)
		switch {
		case !m.Ejected:
		case allFailing && len(d.members) > 1:
			d.restore(m, now)
		default:
			d.updateRecovery(now, m, observers)
		}
	}
	if allFailing && len(d.members) > 0 { // if all fail at once, all are used
		for _, m := range d.members {
			if !m.drained {
				m.Condition = AllFailing
			}
		}
		return
	}
	for _, m := range d.candidates(now, observers) {
		d.eject(now, m, reachable)
	}
}

// updateHealthChecks sets whether this server sends health checks to a member, and how soon the next one after a success.
func (d *Detector) updateHealthChecks(m *Member, own []evidence.Summary, reachable []string) {
	m.HealthChecker = m.Ejected && d.isHealthChecker(m.Name, reachable)
	if !m.Ejected {
		return
	}
	k := slices.IndexFunc(own, func(s evidence.Summary) bool { return s.Member == m.Name && s.Run > 0 })
	if k >= 0 && own[k].Age < healthCheckInterval {
		m.healthCheckInterval = successHealthCheckInterval
	}
}

// candidates returns the members to eject, the worst first.
func (d *Detector) candidates(now float64, observers []Report) []*Member {
	var worst []*Member
	for _, m := range d.members {
		if m.Condition == Failing && m.FailureFraction < othersFactor*d.othersFailureFraction(m) { // as the others, under a load that all bear
			m.Condition = AllFailing
		}
		switch {
		case m.Ejected:
		case m.Condition == Failing || m.Condition == FailingLocally || m.Condition == Slow || m.Condition == Busy:
			worst = append(worst, m)
		case d.inherits(now, m, observers):
			m.Condition = Inherited
			worst = append(worst, m)
		}
	}
	slices.SortStableFunc(worst, func(a, b *Member) int {
		return cmp.Or(
			cmp.Compare(a.Condition.ejectionRank(), b.Condition.ejectionRank()),
			cmp.Compare(b.FailureFraction, a.FailureFraction),
			cmp.Compare(b.EvidenceWeight, a.EvidenceWeight),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return worst
}

// inherits tells whether a server that has just started takes over the ejection of a member from the others.
func (d *Detector) inherits(now float64, m *Member, observers []Report) bool {
	return d.complete &&
		now-d.startedAt < inheritPeriod &&
		math.IsInf(m.Since, -1) &&
		m.Condition != Healthy &&
		ejectedByMost(m.Name, observers)
}

// ejectedByMost tells whether most of the peers with a fresh report have ejected a member.
func ejectedByMost(name string, observers []Report) bool {
	ejected := 0
	all := 0
	for i := range observers[1:] {
		o := &observers[1+i]
		if o.Age > freshAge {
			continue
		}
		all++
		if slices.Contains(o.Ejected, name) {
			ejected++
		}
	}
	return ejected >= minObservers && 2*ejected > all
}

// othersFailureFraction is what the evidence holds against the better ones of the other members in use: the lower
// quartile.
func (d *Detector) othersFailureFraction(except *Member) float64 {
	fractions := d.fractions[:0]
	for _, m := range d.members {
		if m != except && !m.Ejected {
			fractions = append(fractions, m.FailureFraction)
		}
	}
	d.fractions = fractions
	if len(fractions) == 0 {
		return 0
	}
	slices.Sort(fractions)
	return fractions[len(fractions)/4]
}

// eject ejects a member if the pool can spare one more.
func (d *Detector) eject(now float64, m *Member, reachable []string) {
	ejected := 0
	for _, o := range d.members {
		if o.Ejected {
			ejected++
		}
	}
	minInUse := d.config.MinInUseFraction
	m.performanceOnly = m.Condition == Slow || m.Condition == Busy
	if m.performanceOnly {
		minInUse = math.Max(minInUse, softMinInUse)
	}
	total := float64(len(d.members))
	if total-float64(ejected)-1 < minInUse*total {
		return
	}
	if now-m.Since > calmFactor*m.ejectionTime {
		m.ejectionTime = 0
	}
	base := d.config.BaseEjectionTime
	m.ejectionTime = math.Min(maxEjectionFactor*base, math.Max(base, 2*m.ejectionTime))
	m.Ejected = true
	m.Since = now
	m.EjectedUntil = now + m.ejectionTime
	m.lastHealthCheck = now
	m.healthCheckInterval = healthCheckInterval
	m.HealthChecker = d.isHealthChecker(m.Name, reachable)
	d.events = append(d.events, *m)
}
