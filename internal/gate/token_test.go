package gate

import (
	"strings"
	"testing"
	"time"

	"sorrelvalve/control"
)

// tokenCase is what may happen to a duplicate after the first attempt was admitted.
type tokenCase struct {
	name string
	run  func(w *testGate, first *Ticket)
}

var tokenCases = []tokenCase{
	{"a duplicate waits for the run", func(w *testGate, first *Ticket) {
		a := w.submit("buy", "k")
		w.expect(a, -1)
		first.Report(Succeeded, 10, []byte("r"))
		if v := w.expect(a, OK); string(v.Result) != "r" {
			w.Errorf("result %q", v.Result)
		}
	}},
	{"a duplicate gets the cached result", func(w *testGate, first *Ticket) {
		first.Report(Succeeded, 10, []byte("r"))
		w.advance(7 * time.Second)
		if v := w.expect(w.submit("buy", "k"), OK); string(v.Result) != "r" {
			w.Errorf("result %q", v.Result)
		}
	}},
	{"another token runs", func(w *testGate, _ *Ticket) {
		w.expect(w.submit("buy", "other"), Run)
	}},
	{"past the window it runs again", func(w *testGate, first *Ticket) {
		first.Report(Succeeded, 10, nil)
		w.advance(8020 * time.Millisecond)
		w.expect(w.submit("buy", "k"), Run)
	}},
	{"written within the window, read after it", func(w *testGate, first *Ticket) {
		first.Report(Succeeded, 10, []byte("r"))
		door := w.clock.Add(7990 * time.Millisecond)
		w.advance(8500 * time.Millisecond)
		w.expect(w.submitAt("buy", "k", door), OK)
	}},
	{"a failed run is not run again", func(w *testGate, first *Ticket) {
		first.Report(Failed, 10, nil)
		w.expect(w.submit("buy", "k"), Aborted)
	}},
	{"a run that never started leaves nothing", func(w *testGate, first *Ticket) {
		a := w.submit("buy", "k")
		first.Report(NotStarted, 0, nil)
		w.expect(a, Aborted)
		w.expect(w.submit("buy", "k"), Run)
	}},
	{"an aborted run serves a later duplicate", func(w *testGate, first *Ticket) {
		w.advance(2 * time.Second)
		w.expect(first, Aborted)
		a := w.submit("buy", "k")
		w.expect(a, -1)
		first.Report(Succeeded, 2100, []byte("r"))
		w.expect(a, OK)
	}},
	{"a duplicate is cancelled while it waits", func(w *testGate, first *Ticket) {
		a := w.submit("buy", "k")
		a.Cancel()
		w.expect(a, CallerGone)
		first.Report(Succeeded, 10, nil)
		w.expect(a, -1)
	}},
	{"a duplicate in a drain is not rejected", func(w *testGate, _ *Ticket) {
		w.Drain(3 * time.Second)
		w.advance(1100 * time.Millisecond)
		w.expect(w.submit("buy", "k"), Aborted)
	}},
	{"an attempt that left the queue is forgotten", func(w *testGate, first *Ticket) {
		b, c := w.submit("view", ""), w.submit("buy", "held")
		w.expect(b, Run)
		w.expect(c, -1)
		c.Cancel()
		first.Report(Succeeded, 10, nil)
		w.expect(w.submit("buy", "held"), Run)
	}},
	{"an attempt far older than its deadline", func(w *testGate, first *Ticket) {
		first.Report(Succeeded, 10, []byte("r"))
		door := w.clock
		w.advance(9 * time.Second)
		w.expect(w.submitAt("buy", "k", door), OK)
	}},
	{"the cache is full", func(w *testGate, first *Ticket) {
		first.Report(Succeeded, 10, nil)
		w.cacheFreeKB = tokenKB - 1
		w.expect(w.submit("buy", "other"), Rejected)
		w.expect(w.submit("buy", "k"), OK)
	}},
	{"a result too large to cache: its own caller gets it, a duplicate is aborted", func(w *testGate, first *Ticket) {
		late := w.submit("buy", "k")
		first.ReportWithHead(Succeeded, 10, []byte("head"), make([]byte, 4<<20))
		if v := w.expect(first, OK); len(v.Result) != 4<<20 || string(v.Head) != "head" {
			w.Errorf("%d bytes, head %q", len(v.Result), v.Head)
		}
		for _, t := range []*Ticket{late, w.submit("buy", "k")} {
			if v := w.expect(t, Aborted); !strings.Contains(v.Reason, "too large") {
				w.Errorf("reason %q", v.Reason)
			}
		}
	}},
	{"larger results count for what they take, and give it back", func(w *testGate, first *Ticket) {
		before := w.cacheFreeKB
		first.ReportWithHead(Succeeded, 10, []byte("head"), make([]byte, 100<<10))
		w.expect(first, OK)
		if took := before - w.cacheFreeKB; took < 90 || took > 100 {
			w.Errorf("took %g KB", took)
		}
		if v := w.expect(w.submit("buy", "k"), OK); len(v.Result) != 100<<10 || string(v.Head) != "head" {
			w.Errorf("duplicate got %d bytes, head %q", len(v.Result), v.Head)
		}
		w.advance(12 * time.Second)
		if w.cacheFreeKB != before+tokenKB || len(w.tokens) != 0 {
			w.Errorf("%g KB left of %g, %d tokens", w.cacheFreeKB, before+tokenKB, len(w.tokens))
		}
	}},
	{"no capacity: rejected, its token is free", func(w *testGate, first *Ticket) {
		late := w.submit("buy", "k")
		first.Report(NoCapacity, 0, nil)
		if v := w.expect(first, Rejected); v.RetryAfterMs <= 0 {
			w.Errorf("retry after %g", v.RetryAfterMs)
		}
		w.expect(late, Aborted)
		w.expect(w.submit("buy", "k"), Run)
	}},
	{"the controller asks for a second run", func(w *testGate, first *Ticket) {
		a := w.submit("buy", "other")
		w.expect(a, Run)
		a.running, a.tokenKey, a.arrivedMs = false, first.tokenKey, first.arrivedMs
		w.execute(control.Action{Kind: control.Run, RPC: a.id})
		w.expect(a, Aborted)
	}},
	{"the controller rejects what has run", func(w *testGate, first *Ticket) {
		w.execute(control.Action{Kind: control.Reject, RPC: first.id})
		w.expect(first, Aborted)
	}},
}

func TestTokens(t *testing.T) {
	for _, c := range tokenCases {
		t.Run(c.name, func(t *testing.T) {
			w := open(t, true)
			first := w.submit("buy", "k")
			w.expect(first, Run)
			c.run(w, first)
			first.Report(Failed, 10, nil)
			w.advance(30 * time.Second)
			for key, k := range w.tokens {
				if k.completed {
					t.Errorf("token %q is still cached", key)
				}
			}
		})
	}
}
