package permit

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func roster(n int) (all []Server) {
	for i := range n {
		all = append(all, Server{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%2), Group: "g"})
	}
	return all
}

func newState(t interface{ Fatalf(string, ...any) }, n int, l Limits) *State {
	s := New()
	members := []Member{{"p", "m0"}, {"p", "m1"}, {"p", "m2"}, {"p", "m3"}}
	if a := s.Apply(Command{ID: "set", Kind: Configure, Servers: roster(n), Members: members, Limits: &l}); !a.OK {
		t.Fatalf("%+v", a)
	}
	return s
}

func TestLimits(t *testing.T) {
	s := newState(t, 8, Limits{Fleet: Limit{MaxShare: 0.25}, Zone: Limit{MaxCount: 1}, Pools: map[string]Limit{"p": {MaxCount: 1}}})
	id := 0
	do := func(c Command) Result {
		id++
		c.ID = fmt.Sprint(id)
		return s.Apply(c)
	}
	ask := func(name string, seen ...Observation) Result {
		return do(Command{Kind: Acquire, Subject: name, Actor: "w", Incarnation: 1, Observations: seen})
	}
	for _, c := range []struct {
		name string
		a    Result
		ok   bool
	}{
		{"a loss in the zone", ask("n0", Observation{Name: "n2", OutOfService: 1}), false},
		{"a cold one, by half, in the zone", ask("n0", Observation{Name: "n2", OutOfService: 0.5}), false},
		{"a loss elsewhere", ask("n0", Observation{Name: "n3", OutOfService: 1}), true},
		{"the zone's one is out", ask("n2"), false},
		{"the same asks again", ask("n0"), true},
		{"the fleet's two are out", ask("n1", Observation{Name: "n3", OutOfService: 0.3}), false},
		{"the other zone", ask("n1"), true},
		{"not on the roster", ask("x"), false},
		{"a member", ask("p/m0"), true},
		{"the pool's one is out", ask("p/m1"), false},
		{"a pool without a limit", ask("q/m1"), false},
	} {
		if c.a.OK != c.ok {
			t.Errorf("%s: %+v", c.name, c.a)
		}
	}
	held := s.Permits["n0"].ID
	if a := do(Command{Kind: Begin, Subject: "n0", PermitID: held, Incarnation: 2}); a.OK {
		t.Error("a later start began on its former one's permit")
	}
	if a := do(Command{Kind: Begin, Subject: "n0", PermitID: held, Incarnation: 1, Observations: []Observation{{Name: "n2", OutOfService: 1}}}); a.OK {
		t.Error("begun though a loss has used the allowance up")
	}
	if a := do(Command{Kind: Begin, Subject: "n0", PermitID: held, Incarnation: 1}); !a.OK {
		t.Errorf("%+v", a)
	}
	if a := do(Command{Kind: Return, Subject: "n0", PermitID: held, Incarnation: 1}); a.OK {
		t.Error("back without having been away")
	}
	if a := do(Command{Kind: Free, Subject: "n0", Actor: "me"}); a.OK {
		t.Error("freed without a reason")
	}
	if a := do(Command{Kind: Return, Subject: "n0", PermitID: held, Incarnation: 2}); !a.OK {
		t.Errorf("%+v", a)
	}
	do(Command{Kind: Halt, Actor: "me", Reason: "look"})
	if a := ask("n4"); a.OK || !a.Halted {
		t.Errorf("%+v", a)
	}
	if a := do(Command{Kind: Begin, Subject: "n1", PermitID: s.Permits["n1"].ID, Incarnation: 1}); a.OK {
		t.Error("begun while halted")
	}
	do(Command{Kind: Resume, Actor: "me"})
	do(Command{Kind: Recall, Subject: "n1", Actor: "me"})
	if a := do(Command{Kind: Begin, Subject: "n1", PermitID: s.Permits["n1"].ID, Incarnation: 1}); a.OK {
		t.Error("begun though it is wanted back")
	}
	// A smaller limit, and a roster without a holder: no permit is freed, none is granted.
	do(Command{Kind: Configure, Servers: roster(8)[2:], Limits: &Limits{Fleet: Limit{MaxCount: 1}}})
	if a := ask("n5"); a.OK || !slices.Contains(a.OutOfService, "n1") {
		t.Errorf("%+v", a)
	}
	if a := do(Command{Kind: Free, Subject: "n1", Actor: "me", Reason: "scrapped"}); !a.OK {
		t.Errorf("%+v", a)
	}
	if a := ask("n5"); !a.OK {
		t.Errorf("%+v", a)
	}
	b, err := json.Marshal(s)
	var back State
	if err == nil {
		err = json.Unmarshal(b, &back)
	}
	if err != nil || !reflect.DeepEqual(*s, back) {
		t.Errorf("a snapshot is not the state: %v", err)
	}
}

// invariant checks what must hold after each command, whatever came before.
func invariant(t interface{ Fatalf(string, ...any) }, before map[string]Permit, s *State, c Command, a Result, limit int) {
	if len(s.Permits) > limit {
		t.Fatalf("%d permits, %d may be out", len(s.Permits), limit)
	}
	for name, p := range s.Permits {
		was, had := before[name]
		acquired := c.Kind == Acquire && c.Subject == name && a.OK
		if !had && !acquired {
			t.Fatalf("%s has a permit after %+v", name, c)
		}
		if had && was.ID != p.ID {
			t.Fatalf("the permit of %s was granted twice", name)
		}
		begun := c.Kind == Begin && c.Subject == name && c.PermitID == p.ID && c.Incarnation == p.Incarnation && s.HaltReason == ""
		if p.Begun && (!had || !was.Begun) && !begun {
			t.Fatalf("%s has begun after %+v", name, c)
		}
	}
	for name, was := range before {
		returned := c.Kind == Return && (c.PermitID == was.ID || c.PermitID == 0 && c.Incarnation > was.Incarnation)
		released := a.OK && c.Subject == name && (returned || c.Kind == Free)
		if s.Permits[name] == nil && !released {
			t.Fatalf("the permit of %s is gone after %+v", name, c)
		}
	}
	if a.OK && (c.Kind == Acquire && before[c.Subject].ID == 0) {
		out := map[string]bool{}
		for name := range s.Permits {
			out[name] = true
		}
		for _, x := range c.Observations {
			out[x.Name] = true
		}
		if len(out) > limit {
			t.Fatalf("granted with %d out, %d may be", len(out), limit)
		}
	}
}

func copyOf(s *State) map[string]Permit {
	m := map[string]Permit{}
	for k, p := range s.Permits {
		m[k] = *p
	}
	return m
}

// Any commands in any order, with retries: no place is granted twice, and none is freed but by a command that may.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(t, "limit")
		s := newState(t, 5, Limits{Fleet: Limit{MaxCount: float64(limit)}})
		var sent []Command
		for i := range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := Command{ID: fmt.Sprint("c", i), Subject: fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "subject")), Actor: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "who"),
				Reason: "w", Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "start")), PermitID: uint64(rapid.IntRange(0, 6).Draw(t, "permit")),
				Kind: rapid.SampledFrom([]Kind{Acquire, Acquire, Acquire, Begin, Begin, Return, Return, Free, Halt, Resume, Resume, Recall, Observe}).Draw(t, "kind")}
			if p := s.Permits[c.Subject]; p != nil && rapid.Bool().Draw(t, "right") {
				c.PermitID, c.Incarnation = p.ID, p.Incarnation
			}
			for k := range rapid.IntRange(0, 2).Draw(t, "losses") {
				c.Observations = append(c.Observations, Observation{Name: fmt.Sprint("n", (i+k)%5), OutOfService: 1})
			}
			if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				c = sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
				before, held := s.Results[c.ID], copyOf(s)
				if a := s.Apply(c); !reflect.DeepEqual(a, before) || !reflect.DeepEqual(copyOf(s), held) {
					t.Fatalf("%+v again: %+v, was %+v", c, a, before)
				}
				continue
			}
			sent = append(sent, c)
			before := copyOf(s)
			invariant(t, before, s, c, s.Apply(c), limit)
		}
	})
}

// Every state that three servers, two places and one loss can reach.
func TestEveryState(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	key := func(s *State) string {
		x := *s
		x.Index, x.Results, x.ResultOrder, x.History = 0, nil, nil, nil
		b, err := json.Marshal(x)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	clone := func(s *State) *State {
		x := *s
		x.Permits, x.Results, x.ResultOrder, x.History = map[string]*Permit{}, map[string]Result{}, nil, nil
		for k, p := range s.Permits {
			q := *p
			x.Permits[k] = &q
		}
		return &x
	}
	first := newState(t, 3, Limits{Fleet: Limit{MaxCount: 2}})
	seen, edge, steps := map[string]bool{key(first): true}, []*State{first}, 0
	const maxPermits = 3
	for len(edge) > 0 {
		s := edge[0]
		edge = edge[1:]
		var all []Command
		for _, name := range []string{"n0", "n1", "n2"} {
			for start := uint64(1); start <= 2; start++ {
				for _, loss := range [][]Observation{nil, {{Name: "n2", OutOfService: 1}}} {
					all = append(all, Command{Kind: Acquire, Subject: name, Actor: "x", Incarnation: start, Observations: loss})
					for p := uint64(1); p <= maxPermits; p++ {
						all = append(all, Command{Kind: Begin, Subject: name, PermitID: p, Incarnation: start, Observations: loss}, Command{Kind: Return, Subject: name, PermitID: p, Incarnation: start})
					}
				}
			}
			all = append(all, Command{Kind: Free, Subject: name, Actor: "x", Reason: "w"}, Command{Kind: Recall, Subject: name, Actor: "x"})
		}
		all = append(all, Command{Kind: Halt, Reason: "w"}, Command{Kind: Resume})
		for _, c := range all {
			if c.Kind == Acquire && s.LastPermitID >= maxPermits {
				continue
			}
			c.ID = "c"
			x := clone(s)
			before := copyOf(x)
			invariant(t, before, x, c, x.Apply(c), 2)
			steps++
			if k := key(x); !seen[k] {
				seen[k] = true
				edge = append(edge, x)
			}
		}
	}
	t.Logf("%d states, %d steps", len(seen), steps)
	if len(seen) < 500 {
		t.Errorf("%d states: the search is empty", len(seen))
	}
}
