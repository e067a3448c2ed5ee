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

// Control is one instance.
type Control struct {
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
	node Node, fleet Fleet, below Below, rules Rules, methods []Method, customers []Customer,
) *Control {
	// Figures that are missing or nothing would make a share of callers, of a quota or of a warm-up no
	// number.
	fleet.Callers, fleet.Peers = max(1, fleet.Callers), max(1, fleet.Peers)
	node.WarmBy = math.Max(1, node.WarmBy)
	c := &Control{
		node: node, methods: methods, grace: rules.DrainGrace, settle: rules.Settle, retry: fleet.MaxRetryAfter,
		in:        slab{byID: map[uint32]int{}},
		slowStart: newSlowStart(node.Cold, node.WarmBy, fleet.Callers, node.Seed),
		pressure:  pressure{share: 1, late: make([]float64, len(methods))},
		limit: runLimit{
			cores: float64(node.Cores), cold: node.Cold, start: node.StartSpeed, warmBy: node.WarmBy,
			ceiling: rules.Ceiling, onCore: 1,
		},
		keys:  keys{kb: node.KeyKB},
		calls: calls{share: below.Share, most: below.Share, linger: below.Linger, over: below.Over},
		tries: tries{
			marks: fleet.Marks, notified: fleet.Idle, most: fleet.Idle,
			reach: fleet.Heeded / 1000 / float64(fleet.Callers),
		},
		health: health{good: true, since: math.Inf(-1)},
		signal: signal{say: fleet.Say, callers: float64(fleet.Callers)},
		habits: map[uint16]habit{},
		pace:   make([]pace, len(methods)),
		speed:  1, chance: rand.New(rand.NewSource(int64(node.Seed))),
		overShare: fleet.OverShare, tells: fleet.TellsTime, tightest: math.Inf(1),
	}
	for i, m := range methods {
		target := math.Max(1, m.LatencyTarget)
		c.pace[i] = newPace(target)
		c.tightest = math.Min(c.tightest, target)
	}
	for _, cu := range customers {
		c.shares = append(c.shares, share{rate: cu.Quota / float64(fleet.Peers) / 1000})
	}
	return c
}

// Handle takes what happened and returns what is to be done.
func (c *Control) Handle(now float64, ev Event) []Action {
	c.out, c.now = c.out[:0], now
	i, inHand := c.in.byID[ev.RPC]
	if !inHand && (ev.Kind == Left || ev.Kind == Ended || ev.Kind == Wait || ev.Kind == Called) {
		return c.out // it is over here
	}
	switch ev.Kind {
	case Begin:
		c.slowStart.begin, c.limit.begin = now, now
		c.wake = now + period
		c.do(Action{Do: Health, Good: true}, Action{Do: Arm, Time: c.wake})
	case Arrive:
		c.arrive(&ev)
	case Left:
		c.left(i, ev.Outcome == Reset)
	case Ended:
		c.ended(i, &ev)
	case Wait:
		if c.in.rpc[i].state == running {
			c.active--
			c.in.rpc[i].state, c.in.rpc[i].stood, c.in.rpc[i].tries = standing, now, 0
			c.call(i)
		}
	case Called:
		if c.in.rpc[i].state == calling {
			c.called(i, &ev)
		}
	case Notice:
		c.drain = drain{on: true, since: now - ev.Waited, stop: now - ev.Waited + ev.Time}
		for i := range c.in.rpc {
			c.drain.bound(&c.in.rpc[i])
		}
		c.do(Action{Do: Health}, Action{Do: Note, Text: "drain: notice to leave"})
	case Stay: // what is in hand keeps the due times that it was given
		c.drain = drain{}
		c.do(Action{Do: Health, Good: c.health.good}, Action{Do: Note, Text: "drain: taken back"})
	case Timer:
		c.tick(&ev.Gauges)
	}
	c.pump()
	return c.out
}

func (c *Control) do(a ...Action) { c.out = append(c.out, a...) }
