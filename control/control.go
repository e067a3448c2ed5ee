// Package control decides for one server which RPCs it admits, when it runs them and how it rejects the rest.
//
// New creates a Controller from the configuration, and Handle processes one event at a clock value and returns the
// resulting actions, which are to be performed in order. The types of events, actions and configuration are declared in
// api.go. A Controller does no I/O, shares no state, reads no clock and derives its random numbers from its seed only,
// so the same events produce the same actions. All clock values and durations are in milliseconds.
//
// On the normal path, slow start admits an increasing share of the callers after a cold start, the admission loop sets
// the fraction of arrivals that are admitted under overload, and an admitted RPC is queued if it can still meet its
// latency objective. It runs when the run limit has capacity. The other files enforce invariants: the memory limit, the
// limit of concurrent runs, idempotency tokens, the limit of calls to a shared dependency, an answer to every RPC by
// its deadline, and draining.
package control

import (
	"math"
	"math/rand"
)

// tickPeriod is the time in ms between two timers; each timer reads the gauges and checks deadlines. It is shorter than
// the tolerance for late answers, and 25 timers per second cost well under 0.1% of a core.
const tickPeriod = 40.0

// Controller makes the decisions for one server. It is not safe for concurrent use.
type Controller struct {
	node    Node
	methods []Method

	drainGrace         float64 // as in Limits
	displaceableFor    float64 // as in Limits
	overQuotaFraction  float64 // as in Fleet
	maxRetryAfter      float64 // as in Fleet
	propagatesDeadline bool    // as in Fleet
	tightestObjective  float64 // the shortest latency objective of all methods

	now          float64
	nextTimer    float64  // clock value at which the next timer is due
	ticks        int      // number of timers that have fired
	actions      []Action // actions of the current event; the slice is reused
	rpcs         rpcTable // the RPCs in flight
	runningCount int      // number of RPCs that run and are not at a dependency call
	usedKB       float64  // memory of the RPCs in flight, in KB
	memoryShort  bool     // lack of memory has blocked an RPC from the queue or from running since the last timer
	logged       [conditionCount]bool
	random       *rand.Rand

	slowStart      slowStart
	admission      admissionLoop
	queue          runQueue
	runLimit       runLimit
	tokens         tokenCache
	calls          callLimiter
	retries        retryMonitor
	drain          drain
	health         health
	feedback       loadFeedback
	runTimes       []runTimeModel // by method
	slowdown       float64        // ratio of recent run times to the predicted ones; above 1 if the server is slow
	quotas         []quotaMeter   // by customer
	callerTimeouts map[uint16]callerTimeout
	ranks          weightRanks
}

// New creates a Controller for a server that is starting. The first event must be Started. The slices of config must
// not be modified while the Controller is in use.
func New(config Config) *Controller {
	node, fleet, methods := config.Node, config.Fleet, config.Methods
	// These values are used as divisors: a missing or zero value must not result in an infinite or undefined share.
	fleet.Callers = max(1, fleet.Callers)
	fleet.Peers = max(1, fleet.Peers)
	node.WarmUpTime = math.Max(1, node.WarmUpTime)
	c := &Controller{
		node:               node,
		methods:            methods,
		drainGrace:         config.Limits.DrainGrace,
		displaceableFor:    config.Limits.DisplaceableFor,
		overQuotaFraction:  fleet.OverQuotaFraction,
		maxRetryAfter:      fleet.MaxRetryAfter,
		propagatesDeadline: fleet.PropagatesDeadline,
		tightestObjective:  math.Inf(1),
		rpcs:               rpcTable{byID: map[uint32]int{}},
		random:             rand.New(rand.NewSource(int64(node.Seed))),
		slowStart:          newSlowStart(node.WarmingUp, node.WarmUpTime, fleet.Callers, node.Seed),
		admission:          admissionLoop{admitFraction: 1, lateness: make([]float64, len(methods))},
		runLimit:           newRunLimit(&node, config.Limits.MaxRunsPerCore),
		tokens:             tokenCache{entryKB: node.TokenKB},
		calls:              newCallLimiter(&config.Dependency),
		retries:            newRetryMonitor(&fleet),
		health:             health{healthy: true, changedAt: math.Inf(-1)},
		feedback:           loadFeedback{kind: fleet.Feedback, callers: float64(fleet.Callers)},
		runTimes:           make([]runTimeModel, len(methods)),
		slowdown:           1,
		callerTimeouts:     map[uint16]callerTimeout{},
	}
	for i, m := range methods {
		objective := math.Max(1, m.LatencyObjective)
		c.runTimes[i] = newRunTimeModel(objective)
		c.tightestObjective = math.Min(c.tightestObjective, objective)
	}
	for _, customer := range config.Customers {
		c.quotas = append(c.quotas, quotaMeter{rate: customer.Quota / float64(fleet.Peers) / 1000})
	}
	return c
}

// Handle processes one event and returns the resulting actions. now is the clock value in ms; it must not decrease. The
// returned slice is valid until the next call.
func (c *Controller) Handle(now float64, ev Event) []Action {
	c.actions = c.actions[:0]
	c.now = now
	i, inFlight := c.rpcs.byID[ev.RPC]
	switch ev.Kind {
	case CallerGone, Completed, AwaitingCall, CallCompleted:
		if !inFlight {
			return c.actions // the RPC is no longer in flight
		}
	}
	switch ev.Kind {
	case Started:
		c.onStarted()
	case Arrived:
		c.onArrived(&ev)
	case CallerGone:
		c.onCallerGone(i, ev.Outcome == OutcomeReset)
	case Completed:
		c.onCompleted(i, &ev)
	case AwaitingCall:
		c.onAwaitingCall(i)
	case CallCompleted:
		c.onCallCompleted(i, &ev)
	case DrainNotice:
		c.onDrainNotice(&ev)
	case DrainCancelled:
		c.onDrainCancelled()
	case TimerFired:
		c.onTimer(&ev.Gauges)
	}
	c.startRuns()
	return c.actions
}

// onStarted starts the warm-up and sets the first timer.
func (c *Controller) onStarted() {
	c.slowStart.startedAt = c.now
	c.runLimit.startedAt = c.now
	c.nextTimer = c.now + tickPeriod
	c.emit(Action{Kind: SetHealth, Healthy: true}, Action{Kind: SetTimer, Time: c.nextTimer})
}

// emit appends to the actions of the current event.
func (c *Controller) emit(a ...Action) { c.actions = append(c.actions, a...) }
