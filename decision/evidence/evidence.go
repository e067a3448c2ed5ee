// Package evidence keeps the per-member statistics on which outlier detection works: the outcome of recent attempts and
// the length of the current run of successes or failures, latency relative to the other members, and the traffic behind
// both.
//
// Statistics decay exponentially (half-life Half ms, shorter for the failure fraction) so that old observations count
// for less and then for nothing. A compact summary of them is what servers gossip to one another. A statistic never
// claims more than was observed.
//
// The package is pure: it does no I/O, reads no clock (callers pass times in ms) and starts no goroutine. An instance is
// not safe for concurrent use; its owner must serialise calls.
package evidence

import (
	"math"
	"slices"
	"strings"
)

const (
	// Half is the half-life of all evidence in ms: a member that has changed is seen as it is now within some seconds, and
	// one that gets an RPC a second still has some behind it.
	HalfLife = 4000.0
	// halfEnds is that of the share of bad ends: shorter, so that a member that has turned bad is soon mostly bad.
	halfEnds = 2000.0
	// LongestRun is where a run of like ends is no longer counted.
	MaxRun = 20
	// mostBusy bounds how long a member's advice to stay away is heeded, in ms.
	mostBusy = 10e3
	// leastUsual answers stand behind the pool's usual latency.
	leastUsual = 5.0
	// forget is when nothing is left of a member that is not in use: 20 half-lives.
	forget = 20 * HalfLife
)

// The histogram of answers: from 1 ms on, each bucket half as wide again as the one before; 28 reach over a minute.
const (
	buckets = 28
	growth  = 1.5
)

type seen struct {
	name   string
	at     float64 // of what follows
	n, bad float64 // decayed by halfEnds: ends, and those that were bad
	slow   float64 // decayed: sum of the logarithms of answers' latencies over the pool's usual one, and how many these were
	slowN  float64
	run    int     // of like ends: above 0 good, below 0 bad
	last   float64 // end
	busy   float64 // until then it asked to be left alone
}

// Recorder is what this server saw of the members of one pool.
type Recorder struct {
	all  []*seen // by name
	hist [buckets]float64
	at   float64
}

// Summary is what is told of one member.
type Summary struct {
	Member          string
	Run             int     // of like ends: above 0 good, below 0 bad; -LongestRun to LongestRun
	Age             float64 // ms since the last end
	Attempts        float64 // ends of late, decayed
	FailureFraction float64 // share of them
	LogLatencyRatio float64 // mean logarithm of its latency over the pool's usual one
	LatencySamples  float64 // answers behind that, decayed
	BusyRemaining   float64 // ms for which it asked to be left alone
}

func (o *Recorder) get(now float64, member string) *seen {
	i, has := slices.BinarySearchFunc(o.all, member, func(s *seen, m string) int { return strings.Compare(s.name, m) })
	if !has {
		o.all = slices.Insert(o.all, i, &seen{name: member, at: now, last: math.Inf(-1), busy: math.Inf(-1)})
	}
	s := o.all[i]
	if dt := now - s.at; dt > 0 {
		keep := math.Exp2(-dt / HalfLife)
		s.slow, s.slowN = s.slow*keep, s.slowN*keep
		keep = math.Exp2(-dt / halfEnds)
		s.n, s.bad = s.n*keep, s.bad*keep
		s.at = now
	}
	return s
}

// RecordSuccess is an answer after latency ms.
func (o *Recorder) RecordSuccess(now float64, member string, latency float64) {
	s := o.get(now, member)
	s.n++
	if dt := now - o.at; dt > HalfLife/8 { // in steps, which is as good and costs less
		keep := math.Exp2(-dt / HalfLife)
		for k := range o.hist {
			o.hist[k] *= keep
		}
		o.at = now
	}
	if usual := median(&o.hist); usual > 0 {
		s.slow += math.Log(math.Max(latency, 0.1) / usual)
		s.slowN++
	}
	o.hist[bucket(latency)]++
	s.run, s.last = min(max(s.run, 0)+1, MaxRun), now
}

// RecordFailure is a try that has no answer.
func (o *Recorder) RecordFailure(now float64, member string) {
	s := o.get(now, member)
	s.n++
	s.bad++
	s.run, s.last = max(min(s.run, 0)-1, -MaxRun), now
}

// LateThreshold is for how many ms a try may go without an answer before that is told of its member, by the pool's usual latency: no answer
// yet from one that is asked now says as much as none at a deadline that is far off. 0: the usual is not known, and it is not told.
func LateThreshold(usual float64) float64 {
	if usual <= 0 {
		return 0
	}
	return math.Max(lateTimes*usual, lateLeast)
}

const (
	lateTimes = 10.0  // over the usual: one in 20,000 of answers with exponential times
	lateLeast = 200.0 // ms: a server that is short of processor time is late by as much itself
)

// RecordBusy is a member's word that it is to be left alone for a while. That is no failure.
func (o *Recorder) RecordBusy(now float64, member string, away float64) {
	s := o.get(now, member)
	s.busy = now + math.Min(math.Max(away, 0), mostBusy)
	s.last = now
}

// Retain forgets all but some members: those that are in use.
func (o *Recorder) Retain(members []string) {
	o.all = slices.DeleteFunc(o.all, func(s *seen) bool { return !slices.Contains(members, s.name) })
}

func bucket(latency float64) int {
	if !(latency > 1) {
		return 0
	}
	return min(buckets-1, 1+int(math.Log(latency)/math.Log(growth)))
}

// median of a histogram in ms, within a quarter; 0 with less than leastUsual in it.
func median(h *[buckets]float64) float64 {
	sum := 0.0
	for _, n := range h {
		sum += n
	}
	if sum < leastUsual {
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

// Summaries is what this server saw, by member; nothing of those of which nothing is left.
func (o *Recorder) Summaries(now float64) (all []Summary) {
	for _, s := range o.all {
		o.get(now, s.name)
		if now-s.last > forget {
			continue
		}
		v := Summary{Member: s.name, Run: s.run, Age: now - s.last, Attempts: s.n, BusyRemaining: math.Max(0, s.busy-now)}
		if s.n > 0 {
			v.FailureFraction = s.bad / s.n
		}
		if s.slowN > 0 {
			v.LogLatencyRatio, v.LatencySamples = s.slow/s.slowN, s.slowN
		}
		all = append(all, v)
	}
	return all
}
