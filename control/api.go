package control

// Repeat says whether an RPC of a method may run again.
type Repeat int

const (
	Idempotent    Repeat = iota // may run again
	Tokened                     // carries a mark by which a repeat is known
	NonIdempotent               // must never run twice
)

// Method is one of the methods the server answers. Times are milliseconds.
type Method struct {
	Name          string
	Repeat        Repeat
	LatencyTarget float64 // the answer is wanted within this, from the client's first try
	Stretch       float64 // the latency target grows by this multiple of the RPC's own work
	Deadline      float64 // the client gives up after this, over all its tries
	Window        float64 // tokened: a repeat may come this long after the arrival here
	Criticality   float64
	LateShare     float64 // what an answer between latency target and deadline keeps
	SkipShare     float64 // what an answer made without its call keeps; 0 forbids the skip
}

// Customer is one of those on whose behalf RPCs come.
type Customer struct {
	Name  string
	Quota float64 // RPCs a second within its share, over the whole fleet
}

// Stop says what can be done with running work.
type Stop int

const (
	StopNone  Stop = iota // running work can't be stopped
	StopAbort             // its progress is lost and the RPC is held again
	StopPause             // it keeps its progress and its memory
)

// Say is the kind of value that callers read from answers.
type Say int

const (
	SayNone   Say = iota
	SayLevel      // callers send nothing ranked below it
	SayWindow     // the number of RPCs each caller may have out here
	SayShare      // the chance that a caller does not pass this server by
)

// Node is the machine and process that the instance decides for.
type Node struct {
	Seed       uint64
	Cold       bool    // just started, not yet at its full speed
	StartSpeed float64 // a cold one begins at no less than this share of its speed
	WarmBy     float64 // and is at its full speed this long after its start
	Cores      int
	MemKB      float64
	RunFactor  float64 // memory of a running RPC over that of a held one
	KeyKB      float64 // memory of a remembered token
	Tick       float64 // shortest gap between two moments at which events come
	Stop       Stop
}

// Fleet is what the node is told of its neighbours and of those who call it.
type Fleet struct {
	Peers         int     // servers of this tier, this one included
	Callers       int     // callers of this tier
	Marks         bool    // further tries are marked
	TellsTime     bool    // an RPC says how long its caller still waits
	Say           Say     // how callers read the value that goes out with answers
	Heeded        float64 // a caller acts for this long on what it was told
	Idle          float64 // callers close connections idle for this long
	MaxRetryAfter float64 // longest advice to stay away that is honoured; 0 when none is passed on
	OverShare     float64 // what an RPC beyond its customer's share keeps of its criticality
}

// Below is the layer that RPCs call while they run, if the whole fleet shares it; else all is zero.
type Below struct {
	Share  float64 // mean number of calls in hand that this node may have
	Linger float64 // an abandoned call stays in hand this long
	Over   float64 // the mean is taken over this
}

// Rules are the figures of the four rules.
type Rules struct {
	DrainGrace float64 // what arrives later than this after the notice is not run
	Ceiling    float64 // RPCs on the cores, for each core, that a warm node survives
	Settle     float64 // held for longer than this, an RPC is not pushed back for another; 0 for no such time
}

// Kind tells what happened.
type Kind int

const (
	Begin  Kind = iota // the instance has just been made
	Arrive             // an RPC has been read and is held
	Left               // its caller no longer waits; Outcome is Reset if its connection broke
	Ended              // a run or a join is over
	Wait               // a running RPC stands at a call
	Called             // a call is over
	Notice             // the node will be stopped after Time
	Timer              // a timer came due
	Stay               // the notice is taken back before its time
)

// Outcome tells how a run or a call ended.
type Outcome int

const (
	Error       Outcome = iota // may have had its effect
	OK                         //
	Full                       // call turned away unexamined: never ran
	TimedOut                   // we gave up on the call: may have had its effect
	Unreachable                // never ran
	Reset                      // interrupted: may have had its effect
	Cancelled                  // the run was stopped
	Moot                       // nothing was started
)

// Budget tells how an RPC stands to its server's part of a quota that servers share.
type Budget int

const (
	Untold Budget = iota // nothing is shared: the instance goes by what it sees of the customer
	Within
	Over
)

// Event is one thing that happened. Only the fields of its kind are set.
type Event struct {
	Kind     Kind
	RPC      uint32
	Method   int     // Arrive
	Customer int     // Arrive
	Caller   uint16  // Arrive
	Subject  uint64  // Arrive: what it is about; 0 for none
	Original uint32  // Arrive: the remembered RPC that it repeats; 0 for none
	Time     float64 // Arrive: how long its caller still waits, 0 for untold; Notice: until the stop
	Waited   float64 // Arrive: since it reached the machine; Notice: since it came
	Hint     float64 // Arrive: expected work on a standard core; 0 for none
	HeldKB   float64 // Arrive: its memory while held
	Retry    bool    // Arrive: marked as a further try
	Budget   Budget  // Arrive
	Again    float64 // Arrive, Over: ms until one of its customer may lie within the quota
	Outcome  Outcome // Left, Ended, Called
	Spent    float64 // Ended, Called: since the action that began it
	Label    uint64  // Timer
	Gauges   Gauges  // Timer
}

// Gauges are the node's own, as they stand when a timer comes due.
type Gauges struct {
	Stale   bool    // the others are not of now, and tell nothing
	CoreUse float64 // share of the cores busy over the last half second
	OnCores float64 // all that wants a core now
}

// Do tells what is to be done.
type Do int

const (
	Run       Do = iota // begin a held RPC or go on with a paused one
	PushBack            // final answer: not run, may go elsewhere unless Last
	Abort               // final answer: an error, with no word on effects
	Halt                // stop running work, as Node.Stop says
	Call                // make the call that the RPC stands at
	Skip                // go on without it
	Remember            // remember the RPC's token for Time
	Forget              // drop that memory
	Join                // answer with the result of the RPC it repeats
	Health              // what checks are told from here on, from store
	Tell                // the value that goes out with answers
	IdleAfter           // close connections idle for this long
	Arm                 // ask for a Timer at Time
	Note                // a line for the log
)

// Action is one thing to be done. Only the fields of its kind are set.
type Action struct {
	Do    Do
	RPC   uint32
	Last  bool    // PushBack: the caller should not go elsewhere
	Good  bool    // Health
	Time  float64 // PushBack: stay away for; Call: give up after; Remember, IdleAfter: for; Arm: at
	Value float64 // Tell
	Label uint64  // Arm
	Text  string  // Note
}
