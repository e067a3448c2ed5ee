package pools

// This file connects pools to the state that they share with other servers of the fleet: budgets and outlier detection.

import (
	"sync"
	"time"

	"sorrelvalve/decision/evidence"
	"sorrelvalve/decision/pool"
	"sorrelvalve/decision/retry"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// Budgets are the budgets of pools that the servers of a fleet share: retries, and calls in flight. Its methods must be safe
// for concurrent use and must not block.
type Budgets interface {
	// AllowRetry takes one retry from the pool's budget. It returns false if the budget is used up.
	AllowRetry(pool string, weight float64) bool
	// AllowCall takes one call in flight from the pool's budget, for at most maxMs. It returns false if the budget is used up;
	// otherwise CompleteCall is called once.
	AllowCall(pool string, weight, maxMs float64) bool
	// CompleteCall ends a call that was allowed. failed means that a request was sent and has no result; timedOut means that
	// the pool may still be processing the call.
	CompleteCall(pool string, failed, timedOut bool)
}

// OutlierDetection decides for the whole fleet which members are ejected. Its methods must be safe for concurrent use and must
// not block.
type OutlierDetection interface {
	// RecordOutcome records the end of an attempt, or its failure if there is no response long after the usual latency.
	// latency is in ms.
	RecordOutcome(pool, member string, outcome pool.Outcome, latency float64)
	// RecordRetryAfter records that a member sent a Retry-After of retryAfterMs.
	RecordRetryAfter(pool, member string, retryAfterMs float64)
	// Decisions returns the decisions on the members of a pool, or false if the fleet does not decide about the pool.
	Decisions(pool string) (decisions []pool.FleetDecision, ok bool)
	// Admits reports whether a member that serves the given share of the callers accepts requests of a caller.
	Admits(member string, caller uint64, share float64) bool
	// TrialMember returns an ejected member to which one request may be sent as a trial, "" for none.
	TrialMember(pool string) (member string)
	// SetMembers replaces the pools and their members.
	SetMembers(pools map[string][]string, config func(pool string) pool.Config)
}

// sharedBudgets weights the calls of Budgets by method. A nil *sharedBudgets allows everything.
type sharedBudgets struct {
	budgets Budgets
	weight  func(method string) float64 // priority weight
}

// acquireCall takes one call in flight to a pool, which ends when complete is called.
func (s *sharedBudgets) acquireCall(poolName string, request *gate.RunRequest) (complete func(*retry.Error), err *retry.Error) {
	if s == nil {
		return func(*retry.Error) {}, nil
	}
	if !s.budgets.AllowCall(poolName, s.weight(request.Method), request.DueMs-nowMs()) {
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

// detector reports the results of attempts to the fleet's outlier detection.
type detector struct{ OutlierDetection }

// record reports the end of an attempt.
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

// maxTimerLateness is the delay of a timer, in ms, above which this process is assumed to have stalled.
const maxTimerLateness = 50.0

// watchSilence reports an attempt as failed if there is no response long after the pool's usual latency. stop ends the watch
// and returns whether the attempt was reported.
func (d *detector) watchSilence(poolName, addr string, usualLatency float64) (stop func() (reported bool)) {
	threshold := evidence.LateThreshold(usualLatency)
	if threshold == 0 {
		return func() bool { return false }
	}
	w := &silenceWatch{
		detector:  d,
		pool:      poolName,
		addr:      addr,
		threshold: threshold,
		began:     nowMs(),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(operator.Milliseconds(threshold), w.expired)
	return w.stop
}

// silenceWatch watches one attempt for a missing response.
type silenceWatch struct {
	detector   *detector
	pool, addr string
	threshold  float64 // time in ms after which the attempt is reported

	mu       sync.Mutex
	timer    *time.Timer
	began    float64 // Unix ms
	stopped  bool
	reported bool
}

// expired reports the attempt. If this process has stalled, the missing response is no evidence against the member, and
// expired starts the watch again.
func (w *silenceWatch) expired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := nowMs()
	if now-w.began > w.threshold+maxTimerLateness {
		w.began = now
		w.timer.Reset(operator.Milliseconds(w.threshold))
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
