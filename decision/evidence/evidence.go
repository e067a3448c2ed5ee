// Package evidence keeps the per-member statistics that outlier detection uses: the outcomes of recent attempts, the length
// of the current run of successes or failures, the latency relative to the other members, and the number of samples of
// each.
//
// Statistics decay exponentially (half-life HalfLife ms, shorter for the failure fraction), so that old observations lose
// their weight. Servers gossip a compact summary of the statistics to one another. A summary never claims more than this
// server observed.
//
// The package is pure: it does no I/O, reads no clock (callers pass times in ms) and starts no goroutine. A Recorder is
// not safe for concurrent use; its owner must serialise calls.
package evidence

import (
	"math"
	"slices"
	"strings"
)

// HalfLife is the half-life in ms of all statistics except the failure fraction. It is short enough that a change of a
// member shows within seconds, and long enough that a member with one RPC per second still has some evidence.
const HalfLife = 4000.0

// MaxRun is the length up to which a run of equal outcomes is counted.
const MaxRun = 20

const (
	failureHalfLife = 2000.0        // ms, half-life of the failure fraction; shorter, so that failures show sooner
	maxBusy         = 10e3          // ms, longest Retry-After of a member that is respected
	retention       = 20 * HalfLife // ms after the last outcome, when its weight has decayed to nothing
	minLatency      = 0.1           // ms, lower limit that keeps the logarithm of a ratio finite
	histogramStep   = HalfLife / 8  // minimum ms between two decays of the latency histogram, to save processor time
)

// Recorder records what this server observes of the members of one pool. The zero value is ready for use.
type Recorder struct {
	members []*memberStats // sorted by name
	latency histogram      // latencies of all members, decayed
	decayed float64        // time of the last decay of latency
}

type memberStats struct {
	name               string
	updatedAt          float64 // time up to which the statistics are decayed
	attempts, failures float64 // decayed by failureHalfLife
	logLatencyRatio    float64 // decayed sum of the logarithms of the ratio of latency to the pool's median
	latencySamples     float64 // decayed number of terms in that sum
	run                int     // length of the current run: positive for successes, negative for failures
	lastOutcome        float64 // time of the last success, failure or Retry-After; -Inf if none
	busyUntil          float64 // end of the last Retry-After; -Inf if none
}

// Summary is the summary of one member's statistics that servers exchange.
type Summary struct {
	Member          string
	Run             int     // length of the current run, -MaxRun to MaxRun: positive for successes, negative for failures
	Age             float64 // ms since the last outcome
	Attempts        float64 // decayed number of recent attempts
	FailureFraction float64 // fraction of these attempts that failed
	LogLatencyRatio float64 // mean logarithm of the ratio of its latency to the pool's median
	LatencySamples  float64 // decayed number of successes in that mean
	BusyRemaining   float64 // remaining ms of its Retry-After
}

// stats returns a member's statistics, decayed to now. It adds the member if it is unknown.
func (r *Recorder) stats(now float64, member string) *memberStats {
	i, ok := slices.BinarySearchFunc(r.members, member, func(s *memberStats, name string) int { return strings.Compare(s.name, name) })
	if !ok {
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

// RecordSuccess records a response that arrived after latency ms.
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

// RecordFailure records a failed attempt.
func (r *Recorder) RecordFailure(now float64, member string) {
	s := r.stats(now, member)
	s.attempts++
	s.failures++
	s.run = max(min(s.run, 0)-1, -MaxRun)
	s.lastOutcome = now
}

// RecordBusy records that a member asked for no requests for retryAfter ms (Retry-After). It does not count as a failure.
func (r *Recorder) RecordBusy(now float64, member string, retryAfter float64) {
	s := r.stats(now, member)
	s.busyUntil = now + math.Min(math.Max(retryAfter, 0), maxBusy)
	s.lastOutcome = now
}

// Retain drops the statistics of all members except the given ones.
func (r *Recorder) Retain(members []string) {
	r.members = slices.DeleteFunc(r.members, func(s *memberStats) bool { return !slices.Contains(members, s.name) })
}

// Summaries returns a summary per member, sorted by name. Members without an outcome within retention are left out.
func (r *Recorder) Summaries(now float64) (summaries []Summary) {
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
		summaries = append(summaries, summary)
	}
	return summaries
}

const (
	lateFactor   = 10.0  // multiple of the typical latency, exceeded by 1 in 20,000 responses if latencies are exponential
	lateMinimum  = 200.0 // ms, a delay that this server itself may add when short of processor time
	minLatencies = 5.0   // minimum decayed number of samples for a median
)

// LateThreshold returns the time in ms after which an attempt without a response counts against its member, given the
// pool's typical latency in ms. A late response from a member in use is as much evidence as a missed deadline, and is
// available sooner. LateThreshold returns 0, for no threshold, if the typical latency is not known (not above 0).
func LateThreshold(typicalLatency float64) float64 {
	if typicalLatency <= 0 {
		return 0
	}
	return math.Max(lateFactor*typicalLatency, lateMinimum)
}

// Bucket 0 of the latency histogram ends at 1 ms, and the upper bound of each further bucket is growth times that of the one
// before. The last of the 28 buckets starts at 38 s and has no upper bound.
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

// median returns the median in ms with an error of at most a quarter, or 0 with fewer than minLatencies samples.
func (h *histogram) median() float64 {
	sum := 0.0
	for _, n := range h {
		sum += n
	}
	if sum < minLatencies {
		return 0
	}
	remaining := sum / 2
	for k, n := range h {
		if remaining -= n; remaining <= 0 {
			return math.Pow(growth, float64(k)-0.5)
		}
	}
	return 0
}
