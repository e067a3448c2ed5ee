// Package evidence keeps the per-member statistics on which outlier detection works: the outcome of recent attempts and
// the length of the current run of successes or failures, latency relative to the other members, and the traffic behind
// both.
//
// Statistics decay exponentially (half-life HalfLife ms, shorter for the failure fraction) so that old observations count
// for less and then for nothing. A compact summary of them is what servers gossip to one another. A statistic never
// claims more than was observed.
//
// The package is pure: it does no I/O, reads no clock (callers pass times in ms) and starts no goroutine. A Recorder is
// not safe for concurrent use; its owner must serialise calls.
package evidence

import (
	"math"
	"slices"
	"strings"
)

// HalfLife (ms) is that of all statistics but the failure fraction: a member that has changed is seen as it is now within
// some seconds, and one that gets an RPC a second still has some evidence behind it.
const HalfLife = 4000.0

// MaxRun is the length at which a run of equal outcomes is no longer counted.
const MaxRun = 20

const (
	failureHalfLife = 2000.0        // ms, of the failure fraction: shorter, so that a member that turned bad soon shows it
	maxBusy         = 10e3          // ms for which a member's request to be left alone is heeded at most
	retention       = 20 * HalfLife // after which nothing is left of a member without traffic
	minLatency      = 0.1           // ms, so that a ratio has a logarithm
	histogramStep   = HalfLife / 8  // ms between two decays of the latency histogram, which saves time
)

// Recorder records what this server observes of the members of one pool. The zero value is ready for use.
type Recorder struct {
	members []*memberStats // by name
	latency histogram      // of all members, decayed
	decayed float64        // when latency was decayed last
}

type memberStats struct {
	name               string
	updatedAt          float64 // of the decayed figures
	attempts, failures float64 // decayed by failureHalfLife
	logLatencyRatio    float64 // decayed sum of the logarithms of latency over the pool's median
	latencySamples     float64 // decayed number of these
	run                int     // length of the run of equal outcomes: above 0 successes, below 0 failures
	lastOutcome        float64
	busyUntil          float64 // until then it asked to be left alone
}

// Summary is what servers tell one another of one member.
type Summary struct {
	Member          string
	Run             int     // length of the run of equal outcomes: above 0 successes, below 0 failures; -MaxRun to MaxRun
	Age             float64 // ms since the last outcome
	Attempts        float64 // recent attempts, decayed
	FailureFraction float64 // of these
	LogLatencyRatio float64 // mean logarithm of its latency over the pool's median
	LatencySamples  float64 // successes behind that, decayed
	BusyRemaining   float64 // ms for which it asked to be left alone
}

// stats returns a member's statistics, decayed to now. It adds members that are not known.
func (r *Recorder) stats(now float64, member string) *memberStats {
	i, has := slices.BinarySearchFunc(r.members, member, func(s *memberStats, name string) int { return strings.Compare(s.name, name) })
	if !has {
		r.members = slices.Insert(r.members, i, &memberStats{
			name:        member,
			updatedAt:   now,
			lastOutcome: math.Inf(-1),
			busyUntil:   math.Inf(-1),
		})
	}
	s := r.members[i]
	s.decay(now)
	return s
}

func (s *memberStats) decay(now float64) {
	dt := now - s.updatedAt
	if dt <= 0 {
		return
	}
	factor := math.Exp2(-dt / HalfLife)
	s.logLatencyRatio *= factor
	s.latencySamples *= factor
	factor = math.Exp2(-dt / failureHalfLife)
	s.attempts *= factor
	s.failures *= factor
	s.updatedAt = now
}

// RecordSuccess notes an answer after latency ms.
func (r *Recorder) RecordSuccess(now float64, member string, latency float64) {
	s := r.stats(now, member)
	s.attempts++
	if dt := now - r.decayed; dt > histogramStep {
		r.latency.scale(math.Exp2(-dt / HalfLife))
		r.decayed = now
	}
	if median := r.latency.median(); median > 0 {
		s.logLatencyRatio += math.Log(math.Max(latency, minLatency) / median)
		s.latencySamples++
	}
	r.latency.add(latency)
	s.run = min(max(s.run, 0)+1, MaxRun)
	s.lastOutcome = now
}

// RecordFailure notes an attempt without an answer.
func (r *Recorder) RecordFailure(now float64, member string) {
	s := r.stats(now, member)
	s.attempts++
	s.failures++
	s.run = max(min(s.run, 0)-1, -MaxRun)
	s.lastOutcome = now
}

// RecordBusy notes that a member asked to be left alone for some ms (Retry-After). That is no failure.
func (r *Recorder) RecordBusy(now float64, member string, retryAfter float64) {
	s := r.stats(now, member)
	s.busyUntil = now + math.Min(math.Max(retryAfter, 0), maxBusy)
	s.lastOutcome = now
}

// Retain forgets all but the given members.
func (r *Recorder) Retain(members []string) {
	r.members = slices.DeleteFunc(r.members, func(s *memberStats) bool { return !slices.Contains(members, s.name) })
}

// Summaries returns what this server observed, by member, without those of which nothing is left.
func (r *Recorder) Summaries(now float64) (all []Summary) {
	for _, s := range r.members {
		s.decay(now)
		if now-s.lastOutcome > retention {
			continue
		}
		summary := Summary{
			Member:        s.name,
			Run:           s.run,
			Age:           now - s.lastOutcome,
			Attempts:      s.attempts,
			BusyRemaining: math.Max(0, s.busyUntil-now),
		}
		if s.attempts > 0 {
			summary.FailureFraction = s.failures / s.attempts
		}
		if s.latencySamples > 0 {
			summary.LogLatencyRatio = s.logLatencyRatio / s.latencySamples
			summary.LatencySamples = s.latencySamples
		}
		all = append(all, summary)
	}
	return all
}

const (
	lateFactor   = 10.0  // times the typical latency: one in 20,000 of answers with exponential times
	lateMinimum  = 200.0 // ms: a server that is short of processor time is late by as much itself
	minLatencies = 5.0   // decayed samples that a median needs
)

// LateThreshold is for how many ms an attempt may go without an answer before that counts against its member, by the
// pool's typical latency (ms): no answer yet from a member in use says as much as none at a distant deadline. It is 0,
// and nothing counts as late, while the typical latency is not known.
func LateThreshold(typicalLatency float64) float64 {
	if typicalLatency <= 0 {
		return 0
	}
	return math.Max(lateFactor*typicalLatency, lateMinimum)
}

// The histogram of latencies: from 1 ms on, each bucket is half as wide again as the one before; 28 reach over a minute.
const (
	buckets = 28
	growth  = 1.5
)

type histogram [buckets]float64

func bucketOf(latency float64) int {
	if !(latency > 1) {
		return 0
	}
	return min(buckets-1, 1+int(math.Log(latency)/math.Log(growth)))
}

func (h *histogram) add(latency float64) { h[bucketOf(latency)]++ }

func (h *histogram) scale(factor float64) {
	for k := range h {
		h[k] *= factor
	}
}

// median in ms, within a quarter; 0 with less than minLatencies samples.
func (h *histogram) median() float64 {
	sum := 0.0
	for _, n := range h {
		sum += n
	}
	if sum < minLatencies {
		return 0
	}
	left := sum / 2
	for k, n := range h {
		if left -= n; left <= 0 {
			return math.Pow(growth, float64(k)-0.5)
		}
	}
	return 0
}
