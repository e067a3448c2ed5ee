package standin

// This file owns the checker of the rules: it hears of every run and every answer, and tells what was broken. It must
// never take a missing answer for a good one.

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// Rules checks that each RPC gets one answer, and that nothing tokened runs twice. A tokened RPC bears its token as
// its body, so that a run can be told by it.
type InvariantChecker struct {
	tokened map[string]bool

	mu     sync.Mutex
	runs   map[string][]time.Time // of tokened bodies
	sent   map[uint64]int         // answers by RPC
	broken []string
}

// NewInvariantChecker returns a checker that knows which methods are tokened.
func NewInvariantChecker(tokened ...string) *InvariantChecker {
	r := &InvariantChecker{tokened: map[string]bool{}, runs: map[string][]time.Time{}, sent: map[uint64]int{}}
	for _, m := range tokened {
		r.tokened[m] = true
	}
	return r
}

// RecordRun hears of a run.
func (r *InvariantChecker) RecordRun(method string, body []byte) {
	if !r.tokened[method] {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[string(body)] = append(r.runs[string(body)], time.Now())
}

// RunCount is how often a token has run.
func (r *InvariantChecker) RunCount(token string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[token])
}

// RunTimes are those of all runs of tokened methods, in their order.
func (r *InvariantChecker) RunTimes() (all []time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runs := range r.runs {
		all = append(all, runs...)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].Before(all[k]) })
	return all
}

// Sent hears that an RPC has been written.
func (r *InvariantChecker) RecordRequest(rpc uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[rpc] += 0
}

// RecordResponse hears of one whole answer.
func (r *InvariantChecker) RecordResponse(rpc uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[rpc]++
}

// RecordViolation notes a rule that was seen broken elsewhere.
func (r *InvariantChecker) RecordViolation(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, a...))
}

// Verdict of all that was heard.
type InvariantReport struct {
	RPCs, Unanswered, AnsweredTwice int
	DuplicateRuns                   int
	Violations                      []string
}

// Report tells how the rules stand, once all answers must have come.
func (r *InvariantChecker) Report() (v InvariantReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.sent {
		v.RPCs++
		switch {
		case n == 0:
			v.Unanswered++
		case n > 1:
			v.AnsweredTwice++
		}
	}
	for _, at := range r.runs {
		v.DuplicateRuns += len(at) - 1
	}
	v.Violations = append(v.Violations, r.broken...)
	sort.Strings(v.Violations)
	return v
}
