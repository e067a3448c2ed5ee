// Package control decides for one server which RPCs it admits, when it runs them and how it rejects the rest.
//
// It has one entry point: New makes a Controller from the start-up facts, and Handle takes one event with the clock and
// returns the actions that answer it, to be carried out in that order. The types of events, actions and start-up facts
// stand in api.go. A Controller does no I/O, shares nothing, reads no clock of its own and draws random numbers only
// from its seed, so the same events give the same actions. All clock values and durations are milliseconds.
//
// On the ordinary path slow start admits a rising share of callers after a cold start, the admission loop sets the
// fraction of arrivals that are admitted under pressure, and an admitted RPC is queued if it can still meet its latency
// objective and runs when the run limit has capacity. The rest guards invariants: memory, the number of runs, idempotency
// tokens, calls to a shared dependency, an answer to every RPC by its deadline, and draining.
package control

import (
	"math"
	"math/rand"
)

// tickPeriod is the time between two timers, at which the gauges are read and deadlines checked. It lies under the slack
// that answers have, and twenty-five timers a second cost a server well under a thousandth of a core.
const tickPeriod = 40.0

// Controller is one instance. It is not safe for concurrent use.
type Controller struct {
	node    Node
	methods []Method

	drainGrace         float64 // as in Limits
	displaceableFor    float64 // as in Limits
	overQuotaFraction  float64 // as in Fleet
	maxRetryAfter      float64 // as in Fleet
	propagatesDeadline bool    // as in Fleet
	tightestObjective  float64 // the tightest latency objective of all methods

	now          float64
	nextTimer    float64  // clock value at which the next timer is due
	ticks        int      // timers so far
	actions      []Action // of the event at hand; its memory is used again
	rpcs         rpcTable // the RPCs in flight
	runningCount int      // those that run and are not at a dependency call
	usedKB       float64  // memory of the RPCs in flight
	memoryShort  bool     // memory has kept an RPC from the queue or from running since the last timer
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
	slowdown       float64        // recent run times over those of the models: above 1 is slow
	quotas         []quotaMeter   // by customer
	callerTimeouts map[uint16]callerTimeout
	ranks          weightRanks
}

// New makes an instance for a server that is just starting. Its first event must be Started. The slices of the
// configuration are read as long as the instance is in use.
func New(config Config) *Controller {
	node, fleet, methods := config.Node, config.Fleet, config.Methods
	// These are divisors: missing or zero values must not lead to infinite or undefined shares.
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

// Handle takes one event and returns the actions that answer it. now is the clock in ms; it never moves backwards. The
// returned slice is valid until the next call.
func (c *Controller) Handle(now float64, ev Event) []Action {
	c.actions = c.actions[:0]
	c.now = now
	i, inFlight := c.rpcs.byID[ev.RPC]
	switch ev.Kind {
	case CallerGone, Completed, AwaitingCall, CallCompleted:
		if !inFlight {
			return c.actions // the RPC is over here
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

// onStarted begins the warm-up and asks for the first timer.
func (c *Controller) onStarted() {
	c.slowStart.startedAt = c.now
	c.runLimit.startedAt = c.now
	c.nextTimer = c.now + tickPeriod
	c.emit(Action{Kind: SetHealth, Healthy: true}, Action{Kind: SetTimer, Time: c.nextTimer})
}

// emit appends actions to those that answer the event at hand.
func (c *Controller) emit(a ...Action) { c.actions = append(c.actions, a...) }
