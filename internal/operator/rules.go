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

// Expectation is an operator's test of routing, or of the order in which methods are rejected.
type Expectation struct {
	Host      string            `json:"host,omitempty"`
	Path      string            `json:"path,omitempty"`
	Verb      string            `json:"verb,omitempty"`
	Query     string            `json:"query,omitempty"`
	Variables map[string]string `json:"variables,omitempty"`
	Method    string            `json:"method,omitempty"`
	Customer  string            `json:"customer,omitempty"`
	Pool      string            `json:"pool,omitempty"`
	None      bool              `json:"none,omitempty"`  // no route matches the request
	First     string            `json:"first,omitempty"` // method whose RPCs are rejected before those of Then
	Then      string            `json:"then,omitempty"`
	OverQuota bool              `json:"over_quota,omitempty"` // also if RPCs of Then are over their customer's quota
}

// checkExpectations checks the file's expectations against its routes and the names in the settings.
func (f *File) checkExpectations(known route.Catalog) []expect.Failure {
	expectations := map[string]expect.Expectation{}
	for name, x := range f.Expectations {
		expectations[name] = expect.Expectation{
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
	return expect.Check(expectations, settings)
}

// Apply overrides the limits and the queue in the settings with those of the file.
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
		if quota, ok := f.Limits.Quotas[customer.Name]; ok {
			customer.Quota = quota
		}
	}
}

// KnownNames returns the names of the settings that a file may refer to.
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

// Rules returns the routes for package route, sorted by name.
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

// source converts s for package route. A nil s gives the zero value, which yields no value for the field.
func (s *Source) source() route.Source {
	if s == nil {
		return route.Source{}
	}
	return route.Source{Fixed: s.Fixed, Variable: s.Variable, Segment: s.Segment, Query: s.Query, Names: s.Names}
}

// Rules returns the pool's configuration for package pool.
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

// RetryRules returns the configuration of the pool's retry budget for package retry.
func (p *Pool) RetryRules() retry.Config {
	return retry.Config{RetryRatio: p.Retry.Share, MinPerSecond: p.Retry.Floor, MaxAttempts: p.Retry.MaxAttempts}
}

// fleetDescriptors is the number of file descriptors for fleet membership: two listening sockets, 32 incoming and two outgoing
// streams, the operators' socket and its eight connections, and a margin.
const fleetDescriptors = 48

// Descriptors returns the maximum number of file descriptors that the parts of the file use at the same time, excluding the
// connections of the fronts.
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

// Milliseconds converts a time of the file, which is in milliseconds.
func Milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
