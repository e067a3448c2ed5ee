// Package count aggregates fleet-wide counters: request rates by customer and method, requests in flight and failures by
// upstream service, as each server reports its own.
//
// Each origin's report is a last-writer-wins record versioned by (start, sequence), so the aggregate does not depend on
// the order in which reports arrive. An aggregate is an interval that widens for origins whose reports are stale; a
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

// Config are what an instance goes by. Times are ms.
type Config struct {
	TimeConstant float64 // time constant of a rate
	FreshPeriod  float64 // for which a figure stands as it was said
	StalePeriod  float64 // after which nothing is known of it any more
	MaxPerServer float64 // that one server can have of anything: a second, or in hand
	MaxKeys      int     // of one server, at the most
}

// Usual: a rate over five seconds follows load within a pulse or two; figures come each second, three missed ones are chance,
// and after fifteen seconds anything may have happened.
var DefaultConfig = Config{TimeConstant: 5000, FreshPeriod: 3000, StalePeriod: 15000, MaxPerServer: 1e4, MaxKeys: 64}

// Counter is one figure of one server.
type Counter struct {
	Key      string
	Value    float64 // a second, or in hand
	MaxError float64 // by which it may be too high: it stands for others that there was no room for
}

// Local counts on one server. What is new weighs more instead of what is old fading, so that a count touches one key.
type Local struct {
	r    Config
	top  *SpaceSaving
	base float64 // ms at which the weight is 1
}

// mostWeight is when the weights begin anew: 250 time constants, far inside what a float64 holds beside any count.
const mostWeight = 250.0

// NewLocal returns one that has counted nothing.
func NewLocal(r Config) *Local { return &Local{r: r, top: NewSpaceSaving(r.MaxKeys)} }

func (o *Local) weight(now float64) float64 {
	x := (now - o.base) / o.r.TimeConstant
	if x > mostWeight {
		o.top.Scale(math.Exp(-x))
		o.base, x = now, 0
	}
	return math.Exp(x)
}

// Add counts n under a key. It allocates nothing for a key that is known.
func (o *Local) Add(now float64, key string, n float64) {
	o.top.Add(key, n*1000/o.r.TimeConstant*o.weight(now))
}

// Largest are the largest figures, at most so many, the largest first.
func (o *Local) Largest(now float64, most int) []Counter {
	w := o.weight(now)
	all := o.top.Largest(most)
	for i := range all {
		all[i].Value, all[i].MaxError = all[i].Value/w, all[i].MaxError/w
	}
	return all
}

// Rest is what a key that is not among the items may have at the most.
func (o *Local) MaxUnlisted(now float64) float64 { return o.top.MaxUnlisted() / o.weight(now) }

// Interval is a sum that is known as far as its parts are.
type Interval struct{ Min, Max float64 }

type said struct {
	start, seq uint64
	at         float64
	items      []Counter
	rest       float64 // at most so much under any key that is not said
}

// Aggregate sums.
type Aggregate struct {
	r    Config
	from map[string]*said
}

// NewAggregate returns one that has heard nothing.
func NewAggregate(r Config) *Aggregate { return &Aggregate{r: r, from: map[string]*said{}} }

// Merge hears what an origin says of itself. Keys that it does not say have at most rest. It tells whether that was news.
func (f *Aggregate) Merge(now float64, origin string, start, seq uint64, items []Counter, rest float64) bool {
	if s := f.from[origin]; s != nil && (start < s.start || start == s.start && seq <= s.seq) {
		return false
	}
	if len(items) > f.r.MaxKeys {
		items = items[:f.r.MaxKeys]
	}
	f.from[origin] = &said{start, seq, now, slices.Clone(items), rest}
	return true
}

// Forget drops an origin that has left.
func (f *Aggregate) Forget(origin string) { delete(f.from, origin) }

// Sum is a key's over some origins, heard or not: those of the roster.
func (f *Aggregate) Sum(now float64, key string, roster []string) (sum Interval) {
	for _, name := range roster {
		s := f.from[name]
		if s == nil {
			sum.Max += f.r.MaxPerServer
			continue
		}
		low, high := 0.0, s.rest
		for i := range s.items {
			if x := &s.items[i]; x.Key == key {
				low, high = max(0, x.Value-x.MaxError), x.Value
				break
			}
		}
		if unheard := min(max((now-s.at-f.r.FreshPeriod)/max(1, f.r.StalePeriod-f.r.FreshPeriod), 0), 1); unheard > 0 {
			low -= low * unheard
			high += max(0, f.r.MaxPerServer-high) * unheard
		}
		sum.Min += low
		sum.Max += high
	}
	return sum
}

// Keys are all that anybody says, sorted.
func (f *Aggregate) Keys() (all []string) {
	for _, s := range f.from {
		for i := range s.items {
			all = append(all, s.items[i].Key)
		}
	}
	slices.SortFunc(all, strings.Compare)
	return slices.Compact(all)
}
