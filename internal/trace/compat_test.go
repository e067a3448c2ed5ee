package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"reflect"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"

	"sorrelvalve/control"
	"sorrelvalve/decision/replay"
)

// The files in testdata/b631b89 were written by version b631b89 of this code. fields.trace has a header with every field set,
// and entries of every kind with every field set. decisions.trace contains seven seconds of control decisions with events and
// actions of every kind.

func openOld(t *testing.T, name string) *Reader {
	t.Helper()
	r, err := Open(filepath.Join("testdata", "b631b89", name))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	return r
}

// TestReadsHeaderOfB631b89 checks that the whole header of the earlier version is read: it is the same JSON when written again.
func TestReadsHeaderOfB631b89(t *testing.T) {
	r := openOld(t, "fields.trace")
	var text []byte
	if err := fields(r.raw, func(f protowire.Number, _ uint64, b []byte) error {
		if f == fieldHeader {
			text = b
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(r.Header)
	if err != nil {
		t.Fatal(err)
	}
	var original, rewritten any
	if err := json.Unmarshal(text, &original); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(encoded, &rewritten); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(original, rewritten) {
		t.Errorf("header JSON: read %s, wrote %s", text, encoded)
	}
	if h := &r.Header; !h.SlowStart || h.OriginMS == 0 || h.Build == "" || h.Startup.Node.Seed == 0 || len(h.Startup.Methods) != 2 || h.Startup.Customers[1].Quota == 0 {
		t.Errorf("header: got %+v, want every field set", h)
	}
}

// TestReadsEntriesOfB631b89 checks that each entry of the earlier version is read as it was written.
func TestReadsEntriesOfB631b89(t *testing.T) {
	r := openOld(t, "fields.trace")
	got, err := readAll(r)
	if !errors.Is(err, io.EOF) || len(got) != 36 {
		t.Fatalf("read: got %d entries, error %v", len(got), err)
	}
	for i, e := range got {
		x := float64(i)
		want := Entry{Now: 1000 + x/2, Event: control.Event{
			Kind: control.EventKind(i % 9), RPC: uint32(i + 1), Method: i % 3, Customer: i % 5, Caller: uint16(300 + i), Subject: 1<<50 + uint64(i),
			DuplicateOf: uint32(i), Remaining: x * 2.5, Age: -x, CostHint: x * 0.25, QueuedKB: x * 10, Retry: i%2 == 1, Quota: control.QuotaStatus(i % 3),
			RetryAfter: x * 7, Outcome: control.Outcome(i % 8), Elapsed: x * 1.25, Label: 1<<33 + uint64(i),
			Gauges: control.Gauges{Stale: i%4 == 1, CPUUtilization: x / 64, Runnable: x}}}
		for k := range i % 5 {
			want.Actions = append(want.Actions, control.Action{Kind: []control.ActionKind{control.Run, control.Reject, control.Abort, control.Join}[k], RPC: uint32(k + 1), Time: float64(k) * 100, NoRetry: k%2 == 1})
		}
		if i%3 > 0 {
			want.Token = Hash(fmt.Sprint("token", i))
		}
		if !reflect.DeepEqual(e, want) {
			t.Errorf("entry %d: got %+v, want %+v", i, e, want)
		}
	}
}

// TestReplaysDecisionsOfB631b89 checks that this version makes the same decisions when it replays those of the earlier version.
func TestReplaysDecisionsOfB631b89(t *testing.T) {
	r := openOld(t, "decisions.trace")
	c := &r.Header.Startup
	s := &replay.Settings{Node: c.Node, Fleet: c.Fleet, Dependency: c.Dependency, Limits: c.Limits, Methods: c.Methods, Customers: c.Customers}
	s.Node.WarmingUp = r.Header.SlowStart
	events, actions := map[control.EventKind]int{}, map[control.ActionKind]int{}
	next := func() (replay.Step, error) {
		e, err := r.Next()
		if err == nil {
			events[e.Event.Kind]++
			for _, a := range e.Actions {
				actions[a.Kind]++
			}
		}
		return replay.Step{Now: e.Now, Event: e.Event, Token: e.Token, Actions: e.Actions}, err
	}
	var tally replay.Tally
	steps, err := replay.Verify(s, next, func(d replay.Divergence) { t.Errorf("replay diverges at step %d: %+v", d.Step, d) }, func(c replay.Completion) { tally.Add(c.Verdict) })
	if err != nil || steps != 1170 {
		t.Errorf("replay: got %d steps, error %v", steps, err)
	}
	wantEvents := map[control.EventKind]int{control.Started: 1, control.Arrived: 674, control.CallerGone: 16, control.Completed: 210, control.AwaitingCall: 42,
		control.CallCompleted: 23, control.DrainNotice: 2, control.TimerFired: 201, control.DrainCancelled: 1}
	if !reflect.DeepEqual(events, wantEvents) {
		t.Errorf("events by kind: got %v, want %v", events, wantEvents)
	}
	wantActions := map[control.ActionKind]int{control.Run: 171, control.Reject: 434, control.Abort: 47, control.Join: 62}
	if !reflect.DeepEqual(actions, wantActions) {
		t.Errorf("actions by kind: got %v, want %v", actions, wantActions)
	}
	if want := (replay.Tally{Total: 674, OK: 166, Late: 10, Rejected: 434, Aborted: 48, CallerLeft: 16}); tally != want {
		t.Errorf("tally of verdicts: got %+v, want %+v", tally, want)
	}
}
