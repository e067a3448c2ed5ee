package permit

import (
	"fmt"
	"reflect"
	"testing"
)

// Halts that come by themselves end with their cause and not before; one by hand ends by hand.
func TestHaltByItself(t *testing.T) {
	s := fresh(t, 6, Limits{Fleet: Limit{Number: 2}, Pushed: 0.2})
	n := 0
	ask := func(name string, pushed float64, seen ...Seen) Answer {
		n++
		return s.Apply(Command{ID: fmt.Sprint(n), Kind: Ask, Subject: name, Who: "w", Start: 1, Seen: seen, Pushed: pushed})
	}
	for _, c := range []struct {
		name   string
		pushed float64
		seen   []Seen
		auto   string
	}{
		{"all well", 0.1, nil, ""},
		{"one lost", 0.1, []Seen{{Name: "n1", Out: 1}}, ""},
		{"two lost", 0.1, []Seen{{Name: "n1", Out: 1}, {Name: "n2", Out: 1}}, lost},
		{"one of them half back", 0.1, []Seen{{Name: "n1", Out: 1}, {Name: "n2", Out: 0.5}}, ""},
		{"much is pushed back", 0.3, nil, pushes},
		{"a little less", 0.15, nil, pushes},
		{"half of the bound", 0.1, nil, ""},
		{"not a number", nan(), nil, pushes},
	} {
		a := ask("n5", c.pushed, c.seen...)
		if s.Auto != c.auto || a.Halted != (c.auto != "") {
			t.Errorf("%s: %q, %+v", c.name, s.Auto, a)
		}
		if a.OK {
			s.Apply(Command{ID: "r" + fmt.Sprint(n), Kind: Return, Subject: "n5", Permit: a.Permit, Start: 1})
		}
	}
	s.Apply(Command{ID: "h", Kind: Halt, Who: "me", Why: "look"})
	if a := ask("n5", 0); a.OK || s.Auto != "" {
		t.Errorf("%+v %q", a, s.Auto)
	}
	s.Apply(Command{ID: "on", Kind: Resume, Who: "me"})
	if a := ask("n5", 0); !a.OK {
		t.Errorf("%+v", a)
	}
	// Who holds a permit is out by intent, and no loss.
	if a := ask("n0", 0, Seen{Name: "n5", Out: 1}); !a.OK || s.Auto != "" {
		t.Errorf("%+v %q", a, s.Auto)
	}
	if got := len(s.History); got < 6 {
		t.Errorf("%d steps recorded", got)
	}
}

func nan() float64 { z := 0.0; return z / z }

// What servers are told, and when a member's drain is done.
func TestOrdersAndProgress(t *testing.T) {
	s := fresh(t, 3, Limits{Fleet: Limit{Number: 1}, Pools: map[string]Limit{"p": {Number: 2}}})
	n := 0
	do := func(c Command) Answer {
		n++
		c.ID = fmt.Sprint(n)
		return s.Apply(c)
	}
	a := do(Command{Kind: Ask, Subject: "p/m1", Who: "me", Why: "disk"})
	if o := s.Orders("n0"); len(o.Aside) != 0 {
		t.Errorf("left alone before it has begun: %+v", o)
	}
	do(Command{Kind: Check, Subject: "p/m1", Permit: a.Permit, Who: "me"})
	if o := s.Orders("n0"); !reflect.DeepEqual(o.Aside, map[string]uint64{"p/m1": a.Permit}) {
		t.Errorf("%+v", o)
	}
	word := func(id uint64, hand int) map[string]Left { return map[string]Left{"p/m1": {Permit: id, InHand: hand}} }
	for _, c := range []struct {
		name  string
		words map[string]map[string]Left
		want  Drained
	}{
		{"nobody is heard", nil, Drained{Unheard: []string{"n0", "n1", "n2"}}},
		{"one has not said", map[string]map[string]Left{"n0": word(a.Permit, 0), "n1": {}}, Drained{Waits: []string{"n1"}, Unheard: []string{"n2"}}},
		{"one speaks of a former drain", map[string]map[string]Left{"n0": word(a.Permit, 0), "n1": word(a.Permit-1, 0)}, Drained{Waits: []string{"n1"}, Unheard: []string{"n2"}}},
		{"calls in hand", map[string]map[string]Left{"n0": word(a.Permit, 2), "n1": word(a.Permit, 1)}, Drained{InHand: 3, Unheard: []string{"n2"}}},
		{"one can't", map[string]map[string]Left{"n0": {"p/m1": {Permit: a.Permit, Cannot: "all"}}, "n1": word(a.Permit, 0)}, Drained{Cannot: []string{"n0: all"}, Unheard: []string{"n2"}}},
		{"all heard have", map[string]map[string]Left{"n0": word(a.Permit, 0), "n1": word(a.Permit, 0)}, Drained{Done: true, Unheard: []string{"n2"}}},
	} {
		c.want.Subject, c.want.Permit = "p/m1", a.Permit
		if got := s.Progress(c.words); len(got) != 1 || !reflect.DeepEqual(got[0], c.want) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	if b := do(Command{Kind: Back, Subject: "p/m1", Who: "me"}); !b.OK || len(s.Orders("n0").Aside) != 0 {
		t.Errorf("%+v", b)
	}
	// An operator wants a server gone from elsewhere: it is told until it has begun or the word is taken back.
	for _, c := range []struct {
		c  Command
		ok bool
	}{
		{Command{Kind: Want, Subject: "n1", Who: "me", Why: "kernel"}, true},
		{Command{Kind: Want, Subject: "n1", Who: "you", Why: "kernel"}, false},
		{Command{Kind: Want, Subject: "p/m1", Who: "me", Why: "kernel"}, false},
		{Command{Kind: Back, Subject: "n1", Who: "me"}, true},
		{Command{Kind: Back, Subject: "n1", Who: "me"}, false},
		{Command{Kind: Want, Subject: "n1", Who: "you", Why: "kernel"}, true},
	} {
		if b := do(c.c); b.OK != c.ok {
			t.Errorf("%+v: %+v", c.c, b)
		}
	}
	if o := s.Orders("n1"); o.Want == nil || o.Want.Who != "you" {
		t.Errorf("%+v", o)
	}
	b := do(Command{Kind: Ask, Subject: "n1", Who: "you", Start: 1})
	do(Command{Kind: Check, Subject: "n1", Permit: b.Permit, Start: 1})
	if o := s.Orders("n1"); o.Want != nil || o.Permit != b.Permit {
		t.Errorf("%+v", o)
	}
	do(Command{Kind: Back, Subject: "n1", Who: "me"})
	if o := s.Orders("n1"); o.Recall != "me" {
		t.Errorf("%+v", o)
	}
	if c := do(Command{Kind: Return, Subject: "n1", Permit: b.Permit, Start: 1}); !c.OK {
		t.Errorf("one that was called back and stayed: %+v", c)
	}
}
