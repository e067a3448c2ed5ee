package valve

import (
	"errors"
	"fmt"
	"time"

	"sorrelvalve/internal/gate"
)

// The errors of Admit, to be matched with errors.Is.
var (
	ErrRejected   = errors.New("valve: rejected") // the RPC never ran; the error is a *RejectedError
	ErrAborted    = errors.New("valve: aborted")  // the RPC has no result; the error is an *AbortedError
	ErrInvalidRPC = errors.New("valve: no sense") // the method, customer or token is invalid; the text has the details
	ErrClosed     = errors.New("valve: closed")   // the Valve has been closed
)

// RejectedError reports that an RPC was rejected and never ran.
type RejectedError struct {
	RetryAfter time.Duration // how long the caller should wait before a retry; 0 if unspecified
	NoRetry    bool          // the caller should not retry on another server, because those are overloaded as well
}

// Error returns the text of the error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("valve: rejected, retry after %v", e.RetryAfter)
}

// Is makes errors.Is(err, ErrRejected) true.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// AbortedError reports that an RPC was aborted without a result. The RPC may have taken effect.
type AbortedError struct {
	Reason  string
	Overdue bool // the RPC was aborted because its answer was due
}

// Error returns the text of the error.
func (e *AbortedError) Error() string { return "valve: aborted: " + e.Reason }

// Is makes errors.Is(err, ErrAborted) true.
func (e *AbortedError) Is(target error) bool { return target == ErrAborted }

// verdictError returns the error for a verdict that rejects or aborts an RPC, or nil for any other verdict.
func verdictError(v gate.Verdict) error {
	switch v.Kind {
	case gate.Rejected:
		return &RejectedError{RetryAfter: duration(v.RetryAfterMs), NoRetry: v.NoRetry}
	case gate.Aborted:
		return &AbortedError{Reason: v.Reason, Overdue: v.Overdue}
	}
	return nil
}
