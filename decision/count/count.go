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

// Rules are what an instance goes by. Times are ms.
type Rules struct {
	Mean  float64 // time constant of a rate
	Fresh float64 // for which a figure stands as it was said
	Stale float64 // after which nothing is known of it any more
	Most  float64 // that one server can have of anything: a second, or in hand
	Keys  int     // of one server, at the most
}

// Usual: a rate over five seconds follows load within a pulse or two; figures come each second, three missed ones are chance,
// and after fifteen seconds anything may have happened.
var Usual = Rules{Mean: 5000, Fresh: 3000, Stale: 15000, Most: 1e4, Keys: 64}

// Item is one figure of one server.
type Item struct {
	Key   string
	Value float64 // a second, or in hand
	Err   float64 // by which it may be too high: it stands for others that there was no room for
}

// Own counts on one server. What is new weighs more instead of what is old fading, so that a count touches one key.
type Own struct {
	r    Rules
	top  *Top
	base float64 // ms at which the weight is 1
}

// mostWeight is when the weights begin anew: 250 time constants, far inside what a float64 holds beside any count.
const mostWeight = 250.0

// NewOwn returns one that has counted nothing.
func NewOwn(r Rules) *Own { return &Own{r: r, top: NewTop(r.Keys)} }

func (o *Own) weight(now float64) float64 {
	x := (now - o.base) / o.r.Mean
	if x > mostWeight {
		o.top.Scale(math.Exp(-x))
		o.base, x = now, 0
	}
	return math.Exp(x)
}

// Add counts n under a key. It allocates nothing for a key that is known.
func (o *Own) Add(now float64, key string, n float64) {
	o.top.Add(key, n*1000/o.r.Mean*o.weight(now))
}

// Items are the largest figures, at most so many, the largest first.
func (o *Own) Items(now float64, most int) []Item {
	w := o.weight(now)
	all := o.top.Items(most)
	for i := range all {
		all[i].Value, all[i].Err = all[i].Value/w, all[i].Err/w
	}
	return all
}

// Rest is what a key that is not among the items may have at the most.
func (o *Own) Rest(now float64) float64 { return o.top.Least() / o.weight(now) }

// Range is a sum that is known as far as its parts are.
type Range struct{ AtLeast, AtMost float64 }

type said struct {
	start, seq uint64
	at         float64
	items      []Item
	rest       float64 // at most so much under any key that is not said
}

// Fleet sums.
type Fleet struct {
	r    Rules
	from map[string]*said
}

// NewFleet returns one that has heard nothing.
func NewFleet(r Rules) *Fleet { return &Fleet{r: r, from: map[string]*said{}} }

// Take hears what an origin says of itself. Keys that it does not say have at most rest. It tells whether that was news.
func (f *Fleet) Take(now float64, origin string, start, seq uint64, items []Item, rest float64) bool {
	if s := f.from[origin]; s != nil && (start < s.start || start == s.start && seq <= s.seq) {
		return false
	}
	if len(items) > f.r.Keys {
		items = items[:f.r.Keys]
	}
	f.from[origin] = &said{start, seq, now, slices.Clone(items), rest}
	return true
}

// Forget drops an origin that has left.
func (f *Fleet) Forget(origin string) { delete(f.from, origin) }

// Sum is a key's over some origins, heard or not: those of the roster.
func (f *Fleet) Sum(now float64, key string, roster []string) (sum Range) {
	for _, name := range roster {
		s := f.from[name]
		if s == nil {
			sum.AtMost += f.r.Most
			continue
		}
		low, high := 0.0, s.rest
		for i := range s.items {
			if x := &s.items[i]; x.Key == key {
				low, high = max(0, x.Value-x.Err), x.Value
				break
			}
		}
		if unheard := min(max((now-s.at-f.r.Fresh)/max(1, f.r.Stale-f.r.Fresh), 0), 1); unheard > 0 {
			low -= low * unheard
			high += max(0, f.r.Most-high) * unheard
		}
		sum.AtLeast += low
		sum.AtMost += high
	}
	return sum
}

// Keys are all that anybody says, sorted.
func (f *Fleet) Keys() (all []string) {
	for _, s := range f.from {
		for i := range s.items {
			all = append(all, s.items[i].Key)
		}
	}
	slices.SortFunc(all, strings.Compare)
	return slices.Compact(all)
}
