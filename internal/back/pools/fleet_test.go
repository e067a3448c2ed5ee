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

// fakeBudgets are budgets that allow so much.
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
		if e := r.await(r.begin("view", "1", 2*time.Second)); e.how != gate.Failed {
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
	if e := r.await(r.begin("buy", "3", time.Second)); e.how != gate.NoCapacity {
		t.Errorf("all of the fleet's calls are in hand: %+v", e)
	}
	r.await(first)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls != 1 || l.ended != 5 || l.silent != 1 {
		t.Errorf("%+v", l)
	}
}

// fakeDetection is an outlier detection that records what is reported, and decides what it is set to.
type fakeDetection struct {
	mu           sync.Mutex
	outcomes     []pool.Outcome
	retryAfterMs float64
	ejected      string
	trial        string
}

func (f *fakeDetection) RecordOutcome(_, _ string, how pool.Outcome, _ float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, how)
}

func (f *fakeDetection) RecordRetryAfter(_, _ string, away float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryAfterMs = away
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
	p := f.trial
	f.trial = ""
	return p
}

func (f *fakeDetection) SetMembers(map[string][]string, func(string) pool.Config) {}

// A pool under the fleet's outlier detection: an ejected member gets one RPC where a trial is due, and nothing else; a 503
// with a Retry-After is reported as such, not as a failure.
func TestOutlierDetection(t *testing.T) {
	r := start(t, 2)
	f := &fakeDetection{ejected: r.apps[0].Addr()}
	r.backends.UseOutlierDetection(f)
	for end := time.Now().Add(soon); r.backends.States()[0].Members[0].Ejection != pool.EjectedByFleet && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	for range 10 {
		r.await(r.begin("view", "1", time.Second))
	}
	if n := r.apps[0].Received(); n != 0 {
		t.Errorf("%d RPCs at a member that is out", n)
	}
	f.mu.Lock()
	f.trial = f.ejected
	f.mu.Unlock()
	r.await(r.begin("buy", "2", time.Second)) // may not run twice: no trial
	r.await(r.begin("view", "3", time.Second))
	if n := r.apps[0].Received(); n != 1 {
		t.Errorf("%d probes, one was due", n)
	}
	r.apps[1].SetFault(standin.ServiceUnavailable)
	if e := r.await(r.begin("buy", "4", time.Second)); e.how != gate.Failed {
		t.Errorf("%+v", e)
	}
	for end := time.Now().Add(soon); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		busy := f.retryAfterMs
		f.mu.Unlock()
		if busy == 3000 {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retryAfterMs != 3000 || len(f.outcomes) != 12 {
		t.Errorf("busy for %g ms, %d ends", f.retryAfterMs, len(f.outcomes))
	}
}

// A member that does not respond is reported long before the RPC's deadline, and once.
func TestSilentMemberReportedSoon(t *testing.T) {
	r := start(t, 1)
	f := &fakeDetection{}
	r.backends.UseOutlierDetection(f)
	for i := range 20 { // so that the usual latency is known
		r.await(r.begin("view", fmt.Sprint(i), time.Second))
	}
	r.apps[0].SetFault(standin.HangAfterRead)
	began := time.Now()
	ends := r.begin("buy", "x", 3*time.Second) // may not run twice: one attempt, to the end
	bad := func() (n int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, how := range f.outcomes {
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
	r.await(ends)
	if n := bad(); n != 1 {
		t.Errorf("told %d times", n)
	}
}
