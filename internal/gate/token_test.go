package gate

import (
	"strings"
	"testing"
	"time"

	"sorrelvalve/control"
)

// tokenCase is a scenario for duplicates after the first attempt has been admitted.
type tokenCase struct {
	name string
	run  func(tg *testGate, first *Ticket)
}

var tokenCases = []tokenCase{
	{"a duplicate waits for the run", func(tg *testGate, first *Ticket) {
		a := tg.submit("buy", "k")
		tg.expect(a, -1)
		first.Report(Succeeded, 10, []byte("r"))
		if v := tg.expect(a, OK); string(v.Result) != "r" {
			tg.Errorf("result: got %q", v.Result)
		}
	}},
	{"a duplicate gets the cached result", func(tg *testGate, first *Ticket) {
		first.Report(Succeeded, 10, []byte("r"))
		tg.advance(7 * time.Second)
		if v := tg.expect(tg.submit("buy", "k"), OK); string(v.Result) != "r" {
			tg.Errorf("result: got %q", v.Result)
		}
	}},
	{"another token runs", func(tg *testGate, _ *Ticket) {
		tg.expect(tg.submit("buy", "other"), Run)
	}},
	{"an attempt after the window runs again", func(tg *testGate, first *Ticket) {
		first.Report(Succeeded, 10, nil)
		tg.advance(8020 * time.Millisecond)
		tg.expect(tg.submit("buy", "k"), Run)
	}},
	{"a duplicate that arrives within the window and is read after it", func(tg *testGate, first *Ticket) {
		first.Report(Succeeded, 10, []byte("r"))
		arrived := tg.clock.Add(7990 * time.Millisecond)
		tg.advance(8500 * time.Millisecond)
		tg.expect(tg.submitAt("buy", "k", arrived), OK)
	}},
	{"a failed RPC is not run again", func(tg *testGate, first *Ticket) {
		first.Report(Failed, 10, nil)
		tg.expect(tg.submit("buy", "k"), Aborted)
	}},
	{"a run that never started frees the token", func(tg *testGate, first *Ticket) {
		a := tg.submit("buy", "k")
		first.Report(NotStarted, 0, nil)
		tg.expect(a, Aborted)
		tg.expect(tg.submit("buy", "k"), Run)
	}},
	{"the result of an aborted RPC answers a later duplicate", func(tg *testGate, first *Ticket) {
		tg.advance(2 * time.Second)
		tg.expect(first, Aborted)
		a := tg.submit("buy", "k")
		tg.expect(a, -1)
		first.Report(Succeeded, 2100, []byte("r"))
		tg.expect(a, OK)
	}},
	{"a duplicate is cancelled while it waits", func(tg *testGate, first *Ticket) {
		a := tg.submit("buy", "k")
		a.Cancel()
		tg.expect(a, CallerGone)
		first.Report(Succeeded, 10, nil)
		tg.expect(a, -1)
	}},
	{"a duplicate in a drain is not rejected", func(tg *testGate, _ *Ticket) {
		tg.Drain(3 * time.Second)
		tg.advance(1100 * time.Millisecond)
		tg.expect(tg.submit("buy", "k"), Aborted)
	}},
	{"a cancelled attempt that was queued frees the token", func(tg *testGate, first *Ticket) {
		b, c := tg.submit("view", ""), tg.submit("buy", "held")
		tg.expect(b, Run)
		tg.expect(c, -1)
		c.Cancel()
		first.Report(Succeeded, 10, nil)
		tg.expect(tg.submit("buy", "held"), Run)
	}},
	{"a duplicate far older than its deadline", func(tg *testGate, first *Ticket) {
		first.Report(Succeeded, 10, []byte("r"))
		arrived := tg.clock
		tg.advance(9 * time.Second)
		tg.expect(tg.submitAt("buy", "k", arrived), OK)
	}},
	{"the cache is full", func(tg *testGate, first *Ticket) {
		first.Report(Succeeded, 10, nil)
		tg.cacheFreeKB = tokenKB - 1
		tg.expect(tg.submit("buy", "other"), Rejected)
		tg.expect(tg.submit("buy", "k"), OK)
	}},
	{"a result too large to cache: returned to its own caller, duplicates are aborted", func(tg *testGate, first *Ticket) {
		late := tg.submit("buy", "k")
		first.ReportWithHead(Succeeded, 10, []byte("head"), make([]byte, 4<<20))
		if v := tg.expect(first, OK); len(v.Result) != 4<<20 || string(v.Head) != "head" {
			tg.Errorf("result: got %d bytes, head %q", len(v.Result), v.Head)
		}
		for _, t := range []*Ticket{late, tg.submit("buy", "k")} {
			if v := tg.expect(t, Aborted); !strings.Contains(v.Reason, "too large") {
				tg.Errorf("reason: got %q", v.Reason)
			}
		}
	}},
	{"larger results are charged for their memory until they are evicted", func(tg *testGate, first *Ticket) {
		before := tg.cacheFreeKB
		first.ReportWithHead(Succeeded, 10, []byte("head"), make([]byte, 100<<10))
		tg.expect(first, OK)
		if charged := before - tg.cacheFreeKB; charged < 90 || charged > 100 {
			tg.Errorf("charged memory: got %g KB, want 90 to 100", charged)
		}
		if v := tg.expect(tg.submit("buy", "k"), OK); len(v.Result) != 100<<10 || string(v.Head) != "head" {
			tg.Errorf("result of the duplicate: got %d bytes, head %q", len(v.Result), v.Head)
		}
		tg.advance(12 * time.Second)
		if tg.cacheFreeKB != before+tokenKB || len(tg.tokens) != 0 {
			tg.Errorf("free cache: got %g KB, want %g; %d tokens cached", tg.cacheFreeKB, before+tokenKB, len(tg.tokens))
		}
	}},
	{"no capacity: the RPC is rejected and the token is free", func(tg *testGate, first *Ticket) {
		late := tg.submit("buy", "k")
		first.Report(NoCapacity, 0, nil)
		if v := tg.expect(first, Rejected); v.RetryAfterMs <= 0 {
			tg.Errorf("retry-after: got %g ms, want more than 0", v.RetryAfterMs)
		}
		tg.expect(late, Aborted)
		tg.expect(tg.submit("buy", "k"), Run)
	}},
	{"the controller requests a second run", func(tg *testGate, first *Ticket) {
		a := tg.submit("buy", "other")
		tg.expect(a, Run)
		a.running, a.tokenKey, a.arrivedMs = false, first.tokenKey, first.arrivedMs
		tg.execute(control.Action{Kind: control.Run, RPC: a.id})
		tg.expect(a, Aborted)
	}},
	{"the controller rejects an RPC that is running", func(tg *testGate, first *Ticket) {
		tg.execute(control.Action{Kind: control.Reject, RPC: first.id})
		tg.expect(first, Aborted)
	}},
}

func TestTokens(t *testing.T) {
	for _, c := range tokenCases {
		t.Run(c.name, func(t *testing.T) {
			tg := open(t, true)
			first := tg.submit("buy", "k")
			tg.expect(first, Run)
			c.run(tg, first)
			first.Report(Failed, 10, nil)
			tg.advance(30 * time.Second)
			for key, k := range tg.tokens {
				if k.completed {
					t.Errorf("token %q is still cached", key)
				}
			}
		})
	}
}
