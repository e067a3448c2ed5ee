package operator

import (
	"slices"

	"sorrelvalve/decision/quota"
)

// Budgets are bounds that the servers of the fleet share: customers' quotas, retries to pools and calls in flight there.
type Budgets struct {
	Servers    int               `json:"servers"` // that run at the same time, at the most
	ClockDrift float64           `json:"clocks"`  // by which the rate of a clock may be off, as a share
	Customers  map[string]Budget `json:"customers,omitempty"`
	Retries    map[string]Budget `json:"retries,omitempty"` // by pool
	Calls      map[string]Budget `json:"calls,omitempty"`   // by pool
}

// Budget is one bound.
type Budget struct {
	Bound      float64 `json:"bound"` // of the whole fleet: a second, or in flight
	Burst      float64 `json:"burst,omitempty"`
	Floor      float64 `json:"floor"`               // that each server always has
	MaxLeaseMs float64 `json:"longest_ms"`          // for which one server may lease capacity to another
	LingerMs   float64 `json:"linger_ms,omitempty"` // calls: for which one that was given up may go on
}

// Prefixes of the names that budgets have between servers, by kind.
const (
	QuotaPrefix   = "quota/"
	RetriesPrefix = "retries/"
	CallsPrefix   = "calls/"
)

// Rules returns the rules of all bounds for package quota, by their names between servers. A nil receiver has none.
func (b *Budgets) Rules() map[string]quota.Limit {
	all := map[string]quota.Limit{}
	if b == nil {
		return all
	}
	add := func(prefix string, kind quota.Kind, budgets map[string]Budget) {
		for name, budget := range budgets {
			all[prefix+name] = quota.Limit{Kind: kind, Capacity: budget.Bound, Burst: budget.Burst, Servers: b.Servers, Floor: budget.Floor, MaxLeaseDuration: budget.MaxLeaseMs, ClockDrift: b.ClockDrift}
		}
	}
	add(QuotaPrefix, quota.Rate, b.Customers)
	add(RetriesPrefix, quota.Rate, b.Retries)
	add(CallsPrefix, quota.Concurrency, b.Calls)
	return all
}

// Bounds of the values of budgets.
const (
	maxServers    = 4096
	maxClockDrift = 0.1
	minBound      = 0.001
	maxBound      = 1e9
	minLeaseMs    = 500
	maxLeaseMs    = 600e3
	maxLingerMs   = 600e3
)

func (c *checker) budgets() {
	budgets := c.file.Budgets
	if budgets == nil {
		return
	}
	if c.file.Fleet == nil {
		c.fail("budgets", "there is no fleet that could share them: fleet is not set")
	}
	c.within("budgets.servers", float64(budgets.Servers), 1, maxServers)
	c.within("budgets.clocks", budgets.ClockDrift, 0, maxClockDrift)
	c.budgetTable("customers", budgets.Customers, quota.Rate, c.unknownCustomer)
	c.budgetTable("retries", budgets.Retries, quota.Rate, c.unknownPool)
	c.budgetTable("calls", budgets.Calls, quota.Concurrency, c.unknownPool)
}

// unknownCustomer says what is wrong with a customer's name, "" for nothing.
func (c *checker) unknownCustomer(name string) string {
	if c.known.Methods != nil && !slices.Contains(c.known.Customers, name) {
		return "no customer of the settings"
	}
	return ""
}

// unknownPool says what is wrong with a pool's name, "" for nothing.
func (c *checker) unknownPool(name string) string {
	if _, has := c.file.Pools[name]; !has {
		return "no pool of this file"
	}
	return ""
}

// budgetTable checks one table of budgets, whose names must be those of known things.
func (c *checker) budgetTable(table string, budgets map[string]Budget, kind quota.Kind, unknown func(name string) string) {
	for _, name := range sortedKeys(budgets) {
		path := entryPath("budgets."+table, name)
		if why := unknown(name); why != "" {
			c.fail(path, "%s", why)
		}
		c.budget(path, budgets[name], kind)
	}
}

func (c *checker) budget(path string, budget Budget, kind quota.Kind) {
	servers := c.file.Budgets.Servers
	n := float64(max(1, servers))
	calls := kind == quota.Concurrency
	c.within(path+".bound", budget.Bound, minBound, maxBound)
	c.within(path+".floor", budget.Floor, 0, maxBound)
	c.within(path+".longest_ms", budget.MaxLeaseMs, minLeaseMs, maxLeaseMs)
	const rounding = 1e-9
	if budget.Floor*n > budget.Bound*(1+rounding) {
		c.fail(path+".floor", "%d servers keep %g together, more than the bound of %g", servers, budget.Floor*n, budget.Bound)
	}
	lingers := budget.LingerMs >= 0 && budget.LingerMs <= maxLingerMs // false for NaN
	burstFits := budget.Burst >= n && budget.Burst <= maxBound
	switch {
	case calls && budget.Burst != 0:
		c.fail(path+".burst", "calls in hand have none")
	case !lingers || !calls && budget.LingerMs != 0:
		c.fail(path+".linger_ms", "a number from 0 to 600000 expected for calls, and none else")
	case calls && budget.Bound < n:
		c.fail(path+".bound", "at least one for each of %d servers expected, %g there", servers, budget.Bound)
	case !calls && !burstFits:
		c.fail(path+".burst", "at least one for each of %d servers expected, %g there: a server with less could not let one through", servers, budget.Burst)
	}
}
