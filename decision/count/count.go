// Package count aggregates fleet-wide counters: request rates by customer and method, requests in flight and failures by
// upstream service, as each server reports its own.
//
// Each origin's report is a last-writer-wins record versioned by (generation, sequence), so the aggregate does not depend
// on the order in which reports arrive. An aggregate is an interval that widens for origins whose reports are stale; a
// reader must use the conservative bound. Silence is never read as zero.
//
// The package is pure: it does no I/O, reads no clock (callers pass times in ms) and starts no goroutine. An instance is
// not safe for concurrent use; its owner must serialise calls.
package count

import (
	"math"
	"slices"
	"strings"
)

// Config holds the settings of local and aggregated counters. Times are ms.
type Config struct {
	TimeConstant float64 // of a rate's exponential average
	FreshPeriod  float64 // for which a reported counter stands as it is
	StalePeriod  float64 // after which nothing is known of it any more
	MaxPerServer float64 // of any counter: a second, or in flight
	MaxKeys      int     // of one server
}

// DefaultConfig averages rates over five seconds, which follow a change of load within a few reports. Reports come every
// second or two: one missed is chance, and after fifteen seconds anything may have happened.
var DefaultConfig = Config{TimeConstant: 5000, FreshPeriod: 3000, StalePeriod: 15000, MaxPerServer: 1e4, MaxKeys: 64}

// Counter is one counter of one server.
type Counter struct {
	Key      string
	Value    float64 // a second, or in flight
	MaxError float64 // by which Value may be too high: it may include other keys that had no place
}

// Local counts rates on one server. Instead of decaying what is old, it gives what is new more weight (forward decay), so
// that an addition touches one key.
type Local struct {
	config    Config
	sketch    *SpaceSaving
	reference float64 // ms at which the weight is 1
}

// maxExponent is the number of time constants after which the weights begin anew: far inside what a float64 holds beside
// any count.
const maxExponent = 250.0

// NewLocal returns a Local that has counted nothing.
func NewLocal(config Config) *Local {
	return &Local{config: config, sketch: NewSpaceSaving(config.MaxKeys)}
}

func (l *Local) weight(now float64) float64 {
	exponent := (now - l.reference) / l.config.TimeConstant
	if exponent > maxExponent {
		l.sketch.Scale(math.Exp(-exponent))
		l.reference = now
		exponent = 0
	}
	return math.Exp(exponent)
}

// Add counts n under a key. It allocates nothing for a key that is known.
func (l *Local) Add(now float64, key string, n float64) {
	l.sketch.Add(key, n*1000/l.config.TimeConstant*l.weight(now))
}

// Largest returns the largest counters, at most maxCounters, the largest first.
func (l *Local) Largest(now float64, maxCounters int) []Counter {
	weight := l.weight(now)
	counters := l.sketch.Largest(maxCounters)
	for i := range counters {
		counters[i].Value /= weight
		counters[i].MaxError /= weight
	}
	return counters
}

// MaxUnlisted is the most that a key without a counter may have.
func (l *Local) MaxUnlisted(now float64) float64 { return l.sketch.MaxUnlisted() / l.weight(now) }

// Interval holds a sum that is known as far as its parts are: the true one lies within.
type Interval struct{ Min, Max float64 }

// report is the latest one of an origin.
type report struct {
	generation, sequence uint64
	receivedAt           float64
	counters             []Counter
	maxUnlisted          float64 // of any key without a counter
}

// Aggregate sums the counters that servers report.
type Aggregate struct {
	config  Config
	reports map[string]*report // by origin
}

// NewAggregate returns an Aggregate without reports.
func NewAggregate(config Config) *Aggregate {
	return &Aggregate{config: config, reports: map[string]*report{}}
}

// Merge takes an origin's report of its own counters; keys without one have at most maxUnlisted. It reports whether that
// was newer than what was known.
func (a *Aggregate) Merge(now float64, origin string, generation, sequence uint64, counters []Counter, maxUnlisted float64) bool {
	if r := a.reports[origin]; r != nil && (generation < r.generation || generation == r.generation && sequence <= r.sequence) {
		return false
	}
	if len(counters) > a.config.MaxKeys {
		counters = counters[:a.config.MaxKeys]
	}
	a.reports[origin] = &report{
		generation:  generation,
		sequence:    sequence,
		receivedAt:  now,
		counters:    slices.Clone(counters),
		maxUnlisted: maxUnlisted,
	}
	return true
}

// Forget drops an origin that has departed.
func (a *Aggregate) Forget(origin string) { delete(a.reports, origin) }

// Sum adds up a key over the given origins, whether they reported or not: those of the membership list.
func (a *Aggregate) Sum(now float64, key string, origins []string) (sum Interval) {
	for _, origin := range origins {
		r := a.reports[origin]
		if r == nil {
			sum.Max += a.config.MaxPerServer
			continue
		}
		value := a.widen(r.interval(key), now-r.receivedAt)
		sum.Min += value.Min
		sum.Max += value.Max
	}
	return sum
}

// interval is what a report says of a key.
func (r *report) interval(key string) Interval {
	for i := range r.counters {
		if c := &r.counters[i]; c.Key == key {
			return Interval{Min: max(0, c.Value-c.MaxError), Max: c.Value}
		}
	}
	return Interval{Max: r.maxUnlisted}
}

// widen turns what was reported age ms ago into what may be true now.
func (a *Aggregate) widen(value Interval, age float64) Interval {
	staleness := min(max((age-a.config.FreshPeriod)/max(1, a.config.StalePeriod-a.config.FreshPeriod), 0), 1)
	if staleness > 0 {
		value.Min -= value.Min * staleness
		value.Max += max(0, a.config.MaxPerServer-value.Max) * staleness
	}
	return value
}

// Keys returns all keys that any origin reported, sorted.
func (a *Aggregate) Keys() (keys []string) {
	for _, r := range a.reports {
		for i := range r.counters {
			keys = append(keys, r.counters[i].Key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	return slices.Compact(keys)
}
