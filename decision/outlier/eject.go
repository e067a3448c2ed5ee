package outlier

// This file ejects members, the worst first, while enough members stay in use.

import (
	"cmp"
	"math"
	"slices"

	"sorrelvalve/decision/evidence"
)

const (
	othersFactor        = 2.0    // a member below this multiple of the others' failure fraction is not an outlier
	softMinInUse        = 0.75   // minimum fraction of members in use when ejecting for latency or Retry-After
	maxEjectionFactor   = 2.0    // maximum ejection time as a multiple of BaseEjectionTime
	resetFactor         = 4.0    // multiple of the last ejection time after which the ejection time is reset to its base
	inheritPeriod       = 6000.0 // ms after start during which a server adopts the ejections of most of its peers
	healthCheckInterval = 1000.0 // ms, initial interval; doubles after each health check

	maxHealthCheckInterval     = 4000.0 // ms
	successHealthCheckInterval = 300.0  // ms, after a success
)

// updateEjections restores members whose ejection has ended, and ejects the worst ones.
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
	if allFailing && len(d.members) > 0 { // if all members fail, all stay in use
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

// updateHealthChecks sets whether this server sends health checks to a member, and shortens their interval after a success.
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

// candidates returns the members to eject, the worst first. It sets the condition of members that fail no more than the
// others to AllFailing, and that of members whose ejection it adopts from the peers to Inherited.
func (d *Detector) candidates(now float64, observers []Report) []*Member {
	var worst []*Member
	for _, m := range d.members {
		if m.Condition == Failing && m.FailureFraction < othersFactor*d.othersFailureFraction(m) { // no worse than the others, as under a common overload
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

// inherits reports whether this server, having just started, adopts the ejection of a member from its peers.
func (d *Detector) inherits(now float64, m *Member, observers []Report) bool {
	return d.complete &&
		now-d.startedAt < inheritPeriod &&
		math.IsInf(m.Since, -1) &&
		m.Condition != Healthy &&
		ejectedByMost(m.Name, observers)
}

// ejectedByMost reports whether most of the peers with a fresh report have ejected a member.
func ejectedByMost(name string, observers []Report) bool {
	ejected := 0
	total := 0
	for i := range observers[1:] {
		o := &observers[1+i]
		if o.Age > freshAge {
			continue
		}
		total++
		if slices.Contains(o.Ejected, name) {
			ejected++
		}
	}
	return ejected >= minObservers && 2*ejected > total
}

// othersFailureFraction returns the lower quartile of the failure fractions of the other members in use, as the baseline
// that a member is compared with.
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

// eject ejects a member if enough members stay in use without it.
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
	if now-m.Since > resetFactor*m.ejectionTime {
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
