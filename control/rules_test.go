package control

import (
	"fmt"
	"math"
	"testing"
)

// This file checks the invariants of the decisions after every event of a simulated node. The node uses random settings
// and random events, including repeated events, events out of order and events for unknown RPCs.

// answerSlack is the tolerance in ms for an answer after its deadline.
const answerSlack = 60.0

// violate records a violation of an invariant. Only the first one is kept.
func (m *simulatedNode) violate(format string, a ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("at %.0f ms: ", m.now) + fmt.Sprintf(format, a...)
	}
}

// check checks the invariants that hold at any time: an answer by the deadline and before the stop, and the memory
// limit.
func (m *simulatedNode) check() {
	kb, running := 0.0, 0
	for _, att := range m.attempts {
		switch att.state {
		case isQueued, isJoined:
			kb += att.memoryKB
		case isRunning:
			running++
			fallthrough
		default:
			kb += att.memoryKB * m.setup.node.RunMemoryFactor
		}
		if !att.done && m.now > math.Max(att.deadline, m.stalledUntil)+answerSlack {
			m.violate("lost: RPC %d with deadline %.0f has no answer", att.id, att.deadline)
		}
		if !att.done && m.noticeAt >= 0 && m.now >= m.stopAt && m.stalledUntil < m.stopAt-200 {
			m.violate("drain: RPC %d has no answer at the stop", att.id)
		}
	}
	for _, e := range m.tokens {
		if e.expiresAt > m.now {
			kb += m.setup.node.TokenKB
		}
	}
	if kb > m.setup.node.MemoryKB {
		m.violate("overload: memory in use is %.0f KB, limit %.0f KB", kb, m.setup.node.MemoryKB)
	}
	m.running = running
}

// overloadWindow is the time in ms over which the number of runs is averaged: the shortest value that a deployment
// uses.
const overloadWindow = 1500.0

// checkRunLimit checks that the mean number of running RPCs over the last overloadWindow and the mean number of
// dependency calls over the averaging window stay within their limits.
func (m *simulatedNode) checkRunLimit() {
	m.runningHistory = append(m.runningHistory, m.running)
	m.runningSum += m.running
	n := int(overloadWindow / m.setup.node.Tick)
	if len(m.runningHistory) > n {
		m.runningSum -= m.runningHistory[len(m.runningHistory)-1-n]
	}
	if window := m.setup.dependency.AveragingWindow; window > 0 {
		sum := 0.0
		for _, att := range m.attempts {
			if att.state == isCalling {
				sum += math.Max(0, math.Min(att.until, m.now)-math.Max(att.since, m.now-window))
			}
		}
		for _, s := range m.calls {
			sum += math.Max(0, math.Min(s.to, m.now)-math.Max(s.from, m.now-window))
		}
		if maxSum := m.setup.dependency.ConcurrencyShare * window; sum > maxSum+1e-6 {
			m.violate("dependency overload: mean number of calls is %.2f, share %.2f", sum/window, m.setup.dependency.ConcurrencyShare)
		}
	}
	speed := 1.0
	if m.setup.node.WarmingUp && m.setup.node.WarmUpTime > 0 {
		speed = math.Min(1, m.setup.node.InitialSpeed+(1-m.setup.node.InitialSpeed)*(m.now-m.startedAt)/m.setup.node.WarmUpTime)
	}
	if mean, limit := float64(m.runningSum)/float64(n), float64(m.setup.node.Cores)*(1+(m.setup.limits.MaxRunsPerCore-1)*speed); mean > limit {
		m.violate("overload: mean number of running RPCs is %.1f, limit %.1f", mean, limit)
	}
}

// No settings and no order of events may violate an invariant or cause a panic.
func TestRules(t *testing.T) {
	const cases = 300
	answered, served := 0, 0
	for seed := range int64(cases) {
		m := newSimulatedNode(seed)
		if violation := m.run(4000); violation != "" {
			t.Errorf("seed %d: %s; setup %+v", seed, violation, m.setup)
		}
		answered, served = answered+m.answered, served+m.served
	}
	if served < answered/20 {
		t.Errorf("served %d of %d answered RPCs: too few for the test to be meaningful", served, answered)
	}
	t.Logf("answered %d RPCs, of which %d were served", answered, served)
}

func FuzzRules(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) {
		if violation := newSimulatedNode(seed).run(3000); violation != "" {
			t.Error(violation)
		}
	})
}
