package pools

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	wire "sorrelvalve/internal/uwsgi"
)

// TestFaults checks one faulty member beside a healthy one: the outcomes of idempotent RPCs and of RPCs that must not run twice,
// and that the body of the latter arrives completely at most once.
func TestFaults(t *testing.T) {
	cases := []struct {
		name          string
		fault         standin.Fault
		idempotent    gate.Outcome // of an idempotent RPC
		nonIdempotent gate.Outcome // of an RPC that must not run twice, at the faulty member
		arrives       int          // times that the body of such an RPC may arrive completely
	}{
		{"no fault", standin.NoFault, gate.Succeeded, gate.Succeeded, 1},
		{"reads and does not respond", standin.HangAfterRead, gate.Succeeded, gate.Failed, 1},
		{"accepts and does not read", standin.HangOnAccept, gate.Succeeded, gate.Failed, 0},
		{"immediate status 500", standin.ServerError, gate.Succeeded, gate.Failed, 1},
		{"truncated body", standin.TruncatedBody, gate.Succeeded, gate.Failed, 1},
		{"no Content-Length", standin.NoContentLength, gate.Succeeded, gate.Succeeded, 1},
		{"second response", standin.ExtraResponse, gate.Succeeded, gate.Succeeded, 1},
		{"reset after the body was read", standin.ResetAfterRead, gate.Succeeded, gate.Failed, 1},
		{"malformed response", standin.MalformedResponse, gate.Succeeded, gate.Failed, 1},
		{"transfer coding", standin.ChunkedResponse, gate.Succeeded, gate.Failed, 1},
		{"endless response head", standin.EndlessHeader, gate.Succeeded, gate.Failed, 1},
		{"oversized Content-Length", standin.OversizedLength, gate.Succeeded, gate.Failed, 1},
		{"interim response", standin.InterimResponse, gate.Succeeded, gate.Succeeded, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 2, func(p *operator.Pool) { p.MaxFailures = 0 })
			r.apps[0].SetFault(c.fault)
			// Repeated so that the random choice of members sends both kinds of RPC to the faulty member. A faulty member has
			// no measured latency, and so is as likely to be chosen as the healthy one.
			for i := range 12 {
				if e := r.await(r.begin("view", "1", time.Second)); e.outcome != c.idempotent {
					t.Fatalf("idempotent RPC %d: got %+v", i, e)
				}
			}
			failed := false
			for i := range 12 {
				before := r.received()
				e := r.await(r.begin("buy", fmt.Sprint("1 ", i), 300*time.Millisecond))
				failed = failed || e.outcome == c.nonIdempotent
				if e.outcome != gate.Succeeded && e.outcome != c.nonIdempotent {
					t.Fatalf("non-idempotent RPC %d: got %+v", i, e)
				}
				if n := r.received() - before; n > 1 {
					t.Fatalf("complete bodies of a non-idempotent RPC received: got %d, want at most 1", n)
				}
			}
			if !failed {
				t.Error("the faulty member got no RPC")
			}
			if v := r.rules.Report(); v.DuplicateRuns > 0 {
				t.Errorf("duplicate runs: got %d, want 0", v.DuplicateRuns)
			}
		})
	}
}

// TestConnectionRefused checks that even a non-idempotent RPC is retried at another member if a member refuses the connection,
// because it did not run there.
func TestConnectionRefused(t *testing.T) {
	r := start(t, 2, func(p *operator.Pool) { p.MaxFailures = 0 })
	r.apps[0].Stop()
	for i := range 20 {
		if e := r.do("buy", fmt.Sprint("1 ", i)); e.outcome != gate.Succeeded || e.status != "HTTP/1.1 200 OK" {
			t.Fatalf("non-idempotent RPC %d: got %+v", i, e)
		}
	}
	if v := r.rules.Report(); v.DuplicateRuns > 0 {
		t.Errorf("duplicate runs: got %d, want 0", v.DuplicateRuns)
	}
}

// TestAllMembersDown checks that RPCs end with NoCapacity within the queue timeout if all members are down, and succeed again as
// soon as one member is back.
func TestAllMembersDown(t *testing.T) {
	r := start(t, 2)
	for _, a := range r.apps {
		a.Stop()
	}
	for i := range 12 {
		if e := r.do("buy", fmt.Sprint("1 ", i)); e.outcome != gate.NoCapacity {
			t.Fatalf("non-idempotent RPC %d: got %+v", i, e)
		}
	}
	ejected := 0
	for _, m := range r.backends.States()[0].Members {
		if m.Ejection != 0 {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("ejected members: got %d, want 2", ejected)
	}
	began := time.Now()
	if e := r.do("view", "1"); e.outcome != gate.NoCapacity || time.Since(began) > testTimeout/2 {
		t.Errorf("RPC with all members down: got %+v after %v", e, time.Since(began))
	}
	if err := r.apps[1].Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); r.do("view", "1").outcome != gate.Succeeded; {
		if time.Now().After(end) {
			t.Fatal("no RPC succeeds after a member is back")
		}
	}
}

// TestConnectionLimit checks that connections stay within the limit, that further RPCs are queued, and that RPCs fail immediately
// if the queue is full.
func TestConnectionLimit(t *testing.T) {
	r := start(t, 1, func(p *operator.Pool) { p.MaxConnections, p.MaxQueued, p.QueueTimeoutMs, p.RecoveryMs = 2, 2, 5000, 0 })
	var runs []<-chan completion
	for range 10 {
		runs = append(runs, r.begin("view", "60", testTimeout))
	}
	succeeded, noCapacity := 0, 0
	for _, run := range runs {
		switch e := r.await(run); e.outcome {
		case gate.Succeeded:
			succeeded++
		case gate.NoCapacity:
			noCapacity++
		default:
			t.Errorf("unexpected completion: got %+v", e)
		}
	}
	if succeeded != 4 || noCapacity != 6 || r.apps[0].TakeMaxInFlight() != 2 {
		t.Errorf("RPCs succeeded: got %d, want 4; without capacity: got %d, want 6 (or the maximum of requests in flight is not 2)", succeeded, noCapacity)
	}
}

// TestSet checks the removal of a member in use: its RPCs in flight complete, and new RPCs go to the other members.
func TestSet(t *testing.T) {
	r := start(t, 3)
	old := r.begin("buy", "300 a", testTimeout)
	for r.received() == 0 {
		time.Sleep(time.Millisecond)
	}
	first := slices.IndexFunc(r.apps, func(a *standin.App) bool { return a.Received() > 0 })
	p := r.file.Pools["p"]
	p.Members = slices.Delete(slices.Clone(p.Members), first, first+1)
	next := *r.file
	next.Pools = map[string]operator.Pool{"p": p}
	r.backends.Set(&next)
	for range 20 {
		if e := r.do("view", "1"); e.outcome != gate.Succeeded {
			t.Fatalf("RPC after the change: got %+v", e)
		}
	}
	if n := r.apps[first].Received(); n != 1 {
		t.Errorf("RPCs at the removed member: got %d, want 1", n)
	}
	if e := r.await(old); e.outcome != gate.Succeeded || e.result != "300 a" {
		t.Errorf("RPC in flight at the removed member: got %+v", e)
	}
	r.backends.Set(&operator.File{Version: "none"})
	if e := r.do("view", "1"); e.result != "engine" || r.backends.Serves("view") {
		t.Errorf("RPC without a pool: got %+v, want a result of the engine", e)
	}
}

// TestSetWithQueuedRequests checks that queued RPCs complete after their pool was removed from the file.
func TestSetWithQueuedRequests(t *testing.T) {
	r := start(t, 1, func(p *operator.Pool) { p.MaxConnections, p.RecoveryMs, p.QueueTimeoutMs = 1, 0, 5000 })
	var a, b <-chan completion
	for end := time.Now().Add(testTimeout); r.backends.States()[0].Queued == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no RPC was queued")
		}
		if a == nil || len(a) == 1 && len(b) == 1 { // on a stalled machine both may have ended before they were seen in the queue
			a, b = r.begin("view", "100", testTimeout), r.begin("view", "1", testTimeout)
		}
	}
	r.backends.Set(&operator.File{Version: "none"})
	if first, second := r.await(a), r.await(b); first.outcome != gate.Succeeded || second.outcome != gate.Succeeded {
		t.Errorf("RPCs after the pool was removed: got %+v and %+v", first, second)
	}
}

// TestHealthChecks checks that active health checks eject a member that does not answer, and return it when it answers again.
func TestHealthChecks(t *testing.T) {
	r := start(t, 2, func(p *operator.Pool) { p.HealthCheckMs = 20 })
	ejection := func() int {
		return int(r.backends.States()[0].Members[0].Ejection)
	}
	r.apps[0].SetFault(standin.HangAfterRead)
	for end := time.Now().Add(testTimeout); ejection() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("member was not ejected")
		}
	}
	r.apps[0].SetFault(standin.NoFault)
	for end := time.Now().Add(testTimeout); ejection() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("member did not return")
		}
	}
}

// TestPacket checks the packet that is sent to an application server.
func TestPacket(t *testing.T) {
	own := wire.AppendVariable(wire.AppendVariable(nil, "REQUEST_METHOD", "HEAD"), "PATH_INFO", "/x")
	long := wire.AppendVariable(own, "PAD", strings.Repeat("x", wire.MaxBlockSize-len(own)-7))
	cases := []struct {
		name    string
		request gate.RunRequest
		want    []string // name, value, ...
		noBody  bool
	}{
		{"received by MessagePack", gate.RunRequest{ID: "7", Body: []byte("abc")}, []string{"REQUEST_METHOD", "POST", "PATH_INFO", "/buy", "CONTENT_LENGTH", "3", "X", "y", "VALVE_ID", "7"}, false},
		{"received by uwsgi", gate.RunRequest{ID: "7", Variables: string(own)}, []string{"REQUEST_METHOD", "HEAD", "PATH_INFO", "/x", "VALVE_ID", "7"}, true},
		{"received by uwsgi, block full", gate.RunRequest{ID: "7", Variables: string(long)}, []string{"PATH_INFO", "/x", "VALVE_ID", ""}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := &target{method: operator.Method{Path: "/buy", Verb: "POST", Variables: map[string]string{"X": "y"}}}
			b, noBody := target.packet(c.request)
			h := wire.ParseHeader(b)
			var v wire.Variables
			if err := v.Parse(string(b[wire.HeaderSize:]), 100); err != nil || h.BlockSize != len(b)-wire.HeaderSize || noBody != c.noBody {
				t.Fatalf("packet: header %+v, %d bytes; no body %v, error %v", h, len(b), noBody, err)
			}
			for i := 0; i < len(c.want); i += 2 {
				if got, _ := v.Get(c.want[i]); got != c.want[i+1] {
					t.Errorf("variable %s: got %q, want %q", c.want[i], got, c.want[i+1])
				}
			}
		})
	}
}

// TestProgressWithinBody checks that an attempt counts as MayHaveRun if the member resets the connection while the body is being
// written: it has the variables, so the RPC may have run.
func TestProgressWithinBody(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
	}()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(c, make([]byte, 100)) // an error does not matter: the test checks the error of the attempt
		_ = c.(*net.TCPConn).SetLinger(0)        // as above
		_ = c.Close()                            // as above
	}()
	a := attempt{addr: ln.Addr().String(), connectTimeout: time.Second, deadline: time.Now().Add(testTimeout), maxBodyBytes: 100}
	_, _, failed := a.send(make([]byte, 100), make([]byte, 32<<20))
	if failed == nil || failed.Progress != 2 {
		t.Errorf("error of the attempt: got %v", failed)
	}
}
