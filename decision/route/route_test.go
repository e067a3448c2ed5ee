package route

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

type variables map[string]string

func (v variables) Get(name string) (string, bool) { value, ok := v[name]; return value, ok }

// linearScan is the reference implementation for tests and benchmarks of the index. It compares all rules that match by
// precedence.
type linearScan struct{ rules []Rule }

func (scan linearScan) match(m *Message) int {
	best := -1
	for i := range scan.rules {
		if scan.matches(i, m) && (best < 0 || scan.before(i, best)) {
			best = i
		}
	}
	return best
}

func (scan linearScan) matches(i int, m *Message) bool {
	r := &scan.rules[i]
	subdomain := strings.HasPrefix(r.Host, "*.") && strings.HasSuffix(m.Host, r.Host[1:]) && len(m.Host) > len(r.Host)-1
	if r.Host != "" && r.Host != m.Host && !subdomain {
		return false
	}
	want, got := splitPath(r.Path), splitPath(m.Path)
	for k, s := range want {
		if s == "*" && k == len(want)-1 {
			if len(got) <= k || len(got) == k+1 && got[k] == "" {
				return false
			}
			got = got[:len(want)]
			break
		}
		if _, isParam := paramName(s); k >= len(got) || isParam && got[k] == "" || !isParam && s != got[k] {
			return false
		}
	}
	return len(want) == len(got) && (r.Verb == "" || r.Verb == m.Verb) && conditionsHold(r.When, m.Variables)
}

func (scan linearScan) before(i, k int) bool {
	a, b := &scan.rules[i], &scan.rules[k]
	hostRank := func(host string) int { // exact hosts rank highest, then longer wildcards, then any host
		switch {
		case host == "":
			return 0
		case strings.HasPrefix(host, "*."):
			return len(host)
		}
		return 1 << 20
	}
	if hostRank(a.Host) != hostRank(b.Host) {
		return hostRank(a.Host) > hostRank(b.Host)
	}
	x, y := splitPath(a.Path), splitPath(b.Path)
	for n := range min(len(x), len(y)) {
		rank := func(s []string) int {
			if _, isParam := paramName(s[n]); isParam {
				return 1
			} else if s[n] == "*" && n == len(s)-1 {
				return 0
			}
			return 2
		}
		if rank(x) != rank(y) {
			return rank(x) > rank(y)
		}
	}
	if (a.Verb == "") != (b.Verb == "") {
		return a.Verb != ""
	}
	if len(a.When) != len(b.When) {
		return len(a.When) > len(b.When)
	}
	return a.Name < b.Name
}

// TestMatchEqualsScan checks that the index finds the same rule as a linear scan, regardless of the order of the rules.
func TestMatchEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []string{"", "a.net", "x.a.net", "*.a.net", "*.net", "*.x.a.net"}
		segments := []string{"a", "b", "{p}", "{q}"}
		var rules []Rule
		for i := range rapid.IntRange(1, 25).Draw(t, "rules") {
			path := ""
			for range rapid.IntRange(1, 4).Draw(t, "depth") {
				path += "/" + rapid.SampledFrom(segments).Draw(t, "segment")
			}
			path += rapid.SampledFrom([]string{"", "", "/", "/*"}).Draw(t, "end")
			r := Rule{Name: fmt.Sprint(i), Host: rapid.SampledFrom(hosts).Draw(t, "host"), Path: path,
				Verb: rapid.SampledFrom([]string{"", "GET", "POST"}).Draw(t, "verb"), Method: "view"}
			for range rapid.IntRange(0, 2).Draw(t, "conditions") {
				r.When = append(r.When, Condition{rapid.SampledFrom([]string{"X", "Y"}).Draw(t, "variable"),
					rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")})
			}
			rules = append(rules, r)
		}
		table := New(rules)
		reversedRules := slices.Clone(rules)
		slices.Reverse(reversedRules)
		reversed := New(reversedRules)
		for range 20 {
			path := ""
			for range rapid.IntRange(1, 5).Draw(t, "depth of m") {
				path += "/" + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "segment of m")
			}
			path += rapid.SampledFrom([]string{"", "/"}).Draw(t, "end of m")
			m := &Message{Host: rapid.SampledFrom([]string{"a.net", "x.a.net", "y.x.a.net", "b.net", ""}).Draw(t, "host of m"), Path: path,
				Verb: rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "verb of m"), Variables: variables{"X": "1", "Y": "2"}}
			want := linearScan{rules}.match(m)
			if got := table.Match(m); got != want {
				t.Fatalf("message %+v: matched rule %d, want %d of %+v", m, got, want, rules)
			}
			if got := reversed.Match(m); got != want && got != len(rules)-1-want {
				t.Fatalf("message %+v: match depends on the order of the rules: got %d, want %d", m, len(rules)-1-got, want)
			}
		}
	})
}

func TestResolve(t *testing.T) {
	table := New([]Rule{
		{Name: "buy", Path: "/accounts/{id}/topup", Verb: "POST", Method: "topup-buy", Customer: Source{Variable: "PROVIDER", Names: map[string]string{"kw": "kaipara"}},
			Caller: Source{Variable: "REMOTE_ADDR"}, Token: Source{Variable: "HTTP_IDEMPOTENCY_KEY"}, Retry: Source{Query: "again"}, CostHint: Source{Variable: "WORK_MS"}},
		{Name: "view", Path: "/accounts/{id}/*", Method: "account-view", Subject: Source{Segment: "id"}, Customer: Source{Fixed: "kaipara"}},
	})
	cases := []struct {
		name, verb, path, query string
		vars                    variables
		want                    string
		err                     error
		key                     string // of a ValueError
	}{
		{"all values", "POST", "/accounts/7/topup", "a=b&again=1", variables{"PROVIDER": "kw", "HTTP_IDEMPOTENCY_KEY": "k", "WORK_MS": "12.5", "REMOTE_ADDR": "::1"}, "topup-buy kaipara k true 12.5", nil, ""},
		{"tail, other verb", "GET", "/accounts/7/topup", "", variables{}, "account-view kaipara  false 0", nil, ""},
		{"no such path", "GET", "/accounts", "", variables{}, "", ErrNoRoute, ""},
		{"a customer that is not in the names", "POST", "/accounts/7/topup", "", variables{"PROVIDER": "other"}, "", nil, "customer"},
		{"a hint that is not a number", "POST", "/accounts/7/topup", "", variables{"WORK_MS": "NaN"}, "", nil, "hint"},
		{"a negative hint", "POST", "/accounts/7/topup", "", variables{"WORK_MS": "-1"}, "", nil, "hint"},
		{"an invalid retry mark", "POST", "/accounts/7/topup", "again=yes", variables{}, "", nil, "retry"},
		{"a token that is too long", "POST", "/accounts/7/topup", "", variables{"HTTP_IDEMPOTENCY_KEY": strings.Repeat("k", 65)}, "", nil, "token"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, err := table.Resolve(&Message{Host: "h", Path: c.path, Verb: c.verb, Query: c.query, Variables: c.vars})
			var bad *ValueError
			switch {
			case c.key != "":
				if !errors.As(err, &bad) || bad.Key != c.key {
					t.Errorf("Resolve: got error %v, want a ValueError for key %s", err, c.key)
				}
			case c.err != nil:
				if !errors.Is(err, c.err) {
					t.Errorf("Resolve: got error %v, want %v", err, c.err)
				}
			default:
				if got := fmt.Sprint(f.Method, " ", f.Customer, " ", f.Token, " ", f.Retry, " ", f.CostHintMs); err != nil || got != c.want {
					t.Errorf("resolved: got %q, error %v", got, err)
				}
			}
		})
	}
	buy := New([]Rule{{Name: "buy", Path: "/buy", Verb: "POST", Method: "m"}, {Name: "put", Path: "/{x}", Verb: "PUT", Method: "m"}})
	m := &Message{Path: "/buy", Verb: "GET", Variables: variables{}}
	if _, err := buy.Resolve(m); !errors.Is(err, ErrVerbNotAllowed) || fmt.Sprint(buy.Verbs(m)) != "[POST PUT]" {
		t.Errorf("message whose verb no rule accepts: got error %v and verbs %v, want ErrVerbNotAllowed and [POST PUT]", err, buy.Verbs(m))
	}
}

func TestCheck(t *testing.T) {
	catalog := Catalog{Methods: []string{"view", "buy"}, RequireToken: map[string]bool{"buy": true}, Customers: []string{"acme"}}
	valid := Rule{Name: "a", Path: "/a", Method: "view", Customer: Source{Fixed: "acme"}}
	with := func(change func(*Rule)) []Rule { r := valid; change(&r); return []Rule{r} }
	second := func(change func(*Rule)) []Rule { r := valid; r.Name = "b"; change(&r); return []Rule{valid, r} }
	var verbs []Rule
	for _, v := range Verbs {
		r := valid
		r.Name, r.Verb = v, v
		verbs = append(verbs, r)
	}
	cases := []struct {
		name  string
		rules []Rule
		want  string // "" for none
	}{
		{"valid", []Rule{valid}, ""},
		{"no name", with(func(r *Rule) { r.Name = "" }), "name: a name is required"},
		{"a duplicate name", second(func(r *Rule) { r.Name, r.Path = "a", "/b" }), "name: \"a\" is already the name of route 1"},
		{"a host with a port", with(func(r *Rule) { r.Host = "a.net:80" }), "host: can never match"},
		{"a host in upper case", with(func(r *Rule) { r.Host = "A.net" }), "host: can never match"},
		{"a star within a host", with(func(r *Rule) { r.Host = "a.*.net" }), "host: can never match"},
		{"no path", with(func(r *Rule) { r.Path = "" }), "path: can never match"},
		{"a path with a query", with(func(r *Rule) { r.Path = "/a?b" }), "path: can never match"},
		{"an empty segment", with(func(r *Rule) { r.Path = "/a//b" }), "path: can never match"},
		{"a star before the end", with(func(r *Rule) { r.Path = "/a/*/b" }), "path: can never match"},
		{"a parameter used twice", with(func(r *Rule) { r.Path = "/{x}/{x}" }), "path: the parameter {x} is used twice"},
		{"a parameter as part of a segment", with(func(r *Rule) { r.Path = "/a{x}" }), "path: a segment must be a literal"},
		{"a verb that no front accepts", with(func(r *Rule) { r.Verb = "TRACE" }), "verb: can never match"},
		{"a verb in lower case", with(func(r *Rule) { r.Verb = "get" }), "verb: can never match"},
		{"conditions that contradict one another", with(func(r *Rule) { r.When = []Condition{{"X", "1"}, {"X", "2"}} }), "when[1].value: can never match"},
		{"a condition that contradicts the verb", with(func(r *Rule) { r.Verb, r.When = "GET", []Condition{{"REQUEST_METHOD", "PUT"}} }), "when[0].value: can never match"},
		{"a condition that contradicts the path", with(func(r *Rule) { r.When = []Condition{{"PATH_INFO", "/b"}} }), "when[0].value: can never match"},
		{"a condition that contradicts the host", with(func(r *Rule) { r.Host, r.When = "a.net", []Condition{{"HTTP_HOST", "b.net"}} }), "when[0].value: can never match"},
		{"a condition that agrees with the host", with(func(r *Rule) { r.Host, r.When = "a.net", []Condition{{"HTTP_HOST", "a.net:80"}} }), ""},
		{"an unknown method", with(func(r *Rule) { r.Method = "sell" }), "method: \"sell\" is no method"},
		{"an unknown customer", with(func(r *Rule) { r.Customer.Fixed = "other" }), "customer: \"other\" is no customer"},
		{"an unknown customer in the names", with(func(r *Rule) { r.Customer = Source{Variable: "X", Names: map[string]string{"x": "other"}} }), "customer: \"other\" is no customer"},
		{"no customer", with(func(r *Rule) { r.Customer = Source{} }), "customer: the settings have customers"},
		{"tokened method without a token", with(func(r *Rule) { r.Method = "buy" }), "token: buy is tokened"},
		{"a fixed token", with(func(r *Rule) { r.Method, r.Token.Fixed = "buy", "k" }), "token.fixed: "},
		{"two sources", with(func(r *Rule) { r.Subject = Source{Variable: "X", Query: "y"} }), "subject: at most one of"},
		{"a parameter that the path lacks", with(func(r *Rule) { r.Subject.Segment = "id" }), "subject.segment: the path has no parameter"},
		{"names of a fixed value", with(func(r *Rule) { r.CostHint = Source{Fixed: "1", Names: map[string]string{}} }), "hint.names: "},
		{"two routes that tie", second(func(*Rule) {}), "path: ties with route \"a\""},
		{"two routes that differ only in the names of parameters", []Rule{{Name: "a", Path: "/{x}", Method: "view", Customer: valid.Customer}, {Name: "b", Path: "/{y}", Method: "view", Customer: valid.Customer}}, "path: ties"},
		{"a single route with a condition", second(func(r *Rule) { r.When = []Condition{{"Y", "1"}} })[1:], ""},
		{"conditions that can both hold", append(second(func(r *Rule) { r.When = []Condition{{"Y", "1"}} })[1:], Rule{Name: "c", Path: "/a", Method: "view", Customer: valid.Customer, When: []Condition{{"X", "1"}}}), "path: ties with route \"b\""},
		{"conditions that cannot both hold", append(second(func(r *Rule) { r.When = []Condition{{"X", "2"}} })[1:], Rule{Name: "c", Path: "/a", Method: "view", Customer: valid.Customer, When: []Condition{{"X", "1"}}}), ""},
		{"a route with more conditions than another", second(func(r *Rule) { r.When = []Condition{{"Y", "1"}} }), ""},
		{"any verb if each verb has its own route", append(verbs, valid), "verb: can never match: each verb"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			faults := Check(c.rules, catalog)
			if c.want == "" && len(faults) > 0 {
				t.Fatalf("faults: got %+v, want none", faults)
			}
			for _, f := range faults {
				if strings.HasPrefix(f.Key+": "+f.Text, c.want) {
					return
				}
			}
			if c.want != "" {
				t.Errorf("faults: got %+v, want %s", faults, c.want)
			}
		})
	}
}

// BenchmarkMatch compares the index with a linear scan of the rules in the order of precedence.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		random := rand.New(rand.NewSource(1))
		var rules []Rule
		for i := range n {
			path := fmt.Sprintf("/service%d/%s/item%d", i%97, []string{"{id}", "all"}[i%2], i)
			rules = append(rules, Rule{Name: fmt.Sprint(i), Host: []string{"", "a.net", "*.b.net"}[i%3], Path: path, Verb: []string{"GET", "POST", ""}[i%3]})
		}
		random.Shuffle(n, func(i, k int) { rules[i], rules[k] = rules[k], rules[i] })
		messages := make([]Message, 256)
		for k := range messages {
			i := random.Intn(n + n/10 + 1) // some match no rule
			messages[k] = Message{Host: []string{"c.org", "a.net", "x.b.net"}[i%3], Path: fmt.Sprintf("/service%d/%s/item%d", i%97, []string{"77", "all"}[i%2], i),
				Verb: []string{"GET", "POST", "PUT"}[i%3], Variables: variables{}}
		}
		byPrecedence := slices.Clone(rules)
		slices.SortStableFunc(byPrecedence, func(x, y Rule) int {
			pair := linearScan{[]Rule{x, y}}
			if pair.before(0, 1) {
				return -1
			}
			return 1
		})
		table, scan := New(rules), linearScan{byPrecedence}
		b.Run(fmt.Sprintf("trie/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for k := 0; b.Loop(); k++ {
				table.Match(&messages[k%len(messages)])
			}
		})
		b.Run(fmt.Sprintf("scan/%d", n), func(b *testing.B) {
			for k := 0; b.Loop(); k++ {
				for i := range scan.rules {
					if scan.matches(i, &messages[k%len(messages)]) {
						break
					}
				}
			}
		})
	}
}
