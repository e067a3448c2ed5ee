// Package control decides for one server which RPCs it takes, runs and turns away.
//
// It is called through one entry point: New makes an instance from what is told at start, and Handle takes
// one event with the clock and returns the actions that answer it, to be carried out in that order. The
// returned slice is valid until the next call. The types of events, actions and start-up facts stand in
// api.go. An instance shares nothing, reads no clock of its own, and the same events give the same actions.
//
// The ordinary path: the ramp lets in a rising share of callers after a cold start, the pressure loop sets
// the share of arrivals taken, then the arrival is held if it can still be ok in time, and run when the run
// limit has room. Everything else guards the rules: memory, crowd, tokens, calls below, due answers, drain.
package control

import (
	"math"
	"math/rand"
)

// period is the time between two looks at the gauges and at what falls due. It lies under the slack of
// answers, and twenty-five looks a second cost a server well under a thousandth of a core.
const period = 40.0

// Controller is one instance. It is not safe for concurrent use.
type Controller struct {
	node             Node
	methods          []Method
	grace, overShare float64
	settle           float64
	tightest         float64 // the tightest latency target
	retry            float64 // longest advice to stay away
	out              []Action
	in               slab    // the RPCs in hand
	now, wake        float64 // the clock, and when the next timer should come
	tells, short     bool    // RPCs tell their time; memory has kept something out since the last look
	noted            [5]bool
	used             float64 // memory of the RPCs in hand

	slowStart     slowStart
	pressure      pressure
	hold          hold
	limit         runLimit
	keys          keys
	calls         calls
	tries         tries
	drain         drain
	health        health
	signal        signal
	pace          []pace
	shares        []share
	chance        *rand.Rand
	speed         float64 // run times of late over what the methods take: above 1 is slow
	active, looks int     // running, not at a call; timers so far
	habits        map[uint16]habit
	ranks         ranks
}

// New makes an instance for a server that is just starting.
func New(
	node Node, fleet Fleet, below Dependency, rules Limits, methods []Method, customers []Customer,
) *Controller {
	// Figures that are missing or nothing would make a share of callers, of a quota or of a warm-up no
	// number.
	fleet.Callers, fleet.Peers = max(1, fleet.Callers), max(1, fleet.Peers)
	node.WarmUpTime = math.Max(1, node.WarmUpTime)
	c := &Controller{
		node: node, methods: methods, grace: rules.DrainGrace, settle: rules.DisplaceableFor, retry: fleet.MaxRetryAfter,
		in:        slab{byID: map[uint32]int{}},
		slowStart: newSlowStart(node.WarmingUp, node.WarmUpTime, fleet.Callers, node.Seed),
		pressure:  pressure{share: 1, late: make([]float64, len(methods))},
		limit: runLimit{
			cores: float64(node.Cores), cold: node.WarmingUp, start: node.InitialSpeed, warmBy: node.WarmUpTime,
			ceiling: rules.MaxRunsPerCore, onCore: 1,
		},
		keys:  keys{kb: node.TokenKB},
		calls: calls{share: below.ConcurrencyShare, most: below.ConcurrencyShare, linger: below.Linger, over: below.AveragingWindow},
		tries: tries{
			marks: fleet.MarksRetries, notified: fleet.IdleTimeout, most: fleet.IdleTimeout,
			reach: fleet.FeedbackTTL / 1000 / float64(fleet.Callers),
		},
		health: health{good: true, since: math.Inf(-1)},
		signal: signal{say: fleet.Feedback, callers: float64(fleet.Callers)},
		habits: map[uint16]habit{},
		pace:   make([]pace, len(methods)),
		speed:  1, chance: rand.New(rand.NewSource(int64(node.Seed))),
		overShare: fleet.OverQuotaFraction, tells: fleet.PropagatesDeadline, tightest: math.Inf(1),
	}
	for i, m := range methods {
		target := math.Max(1, m.LatencyObjective)
		c.pace[i] = newPace(target)
		c.tightest = math.Min(c.tightest, target)
	}
	for _, cu := range customers {
		c.shares = append(c.shares, share{rate: cu.Quota / float64(fleet.Peers) / 1000})
	}
	return c
}

// Handle takes what happened and returns what is to be done.
func (c *Controller) Handle(now float64, ev Event) []Action {
	c.out, c.now = c.out[:0], now
	i, inHand := c.in.byID[ev.RPC]
	if !inHand && (ev.Kind == CallerGone || ev.Kind == Completed || ev.Kind == AwaitingCall || ev.Kind == CallCompleted) {
		return c.out // it is over here
	}
	switch ev.Kind {
	case Started:
		c.slowStart.begin, c.limit.begin = now, now
		c.wake = now + period
		c.do(Action{Kind: SetHealth, Healthy: true}, Action{Kind: SetTimer, Time: c.wake})
	case Arrived:
		c.arrive(&ev)
	case CallerGone:
		c.left(i, ev.Outcome == OutcomeReset)
	case Completed:
		c.ended(i, &ev)
	case AwaitingCall:
		if c.in.rpc[i].state == running {
			c.active--
			c.in.rpc[i].state, c.in.rpc[i].stood, c.in.rpc[i].tries = standing, now, 0
			c.call(i)
		}
	case CallCompleted:
		if c.in.rpc[i].state == calling {
			c.called(i, &ev)
		}
	case DrainNotice:
		c.drain = drain{on: true, since: now - ev.Age, stop: now - ev.Age + ev.Remaining}
		for i := range c.in.rpc {
			c.drain.bound(&c.in.rpc[i])
		}
		c.do(Action{Kind: SetHealth}, Action{Kind: LogEvent, Message: "drain: notice to leave"})
	case DrainCancelled: // what is in hand keeps the due times that it was given
		c.drain = drain{}
		c.do(Action{Kind: SetHealth, Healthy: c.health.good}, Action{Kind: LogEvent, Message: "drain: taken back"})
	case TimerFired:
		c.tick(&ev.Gauges)
	}
	c.pump()
	return c.out
}

func (c *Controller) do(a ...Action) { c.out = append(c.out, a...) }
