package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"sorrelvalve/decision/quota"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

// The quota of the processes' customer, whose RPCs beyond it are rejected.
const (
	quotaCustomer = "kaipara-wireless"
	quotaBound    = 200.0
	quotaBurst    = 40.0
	quotaFloor    = 0.5
	quotaLeaseMs  = 2000.0
	quotaLoad     = 260.0 // RPCs a second
	quotaServers  = 8
	quotaSettle   = settleSeconds * time.Second
	faultLoadFor  = 6 * time.Second

	// leasesEnd is when leases have ended that were granted before.
	leasesEnd = 2 * time.Duration(quotaLeaseMs) * time.Millisecond
)

const quotaSettings = `{"classes":[{"name":"account-view","aim":400000000,"give_up":1000000000,"worth":1,"late_worth":0.2}],
"customers":[{"name":"kaipara-wireless","quota_rps":200}],"over_share_worth":0,"replicas_of_me":8,
"family_info":{"callers":3,"cores":2,"ram_kb":4000000,"run_factor":4,"key_kb":1,"meters":["core_use","on_cores"]},
"client_habits":{"marks_retry":true},"limits":{"retry_after":true,"max_retry_after":1000000000},"tick":4000000,
"rules":{"answer_slack":80000000,"cold":1000000000,"drain_grace":300000000,"tip_multiple":8}}`

// quotaFleet is processes that share the quota, and what ran on their engines.
type quotaFleet struct {
	*testbed.Bed
	rules *standin.InvariantChecker

	mu   sync.Mutex
	seed int64 // of the last load
}

// newQuotaFleet starts the processes, each with a floor of the quota. What was started is closed by the caller, also
// where there is an error.
func newQuotaFleet(o Options, floor float64) (*quotaFleet, error) {
	f := &quotaFleet{rules: standin.NewInvariantChecker("account-view"), seed: o.Seed * 1000}
	serve, err := fleetServerProcess()
	if err != nil {
		return f, err
	}
	budget := operator.Budget{Bound: quotaBound, Burst: quotaBurst, Floor: floor, MaxLeaseMs: quotaLeaseMs}
	f.Bed, err = testbed.New(testbed.Options{
		Names:        fleetsim.ServerNames(quotaServers),
		Seed:         o.Seed,
		Cores:        4,
		SettingsJSON: quotaSettings,
		Invariants:   f.rules,
		ServeCommand: serve,
		Operator: operator.File{Budgets: &operator.Budgets{
			Servers:    quotaServers,
			ClockDrift: quota.DefaultClockDrift,
			Customers:  map[string]operator.Budget{quotaCustomer: budget},
		}},
	})
	if err != nil {
		return f, err
	}
	if err := f.StartAll(); err != nil {
		return f, err
	}
	if err := f.awaitComplete(); err != nil {
		return f, err
	}
	time.Sleep(leasesEnd) // slow starts, and what a former incarnation may have granted
	return f, nil
}

func (f *quotaFleet) close() {
	if f.Bed != nil {
		f.Close()
	}
}

func (f *quotaFleet) awaitComplete() error {
	return f.Await(awaitLimit, f.Names, testbed.ExpectView("whole", quotaServers))
}

// load sends to one server for a while, and returns how many were ok a second from some time on.
func (f *quotaFleet) load(name string, length, from time.Duration) float64 {
	f.mu.Lock()
	f.seed++
	seed := f.seed
	f.mu.Unlock()
	router := standin.NewRouter(f.ListenAddr(name))
	defer router.Close()
	plan := standin.LoadPlan{
		Rate:      quotaLoad,
		Duration:  length,
		Callers:   3,
		Seed:      seed,
		Deadline:  callDeadline,
		Customers: []string{quotaCustomer},
		Kinds:     []standin.RequestKind{{Method: "account-view", Share: 1, MeanWorkMs: 2}},
	}
	ok := 0
	for _, sample := range plan.Run(context.Background(), map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker()) {
		if sample.Outcome == standin.OK && sample.Offset >= from {
			ok++
		}
	}
	return float64(ok) / (length - from).Seconds()
}

// play takes the steps of a schedule at their times.
func (f *quotaFleet) play(schedule string) error {
	steps, err := script.Parse(schedule, f.Names)
	if err != nil {
		return err
	}
	return f.Play(context.Background(), steps)
}

// peakUse is the most that ran in any second, over bound and burst.
func peakUse(times []time.Time) float64 {
	largest, from := 0, 0
	for to := range times {
		for times[to].Sub(times[from]) >= time.Second {
			from++
		}
		largest = max(largest, to-from+1)
	}
	return float64(largest) / (quotaBound + quotaBurst)
}

// quotaProcessExperiment is the part of fleet-budgets in which eight processes share a quota by leases, and eight others
// have static parts of it under the same load.
type quotaProcessExperiment struct {
	report  *Report
	options Options
	cleanup cleanup

	rounds     int
	phase      time.Duration
	restPeriod time.Duration

	leased *quotaFleet
	static *quotaFleet

	runTimes     []time.Time // of all RPCs on the leased fleet's engines
	inContact    float64     // the least part of the quota that was served from 2 s after a move
	staticServed float64     // the same with static parts
	cutOff       float64     // the least part of its floor served by a server that was cut off
	afterFaults  float64     // the least part of the quota that was served after faults

	packets float64 // a second at rest, about leases, from the server that sends most
	bytes   float64 // a second at rest, in all
}

func quotaProcesses(o Options, r *Report) error {
	x := &quotaProcessExperiment{
		report:       r,
		options:      o,
		rounds:       1,
		phase:        4 * time.Second,
		restPeriod:   3 * time.Second,
		inContact:    1,
		staticServed: 1,
		cutOff:       math.Inf(1),
		afterFaults:  1,
	}
	if !o.Quick {
		x.rounds = 3
		x.phase = 10 * time.Second
		x.restPeriod = 20 * time.Second
	}
	defer x.cleanup.run()
	return runSteps([]step{
		{"start the fleets", x.startFleets},
		{"play the rounds", x.playRounds},
		{"measure at rest", x.measureAtRest},
		{"report the quota", x.reportQuota},
	})
}

func (x *quotaProcessExperiment) startFleets() error {
	var starting sync.WaitGroup
	var leasedErr, staticErr error
	starting.Go(func() { x.leased, leasedErr = newQuotaFleet(x.options, quotaFloor) })
	starting.Go(func() { x.static, staticErr = newQuotaFleet(x.options, quotaBound/quotaServers) })
	starting.Wait()
	x.cleanup.add(x.leased.close)
	x.cleanup.add(x.static.close)
	return errors.Join(leasedErr, staticErr)
}

func (x *quotaProcessExperiment) playRounds() error {
	for round := range x.rounds {
		server := func(i int) string { return fmt.Sprint("n", (i+3*round)%quotaServers) }
		x.moveCallers(server(0))
		x.moveCallers(server(5))
		if err := x.cutOffServer(server(5), server(3)); err != nil {
			return err
		}
		if err := x.playFaults(server(1)+","+server(2), server(3), server(6)); err != nil {
			return err
		}
		x.afterFaults = min(x.afterFaults, x.leased.load(server(4), x.phase, quotaSettle)/quotaBound)
	}
	return nil
}

// moveCallers has the customer's callers stick to one server of either fleet for a phase, in contact.
func (x *quotaProcessExperiment) moveCallers(server string) {
	var loads sync.WaitGroup
	loads.Go(func() {
		x.inContact = min(x.inContact, x.leased.load(server, x.phase, quotaSettle)/quotaBound)
	})
	loads.Go(func() {
		x.staticServed = min(x.staticServed, x.static.load(server, x.phase, quotaSettle)/quotaBound)
	})
	loads.Wait()
}

// cutOffServer cuts off the server that holds all leases with its callers, and has others come to another.
func (x *quotaProcessExperiment) cutOffServer(holder, other string) error {
	if err := x.leased.play(fmt.Sprintf("0s cut %s>*\n0s cut *>%s", holder, holder)); err != nil {
		return err
	}
	var loads sync.WaitGroup
	loads.Go(func() { x.cutOff = min(x.cutOff, x.leased.load(holder, x.phase, 0)/quotaFloor) })
	loads.Go(func() { x.leased.load(other, x.phase, 0) })
	loads.Wait()
	return x.leased.play("0s heal")
}

// playFaults kills grantors, which are back at once, and stops the server that holds their leases for longer than a
// lease; it resumes under load. It returns once all views are complete again, and leases have ended.
func (x *quotaProcessExperiment) playFaults(grantors, holder, other string) error {
	wakes := 1000 + int(quotaLeaseMs) + 800
	schedule := fmt.Sprintf("500ms kill %s\n600ms start %s\n1s stop %s\n%dms cont %s", grantors, grantors, holder, wakes, holder)
	var running sync.WaitGroup
	var err error
	running.Go(func() { err = x.leased.play(schedule) })
	running.Go(func() { x.leased.load(holder, faultLoadFor, 0) })
	running.Go(func() { x.leased.load(other, faultLoadFor, 0) })
	running.Wait()
	if err != nil {
		return err
	}
	if err := x.leased.awaitComplete(); err != nil {
		return err
	}
	time.Sleep(leasesEnd)
	return nil
}

// measureAtRest measures the traffic of servers that hold no leases.
func (x *quotaProcessExperiment) measureAtRest() error {
	x.runTimes = x.leased.rules.RunTimes()
	if len(x.runTimes) == 0 {
		return errors.New("nothing ran")
	}
	time.Sleep(leasesEnd)
	before, err := readUsage(x.leased.Bed)
	if err != nil {
		return err
	}
	time.Sleep(x.restPeriod)
	after, err := readUsage(x.leased.Bed)
	if err != nil {
		return err
	}
	seconds := x.restPeriod.Seconds()
	for name := range after {
		from, to := before[name].status, after[name].status
		x.packets = max(x.packets, float64(to.Budgets.PacketsSent-from.Budgets.PacketsSent)/seconds)
		x.bytes = max(x.bytes, float64(to.Traffic.BytesOut-from.Traffic.BytesOut)/seconds)
	}
	return nil
}

func (x *quotaProcessExperiment) reportQuota() error {
	r := x.report
	peak := peakUse(x.runTimes)
	r.AddRow("8 processes: most that ran in any second over bound and burst, all phases", len(x.runTimes), peak, "")
	r.AddRow("in contact, from 2 s after a move: served of the whole quota, the least; fixed parts beside", 2*x.rounds, x.inContact, x.staticServed)
	r.AddRow("cut off with its callers: served of its floor", x.rounds, x.cutOff, "")
	r.AddRow("after lenders killed and a borrower stopped: served of the whole quota", x.rounds, x.afterFaults, "")
	r.AddRow("at rest: packets about loans, and bytes in all, a second from a server, the most", 1, x.packets, x.bytes)
	r.AddChecks(
		atMost("processes: most that ran in any second, over bound and burst", peak, 1),
		atLeast("processes: served of the whole quota from 2 s after a move", x.inContact, 0.95),
		above("processes: served, over fixed parts", x.inContact, x.staticServed),
		atLeast("processes: served of its floor by a server cut off", x.cutOff, 0.9),
		atLeast("processes: served again after the faults", x.afterFaults, 0.95),
		atMost("packets a second from a server at rest", x.packets, 5),
	)
	return nil
}
