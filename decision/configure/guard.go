package configure

// This file owns the guard: what a change that is valid as written would take from the methods that are protected. It must
// never judge a change by anything but figures that it names.

import (
	"fmt"
	"maps"
	"slices"
)

// Throughput is what was served in the last minutes, in RPCs per second.
type Throughput struct {
	Methods   map[string]MethodLoad         // by method
	Customers map[string]map[string]float64 // by customer and method
	Routes    map[string]float64            // by route
}

// MethodLoad is what is known of one method.
type MethodLoad struct {
	Protected bool    // carries idempotency keys, or is the most critical
	Rate      float64 // RPCs per second that were ok
	MeanRunMS float64 // of a run
}

// concurrency returns the mean number of RPCs in flight (Little's law).
func (m *MethodLoad) concurrency() float64 { return m.Rate * m.MeanRunMS / 1000 }

// Limits are the parts of settings that can starve a method, read from a tree by its owner.
type Limits struct {
	Quotas  map[string]float64 // RPCs per second, by customer; a missing one has no limit here
	Routes  map[string]string  // method, by route
	Pools   map[string]Pool    // by method that a pool serves
	MaxRuns float64            // at once on all cores; 0 for no limit here
}

// Pool bounds a method's concurrency.
type Pool struct {
	Name        string
	Connections float64 // over all members
}

// Guard names what a change would take from protected methods that served RPCs: their last route, connections or runs below
// their concurrency, a quota below what their customers' RPCs alone came to. What does not change is not judged, however
// tight it is.
func Guard(before, after *Limits, served *Throughput) (reasons []string) {
	for _, name := range slices.Sorted(maps.Keys(served.Methods)) {
		load := served.Methods[name]
		if !load.Protected || load.Rate <= 0 {
			continue
		}
		reasons = append(reasons, guardRoutes(before, after, served, name)...)
		reasons = append(reasons, guardPool(before, after, name, &load)...)
		reasons = append(reasons, guardRuns(before, after, name, &load)...)
	}
	return append(reasons, guardQuotas(before, after, served)...)
}

// guardRoutes finds a method that would lose all routes that served it.
func guardRoutes(before, after *Limits, served *Throughput, method string) []string {
	rate := before.routeThroughput(method, served)
	lost := rate - after.routeThroughput(method, served)
	if lost <= 0 || lost < rate {
		return nil
	}
	return []string{fmt.Sprintf("%s: the last of its routes would go, which carried %.1f a second", method, rate)}
}

// guardPool finds a method whose pool would get fewer connections than it used.
func guardPool(before, after *Limits, method string, load *MethodLoad) []string {
	old, hadPool := before.Pools[method]
	pool, hasPool := after.Pools[method]
	if !hasPool || hadPool && pool.Connections >= old.Connections || pool.Connections >= load.concurrency() {
		return nil
	}
	return []string{fmt.Sprintf("%s: pool %s would have %g places, and %.1f a second for %.0f ms each take %.1f", method, pool.Name,
		pool.Connections, load.Rate, load.MeanRunMS, load.concurrency())}
}

// guardRuns finds a method that alone used more runs at once than would be allowed.
func guardRuns(before, after *Limits, method string, load *MethodLoad) []string {
	lowered := after.MaxRuns > 0 && (before.MaxRuns == 0 || after.MaxRuns < before.MaxRuns)
	if !lowered || after.MaxRuns >= load.concurrency() {
		return nil
	}
	return []string{fmt.Sprintf("%s: %g runs at once would be allowed, and it alone takes %.1f", method, after.MaxRuns, load.concurrency())}
}

// guardQuotas finds customers whose quota would be below what one protected method alone came to.
func guardQuotas(before, after *Limits, served *Throughput) (reasons []string) {
	for _, customer := range slices.Sorted(maps.Keys(after.Quotas)) {
		quota := after.Quotas[customer]
		if old, limited := before.Quotas[customer]; limited && quota >= old {
			continue
		}
		rates := served.Customers[customer]
		for _, method := range slices.Sorted(maps.Keys(rates)) {
			if served.Methods[method].Protected && quota < rates[method] {
				reasons = append(reasons, fmt.Sprintf("%s: the quota of %s would be %g a second, and that method alone came to %.1f",
					method, customer, quota, rates[method]))
			}
		}
	}
	return reasons
}

// routeThroughput returns what the routes of a method served.
func (l *Limits) routeThroughput(method string, served *Throughput) (sum float64) {
	for name, to := range l.Routes {
		if to == method {
			sum += served.Routes[name]
		}
	}
	return sum
}
