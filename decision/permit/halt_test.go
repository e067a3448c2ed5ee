package permit

import (
	"fmt"
	"reflect"
	"testing"
)

// An automatic halt begins and ends with its cause. A manual halt ends only by Resume.
func TestAutoHalt(t *testing.T) {
	s := newState(t, 6, Limits{Fleet: Limit{MaxCount: 2}, MaxRejectedShare: 0.2})
	n := 0
	acquire := func(name string, rejectedShare float64, observations ...Observation) Result {
		n++
		return s.Apply(Command{ID: fmt.Sprint(n), Kind: Acquire, Subject: name, Actor: "w", Incarnation: 1, Observations: observations, RejectedShare: rejectedShare})
	}
	for _, c := range []struct {
		name          string
		rejectedShare float64
		observations  []Observation
		auto          string
	}{
		{"no losses, few rejections", 0.1, nil, ""},
		{"one server lost", 0.1, []Observation{{Name: "n1", OutOfService: 1}}, ""},
		{"two servers lost", 0.1, []Observation{{Name: "n1", OutOfService: 1}, {Name: "n2", OutOfService: 1}}, causeLosses},
		{"one of them half warmed up", 0.1, []Observation{{Name: "n1", OutOfService: 1}, {Name: "n2", OutOfService: 0.5}}, ""},
		{"rejections above the limit", 0.3, nil, causeRejections},
		{"rejections between the limit and the hysteresis", 0.15, nil, causeRejections},
		{"rejections at half the limit", 0.1, nil, ""},
		{"rejected share is NaN", nan(), nil, causeRejections},
	} {
		result := acquire("n5", c.rejectedShare, c.observations...)
		if s.AutoHaltReason != c.auto || result.Halted != (c.auto != "") {
			t.Errorf("%s: automatic halt %q, result %+v", c.name, s.AutoHaltReason, result)
		}
		if result.OK {
			s.Apply(Command{ID: "r" + fmt.Sprint(n), Kind: Return, Subject: "n5", PermitID: result.PermitID, Incarnation: 1})
		}
	}
	s.Apply(Command{ID: "h", Kind: Halt, Actor: "me", Reason: "look"})
	if result := acquire("n5", 0); result.OK || s.AutoHaltReason != "" {
		t.Errorf("acquire during a manual halt: result %+v, automatic halt %q", result, s.AutoHaltReason)
	}
	s.Apply(Command{ID: "on", Kind: Resume, Actor: "me"})
	if result := acquire("n5", 0); !result.OK {
		t.Errorf("acquire after the manual halt: got %+v, want a permit", result)
	}
	// A subject with a permit is out of service on purpose and does not count as a loss.
	if result := acquire("n0", 0, Observation{Name: "n5", OutOfService: 1}); !result.OK || s.AutoHaltReason != "" {
		t.Errorf("acquire while a subject with a permit is out: result %+v, automatic halt %q", result, s.AutoHaltReason)
	}
	if got := len(s.History); got < 6 {
		t.Errorf("history: got %d entries, want at least 6", got)
	}
}

func nan() float64 { z := 0.0; return z / z }

// Covers the directives of servers, the progress of a pool member's drain, and drain requests.
func TestDirectivesAndDrainProgress(t *testing.T) {
	s := newState(t, 3, Limits{Fleet: Limit{MaxCount: 1}, Pools: map[string]Limit{"p": {MaxCount: 2}}})
	n := 0
	apply := func(c Command) Result {
		n++
		c.ID = fmt.Sprint(n)
		return s.Apply(c)
	}
	memberPermit := apply(Command{Kind: Acquire, Subject: "p/m1", Actor: "me", Reason: "disk"})
	if directives := s.DirectivesFor("n0"); len(directives.DrainingMembers) != 0 {
		t.Errorf("directives before the drain has begun: got %+v, want no draining members", directives)
	}
	apply(Command{Kind: Begin, Subject: "p/m1", PermitID: memberPermit.PermitID, Actor: "me"})
	if directives := s.DirectivesFor("n0"); !reflect.DeepEqual(directives.DrainingMembers, map[string]uint64{"p/m1": memberPermit.PermitID}) {
		t.Errorf("directives after the drain has begun: got %+v, want p/m1 and its permit as the only draining member", directives)
	}
	report := func(id uint64, inFlight int) map[string]MemberDrain {
		return map[string]MemberDrain{"p/m1": {PermitID: id, InFlight: inFlight}}
	}
	for _, c := range []struct {
		name    string
		reports map[string]map[string]MemberDrain
		want    DrainStatus
	}{
		{"no reports", nil, DrainStatus{Unreachable: []string{"n0", "n1", "n2"}}},
		{"a reachable server has not reported", map[string]map[string]MemberDrain{"n0": report(memberPermit.PermitID, 0), "n1": {}}, DrainStatus{Pending: []string{"n1"}, Unreachable: []string{"n2"}}},
		{"a report on a former permit", map[string]map[string]MemberDrain{"n0": report(memberPermit.PermitID, 0), "n1": report(memberPermit.PermitID-1, 0)}, DrainStatus{Pending: []string{"n1"}, Unreachable: []string{"n2"}}},
		{"RPCs in flight", map[string]map[string]MemberDrain{"n0": report(memberPermit.PermitID, 2), "n1": report(memberPermit.PermitID, 1)}, DrainStatus{InFlight: 3, Unreachable: []string{"n2"}}},
		{"a server is blocked", map[string]map[string]MemberDrain{"n0": {"p/m1": {PermitID: memberPermit.PermitID, BlockedReason: "all"}}, "n1": report(memberPermit.PermitID, 0)}, DrainStatus{Blocked: []string{"n0: all"}, Unreachable: []string{"n2"}}},
		{"all reachable servers are done", map[string]map[string]MemberDrain{"n0": report(memberPermit.PermitID, 0), "n1": report(memberPermit.PermitID, 0)}, DrainStatus{Done: true, Unreachable: []string{"n2"}}},
	} {
		c.want.Subject, c.want.PermitID = "p/m1", memberPermit.PermitID
		if got := s.DrainProgress(c.reports); len(got) != 1 || !reflect.DeepEqual(got[0], c.want) {
			t.Errorf("%s: drain progress: got %+v", c.name, got)
		}
	}
	if result := apply(Command{Kind: Recall, Subject: "p/m1", Actor: "me"}); !result.OK || len(s.DirectivesFor("n0").DrainingMembers) != 0 {
		t.Errorf("recall of a member: got %+v, want success and no draining members", result)
	}
	// A drain request is pending until the drain has begun or the request is recalled.
	for _, c := range []struct {
		command Command
		ok      bool
	}{
		{Command{Kind: RequestDrain, Subject: "n1", Actor: "me", Reason: "kernel"}, true},
		{Command{Kind: RequestDrain, Subject: "n1", Actor: "you", Reason: "kernel"}, false},
		{Command{Kind: RequestDrain, Subject: "p/m1", Actor: "me", Reason: "kernel"}, false},
		{Command{Kind: Recall, Subject: "n1", Actor: "me"}, true},
		{Command{Kind: Recall, Subject: "n1", Actor: "me"}, false},
		{Command{Kind: RequestDrain, Subject: "n1", Actor: "you", Reason: "kernel"}, true},
	} {
		if result := apply(c.command); result.OK != c.ok {
			t.Errorf("command %+v: got %+v", c.command, result)
		}
	}
	if directives := s.DirectivesFor("n1"); directives.DrainRequest == nil || directives.DrainRequest.Actor != "you" {
		t.Errorf("directives with a pending drain request: got %+v, want a request by you", directives)
	}
	serverPermit := apply(Command{Kind: Acquire, Subject: "n1", Actor: "you", Incarnation: 1})
	apply(Command{Kind: Begin, Subject: "n1", PermitID: serverPermit.PermitID, Incarnation: 1})
	if directives := s.DirectivesFor("n1"); directives.DrainRequest != nil || directives.PermitID != serverPermit.PermitID {
		t.Errorf("directives after the requested drain has begun: got %+v, want the permit and no drain request", directives)
	}
	apply(Command{Kind: Recall, Subject: "n1", Actor: "me"})
	if directives := s.DirectivesFor("n1"); directives.RecalledBy != "me" {
		t.Errorf("directives after a recall: got %+v, want a recall by me", directives)
	}
	if result := apply(Command{Kind: Return, Subject: "n1", PermitID: serverPermit.PermitID, Incarnation: 1}); !result.OK {
		t.Errorf("return by a recalled server without a restart: got %+v, want success", result)
	}
}
