// Package expect checks expectations, which operators write as tests of their settings, without any traffic: that a
// request becomes an RPC of a given method, for a given customer, served by a given pool, and that RPCs of one method are
// shed before those of another. A failed expectation is reported with what routing does instead. An expectation that
// cannot be evaluated is reported as such and never counted as passed. The package is pure: no I/O and no state between
// calls.
package expect

import (
	"fmt"
	"maps"
	"slices"

	"sorrelvalve/decision/route"
)

// Expectation is one expectation as an operator writes it. It is either about a request (the fields from Host to Unrouted)
// or about the order in which two methods are shed (First, Then, OverQuota).
type Expectation struct {
	Host, Path, Verb, Query string
	Variables               map[string]string // variables of the request, such as CGI variables

	Method   string // of the RPC that the request becomes
	Customer string // of that RPC; "": not checked
	Pool     string // that serves that RPC; "": not checked
	Unrouted bool   // no route matches the request

	First, Then string // RPCs of First are shed before those of Then
	OverQuota   bool   // also if those of Then exceed their customer's quota
}

// Settings are what expectations are checked against.
type Settings struct {
	Routes            []route.Rule
	Pools             map[string]string  // pool by method; the engine serves all other methods
	Methods           []string           // nil: unknown
	Criticality       map[string]float64 // by method; nil: unknown
	OverQuotaFraction float64            // factor on the criticality of an RPC over its customer's quota
}

// Failure is an expectation that does not hold or cannot be evaluated.
type Failure struct {
	Name       string
	Text       string // what happens instead, or what is wrong with the expectation
	Untestable bool   // the expectation cannot be evaluated as it is written
}

// Check returns the failures of the expectations, sorted by name. An expectation that depends on unknown settings holds. The
// texts are reported to other servers and stored with a release that a server rejects.
func Check(expectations map[string]Expectation, settings Settings) (failures []Failure) {
	table := route.New(settings.Routes)
	for _, name := range slices.Sorted(maps.Keys(expectations)) {
		expectation := expectations[name]
		if text, untestable := settings.check(table, &expectation); text != "" {
			failures = append(failures, Failure{Name: name, Text: text, Untestable: untestable})
		}
	}
	return failures
}

// check evaluates one expectation. The text is "" if the expectation holds.
func (s *Settings) check(table *route.Table, expectation *Expectation) (text string, untestable bool) {
	isRequest := expectation.Path != "" || expectation.Host != "" || expectation.Verb != ""
	isOrder := expectation.First != "" || expectation.Then != ""
	switch {
	case isRequest && isOrder:
		return "it is a message and an order of methods at once; make two of it", true
	case isRequest:
		if text = s.requestMistake(expectation); text != "" {
			return text, true
		}
		return s.checkRequest(table, expectation), false
	case isOrder:
		if text = s.orderMistake(expectation); text != "" {
			return text, true
		}
		return s.checkOrder(expectation), false
	}
	return "it names neither a message (path) nor an order (first, then)", true
}

// requestMistake describes what is wrong with an expectation about a request as it is written; "" if nothing is.
func (s *Settings) requestMistake(expectation *Expectation) string {
	if text := s.unknownMethod(expectation.Method); text != "" {
		return text
	}
	switch {
	case expectation.Unrouted == (expectation.Method != ""):
		return "either method or none expected"
	case expectation.Unrouted && (expectation.Customer != "" || expectation.Pool != ""):
		return "what no route takes has no customer and no pool"
	case len(expectation.Path) == 0 || expectation.Path[0] != '/':
		return fmt.Sprintf("a path that begins with a slash expected, %.60q there", expectation.Path)
	case !slices.Contains(route.Verbs, expectation.Verb):
		return fmt.Sprintf("%.20q is no verb that a front takes", expectation.Verb)
	}
	return ""
}

// checkRequest describes what routing does instead of what is expected; "" if the expectation holds.
func (s *Settings) checkRequest(table *route.Table, expectation *Expectation) string {
	resolved, err := table.Resolve(&route.Message{
		Host:      expectation.Host,
		Path:      expectation.Path,
		Verb:      expectation.Verb,
		Query:     expectation.Query,
		Variables: variables(expectation.Variables),
	})
	rule := ""
	if resolved.Rule >= 0 && resolved.Rule < len(s.Routes) {
		rule = s.Routes[resolved.Rule].Name
	}
	switch {
	case expectation.Unrouted && err != nil:
		return ""
	case expectation.Unrouted:
		return fmt.Sprintf("route %s takes it as %s", rule, resolved.Method)
	case err != nil:
		return fmt.Sprintf("no RPC comes of it: %v", err)
	case resolved.Method != expectation.Method:
		return fmt.Sprintf("by route %s it becomes %s", rule, resolved.Method)
	case expectation.Customer != "" && resolved.Customer != expectation.Customer:
		return fmt.Sprintf("by route %s its customer is %q", rule, resolved.Customer)
	case expectation.Pool != "" && s.Pools[resolved.Method] != expectation.Pool:
		return fmt.Sprintf("the work of %s is done by %s", resolved.Method, poolName(s.Pools[resolved.Method]))
	}
	return ""
}

// variables gives package route access to a request's variables.
type variables map[string]string

// Get returns a variable by its name.
func (v variables) Get(name string) (string, bool) {
	value, ok := v[name]
	return value, ok
}

func poolName(name string) string {
	if name == "" {
		return "the engine"
	}
	return "pool " + name
}

// unknownMethod describes a method that is not in the settings; "" if it is, or if the methods of the settings are unknown.
func (s *Settings) unknownMethod(method string) string {
	if method != "" && s.Methods != nil && !slices.Contains(s.Methods, method) {
		return fmt.Sprintf("%.40q is no method of the settings", method)
	}
	return ""
}

// orderMistake describes what is wrong with an expectation about an order as it is written; "" if nothing is.
func (s *Settings) orderMistake(expectation *Expectation) string {
	switch {
	case expectation.First == "" || expectation.Then == "":
		return "first and then expected"
	case expectation.First == expectation.Then:
		return "a method is not pushed back before itself"
	case expectation.Method != "" || expectation.Customer != "" || expectation.Pool != "" || expectation.Unrouted:
		return "an order of methods has no method, customer or pool of its own"
	}
	if text := s.unknownMethod(expectation.First); text != "" {
		return text
	}
	return s.unknownMethod(expectation.Then)
}

// checkOrder compares the criticality of the two methods, by which admission sheds RPCs. Among RPCs of equal criticality a
// random one is shed first, so that equal methods have no order. It returns "" if the expectation holds.
func (s *Settings) checkOrder(expectation *Expectation) string {
	if s.Criticality == nil {
		return ""
	}
	first := s.Criticality[expectation.First]
	then := s.Criticality[expectation.Then]
	suffix := ""
	if expectation.OverQuota {
		then *= s.OverQuotaFraction
		suffix = " beyond its quota"
	}
	if first < then {
		return ""
	}
	return fmt.Sprintf("%s counts %g, and %s%s %g: no less", expectation.First, first, expectation.Then, suffix, then)
}
