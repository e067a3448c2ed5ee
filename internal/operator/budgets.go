package operator

import (
	"slices"

	"sorrelvalve/decision/quota"
)

// Budgets are limits that the servers of the fleet share: quotas of customers, retries to pools and calls in flight at pools.
type Budgets struct {
	Servers    int               `json:"servers"`             // maximum number of servers that run at the same time
	ClockDrift float64           `json:"clocks"`              // maximum error of a clock's rate, as a fraction
	Customers  map[string]Budget `json:"customers,omitempty"` // quotas, by customer
	Retries    map[string]Budget `json:"retries,omitempty"`   // by pool
	Calls      map[string]Budget `json:"calls,omitempty"`     // by pool
}

// Budget is one shared limit. Rates are per second.
type Budget struct {
	Bound      float64 `json:"bound"`               // of the whole fleet: a rate, or calls in flight
	Burst      float64 `json:"burst,omitempty"`     // of the whole fleet, for rates
	Floor      float64 `json:"floor"`               // capacity that each server always keeps
	MaxLeaseMs float64 `json:"longest_ms"`          // maximum duration of a lease of capacity from one server to another
	LingerMs   float64 `json:"linger_ms,omitempty"` // for calls: how long an abandoned call may continue
}

// Prefixes of the budget names that servers exchange, by kind of budget.
const (
	QuotaPrefix   = "quota/"
	RetriesPrefix = "retries/"
	CallsPrefix   = "calls/"
)

// Rules returns the limits of all budgets for package quota, keyed by the names that servers exchange. A nil receiver has no
// budgets.
func (b *Budgets) Rules() map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	if b == nil {
		return limits
	}
	add := func(prefix string, kind quota.Kind, budgets map[string]Budget) {
		for name, budget := range budgets {
			limits[prefix+name] = quota.Limit{Kind: kind, Capacity: budget.Bound, Burst: budget.Burst, Servers: b.Servers, Floor: budget.Floor, MaxLeaseDuration: budget.MaxLeaseMs, ClockDrift: b.ClockDrift}
		}
	}
	add(QuotaPrefix, quota.Rate, b.Customers)
	add(RetriesPrefix, quota.Rate, b.Retries)
	add(CallsPrefix, quota.Concurrency, b.Calls)
	return limits
}

// Ranges of the values of budgets.
const (
	maxServers    = 4096
	maxClockDrift = 0.1
	minBound      = 0.001
	maxBound      = 1e9
	minLeaseMs    = 500
	maxLeaseMs    = 600e3
	maxLingerMs   = 600e3
)

// budgets checks the shared budgets.
func (c *checker) budgets() {
	budgets := c.file.Budgets
	if budgets == nil {
		return
	}
	if c.file.Fleet == nil {
		c.fail("budgets", "there is no fleet to share them: fleet is not set")
	}
	c.within("budgets.servers", float64(budgets.Servers), 1, maxServers)
	c.within("budgets.clocks", budgets.ClockDrift, 0, maxClockDrift)
	c.budgetTable("customers", budgets.Customers, quota.Rate, c.unknownCustomer)
	c.budgetTable("retries", budgets.Retries, quota.Rate, c.unknownPool)
	c.budgetTable("calls", budgets.Calls, quota.Concurrency, c.unknownPool)
}

// unknownCustomer returns why a customer's name is invalid, or "" if it is valid.
func (c *checker) unknownCustomer(name string) string {
	if c.known.Methods != nil && !slices.Contains(c.known.Customers, name) {
		return "no customer of the settings has this name"
	}
	return ""
}

// unknownPool returns why a pool's name is invalid, or "" if it is valid.
func (c *checker) unknownPool(name string) string {
	if _, ok := c.file.Pools[name]; !ok {
		return "no pool of this file has this name"
	}
	return ""
}

// budgetTable checks one table of budgets. unknown returns why a name is invalid, or "" if it is valid.
func (c *checker) budgetTable(table string, budgets map[string]Budget, kind quota.Kind, unknown func(name string) string) {
	for _, name := range sortedKeys(budgets) {
		path := entryPath("budgets."+table, name)
		if reason := unknown(name); reason != "" {
			c.fail(path, "%s", reason)
		}
		c.budget(path, budgets[name], kind)
	}
}

// budget checks one budget of a table.
func (c *checker) budget(path string, budget Budget, kind quota.Kind) {
	servers := c.file.Budgets.Servers
	n := float64(max(1, servers))
	calls := kind == quota.Concurrency
	c.within(path+".bound", budget.Bound, minBound, maxBound)
	c.within(path+".floor", budget.Floor, 0, maxBound)
	c.within(path+".longest_ms", budget.MaxLeaseMs, minLeaseMs, maxLeaseMs)
	const roundingTolerance = 1e-9
	if budget.Floor*n > budget.Bound*(1+roundingTolerance) {
		c.fail(path+".floor", "the floors of %d servers are %g together, more than the bound of %g", servers, budget.Floor*n, budget.Bound)
	}
	validLinger := budget.LingerMs >= 0 && budget.LingerMs <= maxLingerMs // false for NaN
	validBurst := budget.Burst >= n && budget.Burst <= maxBound
	switch {
	case calls && budget.Burst != 0:
		c.fail(path+".burst", "must not be set for calls: only rates have a burst")
	case !validLinger || !calls && budget.LingerMs != 0:
		c.fail(path+".linger_ms", "must be a number from 0 to 600000 for calls, and must not be set for rates")
	case calls && budget.Bound < n:
		c.fail(path+".bound", "must be at least one for each of %d servers, got %g", servers, budget.Bound)
	case !calls && !validBurst:
		c.fail(path+".burst", "must be at least one for each of %d servers, got %g: a server with less could never admit one", servers, budget.Burst)
	}
}
