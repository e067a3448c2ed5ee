package control

import (
	"fmt"
	"math"
	"testing"
)

// This file checks the rules that decisions must never break, after every event of a simulated node that gives random
// settings and events, among them ones out of order, for unknown ids and twice.

// answerSlack is the time in ms after its deadline in which an answer still counts.
const answerSlack = 60.0

func (m *simulatedNode) violate(format string, a ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("at %.0f ms: ", m.now) + fmt.Sprintf(format, a...)
	}
}

// check tests the rules that hold at each moment.
func (m *simulatedNode) check() {
	kb, running := 0.0, 0
	for _, t := range m.attempts {
		switch t.state {
		case isQueued, isJoined:
			kb += t.memoryKB
		case isRunning:
			running++
			fallthrough
		default:
			kb += t.memoryKB * m.setup.node.RunMemoryFactor
		}
		if !t.done && m.now > math.Max(t.deadline, m.stalledUntil)+answerSlack {
			m.violate("lost: RPC %d, due at %.0f, has no answer", t.id, t.deadline)
		}
		if !t.done && m.noticeAt >= 0 && m.now >= m.stopAt && m.stalledUntil < m.stopAt-200 {
			m.violate("drain: RPC %d has no answer at the stop", t.id)
		}
	}
	for _, e := range m.tokens {
		if e.expiresAt > m.now {
			kb += m.setup.node.TokenKB
		}
	}
	if kb > m.setup.node.MemoryKB {
		m.violate("overload: %.0f KB of %.0f", kb, m.setup.node.MemoryKB)
	}
	m.running = running
}

// overloadWindow is what the number of runs is averaged over, the shortest that a deployment has set.
const overloadWindow = 1500.0

// checkRunLimit tests the rule on the running RPCs, in the mean of overloadWindow up to now.
func (m *simulatedNode) checkRunLimit() {
	m.runningHistory = append(m.runningHistory, m.running)
	m.runningSum += m.running
	n := int(overloadWindow / m.setup.node.Tick)
	if len(m.runningHistory) > n {
		m.runningSum -= m.runningHistory[len(m.runningHistory)-1-n]
	}
	if over := m.setup.dependency.AveragingWindow; over > 0 {
		sum := 0.0
		for _, t := range m.attempts {
			if t.state == isCalling {
				sum += math.Max(0, math.Min(t.until, m.now)-math.Max(t.since, m.now-over))
			}
		}
		for _, s := range m.calls {
			sum += math.Max(0, math.Min(s.to, m.now)-math.Max(s.from, m.now-over))
		}
		if most := m.setup.dependency.ConcurrencyShare * over; sum > most+1e-6 {
			m.violate("dependency overload: %.2f calls in the mean, %.2f is the share", sum/over, m.setup.dependency.ConcurrencyShare)
		}
	}
	speed := 1.0
	if m.setup.node.WarmingUp && m.setup.node.WarmUpTime > 0 {
		speed = math.Min(1, m.setup.node.InitialSpeed+(1-m.setup.node.InitialSpeed)*(m.now-m.startedAt)/m.setup.node.WarmUpTime)
	}
	if mean, most := float64(m.runningSum)/float64(n), float64(m.setup.node.Cores)*(1+(m.setup.limits.MaxRunsPerCore-1)*speed); mean > most {
		m.violate("overload: %.1f running in the mean, %.1f survived", mean, most)
	}
}

// No settings and no order of events break a rule or make the instance panic.
func TestRules(t *testing.T) {
	const cases = 300
	answered, served := 0, 0
	for seed := range int64(cases) {
		m := newSimulatedNode(seed)
		if broken := m.run(4000); broken != "" {
			t.Errorf("seed %d: %s; %+v", seed, broken, m.setup)
		}
		answered, served = answered+m.answered, served+m.served
	}
	if served < answered/20 {
		t.Errorf("%d of %d served: the test tries nothing", served, answered)
	}
	t.Logf("%d answered, %d of them served", answered, served)
}

func FuzzRules(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) {
		if broken := newSimulatedNode(seed).run(3000); broken != "" {
			t.Error(broken)
		}
	})
}
