// Package retry decides whether a failed attempt of an RPC is retried. The decision depends on how far the attempt got,
// whether the method is idempotent and how much time is left. In addition, a retry budget covers all RPCs to one
// destination, so that retries do not add load to a destination that fails. The budget is a token bucket as in Finagle's
// RetryBudget: a first attempt adds a fraction of a token, elapsed time adds tokens at a minimum rate, and a retry takes
// one token.
//
// The package is pure: no I/O, no clock (times are passed in as ms), and randomness comes from a seed. A Policy is not
// safe for concurrent use; its owner must serialise calls. It never allows a second attempt of an RPC that may have run
// and is not idempotent.
package retry

import (
	"fmt"
	"math"
	"math/rand"
)

// Progress tells how far an attempt got before it failed.
type Progress int

// The stages of an attempt, in their order.
const (
	// NotSent: nothing of the request left this machine.
	NotSent Progress = iota
	// Sent: part of the request left this machine, but too little of it to have any effect.
	Sent
	// MayHaveRun: the request may have had its effect.
	MayHaveRun
)

// String returns the stage as logs print it; out-of-range values print as the nearest stage.
func (p Progress) String() string {
	return [...]string{"not sent", "sent", "may have run"}[min(max(p, 0), MayHaveRun)]
}

// Error is the failure of an attempt.
type Error struct {
	Progress   Progress
	Reason     string
	NoCapacity bool    // there was no capacity, which may be temporary
	TimedOut   bool    // there was no response in time; the other end may still be processing the request
	RetryAfter float64 // ms that the other end asked to wait before a retry; 0 if it did not ask
}

// Error returns the reason and the progress of the attempt.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s)", e.Reason, e.Progress) }

// Config is the operator's configuration of a policy.
type Config struct {
	RetryRatio   float64 // retries per first attempt, in the long run
	MinPerSecond float64 // retries per second in addition to the ratio, so that a destination with little traffic can be retried at all
	MaxAttempts  int     // of one RPC, including the first
}

const (
	// minRateBurst in ms is the time over which unused MinPerSecond accumulates: all requests in flight at a member that
	// fails end within a second or two, and their retries come as one burst.
	minRateBurst = 10e3
	// ratioBurst is the number of first attempts over which unused RetryRatio accumulates, so that the budget is not
	// empty at a burst of failures after a quiet period.
	ratioBurst = 100
	// baseBackoff in ms is the upper bound of the backoff before a third attempt; the bound doubles for each further one.
	// It is long enough for a few round trips and a short queue.
	baseBackoff = 20.0
	// backoffDivisor bounds a backoff to a tenth of the time left, because that time is needed for the attempt itself.
	backoffDivisor = 10
	// timeoutFactor times the expected latency is the minimum timeout of an attempt of an idempotent RPC: nine of ten
	// lognormal service times of the usual spread are within three times the mean.
	timeoutFactor = 4.0
	// timeoutDivisor gives the attempt a third of the time left if that is longer, so that another attempt of the same
	// length still fits.
	timeoutDivisor = 3
)

// Policy is the retry budget of one destination.
type Policy struct {
	config     Config
	random     *rand.Rand
	tokens     float64
	maxTokens  float64
	refilledAt float64
	counts     Counts
}

// Counts holds the numbers of decisions since New.
type Counts struct {
	FirstAttempts     uint64
	Retries           uint64
	BudgetExhausted   uint64 // not retried: the budget is empty
	NotIdempotent     uint64 // not retried: the RPC may have run
	DeadlineTooClose  uint64 // not retried: too little time is left
	AttemptsExhausted uint64 // not retried: MaxAttempts were made
}

// New returns a policy with a full budget at now.
func New(config Config, seed uint64, now float64) *Policy {
	p := &Policy{random: rand.New(rand.NewSource(int64(seed))), refilledAt: now}
	p.Set(config)
	p.tokens = p.maxTokens
	return p
}

// Set replaces the configuration. The budget keeps its tokens up to its new maximum.
func (p *Policy) Set(config Config) {
	p.config = config
	p.maxTokens = math.Max(1, config.MinPerSecond*minRateBurst/1000) + ratioBurst*config.RetryRatio
	p.tokens = math.Min(p.tokens, p.maxTokens)
}

// refill adds the tokens that MinPerSecond has yielded since the last refill.
func (p *Policy) refill(now float64) {
	if now > p.refilledAt {
		p.tokens = math.Min(p.maxTokens, p.tokens+(now-p.refilledAt)*p.config.MinPerSecond/1000)
		p.refilledAt = now
	}
}

// RecordFirstAttempt records the first attempt of an RPC, which adds RetryRatio tokens to the budget.
func (p *Policy) RecordFirstAttempt(now float64) {
	p.refill(now)
	p.tokens = math.Min(p.maxTokens, p.tokens+p.config.RetryRatio)
	p.counts.FirstAttempts++
}

// FailedAttempt describes an attempt that failed.
type FailedAttempt struct {
	Progress        Progress
	Idempotent      bool    // the method may run twice
	Attempts        int     // made so far, including this one
	TimeLeft        float64 // ms until the RPC is due
	ExpectedLatency float64 // ms that another attempt is expected to take
}

// Retry decides whether the RPC is attempted again, and returns the backoff before that attempt in ms. A retry takes a
// token from the budget.
func (p *Policy) Retry(now float64, f FailedAttempt) (backoff float64, retry bool) {
	p.refill(now)
	switch {
	case f.Progress >= MayHaveRun && !f.Idempotent:
		p.counts.NotIdempotent++
	case f.Attempts >= p.config.MaxAttempts:
		p.counts.AttemptsExhausted++
	case f.TimeLeft <= f.ExpectedLatency:
		p.counts.DeadlineTooClose++
	case p.tokens < 1:
		p.counts.BudgetExhausted++
	default:
		p.tokens--
		p.counts.Retries++
		return p.backoff(f), true
	}
	return 0, false
}

// backoff returns the time in ms before the next attempt. The second attempt goes to another member without a backoff.
// If that fails as well, many RPCs have probably failed together, so further attempts are spread at random over a time
// that doubles with each attempt.
func (p *Policy) backoff(f FailedAttempt) float64 {
	if f.Attempts <= 1 {
		return 0
	}
	jittered := p.random.Float64() * baseBackoff * math.Exp2(float64(f.Attempts-2))
	return math.Min(f.TimeLeft/backoffDivisor, jittered)
}

// AttemptTimeout returns the timeout in ms of the attempt after f: all the time left if that is the last attempt, or else
// a part of it that leaves time for another attempt.
func (p *Policy) AttemptTimeout(f FailedAttempt) float64 {
	if !f.Idempotent || f.Attempts+1 >= p.config.MaxAttempts || p.tokens < 1 {
		return f.TimeLeft
	}
	return math.Min(f.TimeLeft, math.Max(f.TimeLeft/timeoutDivisor, timeoutFactor*f.ExpectedLatency))
}

// Counts returns the numbers of decisions since New.
func (p *Policy) Counts() Counts { return p.counts }

// RetriesLeft returns the number of retries that the budget allows now.
func (p *Policy) RetriesLeft(now float64) float64 {
	p.refill(now)
	return p.tokens
}
