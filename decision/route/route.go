// Package route chooses what an RPC is that came as a message of the web: which method, for which customer, from which
// caller, with which token. It goes by typed rules, of which the most telling one that fits counts, wherever it stands
// in the file. It does no I/O, has no clock and keeps nothing between calls; a Table is never changed after New, so any
// number of goroutines may use it. It must never decide whether an RPC is taken.
//
// Precedence, from the first that differs: an exact host, then the longer wildcard, then any; segment by segment of
// the path from the left a literal one, then a parameter, then the tail; one verb before any; more conditions before
// fewer. Rules that tie in all of that and can fit the same RPC are a fault that Check names.
package route

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rule is one route, as an operator writes it.
type Rule struct {
	Name   string
	Host   string // "" for any; exact, in lower case; or *.example.net for all below it
	Path   string // /accounts/{id}/usage, or with a last segment * for one or more of any kind
	Verb   string // "" for any
	When   []Condition
	Method string

	Customer Source
	Caller   Source
	Token    Source
	Subject  Source
	Retry    Source
	Hint     Source
	Door     Source
}

// Condition is a variable that must have a value.
type Condition struct{ Variable, Value string }

// Source is where a value is taken from: the first of its fields that is set. The zero Source gives nothing.
type Source struct {
	Fixed    string
	Variable string            // of the block
	Segment  string            // a parameter of the path
	Query    string            // a key of the query
	Names    map[string]string // what was read, to what it stands for; if set, anything else is an error
}

func (s *Source) isEmpty() bool {
	return s.Fixed == "" && s.Variable == "" && s.Segment == "" && s.Query == ""
}

// Variables is how a block is read.
type Variables interface {
	Get(name string) (value string, has bool)
}

// Message is what is known of an RPC before it is one. Host is in lower case and without a port, Path begins with a
// slash and has no empty segment but the last.
type Message struct {
	Host, Path, Verb, Query string
	Variables               Variables
}

// Found is what a message turned out to be.
type Resolved struct {
	Rule     int // its place in the rules
	Method   string
	Customer string
	Caller   uint64 // hash; 0 for none
	Token    string
	Subject  uint64 // hash; 0 for none
	Retry    bool
	Hint     float64 // ms; 0 for none
	Door     float64 // Unix ms; 0 for none
}

// What can be wrong with a message. A ValueError says which value of its rule it is.
var (
	ErrNoRoute        = errors.New("no route fits")
	ErrVerbNotAllowed = errors.New("no route for that path takes the verb")
)

// ValueError is a value that could not be read.
type ValueError struct{ Rule, Key, Want, Got string }

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s (route %s): %s expected, %.40q there", e.Key, e.Rule, e.Want, e.Got)
}

// Table is the index of the rules: for each host a trie of path segments.
type Table struct {
	rules         []Rule
	exactHosts    map[string]*node
	wildcardHosts map[string]*node // by what follows the star, from its dot
	anyHost       *node
	params        [][]pathParam
}

type pathParam struct {
	name    string
	segment int // its segment, from 0
}

type node struct {
	literals  map[string]*node // by a literal segment
	parameter *node            // any one segment
	rules     []int            // rules that end here, the most telling first
	tailRules []int            // rules with a tail from here on
}

// New indexes the rules. What Check would find wrong with them does not keep it from it; of rules that tie, the one
// whose name is first in the alphabet is taken.
func New(rules []Rule) *Table {
	t := &Table{rules: rules, exactHosts: map[string]*node{}, wildcardHosts: map[string]*node{}}
	for i := range rules {
		r := &rules[i]
		var root **node
		var known *node
		switch {
		case r.Host == "":
			root = &t.anyHost
		case strings.HasPrefix(r.Host, "*."):
			known = t.wildcardHosts[r.Host[1:]]
			root = &known
		default:
			known = t.exactHosts[r.Host]
			root = &known
		}
		if *root == nil {
			*root = &node{}
			if strings.HasPrefix(r.Host, "*.") {
				t.wildcardHosts[r.Host[1:]] = *root
			} else if r.Host != "" {
				t.exactHosts[r.Host] = *root
			}
		}
		t.params = append(t.params, t.insert(*root, i))
	}
	return t
}

func (t *Table) insert(n *node, rule int) (params []pathParam) {
	segments := splitPath(t.rules[rule].Path)
	for at, s := range segments {
		name, isParam := paramName(s)
		switch {
		case s == "*" && at == len(segments)-1:
			n.tailRules = t.bySpecificity(append(n.tailRules, rule))
			return params
		case isParam:
			params = append(params, pathParam{name, at})
			if n.parameter == nil {
				n.parameter = &node{}
			}
			n = n.parameter
		default:
			if n.literals == nil {
				n.literals = map[string]*node{}
			}
			if n.literals[s] == nil {
				n.literals[s] = &node{}
			}
			n = n.literals[s]
		}
	}
	n.rules = t.bySpecificity(append(n.rules, rule))
	return params
}

func (t *Table) bySpecificity(rules []int) []int {
	slices.SortFunc(rules, func(a, b int) int {
		x, y := &t.rules[a], &t.rules[b]
		switch {
		case (x.Verb == "") != (y.Verb == ""):
			if x.Verb != "" {
				return -1
			}
			return 1
		case len(x.When) != len(y.When):
			return len(y.When) - len(x.When)
		}
		return strings.Compare(x.Name, y.Name)
	})
	return rules
}

// split is the segments of a path, which begins with a slash.
func splitPath(path string) []string { return strings.Split(strings.TrimPrefix(path, "/"), "/") }

func paramName(segment string) (name string, is bool) {
	if len(segment) > 2 && segment[0] == '{' && segment[len(segment)-1] == '}' {
		return segment[1 : len(segment)-1], true
	}
	return "", false
}

// Find chooses the rule that fits a message best and reads what it says. The error is ErrNoRoute, ErrVerb or a
// *ValueError; nothing may run then.
func (t *Table) Resolve(m *Message) (f Resolved, err error) {
	rule := t.Match(m)
	if rule < 0 {
		if len(t.Verbs(m)) > 0 {
			return f, ErrVerbNotAllowed
		}
		return f, ErrNoRoute
	}
	return t.resolveValues(rule, m)
}

// Match is the place of the rule that fits best, or -1. It allocates nothing.
func (t *Table) Match(m *Message) int {
	return t.visitHosts(m.Host, func(n *node) int { return t.matchPath(n, strings.TrimPrefix(m.Path, "/"), m) })
}

// roots calls visit for the trees in which a host may stand, in their order, until one returns a place.
func (t *Table) visitHosts(host string, visit func(*node) int) int {
	if n := t.exactHosts[host]; n != nil && host != "" {
		if r := visit(n); r >= 0 {
			return r
		}
	}
	if len(t.wildcardHosts) > 0 {
		for i := 0; i < len(host); i++ { // the first dot gives the longest suffix
			if host[i] != '.' || i == 0 {
				continue
			}
			if n := t.wildcardHosts[host[i:]]; n != nil {
				if r := visit(n); r >= 0 {
					return r
				}
			}
		}
	}
	if t.anyHost != nil {
		return visit(t.anyHost)
	}
	return -1
}

// walk goes down a tree, the more telling branch first, and back where it leads to nothing. A node stands at one depth
// only, so it is entered once for a message at the most.
func (t *Table) matchPath(n *node, rest string, m *Message) int {
	segment, more, deeper := strings.Cut(rest, "/")
	for _, next := range [...]*node{n.literals[segment], n.parameter} {
		if next == nil || next == n.parameter && segment == "" {
			continue
		}
		if deeper {
			if r := t.matchPath(next, more, m); r >= 0 {
				return r
			}
		} else if r := t.firstMatching(next.rules, m); r >= 0 {
			return r
		}
	}
	if rest == "" {
		return -1
	}
	return t.firstMatching(n.tailRules, m)
}

func (t *Table) firstMatching(rules []int, m *Message) int {
	for _, i := range rules {
		if r := &t.rules[i]; (r.Verb == "" || r.Verb == m.Verb) && conditionsHold(r.When, m.Variables) {
			return i
		}
	}
	return -1
}

func conditionsHold(when []Condition, v Variables) bool {
	for i := range when {
		if got, has := v.Get(when[i].Variable); !has || got != when[i].Value {
			return false
		}
	}
	return true
}

// Verbs are those that routes for the message's host and path take, in their order, whatever its own verb; for the
// answer to one with a verb that none takes.
func (t *Table) Verbs(m *Message) (verbs []string) {
	var collect func(n *node, rest string)
	take := func(rules []int) {
		for _, i := range rules {
			if r := &t.rules[i]; r.Verb != "" && conditionsHold(r.When, m.Variables) && !slices.Contains(verbs, r.Verb) {
				verbs = append(verbs, r.Verb)
			}
		}
	}
	collect = func(n *node, rest string) {
		segment, more, deeper := strings.Cut(rest, "/")
		for _, next := range [...]*node{n.literals[segment], n.parameter} {
			if next == nil || next == n.parameter && segment == "" {
				continue
			}
			if deeper {
				collect(next, more)
			} else {
				take(next.rules)
			}
		}
		if rest != "" {
			take(n.tailRules)
		}
	}
	t.visitHosts(m.Host, func(n *node) int { collect(n, strings.TrimPrefix(m.Path, "/")); return -1 })
	slices.Sort(verbs)
	return verbs
}

const (
	maxCostHint   = 3.6e6 // ms: an hour of work is no hint
	maxTokenBytes = 64    // bytes, as with the routers' protocol, so that either may carry any
)

func (t *Table) resolveValues(rule int, m *Message) (f Resolved, err error) {
	r := &t.rules[rule]
	f = Resolved{Rule: rule, Method: r.Method}
	get := func(key string, s *Source) string {
		if err != nil {
			return ""
		}
		v := t.sourceValue(rule, s, m)
		if s.Names == nil || v == "" {
			return v
		}
		name, known := s.Names[v]
		if !known {
			err = &ValueError{r.Name, key, "one of the names of the route", v}
		}
		return name
	}
	number := func(key string, s *Source, most float64) float64 {
		v := get(key, s)
		if v == "" || err != nil {
			return 0
		}
		x, bad := strconv.ParseFloat(v, 64)
		if bad != nil || !(x >= 0 && x <= most) {
			err = &ValueError{r.Name, key, fmt.Sprintf("a number from 0 to %g", most), v}
			return 0
		}
		return x
	}
	f.Customer = get("customer", &r.Customer)
	if v := get("caller", &r.Caller); v != "" {
		f.Caller = xxhash.Sum64String(v)
	}
	if f.Token = get("token", &r.Token); len(f.Token) > maxTokenBytes {
		err = &ValueError{r.Name, "token", fmt.Sprintf("up to %d bytes", maxTokenBytes), f.Token}
	}
	if v := get("subject", &r.Subject); v != "" {
		f.Subject = max(1, xxhash.Sum64String(v))
	}
	switch v := get("retry", &r.Retry); v {
	case "", "0":
	case "1":
		f.Retry = true
	default:
		if err == nil {
			err = &ValueError{r.Name, "retry", "0 or 1", v}
		}
	}
	f.Hint = number("hint", &r.Hint, maxCostHint)
	f.Door = number("door", &r.Door, 1e14)
	return f, err
}

// value reads a source. A value that is not there is "".
func (t *Table) sourceValue(rule int, s *Source, m *Message) string {
	switch {
	case s.Fixed != "":
		return s.Fixed
	case s.Variable != "":
		v, _ := m.Variables.Get(s.Variable)
		return v
	case s.Segment != "":
		for _, p := range t.params[rule] {
			if p.name == s.Segment {
				return pathSegment(m.Path, p.segment)
			}
		}
	case s.Query != "":
		return queryValue(m.Query, s.Query)
	}
	return ""
}

func pathSegment(path string, at int) string {
	rest := strings.TrimPrefix(path, "/")
	for ; at > 0; at-- {
		_, rest, _ = strings.Cut(rest, "/")
	}
	s, _, _ := strings.Cut(rest, "/")
	return s
}

// query is the first value of a key, as it stands: tokens and ids need no escapes, and one that has some is another
// value than one that has none.
func queryValue(q, key string) string {
	for q != "" {
		var part string
		part, q, _ = strings.Cut(q, "&")
		if name, v, _ := strings.Cut(part, "="); name == key {
			return v
		}
	}
	return ""
}
