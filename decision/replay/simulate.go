package replay

// This file simulates the service under other settings than the recorded ones.

import (
	"errors"
	"io"
	"math"

	"sorrelvalve/control"
)

const (
	// initialWorkDivisor is the ratio of a method's latency objective to its assumed work until the work of a run is known;
	// the controller itself assumes the same.
	initialWorkDivisor = 6
	minWorkMS          = 0.001
	// settleMS is how long the simulation continues after the last deadline, so that all RPCs end.
	settleMS = 1000
)

// simulation is one run of Simulate.
type simulation struct {
	settings     *Settings
	controller   *control.Controller
	cpu          cpuModel
	steps        *lookahead
	inFlight     map[uint32]*rpcState
	arrivals     int
	onCompletion func(Completion)

	timerAt    float64 // +Inf for none
	timerLabel uint64

	pendingEvents []control.Event // to be handled at the current time, in order
	workByMethod  []workSum
	tokens        map[uint64]*cachedToken
	tokenExpiries []tokenExpiry // in the order in which the tokens were cached
}

// workSum sums up the recorded work of a method's runs.
type workSum struct{ ms, runs float64 }

// cachedToken is an idempotency token that the controller has cached.
type cachedToken struct {
	rpc       uint32
	until     float64
	completed bool
	ok        bool
	joined    []uint32 // duplicates that wait for the result
}

type tokenExpiry struct {
	at    float64
	token uint64
}

// Simulate replays the recorded arrivals, callers that left and drain notices, and reports the completion of each RPC under
// the settings. The work of a run is its recorded work if known, else its cost hint, else the mean of its method so far.
// Simulate returns the error of next unless that is io.EOF.
func Simulate(s *Settings, next func() (Step, error), onCompletion func(Completion)) error {
	cores := math.Max(1, float64(s.Node.Cores))
	sim := &simulation{
		settings:     s,
		controller:   s.newController(),
		cpu:          cpuModel{cores: cores},
		steps:        newLookahead(next, cores),
		inFlight:     map[uint32]*rpcState{},
		onCompletion: onCompletion,
		timerAt:      math.Inf(1),
		workByMethod: make([]workSum, len(s.Methods)),
		tokens:       map[uint64]*cachedToken{},
	}
	for first := true; ; first = false {
		step, err := sim.steps.step()
		if errors.Is(err, io.EOF) {
			sim.finish()
			return nil
		} else if err != nil {
			return err
		}
		if first {
			sim.cpu.now = step.Now
			sim.handle(step.Now, control.Event{Kind: control.Started})
			if step.Event.Kind == control.Started {
				continue
			}
		}
		sim.step(&step)
	}
}

// finish runs the simulation until all RPCs in flight have completed.
func (sim *simulation) finish() {
	limit := sim.cpu.now
	for _, rpc := range sim.inFlight {
		limit = math.Max(limit, rpc.due)
	}
	sim.advanceTo(limit + settleMS)
}

// step replays a recorded step.
func (sim *simulation) step(step *Step) {
	switch step.Event.Kind {
	case control.Arrived:
		sim.advanceTo(step.Now)
		sim.arrive(step)
	case control.CallerGone:
		sim.advanceTo(step.Now)
		sim.callerGone(step)
	case control.DrainNotice, control.DrainCancelled:
		sim.advanceTo(step.Now)
		sim.handle(step.Now, step.Event)
	}
}

func (sim *simulation) arrive(step *Step) {
	ev := step.Event
	rpc := sim.settings.newRPC(sim.arrivals, step.Now, &ev, step.Token)
	sim.arrivals++
	rpc.work = sim.workOf(&ev)
	sim.inFlight[ev.RPC] = rpc
	ev.DuplicateOf = 0 // the simulated token cache decides below
	if cached := sim.tokens[step.Token]; step.Token != 0 && cached != nil && rpc.arrived < cached.until {
		ev.DuplicateOf = cached.rpc
	}
	sim.handle(step.Now, ev)
}

func (sim *simulation) callerGone(step *Step) {
	rpc := sim.inFlight[step.Event.RPC]
	if rpc == nil || rpc.completed {
		return
	}
	rpc.complete(sim.onCompletion, step.Event.RPC, step.Now, CallerLeft)
	sim.handle(step.Now, step.Event)
	if !rpc.started && !rpc.joined {
		delete(sim.inFlight, step.Event.RPC)
	}
}

// workOf returns the work of an RPC's run in ms on one core.
func (sim *simulation) workOf(ev *control.Event) float64 {
	method := min(ev.Method, len(sim.workByMethod)-1)
	known := &sim.workByMethod[method]
	work, recorded := sim.steps.takeWork(ev.RPC)
	switch {
	case recorded:
		known.ms += work
		known.runs++
	case ev.CostHint > 0:
		work = ev.CostHint
	case known.runs > 0:
		work = known.ms / known.runs
	default:
		work = sim.settings.Methods[method].LatencyObjective / initialWorkDivisor
	}
	return math.Max(minWorkMS, work)
}

// advanceTo processes the ends of runs and the timers up to now.
func (sim *simulation) advanceTo(now float64) {
	for {
		completion := sim.cpu.nextCompletion()
		at := math.Min(completion, sim.timerAt)
		if at > now {
			break
		}
		at = math.Max(at, sim.cpu.now)
		timerFirst := sim.timerAt < completion
		sim.cpu.advance(at)
		if timerFirst {
			sim.fireTimer(at)
		} else {
			sim.completeRun(sim.cpu.finishFirst(), at, control.OutcomeOK)
		}
	}
	sim.cpu.advance(now)
}

func (sim *simulation) fireTimer(now float64) {
	sim.timerAt = math.Inf(1)
	sim.handle(now, control.Event{
		Kind:   control.TimerFired,
		Label:  sim.timerLabel,
		Gauges: control.Gauges{CPUUtilization: sim.cpu.utilization, Runnable: float64(len(sim.cpu.runs))},
	})
	sim.expireTokens(now)
}

// expireTokens removes tokens that have expired and whose RPC is not in flight.
func (sim *simulation) expireTokens(now float64) {
	for len(sim.tokenExpiries) > 0 && sim.tokenExpiries[0].at < now {
		expiry := sim.tokenExpiries[0]
		sim.tokenExpiries = sim.tokenExpiries[1:]
		cached := sim.tokens[expiry.token]
		if cached != nil && cached.until <= expiry.at && (cached.completed || sim.inFlight[cached.rpc] == nil) {
			delete(sim.tokens, expiry.token)
		}
	}
}

// completeRun completes an RPC whose run ended, and the RPCs that joined it.
func (sim *simulation) completeRun(id uint32, now float64, outcome control.Outcome) {
	rpc := sim.inFlight[id]
	if rpc == nil {
		return
	}
	delete(sim.inFlight, id)
	rpc.complete(sim.onCompletion, id, now, rpc.verdictFor(outcome, now))
	sim.handle(now, control.Event{Kind: control.Completed, RPC: id, Outcome: outcome, Elapsed: rpc.work})
	cached := sim.tokens[rpc.token]
	if rpc.token == 0 || cached == nil || cached.rpc != id {
		return
	}
	cached.completed = true
	cached.ok = outcome == control.OutcomeOK
	joined := cached.joined
	cached.joined = nil
	for _, other := range joined {
		sim.completeRun(other, now, outcome)
	}
}

// handle passes an event to the controller and carries out the resulting actions. Events that the actions cause are handled
// after it.
func (sim *simulation) handle(now float64, ev control.Event) {
	sim.pendingEvents = append(sim.pendingEvents, ev)
	if len(sim.pendingEvents) > 1 { // called from an action below, whose loop handles the event
		return
	}
	for i := 0; i < len(sim.pendingEvents); i++ {
		actions := append([]control.Action(nil), sim.controller.Handle(now, sim.pendingEvents[i])...) // a copy, since the next event overwrites the actions
		for k := range actions {
			sim.carryOut(now, &actions[k])
		}
	}
	sim.pendingEvents = sim.pendingEvents[:0]
}

func (sim *simulation) carryOut(now float64, a *control.Action) {
	if a.Kind == control.SetTimer {
		sim.timerAt = a.Time
		sim.timerLabel = a.Label
		return
	}
	rpc := sim.inFlight[a.RPC]
	if rpc == nil {
		return
	}
	switch a.Kind {
	case control.Run:
		rpc.started = true
		sim.cpu.start(a.RPC, rpc.work)
	case control.Reject:
		rpc.complete(sim.onCompletion, a.RPC, now, Rejected)
		delete(sim.inFlight, a.RPC)
	case control.Abort:
		rpc.complete(sim.onCompletion, a.RPC, now, Aborted)
		if !rpc.started {
			delete(sim.inFlight, a.RPC)
		}
	case control.CacheToken:
		sim.cacheToken(now, a, rpc)
	case control.EvictToken:
		if cached := sim.tokens[rpc.token]; cached != nil && cached.rpc == a.RPC {
			delete(sim.tokens, rpc.token)
		}
	case control.Join:
		sim.join(now, a.RPC, rpc)
	}
}

func (sim *simulation) cacheToken(now float64, a *control.Action, rpc *rpcState) {
	if rpc.token == 0 {
		return
	}
	until := math.Max(now+a.Time, rpc.arrived+sim.settings.Methods[rpc.method].DedupWindow)
	sim.tokens[rpc.token] = &cachedToken{rpc: a.RPC, until: until}
	sim.tokenExpiries = append(sim.tokenExpiries, tokenExpiry{at: until, token: rpc.token})
}

// join lets an RPC wait for the RPC that it duplicates, or completes it with the result of that RPC if there is one.
func (sim *simulation) join(now float64, id uint32, rpc *rpcState) {
	rpc.joined = true
	cached := sim.tokens[rpc.token]
	if cached != nil && !cached.completed {
		cached.joined = append(cached.joined, id)
		return
	}
	outcome := control.OutcomeError
	if cached != nil && cached.ok {
		outcome = control.OutcomeOK
	}
	delete(sim.inFlight, id)
	rpc.complete(sim.onCompletion, id, now, rpc.verdictFor(outcome, now))
	sim.pendingEvents = append(sim.pendingEvents, control.Event{Kind: control.Completed, RPC: id, Outcome: outcome})
}
