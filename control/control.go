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
	"slices"
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

	ramp          ramp
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
		in:       slab{byID: map[uint32]int{}},
		ramp:     newRamp(node.Cold, node.WarmBy, fleet.Callers, node.Seed),
		pressure: pressure{share: 1, late: make([]float64, len(methods))},
		limit: runLimit{
			cores: float64(node.Cores), cold: node.Cold, start: node.StartSpeed, warmBy: node.WarmBy,
			ceiling: rules.Ceiling, onCore: 1,
		},
		keys:  keys{kb: node.KeyKB},
		calls: calls{share: below.Share, most: below.Share, linger: below.Linger, over: below.Over},
		tries: tries{
			marks: fleet.Marks, told: fleet.Idle, most: fleet.Idle,
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
		c.ramp.begin, c.limit.begin = now, now
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

// arrive decides on an RPC that has just been read.
func (c *Control) arrive(ev *Event) {
	m := min(ev.Method, len(c.methods)-1)
	meth := &c.methods[m]
	r := rpc{
		id: ev.RPC, state: held, method: m, caller: ev.Caller, again: ev.Retry,
		arrived: c.now - ev.Waited, read: c.now, work: ev.Hint, value: meth.Criticality,
		heldKB: ev.HeldKB, kb: ev.HeldKB,
	}
	if ev.Hint == 0 {
		r.work = c.pace[m].prior
	}
	r.due = r.arrived + meth.Deadline
	age := 0.0
	if c.tells {
		r.due = c.now + ev.Time
	} else if ev.Retry {
		age = meth.LatencyTarget / 2 // nothing tells; others pushed it back before, or its client did not wait
	}
	r.target = math.Min(r.arrived+meth.LatencyTarget+meth.Stretch*ev.Hint-age, r.due)
	c.drain.bound(&r)
	hasty := !c.tells && ev.Hint > 0 && r.arrived+c.habits[ev.Caller].wait() < c.now+c.est(&r)
	if ev.Customer < len(c.shares) {
		in := c.shares[ev.Customer].within(c.now, c.limit.begin, ev.Retry)
		if ev.Budget == Within {
			in = 1
		} else if ev.Budget == Over {
			in = 0
		}
		r.value *= in + (1-in)*c.overShare
	}
	if ev.Retry {
		r.value *= 0.5 // part of its time is gone: in a storm most such are late when answered
	}
	r.rank, r.rel = c.ranks.of(r.value)
	c.limit.read(ev.Waited / c.tightest)
	c.signal.seen++
	c.tries.read(ev.Retry)
	i := c.in.add(r)
	c.used += r.kb
	late := c.drain.on && (r.arrived > c.drain.since+c.grace-c.node.Tick || c.now > c.drain.stop-2*period)

	// A repeat of a remembered RPC is joined: it must neither run again nor, once any try has run, be pushed
	// back. An original never seen here (two tries of one batch name each other) is no reason to join: the
	// first is taken.
	_, inHand := c.in.byID[ev.Original]
	if ev.Original != 0 && (inHand || c.keys.knows(ev.Original)) {
		if late || !c.room() {
			c.abort(i)
			return
		}
		c.in.rpc[i].state = joined
		c.do(Action{Do: Join, RPC: ev.RPC})
		return
	}
	idle := ev.Retry && c.hold.n == 0 && c.active < c.limit.runs() // others were full, here a run is free
	switch {
	case late:
		c.push(i, c.retry, false)
	case !idle && !c.ramp.takes(c.now, ev.Caller, ev.Subject, ev.RPC):
		c.push(i, math.Min(rampRetry, c.retry), false)
	case ev.Budget == Over && c.overShare == 0: // a quota that is kept whatever room there is
		c.push(i, math.Min(ev.Again, c.retry), false)
	case hasty:
		c.push(i, 0, false)
	case !c.pressure.takes(c.chance, r.rank) || !c.makeWay(&r) || !c.room():
		c.tries.pushed += oneTry
		c.signal.shed++
		c.shed(i)
	default:
		if meth.Repeat == Tokened {
			// Remembered before it runs, for the whole window counted from its arrival here.
			life := math.Max(meth.Window-ev.Waited, c.node.Tick)
			c.keys.drop(ev.RPC, c.now)
			c.keys.list = append(c.keys.list, key{ev.RPC, c.now + life, c.now + life + meth.Deadline})
			c.in.rpc[i].kept = true
			c.do(Action{Do: Remember, RPC: ev.RPC, Time: life})
		}
		if c.est(&r) > longFactor*c.usual() {
			c.in.rpc[i].line = long
		}
		c.hold.add(c.in.rpc, i)
	}
}

// rampRetry is the advice with a pushback by the ramp: short, as others are to be asked at once.
const rampRetry = 100.0

// longFactor parts the two lines: work of more than this multiple of the usual is long. Half of all
// lognormal work lies below the mean, a twentieth above three times it.
const longFactor = 3.0

// usual is the run time of the usual RPC: the mean over the methods by what has run.
func (c *Control) usual() float64 {
	t, n := 0.0, 0.0
	for i := range c.pace {
		t, n = t+c.pace[i].spent, n+c.pace[i].runs
	}
	return t / n
}

// patience is the part of the time before the latency target that an RPC may wait in the hold. What counts
// for more may wait longer, so in overload the hold stands where the least of it is pushed back, at once,
// and the rest gets in.
func patience(rank, rel float64) float64 {
	const (
		least = 0.05 // the least valuable of all come in while runs are free, and hardly else
		most  = 0.8  // leaves a fifth for what the estimate does not know
	)
	return math.Max(least+(most-least)*rank, most*math.Min(1, rel*rel))
}

// est is the expected run time of an RPC without its calls.
func (c *Control) est(r *rpc) float64 { return c.pace[r.method].run(r.work, c.speed) }

// wait is the expected time in the hold of an RPC that would come last before target, if all that counts
// for less than floor were pushed back.
func (c *Control) wait(target, floor float64) float64 {
	ahead := 0.0
	for i := range c.in.rpc {
		r := &c.in.rpc[i]
		switch r.state {
		case running:
			e := c.est(r)
			ahead += math.Max(e-(c.now-r.began), e/4)
		case held:
			if r.target <= target && (r.value >= floor || c.settled(r)) {
				ahead += c.est(r)
			}
		}
	}
	n := float64(c.limit.runs())
	if float64(c.active) < n && c.hold.n == 0 {
		return 0
	}
	return ahead / n
}

// settled tells whether an RPC has been held for so long that it stays, where those pushed back are to hear at once.
// Without that it may make way as long as it is held, which serves more where bursts of what counts most are long.
func (c *Control) settled(r *rpc) bool { return c.settle > 0 && c.now-r.read > c.settle }

// doubt is the part of its expected run time by which one RPC's own is trusted to be no shorter: hints are
// rough, and a run that has a core to itself costs little if it comes late. Heavy work counts most where
// work is counted.
const doubt = 0.5

// feasible tells whether an RPC just read can be ok in time, with the patience that its value gives it.
func (c *Control) feasible(r *rpc, floor float64) bool {
	p := &c.pace[r.method]
	left := r.target - c.now - c.est(r) - p.below
	w := c.wait(r.target, floor)
	if w == 0 {
		return left+(1-doubt)*math.Max(0, 1-2*c.tries.pushed)*c.est(r) > 0
	}
	return w-c.est(r)/float64(c.limit.runs()) < left*patience(r.rank, r.rel)
}

// makeWay tells whether an RPC just read can be ok in time, and pushes back what is held and counts for
// less if it must: the least valuable first.
func (c *Control) makeWay(r *rpc) bool {
	const less = 0.8 // of the value: near equal ones stay
	for c.feasible(r, less*r.value) {
		if c.feasible(r, 0) {
			return true
		}
		least := -1
		for i := range c.in.rpc {
			if o := &c.in.rpc[i]; o.state == held && o.target <= r.target && o.value < less*r.value &&
				!c.settled(o) &&
				(least < 0 || o.value < c.in.rpc[least].value) {
				least = i
			}
		}
		c.shed(least)
	}
	return false
}

// away is the advice that goes with an overload's pushback: until half the hold has drained. Callers that
// stay away until all has find idle cores, and come back together. Further tries, which a storm is made of,
// stay away for what waits unread as well.
func (c *Control) away(again bool) float64 {
	w := c.wait(math.Inf(1), 0) / 2
	if again {
		w += c.limit.unread * c.tightest
	}
	return math.Min(c.retry, math.Max(w, rampRetry))
}

// room tells whether memory allows to hold an RPC just read, with its token, and still to run what is held.
func (c *Control) room() bool {
	const share = 0.8
	fits := c.used+c.keys.used(c.now)+c.keys.kb < share*c.node.MemKB
	c.short = c.short || !fits
	return fits
}

// drop takes an RPC out of the slab.
func (c *Control) drop(i int) {
	r := &c.in.rpc[i]
	if r.state == held {
		c.hold.remove(i, r.line)
	} else if r.state == running {
		c.active--
	}
	c.used -= r.kb
	c.in.drop(i)
}

// shed pushes an RPC back for overload. A marked further try has met another full server before this one:
// its caller is asked not to go on, or each read of it costs one more server.
func (c *Control) shed(i int) {
	again := c.in.rpc[i].again
	c.push(i, c.away(again), again || c.tries.everywhere())
}

// push pushes a held RPC back; it never ran.
func (c *Control) push(i int, away float64, last bool) {
	r := &c.in.rpc[i]
	c.forget(r)
	c.do(Action{Do: PushBack, RPC: r.id, Last: last, Time: away})
	c.drop(i)
}

// forget drops the token of an RPC that never ran.
func (c *Control) forget(r *rpc) {
	if r.kept && r.state == held {
		c.keys.drop(r.id, c.now)
		c.do(Action{Do: Forget, RPC: r.id})
	}
}

// abort answers an RPC with an error. Running work that can be stopped is stopped, unless it has an effect,
// which a repeat may still ask for.
func (c *Control) abort(i int) {
	r := &c.in.rpc[i]
	if !r.answered {
		c.do(Action{Do: Abort, RPC: r.id})
		if r.state == running { // if only those that end in time counted, all would seem quick
			c.learn(r, math.Max(c.now-r.began-r.below, c.est(r)))
		}
	}
	r.answered = true
	switch r.state {
	case running:
		if c.node.Stop != StopNone && c.methods[r.method].Repeat == Idempotent {
			c.do(Action{Do: Halt, RPC: r.id})
		}
	case standing, calling: // its end is told, and a call goes on below until then
	default:
		c.drop(i)
	}
}

// learn takes in a run. All methods together tell the speed of late: each alone runs too seldom on a small
// server, and its twenty runs reach back past what has changed, a slow machine or a storm of reads.
func (c *Control) learn(r *rpc, spent float64) {
	const weight = 0.15 // about seven runs, a second or two of traffic
	p := &c.pace[r.method]
	f := math.Max(1, spent) / math.Max(1, p.run(r.work, 1))
	c.speed += weight * (math.Min(4, math.Max(0.25, f)) - c.speed) // bounded, as one heavy run tells no speed
	p.learn(spent/c.speed, r.work, r.below)
}

// left hears that a caller no longer waits. A connection that broke and what is withdrawn at once show no
// habit: taken for one, they would have all of that caller's RPCs pushed back, with none left to unlearn it.
func (c *Control) left(i int, broke bool) {
	r := &c.in.rpc[i]
	if age := c.now - r.arrived; !broke && age > c.tightest/10 { // no try is given up in less
		c.habits[r.caller] = c.habits[r.caller].left(age)
	}
	r.answered = true
	c.forget(r)
	c.abort(i)
}

// ended books the end of a run or join.
func (c *Control) ended(i int, ev *Event) {
	r := &c.in.rpc[i]
	if r.state == calling {
		c.calls.done(c.now, c.now-r.stood, TimedOut)
	}
	c.tries.ends++
	if !r.answered && c.now-r.arrived > 1.3*c.habits[r.caller].mean {
		delete(c.habits, r.caller) // this one waited longer
	}
	if ev.Outcome == OK && r.state == running {
		spent := ev.Spent - r.below
		c.learn(r, spent)
		c.pressure.learn(r.method, c.now-r.arrived, c.methods[r.method].LatencyTarget)
	}
	c.drop(i)
}

// call makes, puts off or goes without the call that an RPC stands at.
func (c *Control) call(i int) {
	r := &c.in.rpc[i]
	if r.answered || r.state != standing {
		return
	}
	m := &c.methods[r.method]
	left := r.target - c.now - c.est(r)/3 // what its run still needs after the call is not told
	if m.LateShare > 0 || c.now > r.target {
		left += r.due - r.target
	}
	if m.SkipShare > 0 && (left < c.calls.usual || r.tries >= 2) {
		c.do(Action{Do: Skip, RPC: r.id})
		c.resume(r)
		return
	}
	if left <= 0 || r.tries >= 3 {
		c.abort(i)
		return
	}
	if m.SkipShare > 0 {
		left *= 0.7 // leaves time to go on without it
	}
	if left = c.calls.take(c.now, left); left == 0 {
		if m.SkipShare > 0 { // the room is for those that can't go without; this one would hold a run while it waits
			c.do(Action{Do: Skip, RPC: r.id})
			c.resume(r)
		}
		return
	}
	r.tries++
	r.state = calling
	c.do(Action{Do: Call, RPC: r.id, Time: left})
}

// resume books that an RPC is back from its call.
func (c *Control) resume(r *rpc) {
	r.below += c.now - r.stood
	r.state = running
	c.active++
}

// called hears the end of a call.
func (c *Control) called(i int, ev *Event) {
	r := &c.in.rpc[i]
	c.calls.done(c.now, ev.Spent, ev.Outcome)
	r.state = standing
	switch {
	case r.answered: // it ends here
	case ev.Outcome == OK:
		c.resume(r)
	case c.methods[r.method].Repeat != Idempotent && ev.Outcome != Full && ev.Outcome != Unreachable:
		c.abort(i) // an effect below is not asked for again unless the call before is known not to have run
	}
	for i := range c.in.rpc {
		c.call(i) // those that had to wait
	}
}

// tick looks at the gauges and at all that falls due.
func (c *Control) tick(g *Gauges) {
	if gap := c.now - c.wake; gap > 3*period {
		c.ramp.begin += gap // a stall ran the clock without traffic: the ramp's does not count it
	}
	c.limit.step(c.now, g, c.active)
	if c.looks++; c.looks%5 == 0 { // twice in the half second that the gauge covers
		c.pressure.step(g)
		// With cores to spare and nothing pushed back, an open connection costs less than the next one.
		calm := !g.Stale && g.CoreUse < 0.5 && c.tries.pushed < 0.02
		if c.tries.step(c.limit.unread, calm) {
			c.do(Action{Do: IdleAfter, Time: c.tries.idle})
		}
		inTime := float64(c.limit.runs()) * (1 + c.tightest/2/c.usual()) // RPCs in hand that can still be ok
		if v, say := c.signal.step(inTime, c.limit.unread); say {
			c.do(Action{Do: Tell, Value: v})
		}
	}
	if !c.drain.on && c.health.step(c.now, c.limit.unread, c.tries.alone()) {
		c.do(Action{Do: Health, Good: c.health.good})
	}
	c.note(0, !c.ramp.warm, "ramp: begins, a share of callers taken", "ramp: over, all callers taken")
	c.note(1, c.pressure.share < 1, "pressure: share of arrivals cut", "pressure: all arrivals taken again")
	c.note(2, !c.health.good, "health: no, flooded, or alone in pushing back", "health: good again")
	c.note(3, c.short, "memory: no room for more", "memory: room again")
	c.note(4, 2*c.calls.most < c.calls.share, "calls: fewer in hand, slow below", "calls: as many as before")
	c.short, c.wake = false, c.now+period
	for i := range c.in.rpc {
		c.review(i)
	}
	c.do(Action{Do: Arm, Time: c.wake})
}

// review answers an RPC that is due or can no longer be ok in time.
func (c *Control) review(i int) {
	r := &c.in.rpc[i]
	if r.state == free || r.answered {
		return
	}
	due := r.due - period
	m := &c.methods[r.method]
	switch {
	case r.state == held:
		last := r.target
		if m.LateShare > 0 {
			last = r.due
		}
		if c.now >= due || c.now+doubt*c.est(r)+c.pace[r.method].below > last {
			c.shed(i)
		}
	case c.now >= due:
		c.abort(i)
	case c.now > r.target && m.LateShare == 0 && m.Repeat == Idempotent && c.node.Stop != StopNone:
		c.abort(i) // no answer counts any more, and the core is wanted
	case r.state == standing:
		c.call(i)
	}
}

// pump runs what the run limit and the memory have room for.
func (c *Control) pump() {
	const share = 0.95 // of the memory; the rest is for reads that nobody can turn away unread
	for c.hold.n > 0 {
		runs := c.limit.runs()
		longRuns, stuck := c.crowd()
		if c.active+stuck >= runs {
			return
		}
		i := c.hold.next(c.in.rpc, longRuns, runs)
		r := &c.in.rpc[i]
		more := r.heldKB * (c.node.RunFactor - 1)
		if c.used+more+c.keys.used(c.now) > share*c.node.MemKB {
			c.short = true
			return
		}
		c.hold.remove(i, r.line)
		c.used += more
		r.kb += more
		r.began = c.now
		r.state = running
		c.active++
		c.do(Action{Do: Run, RPC: r.id})
	}
}

// crowd counts long runs, and the RPCs that wait for room below. These take the places of runs: what is
// started beside them would only come to stand there too, its work on the cores lost.
func (c *Control) crowd() (longRuns, stuck int) {
	for i := range c.in.rpc {
		if r := &c.in.rpc[i]; r.state == running && r.line == long {
			longRuns++
		} else if r.state == standing && !r.answered {
			stuck++
		}
	}
	return longRuns, stuck
}

// ramp is the rising share of callers that a cold server takes.
type ramp struct {
	warm          bool
	begin, length float64
	parts, salt   uint64 // few callers are split in so many parts each
	most          float64
}

// finest is the least number of shares: the ramp's steps are a twentieth of the traffic at most.
const finest = 20

// slowest makes the ramp's length of the longest warm-up told: most servers are warm well before, and what
// the ramp pushes back the rest of a fleet that is being replaced must run.
const slowest = 0.35

func newRamp(cold bool, warmBy float64, callers int, salt uint64) ramp {
	parts := uint64((finest + callers - 1) / callers)
	return ramp{warm: !cold, length: slowest * warmBy, parts: parts, salt: salt}
}

// takes tells whether the ramp lets a caller in. The share never falls, so a caller once in stays in. Where
// callers are few, each is split by subject: a hashed share of three callers is no share of the traffic.
func (p *ramp) takes(now float64, caller uint16, subject uint64, id uint32) bool {
	if p.warm {
		return true
	}
	percent := math.Floor((now-p.begin)/1000) * 1000 / p.length * 100
	p.most = math.Max(p.most, percent)
	if p.most >= 100 {
		p.warm = true
		return true
	}
	h := mix(uint64(caller) ^ p.salt) // salted, lest successors all shut out the same callers
	if p.parts > 1 {
		if subject == 0 {
			subject = uint64(id)
		}
		h = mix(h + mix(subject)%p.parts)
	}
	return float64(h%100) <= p.most
}

// pressure is the loop that sets the share of arrivals taken.
type pressure struct {
	share float64
	late  []float64 // per method: latency of runs over the part of the latency target they may take
}

// targetPart of the latency target is what runs may take in the mean: the rest is for the way and spread.
const targetPart = 0.9

func (p *pressure) learn(m int, latency, target float64) {
	const weight = 0.1 // about ten runs of memory, some seconds of one method's traffic
	p.late[m] += weight * (latency/(targetPart*target) - p.late[m])
}

// step moves the share.
func (p *pressure) step(g *Gauges) {
	const (
		cut  = 0.95 // halves the share in under three seconds
		rise = 0.02 // from a half to all in five
	)
	if !g.Stale && slices.Max(p.late) > 1 && g.CoreUse > 0.9 {
		p.share = math.Max(0.1, p.share*cut)
	} else if !g.Stale { // without a gauge the share stays
		p.share = math.Min(1, p.share+rise)
	}
}

// takes tells whether an arrival is taken: the share cut is the lowest in rank, with a soft edge by chance.
func (p *pressure) takes(chance *rand.Rand, rank float64) bool {
	const edge = 0.2 // equal values share a rank: without it they would all go at once
	return p.share == 1 || rank+edge*(chance.Float64()-0.5) >= 1-p.share
}

// ranks are the values of the latest arrivals.
type ranks struct {
	value [64]float64 // some seconds of traffic
	n     int
}

// of adds a value and returns the part of the others that lie below it, equals counting half, and the value
// over their mean.
func (k *ranks) of(v float64) (rank, rel float64) {
	k.value[k.n%len(k.value)] = v
	k.n++
	all := k.value[:min(k.n, len(k.value))]
	below, sum := 0.0, 0.0
	for _, o := range all {
		sum += o
		if o < v {
			below++
		} else if o == v {
			below += 0.5
		}
	}
	return below / float64(len(all)), v * float64(len(all)) / math.Max(sum, 1e-9)
}

// hold keeps the RPCs that wait, in two lines by the time their answers are wanted.
type hold struct {
	line [2][]int
	n    int
}

func (h *hold) add(in []rpc, i int) {
	l := &h.line[in[i].line]
	*l = append(*l, i)
	h.n++
	for k := len(*l) - 1; k > 0 && in[(*l)[k]].target < in[(*l)[k-1]].target; k-- {
		(*l)[k], (*l)[k-1] = (*l)[k-1], (*l)[k]
	}
}

func (h *hold) remove(i, line int) {
	l := &h.line[line]
	*l = slices.DeleteFunc(*l, func(j int) bool { return j == i }) // one just read stands in none
	h.n = len(h.line[short]) + len(h.line[long])
}

// next is the RPC to run next. Long work gets at most half of the runs while short work waits.
func (h *hold) next(in []rpc, longRuns, runs int) int {
	light, heavy := h.line[short], h.line[long]
	switch {
	case len(light) == 0:
		return heavy[0]
	case len(heavy) > 0 && 2*longRuns < runs && in[heavy[0]].target < in[light[0]].target:
		return heavy[0]
	}
	return light[0]
}

// runLimit is how many RPCs run at once, calls not counted: just enough to keep the cores busy.
type runLimit struct {
	cold                 bool
	cores, ceiling       float64
	begin, start, warmBy float64
	onCore               float64 // share of the runs that want a core, the others wait for disk
	unread               float64 // wait of arrivals before they were read, over the tightest latency target
	now                  float64
}

// read hears how long an arrival waited unread; about ten arrivals are remembered.
func (l *runLimit) read(waited float64) { l.unread += 0.1 * (waited - l.unread) }

func (l *runLimit) step(now float64, g *Gauges, active int) {
	const weight = 0.02 // two seconds of memory at the usual period
	l.now = now
	if !g.Stale && active > 0 && float64(active) >= l.cores/2 {
		l.onCore += weight * (math.Min(1, g.OnCores/float64(active)) - l.onCore)
	}
}

// runs is the limit. The crowd that kills is told; it is kept to well under that, the less while cold.
func (l *runLimit) runs() int {
	const (
		most = 0.7 // part of the crowd that kills: all may come back from disk at once, and some from calls
		busy = 1.3 // runs on the cores for each core where others wait for disk: these come back in bunches
	)
	speed := 1.0
	if l.cold {
		speed = math.Min(1, l.start+(1-l.start)*(l.now-l.begin)/l.warmBy)
	}
	per := 1.0
	if l.onCore < 0.95 {
		per = busy / l.onCore
	}
	per = math.Min(per, most*(1+(l.ceiling-1)*speed))
	return int(math.Max(1, math.Round(per*l.cores)))
}

// pace learns how long the runs of a method take, and how far their hints tell it.
type pace struct {
	spent, work, runs float64
	below, prior      float64 // mean time at calls; run time before any has ended
	both, hint        float64 // covariance of run time and hint, and variance of the hint, each over its mean
}

// newPace starts as if two runs had ended, of a sixth of the latency target and as long as hinted: one run
// with a short hint would make all others seem endless. Hints are trusted in full.
func newPace(target float64) pace {
	t := target / 6
	return pace{prior: t, spent: 2 * t, work: 2 * t, runs: 2, both: 0.5, hint: 0.5}
}

func (p *pace) learn(spent, work, below float64) {
	const (
		keep = 0.95 // twenty runs of memory; what changes sooner shows in the speed
		slow = 0.98 // fifty for what hints are good for, which no speed changes
	)
	spent = math.Max(1, spent) // a run that took no time tells no speed
	p.spent, p.work, p.runs = p.spent*keep+spent, p.work*keep+work, p.runs*keep+1
	p.below += (1 - keep) * (math.Min(below, 3*p.prior) - p.below)
	s, w := spent*p.runs/p.spent-1, work*p.runs/p.work-1
	p.both, p.hint = p.both*slow+(1-slow)*s*w, p.hint*slow+(1-slow)*w*w
}

// run is the run time to expect. Rough hints overrate what they call heavy, so it is drawn to the mean.
// What was learnt in a hang must not keep a method from ever being tried again: the mean stays under what
// an idle server takes.
func (p *pace) run(work, speed float64) float64 {
	trust := math.Max(0.3, math.Min(1, p.both/p.hint))
	return math.Min(speed*p.spent/p.runs, 5*p.prior) * (1 - trust + trust*work*p.runs/p.work)
}

// share measures how much of a customer's traffic lies within this server's part of its quota.
type share struct {
	rate        float64 // RPCs a millisecond within the share
	count, last float64 // first tries of late, older ones weighing less; when the last came
}

// within counts an RPC and returns the part of such RPCs that lies within the share.
func (s *share) within(now, begin float64, again bool) float64 {
	const memory = 4000.0 // long enough to count some tens of RPCs, short enough to see a burst
	if s.rate == 0 {
		return 1
	}
	age := now - begin + 1000 // the first second is too short to tell a rate
	s.count, s.last = s.count*math.Exp((s.last-now)/memory), now
	if !again {
		s.count++
	}
	return math.Min(1, s.rate*memory*(1-math.Exp(-age/memory))/s.count)
}

// calls are the calls in hand below. A shared dependency limits them to this node's share at every moment,
// so that the mean is kept whatever the others do.
type calls struct {
	share        float64 // 0 where nothing is shared
	most         float64 // of that, what keeps it quick
	linger       float64
	inHand       int
	ghosts       []float64 // until when abandoned calls stay there
	usual, quick float64   // time that a call takes, and when it is not crowded
	over         float64   // what the share is a mean of
	begun        float64   // the latest call
	times        []span    // of the calls that ended within that, where the share is under one call
}

type span struct{ from, to float64 }

// take books a call if there is room for it, and returns how long it may last, up to left; 0 for no room. A share
// under one call is kept in the mean: the call ends before any window holds more than that, however slow the
// dependency becomes meanwhile, which all servers meet at the same time.
func (k *calls) take(now, left float64) float64 {
	const worth = 1.5 // times the usual call, below which one is not begun
	k.ghosts = slices.DeleteFunc(k.ghosts, func(until float64) bool { return until <= now })
	if k.share > 0 && float64(k.inHand+len(k.ghosts)) >= math.Max(1, math.Floor(k.most)) {
		return 0
	}
	if k.share > 0 && k.share < 1 {
		k.times = slices.DeleteFunc(k.times, func(s span) bool { return s.to <= now-k.over })
		room := k.most*k.over - k.linger
		for _, s := range k.times {
			room -= s.to - math.Max(s.from, now-k.over)
		}
		if room < math.Min(left, math.Max(1, worth*k.usual)) {
			return 0
		}
		left = math.Min(left, room)
	}
	k.inHand, k.begun = k.inHand+1, now
	return left
}

// done books the end of a call. One that we gave up on stays in hand below for a while.
func (k *calls) done(now, spent float64, how Outcome) {
	k.inHand--
	if how == TimedOut || how == Reset {
		now += k.linger
		k.ghosts = append(k.ghosts, now)
	}
	if k.share > 0 && k.share < 1 {
		k.times = append(k.times, span{k.begun, now}) // it may be told late
	}
	// A crowded dependency slows all and stays crowded: callers wait longer, so more calls stand there. Fewer
	// calls in hand let it recover whatever slowed it; where it is slow for another reason this costs what
	// queues here instead.
	const slow = 2.5 // times as long as when quick: above the spread of single calls
	if how == OK {
		if k.quick == 0 {
			k.usual, k.quick = spent, spent
		}
		k.usual += 0.1 * (spent - k.usual) // ten calls of memory
		k.quick = math.Min(k.usual, 1.001*k.quick)
	}
	if k.usual > slow*k.quick || how == TimedOut {
		k.most = math.Max(math.Min(1, k.share), math.Min(k.most, float64(k.inHand+1))*0.95)
	} else {
		k.most = math.Min(k.share, k.most+0.1)
	}
}

// habit is how long a caller waits for one try where nothing tells it. An impatient caller is gone before
// heavy work ends, which then runs for nobody and runs again elsewhere; it is better sent on at once to a
// server that may be quicker. A client that left once for its own reasons shows no habit.
type habit struct {
	mean, spread float64
}

func (h habit) left(age float64) habit {
	const weight = 0.4 // three tries left alike make a habit, and it is soon unlearnt
	if h.mean == 0 {
		h.mean, h.spread = age, age/2
	}
	h.mean += weight * (age - h.mean)
	h.spread += weight * (math.Abs(age-h.mean) - h.spread)
	return h
}

func (h habit) wait() float64 {
	if h.mean == 0 || h.spread > 0.2*h.mean {
		return math.Inf(1)
	}
	return h.mean
}

// drain is the time to leave.
type drain struct {
	on          bool
	since, stop float64
}

// bound lets an RPC be answered before the stop, by a look at what falls due to spare.
func (d *drain) bound(r *rpc) {
	if d.on {
		r.due = math.Min(r.due, d.stop-period)
		r.target = math.Min(r.target, r.due)
	}
}

// health is what checks are told. It says no while all that arrives waits unread until it is too old, as
// only staying away lets such a server catch up, and while this server alone pushes back much. It stays for
// a third of the time at least on the list, lest a fleet flooded as a whole be gone from it.
type health struct {
	good  bool
	since float64
}

func (h *health) step(now, unread float64, alone bool) bool {
	const (
		flooded = 1.0    // waits unread, in tightest latency targets: all that is read is too old
		least   = 1000.0 // about what the hold takes to drain; longer, callers find it idle and then all come back
		longest = 4000.0 // enough to read what has piled up; a fleet flooded as a whole must not be gone
		between = 3000.0 // alone: three quarters of the time on the list, as only a part is too much
	)
	turn := alone && now > h.since+between || unread > flooded && now > h.since+2*least
	if !h.good {
		turn = now > h.since+least && unread < flooded || now > h.since+longest
	}
	if turn {
		h.good, h.since = !h.good, now
	}
	return turn
}

const oneTry = 1.0 / 32 // its weight in the parts of tries: thirty of memory, some seconds of traffic

// tries tells from what has been read of late whether servers push back all over the fleet, and sets after
// what time idle connections are closed. Where further tries are not marked all count as first ones.
type tries struct {
	marks            bool
	firsts, ends     float64 // first tries read and runs ended, two seconds' worth
	marked, pushed   float64 // parts of the latest tries that were marked, and pushed back on arrival
	reach            float64 // for how long callers heed what they hear, in seconds, over their number
	idle, told, most float64 // after what time idle connections are closed
}

func (t *tries) read(again bool) {
	t.marked -= oneTry * t.marked
	t.pushed -= oneTry * t.pushed
	if again {
		t.marked += oneTry
	} else {
		t.firsts++
	}
}

// everywhere tells whether a pushback would most likely meet the next. Each costs the fleet a read and
// often a connection, a fifth of a run together; where all are full it gains but the place of another RPC.
// A server slow by itself reads few marked tries, so those it can't take go on; unmarked, it looks like a
// flood.
func (t *tries) everywhere() bool {
	const (
		marked = 0.15 // of the tries were pushed back elsewhere: a fleet with room for most has under a tenth
		lost   = 0.5  // unmarked: of first and further tries, two for each run that ends
	)
	return t.marked > marked || !t.marks && t.firsts > t.ends/(1-lost)
}

// alone tells whether this server pushes back much and others do not, and its callers hear from it too
// seldom to heed what it says: it is slower than the rest or draws more, and the list has to tell them. It
// guards against slow machines and hot subjects; where nobody tries again, a full fleet looks the same.
func (t *tries) alone() bool {
	const (
		much = 0.3  // pushed back: a server of the usual load has half of that by chance
		few  = 0.17 // marked: about the same; off a list that then fails to follow, a server stays idle
	)
	return t.marks && t.pushed > much && t.marked < few && t.firsts*t.reach < 1
}

// step sets the idle limit. Most callers of a large fleet come back to one server long after: what they
// leave open fills the table, which slows the cores and shuts others out, so connections are closed soon.
// In a flood of first tries that fills the cores with reading and opening, the full table is the one way to
// turn away what costs nothing to read: they are kept longer the longer it lasts.
func (t *tries) step(unread float64, calm bool) bool {
	const (
		least  = 1000.0 // at a few callers each comes back sooner
		flood  = 3.0    // first tries for each run that ends: reading them takes half the cores or so
		unseen = 0.3    // of the tightest latency target waited unread: connections queue what is too old when read
		grow   = 1.15   // from a second to ten in three
		fall   = 0.95   // and back in nine
	)
	t.firsts, t.ends = 0.9*t.firsts, 0.9*t.ends
	change := fall
	if calm || t.firsts > flood*math.Max(1, t.ends) || unread > unseen {
		change = grow
	}
	t.idle = math.Min(t.most, math.Max(least, t.idle*change))
	if math.Abs(t.idle-t.told) <= 0.1*t.told {
		return false // too small a change to tell
	}
	t.told = t.idle
	return true
}

// signal is the value that goes out with answers.
type signal struct {
	say         Say
	callers     float64
	level, told float64
	seen, shed  int
}

// step moves the level so that what this server would push back for overload is not sent at all; a window
// is what it can hold in time, over its callers.
func (s *signal) step(inTime, unread float64) (float64, bool) {
	const (
		gain  = 0.1 // with a tenth more pushed back than allowed the level rises by a hundredth a step
		allow = 0.1 // pushed back without a rise: what stands lower makes the level fall again in some seconds
		most  = 0.9
		each  = 2.0 // windows for each place: callers are seldom equal and seldom all at their windows
	)
	if s.say == SayNone || s.say == SayShare {
		return 0, false
	}
	v, least := math.Max(1, math.Round(each*inTime/s.callers)), s.told/5
	if s.say == SayLevel {
		s.level = math.Min(most, math.Max(0, s.level+gain*(float64(s.shed)/float64(max(1, s.seen))-allow)))
		v, least = s.level, 0.01
		s.seen, s.shed = 0, 0
		if unread > 1 {
			v = 1 // all that comes is too old when read; heard once, it holds a second or so
		}
	}
	if math.Abs(v-s.told) < least {
		return 0, false // too small a change to tell
	}
	s.told = v
	return v, true
}
