package operator

import (
	"slices"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/expect"
	"sorrelvalve/decision/pool"
	"sorrelvalve/decision/retry"
	"sorrelvalve/decision/route"
	"sorrelvalve/internal/startup"
)

// Expectation is what an operator expects of routing, or of the order in which methods are rejected.
type Expectation struct {
	Host      string            `json:"host,omitempty"`
	Path      string            `json:"path,omitempty"`
	Verb      string            `json:"verb,omitempty"`
	Query     string            `json:"query,omitempty"`
	Variables map[string]string `json:"variables,omitempty"`
	Method    string            `json:"method,omitempty"`
	Customer  string            `json:"customer,omitempty"`
	Pool      string            `json:"pool,omitempty"`
	None      bool              `json:"none,omitempty"`  // no route matches
	First     string            `json:"first,omitempty"` // method that is rejected before Then
	Then      string            `json:"then,omitempty"`
	OverQuota bool              `json:"over_quota,omitempty"` // First is over its customer's quota
}

// checkExpectations checks them against the file's routes and what is known of the settings.
func (f *File) checkExpectations(known route.Catalog) []expect.Failure {
	all := map[string]expect.Expectation{}
	for name, x := range f.Expectations {
		all[name] = expect.Expectation{
			Host:      x.Host,
			Path:      x.Path,
			Verb:      x.Verb,
			Query:     x.Query,
			Variables: x.Variables,
			Method:    x.Method,
			Customer:  x.Customer,
			Pool:      x.Pool,
			Unrouted:  x.None,
			First:     x.First,
			Then:      x.Then,
			OverQuota: x.OverQuota,
		}
	}
	settings := expect.Settings{
		Routes:            f.Rules(),
		Pools:             map[string]string{},
		Methods:           known.Methods,
		Criticality:       known.Criticality,
		OverQuotaFraction: known.OverQuotaFraction,
	}
	if f.Limits.OverQuotaFraction != nil {
		settings.OverQuotaFraction = *f.Limits.OverQuotaFraction
	}
	for name, method := range f.Methods {
		settings.Pools[name] = method.Pool
	}
	return expect.Check(all, settings)
}

// Apply puts the file's limits and queue over those of the settings.
func (f *File) Apply(settings *startup.Config) {
	settings.Limits.DisplaceableFor = f.Queue.SettledMs
	if f.Limits.OverQuotaFraction != nil {
		settings.Fleet.OverQuotaFraction = *f.Limits.OverQuotaFraction
	}
	if f.Limits.RunsPerCore > 0 {
		settings.Limits.MaxRunsPerCore = f.Limits.RunsPerCore
	}
	settings.Customers = slices.Clone(settings.Customers)
	for i := range settings.Customers {
		customer := &settings.Customers[i]
		if quota, has := f.Limits.Quotas[customer.Name]; has {
			customer.Quota = quota
		}
	}
}

// KnownNames returns the names that a file may use, from the settings.
func KnownNames(settings *startup.Config) route.Catalog {
	known := route.Catalog{
		RequireToken:      map[string]bool{},
		Criticality:       map[string]float64{},
		OverQuotaFraction: settings.Fleet.OverQuotaFraction,
	}
	for _, method := range settings.Methods {
		known.Criticality[method.Name] = method.Criticality
		known.Methods = append(known.Methods, method.Name)
		known.RequireToken[method.Name] = method.Idempotency == control.IdempotencyKeyed
	}
	for _, customer := range settings.Customers {
		known.Customers = append(known.Customers, customer.Name)
	}
	return known
}

// Rules returns the routes for package route, in the order of their names.
func (f *File) Rules() []route.Rule {
	var rules []route.Rule
	for _, name := range sortedKeys(f.Routes) {
		r := f.Routes[name]
		rule := route.Rule{
			Name:     name,
			Host:     r.Host,
			Path:     r.Path,
			Verb:     r.Verb,
			Method:   r.Method,
			Customer: r.Customer.source(),
			Caller:   r.Caller.source(),
			Token:    r.Token.source(),
			Subject:  r.Subject.source(),
			Retry:    r.Retry.source(),
			CostHint: r.Hint.source(),
			Arrival:  r.Door.source(),
		}
		for _, variable := range sortedKeys(r.When) {
			rule.When = append(rule.When, route.Condition{Variable: variable, Value: r.When[variable]})
		}
		rules = append(rules, rule)
	}
	return rules
}

// source is s for package route; a nil one is the zero value, which reads nothing.
func (s *Source) source() route.Source {
	if s == nil {
		return route.Source{}
	}
	return route.Source{Fixed: s.Fixed, Variable: s.Variable, Segment: s.Segment, Query: s.Query, Names: s.Names}
}

// Rules returns the pool's rules for package pool.
func (p *Pool) Rules() pool.Config {
	return pool.Config{
		MaxConnections:      p.MaxConnections,
		MaxQueued:           p.MaxQueued,
		QueueTimeout:        p.QueueTimeoutMs,
		ConsecutiveFailures: p.MaxFailures,
		LatencyFactor:       p.OutlierFactor,
		MinHealthyShare:     p.MinShare,
		BaseEjection:        p.EjectionMs,
		SlowStart:           p.RecoveryMs,
		HealthCheckInterval: p.HealthCheckMs,
		RoundRobin:          p.RoundRobin,
	}
}

// RetryRules returns the rules of the pool's retry budget.
func (p *Pool) RetryRules() retry.Config {
	return retry.Config{RetryRatio: p.Retry.Share, MinPerSecond: p.Retry.Floor, MaxAttempts: p.Retry.MaxAttempts}
}

// fleetDescriptors is what membership takes: two sockets that listen, 32 exchanges that come in, two that go out, the
// operators' socket and its eight readers, with some to spare.
const fleetDescriptors = 48

// Descriptors returns how many file descriptors the file's parts may take at once, beside the connections of the fronts.
func (f *File) Descriptors() int {
	n := 0
	for _, pool := range f.Pools {
		n += len(pool.Members) * pool.MaxConnections
		if pool.HealthCheckMs > 0 {
			n += len(pool.Members)
		}
	}
	if f.UWSGI != nil {
		n++
	}
	if f.Fleet != nil {
		n += fleetDescriptors
	}
	return n
}

// Milliseconds converts a time of the file.
func Milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
