package control

// This file declares the types of the package's API: the configuration, the events and the actions. All times and
// durations are in milliseconds and all memory sizes in kilobytes. Traces store the numeric values of the enumerations,
// and the configuration as JSON under the names in the tags, so neither may change.

// Config is the configuration of a Controller.
type Config struct {
	Node       Node
	Fleet      Fleet
	Dependency Dependency `json:"Below"`
	Limits     Limits     `json:"Rules"`
	Methods    []Method   // at least one
	Customers  []Customer
}

// Idempotency specifies whether an RPC of a method may be executed more than once.
type Idempotency int

// The idempotency classes of methods.
const (
	Idempotent       Idempotency = iota // may be executed more than once
	IdempotencyKeyed                    // carries an idempotency token that identifies duplicates
	NonIdempotent                       // must not be executed more than once
)

// Method describes a method that the server serves.
type Method struct {
	Name             string
	Idempotency      Idempotency `json:"Repeat"`
	LatencyObjective float64     `json:"LatencyTarget"` // ms from the client's first attempt within which the response is wanted
	ObjectiveStretch float64     `json:"Stretch"`       // multiple of the RPC's cost hint that is added to the objective
	Deadline         float64     // ms from the client's first attempt until the client gives up, over all its attempts
	DedupWindow      float64     `json:"Window"` // IdempotencyKeyed: ms from the arrival here in which duplicates may arrive
	Criticality      float64     // weight of a response that meets the objective
	LateFraction     float64     `json:"LateShare"` // fraction of Criticality kept between objective and deadline
	DegradedFraction float64     `json:"SkipShare"` // fraction kept without the dependency call; 0 forbids skipping it
}

// Customer is a tenant on whose behalf callers send RPCs.
type Customer struct {
	Name  string
	Quota float64 // RPCs per second over the whole fleet
}

// Preemption specifies how the server can preempt a running RPC.
type Preemption int

// The ways of preempting a running RPC.
const (
	PreemptNone    Preemption = iota // a running RPC cannot be stopped
	PreemptAbort                     // the RPC loses its progress and is queued again
	PreemptSuspend                   // the RPC keeps its progress and its memory
)

// FeedbackKind specifies how callers interpret the load feedback that is attached to responses.
type FeedbackKind int

// The kinds of load feedback.
const (
	FeedbackNone   FeedbackKind = iota // callers ignore load feedback
	FeedbackLevel                      // an admission level: callers do not send RPCs that rank below it
	FeedbackWindow                     // a concurrency window: the number of RPCs that each caller may have in flight here
	FeedbackShare                      // the probability that a caller uses this server when it selects one
)

// Node describes the machine and the server process.
type Node struct {
	Seed            uint64     // seed of all random numbers
	WarmingUp       bool       `json:"Cold"`       // the process has just started and has not reached full speed
	InitialSpeed    float64    `json:"StartSpeed"` // fraction of full speed at the start of a cold process; a lower bound
	WarmUpTime      float64    `json:"WarmBy"`     // ms after the start by which the process is at full speed
	Cores           int        // CPU cores
	MemoryKB        float64    `json:"MemKB"`     // memory available to RPCs and tokens
	RunMemoryFactor float64    `json:"RunFactor"` // ratio of the memory of a running RPC to that of a queued one
	TokenKB         float64    `json:"KeyKB"`     // memory of one cached idempotency token
	Tick            float64    // shortest time in ms between two batches of events
	Preemption      Preemption `json:"Stop"`
}

// Fleet describes the tier that the node belongs to and the callers of that tier.
type Fleet struct {
	Peers              int          // number of servers of this tier, including this one
	Callers            int          // number of callers of this tier
	MarksRetries       bool         `json:"Marks"`     // callers mark retries
	PropagatesDeadline bool         `json:"TellsTime"` // an RPC carries the time left until its caller's deadline
	Feedback           FeedbackKind `json:"Say"`       // how callers interpret load feedback
	FeedbackTTL        float64      `json:"Heeded"`    // ms during which a caller acts on feedback after receiving it
	IdleTimeout        float64      `json:"Idle"`      // ms after which callers close idle connections; maximum of our timeout
	MaxRetryAfter      float64      // longest retry-after in ms that callers honour; 0 if retry-after is not sent
	OverQuotaFraction  float64      `json:"OverShare"` // fraction of the criticality that an RPC over quota keeps
}

// Dependency describes the shared service that RPCs call while they run. It is zero if there is no shared service.
type Dependency struct {
	ConcurrencyShare float64 `json:"Share"` // limit of this node's mean number of concurrent calls
	Linger           float64 // ms during which an abandoned call still occupies the dependency
	AveragingWindow  float64 `json:"Over"` // ms over which the mean for ConcurrencyShare is taken
}

// Limits are the bounds that decisions never exceed at any load.
type Limits struct {
	DrainGrace      float64 // ms after a drain notice during which arrivals are still run
	MaxRunsPerCore  float64 `json:"Ceiling"` // number of runnable RPCs per core that a warm node survives
	DisplaceableFor float64 `json:"Settle"`  // ms in the queue after which an RPC is not displaced; 0 for no limit
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	Started        EventKind = iota // the Controller has just been created
	Arrived                         // an RPC has been read
	CallerGone                      // the RPC's caller has stopped waiting; Outcome is OutcomeReset if its connection broke
	Completed                       // a run, or a join to another RPC's run, has ended
	AwaitingCall                    // a running RPC has reached its dependency call
	CallCompleted                   // a dependency call has ended
	DrainNotice                     // the node will be stopped after Remaining
	TimerFired                      // a timer has expired
	DrainCancelled                  // the drain notice has been withdrawn before the stop
)

// Outcome is the result of a run or a dependency call.
type Outcome int

// The outcomes of runs and calls. The values equal those of the simulator's protocol.
const (
	OutcomeError       Outcome = iota // failed; it may have taken effect
	OutcomeOK                         // succeeded
	OutcomeRejected                   // the call was rejected without being examined, so it did not run
	OutcomeTimedOut                   // the call's timeout expired; it may have taken effect
	OutcomeUnreachable                // the dependency could not be reached, so the call did not run
	OutcomeReset                      // the connection broke; the call may have taken effect
	OutcomeCancelled                  // the run was preempted
	OutcomeNotStarted                 // there was no RPC left to start
)

// QuotaStatus is the status of an RPC with regard to this server's lease of a quota that servers share.
type QuotaStatus int

// The values of QuotaStatus.
const (
	QuotaUnknown QuotaStatus = iota // no shared quota: the Controller measures the customer's traffic
	WithinQuota                     // within the leased rate
	OverQuota                       // above the leased rate
)

// Event is an input of the Controller. Only the fields of its kind are set.
type Event struct {
	Kind        EventKind
	RPC         uint32      // unique identifier of the RPC; it is never reused
	Method      int         // Arrived: index into the methods
	Customer    int         // Arrived: index into the customers
	Caller      uint16      // Arrived: number of the calling process
	Subject     uint64      // Arrived: affinity key, such as a user or an object; 0 for none
	DuplicateOf uint32      // Arrived: the RPC with a cached token that this one duplicates; 0 for none
	Remaining   float64     // Arrived: ms until the caller's deadline, 0 if not propagated; DrainNotice: ms until the stop
	Age         float64     // Arrived: ms since the RPC reached the machine; DrainNotice: ms since the notice was received
	CostHint    float64     // Arrived: expected CPU time in ms of a standard core; 0 for none
	QueuedKB    float64     // Arrived: memory of the RPC while it is queued
	Retry       bool        // Arrived: marked as a retry
	Quota       QuotaStatus // Arrived
	RetryAfter  float64     // Arrived, OverQuota: ms until an RPC of its customer may be within the quota again
	Outcome     Outcome     // CallerGone, Completed, CallCompleted
	Elapsed     float64     // Completed, CallCompleted: ms since the action that started the run or the call
	Label       uint64      // TimerFired: the Label of its SetTimer
	Gauges      Gauges      // TimerFired
}

// Gauges are measurements of the node, taken when a timer fires.
type Gauges struct {
	Stale          bool    // the other gauges are out of date and must not be used
	CPUUtilization float64 // fraction of the cores that were busy over the last half second
	Runnable       float64 // number of tasks that run or wait for a core now
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Run            ActionKind = iota // start a queued RPC, or resume a suspended one
	Reject                           // final answer: the RPC did not run; it may be retried elsewhere unless NoRetry is set
	Abort                            // final answer: an error; the RPC may or may not have taken effect
	Preempt                          // stop a running RPC as specified by Node.Preemption
	Call                             // make the dependency call that the RPC is waiting for
	SkipCall                         // resume the RPC without its dependency call
	CacheToken                       // cache the RPC's idempotency token for Time
	EvictToken                       // evict the RPC's idempotency token
	Join                             // answer the RPC with the result of the RPC that it duplicates
	SetHealth                        // set the answer to health checks
	SetFeedback                      // set the load feedback that is attached to responses
	SetIdleTimeout                   // close connections that have been idle for Time
	SetTimer                         // raise TimerFired at Time
	LogEvent                         // write a log line
)

// Action is an output of the Controller, to be performed by the server. Only the fields of its kind are set.
type Action struct {
	Kind     ActionKind
	RPC      uint32
	NoRetry  bool    // Reject: the caller should not retry elsewhere
	Healthy  bool    // SetHealth
	Time     float64 // ms. Reject: retry-after; Call: timeout; CacheToken, SetIdleTimeout: duration; SetTimer: clock value
	Feedback float64 // SetFeedback: a value of the kind Fleet.Feedback
	Label    uint64  // SetTimer: returned in the TimerFired event
	Message  string  // LogEvent: a constant event name, as component.event_name
}
