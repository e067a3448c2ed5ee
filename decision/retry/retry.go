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
type Reached int

const (
	NotSent    Reached = iota // nothing of it left this machine
	Sent                      // part of it did, and nothing can have come of that
	MayHaveRun                // it may have had its effect
)

func (r Reached) String() string {
	return [...]string{"not sent", "sent", "may have run"}[min(max(r, 0), MayHaveRun)]
}

// Error is why an attempt has no result.
type Error struct {
	Reached Reached
	Why     string
	Full    bool    // there was no room, which may pass
	Silent  bool    // no answer came in time: the other end may go on with it
	Away    float64 // ms for which the other end asks to be left alone; 0 for not told
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%s)", e.Why, e.Reached) }

// Rules are what an operator sets.
type Rules struct {
	Share float64 // further tries for each first try, in the long run
	Floor float64 // and as many a second at the least, so that a quiet pool can try again at all
	Most  int     // tries of one RPC, the first included
}

// burst is the time over which what was not used of the floor may be saved up: a member that fails takes what
// is on it within a second or two.
const burst = 10e3

// Policy is the budget over one place.
type Policy struct {
	rules  Rules
	chance *rand.Rand
	have   float64
	most   float64
	at     float64
	counts Counts
}

// Counts are what has been decided so far.
type Counts struct {
	First, Further           uint64
	Spent, Unsafe, Late, Out uint64 // not tried again: no budget, may have run, no time, all tries made
}

// New returns a policy with a full budget at now.
func New(r Rules, seed uint64, now float64) *Policy {
	p := &Policy{chance: rand.New(rand.NewSource(int64(seed))), at: now}
	p.Set(r)
	p.have = p.most
	return p
}

// Set takes new rules; what the budget holds stays as far as the new one allows.
func (p *Policy) Set(r Rules) {
	p.rules = r
	// A first try is worth its share whenever it comes; a hundred of them may be saved up beside the floor, so that
	// a burst of failures after a calm time does not find the budget empty.
	p.most = math.Max(1, r.Floor*burst/1000) + 100*r.Share
	p.have = math.Min(p.have, p.most)
}

func (p *Policy) pass(now float64) {
	if now > p.at {
		p.have = math.Min(p.most, p.have+(now-p.at)*p.rules.Floor/1000)
		p.at = now
	}
}

// First books a first try.
func (p *Policy) First(now float64) {
	p.pass(now)
	p.have = math.Min(p.most, p.have+p.rules.Share)
	p.counts.First++
}

// Failed is an attempt that failed.
type Failed struct {
	Reached    Reached
	Idempotent bool    // the method may run twice
	Tries      int     // so far, this one included
	Left       float64 // ms until the answer is due
	Need       float64 // ms that a further try is expected to take
}

// Again tells whether it is made again, and after how many ms. A further try is booked.
func (p *Policy) Again(now float64, f Failed) (after float64, again bool) {
	p.pass(now)
	switch {
	case f.Reached >= MayHaveRun && !f.Idempotent:
		p.counts.Unsafe++
	case f.Tries >= p.rules.Most:
		p.counts.Out++
	case f.Left <= f.Need:
		p.counts.Late++
	case p.have < 1:
		p.counts.Spent++
	default:
		p.have--
		p.counts.Further++
		// The second try goes elsewhere at once. After that many fail together, so they are spread by chance over
		// a time that doubles, within a tenth of what is left: the time is for the work.
		if f.Tries > 1 {
			after = math.Min(f.Left/10, p.chance.Float64()*firstPause*math.Exp2(float64(f.Tries-2)))
		}
		return after, true
	}
	return 0, false
}

// firstPause in ms is the longest one before a third try: a few round trips and a short queue.
const firstPause = 20.0

// Allowance is the part of the time left that an attempt may take if it can be made again: what then remains
// must do for another one as long. An attempt that can't be made again has all of it.
func (p *Policy) Allowance(f Failed) float64 {
	if !f.Idempotent || f.Tries+1 >= p.rules.Most || p.have < 1 {
		return f.Left
	}
	return math.Min(f.Left, math.Max(f.Left/3, patient*f.Need))
}

// patient times the expected latency is awaited before a try of an idempotent RPC is given up for another: nine of
// ten lognormal works of the usual spread end within three times the mean.
const patient = 4.0

// Counts returns what has been decided so far.
func (p *Policy) Counts() Counts { return p.counts }

// Left is the number of further tries that the budget holds.
func (p *Policy) Left(now float64) float64 { p.pass(now); return p.have }
