package route

import (
	"fmt"
	"strings"
)

// checkTies reports rules that tie in precedence, and rules for any verb that can never match because other rules with the
// same host and path take all requests of every verb.
func (c *checker) checkTies() {
	for _, group := range c.groupByHostAndPath() {
		unconditionalVerbs := map[string]bool{} // verbs for which a rule without conditions exists
		for _, i := range group {
			r := &c.rules[i]
			if r.Verb != "" && len(r.When) == 0 {
				unconditionalVerbs[r.Verb] = true
			}
		}
		for n, i := range group {
			c.rule = i
			r := &c.rules[i]
			if r.Verb == "" && len(unconditionalVerbs) >= len(Verbs) {
				c.add("verb", "can never match: each verb has a route of its own for this host and path")
			}
			for _, k := range group[:n] {
				if earlier := &c.rules[k]; tie(r, earlier) {
					c.add("path", fmt.Sprintf("ties with route %q: both can match the same RPC, and neither is more specific", earlier.Name))
				}
			}
		}
	}
}

// hostAndPath identifies rules that have the same host and the same path, regardless of the names of path parameters.
type hostAndPath struct{ host, pathShape string }

// groupByHostAndPath returns the indexes of the rules by host and path. Each list is in the order of the rules.
func (c *checker) groupByHostAndPath() map[hostAndPath][]int {
	groups := map[hostAndPath][]int{}
	for i := range c.rules {
		r := &c.rules[i]
		segments := splitPath(r.Path)
		for k, segment := range segments {
			if _, isParam := paramName(segment); isParam {
				segments[k] = "{}"
			}
		}
		key := hostAndPath{host: r.Host, pathShape: strings.Join(segments, "/")}
		groups[key] = append(groups[key], i)
	}
	return groups
}

// tie reports whether two rules with the same host and path can match the same RPC and neither is more specific.
func tie(a, b *Rule) bool {
	return a.Verb == b.Verb && len(a.When) == len(b.When) && compatible(a.When, b.When)
}

// compatible reports whether two sets of conditions can hold at once.
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
