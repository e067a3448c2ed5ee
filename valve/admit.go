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
	Caller    uint64        // hash of the calling process; slow start admits a share of the callers, selected by this hash
	Subject   uint64        // hash of the affinity key, such as a user or an object; 0 for none
	Token     string        // idempotency token, the same in all attempts; for IdempotencyKeyed methods only
	Body      []byte        // compared to verify that two attempts are the same RPC; for IdempotencyKeyed methods only; not retained
	ArrivedAt time.Time     // when the RPC reached the machine; the current time if zero
	CostHint  time.Duration // expected run time on one core; 0 if unknown
	Memory    int64         // bytes that the RPC occupies while it is queued; 16 KiB if 0
	Retry     bool          // the caller marked the RPC as a retry
}

// defaultRPCMemory is the default of RPC.Memory.
const defaultRPCMemory = 16 << 10

// Admit requests admission of an RPC and blocks while the RPC is queued. It returns a Run, which the caller must complete,
// or, for a duplicate of an earlier attempt, a Run that already has the result (see Run.Cached). The error is a
// *RejectedError, an *AbortedError, ErrClosed, an error that wraps ErrInvalidRPC, or ctx.Err() if ctx ended first; with an
// error the RPC must not be run. Admit may be called by several goroutines at once.
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

// Result is the complete response to an RPC with an idempotency token. It is cached and returned to duplicates of the RPC.
type Result struct {
	Head []byte // status and header of the response, in a format that the program chooses
	Body []byte
}

// Outcome is the way in which a run ended.
type Outcome int

// The outcomes of runs. The values are those of gate.Outcome.
const (
	Failed     Outcome = iota // the RPC may have taken effect
	Succeeded                 // the RPC has taken effect
	NotStarted                // the RPC never ran
	NoCapacity                // the RPC never ran because of a temporary lack of capacity
)

// Run is an admitted RPC that the program must run, or a duplicate whose result is already known.
type Run struct {
	ticket       *gate.Ticket // nil for a duplicate
	cached       *Result      // nil unless the RPC is a duplicate
	finalHandler FinalHandler
}

// Cached returns the result of the attempt that this RPC duplicates, or false if the RPC is not a duplicate. A duplicate
// must not be run, and Complete does nothing for it.
func (r *Run) Cached() (Result, bool) {
	if r.cached == nil {
		return Result{}, false
	}
	return *r.cached, true
}

// Due returns the time by which the RPC must be answered, or the zero time for a duplicate.
func (r *Run) Due() time.Time {
	if r.ticket == nil {
		return time.Time{}
	}
	return time.UnixMicro(int64(r.ticket.DueMs() * 1000))
}

// FinalHandler is notified when a Valve ends an RPC before Run.Complete does. HandleFinal must neither block nor call the
// Valve. The error is a *RejectedError or an *AbortedError.
type FinalHandler interface{ HandleFinal(error) }

// NotifyFinal registers h to be called if the Valve ends the RPC before Complete does, because its answer is due or the
// Valve closes. The program must then answer with that error, and must still call Complete when the work is over: until
// then the run counts as in flight. NotifyFinal must be called at most once, and before Complete.
func (r *Run) NotifyFinal(h FinalHandler) {
	if r.ticket != nil {
		r.finalHandler = h
		r.ticket.NotifyFinal((*finalNotifier)(r))
	}
}

// finalNotifier adapts a Run to gate.FinalHandler.
type finalNotifier Run

// HandleFinal converts a final verdict to an error and passes it to the registered handler.
func (r *finalNotifier) HandleFinal(v gate.Verdict) {
	if err := verdictError(v); err != nil {
		r.finalHandler.HandleFinal(err)
	}
}

// Cancel reports that the caller no longer waits for the answer. Complete must still be called.
func (r *Run) Cancel() {
	if r.ticket != nil {
		r.ticket.Cancel()
	}
}

// Complete reports how the run ended. It returns false if the Valve has already ended the RPC: its caller has been answered
// and must not be answered again. The result of a successful run with an idempotency token is cached for duplicates and
// must not be modified afterwards. Only the first call has an effect.
func (r *Run) Complete(outcome Outcome, result Result) bool {
	return r.complete(gate.Outcome(outcome), result)
}

// CompleteUncached is Complete for a successful run whose result can't be cached. Duplicates of the RPC are aborted.
func (r *Run) CompleteUncached() bool { return r.complete(gate.SucceededUncached, Result{}) }

func (r *Run) complete(outcome gate.Outcome, result Result) bool {
	if r.ticket == nil {
		return false
	}
	return r.ticket.Complete(outcome, 0, result.Head, result.Body)
}
