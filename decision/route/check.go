package route

// This file validates rules before they are used, and reports rules that are malformed or can never match. A rule that
// can't be validated must be reported as well, never skipped.

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Fault is an error in one rule.
type Fault struct {
	Rule int    // index of the rule
	Key  string // key in the rule, such as name, path or token.variable
	Text string
}

// Catalog holds the declarations of the settings. A nil Methods, RequireToken, Customers or Criticality means that these
// declarations are not known.
type Catalog struct {
	Methods      []string
	RequireToken map[string]bool // methods whose RPCs must carry an idempotency token
	Customers    []string

	Criticality       map[string]float64 // by method
	OverQuotaFraction float64            // fraction of its criticality that an RPC over its customer's quota keeps
}

// Verbs are the HTTP methods that the fronts accept.
var Verbs = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// Check returns all faults of the rules, in the order of the rules.
func Check(rules []Rule, catalog Catalog) (faults []Fault) {
	c := checker{rules: rules, catalog: catalog}
	firstByName := map[string]int{}
	for i := range rules {
		c.rule = i
		r := &rules[i]
		if r.Name == "" {
			c.add("name", "a name is required")
		} else if first, taken := firstByName[r.Name]; taken {
			c.add("name", fmt.Sprintf("%q is already the name of route %d", r.Name, first+1))
		} else {
			firstByName[r.Name] = i
		}
		c.checkHost(r)
		c.checkPath(r)
		c.checkVerb(r)
		c.checkConditions(r)
		c.checkMethod(r)
		c.checkSources(r)
		c.checkCustomer(r)
	}
	c.checkTies()
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Rule - b.Rule })
	return c.faults
}

// checker collects the faults of rules.
type checker struct {
	rules   []Rule
	catalog Catalog
	rule    int // index of the rule being checked
	faults  []Fault
}

func (c *checker) add(key, text string) {
	c.faults = append(c.faults, Fault{Rule: c.rule, Key: key, Text: text})
}

func (c *checker) checkHost(r *Rule) {
	h := strings.TrimPrefix(r.Host, "*.")
	switch {
	case r.Host == "":
	case h == "" || strings.HasPrefix(h, ".") || strings.HasSuffix(h, ".") || strings.Contains(h, ".."):
		c.add("host", "can never match: must be a host name, or *. followed by a host name")
	case strings.ContainsAny(h, "*/ :@"):
		c.add("host", "can never match: must be a host name without a port; a star is allowed only in *. at the beginning")
	case h != strings.ToLower(h):
		c.add("host", "can never match: hosts are compared in lower case")
	}
}

func (c *checker) checkPath(r *Rule) {
	if !strings.HasPrefix(r.Path, "/") {
		c.add("path", "can never match: a path must begin with a slash")
		return
	}
	if strings.ContainsAny(r.Path, "?#\x00") {
		c.add("path", "can never match: a path cannot contain ?, # or a NUL byte")
	}
	seen := map[string]bool{}
	segments := splitPath(r.Path)
	for i, segment := range segments {
		name, isParam := paramName(segment)
		isLast := i == len(segments)-1
		switch {
		case segment == "" && !isLast, segment == ".", segment == "..":
			c.add("path", "can never match: paths with empty, . or .. segments are rejected")
		case segment == "*" && !isLast:
			c.add("path", "can never match: a star is allowed only as the last segment")
		case isParam && seen[name]:
			c.add("path", fmt.Sprintf("the parameter {%s} is used twice", name))
		case isParam:
			seen[name] = true
		case segment != "*" && strings.ContainsAny(segment, "{}*"):
			c.add("path", fmt.Sprintf("a segment must be a literal, {name} or *, not %.40q", segment))
		}
	}
}

func (c *checker) checkVerb(r *Rule) {
	if r.Verb != "" && !slices.Contains(Verbs, r.Verb) {
		c.add("verb", fmt.Sprintf("can never match: the accepted verbs are %s", strings.Join(Verbs, ", ")))
	}
}

// checkConditions reports conditions that contradict one another or the rule's own host, path or verb.
func (c *checker) checkConditions(r *Rule) {
	seen := map[string]string{}
	for i, condition := range r.When {
		key := fmt.Sprintf("when[%d]", i)
		earlier, repeated := seen[condition.Variable]
		seen[condition.Variable] = condition.Value
		switch {
		case condition.Variable == "":
			c.add(key+".variable", "a variable name is required")
		case repeated && earlier != condition.Value:
			c.add(key+".value", fmt.Sprintf("can never match: another condition requires %s to be %q", condition.Variable, earlier))
		case repeated:
			c.add(key+".variable", fmt.Sprintf("%s is used in two conditions", condition.Variable))
		case condition.Variable == "REQUEST_METHOD" && r.Verb != "" && condition.Value != r.Verb:
			c.add(key+".value", fmt.Sprintf("can never match: the verb of the route is %s", r.Verb))
		case condition.Variable == "PATH_INFO" && !pathMatches(r.Path, condition.Value):
			c.add(key+".value", fmt.Sprintf("can never match: the path of the route is %s", r.Path))
		case condition.Variable == "HTTP_HOST" && !hostMatches(r.Host, condition.Value):
			c.add(key+".value", fmt.Sprintf("can never match: the host of the route is %s", r.Host))
		}
	}
}

// pathMatches reports whether a path matches the path pattern of a rule.
func pathMatches(pattern, path string) bool {
	t := New([]Rule{{Path: pattern}})
	return t.Match(&Message{Path: path}) == 0
}

// hostMatches reports whether a host, which may have a port, matches the host pattern of a rule.
func hostMatches(pattern, host string) bool {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	t := New([]Rule{{Host: pattern, Path: "/"}})
	return t.Match(&Message{Host: host, Path: "/"}) == 0
}

// checkMethod checks the RPC method, and the token if the method requires one.
func (c *checker) checkMethod(r *Rule) {
	switch {
	case r.Method == "":
		c.add("method", "a method name is required")
	case c.catalog.Methods != nil && !slices.Contains(c.catalog.Methods, r.Method):
		c.add("method", fmt.Sprintf("%q is no method of the settings", r.Method))
	case c.catalog.RequireToken[r.Method] && r.Token.isEmpty():
		c.add("token", fmt.Sprintf("%s is tokened: without a token none of its RPCs can run", r.Method))
	case c.catalog.RequireToken[r.Method] && r.Token.Fixed != "":
		c.add("token.fixed", "a fixed token would make all RPCs duplicates of the first")
	}
}

func (c *checker) checkSources(r *Rule) {
	for _, s := range []struct {
		key    string
		source *Source
	}{
		{"customer", &r.Customer},
		{"caller", &r.Caller},
		{"token", &r.Token},
		{"subject", &r.Subject},
		{"retry", &r.Retry},
		{"hint", &r.CostHint},
		{"door", &r.Arrival},
	} {
		c.checkSource(r, s.key, s.source)
	}
}

func (c *checker) checkSource(r *Rule, key string, s *Source) {
	kinds := 0
	for _, value := range []string{s.Fixed, s.Variable, s.Segment, s.Query} {
		if value != "" {
			kinds++
		}
	}
	if kinds > 1 {
		c.add(key, "at most one of fixed, variable, segment and query may be set")
	}
	if s.Names != nil && (kinds == 0 || s.Fixed != "") {
		c.add(key+".names", "names require a variable, a segment or a query key")
	}
	if s.Segment == "" {
		return
	}
	for _, segment := range splitPath(r.Path) {
		if name, isParam := paramName(segment); isParam && name == s.Segment {
			return
		}
	}
	c.add(key+".segment", fmt.Sprintf("the path has no parameter {%s}", s.Segment))
}

// checkCustomer checks that a rule sets the customer if the settings declare customers, and that it names no others.
func (c *checker) checkCustomer(r *Rule) {
	if len(c.catalog.Customers) == 0 {
		return
	}
	if r.Customer.isEmpty() {
		c.add("customer", "the settings have customers, so a route must set the customer of its RPCs")
	}
	named := []string{r.Customer.Fixed}
	if r.Customer.Names != nil {
		named = slices.Sorted(maps.Values(r.Customer.Names))
	}
	for _, name := range named {
		if name != "" && !slices.Contains(c.catalog.Customers, name) {
			c.add("customer", fmt.Sprintf("%q is no customer of the settings", name))
		}
	}
}
