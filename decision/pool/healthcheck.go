package pool

// DueHealthChecks returns the members whose active health check is due. The caller must run each check and report its
// result to RecordHealthCheck; until then the member is not returned again.
func (p *Pool) DueHealthChecks(now float64) (ids []int) {
	if p.config.HealthCheckInterval <= 0 {
		return nil
	}
	for _, m := range p.members {
		if !m.removed && !m.healthCheckInFlight && now >= m.nextHealthCheck {
			m.healthCheckInFlight = true
			ids = append(ids, m.id)
		}
	}
	return ids
}

// RecordHealthCheck records the result of an active health check. Consecutive failures eject the member, and an ejected
// member returns only after a successful check.
func (p *Pool) RecordHealthCheck(now float64, id int, healthy bool) {
	m := p.member(id)
	if m == nil {
		return
	}
	jitter := 1 - healthCheckJitter + 2*healthCheckJitter*p.random.Float64()
	m.healthCheckInFlight = false
	m.nextHealthCheck = now + p.config.HealthCheckInterval*jitter
	if m.ejection != NotEjected {
		m.passedHealthCheck = m.passedHealthCheck || healthy
		return
	}
	if healthy { // does not reset the failures in a row: requests tell more about a member than a check does
		return
	}
	m.failuresInARow++
	if p.config.ConsecutiveFailures > 0 && m.failuresInARow >= p.config.ConsecutiveFailures {
		p.eject(now, m, HealthCheckFailed)
	}
}
