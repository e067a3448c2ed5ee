package configure

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// parseTree parses a tree from JSON.
func parseTree(s string) Tree {
	var t Tree
	if err := json.Unmarshal([]byte(s), &t); err != nil {
		panic(err)
	}
	return t
}

// toJSON returns the JSON text of a value.
func toJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// checkTree returns a violation for each leaf with the value "bad".
func checkTree(t Tree) (violations []Violation) {
	for _, c := range Diff(Tree{}, t) {
		if c.After == "bad" {
			violations = append(violations, Violation{c.Path, "bad"})
		}
	}
	return violations
}

func newStore(t interface{ Fatal(...any) }, first string) *Store {
	store, err := New(Version{Number: 1, Origin: "file", Tree: parseTree(first)}, checkTree, func(_, after Tree) (reasons []string) {
		if after["quota"] == 0.0 {
			reasons = append(reasons, "topup-buy: nothing left")
		}
		return reasons
	}, []Path{{"uwsgi", "listen"}}, 5)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// firstSettings are the settings of the first version.
const firstSettings = `{"quota":5,"uwsgi":{"listen":"a","keep":"asked"},"pools":{"p":{"members":["x","y"],"wait":3}}}`

func TestCommit(t *testing.T) {
	cases := []struct {
		name  string
		ops   []Operation
		force bool
		want  string // running settings afterwards; "" if unchanged
		err   string // part of the error; "" for none
	}{
		{"update", []Operation{{Update, Path{"pools", "p"}, parseTree(`{"wait":4}`)}}, false,
			`{"pools":{"p":{"members":["x","y"],"wait":4}},"quota":5,"uwsgi":{"keep":"asked","listen":"a"}}`, ""},
		{"replace drops keys that are not in the new value", []Operation{{Replace, Path{"pools", "p"}, parseTree(`{"wait":4}`)}}, false,
			`{"pools":{"p":{"wait":4}},"quota":5,"uwsgi":{"keep":"asked","listen":"a"}}`, ""},
		{"deletes are applied first, then replaces, then updates", []Operation{
			{Update, Path{"pools", "p", "wait"}, 7.0}, {Replace, Path{"pools", "p"}, parseTree(`{"wait":4,"a":1}`)}, {Delete, Path{"pools"}, nil}}, false,
			`{"pools":{"p":{"a":1,"wait":7}},"quota":5,"uwsgi":{"keep":"asked","listen":"a"}}`, ""},
		{"delete of a missing path", []Operation{{Delete, Path{"none", "x"}, nil}}, false, "", ""},
		{"update without a difference", []Operation{{Update, Path{"quota"}, 5.0}}, false, "", ""},
		{"one invalid operation rejects the whole candidate", []Operation{{Update, Path{"quota"}, 6.0}, {Update, Path{"pools", "p", "wait"}, 9.0}, {Update, Path{"uwsgi", "keep"}, "bad"}}, false, "", "/uwsgi/keep: bad"},
		{"path through a leaf", []Operation{{Update, Path{"quota", "x"}, 6.0}}, false, "", "through a leaf"},
		{"change that requires a restart", []Operation{{Update, Path{"quota"}, 6.0}, {Update, Path{"uwsgi", "listen"}, "b"}}, false, "", "/uwsgi/listen: only a new start"},
		{"delete of a table with a leaf that requires a restart", []Operation{{Delete, Path{"uwsgi"}, nil}}, false, "", "/uwsgi/listen: only a new start"},
		{"starvation", []Operation{{Update, Path{"quota"}, 0.0}}, false, "", "starves: topup-buy"},
		{"forced starvation", []Operation{{Update, Path{"quota"}, 0.0}}, true,
			`{"pools":{"p":{"members":["x","y"],"wait":3}},"quota":0,"uwsgi":{"keep":"asked","listen":"a"}}`, ""},
		{"replace of the root", []Operation{{Replace, nil, parseTree(`{"uwsgi":{"listen":"a"},"quota":1}`)}}, false, `{"quota":1,"uwsgi":{"listen":"a"}}`, ""},
		{"replace of the root by a leaf", []Operation{{Replace, nil, 5.0}}, false, "", "through a leaf"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := newStore(t, firstSettings)
			before := toJSON(store.Running().Tree)
			candidate, base, err := store.Candidate(c.ops)
			if err == nil {
				_, err = store.Commit(candidate, base, 7, "test", c.force)
			}
			if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
				t.Fatalf("error: got %v, want %q", err, c.err)
			}
			want := c.want
			if want == "" {
				want = before
			}
			if got := toJSON(store.Running().Tree); got != want {
				t.Errorf("running settings: got %s, want %s", got, want)
			}
			if changed := store.Running().Number > 1; changed != (c.want != "") {
				t.Errorf("running version: got %d, want above 1 only if the settings changed", store.Running().Number)
			}
		})
	}
}

// If two candidates are built from the same version, the commit of the second one fails with ErrConflict.
func TestCommitConflict(t *testing.T) {
	store := newStore(t, firstSettings)
	candidate, base, err := store.Candidate([]Operation{{Update, Path{"quota"}, 6.0}})
	if err != nil {
		t.Fatal(err)
	}
	conflicting, conflictingBase, err := store.Candidate([]Operation{{Update, Path{"quota"}, 7.0}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(candidate, base, 1, "a", false); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(conflicting, conflictingBase, 2, "b", false); !errors.Is(err, ErrConflict) || store.Running().Tree["quota"] != 6.0 {
		t.Errorf("second commit: error %v, running settings %s", err, toJSON(store.Running().Tree))
	}
}

// With random commits, rejected commits and rollbacks, the running settings pass the checks, rejected changes have no effect,
// version numbers increase by one, at most the configured number of versions is retained, and applying the result of Diff to
// one tree yields the other.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newStore(t, firstSettings)
		last := 1
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := store.Running()
			beforeJSON := toJSON(before.Tree)
			var err error
			if rapid.IntRange(0, 3).Draw(t, "rollback") == 0 {
				_, err = store.Rollback(rapid.IntRange(0, last).Draw(t, "to"), 1, "r", false)
			} else {
				var ops []Operation
				for range rapid.IntRange(1, 4).Draw(t, "operations") {
					path := rapid.SampledFrom([]Path{{"quota"}, {"uwsgi"}, {"uwsgi", "keep"}, {"uwsgi", "listen"}, {"pools", "p"}, {"pools", "q", "wait"}, {"pools"}}).Draw(t, "path")
					value := rapid.SampledFrom([]any{1.0, 0.0, "bad", "good", parseTree(`{"wait":1}`), parseTree(`{}`), []any{"x"}}).Draw(t, "value")
					ops = append(ops, Operation{Kind(rapid.IntRange(0, 2).Draw(t, "kind")), path, value})
				}
				var candidate Tree
				var base int
				if candidate, base, err = store.Candidate(ops); err == nil {
					changes := Diff(before.Tree, candidate)
					_, err = store.Commit(candidate, base, 1, "c", rapid.Bool().Draw(t, "force"))
					rebuilt := clone(before.Tree).(Tree)
					for _, c := range changes {
						o := Operation{Replace, c.Path, c.After}
						if c.After == nil {
							o = Operation{Delete, c.Path, nil}
						}
						var applyErr error
						if rebuilt, applyErr = o.apply(rebuilt); applyErr != nil || rebuilt == nil {
							t.Fatalf("applying the change at %s: error %v", c.Path, applyErr)
						}
					}
					if remaining := Diff(rebuilt, candidate); len(remaining) > 0 {
						for _, c := range remaining { // tables that became empty in the process are allowed to remain
							if table, isTable := c.Before.(Tree); !isTable || len(table) > 0 {
								t.Fatalf("%s: differences %s remain after applying Diff of %s and %s", c.Path, toJSON(remaining), beforeJSON, toJSON(candidate))
							}
						}
					}
				}
			}
			running := store.Running()
			if err != nil && (running.Number != before.Number || toJSON(running.Tree) != beforeJSON) {
				t.Fatalf("rejected change (%v) took effect: running settings %s", err, toJSON(running.Tree))
			}
			if toJSON(before.Tree) != beforeJSON {
				t.Fatal("the tree of an earlier version was modified")
			}
			if running.Number < last || running.Number > last+1 || len(store.History()) > 5 || len(checkTree(running.Tree)) > 0 {
				t.Fatalf("running version %d after %d, %d versions retained, or invalid settings", running.Number, last, len(store.History()))
			}
			last = running.Number
			if running.Tree["uwsgi"].(Tree)["listen"] != "a" {
				t.Fatal("a setting that requires a restart has changed")
			}
		}
	})
}

func TestGuard(t *testing.T) {
	served := &Throughput{
		Methods:   map[string]MethodLoad{"buy": {true, 20, 100}, "view": {false, 100, 100}},
		Customers: map[string]map[string]float64{"acme": {"buy": 12, "view": 60}, "other": {"view": 40}},
		Routes:    map[string]float64{"buy-web": 15, "buy-old": 5, "view": 100},
	}
	limits := func(change func(*Limits)) *Limits {
		l := &Limits{Quotas: map[string]float64{"acme": 50, "other": 50}, Routes: map[string]string{"buy-web": "buy", "buy-old": "buy", "view": "view"},
			Pools: map[string]Pool{"buy": {"p", 10}}, MaxRuns: 16}
		change(l)
		return l
	}
	for _, c := range []struct {
		name   string
		change func(*Limits)
		want   string // prefix of the reasons; "" for none
	}{
		{"no change", func(*Limits) {}, ""},
		{"a quota above the served rate", func(l *Limits) { l.Quotas["acme"] = 13 }, ""},
		{"a quota below the served rate", func(l *Limits) { l.Quotas["acme"] = 11 }, "buy: the quota of acme would be 11 a second, and that method alone came to 12.0"},
		{"a quota of a customer that does not use the protected method", func(l *Limits) { l.Quotas["other"] = 0 }, ""},
		{"removal of one of two routes", func(l *Limits) { delete(l.Routes, "buy-old") }, ""},
		{"removal of the last route", func(l *Limits) { delete(l.Routes, "buy-old"); delete(l.Routes, "buy-web") }, "buy: the last of its routes would go, which carried 20.0"},
		{"removal of a route to an unprotected method", func(l *Limits) { delete(l.Routes, "view") }, ""},
		{"enough connections", func(l *Limits) { l.Pools["buy"] = Pool{"p", 3} }, ""},
		{"too few connections", func(l *Limits) { l.Pools["buy"] = Pool{"p", 1} }, "buy: pool p would have 1 places"},
		{"a different pool with too few connections", func(l *Limits) { l.Pools["buy"] = Pool{"q", 1} }, "buy: pool q"},
		{"too few runs", func(l *Limits) { l.MaxRuns = 1 }, "buy: 1 runs at once"},
		{"higher limits", func(l *Limits) { l.Quotas["acme"], l.Pools["buy"], l.MaxRuns = 99, Pool{"p", 99}, 99 }, ""},
	} {
		reasons := Guard(limits(func(*Limits) {}), limits(c.change), served)
		if got := strings.Join(reasons, "; "); !strings.HasPrefix(got, c.want) || c.want == "" && got != "" {
			t.Errorf("%s: reasons: got %q, want prefix %q", c.name, got, c.want)
		}
	}
	tight := limits(func(l *Limits) { l.Quotas["acme"], l.MaxRuns = 1, 1 })
	if reasons := Guard(tight, tight, served); len(reasons) > 0 {
		t.Errorf("reasons for unchanged limits: got %v, want none", reasons)
	}
	if reasons := Guard(limits(func(*Limits) {}), tight, &Throughput{}); len(reasons) > 0 {
		t.Errorf("reasons without served RPCs: got %v, want none", reasons)
	}
}

func ExampleStore() {
	store, _ := New(Version{Number: 1, Tree: Tree{"quota": 50.0}}, func(Tree) []Violation { return nil }, nil, nil, 10)
	candidate, base, _ := store.Candidate([]Operation{{Update, Path{"quota"}, 40.0}})
	v, _ := store.Commit(candidate, base, 0, "manager", false)
	fmt.Println(v.Number, v.Tree["quota"])
	v, _ = store.Rollback(1, 0, "manager", false)
	fmt.Println(v.Number, v.Tree["quota"], v.Origin)
	// Output:
	// 2 40
	// 3 50 manager, rollback to 1
}
