// Package retry chooses whether an attempt that failed is made again. It knows how far the attempt came, whether the
// method may run twice and what time is left, and holds a budget over all that is tried in one place, so that failure
// below is not answered with more load. It does no I/O and has no clock; an instance must be guarded by its owner.
// It must never allow a second attempt of what may have run and may not run twice.
package retry

import (
	"fmt"
	"math"
	"math/rand"
)

// Reached is how far an attempt came.
type Progress int

const (
	NotSent    Progress = iota // nothing of it left this machine
	Sent                       // part of it did, and nothing can have come of that
	MayHaveRun                 // it may have had its effect
)

func (r Progress) String() string {
	return [...]string{"not sent", "sent", "may have run"}[min(max(r, 0), MayHaveRun)]
}

// Error is why an attempt has no result.
type Error struct {
	Progress   Progress
	Reason     string
	NoCapacity bool    // there was no room, which may pass
	TimedOut   bool    // no answer came in time: the other end may go on with it
	RetryAfter float64 // ms for which the other end asks to be left alone; 0 for not told
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%s)", e.Reason, e.Progress) }

// Rules are what an operator sets.
type Config struct {
	RetryRatio   float64 // further tries for each first try, in the long run
	MinPerSecond float64 // and as many a second at the least, so that a quiet pool can try again at all
	MaxAttempts  int     // tries of one RPC, the first included
}

// burst is the time over which what was not used of the floor may be saved up: a member that fails takes what
// is on it within a second or two.
const floorBurst = 10e3

// Policy is the budget over one place.
type Policy struct {
	config     Config
	random     *rand.Rand
	tokens     float64
	maxTokens  float64
	refilledAt float64
	counts     Counts
}

// Counts are what has been decided so far.
type Counts struct {
	FirstAttempts, Retries                                              uint64
	BudgetExhausted, NotIdempotent, DeadlineTooClose, AttemptsExhausted uint64 // not tried again: no budget, may have run, no time, all tries made
}

// New returns a policy with a full budget at now.
func New(r Config, seed uint64, now float64) *Policy {
	p := &Policy{random: rand.New(rand.NewSource(int64(seed))), refilledAt: now}
	p.Set(r)
	p.tokens = p.maxTokens
	return p
}

// Set takes new rules; what the budget holds stays as far as the new one allows.
func (p *Policy) Set(r Config) {
	p.config = r
	// A first try is worth its share whenever it comes; a hundred of them may be saved up beside the floor, so that
	// a burst of failures after a calm time does not find the budget empty.
	p.maxTokens = math.Max(1, r.MinPerSecond*floorBurst/1000) + 100*r.RetryRatio
	p.tokens = math.Min(p.tokens, p.maxTokens)
}

func (p *Policy) refill(now float64) {
	if now > p.refilledAt {
		p.tokens = math.Min(p.maxTokens, p.tokens+(now-p.refilledAt)*p.config.MinPerSecond/1000)
		p.refilledAt = now
	}
}

// First books a first try.
func (p *Policy) RecordFirstAttempt(now float64) {
	p.refill(now)
	p.tokens = math.Min(p.maxTokens, p.tokens+p.config.RetryRatio)
	p.counts.FirstAttempts++
}

// Failed is an attempt that failed.
type FailedAttempt struct {
	Progress        Progress
	Idempotent      bool    // the method may run twice
	Attempts        int     // so far, this one included
	TimeLeft        float64 // ms until the answer is due
	ExpectedLatency float64 // ms that a further try is expected to take
}

// Again tells whether it is made again, and after how many ms. A further try is booked.
func (p *Policy) Retry(now float64, f FailedAttempt) (after float64, again bool) {
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
		// The second try goes elsewhere at once. After that many fail together, so they are spread by chance over
		// a time that doubles, within a tenth of what is left: the time is for the work.
		if f.Attempts > 1 {
			after = math.Min(f.TimeLeft/10, p.random.Float64()*baseBackoff*math.Exp2(float64(f.Attempts-2)))
		}
		return after, true
	}
	return 0, false
}

// firstPause in ms is the longest one before a third try: a few round trips and a short queue.
const baseBackoff = 20.0

// Allowance is the part of the time left that an attempt may take if it can be made again: what then remains
// must do for another one as long. An attempt that can't be made again has all of it.
func (p *Policy) AttemptTimeout(f FailedAttempt) float64 {
	if !f.Idempotent || f.Attempts+1 >= p.config.MaxAttempts || p.tokens < 1 {
		return f.TimeLeft
	}
	return math.Min(f.TimeLeft, math.Max(f.TimeLeft/3, timeoutFactor*f.ExpectedLatency))
}

// patient times the expected latency is awaited before a try of an idempotent RPC is given up for another: nine of
// ten lognormal works of the usual spread end within three times the mean.
const timeoutFactor = 4.0

// Counts returns what has been decided so far.
func (p *Policy) Counts() Counts { return p.counts }

// Left is the number of further tries that the budget holds.
func (p *Policy) RetriesLeft(now float64) float64 { p.refill(now); return p.tokens }
