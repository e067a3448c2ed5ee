package pools

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is the time limit for events that should be immediate.
const testTimeout = 10 * time.Second

// fixture is a pool of application servers with short run times.
type fixture struct {
	*testing.T
	backends *Backends
	apps     []*standin.App
	rules    *standin.InvariantChecker
	file     *operator.File
	run      gate.Runner
}

func start(t *testing.T, members int, change ...func(*operator.Pool)) *fixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &fixture{T: t, rules: standin.NewInvariantChecker("/buy"), backends: New(1, log.WithField("node", "n0"))}
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
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); r.backends.Serve(ctx) }()
	t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

type completion struct {
	outcome gate.Outcome
	status  string
	result  string
}

func (r *fixture) begin(method, body string, due time.Duration) <-chan completion {
	completions := make(chan completion, 2)
	r.run(gate.RunRequest{ID: "1", Method: method, Body: []byte(body), DueMs: nowMs() + float64(due.Milliseconds())}, func(outcome gate.Outcome, _ float64, head, result []byte) {
		status, _, _ := strings.Cut(string(head), "\r\n")
		completions <- completion{outcome, status, string(result)}
	})
	return completions
}

func (r *fixture) await(completions <-chan completion) completion {
	r.Helper()
	select {
	case c := <-completions:
		return c
	case <-time.After(testTimeout):
		r.Fatal("run has no completion")
	}
	return completion{}
}

func (r *fixture) do(method, body string) completion {
	r.Helper()
	return r.await(r.begin(method, body, testTimeout))
}

func (r *fixture) received() (n int) {
	for _, a := range r.apps {
		n += a.Received()
	}
	return n
}
