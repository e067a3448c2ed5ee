package permit

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func roster(n int) (servers []Server) {
	for i := range n {
		servers = append(servers, Server{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%2), Group: "g"})
	}
	return servers
}

func newState(t interface{ Fatalf(string, ...any) }, n int, limits Limits) *State {
	s := New()
	members := []Member{{"p", "m0"}, {"p", "m1"}, {"p", "m2"}, {"p", "m3"}}
	if result := s.Apply(Command{ID: "set", Kind: Configure, Servers: roster(n), Members: members, Limits: &limits}); !result.OK {
		t.Fatalf("result of Configure: got %+v, want success", result)
	}
	return s
}

func TestLimits(t *testing.T) {
	s := newState(t, 8, Limits{Fleet: Limit{MaxShare: 0.25}, Zone: Limit{MaxCount: 1}, Pools: map[string]Limit{"p": {MaxCount: 1}}})
	id := 0
	apply := func(c Command) Result {
		id++
		c.ID = fmt.Sprint(id)
		return s.Apply(c)
	}
	acquire := func(name string, observations ...Observation) Result {
		return apply(Command{Kind: Acquire, Subject: name, Actor: "w", Incarnation: 1, Observations: observations})
	}
	for _, c := range []struct {
		name   string
		result Result
		ok     bool
	}{
		{"a loss in the zone", acquire("n0", Observation{Name: "n2", OutOfService: 1}), false},
		{"a half warmed-up server in the zone", acquire("n0", Observation{Name: "n2", OutOfService: 0.5}), false},
		{"a loss in the other zone", acquire("n0", Observation{Name: "n3", OutOfService: 1}), true},
		{"the zone is at its limit", acquire("n2"), false},
		{"the same holder acquires again", acquire("n0"), true},
		{"the fleet would exceed its limit", acquire("n1", Observation{Name: "n3", OutOfService: 0.3}), false},
		{"the other zone", acquire("n1"), true},
		{"not on the roster", acquire("x"), false},
		{"a member", acquire("p/m0"), true},
		{"the pool is at its limit", acquire("p/m1"), false},
		{"a pool without a limit", acquire("q/m1"), false},
	} {
		if c.result.OK != c.ok {
			t.Errorf("%s: result of acquire: got %+v", c.name, c.result)
		}
	}
	held := s.Permits["n0"].ID
	if result := apply(Command{Kind: Begin, Subject: "n0", PermitID: held, Incarnation: 2}); result.OK {
		t.Error("a later incarnation began on the permit of a former one")
	}
	if result := apply(Command{Kind: Begin, Subject: "n0", PermitID: held, Incarnation: 1, Observations: []Observation{{Name: "n2", OutOfService: 1}}}); result.OK {
		t.Error("drain begun although a loss has used up the limit")
	}
	if result := apply(Command{Kind: Begin, Subject: "n0", PermitID: held, Incarnation: 1}); !result.OK {
		t.Errorf("begin with a valid permit: got %+v, want success", result)
	}
	if result := apply(Command{Kind: Return, Subject: "n0", PermitID: held, Incarnation: 1}); result.OK {
		t.Error("permit of a begun drain returned without a restart of the server")
	}
	if result := apply(Command{Kind: Free, Subject: "n0", Actor: "me"}); result.OK {
		t.Error("permit freed without a reason")
	}
	if result := apply(Command{Kind: Return, Subject: "n0", PermitID: held, Incarnation: 2}); !result.OK {
		t.Errorf("return after a restart: got %+v, want success", result)
	}
	apply(Command{Kind: Halt, Actor: "me", Reason: "look"})
	if result := acquire("n4"); result.OK || !result.Halted {
		t.Errorf("acquire while halted: got %+v, want a denial", result)
	}
	if result := apply(Command{Kind: Begin, Subject: "n1", PermitID: s.Permits["n1"].ID, Incarnation: 1}); result.OK {
		t.Error("drain begun while halted")
	}
	apply(Command{Kind: Resume, Actor: "me"})
	apply(Command{Kind: Recall, Subject: "n1", Actor: "me"})
	if result := apply(Command{Kind: Begin, Subject: "n1", PermitID: s.Permits["n1"].ID, Incarnation: 1}); result.OK {
		t.Error("drain begun although the permit was recalled")
	}
	// A smaller limit and a roster without the server n1, which holds a permit: the permit stays and no other is granted.
	apply(Command{Kind: Configure, Servers: roster(8)[2:], Limits: &Limits{Fleet: Limit{MaxCount: 1}}})
	if result := acquire("n5"); result.OK || !slices.Contains(result.OutOfService, "n1") {
		t.Errorf("acquire while a departed server holds a permit: got %+v, want a denial that names n1", result)
	}
	if result := apply(Command{Kind: Free, Subject: "n1", Actor: "me", Reason: "scrapped"}); !result.OK {
		t.Errorf("free: got %+v, want success", result)
	}
	if result := acquire("n5"); !result.OK {
		t.Errorf("acquire after free: got %+v, want a permit", result)
	}
	b, err := json.Marshal(s)
	var restored State
	if err == nil {
		err = json.Unmarshal(b, &restored)
	}
	if err != nil || !reflect.DeepEqual(*s, restored) {
		t.Errorf("state restored from a snapshot differs: error %v", err)
	}
}

// checkInvariants checks the invariants that must hold after each command, whatever the history.
func checkInvariants(t interface{ Fatalf(string, ...any) }, before map[string]Permit, s *State, c Command, result Result, limit int) {
	if len(s.Permits) > limit {
		t.Fatalf("got %d permits, limit is %d", len(s.Permits), limit)
	}
	for name, p := range s.Permits {
		previous, held := before[name]
		acquired := c.Kind == Acquire && c.Subject == name && result.OK
		if !held && !acquired {
			t.Fatalf("%s received a permit by %+v", name, c)
		}
		if held && previous.ID != p.ID {
			t.Fatalf("the permit of %s was replaced by a second one", name)
		}
		begun := c.Kind == Begin && c.Subject == name && c.PermitID == p.ID && c.Incarnation == p.Incarnation && s.HaltReason == ""
		if p.Begun && (!held || !previous.Begun) && !begun {
			t.Fatalf("the drain of %s was begun by %+v", name, c)
		}
	}
	for name, previous := range before {
		returned := c.Kind == Return && (c.PermitID == previous.ID || c.PermitID == 0 && c.Incarnation > previous.Incarnation)
		released := result.OK && c.Subject == name && (returned || c.Kind == Free)
		if s.Permits[name] == nil && !released {
			t.Fatalf("the permit of %s was released by %+v", name, c)
		}
	}
	if result.OK && (c.Kind == Acquire && before[c.Subject].ID == 0) {
		out := map[string]bool{}
		for name := range s.Permits {
			out[name] = true
		}
		for _, o := range c.Observations {
			out[o.Name] = true
		}
		if len(out) > limit {
			t.Fatalf("permit granted with %d out of service, limit is %d", len(out), limit)
		}
	}
}

// copyPermits returns a copy of the permits of a state.
func copyPermits(s *State) map[string]Permit {
	permits := map[string]Permit{}
	for subject, p := range s.Permits {
		permits[subject] = *p
	}
	return permits
}

// With random commands and retries, no permit is granted beyond the limit, and none is released except by a command that may
// release it. A retried command returns the same result and changes nothing.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(t, "limit")
		s := newState(t, 5, Limits{Fleet: Limit{MaxCount: float64(limit)}})
		var sent []Command
		for i := range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := Command{ID: fmt.Sprint("c", i), Subject: fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "subject")), Actor: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "actor"),
				Reason: "w", Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), PermitID: uint64(rapid.IntRange(0, 6).Draw(t, "permit")),
				Kind: rapid.SampledFrom([]Kind{Acquire, Acquire, Acquire, Begin, Begin, Return, Return, Free, Halt, Resume, Resume, Recall, Observe}).Draw(t, "kind")}
			if p := s.Permits[c.Subject]; p != nil && rapid.Bool().Draw(t, "matching permit") {
				c.PermitID, c.Incarnation = p.ID, p.Incarnation
			}
			for k := range rapid.IntRange(0, 2).Draw(t, "losses") {
				c.Observations = append(c.Observations, Observation{Name: fmt.Sprint("n", (i+k)%5), OutOfService: 1})
			}
			if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "retry") == 0 {
				c = sent[rapid.IntRange(0, len(sent)-1).Draw(t, "retried command")]
				firstResult, permits := s.Results[c.ID], copyPermits(s)
				if result := s.Apply(c); !reflect.DeepEqual(result, firstResult) || !reflect.DeepEqual(copyPermits(s), permits) {
					t.Fatalf("retry of %+v: got %+v, first result was %+v", c, result, firstResult)
				}
				continue
			}
			sent = append(sent, c)
			before := copyPermits(s)
			checkInvariants(t, before, s, c, s.Apply(c), limit)
		}
	})
}

// Explores every state that is reachable with three servers, a limit of two and at most one loss, and checks the invariants
// after each command.
func TestReachableStates(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	key := func(s *State) string {
		reduced := *s
		reduced.Index, reduced.Results, reduced.ResultOrder, reduced.History = 0, nil, nil, nil
		b, err := json.Marshal(reduced)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	clone := func(s *State) *State {
		cloned := *s
		cloned.Permits, cloned.Results, cloned.ResultOrder, cloned.History = map[string]*Permit{}, map[string]Result{}, nil, nil
		for subject, p := range s.Permits {
			permit := *p
			cloned.Permits[subject] = &permit
		}
		return &cloned
	}
	first := newState(t, 3, Limits{Fleet: Limit{MaxCount: 2}})
	visited, frontier, steps := map[string]bool{key(first): true}, []*State{first}, 0
	const maxPermits = 3
	for len(frontier) > 0 {
		s := frontier[0]
		frontier = frontier[1:]
		var commands []Command
		for _, name := range []string{"n0", "n1", "n2"} {
			for incarnation := uint64(1); incarnation <= 2; incarnation++ {
				for _, loss := range [][]Observation{nil, {{Name: "n2", OutOfService: 1}}} {
					commands = append(commands, Command{Kind: Acquire, Subject: name, Actor: "x", Incarnation: incarnation, Observations: loss})
					for id := uint64(1); id <= maxPermits; id++ {
						commands = append(commands, Command{Kind: Begin, Subject: name, PermitID: id, Incarnation: incarnation, Observations: loss}, Command{Kind: Return, Subject: name, PermitID: id, Incarnation: incarnation})
					}
				}
			}
			commands = append(commands, Command{Kind: Free, Subject: name, Actor: "x", Reason: "w"}, Command{Kind: Recall, Subject: name, Actor: "x"})
		}
		commands = append(commands, Command{Kind: Halt, Reason: "w"}, Command{Kind: Resume})
		for _, c := range commands {
			if c.Kind == Acquire && s.LastPermitID >= maxPermits {
				continue
			}
			c.ID = "c"
			next := clone(s)
			before := copyPermits(next)
			checkInvariants(t, before, next, c, next.Apply(c), 2)
			steps++
			if k := key(next); !visited[k] {
				visited[k] = true
				frontier = append(frontier, next)
			}
		}
	}
	t.Logf("%d states, %d steps", len(visited), steps)
	if len(visited) < 500 {
		t.Errorf("visited %d states, want at least 500", len(visited))
	}
}
