package permit

import (
	"fmt"
	"reflect"
	"testing"
)

// An automatic halt ends with its cause and not before; a manual one ends manually.
func TestHaltByItself(t *testing.T) {
	s := newState(t, 6, Limits{Fleet: Limit{MaxCount: 2}, MaxRejectedShare: 0.2})
	n := 0
	ask := func(name string, rejectedShare float64, observations ...Observation) Result {
		n++
		return s.Apply(Command{ID: fmt.Sprint(n), Kind: Acquire, Subject: name, Actor: "w", Incarnation: 1, Observations: observations, RejectedShare: rejectedShare})
	}
	for _, c := range []struct {
		name          string
		rejectedShare float64
		observations  []Observation
		auto          string
	}{
		{"all well", 0.1, nil, ""},
		{"one lost", 0.1, []Observation{{Name: "n1", OutOfService: 1}}, ""},
		{"two lost", 0.1, []Observation{{Name: "n1", OutOfService: 1}, {Name: "n2", OutOfService: 1}}, causeLosses},
		{"one of them half back", 0.1, []Observation{{Name: "n1", OutOfService: 1}, {Name: "n2", OutOfService: 0.5}}, ""},
		{"much is pushed back", 0.3, nil, causeRejections},
		{"a little less", 0.15, nil, causeRejections},
		{"half of the bound", 0.1, nil, ""},
		{"not a number", nan(), nil, causeRejections},
	} {
		a := ask("n5", c.rejectedShare, c.observations...)
		if s.AutoHaltReason != c.auto || a.Halted != (c.auto != "") {
			t.Errorf("%s: %q, %+v", c.name, s.AutoHaltReason, a)
		}
		if a.OK {
			s.Apply(Command{ID: "r" + fmt.Sprint(n), Kind: Return, Subject: "n5", PermitID: a.PermitID, Incarnation: 1})
		}
	}
	s.Apply(Command{ID: "h", Kind: Halt, Actor: "me", Reason: "look"})
	if a := ask("n5", 0); a.OK || s.AutoHaltReason != "" {
		t.Errorf("%+v %q", a, s.AutoHaltReason)
	}
	s.Apply(Command{ID: "on", Kind: Resume, Actor: "me"})
	if a := ask("n5", 0); !a.OK {
		t.Errorf("%+v", a)
	}
	// The holder of a permit is out by intent, and no loss.
	if a := ask("n0", 0, Observation{Name: "n5", OutOfService: 1}); !a.OK || s.AutoHaltReason != "" {
		t.Errorf("%+v %q", a, s.AutoHaltReason)
	}
	if got := len(s.History); got < 6 {
		t.Errorf("%d steps recorded", got)
	}
}

func nan() float64 { z := 0.0; return z / z }

// The directives of servers, and when a member's drain is done.
func TestOrdersAndProgress(t *testing.T) {
	s := newState(t, 3, Limits{Fleet: Limit{MaxCount: 1}, Pools: map[string]Limit{"p": {MaxCount: 2}}})
	n := 0
	do := func(c Command) Result {
		n++
		c.ID = fmt.Sprint(n)
		return s.Apply(c)
	}
	a := do(Command{Kind: Acquire, Subject: "p/m1", Actor: "me", Reason: "disk"})
	if o := s.DirectivesFor("n0"); len(o.DrainingMembers) != 0 {
		t.Errorf("left alone before it has begun: %+v", o)
	}
	do(Command{Kind: Begin, Subject: "p/m1", PermitID: a.PermitID, Actor: "me"})
	if o := s.DirectivesFor("n0"); !reflect.DeepEqual(o.DrainingMembers, map[string]uint64{"p/m1": a.PermitID}) {
		t.Errorf("%+v", o)
	}
	report := func(id uint64, hand int) map[string]MemberDrain {
		return map[string]MemberDrain{"p/m1": {PermitID: id, InFlight: hand}}
	}
	for _, c := range []struct {
		name    string
		reports map[string]map[string]MemberDrain
		want    DrainStatus
	}{
		{"nobody is heard", nil, DrainStatus{Unreachable: []string{"n0", "n1", "n2"}}},
		{"one has not said", map[string]map[string]MemberDrain{"n0": report(a.PermitID, 0), "n1": {}}, DrainStatus{Pending: []string{"n1"}, Unreachable: []string{"n2"}}},
		{"one speaks of a former drain", map[string]map[string]MemberDrain{"n0": report(a.PermitID, 0), "n1": report(a.PermitID-1, 0)}, DrainStatus{Pending: []string{"n1"}, Unreachable: []string{"n2"}}},
		{"calls in hand", map[string]map[string]MemberDrain{"n0": report(a.PermitID, 2), "n1": report(a.PermitID, 1)}, DrainStatus{InFlight: 3, Unreachable: []string{"n2"}}},
		{"one can't", map[string]map[string]MemberDrain{"n0": {"p/m1": {PermitID: a.PermitID, BlockedReason: "all"}}, "n1": report(a.PermitID, 0)}, DrainStatus{Blocked: []string{"n0: all"}, Unreachable: []string{"n2"}}},
		{"all heard have", map[string]map[string]MemberDrain{"n0": report(a.PermitID, 0), "n1": report(a.PermitID, 0)}, DrainStatus{Done: true, Unreachable: []string{"n2"}}},
	} {
		c.want.Subject, c.want.PermitID = "p/m1", a.PermitID
		if got := s.DrainProgress(c.reports); len(got) != 1 || !reflect.DeepEqual(got[0], c.want) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	if b := do(Command{Kind: Recall, Subject: "p/m1", Actor: "me"}); !b.OK || len(s.DirectivesFor("n0").DrainingMembers) != 0 {
		t.Errorf("%+v", b)
	}
	// A drain request stands until the drain has begun or the request is recalled.
	for _, c := range []struct {
		c  Command
		ok bool
	}{
		{Command{Kind: RequestDrain, Subject: "n1", Actor: "me", Reason: "kernel"}, true},
		{Command{Kind: RequestDrain, Subject: "n1", Actor: "you", Reason: "kernel"}, false},
		{Command{Kind: RequestDrain, Subject: "p/m1", Actor: "me", Reason: "kernel"}, false},
		{Command{Kind: Recall, Subject: "n1", Actor: "me"}, true},
		{Command{Kind: Recall, Subject: "n1", Actor: "me"}, false},
		{Command{Kind: RequestDrain, Subject: "n1", Actor: "you", Reason: "kernel"}, true},
	} {
		if b := do(c.c); b.OK != c.ok {
			t.Errorf("%+v: %+v", c.c, b)
		}
	}
	if o := s.DirectivesFor("n1"); o.DrainRequest == nil || o.DrainRequest.Actor != "you" {
		t.Errorf("%+v", o)
	}
	b := do(Command{Kind: Acquire, Subject: "n1", Actor: "you", Incarnation: 1})
	do(Command{Kind: Begin, Subject: "n1", PermitID: b.PermitID, Incarnation: 1})
	if o := s.DirectivesFor("n1"); o.DrainRequest != nil || o.PermitID != b.PermitID {
		t.Errorf("%+v", o)
	}
	do(Command{Kind: Recall, Subject: "n1", Actor: "me"})
	if o := s.DirectivesFor("n1"); o.RecalledBy != "me" {
		t.Errorf("%+v", o)
	}
	if c := do(Command{Kind: Return, Subject: "n1", PermitID: b.PermitID, Incarnation: 1}); !c.OK {
		t.Errorf("one that was called back and stayed: %+v", c)
	}
}
