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

// One member that fails in each way: the outcome of an idempotent RPC and of one with an effect, and how often at most
// their bodies arrive complete. The second member is healthy.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   standin.Fault
		idem    gate.Outcome // of an idempotent RPC
		effect  gate.Outcome
		arrives int // times that the effect's body may arrive complete
	}{
		{"sound", standin.NoFault, gate.Succeeded, gate.Succeeded, 1},
		{"accepts and says nothing", standin.HangAfterRead, gate.Succeeded, gate.Failed, 1},
		{"does not even read", standin.HangOnAccept, gate.Succeeded, gate.Failed, 0},
		{"a 500 at once", standin.ServerError, gate.Succeeded, gate.Failed, 1},
		{"half an answer", standin.TruncatedBody, gate.Succeeded, gate.Failed, 1},
		{"no length", standin.NoContentLength, gate.Succeeded, gate.Succeeded, 1},
		{"a second answer", standin.ExtraResponse, gate.Succeeded, gate.Succeeded, 1},
		{"a reset after the body was read", standin.ResetAfterRead, gate.Succeeded, gate.Failed, 1},
		{"garbage", standin.MalformedResponse, gate.Succeeded, gate.Failed, 1},
		{"a transfer coding", standin.ChunkedResponse, gate.Succeeded, gate.Failed, 1},
		{"a head that never ends", standin.EndlessHeader, gate.Succeeded, gate.Failed, 1},
		{"a length beyond all bounds", standin.OversizedLength, gate.Succeeded, gate.Failed, 1},
		{"an interim answer", standin.InterimResponse, gate.Succeeded, gate.Succeeded, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := start(t, 2, func(p *operator.Pool) { p.MaxFailures = 0 })
			r.apps[0].SetFault(c.fault)
			// Until the bad member has had one of each, which random choice soon brings; a bad member has no latency, and
			// so is as likely to be chosen as the healthy one.
			for i := range 12 {
				if e := r.await(r.begin("view", "1", time.Second)); e.how != c.idem {
					t.Fatalf("idempotent %d: %+v", i, e)
				}
			}
			failed := false
			for i := range 12 {
				before := r.received()
				e := r.await(r.begin("buy", fmt.Sprint("1 ", i), 300*time.Millisecond))
				failed = failed || e.how == c.effect
				if e.how != gate.Succeeded && e.how != c.effect {
					t.Fatalf("effect %d: %+v", i, e)
				}
				if n := r.received() - before; n > 1 {
					t.Fatalf("an effect's body arrived whole %d times", n)
				}
			}
			if !failed {
				t.Error("the bad member was never asked")
			}
			if v := r.rules.Report(); v.DuplicateRuns > 0 {
				t.Errorf("%d second runs", v.DuplicateRuns)
			}
		})
	}
}

// A member that refuses the connection has run nothing, so even an RPC with an effect is retried elsewhere.
func TestConnectionRefused(t *testing.T) {
	r := start(t, 2, func(p *operator.Pool) { p.MaxFailures = 0 })
	r.apps[0].Stop()
	for i := range 20 {
		if e := r.do("buy", fmt.Sprint("1 ", i)); e.how != gate.Succeeded || e.status != "HTTP/1.1 200 OK" {
			t.Fatalf("effect %d: %+v", i, e)
		}
	}
	if v := r.rules.Report(); v.DuplicateRuns > 0 {
		t.Errorf("%d second runs", v.DuplicateRuns)
	}
}

// All members down: RPCs end without capacity within the queue timeout; the first member that is back serves.
func TestAllMembersDown(t *testing.T) {
	r := start(t, 2)
	for _, a := range r.apps {
		a.Stop()
	}
	for i := range 12 {
		if e := r.do("buy", fmt.Sprint("1 ", i)); e.how != gate.NoCapacity {
			t.Fatalf("effect %d: %+v", i, e)
		}
	}
	out := 0
	for _, m := range r.backends.States()[0].Members {
		if m.Ejection != 0 {
			out++
		}
	}
	if out != 2 {
		t.Errorf("%d members ejected", out)
	}
	began := time.Now()
	if e := r.do("view", "1"); e.how != gate.NoCapacity || time.Since(began) > soon/2 {
		t.Errorf("%+v after %v", e, time.Since(began))
	}
	if err := r.apps[1].Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(soon); r.do("view", "1").how != gate.Succeeded; {
		if time.Now().After(end) {
			t.Fatal("never back")
		}
	}
}

// The connection limit holds, RPCs beyond it are queued, and those beyond the queue fail at once.
func TestConnectionLimit(t *testing.T) {
	r := start(t, 1, func(p *operator.Pool) { p.MaxConnections, p.MaxQueued, p.QueueTimeoutMs, p.RecoveryMs = 2, 2, 5000, 0 })
	var all []<-chan completion
	for range 10 {
		all = append(all, r.begin("view", "60", soon))
	}
	ok, full := 0, 0
	for _, over := range all {
		switch e := r.await(over); e.how {
		case gate.Succeeded:
			ok++
		case gate.NoCapacity:
			full++
		default:
			t.Errorf("%+v", e)
		}
	}
	if ok != 4 || full != 6 || r.apps[0].TakeMaxInFlight() != 2 {
		t.Errorf("%d ok, %d without room", ok, full)
	}
}

// Members are replaced while in use: what is in flight ends where it is, new RPCs go to the new ones.
func TestSet(t *testing.T) {
	r := start(t, 3)
	old := r.begin("buy", "300 a", soon)
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
		if e := r.do("view", "1"); e.how != gate.Succeeded {
			t.Fatalf("%+v", e)
		}
	}
	if n := r.apps[first].Received(); n != 1 {
		t.Errorf("%d went to the member that has left", n)
	}
	if e := r.await(old); e.how != gate.Succeeded || e.result != "300 a" {
		t.Errorf("%+v", e)
	}
	r.backends.Set(&operator.File{Version: "none"})
	if e := r.do("view", "1"); e.result != "engine" || r.backends.Serves("view") {
		t.Errorf("%+v", e)
	}
}

// A file without the pool while RPCs are queued for it: they still end.
func TestSetWhileWaiting(t *testing.T) {
	r := start(t, 1, func(p *operator.Pool) { p.MaxConnections, p.RecoveryMs, p.QueueTimeoutMs = 1, 0, 5000 })
	var a, b <-chan completion
	for late := time.Now().Add(soon); r.backends.States()[0].Queued == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("nobody waits")
		}
		if a == nil || len(a) == 1 && len(b) == 1 { // a machine that stood still may have missed the wait of the last two
			a, b = r.begin("view", "100", soon), r.begin("view", "1", soon)
		}
	}
	r.backends.Set(&operator.File{Version: "none"})
	if x, y := r.await(a), r.await(b); x.how != gate.Succeeded || y.how != gate.Succeeded {
		t.Errorf("%+v and %+v", x, y)
	}
}

// Active health checks eject a member that answers none, and return it.
func TestHealthChecks(t *testing.T) {
	r := start(t, 2, func(p *operator.Pool) { p.HealthCheckMs = 20 })
	out := func() int {
		return int(r.backends.States()[0].Members[0].Ejection)
	}
	r.apps[0].SetFault(standin.HangAfterRead)
	for end := time.Now().Add(soon); out() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never ejected")
		}
	}
	r.apps[0].SetFault(standin.NoFault)
	for end := time.Now().Add(soon); out() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never back")
		}
	}
}

// The packet that an application server gets.
func TestPacket(t *testing.T) {
	own := wire.AppendVariable(wire.AppendVariable(nil, "REQUEST_METHOD", "HEAD"), "PATH_INFO", "/x")
	long := wire.AppendVariable(own, "PAD", strings.Repeat("x", wire.MaxBlockSize-len(own)-7))
	cases := []struct {
		name   string
		w      gate.RunRequest
		want   []string // name, value, ...
		noBody bool
	}{
		{"by MessagePack", gate.RunRequest{ID: "7", Body: []byte("abc")}, []string{"REQUEST_METHOD", "POST", "PATH_INFO", "/buy", "CONTENT_LENGTH", "3", "X", "y", "VALVE_ID", "7"}, false},
		{"by uwsgi", gate.RunRequest{ID: "7", Variables: string(own)}, []string{"REQUEST_METHOD", "HEAD", "PATH_INFO", "/x", "VALVE_ID", "7"}, true},
		{"by uwsgi, with no room for more", gate.RunRequest{ID: "7", Variables: string(long)}, []string{"PATH_INFO", "/x", "VALVE_ID", ""}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := &target{method: operator.Method{Path: "/buy", Verb: "POST", Variables: map[string]string{"X": "y"}}}
			b, noBody := target.packet(c.w)
			h := wire.ParseHeader(b)
			var v wire.Variables
			if err := v.Parse(string(b[wire.HeaderSize:]), 100); err != nil || h.BlockSize != len(b)-wire.HeaderSize || noBody != c.noBody {
				t.Fatalf("head %+v of %d bytes, no body %v, error %v", h, len(b), noBody, err)
			}
			for i := 0; i < len(c.want); i += 2 {
				if got, _ := v.Get(c.want[i]); got != c.want[i+1] {
					t.Errorf("%s is %q, want %q", c.want[i], got, c.want[i+1])
				}
			}
		})
	}
}

// A member that resets while the body is still being written: it had the variables, so the RPC may have run.
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
		_, _ = io.ReadFull(c, make([]byte, 100)) // the attempt's error is what is checked
		_ = c.(*net.TCPConn).SetLinger(0)        // the same
		_ = c.Close()                            // the same
	}()
	a := attempt{addr: ln.Addr().String(), connectTimeout: time.Second, deadline: time.Now().Add(soon), maxBodyBytes: 100}
	_, _, failed := a.send(make([]byte, 100), make([]byte, 32<<20))
	if failed == nil || failed.Progress != 2 {
		t.Errorf("failed %v", failed)
	}
}
