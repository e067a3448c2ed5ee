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

// Expectation is one expectation as an operator writes it: either of a request (Path and the fields up to Unrouted) or of
// the order in which two methods are shed (First, Then, OverQuota).
type Expectation struct {
	Host, Path, Verb, Query string
	Variables               map[string]string // of the request, such as CGI variables

	Method   string // that the request becomes
	Customer string // "": not checked
	Pool     string // that serves it; "": not checked
	Unrouted bool   // no route matches the request

	First, Then string // RPCs of First are shed before those of Then
	OverQuota   bool   // also where those of Then exceed their customer's quota
}

// Settings are what expectations are checked against.
type Settings struct {
	Routes            []route.Rule
	Pools             map[string]string  // by method; the engine serves methods that are not here
	Methods           []string           // nil: not known
	Criticality       map[string]float64 // by method; nil: not known
	OverQuotaFraction float64            // by which the criticality of an RPC over its quota is multiplied
}

// Failure is an expectation that does not hold, or can't be evaluated.
type Failure struct {
	Name       string
	Text       string // what routing does instead, or what is wrong with the expectation
	Untestable bool   // it can't be evaluated as it is written
}

// Check returns the expectations that do not hold, by name. Expectations on settings that are not known here hold.
func Check(all map[string]Expectation, settings Settings) (failures []Failure) {
	table := route.New(settings.Routes)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		x := all[name]
		if text, untestable := settings.check(table, &x); text != "" {
			failures = append(failures, Failure{Name: name, Text: text, Untestable: untestable})
		}
	}
	return failures
}

// check evaluates one expectation; the text is "" if it holds.
func (s *Settings) check(table *route.Table, x *Expectation) (text string, untestable bool) {
	isRequest := x.Path != "" || x.Host != "" || x.Verb != ""
	isOrder := x.First != "" || x.Then != ""
	switch {
	case isRequest && isOrder:
		return "it is a message and an order of methods at once; make two of it", true
	case isRequest:
		if text = s.requestMistake(x); text != "" {
			return text, true
		}
		return s.checkRequest(table, x), false
	case isOrder:
		if text = s.orderMistake(x); text != "" {
			return text, true
		}
		return s.checkOrder(x), false
	}
	return "it names neither a message (path) nor an order (first, then)", true
}

// requestMistake tells what is wrong with an expectation of a request as it is written.
func (s *Settings) requestMistake(x *Expectation) string {
	if text := s.unknownMethod(x.Method); text != "" {
		return text
	}
	switch {
	case x.Unrouted == (x.Method != ""):
		return "either method or none expected"
	case x.Unrouted && (x.Customer != "" || x.Pool != ""):
		return "what no route takes has no customer and no pool"
	case len(x.Path) == 0 || x.Path[0] != '/':
		return fmt.Sprintf("a path that begins with a slash expected, %.60q there", x.Path)
	case !slices.Contains(route.Verbs, x.Verb):
		return fmt.Sprintf("%.20q is no verb that a front takes", x.Verb)
	}
	return ""
}

// checkRequest tells what routing does instead; "" if the expectation holds.
func (s *Settings) checkRequest(table *route.Table, x *Expectation) string {
	resolved, err := table.Resolve(&route.Message{
		Host:      x.Host,
		Path:      x.Path,
		Verb:      x.Verb,
		Query:     x.Query,
		Variables: variables(x.Variables),
	})
	rule := ""
	if resolved.Rule >= 0 && resolved.Rule < len(s.Routes) {
		rule = s.Routes[resolved.Rule].Name
	}
	switch {
	case x.Unrouted && err != nil:
		return ""
	case x.Unrouted:
		return fmt.Sprintf("route %s takes it as %s", rule, resolved.Method)
	case err != nil:
		return fmt.Sprintf("no RPC comes of it: %v", err)
	case resolved.Method != x.Method:
		return fmt.Sprintf("by route %s it becomes %s", rule, resolved.Method)
	case x.Customer != "" && resolved.Customer != x.Customer:
		return fmt.Sprintf("by route %s its customer is %q", rule, resolved.Customer)
	case x.Pool != "" && s.Pools[resolved.Method] != x.Pool:
		return fmt.Sprintf("the work of %s is done by %s", resolved.Method, poolName(s.Pools[resolved.Method]))
	}
	return ""
}

// variables is route's access to a request's variables.
type variables map[string]string

// Get returns a variable by its name.
func (v variables) Get(name string) (string, bool) {
	value, has := v[name]
	return value, has
}

func poolName(name string) string {
	if name == "" {
		return "the engine"
	}
	return "pool " + name
}

// unknownMethod tells of a method that the settings do not have; "" if they do, or their methods are not known.
func (s *Settings) unknownMethod(method string) string {
	if method != "" && s.Methods != nil && !slices.Contains(s.Methods, method) {
		return fmt.Sprintf("%.40q is no method of the settings", method)
	}
	return ""
}

// orderMistake tells what is wrong with an expectation of an order as it is written.
func (s *Settings) orderMistake(x *Expectation) string {
	switch {
	case x.First == "" || x.Then == "":
		return "first and then expected"
	case x.First == x.Then:
		return "a method is not pushed back before itself"
	case x.Method != "" || x.Customer != "" || x.Pool != "" || x.Unrouted:
		return "an order of methods has no method, customer or pool of its own"
	}
	if text := s.unknownMethod(x.First); text != "" {
		return text
	}
	return s.unknownMethod(x.Then)
}

// checkOrder compares by criticality, which is what admission goes by: of equal ones a random one is shed first, and that
// is no order.
func (s *Settings) checkOrder(x *Expectation) string {
	if s.Criticality == nil {
		return ""
	}
	first := s.Criticality[x.First]
	then := s.Criticality[x.Then]
	suffix := ""
	if x.OverQuota {
		then *= s.OverQuotaFraction
		suffix = " beyond its quota"
	}
	if first < then {
		return ""
	}
	return fmt.Sprintf("%s counts %g, and %s%s %g: no less", x.First, first, x.Then, suffix, then)
}
