package control

import "math"

// attemptWeight is the weight of one attempt in the fractions of a retryMonitor: thirty of memory, some seconds of
// traffic.
const attemptWeight = 1.0 / 32

// retryMonitor infers from recent attempts whether servers reject all over the fleet, and sets the timeout of idle
// connections. Where callers do not mark retries, every attempt counts as a first one.
type retryMonitor struct {
	marksRetries     bool    // as in Fleet
	firstAttempts    float64 // read in the last two seconds or so
	completions      float64 // runs ended in that time
	retryFraction    float64 // of the latest attempts: marked as retries
	rejectFraction   float64 // of the latest attempts: rejected on arrival
	feedbackReach    float64 // seconds for which callers act on load feedback, over their number
	idleTimeout      float64 // ms after which idle connections are closed
	announcedTimeout float64 // the one that was last put in force
	maxIdleTimeout   float64 // ms
}

func newRetryMonitor(fleet *Fleet) retryMonitor {
	return retryMonitor{
		marksRetries:     fleet.MarksRetries,
		announcedTimeout: fleet.IdleTimeout,
		maxIdleTimeout:   fleet.IdleTimeout,
		feedbackReach:    fleet.FeedbackTTL / 1000 / float64(fleet.Callers),
	}
}

// observe counts an attempt that was read.
func (m *retryMonitor) observe(retry bool) {
	m.retryFraction -= attemptWeight * m.retryFraction
	m.rejectFraction -= attemptWeight * m.rejectFraction
	if retry {
		m.retryFraction += attemptWeight
	} else {
		m.firstAttempts++
	}
}

// fleetOverloaded tells whether the next server would most likely reject as well. Each rejection costs the fleet a read
// and often a connection, a fifth of a run together; where all are full it gains but the place of another RPC. A server
// that is slow by itself reads few marked retries, so those that it can't take are retried elsewhere; if retries are not
// marked, it looks like a flood.
func (m *retryMonitor) fleetOverloaded() bool {
	const (
		manyRetries = 0.15 // of attempts were rejected elsewhere: a fleet with capacity for most has under a tenth
		lost        = 0.5  // unmarked: of all attempts, two for each run that ends
	)
	return m.retryFraction > manyRetries || !m.marksRetries && m.firstAttempts > m.completions/(1-lost)
}

// overloadedAlone tells whether this server rejects much and others do not, and its callers hear from it too seldom to
// act on its load feedback: it is slower than the rest or draws more traffic, and the endpoint list has to tell them. It
// guards against slow machines and hot subjects; where nobody retries, a full fleet looks the same.
func (m *retryMonitor) overloadedAlone() bool {
	const (
		manyRejections = 0.3  // a server of the usual load has half of that by chance
		fewRetries     = 0.17 // about the same; off a list that then fails to follow, a server stays idle
	)
	return m.marksRetries && m.rejectFraction > manyRejections && m.retryFraction < fewRetries &&
		m.firstAttempts*m.feedbackReach < 1
}

// updateIdleTimeout adapts the idle timeout and tells whether it changed enough to be put in force. Most callers of a
// large fleet come back to one server long after: the connections that they leave open fill the table, which slows the
// cores and shuts others out, so they are closed soon. In a flood of first attempts that fills the cores with reading and
// opening connections, a full table is the one way to turn traffic away at no cost: connections are kept longer the
// longer the flood lasts.
func (m *retryMonitor) updateIdleTimeout(unreadWait float64, calm bool) bool {
	const (
		decay          = 0.9    // of the counters
		minIdleTimeout = 1000.0 // ms: with few callers each comes back sooner
		flood          = 3.0    // first attempts for each run that ends: reading them takes half the cores or so
		maxUnreadWait  = 0.3    // of the tightest latency objective: connections queue what is too old when read
		grow           = 1.15   // from a second to ten in three
		shrink         = 0.95   // and back in nine
		minChange      = 0.1    // of the timeout: smaller changes are not put in force
	)
	m.firstAttempts *= decay
	m.completions *= decay
	factor := shrink
	if calm || m.firstAttempts > flood*math.Max(1, m.completions) || unreadWait > maxUnreadWait {
		factor = grow
	}
	m.idleTimeout = math.Min(m.maxIdleTimeout, math.Max(minIdleTimeout, m.idleTimeout*factor))
	if math.Abs(m.idleTimeout-m.announcedTimeout) <= minChange*m.announcedTimeout {
		return false
	}
	m.announcedTimeout = m.idleTimeout
	return true
}
