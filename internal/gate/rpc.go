package gate

// VerdictKind says what a verdict asks the protocol to do.
type VerdictKind int

// The kinds of verdicts. All but Run are final.
const (
	Run        VerdictKind = iota // run the RPC, report the end of the run, and wait for the next verdict
	OK                            // answer with Result
	Rejected                      // it never ran
	Aborted                       // an error that promises nothing about effects
	CallerGone                    // the caller no longer waits: no answer is owed
)

// Verdict is the gate's decision on an RPC.
type Verdict struct {
	Kind         VerdictKind
	Result       []byte  // OK
	Head         []byte  // OK: what the backend put before its result, unchanged; nil for none
	RetryAfterMs float64 // Rejected: ms for which the caller should stay away; 0 for no advice
	NoRetry      bool    // Rejected: the caller should not retry elsewhere
	Reason       string  // Aborted: part of the answer to the client
	Overdue      bool    // Aborted: because its answer was due
}

// Outcome says how a run ended.
type Outcome int

// The outcomes of runs.
const (
	Failed            Outcome = iota // it may have had its effect
	Succeeded                        // it has had its effect
	NotStarted                       // it never ran
	NoCapacity                       // it never ran: the backend had no capacity for it, which may pass
	SucceededUncached                // it has had its effect, with a result that can't be cached for duplicates
)

// RPC is a request that a protocol has read.
type RPC struct {
	ID         string // unique for each attempt; "" if the protocol has none
	Method     string
	Customer   string // "" for none
	Body       []byte
	Caller     uint16  // number of the calling process
	Subject    uint64  // affinity key, such as a user or an object; 0 for none
	ArrivedMs  float64 // when it reached the machine, in Unix ms
	CostHintMs float64 // expected work; 0 for none
	QueuedKB   float64 // its memory while queued
	Retry      bool    // marked as a retry
	Token      string  // idempotency token, the same in all attempts, as is their body; "" for none
}

// RunRequest describes a run that a verdict asked for to a backend.
type RunRequest struct {
	ID        string
	Method    string
	Body      []byte
	DueMs     float64 // Unix ms by which the answer must have been given
	Caller    uint64  // hash that tells callers apart, for a backend that serves some of them only
	Variables string  // request variables beside the body, in a form that front and backend agree on
}

// The FNV-1a prime of 64 bits.
const fnvPrime = 1099511628211

// CallerHash returns a hash that tells an RPC's caller from others: by its subject, or by the RPC itself if it has none.
func CallerHash(r *RPC) uint64 {
	h := uint64(r.Caller)<<32 ^ r.Subject
	if r.Subject == 0 {
		for i := range len(r.ID) {
			h = (h ^ uint64(r.ID[i])) * fnvPrime
		}
	}
	return h
}

// Runner runs an RPC on a backend without blocking and calls done once with the outcome, the time that the run took in ms
// (0 for the time since it was asked for) and, as in Ticket.ReportWithHead, the head and the result.
type Runner func(r RunRequest, done func(outcome Outcome, elapsedMs float64, head, result []byte))
