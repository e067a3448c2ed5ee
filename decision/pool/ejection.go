package pool

import (
	"math"
)

// Why is the reason a member is out of use; Sound means it is in use.
type Why int

const (
	Sound   Why = iota // in use
	Failing            // consecutive failures
	Slow               // far slower than the rest
	Silent             // work in hand and no answer
	Checked            // active checks
	Judged             // by the fleet
	Aside              // an operator has it drained
)

// String returns the reason as logs and status pages print it; out-of-range values print as the nearest reason.
func (w Why) String() string {
	return [...]string{"sound", "failing", "slow", "silent", "checked", "judged by the fleet", "drained"}[min(max(w, 0), Aside)]
}

// Event is an ejection or a return of a member, for logs and counters. For is the ejection duration in ms, 0 for a
// return or a fleet ejection.
type Event struct {
	Addr string
	Why  Why // Sound: it returned
	For  float64
}

func (p *Pool) updateEjections(now float64) {
	if p.fleetAdmits != nil {
		return
	}
	for _, m := range p.members {
		if m.out != Sound && now >= m.until && (p.rules.Check == 0 || m.passed) {
			p.restore(now, m)
		}
	}
	for _, m := range p.members {
		if !m.usable() {
			continue
		}
		usual := p.usual(m)
		if usual == 0 {
			continue
		}
		switch {
		case p.rules.Outlier > 0 && m.answers >= enough && m.latency > p.rules.Outlier*usual:
			p.eject(now, m, Slow)
		case p.rules.Failures > 0 && m.inFlight > 1 && now-m.quiet > math.Max(leastSilence, silent*math.Max(usual, m.latency)):
			p.eject(now, m, Silent)
		}
	}
}

// eject takes a member out of use, unless too few would be left.
func (p *Pool) eject(now float64, m *member, why Why) {
	if p.fleetAdmits != nil {
		return
	}
	in, all := 0, 0
	for _, o := range p.members {
		if !o.gone {
			all++
			if o.out == Sound && !o.aside {
				in++
			}
		}
	}
	share := p.rules.MinShare
	if why == Slow || why == Silent {
		share = math.Max(share, softShare)
	}
	if float64(in-1) < share*float64(all) {
		return
	}
	if now-m.back > calm*m.length { // it had been sound for a while
		m.length = 0
	}
	m.length = math.Min(longestEject*p.rules.Eject, math.Max(p.rules.Eject, 2*m.length))
	m.out, m.until, m.passed, m.checkAt = why, now+m.length, false, now+m.length
	p.events = append(p.events, Event{m.addr, why, m.length})
}

// refill takes ejected members back, the one first that would return first, where members that went have left too few.
func (p *Pool) refill(now float64) {
	if p.fleetAdmits != nil {
		return
	}
	for {
		var first *member
		in, all := 0, 0
		for _, m := range p.members {
			switch {
			case m.gone:
				continue
			case m.aside:
			case m.out == Sound:
				in++
			case first == nil || m.until < first.until:
				first = m
			}
			all++
		}
		if first == nil || float64(in) >= p.rules.MinShare*float64(all) {
			return
		}
		p.restore(now, first)
	}
}

// restore takes an ejected member back. What it has done before is no longer held against it.
func (p *Pool) restore(now float64, m *member) {
	m.out, m.back, m.fails, m.answers, m.quiet = Sound, now, 0, 0, now
	m.draw = p.random.Float64()
	p.events = append(p.events, Event{Addr: m.addr})
}

// Soonest is the ms until an ejected member may return, 0 if none is ejected: what to tell one that found no room.
func (p *Pool) Soonest(now float64) float64 {
	least := math.Inf(1)
	for _, m := range p.members {
		if !m.gone && m.out != Sound {
			least = math.Min(least, m.until-now)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return math.Max(0, least)
}
