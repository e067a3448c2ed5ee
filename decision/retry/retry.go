// Package retry decides whether a failed attempt of an RPC is retried. It goes by how far the attempt got, whether the
// method is idempotent and what time is left, and by a retry budget over all RPCs of one destination, so that failure
// there is not answered with more load. The budget is a token bucket as in Finagle's RetryBudget: first attempts earn
// a fraction of a token, time earns a minimum rate, a retry takes one.
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

// Progress is how far an attempt got.
type Progress int

// The stages of an attempt, in their order.
const (
	// NotSent: nothing of the request left this machine.
	NotSent Progress = iota
	// Sent: part of the request did, too little for it to have any effect.
	Sent
	// MayHaveRun: the request may have had its effect.
	MayHaveRun
)

// String returns the stage as logs print it; out-of-range values print as the nearest stage.
func (p Progress) String() string {
	return [...]string{"not sent", "sent", "may have run"}[min(max(p, 0), MayHaveRun)]
}

// Error is why an attempt has no result.
type Error struct {
	Progress   Progress
	Reason     string
	NoCapacity bool    // there was no capacity, which may pass
	TimedOut   bool    // no response came in time: the other end may still be working on the request
	RetryAfter float64 // ms for which the other end asks to be left alone; 0 if it did not ask
}

// Error returns the reason and how far the attempt got.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s)", e.Reason, e.Progress) }

// Config is the operator's configuration of a policy.
type Config struct {
	RetryRatio   float64 // retries for each first attempt, in the long run
	MinPerSecond float64 // retries per second that are allowed beside the ratio, so that a quiet destination can retry at all
	MaxAttempts  int     // of one RPC, the first included
}

const (
	// floorBurst in ms is the time over which unused MinPerSecond accumulates: a failing member takes what is in flight
	// there within a second or two.
	floorBurst = 10e3
	// ratioBurst is the number of first attempts whose earnings accumulate, so that a burst of failures after a calm
	// time does not find the budget empty.
	ratioBurst = 100
	// baseBackoff in ms bounds the backoff before a third attempt, doubling from there: a few round trips and a short
	// queue.
	baseBackoff = 20.0
	// backoffDivisor bounds a backoff to this part, a tenth, of the time left: the time is for the work.
	backoffDivisor = 10
	// timeoutFactor times the expected latency is the least time that an attempt of an idempotent RPC gets: nine of ten
	// lognormal service times of the usual spread are within three times the mean.
	timeoutFactor = 4.0
	// timeoutDivisor gives the attempt a third of the time left if that is more, so that another one as long fits in.
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

// Counts are the decisions so far.
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

// Set replaces the configuration; the budget keeps its tokens as far as the new bound allows.
func (p *Policy) Set(config Config) {
	p.config = config
	p.maxTokens = math.Max(1, config.MinPerSecond*floorBurst/1000) + ratioBurst*config.RetryRatio
	p.tokens = math.Min(p.tokens, p.maxTokens)
}

func (p *Policy) refill(now float64) {
	if now > p.refilledAt {
		p.tokens = math.Min(p.maxTokens, p.tokens+(now-p.refilledAt)*p.config.MinPerSecond/1000)
		p.refilledAt = now
	}
}

// RecordFirstAttempt records the first attempt of an RPC, which earns RetryRatio of a retry.
func (p *Policy) RecordFirstAttempt(now float64) {
	p.refill(now)
	p.tokens = math.Min(p.maxTokens, p.tokens+p.config.RetryRatio)
	p.counts.FirstAttempts++
}

// FailedAttempt describes an attempt that failed.
type FailedAttempt struct {
	Progress        Progress
	Idempotent      bool    // the method may run twice
	Attempts        int     // so far, this one included
	TimeLeft        float64 // ms until the RPC is due
	ExpectedLatency float64 // ms that another attempt is expected to take
}

// Retry decides whether the RPC is attempted again, and after which backoff in ms. A retry takes a token.
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

// backoff returns the ms before the next attempt. The second one goes to another member at once. After that many RPCs
// have failed together, so they are spread at random over a time that doubles.
func (p *Policy) backoff(f FailedAttempt) float64 {
	if f.Attempts <= 1 {
		return 0
	}
	jittered := p.random.Float64() * baseBackoff * math.Exp2(float64(f.Attempts-2))
	return math.Min(f.TimeLeft/backoffDivisor, jittered)
}

// AttemptTimeout returns the ms that the attempt after f may take: all the time left if it is the last one, else a part
// that leaves time for another attempt.
func (p *Policy) AttemptTimeout(f FailedAttempt) float64 {
	if !f.Idempotent || f.Attempts+1 >= p.config.MaxAttempts || p.tokens < 1 {
		return f.TimeLeft
	}
	return math.Min(f.TimeLeft, math.Max(f.TimeLeft/timeoutDivisor, timeoutFactor*f.ExpectedLatency))
}

// Counts returns the decisions so far.
func (p *Policy) Counts() Counts { return p.counts }

// RetriesLeft returns the number of retries that the budget allows now.
func (p *Policy) RetriesLeft(now float64) float64 {
	p.refill(now)
	return p.tokens
}
