package gate

// VerdictKind is what a verdict asks the protocol to do.
type VerdictKind int

const (
	Run        VerdictKind = iota // run the RPC, report its end, and wait for the next verdict
	OK                            // final: answer with Result
	Rejected                      // final: it never ran
	Aborted                       // final: an error, with no word on effects
	CallerGone                    // final: its caller no longer waits, nothing is owed
)

// Verdict is what has been decided on an RPC.
type Verdict struct {
	Kind         VerdictKind
	Result       []byte  // OK
	Head         []byte  // OK: what a back put before its result, if anything; as it came
	RetryAfterMs float64 // PushedBack: ms that the caller should stay away
	NoRetry      bool    // PushedBack: the caller should not go elsewhere
	Reason       string  // Aborted
	Overdue      bool    // Aborted: as its answer was due
}

// Outcome is what became of a run.
type Outcome int

const (
	Failed            Outcome = iota // may have had its effect
	Succeeded                        //
	NotStarted                       // nothing ran
	NoCapacity                       // nothing ran: there was no room for it below, which may pass
	SucceededUncached                // succeeded, with a result that can't be kept for repeats
)

// RPC is what a protocol has read.
type RPC struct {
	ID               string // new with every try; "" if the protocol has none
	Method, Customer string
	Body             []byte
	Caller           uint16
	Subject          uint64  // 0 for none
	ArrivedMs        float64 // when it reached the machine, in Unix ms
	CostHintMs       float64 // expected work in ms, 0 for none
	QueuedKB         float64
	Retry            bool
	Token            string // the same in all tries of a tokened RPC, which also have the same body
}

// RunRequest is a run that a verdict asked for, as a back is told of it.
type RunRequest struct {
	ID, Method string
	Body       []byte
	DueMs      float64 // Unix ms by which its answer must have been given
	Caller     uint64  // tells callers apart, where a back serves some of them only
	Variables  string  // what the RPC came with beside its body, in a form that front and back agree on
}

// CallerHash is what tells an RPC's caller from others: its subject, or the RPC itself if it has none.
func CallerHash(r *RPC) uint64 {
	h := uint64(r.Caller)<<32 ^ r.Subject
	if r.Subject == 0 {
		for i := range len(r.ID) {
			h = (h ^ uint64(r.ID[i])) * 1099511628211
		}
	}
	return h
}

// Runner has the work of an RPC run and calls done once with what became of it, the head as in ReportHead.
type Runner func(w RunRequest, done func(how Outcome, spent float64, head, result []byte))
