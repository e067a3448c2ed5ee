// Package count aggregates fleet-wide counters: request rates by customer and method, and requests in flight and failures by
// upstream service. Each server reports its own counters.
//
// Each origin's report is a last-writer-wins record versioned by (generation, sequence), so the aggregate does not depend
// on the order in which reports arrive. An aggregate is an interval that widens for origins whose reports are stale; a
// reader must use the conservative bound. A missing report is never taken as zero.
//
// The package is pure: it does no I/O, reads no clock (callers pass times in ms) and starts no goroutine. An instance is
// not safe for concurrent use; its owner must serialise calls.
package count

import (
	"math"
	"slices"
	"strings"
)

// Config holds the settings of local and aggregated counters. Times are in ms.
type Config struct {
	TimeConstant float64 // time constant of the exponential average of a rate
	FreshPeriod  float64 // age of a report up to which its counters are used unchanged
	StalePeriod  float64 // age of a report from which on its counters may have any value
	MaxPerServer float64 // highest value of any counter of one server: per second, or in flight
	MaxKeys      int     // maximum number of keys per server
}

// DefaultConfig averages rates over five seconds, so that they follow a change of load within a few reports. Servers report
// every second or two: FreshPeriod tolerates one missed report, and after StalePeriod a counter may have any value.
var DefaultConfig = Config{TimeConstant: 5000, FreshPeriod: 3000, StalePeriod: 15000, MaxPerServer: 1e4, MaxKeys: 64}

// Counter is a counter of one server.
type Counter struct {
	Key      string
	Value    float64 // per second, or in flight
	MaxError float64 // maximum excess of Value, which may include counts of keys that were evicted
}

// Local counts rates on one server. It uses forward decay: instead of decaying old counts, it gives new counts an
// exponentially growing weight, so that an addition updates one key only.
type Local struct {
	config    Config
	sketch    *SpaceSaving
	reference float64 // time in ms at which the weight is 1
}

// maxExponent is the number of time constants after which the weights are rescaled. The weight then, e to the power of 250,
// leaves ample range in a float64 for any count.
const maxExponent = 250.0

// NewLocal returns a Local without counts.
func NewLocal(config Config) *Local {
	return &Local{config: config, sketch: NewSpaceSaving(config.MaxKeys)}
}

// weight returns the weight of a count at time now. It first rescales the counts if the weight has grown too large.
func (l *Local) weight(now float64) float64 {
	exponent := (now - l.reference) / l.config.TimeConstant
	if exponent > maxExponent {
		l.sketch.Scale(math.Exp(-exponent))
		l.reference = now
		exponent = 0
	}
	return math.Exp(exponent)
}

// Add adds n to the count of a key. It does not allocate for a key that has a counter.
func (l *Local) Add(now float64, key string, n float64) {
	l.sketch.Add(key, n*1000/l.config.TimeConstant*l.weight(now))
}

// Largest returns up to maxCounters counters, the largest first.
func (l *Local) Largest(now float64, maxCounters int) []Counter {
	weight := l.weight(now)
	counters := l.sketch.Largest(maxCounters)
	for i := range counters {
		counters[i].Value /= weight
		counters[i].MaxError /= weight
	}
	return counters
}

// MaxUnlisted returns the highest possible value of a key without a counter.
func (l *Local) MaxUnlisted(now float64) float64 { return l.sketch.MaxUnlisted() / l.weight(now) }

// Interval is the range in which the true value of a sum lies.
type Interval struct{ Min, Max float64 }

// report is the latest report of an origin.
type report struct {
	generation, sequence uint64
	receivedAt           float64
	counters             []Counter
	maxUnlisted          float64 // highest possible value of a key without a counter
}

// Aggregate sums the counters that servers report.
type Aggregate struct {
	config  Config
	reports map[string]*report // keyed by origin
}

// NewAggregate returns an Aggregate without reports.
func NewAggregate(config Config) *Aggregate {
	return &Aggregate{config: config, reports: map[string]*report{}}
}

// Merge stores an origin's report of its own counters and returns true if it is newer than the stored report. maxUnlisted is
// the highest possible value of a key without a counter. Counters beyond Config.MaxKeys are dropped.
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

// Forget drops the report of an origin, such as one that has departed.
func (a *Aggregate) Forget(origin string) { delete(a.reports, origin) }

// Sum returns the sum of a key over the given origins, normally the membership list. An origin without a report may have any
// value up to Config.MaxPerServer.
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

// interval returns the range in which the value of a key lay at the time of the report.
func (r *report) interval(key string) Interval {
	for i := range r.counters {
		if c := &r.counters[i]; c.Key == key {
			return Interval{Min: max(0, c.Value-c.MaxError), Max: c.Value}
		}
	}
	return Interval{Max: r.maxUnlisted}
}

// widen returns the range of possible values now, given the range reported age ms ago. It widens linearly between
// FreshPeriod and StalePeriod.
func (a *Aggregate) widen(value Interval, age float64) Interval {
	staleness := min(max((age-a.config.FreshPeriod)/max(1, a.config.StalePeriod-a.config.FreshPeriod), 0), 1)
	if staleness > 0 {
		value.Min -= value.Min * staleness
		value.Max += max(0, a.config.MaxPerServer-value.Max) * staleness
	}
	return value
}

// Keys returns the keys that any origin reported, sorted and without duplicates.
func (a *Aggregate) Keys() (keys []string) {
	for _, r := range a.reports {
		for i := range r.counters {
			keys = append(keys, r.counters[i].Key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	return slices.Compact(keys)
}
