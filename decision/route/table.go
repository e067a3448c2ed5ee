package route

import (
	"slices"
	"strings"
)

// Table is an index of rules that has a trie of path segments for each host. It is immutable and safe for concurrent use.
type Table struct {
	rules         []Rule
	exactHosts    map[string]*node
	wildcardHosts map[string]*node // by wildcardSuffix
	anyHost       *node
	params        [][]pathParam // by index of the rule
}

// pathParam is a parameter of a rule's path.
type pathParam struct {
	name    string
	segment int // index of its segment, from 0
}

// node is a position in the paths of one host.
type node struct {
	literals  map[string]*node // next position after a literal segment
	parameter *node            // next position after any one segment
	rules     []int            // rules whose path ends here, the most specific first
	tailRules []int            // rules whose tail begins here, the most specific first
}

// New returns an index of the rules. It accepts rules in which Check finds faults; of rules that tie, the one whose name
// sorts first is used.
func New(rules []Rule) *Table {
	t := &Table{
		rules:         rules,
		exactHosts:    map[string]*node{},
		wildcardHosts: map[string]*node{},
	}
	for i := range rules {
		t.params = append(t.params, t.insert(t.hostNode(rules[i].Host), i))
	}
	return t
}

// hostNode returns the root of the trie for a rule's host, which it creates if necessary.
func (t *Table) hostNode(host string) *node {
	if host == "" {
		if t.anyHost == nil {
			t.anyHost = &node{}
		}
		return t.anyHost
	}
	hosts, key := t.exactHosts, host
	if isWildcardHost(host) {
		hosts, key = t.wildcardHosts, wildcardSuffix(host)
	}
	if hosts[key] == nil {
		hosts[key] = &node{}
	}
	return hosts[key]
}

// insert adds a rule below n, the root of its host, and returns the parameters of its path.
func (t *Table) insert(n *node, rule int) (params []pathParam) {
	segments := splitPath(t.rules[rule].Path)
	for i, segment := range segments {
		name, isParam := paramName(segment)
		switch {
		case segment == "*" && i == len(segments)-1:
			n.tailRules = t.bySpecificity(append(n.tailRules, rule))
			return params
		case isParam:
			params = append(params, pathParam{name: name, segment: i})
			if n.parameter == nil {
				n.parameter = &node{}
			}
			n = n.parameter
		default:
			if n.literals == nil {
				n.literals = map[string]*node{}
			}
			if n.literals[segment] == nil {
				n.literals[segment] = &node{}
			}
			n = n.literals[segment]
		}
	}
	n.rules = t.bySpecificity(append(n.rules, rule))
	return params
}

// bySpecificity sorts rules that have the same host and path by precedence and returns them.
func (t *Table) bySpecificity(rules []int) []int {
	slices.SortFunc(rules, func(i, k int) int {
		a, b := &t.rules[i], &t.rules[k]
		switch {
		case a.Verb != "" && b.Verb == "":
			return -1
		case a.Verb == "" && b.Verb != "":
			return 1
		case len(a.When) != len(b.When):
			return len(b.When) - len(a.When)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return rules
}

// Match returns the index of the most specific rule that matches, or -1. It does not allocate.
func (t *Table) Match(m *Message) int {
	return t.visitHosts(m.Host, func(n *node) int { return t.matchPath(n, strings.TrimPrefix(m.Path, "/"), m) })
}

// visitHosts calls visit for the tries that cover a host, the most specific first, until a call returns a rule. It returns
// the index of that rule, or -1.
func (t *Table) visitHosts(host string, visit func(*node) int) int {
	if n := t.exactHosts[host]; n != nil && host != "" {
		if rule := visit(n); rule >= 0 {
			return rule
		}
	}
	if len(t.wildcardHosts) > 0 {
		for i := 1; i < len(host); i++ { // the first dot gives the longest suffix
			if host[i] != '.' {
				continue
			}
			if n := t.wildcardHosts[host[i:]]; n != nil {
				if rule := visit(n); rule >= 0 {
					return rule
				}
			}
		}
	}
	if t.anyHost != nil {
		return visit(t.anyHost)
	}
	return -1
}

// matchPath searches a trie for the rest of a path, more specific branches first, and backtracks if a branch has no
// matching rule. Each node has one depth only, so a search enters it at most once.
func (t *Table) matchPath(n *node, rest string, m *Message) int {
	segment, remaining, deeper := strings.Cut(rest, "/")
	for _, next := range [...]*node{n.literals[segment], n.parameter} {
		if next == nil || next == n.parameter && segment == "" {
			continue
		}
		var rule int
		if deeper {
			rule = t.matchPath(next, remaining, m)
		} else {
			rule = t.firstMatching(next.rules, m)
		}
		if rule >= 0 {
			return rule
		}
	}
	if rest == "" {
		return -1
	}
	return t.firstMatching(n.tailRules, m)
}

// firstMatching returns the first of the rules whose verb and conditions match, or -1.
func (t *Table) firstMatching(rules []int, m *Message) int {
	for _, i := range rules {
		r := &t.rules[i]
		if (r.Verb == "" || r.Verb == m.Verb) && conditionsHold(r.When, m.Variables) {
			return i
		}
	}
	return -1
}

// conditionsHold reports whether all conditions hold.
func conditionsHold(conditions []Condition, variables Variables) bool {
	for i := range conditions {
		value, ok := variables.Get(conditions[i].Variable)
		if !ok || value != conditions[i].Value {
			return false
		}
	}
	return true
}

// Verbs returns the verbs that rules accept for the message's host, path and variables, sorted, regardless of the
// message's own verb. The response to ErrVerbNotAllowed lists them in its Allow header.
func (t *Table) Verbs(m *Message) (verbs []string) {
	add := func(rules []int) {
		for _, i := range rules {
			r := &t.rules[i]
			if r.Verb != "" && conditionsHold(r.When, m.Variables) && !slices.Contains(verbs, r.Verb) {
				verbs = append(verbs, r.Verb)
			}
		}
	}
	t.visitHosts(m.Host, func(n *node) int {
		n.visitRules(strings.TrimPrefix(m.Path, "/"), add)
		return -1 // visit all hosts
	})
	slices.Sort(verbs)
	return verbs
}

// visitRules calls visit with the rules of each path below n that matches the rest of a path.
func (n *node) visitRules(rest string, visit func(rules []int)) {
	segment, remaining, deeper := strings.Cut(rest, "/")
	for _, next := range [...]*node{n.literals[segment], n.parameter} {
		if next == nil || next == n.parameter && segment == "" {
			continue
		}
		if deeper {
			next.visitRules(remaining, visit)
		} else {
			visit(next.rules)
		}
	}
	if rest != "" {
		visit(n.tailRules)
	}
}
