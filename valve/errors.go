package valve

import (
	"errors"
	"fmt"
	"time"

	"sorrelvalve/internal/gate"
)

// The errors of Admit, for errors.Is.
var (
	ErrRejected   = errors.New("valve: pushed back") // the RPC never ran; the error is a *RejectedError
	ErrAborted    = errors.New("valve: aborted")     // the RPC gets no result; the error is an *AbortedError
	ErrInvalidRPC = errors.New("valve: no sense")    // its method, customer or token is wrong, as the text says
	ErrClosed     = errors.New("valve: closed")      // the Valve has been closed
)

// RejectedError is the error for an RPC that was rejected: it never ran.
type RejectedError struct {
	RetryAfter time.Duration // for which the caller should stay away; 0 for no advice
	NoRetry    bool          // the caller should not retry elsewhere, as other servers are full too
}

// Error returns the text of the error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("valve: pushed back, return after %v", e.RetryAfter)
}

// Is makes errors.Is(err, ErrRejected) true.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

// AbortedError is the error for an RPC that gets no result. It may have had its effect.
type AbortedError struct {
	Reason  string
	Overdue bool // its answer was due
}

// Error returns the text of the error.
func (e *AbortedError) Error() string { return "valve: aborted: " + e.Reason }

// Is makes errors.Is(err, ErrAborted) true.
func (e *AbortedError) Is(target error) bool { return target == ErrAborted }

// verdictError returns the error that stands for a final verdict; nil for one that is none.
func verdictError(v gate.Verdict) error {
	switch v.Kind {
	case gate.Rejected:
		return &RejectedError{RetryAfter: duration(v.RetryAfterMs), NoRetry: v.NoRetry}
	case gate.Aborted:
		return &AbortedError{Reason: v.Reason, Overdue: v.Overdue}
	}
	return nil
}
