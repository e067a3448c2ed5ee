package experiment

import (
	"sync"

	"sorrelvalve/internal/gate"
)

// runDone is called at the end of a run with its outcome, the work in ms that it took, and its result.
type runDone = func(outcome gate.Outcome, spentMs float64, head, result []byte)

// plainQueue is the plain alternative to the gate: all RPCs wait in one queue of a bounded length for one of some
// workers; what does not fit is rejected. It has no deadlines and no order but that of arrival, and coalesces RPCs of one
// token.
type plainQueue struct {
	waiting chan queuedRun

	mu      sync.Mutex
	byToken map[string]*tokenRun
}

// queuedRun is an RPC that waits.
type queuedRun struct {
	request gate.RunRequest
	done    runDone
}

// tokenRun is the run of a token, and who else waits for its result.
type tokenRun struct {
	finished bool
	outcome  gate.Outcome
	result   []byte
	joined   []runDone
}

// newPlainQueue returns a queue of a length before some workers.
func newPlainQueue(run gate.Runner, workers, length int) *plainQueue {
	q := &plainQueue{waiting: make(chan queuedRun, length), byToken: map[string]*tokenRun{}}
	for range workers {
		go q.work(run)
	}
	return q
}

// work runs what waits, until the queue is closed and empty.
func (q *plainQueue) work(run gate.Runner) {
	for queued := range q.waiting {
		finished := make(chan struct{})
		run(queued.request, func(outcome gate.Outcome, spentMs float64, head, result []byte) {
			queued.done(outcome, spentMs, head, result)
			close(finished)
		})
		<-finished
	}
}

// close ends the workers once the queue is empty.
func (q *plainQueue) close() { close(q.waiting) }

// submit queues an RPC, or has it wait for the run of its token; token is "" for none. It returns false if the queue is
// full.
func (q *plainQueue) submit(request gate.RunRequest, token string, done runDone) bool {
	if token != "" {
		run, joined := q.join(token, done)
		if joined {
			return true
		}
		done = q.shareResult(run, done)
	}
	select {
	case q.waiting <- queuedRun{request, done}:
		return true
	default:
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.byToken, token)
		return false
	}
}

// join has an RPC wait for the run of its token, or answers it if that has finished. If there is none, it notes one,
// which the RPC is to start.
func (q *plainQueue) join(token string, done runDone) (run *tokenRun, joined bool) {
	q.mu.Lock()
	run = q.byToken[token]
	if run == nil {
		run = &tokenRun{}
		q.byToken[token] = run
		q.mu.Unlock()
		return run, false
	}
	if !run.finished {
		run.joined = append(run.joined, done)
		q.mu.Unlock()
		return run, true
	}
	q.mu.Unlock()
	done(run.outcome, 0, nil, run.result)
	return run, true
}

// shareResult wraps the callback of a token's run, so that all RPCs that joined the run get its result.
func (q *plainQueue) shareResult(run *tokenRun, first runDone) runDone {
	return func(outcome gate.Outcome, spentMs float64, head, result []byte) {
		q.mu.Lock()
		run.finished = true
		run.outcome = outcome
		run.result = result
		joined := run.joined
		q.mu.Unlock()
		first(outcome, spentMs, head, result)
		for _, done := range joined {
			done(outcome, spentMs, head, result)
		}
	}
}
