package standin

import (
	"context"
	"time"
)

// Call is one RPC to be made.
type Call struct {
	Method    string
	Customer  string // "" for none
	Token     string // idempotency token; "" for none
	Body      []byte
	Caller    int // number of the calling router
	Subject   uint64
	HintMs    float64 // expected work; 0 for none
	Retry     bool
	ArrivedAt time.Time // when it reached the machine; zero means now
}

// Outcome is how a call ended.
type Outcome int

// The outcomes.
const (
	OK       Outcome = iota
	Rejected         // never ran
	Aborted          // failed, may have run
	Invalid          // the request was malformed
	Lost             // no complete answer came
)

// String is the outcome as reports print it.
func (o Outcome) String() string {
	return [...]string{"ok", "pushed back", "aborted", "senseless", "lost"}[o]
}

// Reply is the answer to a call, or why there is none.
type Reply struct {
	Outcome      Outcome
	Body         []byte
	Reason       string
	RetryAfterMs float64
	Latency      time.Duration
}

// lost is the reply to a call without a complete answer.
func lost(err error) Reply { return Reply{Outcome: Lost, Reason: err.Error()} }

// Caller makes calls. It may be used by many goroutines.
type Caller interface {
	// Call makes one call. Once ctx is done, it is withdrawn and lost.
	Call(ctx context.Context, c Call) Reply
	// Close closes the connections.
	Close()
}

// dialTimeout bounds the set-up of a connection to a server on loopback.
const dialTimeout = time.Second
