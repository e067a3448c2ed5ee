package pools

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"sorrelvalve/decision/pool"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
)

// fakeBudgets allow a fixed number of retries and concurrent calls.
type fakeBudgets struct {
	mu                        sync.Mutex
	retries, calls, completed int // retries and calls are the remaining ones
	timedOut                  int
}

func (b *fakeBudgets) AllowRetry(string, float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries--
	return b.retries >= 0
}

func (b *fakeBudgets) AllowCall(_ string, _, maxMs float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.calls == 0 || maxMs <= 0 {
		return false
	}
	b.calls--
	return true
}

func (b *fakeBudgets) CompleteCall(_ string, _, timedOut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	b.completed++
	if timedOut {
		b.timedOut++
	}
}

// TestSharedBudgets checks that the fleet's budgets limit retries and calls in flight in addition to the pool's own
// configuration, and that each call is completed once.
func TestSharedBudgets(t *testing.T) {
	r := start(t, 1, func(p *operator.Pool) {
		p.Retry = operator.Retry{Share: 1, Floor: 100, MaxAttempts: 3}
		p.MaxFailures = 0
	})
	budgets := &fakeBudgets{retries: 1, calls: 1}
	r.backends.UseBudgets(budgets, func(string) float64 { return 1 })
	r.apps[0].SetFault(standin.ServerError)
	for range 3 {
		if e := r.await(r.begin("view", "1", 2*time.Second)); e.outcome != gate.Failed {
			t.Errorf("RPC at a failing member: got %+v", e)
		}
	}
	if n := r.apps[0].Received(); n != 4 {
		t.Errorf("attempts of 3 RPCs with one retry allowed: got %d, want 4", n)
	}
	r.apps[0].SetFault(standin.HangAfterRead)
	first := r.begin("buy", "2", time.Second)
	for end := time.Now().Add(testTimeout); r.apps[0].Received() < 5 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if e := r.await(r.begin("buy", "3", time.Second)); e.outcome != gate.NoCapacity {
		t.Errorf("RPC with the fleet's budget of calls used up: got %+v", e)
	}
	r.await(first)
	budgets.mu.Lock()
	defer budgets.mu.Unlock()
	if budgets.calls != 1 || budgets.completed != 5 || budgets.timedOut != 1 {
		t.Errorf("budgets after all calls: got %+v", budgets)
	}
}

// fakeDetection is an OutlierDetection that records reports and returns preset decisions.
type fakeDetection struct {
	mu           sync.Mutex
	outcomes     []pool.Outcome
	retryAfterMs float64
	ejected      string
	trial        string
}

func (f *fakeDetection) RecordOutcome(_, _ string, outcome pool.Outcome, _ float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, outcome)
}

func (f *fakeDetection) RecordRetryAfter(_, _ string, retryAfterMs float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryAfterMs = retryAfterMs
}

func (f *fakeDetection) Decisions(string) ([]pool.FleetDecision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ejected == "" {
		return nil, true
	}
	return []pool.FleetDecision{{Addr: f.ejected, Ejected: true}}, true
}

func (f *fakeDetection) Admits(string, uint64, float64) bool { return true }

func (f *fakeDetection) TrialMember(string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	trial := f.trial
	f.trial = ""
	return trial
}

func (f *fakeDetection) SetMembers(map[string][]string, func(string) pool.Config) {}

// TestOutlierDetection checks a pool with the fleet's outlier detection: an ejected member gets one RPC if a trial is due, and no
// other RPC; a 503 with a Retry-After is reported as such and not as a failure.
func TestOutlierDetection(t *testing.T) {
	r := start(t, 2)
	f := &fakeDetection{ejected: r.apps[0].Addr()}
	r.backends.UseOutlierDetection(f)
	for end := time.Now().Add(testTimeout); r.backends.States()[0].Members[0].Ejection != pool.EjectedByFleet && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	for range 10 {
		r.await(r.begin("view", "1", time.Second))
	}
	if n := r.apps[0].Received(); n != 0 {
		t.Errorf("RPCs at an ejected member: got %d, want 0", n)
	}
	f.mu.Lock()
	f.trial = f.ejected
	f.mu.Unlock()
	r.await(r.begin("buy", "2", time.Second)) // not idempotent, so no trial
	r.await(r.begin("view", "3", time.Second))
	if n := r.apps[0].Received(); n != 1 {
		t.Errorf("trials: got %d, want 1", n)
	}
	r.apps[1].SetFault(standin.ServiceUnavailable)
	if e := r.await(r.begin("buy", "4", time.Second)); e.outcome != gate.Failed {
		t.Errorf("RPC at a busy member: got %+v", e)
	}
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		retryAfterMs := f.retryAfterMs
		f.mu.Unlock()
		if retryAfterMs == 3000 {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retryAfterMs != 3000 || len(f.outcomes) != 12 {
		t.Errorf("retry-after: got %g ms, want 3000; outcomes: got %d, want 12", f.retryAfterMs, len(f.outcomes))
	}
}

// TestSilentMemberReportedSoon checks that a member that does not respond is reported once, long before the RPC's deadline.
func TestSilentMemberReportedSoon(t *testing.T) {
	r := start(t, 1)
	f := &fakeDetection{}
	r.backends.UseOutlierDetection(f)
	for i := range 20 { // so that the pool knows the usual latency
		r.await(r.begin("view", fmt.Sprint(i), time.Second))
	}
	r.apps[0].SetFault(standin.HangAfterRead)
	began := time.Now()
	completions := r.begin("buy", "x", 3*time.Second) // not idempotent, so there is a single attempt until the deadline
	failures := func() (n int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, outcome := range f.outcomes {
			if outcome == pool.Failed {
				n++
			}
		}
		return n
	}
	for failures() == 0 && time.Since(began) < 2*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	if elapsed := time.Since(began); failures() != 1 || elapsed > 2*time.Second {
		t.Errorf("failures reported: got %d, want 1; after %s", failures(), elapsed)
	}
	r.await(completions)
	if n := failures(); n != 1 {
		t.Errorf("failures reported after the end of the attempt: got %d, want 1", n)
	}
}
