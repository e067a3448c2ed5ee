package pools

// This file makes the attempts of one run and records their results. done is called exactly once.

import (
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/pool"
	"sorrelvalve/decision/retry"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// run is the run of one RPC on a pool.
type run struct {
	target     *target
	pool       *backend
	request    gate.RunRequest
	idempotent bool
	budgets    *sharedBudgets // nil without budgets of the fleet
	detector   *detector      // nil if this server detects outliers itself

	packet       []byte
	noBody       bool                // the response has no body
	last         retry.FailedAttempt // the last failed attempt
	failedAt     []int               // members at which attempts failed
	mayHaveRun   bool                // some attempt may have taken effect
	head, result []byte
}

// serve makes attempts until one succeeds or no further attempt is allowed.
func (r *run) serve(done func(gate.Outcome, float64, []byte, []byte)) {
	began := nowMs()
	r.packet, r.noBody = r.target.packet(r.request)
	r.last.Idempotent = r.idempotent
	r.pool.mu.Lock()
	r.pool.retries.RecordFirstAttempt(began)
	r.pool.mu.Unlock()
	for {
		member, err := r.attempt()
		if err == nil {
			done(gate.Succeeded, nowMs()-began, r.head, r.result)
			return
		}
		backoff, allowed := r.retry(member, err)
		if allowed {
			time.Sleep(backoff)
			continue
		}
		r.pool.log.WithFields(logrus.Fields{
			"rpc.id":   r.request.ID,
			"attempts": r.last.Attempts,
		}).WithError(err).Warn("pool.request_failed")
		if r.mayHaveRun {
			done(gate.Failed, nowMs()-began, nil, nil)
		} else {
			done(gate.NoCapacity, nowMs()-began, nil, nil)
		}
		return
	}
}

// attempt makes one attempt and returns the member that was chosen for it. An error with NoCapacity means that no attempt was
// made.
func (r *run) attempt() (member int, err *retry.Error) {
	complete, err := r.budgets.acquireCall(r.pool.name, &r.request)
	if err != nil {
		return 0, err
	}
	trial := ""
	if r.detector != nil && r.idempotent && r.last.Attempts == 0 { // a failed trial can be retried at another member
		trial = r.detector.TrialMember(r.pool.name)
	}
	member, err = r.pool.acquire(&r.request, r.failedAt, trial)
	if err != nil {
		complete(err)
		return 0, err
	}
	return member, r.attemptAt(member, complete)
}

// attemptAt makes one attempt at a member and records the result.
func (r *run) attemptAt(member int, complete func(*retry.Error)) *retry.Error {
	a, began := r.prepare(member)
	stopWatching := func() (reported bool) { return false }
	if r.detector != nil {
		stopWatching = r.detector.watchSilence(r.pool.name, a.addr, r.last.ExpectedLatency)
	}
	var err *retry.Error
	r.head, r.result, err = a.send(r.packet, r.request.Body)
	reported := stopWatching()
	latency := r.pool.complete(member, began, err)
	complete(err)
	if r.detector == nil {
		return err
	}
	if reported && err != nil && err.RetryAfter == 0 { // watchSilence has already recorded this failure
		return err
	}
	r.detector.record(r.pool.name, a.addr, err, latency)
	return err
}

// prepare returns the parameters of an attempt at a member, and the start time from which its latency is measured.
func (r *run) prepare(member int) (a attempt, began float64) {
	p := r.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	began = nowMs()
	r.last.TimeLeft = r.request.DueMs - began
	r.last.ExpectedLatency = p.balancer.MedianLatency()
	return attempt{
		addr:           p.balancer.Addr(member),
		connectTimeout: operator.Milliseconds(min(p.config.ConnectTimeoutMs, r.last.TimeLeft)),
		deadline:       time.Now().Add(operator.Milliseconds(p.retries.AttemptTimeout(r.last))),
		maxBodyBytes:   p.config.MaxAnswerBytes,
		noBody:         r.noBody,
	}, began
}

// complete records the end of an attempt at a member, and returns its latency in ms.
func (p *backend) complete(member int, began float64, err *retry.Error) (latency float64) {
	outcome := pool.Succeeded
	if err != nil {
		outcome = pool.Failed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := nowMs()
	latency = now - began
	p.deliver(p.balancer.Complete(now, member, outcome, latency))
	p.logEvents()
	return latency
}

// retry decides whether to make another attempt after a failed one, and returns the backoff before it.
func (r *run) retry(member int, err *retry.Error) (backoff time.Duration, allowed bool) {
	r.last.Attempts++
	r.last.Progress = err.Progress
	r.last.TimeLeft = r.request.DueMs - nowMs()
	r.mayHaveRun = r.mayHaveRun || err.Progress >= retry.MayHaveRun
	if err.NoCapacity { // no attempt was made
		return 0, false
	}
	r.failedAt = append(r.failedAt, member)
	p := r.pool
	p.mu.Lock()
	r.last.ExpectedLatency = p.balancer.MedianLatency()
	backoffMs, allowed := p.retries.Retry(nowMs(), r.last)
	p.mu.Unlock()
	if !allowed || !r.budgets.allowRetry(p.name, r.request.Method) {
		return 0, false
	}
	return operator.Milliseconds(backoffMs), true
}
