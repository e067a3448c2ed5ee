package configure

// This file implements the guard, which finds what a valid change would take away from protected methods. Each reason must
// state the figures on which the decision is based.

import (
	"fmt"
	"maps"
	"slices"
)

// Throughput holds the rates that were served in the last minutes, in RPCs per second.
type Throughput struct {
	Methods   map[string]MethodLoad         // by method
	Customers map[string]map[string]float64 // by customer and method
	Routes    map[string]float64            // by route
}

// MethodLoad is the recent load of one method.
type MethodLoad struct {
	Protected bool    // carries idempotency keys, or has the highest criticality
	Rate      float64 // successful RPCs per second
	MeanRunMS float64 // mean duration of a run
}

// concurrency returns the mean number of RPCs in flight (Little's law).
func (m *MethodLoad) concurrency() float64 { return m.Rate * m.MeanRunMS / 1000 }

// Limits are the settings that can starve a method. The caller reads them from a tree.
type Limits struct {
	Quotas  map[string]float64 // RPCs per second, by customer; a missing customer has no quota
	Routes  map[string]string  // method by route
	Pools   map[string]Pool    // by the method that the pool serves
	MaxRuns float64            // concurrent runs on all cores; 0 for no limit
}

// Pool bounds a method's concurrency.
type Pool struct {
	Name        string
	Connections float64 // summed over all members
}

// Guard returns the reasons why a change would starve protected methods that have recently served RPCs: it removes the last
// route of a method, lowers connections or runs below a method's concurrency, or lowers a customer's quota below the
// customer's rate of one method. A limit that does not change gives no reason, however low it is.
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

// guardRoutes returns a reason if the method would lose all routes that served it.
func guardRoutes(before, after *Limits, served *Throughput, method string) []string {
	rate := before.routeThroughput(method, served)
	lost := rate - after.routeThroughput(method, served)
	if lost <= 0 || lost < rate {
		return nil
	}
	return []string{fmt.Sprintf("%s: the last of its routes would go, which carried %.1f a second", method, rate)}
}

// guardPool returns a reason if the method's pool would get fewer connections than the method used.
func guardPool(before, after *Limits, method string, load *MethodLoad) []string {
	old, hadPool := before.Pools[method]
	pool, hasPool := after.Pools[method]
	if !hasPool || hadPool && pool.Connections >= old.Connections || pool.Connections >= load.concurrency() {
		return nil
	}
	return []string{fmt.Sprintf("%s: pool %s would have %g places, and %.1f a second for %.0f ms each take %.1f", method, pool.Name,
		pool.Connections, load.Rate, load.MeanRunMS, load.concurrency())}
}

// guardRuns returns a reason if the method alone used more concurrent runs than would be allowed.
func guardRuns(before, after *Limits, method string, load *MethodLoad) []string {
	lowered := after.MaxRuns > 0 && (before.MaxRuns == 0 || after.MaxRuns < before.MaxRuns)
	if !lowered || after.MaxRuns >= load.concurrency() {
		return nil
	}
	return []string{fmt.Sprintf("%s: %g runs at once would be allowed, and it alone takes %.1f", method, after.MaxRuns, load.concurrency())}
}

// guardQuotas returns a reason for each customer and protected method whose rate alone exceeds the customer's new quota.
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

// routeThroughput returns the rate that the routes of a method served, in RPCs per second.
func (l *Limits) routeThroughput(method string, served *Throughput) (sum float64) {
	for name, target := range l.Routes {
		if target == method {
			sum += served.Routes[name]
		}
	}
	return sum
}
