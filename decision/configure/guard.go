package configure

// This file owns the guard: what a change that is valid as written would take from those that count most. It must never
// judge a change by anything but figures that it names.

import (
	"fmt"
	"maps"
	"slices"
)

// Carried is what the last minutes carried, in RPCs a second.
type Throughput struct {
	Methods   map[string]MethodLoad
	Customers map[string]map[string]float64 // by customer and method
	Routes    map[string]float64            // by route
}

// Method is what is known of one.
type MethodLoad struct {
	Protected bool    // tokened, or the most critical
	Rate      float64 // RPCs a second that were ok
	MeanRunMS float64 // ms that a run takes in the mean
}

// Limits are the parts of settings that can starve a method, read from a tree by their owner.
type Limits struct {
	Quotas  map[string]float64 // RPCs a second, by customer; one that is not here has no bound here
	Routes  map[string]string  // method, by route
	Pools   map[string]Pool    // by method that is served by one
	MaxRuns float64            // at once on all cores; 0 for no bound here
}

// Pool is what bounds a method's work in a pool.
type Pool struct {
	Name        string
	Connections float64 // connections, over all members
}

// Guard names what a change from was to is would take from guarded methods that carried something: their last route,
// places for fewer RPCs than ran, a quota below what their customers' RPCs alone came to. What is not changed is not
// judged, however tight it is.
func Guard(was, is *Limits, c *Throughput) (reasons []string) {
	for _, name := range slices.Sorted(maps.Keys(c.Methods)) {
		m := c.Methods[name]
		if !m.Protected || m.Rate <= 0 {
			continue
		}
		// In the mean as many places are taken as RPCs come in the time that one takes.
		places := m.Rate * m.MeanRunMS / 1000
		if lost, all := routeThroughput(was, name, c)-routeThroughput(is, name, c), routeThroughput(was, name, c); lost > 0 && lost >= all {
			reasons = append(reasons, fmt.Sprintf("%s: the last of its routes would go, which carried %.1f a second", name, all))
		}
		before, had := was.Pools[name]
		after, has := is.Pools[name]
		if has && (!had || after.Connections < before.Connections) && after.Connections < places {
			reasons = append(reasons, fmt.Sprintf("%s: pool %s would have %g places, and %.1f a second for %.0f ms each take %.1f", name, after.Name,
				after.Connections, m.Rate, m.MeanRunMS, places))
		}
		if is.MaxRuns > 0 && (was.MaxRuns == 0 || is.MaxRuns < was.MaxRuns) && is.MaxRuns < places {
			reasons = append(reasons, fmt.Sprintf("%s: %g runs at once would be allowed, and it alone takes %.1f", name, is.MaxRuns, places))
		}
	}
	for _, customer := range slices.Sorted(maps.Keys(is.Quotas)) {
		q := is.Quotas[customer]
		if old, had := was.Quotas[customer]; had && q >= old {
			continue
		}
		for _, method := range slices.Sorted(maps.Keys(c.Customers[customer])) {
			if rate := c.Customers[customer][method]; c.Methods[method].Protected && q < rate {
				reasons = append(reasons, fmt.Sprintf("%s: the quota of %s would be %g a second, and that method alone came to %.1f", method, customer, q, rate))
			}
		}
	}
	return reasons
}

// routes is what the routes of a method carried.
func routeThroughput(l *Limits, method string, c *Throughput) (sum float64) {
	for name, to := range l.Routes {
		if to == method {
			sum += c.Routes[name]
		}
	}
	return sum
}
