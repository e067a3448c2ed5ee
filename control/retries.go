package control

import "math"

// attemptWeight is the weight of one attempt in the moving averages of a retryMonitor, which cover about thirty
// attempts or a few seconds of traffic.
const attemptWeight = 1.0 / 32

// retryMonitor infers from recent attempts whether the whole fleet is overloaded, and sets the timeout of idle
// connections. If callers do not mark retries, every attempt counts as a first attempt.
type retryMonitor struct {
	marksRetries         bool    // as in Fleet
	firstAttempts        float64 // number of first attempts read in about the last two seconds
	completions          float64 // number of runs that ended in that time
	retryFraction        float64 // fraction of the latest attempts that were marked as retries
	rejectFraction       float64 // fraction of the latest attempts that were rejected on arrival
	feedbackTTLPerCaller float64 // seconds for which callers act on load feedback, divided by their number
	idleTimeout          float64 // ms after which idle connections are closed
	appliedTimeout       float64 // idleTimeout when it was last set by an action
	maxIdleTimeout       float64 // ms
}

func newRetryMonitor(fleet *Fleet) retryMonitor {
	return retryMonitor{
		marksRetries:         fleet.MarksRetries,
		appliedTimeout:       fleet.IdleTimeout,
		maxIdleTimeout:       fleet.IdleTimeout,
		feedbackTTLPerCaller: fleet.FeedbackTTL / 1000 / float64(fleet.Callers),
	}
}

// observe records an attempt that has been read.
func (m *retryMonitor) observe(retry bool) {
	m.retryFraction -= attemptWeight * m.retryFraction
	m.rejectFraction -= attemptWeight * m.rejectFraction
	if retry {
		m.retryFraction += attemptWeight
	} else {
		m.firstAttempts++
	}
}

// fleetOverloaded reports whether another server would most likely reject a retry as well. Each rejection costs the
// fleet a read and often a connection, together about a fifth of a run; if all servers are full, a retry can only take
// the place of another RPC. A server that alone is slow reads few marked retries, so the RPCs that it rejects are
// retried elsewhere. If retries are not marked, a slow server cannot be distinguished from a flood of first attempts.
func (m *retryMonitor) fleetOverloaded() bool {
	const (
		manyRetries  = 0.15 // fraction of attempts that are retries; below 0.1 if the fleet has capacity for most RPCs
		lostFraction = 0.5  // if unmarked: fraction of attempts without a completed run; two attempts per run
	)
	return m.retryFraction > manyRetries || !m.marksRetries && m.firstAttempts > m.completions/(1-lostFraction)
}

// overloadedAlone reports whether this server rejects many RPCs while other servers do not, and its callers receive its
// responses too rarely to act on its load feedback. It is then slower than the other servers or receives more traffic,
// for example because of a slow machine or a hot subject, and its health state on the endpoint list has to reduce its
// traffic. If callers do not retry, an overloaded fleet cannot be distinguished from this.
func (m *retryMonitor) overloadedAlone() bool {
	const (
		manyRejections = 0.3 // fraction of attempts; a normally loaded server reaches half of that by chance
		// fewRetries is a fraction of attempts, close to manyRetries of fleetOverloaded. A server must not be taken off
		// the endpoint list without need: if the list is not updated in time afterwards, the server stays idle.
		fewRetries = 0.17
	)
	return m.marksRetries && m.rejectFraction > manyRejections && m.retryFraction < fewRetries &&
		m.firstAttempts*m.feedbackTTLPerCaller < 1
}

// updateIdleTimeout updates the idle timeout and reports whether it changed enough to be set. In a large fleet most
// callers return to a server only after a long time. Their idle connections fill the connection table, which slows down
// the cores and blocks other callers, so idle connections are closed early. In a flood of first attempts, reading RPCs
// and opening connections occupy the cores, and a full connection table is the only way to reject traffic at no cost,
// so connections are kept longer the longer the flood lasts.
func (m *retryMonitor) updateIdleTimeout(unreadWait float64, lightlyLoaded bool) bool {
	const (
		decay          = 0.9    // factor of the counters per step
		minIdleTimeout = 1000.0 // ms; if there are few callers, each returns sooner than this
		flood          = 3.0    // first attempts per completed run; reading them takes about half of the cores
		maxUnreadWait  = 0.3    // of the shortest latency objective; RPCs that wait longer in connections are too old when read
		grow           = 1.15   // factor per step: from one second to ten in three seconds
		shrink         = 0.95   // factor per step: from ten seconds to one in nine seconds
		minChange      = 0.1    // fraction of the timeout; smaller changes are not set
	)
	m.firstAttempts *= decay
	m.completions *= decay
	factor := shrink
	if lightlyLoaded || m.firstAttempts > flood*math.Max(1, m.completions) || unreadWait > maxUnreadWait {
		factor = grow
	}
	m.idleTimeout = math.Min(m.maxIdleTimeout, math.Max(minIdleTimeout, m.idleTimeout*factor))
	if math.Abs(m.idleTimeout-m.appliedTimeout) <= minChange*m.appliedTimeout {
		return false
	}
	m.appliedTimeout = m.idleTimeout
	return true
}
