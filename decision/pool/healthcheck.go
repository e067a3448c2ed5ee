package pool

// Checks are the members whose active check is due. Each is to be told by Checked.
func (p *Pool) Checks(now float64) (ids []int) {
	if p.rules.Check <= 0 {
		return nil
	}
	for _, m := range p.members {
		if !m.gone && !m.checking && now >= m.checkAt {
			m.checking = true
			ids = append(ids, m.id)
		}
	}
	return ids
}

// Checked is the end of an active check.
func (p *Pool) Checked(now float64, id int, good bool) {
	m := p.member(id)
	if m == nil {
		return
	}
	// Spread by chance, so that a fleet of servers does not check a member all at once.
	m.checking, m.checkAt = false, now+p.rules.Check*(0.75+0.5*p.random.Float64())
	switch {
	case m.out != Sound:
		m.passed = m.passed || good
	case good:
		// A check is no traffic: what RPCs say of the member counts for more.
	default:
		if m.fails++; p.rules.Failures > 0 && m.fails >= p.rules.Failures {
			p.eject(now, m, Checked)
		}
	}
}
