// Package expect checks route expectations, expected routing written as tests, against settings without any traffic:
// that a request becomes an RPC of a given method, for a given customer, served by a given pool, and that RPCs of one
// method are shed before those of another. A failed expectation is reported with what routing does instead; an
// expectation that cannot be evaluated is reported as such and never counted as passed. The package is pure: no I/O
// and no state between calls.
package expect

import (
	"fmt"
	"maps"
	"slices"

	"sorrelvalve/decision/route"
)

// Expectation is one, as an operator writes it: either a message and what it comes to, or an order of two methods.
type Expectation struct {
	Host, Path, Verb, Query string
	Variables               map[string]string

	Method   string // that the message becomes
	Customer string // "": not looked at
	Pool     string // that does the work; "": not looked at
	Unrouted bool   // no route takes it

	First, Then string // RPCs of First are pushed back before those of Then
	OverQuota   bool   // also where those of Then are beyond their customer's quota
}

// Settings are what expectations are held against.
type Settings struct {
	Routes          []route.Rule
	Pools           map[string]string  // by method; methods that are not here are the engine's
	Methods         []string           // nil: not known here
	Criticality     map[string]float64 // by method; nil: not known here
	OverQuotaFactor float64            // what an RPC over its quota keeps of its criticality
}

// Failure is an expectation that does not hold, or can't be tested.
type Failure struct {
	Name       string
	Text       string
	Untestable bool // it can never be tested as it is written
}

// Check returns those that do not hold, by name. What needs settings that are not known is left to whoever knows them.
func Check(all map[string]Expectation, s Settings) (faults []Failure) {
	table := route.New(s.Routes)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		x := all[name]
		add := func(untested bool, format string, a ...any) {
			faults = append(faults, Failure{name, fmt.Sprintf(format, a...), untested})
		}
		message, order := x.Path != "" || x.Host != "" || x.Verb != "", x.First != "" || x.Then != ""
		switch {
		case message && order:
			add(true, "it is a message and an order of methods at once; make two of it")
		case message:
			s.message(table, &x, add)
		case order:
			s.order(&x, add)
		default:
			add(true, "it names neither a message (path) nor an order (first, then)")
		}
	}
	return faults
}

type values map[string]string

func (v values) Get(name string) (string, bool) { x, has := v[name]; return x, has }

func (s *Settings) message(table *route.Table, x *Expectation, add func(bool, string, ...any)) {
	if s.known(x.Method, add) {
		return
	}
	switch {
	case x.Unrouted == (x.Method != ""):
		add(true, "either method or none expected")
		return
	case x.Unrouted && (x.Customer != "" || x.Pool != ""):
		add(true, "what no route takes has no customer and no pool")
		return
	case len(x.Path) == 0 || x.Path[0] != '/':
		add(true, "a path that begins with a slash expected, %.60q there", x.Path)
		return
	case !slices.Contains(route.Verbs, x.Verb):
		add(true, "%.20q is no verb that a front takes", x.Verb)
		return
	}
	found, err := table.Resolve(&route.Message{Host: x.Host, Path: x.Path, Verb: x.Verb, Query: x.Query, Variables: values(x.Variables)})
	rule := ""
	if found.Rule >= 0 && found.Rule < len(s.Routes) {
		rule = s.Routes[found.Rule].Name
	}
	switch {
	case x.Unrouted && err != nil:
		return
	case x.Unrouted:
		add(false, "route %s takes it as %s", rule, found.Method)
	case err != nil:
		add(false, "no RPC comes of it: %v", err)
	case found.Method != x.Method:
		add(false, "by route %s it becomes %s", rule, found.Method)
	case x.Customer != "" && found.Customer != x.Customer:
		add(false, "by route %s its customer is %q", rule, found.Customer)
	case x.Pool != "" && s.Pools[found.Method] != x.Pool:
		add(false, "the work of %s is done by %s", found.Method, pool(s.Pools[found.Method]))
	}
}

func pool(name string) string {
	if name == "" {
		return "the engine"
	}
	return "pool " + name
}

// known tells of a method that the settings do not have.
func (s *Settings) known(method string, add func(bool, string, ...any)) (bad bool) {
	if method != "" && s.Methods != nil && !slices.Contains(s.Methods, method) {
		add(true, "%.40q is no method of the settings", method)
		return true
	}
	return false
}

// order is by criticality, which is what admission goes by: equal ones are told apart by chance, and that is no order.
func (s *Settings) order(x *Expectation, add func(bool, string, ...any)) {
	switch {
	case x.First == "" || x.Then == "":
		add(true, "first and then expected")
		return
	case x.First == x.Then:
		add(true, "a method is not pushed back before itself")
		return
	case x.Method != "" || x.Customer != "" || x.Pool != "" || x.Unrouted:
		add(true, "an order of methods has no method, customer or pool of its own")
		return
	}
	if s.known(x.First, add) || s.known(x.Then, add) || s.Criticality == nil {
		return
	}
	a, b := s.Criticality[x.First], s.Criticality[x.Then]
	if x.OverQuota {
		b *= s.OverQuotaFactor
	}
	if !(a < b) {
		over := ""
		if x.OverQuota {
			over = " beyond its quota"
		}
		add(false, "%s counts %g, and %s%s %g: no less", x.First, a, x.Then, over, b)
	}
}
