package pools

// This file owns what pools share with the other servers of a fleet: budgets and outlier detection.

import (
	"sync"
	"time"

	"sorrelvalve/decision/evidence"
	"sorrelvalve/decision/pool"
	"sorrelvalve/decision/retry"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// Budgets are the budgets of pools that the servers of a fleet share: retries, and calls in flight. Its methods may be
// called from any goroutine and must not block.
type Budgets interface {
	// AllowRetry takes one retry from the pool's budget, if there is one.
	AllowRetry(pool string, weight float64) bool
	// AllowCall takes one call in flight, for at most maxMs, if there is one. CompleteCall is then called once.
	AllowCall(pool string, weight, maxMs float64) bool
	// CompleteCall ends a call that was allowed. timedOut means that the pool may still be working on it.
	CompleteCall(pool string, failed, timedOut bool)
}

// OutlierDetection decides over the fleet which members are ejected. Its methods may be called from any goroutine and
// must not block.
type OutlierDetection interface {
	// RecordOutcome records the end of an attempt, or a failure of one that has no response long after the usual time.
	RecordOutcome(pool, member string, outcome pool.Outcome, latency float64)
	// RecordRetryAfter records that a member asked to be left alone for so many ms.
	RecordRetryAfter(pool, member string, retryAfterMs float64)
	// Decisions returns the decisions on a pool's members. It reports false if the fleet does not decide about the pool.
	Decisions(pool string) (decisions []pool.FleetDecision, ok bool)
	// Admits reports whether a member with a caller share takes a caller's requests.
	Admits(member string, caller uint64, share float64) bool
	// TrialMember returns an ejected member that one request may be sent to as a trial, "" for none.
	TrialMember(pool string) (member string)
	// SetMembers replaces the pools and their members.
	SetMembers(pools map[string][]string, config func(pool string) pool.Config)
}

// sharedBudgets are Budgets by method. A nil *sharedBudgets allows everything.
type sharedBudgets struct {
	budgets Budgets
	weight  func(method string) float64 // priority weight
}

// acquireCall takes one call in flight at a pool until complete is called.
func (s *sharedBudgets) acquireCall(poolName string, w *gate.RunRequest) (complete func(*retry.Error), err *retry.Error) {
	if s == nil {
		return func(*retry.Error) {}, nil
	}
	if !s.budgets.AllowCall(poolName, s.weight(w.Method), w.DueMs-nowMs()) {
		return nil, errFleetQuota
	}
	return func(err *retry.Error) {
		failed := err != nil && err.Progress > retry.NotSent
		timedOut := err != nil && err.TimedOut
		s.budgets.CompleteCall(poolName, failed, timedOut)
	}, nil
}

func (s *sharedBudgets) allowRetry(poolName, method string) bool {
	return s == nil || s.budgets.AllowRetry(poolName, s.weight(method))
}

// detector reports attempts to the fleet's outlier detection.
type detector struct{ OutlierDetection }

// record reports how an attempt ended.
func (d *detector) record(poolName, addr string, err *retry.Error, latency float64) {
	switch {
	case err == nil:
		d.RecordOutcome(poolName, addr, pool.Succeeded, latency)
	case err.RetryAfter > 0:
		d.RecordRetryAfter(poolName, addr, err.RetryAfter)
	default:
		d.RecordOutcome(poolName, addr, pool.Failed, latency)
	}
}

// maxTimerLateness in ms is how late a timer may be before its process is taken to have stalled meanwhile.
const maxTimerLateness = 50.0

// watchSilence reports an attempt as failed if it has no response long after the pool's usual latency. stop ends the
// watch and returns whether it has reported.
func (d *detector) watchSilence(poolName, addr string, usualLatency float64) (stop func() (reported bool)) {
	late := evidence.LateThreshold(usualLatency)
	if late == 0 {
		return func() bool { return false }
	}
	w := &silenceWatch{
		detector: d,
		pool:     poolName,
		addr:     addr,
		late:     late,
		began:    nowMs(),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(operator.Milliseconds(late), w.expired)
	return w.stop
}

// silenceWatch is the watch over one attempt.
type silenceWatch struct {
	detector   *detector
	pool, addr string
	late       float64 // ms after which the attempt is reported

	mu       sync.Mutex
	timer    *time.Timer
	began    float64
	stopped  bool
	reported bool
}

// expired reports the attempt, unless this process has not run meanwhile: then it says nothing about the member, and the
// watch starts once more.
func (w *silenceWatch) expired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := nowMs()
	if now-w.began > w.late+maxTimerLateness {
		w.began = now
		w.timer.Reset(operator.Milliseconds(w.late))
		return
	}
	w.reported = true
	w.detector.RecordOutcome(w.pool, w.addr, pool.Failed, now-w.began)
}

func (w *silenceWatch) stop() (reported bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.reported
}
