package valve

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sorrelvalve/internal/gate"
)

// RPC describes a request to Admit.
type RPC struct {
	Method    string
	Customer  string
	Caller    uint64        // a hash of the calling process: slow start admits callers by it
	Subject   uint64        // a hash of the affinity key, such as a user or an object; 0 for none
	Token     string        // idempotency token, the same in all attempts; IdempotencyKeyed only
	Body      []byte        // by which two attempts are known to be the same; IdempotencyKeyed only. It is not retained
	ArrivedAt time.Time     // when it reached the machine; now if zero
	CostHint  time.Duration // expected work on one core; 0 if it is not known
	Memory    int64         // bytes that it takes while it is queued; 16 KiB if 0
	Retry     bool          // marked as a retry
}

// defaultRPCMemory is the default of RPC.Memory.
const defaultRPCMemory = 16 << 10

// Admit asks for the admission of an RPC and blocks while it is queued. It returns a Run that must be completed, or one
// that is a duplicate and has its result already (see Run.Cached). The error is a *RejectedError, an *AbortedError, ErrClosed,
// one that wraps ErrInvalidRPC, or ctx's own if that ended first; nothing runs then.
func (v *Valve) Admit(ctx context.Context, r RPC) (*Run, error) {
	now := v.clock()
	if r.ArrivedAt.IsZero() {
		r.ArrivedAt = now
	}
	ticket, err := v.gate.Submit(gate.RPC{
		Method:     r.Method,
		Customer:   r.Customer,
		Body:       r.Body,
		Caller:     uint16(r.Caller ^ r.Caller>>16 ^ r.Caller>>32 ^ r.Caller>>48),
		Subject:    r.Subject,
		ArrivedMs:  float64(r.ArrivedAt.UnixNano()) / 1e6,
		CostHintMs: milliseconds(r.CostHint),
		QueuedKB:   float64(withDefault(r.Memory, defaultRPCMemory)) / 1024,
		Retry:      r.Retry,
		Token:      r.Token,
	})
	if errors.Is(err, gate.ErrClosed) {
		return nil, ErrClosed
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidRPC, err)
	}
	switch verdict := ticket.Wait(ctx); verdict.Kind {
	case gate.Run:
		return &Run{ticket: ticket}, nil
	case gate.OK:
		return &Run{cached: &Result{Head: verdict.Head, Body: verdict.Result}}, nil
	case gate.CallerGone:
		return nil, ctx.Err()
	default:
		return nil, verdictError(verdict)
	}
}

// Result is a complete answer, cached for the duplicates of an RPC with an idempotency token.
type Result struct {
	Head []byte // what the program puts before the body, in a form of its own
	Body []byte
}

// Outcome says how a run ended.
type Outcome int

// The outcomes of runs. The values are those of gate.Outcome.
const (
	Failed     Outcome = iota // it may have had its effect
	Succeeded                 // it has had its effect
	NotStarted                // it never ran
	NoCapacity                // it never ran, as there was no capacity for it, which may pass
)

// Run is an admitted RPC: one that runs, or a duplicate that has its result.
type Run struct {
	ticket       *gate.Ticket // nil for a duplicate
	cached       *Result      // of a duplicate
	finalHandler FinalHandler
}

// Cached returns the result of the attempt that this one duplicates; false if it is none. With a result there is nothing to
// run, and Complete does nothing.
func (r *Run) Cached() (Result, bool) {
	if r.cached == nil {
		return Result{}, false
	}
	return *r.cached, true
}

// Due returns when the answer must have been given; the zero time for a duplicate.
func (r *Run) Due() time.Time {
	if r.ticket == nil {
		return time.Time{}
	}
	return time.UnixMicro(int64(r.ticket.DueMs() * 1000))
}

// FinalHandler receives an end that a Valve gave to an RPC. HandleFinal must neither block nor call the Valve. The error is a
// *RejectedError or an *AbortedError.
type FinalHandler interface{ HandleFinal(error) }

// NotifyFinal has h receive the end of the RPC if the Valve gives it one before Complete does, as its answer is due or the
// Valve closes. The program must then answer with that error, and still call Complete when the work is over, which counts
// until then. NotifyFinal must be called at most once, and before Complete.
func (r *Run) NotifyFinal(h FinalHandler) {
	if r.ticket != nil {
		r.finalHandler = h
		r.ticket.NotifyFinal((*finalNotifier)(r))
	}
}

// finalNotifier is a Run as a gate.FinalHandler.
type finalNotifier Run

// HandleFinal passes a final verdict on as an error.
func (r *finalNotifier) HandleFinal(v gate.Verdict) {
	if err := verdictError(v); err != nil {
		r.finalHandler.HandleFinal(err)
	}
}

// Cancel reports that the caller no longer waits. Complete must still be called.
func (r *Run) Cancel() {
	if r.ticket != nil {
		r.ticket.Cancel()
	}
}

// Complete reports how the run ended. It returns false if the Valve had given the RPC an end before: its caller has been
// answered and must not be again. The result of a run with an idempotency token that succeeded is cached for its duplicates
// and must not be changed afterwards. Only the first call counts.
func (r *Run) Complete(outcome Outcome, result Result) bool {
	return r.complete(gate.Outcome(outcome), result)
}

// CompleteUncached is Complete for a run that succeeded with a result that can't be cached: its duplicates are aborted.
func (r *Run) CompleteUncached() bool { return r.complete(gate.SucceededUncached, Result{}) }

func (r *Run) complete(outcome gate.Outcome, result Result) bool {
	if r.ticket == nil {
		return false
	}
	return r.ticket.Complete(outcome, 0, result.Head, result.Body)
}
