package route

// This file owns what can be said of rules before any message comes: which are no rules, which can never fit, which
// tie. It must never pass over a rule that it can't judge: that is a fault as well.

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing wrong with the rules. Key is the key within the rule, as name, path or token.variable.
type Fault struct {
	Rule int
	Key  string
	Text string
}

// Known is what the settings know. A nil Tokened or empty Customers says nothing about them.
type Catalog struct {
	Methods      []string
	RequireToken map[string]bool // methods whose RPCs must carry a token
	Customers    []string

	Criticality     map[string]float64 // by method; nil: not known
	OverQuotaFactor float64            // what an RPC over its customer's quota keeps of it
}

// Verbs are those that the fronts take.
var Verbs = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// Check names all that is wrong with the rules, in their order.
func Check(rules []Rule, k Catalog) (faults []Fault) {
	c := checker{rules: rules, catalog: k}
	names := map[string]int{}
	for i := range rules {
		c.rule = i
		r := &rules[i]
		if r.Name == "" {
			c.add("name", "a name expected")
		} else if first, had := names[r.Name]; had {
			c.add("name", fmt.Sprintf("%q is the name of route %d already", r.Name, first+1))
		} else {
			names[r.Name] = i
		}
		c.checkHost(r)
		c.checkPath(r)
		c.checkVerb(r)
		c.checkConditions(r)
		c.checkSources(r)
	}
	c.checkTies()
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Rule - b.Rule })
	return c.faults
}

type checker struct {
	rules   []Rule
	catalog Catalog
	rule    int
	faults  []Fault
}

func (c *checker) add(key, text string) { c.faults = append(c.faults, Fault{c.rule, key, text}) }

func (c *checker) checkHost(r *Rule) {
	h := strings.TrimPrefix(r.Host, "*.")
	switch {
	case r.Host == "":
	case h == "" || strings.HasPrefix(h, ".") || strings.HasSuffix(h, ".") || strings.Contains(h, ".."):
		c.add("host", "can never match: a host name expected, or *. and one")
	case strings.ContainsAny(h, "*/ :@"):
		c.add("host", "can never match: a host name without port expected; a star stands only as *. at its beginning")
	case h != strings.ToLower(h):
		c.add("host", "can never match: hosts are compared in lower case")
	}
}

func (c *checker) checkPath(r *Rule) {
	if !strings.HasPrefix(r.Path, "/") {
		c.add("path", "can never match: a path begins with a slash")
		return
	}
	if strings.ContainsAny(r.Path, "?#\x00") {
		c.add("path", "can never match: a path ends before ? and #")
	}
	seen := map[string]bool{}
	segments := splitPath(r.Path)
	for i, s := range segments {
		name, isParam := paramName(s)
		switch {
		case s == "" && i < len(segments)-1, s == ".", s == "..":
			c.add("path", "can never match: paths with empty, . or .. segments are turned away")
		case s == "*" && i < len(segments)-1:
			c.add("path", "can never match: a star is the last segment")
		case isParam && seen[name]:
			c.add("path", fmt.Sprintf("the parameter {%s} stands twice", name))
		case isParam:
			seen[name] = true
		case s != "*" && strings.ContainsAny(s, "{}*"):
			c.add("path", fmt.Sprintf("a segment is literal, {name} or *, not %.40q", s))
		}
	}
}

func (c *checker) checkVerb(r *Rule) {
	if r.Verb != "" && !slices.Contains(Verbs, r.Verb) {
		c.add("verb", fmt.Sprintf("can never match: the verbs taken are %s", strings.Join(Verbs, ", ")))
	}
}

// when finds conditions that go against one another or against the rule's own host, path and verb.
func (c *checker) checkConditions(r *Rule) {
	seen := map[string]string{}
	for i, w := range r.When {
		key := fmt.Sprintf("when[%d]", i)
		old, had := seen[w.Variable]
		seen[w.Variable] = w.Value
		switch {
		case w.Variable == "":
			c.add(key+".variable", "the name of a variable expected")
		case had && old != w.Value:
			c.add(key+".value", fmt.Sprintf("can never match: %s must be %q as well", w.Variable, old))
		case had:
			c.add(key+".variable", fmt.Sprintf("%s stands twice", w.Variable))
		case w.Variable == "REQUEST_METHOD" && r.Verb != "" && w.Value != r.Verb:
			c.add(key+".value", fmt.Sprintf("can never match: the verb of the route is %s", r.Verb))
		case w.Variable == "PATH_INFO" && !pathMatches(r.Path, w.Value):
			c.add(key+".value", fmt.Sprintf("can never match: the path of the route is %s", r.Path))
		case w.Variable == "HTTP_HOST" && !hostMatches(r.Host, w.Value):
			c.add(key+".value", fmt.Sprintf("can never match: the host of the route is %s", r.Host))
		}
	}
}

// fits tells whether a path can be the one of a route.
func pathMatches(pattern, path string) bool {
	t := New([]Rule{{Path: pattern}})
	return t.Match(&Message{Path: path}) == 0
}

// hostFits tells the same of a host, which may bear a port.
func hostMatches(pattern, host string) bool {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	t := New([]Rule{{Host: pattern, Path: "/"}})
	return t.Match(&Message{Host: host, Path: "/"}) == 0
}

func (c *checker) checkSources(r *Rule) {
	switch {
	case r.Method == "":
		c.add("method", "the name of a method expected")
	case c.catalog.Methods != nil && !slices.Contains(c.catalog.Methods, r.Method):
		c.add("method", fmt.Sprintf("%q is no method of the settings", r.Method))
	case c.catalog.RequireToken[r.Method] && r.Token.isEmpty():
		c.add("token", fmt.Sprintf("%s is tokened: without a token none of its RPCs can run", r.Method))
	case c.catalog.RequireToken[r.Method] && r.Token.Fixed != "":
		c.add("token.fixed", "a fixed token would make all RPCs repeats of one")
	}
	for _, s := range []struct {
		key string
		src *Source
	}{{"customer", &r.Customer}, {"caller", &r.Caller}, {"token", &r.Token}, {"subject", &r.Subject},
		{"retry", &r.Retry}, {"hint", &r.Hint}, {"door", &r.Door}} {
		c.checkSource(r, s.key, s.src)
	}
	if len(c.catalog.Customers) == 0 {
		return
	}
	if r.Customer.isEmpty() {
		c.add("customer", "the settings have customers, so a route must tell whose its RPCs are")
	}
	told := []string{r.Customer.Fixed}
	if r.Customer.Names != nil {
		told = told[:0]
		for _, name := range r.Customer.Names {
			told = append(told, name)
		}
		slices.Sort(told)
	}
	for _, name := range told {
		if name != "" && !slices.Contains(c.catalog.Customers, name) {
			c.add("customer", fmt.Sprintf("%q is no customer of the settings", name))
		}
	}
}

func (c *checker) checkSource(r *Rule, key string, s *Source) {
	n := 0
	for _, set := range []string{s.Fixed, s.Variable, s.Segment, s.Query} {
		if set != "" {
			n++
		}
	}
	if n > 1 {
		c.add(key, "one of fixed, variable, segment and query expected")
	}
	if s.Names != nil && (n == 0 || s.Fixed != "") {
		c.add(key+".names", "names go with a variable, a segment or a query key")
	}
	if s.Segment == "" {
		return
	}
	for _, p := range splitPath(r.Path) {
		if name, is := paramName(p); is && name == s.Segment {
			return
		}
	}
	c.add(key+".segment", fmt.Sprintf("the path has no parameter {%s}", s.Segment))
}

// ties finds rules of one host and path of which the order does not tell which counts, and those that others leave
// nothing to.
func (c *checker) checkTies() {
	type place struct{ host, shape string }
	groups := map[place][]int{}
	for i := range c.rules {
		r := &c.rules[i]
		segments := splitPath(r.Path)
		for k, s := range segments {
			if _, is := paramName(s); is {
				segments[k] = "{}"
			}
		}
		p := place{r.Host, strings.Join(segments, "/")}
		groups[p] = append(groups[p], i)
	}
	for _, group := range groups {
		plain := map[string]int{} // the verbs of which all is taken by a rule without conditions
		for _, i := range group {
			if r := &c.rules[i]; r.Verb != "" && len(r.When) == 0 {
				plain[r.Verb] = i
			}
		}
		for n, i := range group {
			a := &c.rules[i]
			c.rule = i
			if a.Verb == "" && len(plain) >= len(Verbs) {
				c.add("verb", "can never match: each verb has a route of its own for this host and path")
			}
			for _, k := range group[:n] {
				if b := &c.rules[k]; a.Verb == b.Verb && len(a.When) == len(b.When) && compatible(a.When, b.When) {
					c.add("path", fmt.Sprintf("ties with route %q: both can fit one RPC, and neither is more telling", b.Name))
				}
			}
		}
	}
}

// together tells whether two sets of conditions can hold at once.
func compatible(a, b []Condition) bool {
	for _, x := range a {
		for _, y := range b {
			if x.Variable == y.Variable && x.Value != y.Value {
				return false
			}
		}
	}
	return true
}
