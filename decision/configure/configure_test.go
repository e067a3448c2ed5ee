package configure

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func tree(s string) Tree {
	var t Tree
	if err := json.Unmarshal([]byte(s), &t); err != nil {
		panic(err)
	}
	return t
}

func text(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// checked finds a violation at each leaf that is "bad".
func checked(t Tree) (violations []Violation) {
	for _, c := range Diff(Tree{}, t) {
		if c.After == "bad" {
			violations = append(violations, Violation{c.Path, "bad"})
		}
	}
	return violations
}

func newStore(t interface{ Fatal(...any) }, first string) *Store {
	c, err := New(Version{Number: 1, Origin: "file", Tree: tree(first)}, checked, func(_, is Tree) (reasons []string) {
		if is["quota"] == 0.0 {
			reasons = append(reasons, "topup-buy: nothing left")
		}
		return reasons
	}, []Path{{"uwsgi", "listen"}}, 5)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

const first = `{"quota":5,"uwsgi":{"listen":"a","keep":"asked"},"pools":{"p":{"members":["x","y"],"wait":3}}}`

func TestCommit(t *testing.T) {
	cases := []struct {
		name  string
		ops   []Operation
		meant bool
		want  string // of the running settings; "" for as before
		err   string
	}{
		{"an update", []Operation{{Update, Path{"pools", "p"}, tree(`{"wait":4}`)}}, false,
			`{"pools":{"p":{"members":["x","y"],"wait":4}},"quota":5,"uwsgi":{"keep":"asked","listen":"a"}}`, ""},
		{"a replace drops what it does not name", []Operation{{Replace, Path{"pools", "p"}, tree(`{"wait":4}`)}}, false,
			`{"pools":{"p":{"wait":4}},"quota":5,"uwsgi":{"keep":"asked","listen":"a"}}`, ""},
		{"deletes come first, then replaces, then updates, whatever the order", []Operation{
			{Update, Path{"pools", "p", "wait"}, 7.0}, {Replace, Path{"pools", "p"}, tree(`{"wait":4,"a":1}`)}, {Delete, Path{"pools"}, nil}}, false,
			`{"pools":{"p":{"a":1,"wait":7}},"quota":5,"uwsgi":{"keep":"asked","listen":"a"}}`, ""},
		{"a delete of what is not there", []Operation{{Delete, Path{"none", "x"}, nil}}, false, "", ""},
		{"nothing changed", []Operation{{Update, Path{"quota"}, 5.0}}, false, "", ""},
		{"the last of many is wrong", []Operation{{Update, Path{"quota"}, 6.0}, {Update, Path{"pools", "p", "wait"}, 9.0}, {Update, Path{"uwsgi", "keep"}, "bad"}}, false, "", "/uwsgi/keep: bad"},
		{"through a leaf", []Operation{{Update, Path{"quota", "x"}, 6.0}}, false, "", "through a leaf"},
		{"what needs a new start", []Operation{{Update, Path{"quota"}, 6.0}, {Update, Path{"uwsgi", "listen"}, "b"}}, false, "", "/uwsgi/listen: only a new start"},
		{"its whole table goes", []Operation{{Delete, Path{"uwsgi"}, nil}}, false, "", "/uwsgi/listen: only a new start"},
		{"what starves", []Operation{{Update, Path{"quota"}, 0.0}}, false, "", "starves: topup-buy"},
		{"what starves, and is meant", []Operation{{Update, Path{"quota"}, 0.0}}, true,
			`{"pools":{"p":{"members":["x","y"],"wait":3}},"quota":0,"uwsgi":{"keep":"asked","listen":"a"}}`, ""},
		{"all of it replaced", []Operation{{Replace, nil, tree(`{"uwsgi":{"listen":"a"},"quota":1}`)}}, false, `{"quota":1,"uwsgi":{"listen":"a"}}`, ""},
		{"a leaf in place of all", []Operation{{Replace, nil, 5.0}}, false, "", "through a leaf"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := newStore(t, first)
			before := text(x.Running().Tree)
			candidate, base, err := x.Candidate(c.ops)
			if err == nil {
				_, err = x.Commit(candidate, base, 7, "test", c.meant)
			}
			if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
				t.Fatalf("error %v, want %q", err, c.err)
			}
			want := c.want
			if want == "" {
				want = before
			}
			if got := text(x.Running().Tree); got != want {
				t.Errorf("runs %s, want %s", got, want)
			}
			if changed := x.Running().Number > 1; changed != (c.want != "") {
				t.Errorf("version %d", x.Running().Number)
			}
		})
	}
}

// Of two candidates built from one version the second conflicts with the first.
func TestTwoManagers(t *testing.T) {
	x := newStore(t, first)
	a, base, err := x.Candidate([]Operation{{Update, Path{"quota"}, 6.0}})
	if err != nil {
		t.Fatal(err)
	}
	b, other, err := x.Candidate([]Operation{{Update, Path{"quota"}, 7.0}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := x.Commit(a, base, 1, "a", false); err != nil {
		t.Fatal(err)
	}
	if _, err := x.Commit(b, other, 2, "b", false); !errors.Is(err, ErrConflict) || x.Running().Tree["quota"] != 6.0 {
		t.Errorf("error %v, runs %s", err, text(x.Running().Tree))
	}
}

// Any commits, rejected commits and rollbacks: what runs passes the checks, rejected changes have no effect, versions count
// up and as many as configured are retained, and applying a difference turns one tree into the other.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newStore(t, first)
		last := 1
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := x.Running()
			frozen := text(before.Tree)
			var err error
			if rapid.IntRange(0, 3).Draw(t, "rollback") == 0 {
				_, err = x.Rollback(rapid.IntRange(0, last).Draw(t, "to"), 1, "r", false)
			} else {
				var ops []Operation
				for range rapid.IntRange(1, 4).Draw(t, "operations") {
					path := rapid.SampledFrom([]Path{{"quota"}, {"uwsgi"}, {"uwsgi", "keep"}, {"uwsgi", "listen"}, {"pools", "p"}, {"pools", "q", "wait"}, {"pools"}}).Draw(t, "path")
					value := rapid.SampledFrom([]any{1.0, 0.0, "bad", "good", tree(`{"wait":1}`), tree(`{}`), []any{"x"}}).Draw(t, "value")
					ops = append(ops, Operation{Kind(rapid.IntRange(0, 2).Draw(t, "kind")), path, value})
				}
				var candidate Tree
				var base int
				if candidate, base, err = x.Candidate(ops); err == nil {
					changes := Diff(before.Tree, candidate)
					_, err = x.Commit(candidate, base, 1, "c", rapid.Bool().Draw(t, "meant"))
					again := clone(before.Tree).(Tree)
					for _, c := range changes {
						o := Operation{Replace, c.Path, c.After}
						if c.After == nil {
							o = Operation{Delete, c.Path, nil}
						}
						var applyErr error
						if again, applyErr = o.apply(again); applyErr != nil || again == nil {
							t.Fatalf("%s can't be carried out: %v", c.Path, applyErr)
						}
					}
					if left := Diff(again, candidate); len(left) > 0 {
						for _, c := range left { // tables that became empty on the way are no settings
							if table, is := c.Before.(Tree); !is || len(table) > 0 {
								t.Fatalf("%s: %s is left of %s to %s", c.Path, text(left), frozen, text(candidate))
							}
						}
					}
				}
			}
			now := x.Running()
			if err != nil && (now.Number != before.Number || text(now.Tree) != frozen) {
				t.Fatalf("%v, and it runs %s", err, text(now.Tree))
			}
			if text(before.Tree) != frozen {
				t.Fatal("a version that was handed out has changed")
			}
			if now.Number < last || now.Number > last+1 || len(x.History()) > 5 || len(checked(now.Tree)) > 0 {
				t.Fatalf("version %d after %d, %d kept", now.Number, last, len(x.History()))
			}
			last = now.Number
			if now.Tree["uwsgi"].(Tree)["listen"] != "a" {
				t.Fatal("what needs a new start has changed")
			}
		}
	})
}

func TestGuard(t *testing.T) {
	carried := &Throughput{
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
		want   string // "" for nothing
	}{
		{"nothing", func(*Limits) {}, ""},
		{"a quota above what it carried", func(l *Limits) { l.Quotas["acme"] = 13 }, ""},
		{"a quota below", func(l *Limits) { l.Quotas["acme"] = 11 }, "buy: the quota of acme would be 11 a second, and that method alone came to 12.0"},
		{"a quota of a customer that buys nothing", func(l *Limits) { l.Quotas["other"] = 0 }, ""},
		{"one of two routes", func(l *Limits) { delete(l.Routes, "buy-old") }, ""},
		{"the last route", func(l *Limits) { delete(l.Routes, "buy-old"); delete(l.Routes, "buy-web") }, "buy: the last of its routes would go, which carried 20.0"},
		{"routes to what is not guarded", func(l *Limits) { delete(l.Routes, "view") }, ""},
		{"enough places", func(l *Limits) { l.Pools["buy"] = Pool{"p", 3} }, ""},
		{"too few", func(l *Limits) { l.Pools["buy"] = Pool{"p", 1} }, "buy: pool p would have 1 places"},
		{"a pool in place of the engine, too small", func(l *Limits) { l.Pools["buy"] = Pool{"q", 1} }, "buy: pool q"},
		{"too few runs", func(l *Limits) { l.MaxRuns = 1 }, "buy: 1 runs at once"},
		{"more of all", func(l *Limits) { l.Quotas["acme"], l.Pools["buy"], l.MaxRuns = 99, Pool{"p", 99}, 99 }, ""},
	} {
		reasons := Guard(limits(func(*Limits) {}), limits(c.change), carried)
		if got := strings.Join(reasons, "; "); !strings.HasPrefix(got, c.want) || c.want == "" && got != "" {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	tight := limits(func(l *Limits) { l.Quotas["acme"], l.MaxRuns = 1, 1 })
	if reasons := Guard(tight, tight, carried); len(reasons) > 0 {
		t.Errorf("what is not changed is judged: %v", reasons)
	}
	if reasons := Guard(limits(func(*Limits) {}), tight, &Throughput{}); len(reasons) > 0 {
		t.Errorf("nothing was carried: %v", reasons)
	}
}

func ExampleStore() {
	c, _ := New(Version{Number: 1, Tree: Tree{"quota": 50.0}}, func(Tree) []Violation { return nil }, nil, nil, 10)
	candidate, base, _ := c.Candidate([]Operation{{Update, Path{"quota"}, 40.0}})
	v, _ := c.Commit(candidate, base, 0, "manager", false)
	fmt.Println(v.Number, v.Tree["quota"])
	v, _ = c.Rollback(1, 0, "manager", false)
	fmt.Println(v.Number, v.Tree["quota"], v.Origin)
	// Output:
	// 2 40
	// 3 50 manager, rollback to 1
}
