package route

import (
	"fmt"
	"strings"
)

// checkTies finds rules of one host and path that tie in precedence, and those that other rules leave nothing to.
func (c *checker) checkTies() {
	for _, group := range c.rulesByPlace() {
		unconditionalVerbs := map[string]bool{} // verbs that a rule without conditions takes all RPCs of
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
					c.add("path", fmt.Sprintf("ties with route %q: both can fit one RPC, and neither is more telling", earlier.Name))
				}
			}
		}
	}
}

// place is the host and the path of rules, whatever the names of the path's parameters.
type place struct{ host, pathShape string }

// rulesByPlace returns the indexes of the rules by place, each list in the order of the rules.
func (c *checker) rulesByPlace() map[place][]int {
	groups := map[place][]int{}
	for i := range c.rules {
		r := &c.rules[i]
		segments := splitPath(r.Path)
		for k, segment := range segments {
			if _, isParam := paramName(segment); isParam {
				segments[k] = "{}"
			}
		}
		p := place{host: r.Host, pathShape: strings.Join(segments, "/")}
		groups[p] = append(groups[p], i)
	}
	return groups
}

// tie reports whether two rules of one place can match the same RPC and neither is more specific.
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
