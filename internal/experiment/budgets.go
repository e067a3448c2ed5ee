package experiment

// This file owns the experiment fleet-budgets: a customer's quota that simulated servers share, four ways side by side; and
// real processes that share one, and a pool's further tries and calls in hand, with faults between them. It must never
// count as served what a server did not let through.

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"gonum.org/v1/plot/plotter"

	"sorrelvalve/decision/quota"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

// budgetsOf is a bound that simulated servers share: 10 RPCs a second for each, and a quarter of a second's burst; callers
// stick to one server in a hundred, or to two, and move to others every ten seconds.
func budgetsOf(servers int, way fleetsim.QuotaScheme) *fleetsim.QuotaOptions {
	n := float64(servers)
	return &fleetsim.QuotaOptions{
		Scheme:        way,
		Rules:         quota.Limit{Kind: quota.Rate, Capacity: 10 * n, Burst: 2.5 * n, Servers: servers, Floor: 0.2, MaxLeaseDuration: quota.DefaultLeaseDuration, ClockDrift: quota.DefaultClockDrift},
		StickyServers: max(2, servers/100), RatePerCustomer: 12 * n, MoveIntervalMs: moveMs,
	}
}

const (
	moveMs   = 10e3
	settleIn = 2 // s after a move, from which on a customer's quota is to be served
)

// FleetBudgets is the experiment.
func FleetBudgets(o Options) (*Report, error) {
	r := &Report{Name: "fleet-budgets", Header: []string{"what", "runs", "value", "beside"}}
	if err := budgetWays(o, r); err != nil {
		return nil, err
	}
	// Side by side: the processes' load is light, and most of the time is waited for loans to end.
	if err := runPartsConcurrently(o, r, []func(Options, *Report) error{budgetProcesses, budgetPools}); err != nil {
		return nil, err
	}
	return r, budgetCost(o, r)
}

// budgetTroubles is the schedule of the simulated fleets: two moves in contact, the server to which callers move cut off, halves that don't hear each other over
// a move, lenders killed and back at once, a tenth stopped, and contact again.
func budgetTroubles(n int) string {
	some := func(from, to int) string {
		s := ""
		for i := from; i < to; i++ {
			s += fmt.Sprint(",n", i)
		}
		return s[1:]
	}
	cut := fmt.Sprint("n", hotAt(n, 3))
	return fmt.Sprintf("29s cut %s>*\n29s cut *>%s\n39s heal\n47s split %s|%s\n56s heal\n57s kill %s\n57100ms start %s\n59s stop %s\n65s cont %s",
		cut, cut, some(0, n/2), some(n/2, n), some(1, n/4), some(1, n/4), some(n/2, n/2+n/10), some(n/2, n/2+n/10))
}

// hotAt is the first server to which callers stick in a turn, as the simulator has it.
func hotAt(n, turn int) int { return turn * max(2, n/100) * 7 % n }

// budgetWays plays the same schedule by four ways of dividing a bound.
func budgetWays(o Options, r *Report) error {
	n, seeds := 300, 6
	if o.Quick {
		n, seeds = 100, 2
	}
	s, err := script.Parse(budgetTroubles(n), fleetsim.ServerNames(n))
	if err != nil {
		return err
	}
	const length = 90
	type got struct {
		w *fleetsim.Simulation
		r *fleetsim.Result
	}
	ways := []fleetsim.QuotaScheme{fleetsim.StaticSplit, fleetsim.GossipEstimates, fleetsim.CentralLeases, fleetsim.PeerLeases}
	all := make([][]got, len(ways))
	for i := range all {
		all[i] = make([]got, seeds)
	}
	inParallel(len(ways)*seeds, func(i int) {
		k, seed := i/seeds, i%seeds
		w := fleetsim.New(fleetsim.Options{Servers: n, Zones: 3, Seed: uint64(o.Seed*100) + uint64(seed), DurationMs: length * 1000, Script: s, Quota: budgetsOf(n, ways[k])})
		all[k][seed] = got{w, w.Run()}
	})
	chart := Chart{Name: "ways", XLabel: "s", YLabel: "let through a second, of the bound"}
	for k, way := range ways {
		b := budgetsOf(n, way)
		worst, contact, cut, sent, found := 0.0, 1.0, math.Inf(1), 0.0, 0
		line := Line{Name: way.String()}
		for i, x := range all[k] {
			worst = max(worst, x.w.PeakQuotaUse())
			for _, f := range x.r.Findings {
				if f.Checker == "budgets" {
					if found++; way == fleetsim.PeerLeases {
						fmt.Fprintln(o.Out, f)
					}
				}
			}
			served := func(from, to int) (sum float64) {
				for _, s := range x.w.QuotaSeries[from:to] {
					sum += float64(s.Admitted)
				}
				return sum / float64(to-from)
			}
			for _, move := range []int{10, 20, 70, 80} { // in contact; the first is long after the start
				contact = min(contact, served(move+settleIn, move+moveMs/1000)/b.Rules.Capacity)
			}
			alone := 0.0
			for _, s := range x.w.QuotaSeries[30:39] {
				alone += float64(s.AdmittedByServer[hotAt(n, 3)])
			}
			cut = min(cut, alone/9/b.Rules.Floor)
			sent = max(sent, float64(x.w.MaxQuotaMessages())/length)
			if i == 0 {
				for at, s := range x.w.QuotaSeries[:length] {
					line.Points = append(line.Points, plotter.XY{X: float64(at), Y: float64(s.Admitted) / b.Rules.Capacity})
				}
			}
		}
		chart.Lines = append(chart.Lines, line)
		r.AddRow(fmt.Sprintf("%d simulated servers, %s: most in any second over bound and burst", n, way), seeds, worst, fmt.Sprintf("%d findings", found))
		r.AddRow("  in contact, from 2 s after a move: served of the whole quota, the least", seeds, contact, "")
		r.AddRow("  cut off with all callers: served of its floor", seeds, cut, "")
		r.AddRow("  packets a second from a server, the most", seeds, sent, "")
		if way == fleetsim.PeerLeases {
			r.AddChecks(atMost("simulated: most in any second, over bound and burst", worst, 1))
			r.AddChecks(atMost("simulated: findings on the parts, the floors and the tables", float64(found), 0))
			r.AddChecks(atLeast("simulated: served of the whole quota from 2 s after a move", contact, 0.95))
			r.AddChecks(atLeast("simulated: served of its floor by a server cut off", cut, 0.9))
		}
	}
	r.Charts = append(r.Charts, chart)
	return nil
}

// The quota of the processes' customer, whose RPCs beyond it are pushed back.
const (
	quotaBound   = 200.0
	quotaBurst   = 40.0
	quotaFloor   = 0.5
	quotaLongest = 2000.0
	quotaLoad    = 260.0
	quotaServers = 8
)

const quotaSettings = `{"classes":[{"name":"account-view","aim":400000000,"give_up":1000000000,"worth":1,"late_worth":0.2}],
"customers":[{"name":"kaipara-wireless","quota_rps":200}],"over_share_worth":0,"replicas_of_me":8,
"family_info":{"callers":3,"cores":2,"ram_kb":4000000,"run_factor":4,"key_kb":1,"meters":["core_use","on_cores"]},
"client_habits":{"marks_retry":true},"limits":{"retry_after":true,"max_retry_after":1000000000},"tick":4000000,
"rules":{"answer_slack":80000000,"cold":1000000000,"drain_grace":300000000,"tip_multiple":8}}`

func quotaFile(floor float64) operator.File {
	return operator.File{Budgets: &operator.Budgets{Servers: quotaServers, ClockDrift: quota.DefaultClockDrift, Customers: map[string]operator.Budget{
		"kaipara-wireless": {Bound: quotaBound, Burst: quotaBurst, Floor: floor, MaxLeaseMs: quotaLongest},
	}}}
}

// quotaBed is processes that share the quota, and what ran on their engines.
type quotaBed struct {
	*testbed.Bed
	rules *standin.InvariantChecker
	seed  int64
	began time.Time
	mu    sync.Mutex
	ok    []time.Duration // answered ok, by when they were sent
}

func newQuotaBed(o Options, floor float64) (*quotaBed, error) {
	serve, err := fleetServerProcess()
	if err != nil {
		return nil, err
	}
	q := &quotaBed{rules: standin.NewInvariantChecker("account-view"), seed: o.Seed * 1000}
	q.Bed, err = testbed.New(testbed.Options{Names: fleetsim.ServerNames(quotaServers), Seed: o.Seed, Cores: 4, SettingsJSON: quotaSettings, Invariants: q.rules, Operator: quotaFile(floor),
		ServeCommand: serve})
	if err != nil {
		return nil, err
	}
	if err = q.StartAll(); err == nil {
		err = q.Await(awaitLimit, q.Names, testbed.ExpectView("whole", quotaServers))
	}
	if err != nil {
		q.Close()
		return nil, err
	}
	time.Sleep(2 * time.Duration(quotaLongest) * time.Millisecond) // ramps, and what a former life may have lent
	return q, nil
}

// load sends to one server for a while, and returns how many were answered ok a second from some time on.
func (q *quotaBed) load(name string, rate float64, length, from time.Duration) float64 {
	q.mu.Lock()
	q.seed++
	seed := q.seed
	q.mu.Unlock()
	router := standin.NewRouter(q.ListenAddr(name))
	defer router.Close()
	n := 0
	for _, s := range (standin.LoadPlan{Rate: rate, Duration: length, Callers: 3, Seed: seed, Deadline: 1200 * time.Millisecond, Customers: []string{"kaipara-wireless"},
		Kinds: []standin.RequestKind{{Method: "account-view", Share: 1, MeanWorkMs: 2}}}).Run(context.Background(), map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker()) {
		if s.Outcome == standin.OK && s.Offset >= from {
			n++
		}
	}
	return float64(n) / (length - from).Seconds()
}

// most is the most that ran in any second, over bound and burst.
func most(times []time.Time) float64 {
	n, from := 0, 0
	for to := range times {
		for times[to].Sub(times[from]) >= time.Second {
			from++
		}
		n = max(n, to-from+1)
	}
	return float64(n) / (quotaBound + quotaBurst)
}

// budgetProcesses has eight daemons share a quota, and eight others have fixed parts of it under the same load.
func budgetProcesses(o Options, r *Report) error {
	phase, rest, rounds := 4*time.Second, 3*time.Second, 1
	if !o.Quick {
		phase, rest, rounds = 10*time.Second, 20*time.Second, 3
	}
	beds := map[string]*quotaBed{}
	var mu sync.Mutex
	var starting sync.WaitGroup
	var failed error
	for way, floor := range map[string]float64{"lent": quotaFloor, "fixed": quotaBound / quotaServers} {
		starting.Go(func() {
			q, err := newQuotaBed(o, floor)
			mu.Lock()
			defer mu.Unlock()
			if beds[way] = q; err != nil {
				failed = err
			}
		})
	}
	starting.Wait()
	for _, q := range beds {
		if q != nil {
			defer q.Close()
		}
	}
	if failed != nil {
		return failed
	}
	q := beds["lent"]
	settle := settleIn * time.Second
	contact, fixed, floor, after := 1.0, 1.0, math.Inf(1), 1.0
	for round := range rounds {
		at := func(k int) string { return fmt.Sprint("n", (k+3*round)%quotaServers) }
		// In contact: the customer's callers stick to one server, and move to another.
		for k := range 2 {
			var both sync.WaitGroup
			both.Go(func() { contact = min(contact, q.load(at(5*k), quotaLoad, phase, settle)/quotaBound) })
			both.Go(func() { fixed = min(fixed, beds["fixed"].load(at(5*k), quotaLoad, phase, settle)/quotaBound) })
			both.Wait()
		}
		do := func(text string) error {
			s, err := script.Parse(text, q.Names)
			if err != nil {
				return err
			}
			return q.Play(context.Background(), s)
		}
		// The server that has borrowed all is cut off with its callers, and others come to another.
		if err := do(fmt.Sprintf("0s cut %s>*\n0s cut *>%s", at(5), at(5))); err != nil {
			return err
		}
		var cut sync.WaitGroup
		cut.Go(func() { floor = min(floor, q.load(at(5), quotaLoad, phase, 0)/quotaFloor) })
		cut.Go(func() { q.load(at(3), quotaLoad, phase, 0) })
		cut.Wait()
		if err := do("0s heal"); err != nil {
			return err
		}
		// Lenders are killed and back at once; who has borrowed is stopped for longer than a loan, and woken under load.
		var faults sync.WaitGroup
		var err error
		faults.Go(func() {
			err = do(fmt.Sprintf("500ms kill %s,%s\n600ms start %s,%s\n1s stop %s\n%dms cont %s", at(1), at(2), at(1), at(2), at(3), 1000+int(quotaLongest)+800, at(3)))
		})
		faults.Go(func() { q.load(at(3), quotaLoad, 6*time.Second, 0) })
		faults.Go(func() { q.load(at(6), quotaLoad, 6*time.Second, 0) })
		faults.Wait()
		if err != nil {
			return err
		}
		if err := q.Await(awaitLimit, q.Names, testbed.ExpectView("whole", quotaServers)); err != nil {
			return err
		}
		time.Sleep(2 * time.Duration(quotaLongest) * time.Millisecond)
		after = min(after, q.load(at(4), quotaLoad, phase, settle)/quotaBound)
	}
	times := q.rules.RunTimes()
	if len(times) == 0 {
		return fmt.Errorf("nothing ran")
	}
	time.Sleep(2 * time.Duration(quotaLongest) * time.Millisecond)
	before, err := readUsage(q.Bed)
	if err != nil {
		return err
	}
	time.Sleep(rest)
	now, err := readUsage(q.Bed)
	if err != nil {
		return err
	}
	packets, bytes := 0.0, 0.0
	for name := range now {
		packets = max(packets, float64(now[name].status.Budgets.PacketsSent-before[name].status.Budgets.PacketsSent)/rest.Seconds())
		bytes = max(bytes, float64(now[name].status.Traffic.BytesOut-before[name].status.Traffic.BytesOut)/rest.Seconds())
	}
	r.AddRow("8 processes: most that ran in any second over bound and burst, all phases", len(times), most(times), "")
	r.AddRow("in contact, from 2 s after a move: served of the whole quota, the least; fixed parts beside", 2*rounds, contact, fixed)
	r.AddRow("cut off with its callers: served of its floor", rounds, floor, "")
	r.AddRow("after lenders killed and a borrower stopped: served of the whole quota", rounds, after, "")
	r.AddRow("at rest: packets about loans, and bytes in all, a second from a server, the most", 1, packets, bytes)
	r.AddChecks(atMost("processes: most that ran in any second, over bound and burst", most(times), 1))
	r.AddChecks(atLeast("processes: served of the whole quota from 2 s after a move", contact, 0.95))
	r.AddChecks(above("processes: served, over fixed parts", contact, fixed))
	r.AddChecks(atLeast("processes: served of its floor by a server cut off", floor, 0.9))
	r.AddChecks(atLeast("processes: served again after the faults", after, 0.95))
	r.AddChecks(atMost("packets a second from a server at rest", packets, 5))
	return nil
}

// What the processes share of a pool.
const (
	poolRetries = 10.0 // a second
	poolBurst   = 16.0
	poolCalls   = 16.0
)

// budgetPools has eight daemons share further tries and calls in hand at one application server, which fails and then is slow.
func budgetPools(o Options, r *Report) error {
	length := 4 * time.Second
	if !o.Quick {
		length = 20 * time.Second
	}
	cores := standin.NewCores(8, 8)
	defer cores.Close()
	app, err := standin.NewApp(cores, standin.WorkFromBody, nil)
	if err != nil {
		return err
	}
	defer app.Stop()
	serve, err := fleetServerProcess()
	if err != nil {
		return err
	}
	p := Pool(app.Addr())
	p.MaxFailures, p.OutlierFactor, p.Retry = 0, 0, operator.Retry{Share: 1, Floor: 100, MaxAttempts: 3}
	names := fleetsim.ServerNames(quotaServers)
	b, err := testbed.New(testbed.Options{Names: names, Seed: o.Seed, Cores: 2, SettingsJSON: quotaSettings, ServeCommand: serve, Operator: operator.File{
		Pools: map[string]operator.Pool{"apps": p}, Methods: map[string]operator.Method{"account-view": {Pool: "apps", Path: "/account", Verb: "GET"}},
		Budgets: &operator.Budgets{Servers: quotaServers, ClockDrift: quota.DefaultClockDrift,
			Retries: map[string]operator.Budget{"apps": {Bound: poolRetries, Burst: poolBurst, Floor: 0.2, MaxLeaseMs: quotaLongest}},
			Calls:   map[string]operator.Budget{"apps": {Bound: poolCalls, Floor: 1, MaxLeaseMs: 10000, LingerMs: 3000}}},
	}})
	if err != nil {
		return err
	}
	defer b.Close()
	if err := b.StartAll(); err != nil {
		return err
	}
	if err := b.Await(awaitLimit, names, testbed.ExpectView("whole", quotaServers)); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // ramps, and what former lives may have lent
	load := func(rate, work float64) (samples []standin.Sample) {
		var mu sync.Mutex
		var all sync.WaitGroup
		for i, name := range names {
			all.Go(func() {
				router := standin.NewRouter(b.ListenAddr(name))
				defer router.Close()
				got := standin.LoadPlan{Rate: rate, Duration: length, Callers: 3, Seed: o.Seed*100 + int64(i), Deadline: 1200 * time.Millisecond, Customers: []string{"kaipara-wireless"},
					Kinds: []standin.RequestKind{{Method: "account-view", Share: 1, MeanWorkMs: work}}}.Run(context.Background(), map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker())
				mu.Lock()
				defer mu.Unlock()
				samples = append(samples, got...)
			})
		}
		all.Wait()
		return samples
	}
	app.SetFault(standin.ServerError)
	taken := app.Received()
	began := time.Now()
	samples := load(20, 5)
	over := time.Since(began).Seconds()
	ran := 0
	for _, s := range samples {
		if s.Outcome == standin.Aborted {
			ran++
		}
	}
	further := float64(app.Received() - taken - ran)
	allowed := poolRetries*over + poolBurst
	r.AddRow(fmt.Sprintf("8 processes, a failing service: further tries; allowed by the fleet's budget in %.1f s", over), ran, further, allowed)
	r.AddChecks(atMost("further tries to a failing service, of the fleet's budget", further/allowed, 1))
	if further == 0 || ran < 100 {
		return fmt.Errorf("a failing service: %d RPCs ran, %g further tries", ran, further)
	}
	app.SetFault(standin.NoFault)
	app.TakeMaxInFlight()
	samples = load(20, 400)
	ok := 0
	for _, s := range samples {
		if s.Outcome == standin.OK {
			ok++
		}
	}
	mostCalls := float64(app.TakeMaxInFlight())
	r.AddRow("8 processes, a slow service: calls in hand, the most; ok of all", len(samples), mostCalls, ok)
	r.AddChecks(atMost("calls in hand at a slow service, of the fleet's budget", mostCalls/poolCalls, 1))
	if mostCalls < poolCalls/2 {
		return fmt.Errorf("a slow service: %g calls in hand at the most", mostCalls)
	}
	return nil
}

// budgetCost is what an RPC pays for it, and a customer takes.
func budgetCost(o Options, r *Report) error {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	mesh := fleet.NewMemoryNetwork()
	defer mesh.Close()
	place := mesh.AddServer("n0")
	place.Log = logger.WithField("node", "n0")
	f, err := fleet.Start(place)
	if err != nil {
		return err
	}
	defer f.Crash()
	const customers, calls = 10000, 2000000
	all := map[string]operator.Budget{}
	names := make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
		all[names[i]] = operator.Budget{Bound: 1e6, Burst: 1e6, Floor: 1, MaxLeaseMs: quota.DefaultLeaseDuration}
	}
	b := f.ShareBudgets(&operator.Budgets{Servers: 300, ClockDrift: quota.DefaultClockDrift, Customers: all})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 2000 {
		b.CheckQuota("account-view", names[i], 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / 2000
	runtime.ReadMemStats(&before)
	began := time.Now()
	for i := range calls {
		b.CheckQuota("account-view", names[i%50], 1)
	}
	ns := float64(time.Since(began).Nanoseconds()) / calls
	runtime.ReadMemStats(&after)
	allocs := float64(after.Mallocs-before.Mallocs) / calls
	r.AddRow("cost for an RPC: ns; allocations", calls, ns, allocs)
	r.AddRow("bytes for a customer that sends", 2000, each, "")
	r.AddChecks(atMost("allocations for an RPC", math.Floor(allocs*100)/100, 0)) // the fleet's own ticks allocate beside
	return nil
}
