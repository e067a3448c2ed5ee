package pools

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"sorrelvalve/decision/pool"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	wire "sorrelvalve/internal/uwsgi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const soon = 10 * time.Second

// rig is a pool of application servers whose work is quick.
type rig struct {
	*testing.T
	backends *Backends
	apps     []*standin.App
	rules    *standin.InvariantChecker
	file     *operator.File
	run      gate.Runner
}

func start(t *testing.T, members int, change ...func(*operator.Pool)) *rig {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &rig{T: t, rules: standin.NewInvariantChecker("/buy"), backends: New(1, log.WithField("node", "n0"))}
	var addrs []string
	cores := standin.NewCores(64, 0)
	t.Cleanup(cores.Close)
	for range members {
		a, err := standin.NewApp(cores, standin.WorkFromBody, r.rules)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(a.Stop)
		r.apps = append(r.apps, a)
		addrs = append(addrs, a.Addr())
	}
	p := operator.Pool{Members: addrs, MaxConnections: 8, MaxQueued: 8, QueueTimeoutMs: 50, ConnectTimeoutMs: 200, MaxAnswerBytes: 4096, MaxFailures: 3, OutlierFactor: 4, MinShare: 0,
		EjectionMs: 200, RecoveryMs: 100, Retry: operator.Retry{Share: 0.2, Floor: 5, MaxAttempts: 3}}
	for _, c := range change {
		c(&p)
	}
	r.file = &operator.File{Version: "t", Pools: map[string]operator.Pool{"p": p}, Methods: map[string]operator.Method{
		"view": {Pool: "p", Path: "/view", Verb: "GET"}, "buy": {Pool: "p", Path: "/buy", Verb: "POST", Variables: map[string]string{"X": "y"}}}}
	r.backends.Set(r.file)
	r.run = r.backends.Runner(func(_ gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		done(gate.Succeeded, 1, nil, []byte("engine"))
	}, func(m string) bool { return m == "view" })
	ctx, end := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); r.backends.Serve(ctx) }()
	t.Cleanup(func() { end(); wg.Wait() })
	return r
}

type end struct {
	how    gate.Outcome
	status string
	result string
}

func (r *rig) begin(method, body string, due time.Duration) <-chan end {
	over := make(chan end, 2)
	r.run(gate.RunRequest{ID: "1", Method: method, Body: []byte(body), DueMs: nowMs() + float64(due.Milliseconds())}, func(how gate.Outcome, _ float64, head, result []byte) {
		status, _, _ := strings.Cut(string(head), "\r\n")
		over <- end{how, status, string(result)}
	})
	return over
}

func (r *rig) end(over <-chan end) end {
	r.Helper()
	select {
	case e := <-over:
		return e
	case <-time.After(soon):
		r.Fatal("no end")
	}
	return end{}
}

func (r *rig) do(method, body string) end {
	r.Helper()
	return r.end(r.begin(method, body, soon))
}

func (r *rig) taken() (n int) {
	for _, a := range r.apps {
		n += a.Received()
	}
	return n
}

// One member that fails in each way: the outcome of an idempotent RPC and of one with an effect, and how often at most
// their bodies arrive complete. The second member is healthy.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   standin.Fault
		idem    gate.Outcome // what an idempotent one comes to
		effect  gate.Outcome
		arrives int // times that the effect's body may arrive whole
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
			// Until the bad member has had one of each, which chance makes certain soon; a bad member has no latency, and
			// so as good a chance as the sound one.
			for i := range 12 {
				if e := r.end(r.begin("view", "1", time.Second)); e.how != c.idem {
					t.Fatalf("idempotent %d: %+v", i, e)
				}
			}
			failed := false
			for i := range 12 {
				before := r.taken()
				e := r.end(r.begin("buy", fmt.Sprint("1 ", i), 300*time.Millisecond))
				failed = failed || e.how == c.effect
				if e.how != gate.Succeeded && e.how != c.effect {
					t.Fatalf("effect %d: %+v", i, e)
				}
				if n := r.taken() - before; n > 1 {
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

// A member that is not there has run nothing, so even an effect goes on to another.
func TestRefused(t *testing.T) {
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

// All members gone: what comes is told that there is no room, in the time of the line; the first that is back serves.
func TestAllGone(t *testing.T) {
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

// The bound on connections holds, what is beyond it waits its turn, and what is beyond the line is told at once.
func TestBounds(t *testing.T) {
	r := start(t, 1, func(p *operator.Pool) { p.MaxConnections, p.MaxQueued, p.QueueTimeoutMs, p.RecoveryMs = 2, 2, 5000, 0 })
	var all []<-chan end
	for range 10 {
		all = append(all, r.begin("view", "60", soon))
	}
	ok, full := 0, 0
	for _, over := range all {
		switch e := r.end(over); e.how {
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

// Members are replaced while in use: what is in hand ends where it is, what comes goes to the new ones.
func TestSet(t *testing.T) {
	r := start(t, 3)
	old := r.begin("buy", "300 a", soon)
	for r.taken() == 0 {
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
	if e := r.end(old); e.how != gate.Succeeded || e.result != "300 a" {
		t.Errorf("%+v", e)
	}
	r.backends.Set(&operator.File{Version: "none"})
	if e := r.do("view", "1"); e.result != "engine" || r.backends.Serves("view") {
		t.Errorf("%+v", e)
	}
}

// A file without the pool while RPCs wait in its line: they still end.
func TestSetWhileWaiting(t *testing.T) {
	r := start(t, 1, func(p *operator.Pool) { p.MaxConnections, p.RecoveryMs, p.QueueTimeoutMs = 1, 0, 5000 })
	var a, b <-chan end
	for late := time.Now().Add(soon); r.backends.States()[0].Queued == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("nobody waits")
		}
		if a == nil || len(a) == 1 && len(b) == 1 { // a machine that stood still may have missed the wait of the last two
			a, b = r.begin("view", "100", soon), r.begin("view", "1", soon)
		}
	}
	r.backends.Set(&operator.File{Version: "none"})
	if x, y := r.end(a), r.end(b); x.how != gate.Succeeded || y.how != gate.Succeeded {
		t.Errorf("%+v and %+v", x, y)
	}
}

// Active checks eject a member that answers none, and let it back.
func TestChecks(t *testing.T) {
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

// What an application server is sent.
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

// A member that resets while the body is still being written: the variables were there, so it may have run.
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

// limits are budgets of the fleet that allow so much.
type fakeBudgets struct {
	mu                    sync.Mutex
	retries, calls, ended int
	silent                int
}

func (l *fakeBudgets) AllowRetry(string, float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retries--
	return l.retries >= 0
}

func (l *fakeBudgets) AllowCall(_ string, _, longest float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls == 0 || longest <= 0 {
		return false
	}
	l.calls--
	return true
}

func (l *fakeBudgets) CompleteCall(_ string, _, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	l.ended++
	if silent {
		l.silent++
	}
}

// The fleet's budgets bound a pool beside its own configuration: retries, and calls in flight, each of which ends once.
func TestSharedBudgets(t *testing.T) {
	r := start(t, 1, func(p *operator.Pool) {
		p.Retry = operator.Retry{Share: 1, Floor: 100, MaxAttempts: 3}
		p.MaxFailures = 0
	})
	l := &fakeBudgets{retries: 1, calls: 1}
	r.backends.UseBudgets(l, func(string) float64 { return 1 })
	r.apps[0].SetFault(standin.ServerError)
	for range 3 {
		if e := r.end(r.begin("view", "1", 2*time.Second)); e.how != gate.Failed {
			t.Errorf("%+v", e)
		}
	}
	if n := r.apps[0].Received(); n != 4 {
		t.Errorf("%d tries of three RPCs, one further one allowed", n)
	}
	r.apps[0].SetFault(standin.HangAfterRead)
	first := r.begin("buy", "2", time.Second)
	for end := time.Now().Add(soon); r.apps[0].Received() < 5 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if e := r.end(r.begin("buy", "3", time.Second)); e.how != gate.NoCapacity {
		t.Errorf("all of the fleet's calls are in hand: %+v", e)
	}
	r.end(first)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls != 1 || l.ended != 5 || l.silent != 1 {
		t.Errorf("%+v", l)
	}
}

// fleetSays is a judge that notes what it is told, and says what it is set to.
type fakeDetection struct {
	mu    sync.Mutex
	saw   []pool.Outcome
	busy  float64
	out   string
	probe string
}

func (f *fakeDetection) RecordOutcome(_, _ string, how pool.Outcome, _ float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.saw = append(f.saw, how)
}

func (f *fakeDetection) RecordRetryAfter(_, _ string, away float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy = away
}

func (f *fakeDetection) Decisions(string) ([]pool.FleetDecision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.out == "" {
		return nil, true
	}
	return []pool.FleetDecision{{Addr: f.out, Ejected: true}}, true
}

func (f *fakeDetection) Admits(string, uint64, float64) bool { return true }

func (f *fakeDetection) TrialMember(string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.probe
	f.probe = ""
	return p
}

func (f *fakeDetection) SetMembers(map[string][]string, func(string) pool.Config) {}

// A pool under the fleet's outlier detection: an ejected member gets one RPC where a trial is due, and nothing else; a 503
// with a Retry-After is reported as such, not as a failure.
func TestOutlierDetection(t *testing.T) {
	r := start(t, 2)
	f := &fakeDetection{out: r.apps[0].Addr()}
	r.backends.UseOutlierDetection(f)
	for end := time.Now().Add(soon); r.backends.States()[0].Members[0].Ejection != pool.EjectedByFleet && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	for range 10 {
		r.end(r.begin("view", "1", time.Second))
	}
	if n := r.apps[0].Received(); n != 0 {
		t.Errorf("%d RPCs at a member that is out", n)
	}
	f.mu.Lock()
	f.probe = f.out
	f.mu.Unlock()
	r.end(r.begin("buy", "2", time.Second)) // may not run twice: no probe
	r.end(r.begin("view", "3", time.Second))
	if n := r.apps[0].Received(); n != 1 {
		t.Errorf("%d probes, one was due", n)
	}
	r.apps[1].SetFault(standin.ServiceUnavailable)
	if e := r.end(r.begin("buy", "4", time.Second)); e.how != gate.Failed {
		t.Errorf("%+v", e)
	}
	for end := time.Now().Add(soon); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		busy := f.busy
		f.mu.Unlock()
		if busy == 3000 {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy != 3000 || len(f.saw) != 12 {
		t.Errorf("busy for %g ms, %d ends", f.busy, len(f.saw))
	}
}

// A member that does not respond is reported long before the RPC's deadline, and once.
func TestSilentMemberReportedSoon(t *testing.T) {
	r := start(t, 1)
	f := &fakeDetection{}
	r.backends.UseOutlierDetection(f)
	for i := range 20 { // so that the usual latency is known
		r.end(r.begin("view", fmt.Sprint(i), time.Second))
	}
	r.apps[0].SetFault(standin.HangAfterRead)
	began := time.Now()
	ends := r.begin("buy", "x", 3*time.Second) // may not run twice: one try, to the end
	bad := func() (n int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, how := range f.saw {
			if how == pool.Failed {
				n++
			}
		}
		return n
	}
	for bad() == 0 && time.Since(began) < 2*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	if took := time.Since(began); bad() != 1 || took > 2*time.Second {
		t.Errorf("%d told after %s", bad(), took)
	}
	r.end(ends)
	if n := bad(); n != 1 {
		t.Errorf("told %d times", n)
	}
}
