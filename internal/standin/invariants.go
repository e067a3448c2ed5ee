package standin

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// InvariantChecker checks that each RPC is answered once, and that no RPC with an idempotency token runs twice. An RPC with a
// token bears it in its body, by which runs of it are told. A missing answer counts as a violation, never as a success. The
// methods may be called concurrently.
type InvariantChecker struct {
	tokenMethods map[string]bool

	mu         sync.Mutex
	runs       map[string][]time.Time // by body, of methods with tokens
	answers    map[uint64]int         // by RPC
	violations []string
}

// NewInvariantChecker returns a checker that knows which methods take tokens.
func NewInvariantChecker(tokenMethods ...string) *InvariantChecker {
	c := &InvariantChecker{tokenMethods: map[string]bool{}, runs: map[string][]time.Time{}, answers: map[uint64]int{}}
	for _, method := range tokenMethods {
		c.tokenMethods[method] = true
	}
	return c
}

// RecordRun records a run.
func (c *InvariantChecker) RecordRun(method string, body []byte) {
	if !c.tokenMethods[method] {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[string(body)] = append(c.runs[string(body)], time.Now())
}

// RunCount is how often a body with a token has run.
func (c *InvariantChecker) RunCount(token string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs[token])
}

// RunTimes returns the times of all runs of methods with tokens, sorted.
func (c *InvariantChecker) RunTimes() (times []time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, runs := range c.runs {
		times = append(times, runs...)
	}
	sort.Slice(times, func(i, k int) bool { return times[i].Before(times[k]) })
	return times
}

// RecordRequest records that an RPC is sent.
func (c *InvariantChecker) RecordRequest(rpc uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[rpc] += 0 // makes an entry
}

// RecordResponse records one complete answer.
func (c *InvariantChecker) RecordResponse(rpc uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[rpc]++
}

// RecordViolation records a violation that was found elsewhere.
func (c *InvariantChecker) RecordViolation(format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, a...))
}

// InvariantReport sums up what a checker has recorded.
type InvariantReport struct {
	RPCs          int
	Unanswered    int
	AnsweredTwice int // or more often
	DuplicateRuns int
	Violations    []string // recorded ones, sorted
}

// Report sums up what was recorded. It is to be called once all answers must have come.
func (c *InvariantChecker) Report() (r InvariantReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.answers {
		r.RPCs++
		switch {
		case n == 0:
			r.Unanswered++
		case n > 1:
			r.AnsweredTwice++
		}
	}
	for _, times := range c.runs {
		r.DuplicateRuns += len(times) - 1
	}
	r.Violations = append(r.Violations, c.violations...)
	sort.Strings(r.Violations)
	return r
}
