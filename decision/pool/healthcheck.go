package pool

// Checks are the members whose active check is due. Each is to be told by Checked.
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

// Checked is the end of an active check.
func (p *Pool) RecordHealthCheck(now float64, id int, good bool) {
	m := p.member(id)
	if m == nil {
		return
	}
	// Spread by chance, so that a fleet of servers does not check a member all at once.
	m.healthCheckInFlight, m.nextHealthCheck = false, now+p.config.HealthCheckInterval*(0.75+0.5*p.random.Float64())
	switch {
	case m.ejection != NotEjected:
		m.passedHealthCheck = m.passedHealthCheck || good
	case good:
		// A check is no traffic: what RPCs say of the member counts for more.
	default:
		if m.failuresInARow++; p.config.ConsecutiveFailures > 0 && m.failuresInARow >= p.config.ConsecutiveFailures {
			p.eject(now, m, HealthCheckFailed)
		}
	}
}
