package gate

// VerdictKind tells what the protocol must do with an RPC.
type VerdictKind int

// The kinds of verdicts. All but Run are final.
const (
	Run        VerdictKind = iota // run the RPC, report the end of the run, and wait for the next verdict
	OK                            // answer with Result
	Rejected                      // answer that the RPC never ran
	Aborted                       // answer with an error that promises nothing about effects
	CallerGone                    // send no answer: the caller no longer waits
)

// Verdict is the gate's decision on an RPC.
type Verdict struct {
	Kind         VerdictKind
	Result       []byte  // OK
	Head         []byte  // OK: data that the backend sent before its result, unchanged; nil for none
	RetryAfterMs float64 // Rejected: time in ms for which the caller should not retry; 0 for no advice
	NoRetry      bool    // Rejected: the caller should not retry elsewhere
	Reason       string  // Aborted: part of the answer to the client
	Overdue      bool    // Aborted: because the answer was due
}

// Outcome tells how a run ended.
type Outcome int

// The outcomes of runs.
const (
	Failed            Outcome = iota // the RPC may have had its effect
	Succeeded                        // the RPC has had its effect
	NotStarted                       // the RPC never ran
	NoCapacity                       // the RPC never ran: the backend had no capacity, which may be temporary
	SucceededUncached                // the RPC has had its effect, but its result can't be cached for duplicates
)

// RPC is a request that a protocol front has read.
type RPC struct {
	ID         string // unique for each attempt; "" if the protocol has none
	Method     string
	Customer   string // "" for none
	Body       []byte
	Caller     uint16  // number of the calling process
	Subject    uint64  // affinity key, such as a user or an object; 0 for none
	ArrivedMs  float64 // time at which it reached the machine, in Unix ms
	CostHintMs float64 // expected cost in ms; 0 for none
	QueuedKB   float64 // memory that it takes while queued
	Retry      bool    // marked as a retry
	Token      string  // idempotency token; "" for none. All attempts have the same token and body
}

// RunRequest describes a requested run to the backend.
type RunRequest struct {
	ID        string
	Method    string
	Body      []byte
	DueMs     float64 // time by which the answer must have been given, in Unix ms
	Caller    uint64  // hash of the caller, for backends that serve only some callers
	Variables string  // request variables in addition to the body, in an encoding that front and backend share
}

// fnvPrime is the 64-bit FNV-1a prime.
const fnvPrime = 1099511628211

// CallerHash returns a hash that identifies an RPC's caller by the calling process and the subject, or by the RPC's ID if
// there is no subject.
func CallerHash(r *RPC) uint64 {
	h := uint64(r.Caller)<<32 ^ r.Subject
	if r.Subject == 0 {
		for i := range len(r.ID) {
			h = (h ^ uint64(r.ID[i])) * fnvPrime
		}
	}
	return h
}

// Runner runs an RPC on a backend without blocking. It calls done once with the outcome, the duration of the run in ms (0
// stands for the time since the run was requested) and the head and result as for Ticket.ReportWithHead.
type Runner func(r RunRequest, done func(outcome Outcome, elapsedMs float64, head, result []byte))
