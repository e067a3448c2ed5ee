package control

// This file owns the types that cross the package's boundary: the start-up facts, the events and the actions. All times
// and durations are milliseconds and all memory sizes kilobytes. The numeric values of the enumerations are stored in
// traces and the start-up facts are stored there as JSON under the names in the tags: neither may change.

// Config is what an instance is made from.
type Config struct {
	Node       Node
	Fleet      Fleet
	Dependency Dependency `json:"Below"`
	Limits     Limits     `json:"Rules"`
	Methods    []Method   // at least one
	Customers  []Customer
}

// Idempotency says whether an RPC of a method may be executed more than once.
type Idempotency int

// The idempotency classes of methods.
const (
	Idempotent       Idempotency = iota // may be executed again
	IdempotencyKeyed                    // carries an idempotency token by which a duplicate is recognised
	NonIdempotent                       // must never be executed twice
)

// Method describes one of the methods that the server serves.
type Method struct {
	Name             string
	Idempotency      Idempotency `json:"Repeat"`
	LatencyObjective float64     `json:"LatencyTarget"` // ms from the client's first attempt in which the response is wanted
	ObjectiveStretch float64     `json:"Stretch"`       // the objective grows by this multiple of the RPC's cost hint
	Deadline         float64     // ms from the client's first attempt after which the client gives up, over all its attempts
	DedupWindow      float64     `json:"Window"` // IdempotencyKeyed: ms from the arrival here in which a duplicate may come
	Criticality      float64     // the weight of a response in time
	LateFraction     float64     `json:"LateShare"` // fraction of Criticality left to a response between objective and deadline
	DegradedFraction float64     `json:"SkipShare"` // fraction left to a response made without the dependency call; 0 forbids it
}

// Customer is one of the tenants on whose behalf RPCs come.
type Customer struct {
	Name  string
	Quota float64 // RPCs per second within its quota, over the whole fleet
}

// Preemption says what the server can do with a running RPC.
type Preemption int

// The ways of preempting a running RPC.
const (
	PreemptNone    Preemption = iota // a running RPC can't be stopped
	PreemptAbort                     // its progress is lost and it is queued again
	PreemptSuspend                   // it keeps its progress and its memory
)

// FeedbackKind says how callers interpret the load feedback that is attached to responses.
type FeedbackKind int

// The kinds of load feedback.
const (
	FeedbackNone   FeedbackKind = iota // callers read none
	FeedbackLevel                      // an admission level: callers send nothing that ranks below it
	FeedbackWindow                     // a concurrency window: how many RPCs each caller may have in flight here
	FeedbackShare                      // the probability with which a caller does not skip this server
)

// Node describes the machine and the process that the instance decides for.
type Node struct {
	Seed            uint64     // of all random draws
	WarmingUp       bool       `json:"Cold"`       // the process has just started and is not at full speed yet
	InitialSpeed    float64    `json:"StartSpeed"` // lower bound of the fraction of full speed at which a cold process starts
	WarmUpTime      float64    `json:"WarmBy"`     // ms after its start by which it is at full speed
	Cores           int        // CPU cores
	MemoryKB        float64    `json:"MemKB"`     // memory for RPCs and tokens
	RunMemoryFactor float64    `json:"RunFactor"` // memory of a running RPC over that of a queued one
	TokenKB         float64    `json:"KeyKB"`     // memory of one cached idempotency token
	Tick            float64    // shortest gap in ms between two moments at which events come
	Preemption      Preemption `json:"Stop"`
}

// Fleet describes the tier that the node belongs to and the callers of that tier.
type Fleet struct {
	Peers              int          // servers of this tier, this one included
	Callers            int          // callers of this tier
	MarksRetries       bool         `json:"Marks"`     // callers mark retries
	PropagatesDeadline bool         `json:"TellsTime"` // an RPC carries the time that its caller still waits
	Feedback           FeedbackKind `json:"Say"`       // how callers interpret load feedback
	FeedbackTTL        float64      `json:"Heeded"`    // ms for which a caller acts on the feedback that it received
	IdleTimeout        float64      `json:"Idle"`      // ms after which callers close idle connections; the upper bound of ours
	MaxRetryAfter      float64      // longest retry-after in ms that callers honour; 0 if none is passed on
	OverQuotaFraction  float64      `json:"OverShare"` // fraction of its criticality left to an RPC beyond its customer's quota
}

// Dependency describes the shared service that RPCs call while they run. It is zero if nothing is shared.
type Dependency struct {
	ConcurrencyShare float64 `json:"Share"` // mean number of concurrent calls that this node may have there
	Linger           float64 // ms for which an abandoned call still occupies the dependency
	AveragingWindow  float64 `json:"Over"` // ms over which the mean of ConcurrencyShare is taken
}

// Limits are the bounds that decisions must never exceed, whatever the load.
type Limits struct {
	DrainGrace      float64 // ms after a drain notice; what arrives later is not run
	MaxRunsPerCore  float64 `json:"Ceiling"` // runnable RPCs per core that a warm node survives
	DisplaceableFor float64 `json:"Settle"`  // ms in the queue after which an RPC is not rejected in favour of another; 0 for no such bound
}

// EventKind tells what happened.
type EventKind int

// The kinds of events.
const (
	Started        EventKind = iota // the instance has just been made
	Arrived                         // an RPC has been read and is queued
	CallerGone                      // its caller no longer waits; Outcome is OutcomeReset if its connection broke
	Completed                       // a run, or a join to another RPC's run, is over
	AwaitingCall                    // a running RPC has come to its dependency call
	CallCompleted                   // a dependency call is over
	DrainNotice                     // the node will be stopped after Remaining
	TimerFired                      // a timer came due
	DrainCancelled                  // the notice is withdrawn before its time
)

// Outcome tells how a run or a dependency call ended.
type Outcome int

// The outcomes of runs and calls. The values are those of the simulator's wire.
const (
	OutcomeError       Outcome = iota // failed; it may have had its effect
	OutcomeOK                         // succeeded
	OutcomeRejected                   // the call was rejected unexamined: it never ran
	OutcomeTimedOut                   // we gave up on the call: it may have had its effect
	OutcomeUnreachable                // the dependency was not reached: the call never ran
	OutcomeReset                      // the connection broke: it may have had its effect
	OutcomeCancelled                  // the run was preempted
	OutcomeNotStarted                 // there was nothing left to start
)

// QuotaStatus tells how an RPC stands to this server's lease of a quota that servers share.
type QuotaStatus int

// The states of an RPC with regard to a shared quota.
const (
	QuotaUnknown QuotaStatus = iota // no quota is shared: the instance goes by the traffic that it sees of the customer
	WithinQuota                     // within the leased capacity
	OverQuota                       // beyond it
)

// Event is one thing that happened. Only the fields of its kind are set.
type Event struct {
	Kind        EventKind
	RPC         uint32      // identifier of the RPC, never used again
	Method      int         // Arrived: index into the methods
	Customer    int         // Arrived: index into the customers
	Caller      uint16      // Arrived: number of the calling process
	Subject     uint64      // Arrived: affinity key, such as a user or an object; 0 for none
	DuplicateOf uint32      // Arrived: the RPC with a cached token that this one repeats; 0 for none
	Remaining   float64     // Arrived: ms that its caller still waits, 0 if it does not say; DrainNotice: ms until the stop
	Age         float64     // Arrived: ms since it reached the machine; DrainNotice: ms since the notice came
	CostHint    float64     // Arrived: expected work, in ms of a standard core; 0 for none
	QueuedKB    float64     // Arrived: its memory while queued
	Retry       bool        // Arrived: marked as a retry
	Quota       QuotaStatus // Arrived
	RetryAfter  float64     // Arrived, OverQuota: ms until an RPC of its customer may lie within the quota again
	Outcome     Outcome     // CallerGone, Completed, CallCompleted
	Elapsed     float64     // Completed, CallCompleted: ms since the action that began it
	Label       uint64      // TimerFired: that of its SetTimer
	Gauges      Gauges      // TimerFired
}

// Gauges are measurements of the node, taken when a timer comes due.
type Gauges struct {
	Stale          bool    // the other gauges are out of date and must not be used
	CPUUtilization float64 // fraction of the cores busy over the last half second
	Runnable       float64 // tasks that run or wait for a core now
}

// ActionKind tells what is to be done.
type ActionKind int

// The kinds of actions.
const (
	Run            ActionKind = iota // start a queued RPC, or resume a suspended one
	Reject                           // final answer: never ran, may be retried elsewhere unless NoRetry
	Abort                            // final answer: an error that promises nothing about effects
	Preempt                          // stop a running RPC, as Node.Preemption says
	Call                             // make the dependency call that the RPC awaits
	SkipCall                         // resume the RPC without its dependency call
	CacheToken                       // cache the RPC's idempotency token for Time
	EvictToken                       // evict that token
	Join                             // answer with the result of the RPC that it duplicates
	SetHealth                        // the answer to health checks from now on
	SetFeedback                      // the load feedback that is attached to responses from now on
	SetIdleTimeout                   // close connections that have been idle for Time
	SetTimer                         // raise TimerFired at Time
	LogEvent                         // write a line to the log
)

// Action is one thing to be done. Only the fields of its kind are set.
type Action struct {
	Kind     ActionKind
	RPC      uint32
	NoRetry  bool    // Reject: the caller should not retry elsewhere
	Healthy  bool    // SetHealth
	Time     float64 // ms. Reject: retry-after; Call: timeout; CacheToken, SetIdleTimeout: duration; SetTimer: clock value
	Feedback float64 // SetFeedback: a value of Fleet.Feedback's kind
	Label    uint64  // SetTimer: comes back with the event
	Message  string  // LogEvent: a constant event name, as component.event_name
}
