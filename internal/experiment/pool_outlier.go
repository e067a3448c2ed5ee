package experiment

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
)

const (
	poolMembers    = 5
	memberCores    = 2
	poolWork       = 20.0 // ms, mean
	poolLoad       = 0.6  // of what all members together can do
	poolTarget     = 400 * time.Millisecond
	poolLookEvery  = 500 * time.Millisecond
	recoveredShare = 0.8 // of the others' mean, from which on a member that recovered has its part

	// What a retry budget may have saved up at the start: its floor for some seconds, and its share of some RPCs.
	retryFloorSaved = 10
	retryShareSaved = 100
)

// The load balancing that the experiment pools compares.
const (
	wayRoundRobin = "round robin, no ejection"
	wayValve      = "valve"
)

var poolMethods = []methodSpec{
	{name: "account-view", targetMs: 400, deadlineMs: 1000, criticality: 1, lateShare: 0.2},
	{name: "topup-buy", targetMs: 400, deadlineMs: 1000, criticality: 3, idempotencyKeyed: true, windowMs: 13584},
}

// poolMember is an application server on a machine of its own.
type poolMember struct {
	app     *standin.App
	machine *standin.Cores
}

// poolFault is one way in which the first member turns bad, and how it recovers.
type poolFault struct {
	name    string
	begin   func(poolMember) error
	recover func(poolMember) error
}

// appFault is a fault of the application server.
func appFault(name string, fault standin.Fault) poolFault {
	set := func(f standin.Fault) func(poolMember) error {
		return func(m poolMember) error {
			m.app.SetFault(f)
			return nil
		}
	}
	return poolFault{name, set(fault), set(standin.NoFault)}
}

var poolFaults = []poolFault{
	appFault("stalls", standin.HangAfterRead),
	appFault("fails at once", standin.ServerError),
	{
		"a tenth of the speed",
		func(m poolMember) error { m.machine.SetSpeed(0.1); return nil },
		func(m poolMember) error { m.machine.SetSpeed(1); return nil },
	},
	{
		"crashes",
		func(m poolMember) error { m.app.Stop(); return nil },
		func(m poolMember) error { return m.app.Start() },
	},
}

// poolPeriods are for how long each fault lasts, and the recovery from it.
type poolPeriods struct {
	fault    time.Duration
	recovery time.Duration
}

func (p poolPeriods) each() time.Duration  { return p.fault + p.recovery }
func (p poolPeriods) total() time.Duration { return time.Duration(len(poolFaults)) * p.each() }

// PoolOutlier is the experiment pools: five members, of which one turns bad in several ways and recovers. Both ways of
// choosing a member have the same members, faults and load.
func PoolOutlier(o Options) (*Report, error) {
	periods := poolPeriods{fault: 10 * time.Second, recovery: 15 * time.Second}
	if o.Quick {
		periods = poolPeriods{fault: 3 * time.Second, recovery: 7 * time.Second}
	}
	r := &Report{Name: "pools", Header: []string{"way", "trouble", "method", "RPCs", "ok in target", "ok late", "pushed back", "aborted", "lost", "p50 ms", "p99 ms"}}
	roundRobin := &poolRun{way: wayRoundRobin, options: o, periods: periods}
	valve := &poolRun{way: wayValve, options: o, periods: periods}
	runs := []*poolRun{roundRobin, valve}
	errs := make([]error, len(runs))
	var running sync.WaitGroup
	for i, run := range runs {
		running.Go(func() { errs[i] = run.run() })
	}
	running.Wait()
	chart := Chart{Name: "share", XLabel: "s", YLabel: "share of tries that the bad member gets"}
	for i, run := range runs {
		if errs[i] != nil {
			return nil, errs[i]
		}
		run.reportFaults(r)
		chart.Lines = append(chart.Lines, Line{Name: run.way, Points: run.share.Points})
	}
	r.Charts = append(r.Charts, chart)
	r.AddChecks(
		atLeast("ok in target", valve.okShare(), 0.99),
		above("better than round robin", valve.okShare(), roundRobin.okShare()),
		atMost("further tries", valve.retries, math.Floor(valve.retriesAllowed)),
		atMost("s until a recovered member has its part", valve.recoverySeconds, 10),
		atMost("in hand there, over the others' most", valve.overload, 1.5),
		atMost("second runs", float64(valve.invariants.DuplicateRuns), 0),
		atMost("RPCs without an answer", float64(valve.invariants.Unanswered), 0),
		atMost("RPCs with two", float64(valve.invariants.AnsweredTwice), 0),
	)
	return r, nil
}

// poolRun is one way of choosing a member, and what it came to.
type poolRun struct {
	way     string
	options Options
	periods poolPeriods
	cleanup cleanup

	rules   *standin.InvariantChecker
	pool    operator.Pool
	members []poolMember
	server  *inProcessServer

	samples         []standin.Sample
	invariants      standin.InvariantReport
	retries         float64
	retriesAllowed  float64
	recoverySeconds float64 // the longest time from a recovery to a full part of the load
	overload        float64 // the most in flight at the member after a recovery, over the others' most
	share           Line    // of the attempts that the first member gets, over time
}

func (w *poolRun) run() error {
	defer w.cleanup.run()
	w.rules = standin.NewInvariantChecker("topup-buy", "/topup-buy")
	return runSteps([]step{
		{"start the members", w.startMembers},
		{"start the server", w.startServer},
		{"load the server", w.loadServer},
	})
}

func (w *poolRun) startMembers() error {
	for range poolMembers {
		machine := standin.NewCores(memberCores, 8)
		w.cleanup.add(machine.Close)
		app, err := standin.NewApp(machine, standin.WorkFromBody, w.rules)
		if err != nil {
			return err
		}
		w.cleanup.add(app.Stop)
		w.members = append(w.members, poolMember{app, machine})
	}
	return nil
}

// startServer starts the server before the pool, and before an engine that has nothing to do.
func (w *poolRun) startServer() error {
	idle := standin.NewCores(poolMembers*memberCores, 8)
	w.cleanup.add(idle.Close)
	engine, err := standin.NewEngine(idle, standin.WorkFromBody, w.rules)
	if err != nil {
		return err
	}
	w.cleanup.add(engine.Close)
	var addresses []string
	for _, member := range w.members {
		addresses = append(addresses, member.app.Addr())
	}
	w.pool = defaultPool(addresses...)
	if w.way == wayRoundRobin {
		w.pool.RoundRobin = true
		w.pool.MaxFailures = 0
		w.pool.OutlierFactor = 0
	}
	file := routedFile(poolMethods)
	file.Pools = map[string]operator.Pool{"apps": w.pool}
	file.Methods = map[string]operator.Method{}
	for _, m := range poolMethods {
		file.Methods[m.name] = operator.Method{Pool: "apps", Path: "/" + m.name, Verb: "POST"}
	}
	settings, err := methodSettings(poolMethods, poolMembers*memberCores)
	if err != nil {
		return err
	}
	if w.server, err = startServer(settings, engine.Addr(), file); err != nil {
		return err
	}
	w.cleanup.add(w.server.close)
	return nil
}

// loadServer loads the server through all faults.
func (w *poolRun) loadServer() error {
	plan := standin.LoadPlan{
		Rate:     poolLoad * poolMembers * memberCores * 1000 / poolWork,
		Duration: w.periods.total(),
		Callers:  3,
		Seed:     w.options.Seed,
		Deadline: time.Second + waitPastDeadline,
		Kinds: []standin.RequestKind{
			{Method: "account-view", Share: 0.85, MeanWorkMs: poolWork},
			{Method: "topup-buy", Share: 0.15, MeanWorkMs: poolWork, WithToken: true},
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := time.Now()
	watched := make(chan error, 1)
	go func() { watched <- w.playFaults(ctx, began) }()
	router, web := standin.NewRouter(w.server.rpcAddress), standin.NewWebTier(w.server.webAddress, false)
	w.samples = plan.Run(ctx, map[string]standin.Caller{"msgpack": router, "uwsgi": web}, w.rules)
	router.Close()
	web.Close()
	if err := <-watched; err != nil {
		return err
	}
	w.invariants = w.rules.Report()
	attempts := w.server.pools.States()[0].Attempts
	w.retries = float64(attempts.Retries)
	retry := &w.pool.Retry
	w.retriesAllowed = retry.Share*float64(attempts.FirstAttempts) + retry.Floor*time.Since(began).Seconds() + retry.Floor*retryFloorSaved + retryShareSaved*retry.Share
	if len(w.samples) == 0 {
		return fmt.Errorf("%s: no samples", w.way)
	}
	return nil
}

// poolWatch is how far the faults are.
type poolWatch struct {
	next        int  // the fault that lasts, or that comes next
	faulty      bool // whether it lasts
	recoveredAt time.Time
	requests    []uint64 // by member, at the last look
}

// playFaults begins and ends the faults, and looks at the members after each period.
func (w *poolRun) playFaults(ctx context.Context, began time.Time) error {
	watch := &poolWatch{requests: make([]uint64, poolMembers)}
	for ctx.Err() == nil && time.Since(began) < w.periods.total() {
		if err := w.stepFaults(watch, time.Since(began)); err != nil {
			return err
		}
		time.Sleep(poolLookEvery)
		w.look(watch, began)
	}
	return nil
}

// stepFaults begins or ends a fault if its time has come.
func (w *poolRun) stepFaults(watch *poolWatch, elapsed time.Duration) error {
	first := w.members[0]
	if due := int(elapsed / w.periods.each()); due >= watch.next && !watch.faulty && due < len(poolFaults) {
		watch.next = due
		watch.faulty = true
		watch.recoveredAt = time.Time{}
		if err := poolFaults[due].begin(first); err != nil {
			return err
		}
	}
	if !watch.faulty || elapsed-time.Duration(watch.next)*w.periods.each() < w.periods.fault {
		return nil
	}
	if err := poolFaults[watch.next].recover(first); err != nil {
		return err
	}
	watch.faulty = false
	watch.next++
	watch.recoveredAt = time.Now()
	for _, member := range w.members {
		member.app.TakeMaxInFlight()
	}
	return nil
}

// look notes the first member's share of the attempts since the last look, and whether it has its part again.
func (w *poolRun) look(watch *poolWatch, began time.Time) {
	requests := w.requests()
	if len(requests) < poolMembers {
		return
	}
	first, others := float64(requests[0]-watch.requests[0]), 0.0
	for i := 1; i < poolMembers; i++ {
		others += float64(requests[i] - watch.requests[i])
	}
	watch.requests = requests
	w.share.add(time.Since(began).Seconds(), first/math.Max(1, first+others))
	if watch.recoveredAt.IsZero() {
		return
	}
	w.recoverySeconds = math.Max(w.recoverySeconds, time.Since(watch.recoveredAt).Seconds())
	if first < recoveredShare*others/(poolMembers-1) {
		return
	}
	var inFlight []float64
	for _, member := range w.members[1:] {
		inFlight = append(inFlight, float64(member.app.TakeMaxInFlight()))
	}
	w.overload = math.Max(w.overload, float64(w.members[0].app.TakeMaxInFlight())/math.Max(1, slices.Max(inFlight)))
	watch.recoveredAt = time.Time{}
}

// requests are those that the server has sent to each member so far.
func (w *poolRun) requests() (all []uint64) {
	for _, member := range w.members {
		for _, state := range w.server.pools.States()[0].Members {
			if state.Addr == member.app.Addr() {
				all = append(all, state.Requests)
			}
		}
	}
	return all
}

// okShare is the share of RPCs that were ok in target.
func (w *poolRun) okShare() float64 {
	ok := 0
	for _, sample := range w.samples {
		if sample.Outcome == standin.OK && sample.Latency <= poolTarget {
			ok++
		}
	}
	return float64(ok) / float64(len(w.samples))
}

// reportFaults adds a row for each fault and method.
func (w *poolRun) reportFaults(r *Report) {
	for i, fault := range poolFaults {
		from, to := time.Duration(i)*w.periods.each(), time.Duration(i+1)*w.periods.each()
		var during []standin.Sample
		for _, sample := range w.samples {
			if sample.Offset >= from && sample.Offset < to {
				during = append(during, sample)
			}
		}
		for _, row := range standin.Summarize(during, false, poolTarget) {
			r.AddRow(w.way, fault.name, row.Method, row.Calls, row.OnTimeShare, row.Late, row.Rejected, row.Aborted, row.Lost, row.P50, row.P99)
		}
	}
}
