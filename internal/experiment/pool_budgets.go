package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sorrelvalve/decision/quota"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

// What the processes share of a pool.
const (
	sharedRetries    = 10.0 // a second
	sharedBurst      = 16.0 // of retries
	sharedCalls      = 16.0 // in flight
	poolBudgetRate   = 20.0 // RPCs a second at each server
	minFailedCalls   = 100
	failingWork      = 5.0   // ms
	slowWork         = 400.0 // ms
	poolLeasesEnd    = 5 * time.Second
	poolBudgetsQuick = 4 * time.Second
	poolBudgetsLong  = 20 * time.Second
)

// poolBudgetExperiment is the part of fleet-budgets in which eight processes share retries and calls in flight at one
// service, which fails and then is slow.
type poolBudgetExperiment struct {
	options Options
	report  *Report
	cleanup cleanup
	length  time.Duration // of each load

	app   *standin.App
	fleet *testbed.Bed
}

func poolBudgetProcesses(o Options, r *Report) error {
	x := &poolBudgetExperiment{options: o, report: r, length: poolBudgetsQuick}
	if !o.Quick {
		x.length = poolBudgetsLong
	}
	defer x.cleanup.run()
	return runSteps([]step{
		{"start the service", x.startService},
		{"start the fleet", x.startFleet},
		{"load a failing service", x.loadFailing},
		{"load a slow service", x.loadSlow},
	})
}

func (x *poolBudgetExperiment) startService() (err error) {
	cores := standin.NewCores(8, 8)
	x.cleanup.add(cores.Close)
	if x.app, err = standin.NewApp(cores, standin.WorkFromBody, nil); err != nil {
		return err
	}
	x.cleanup.add(x.app.Stop)
	return nil
}

func (x *poolBudgetExperiment) startFleet() error {
	serve, err := fleetServerProcess()
	if err != nil {
		return err
	}
	pool := defaultPool(x.app.Addr())
	pool.MaxFailures = 0
	pool.OutlierFactor = 0
	pool.Retry = operator.Retry{Share: 1, Floor: 100, MaxAttempts: 3}
	x.fleet, err = testbed.New(testbed.Options{
		Names:        fleetsim.ServerNames(quotaServers),
		Seed:         x.options.Seed,
		Cores:        2,
		SettingsJSON: quotaSettings,
		ServeCommand: serve,
		Operator: operator.File{
			Pools:   map[string]operator.Pool{"apps": pool},
			Methods: map[string]operator.Method{"account-view": {Pool: "apps", Path: "/account", Verb: "GET"}},
			Budgets: &operator.Budgets{
				Servers:    quotaServers,
				ClockDrift: quota.DefaultClockDrift,
				Retries:    map[string]operator.Budget{"apps": {Bound: sharedRetries, Burst: sharedBurst, Floor: 0.2, MaxLeaseMs: quotaLeaseMs}},
				Calls:      map[string]operator.Budget{"apps": {Bound: sharedCalls, Floor: 1, MaxLeaseMs: 10000, LingerMs: 3000}},
			},
		},
	})
	if err != nil {
		return err
	}
	x.cleanup.add(x.fleet.Close)
	if err := x.fleet.StartAll(); err != nil {
		return err
	}
	if err := x.fleet.Await(awaitLimit, x.fleet.Names, testbed.ExpectView("whole", quotaServers)); err != nil {
		return err
	}
	time.Sleep(poolLeasesEnd) // slow starts, and what former incarnations may have granted
	return nil
}

// load sends RPCs of some work in ms to all servers.
func (x *poolBudgetExperiment) load(work float64) (samples []standin.Sample) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for i, name := range x.fleet.Names {
		running.Go(func() {
			router := standin.NewRouter(x.fleet.ListenAddr(name))
			defer router.Close()
			plan := standin.LoadPlan{
				Rate:      poolBudgetRate,
				Duration:  x.length,
				Callers:   3,
				Seed:      x.options.Seed*100 + int64(i),
				Deadline:  callDeadline,
				Customers: []string{quotaCustomer},
				Kinds:     []standin.RequestKind{{Method: "account-view", Share: 1, MeanWorkMs: work}},
			}
			got := plan.Run(context.Background(), map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker())
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, got...)
		})
	}
	running.Wait()
	return samples
}

// countOutcomes counts the samples of an outcome.
func countOutcomes(samples []standin.Sample, outcome standin.Outcome) (count int) {
	for _, sample := range samples {
		if sample.Outcome == outcome {
			count++
		}
	}
	return count
}

func (x *poolBudgetExperiment) loadFailing() error {
	x.app.SetFault(standin.ServerError)
	before := x.app.Received()
	began := time.Now()
	samples := x.load(failingWork)
	seconds := time.Since(began).Seconds()
	failed := countOutcomes(samples, standin.Aborted)
	retries := float64(x.app.Received() - before - failed)
	allowed := sharedRetries*seconds + sharedBurst
	x.report.AddRow(fmt.Sprintf("8 processes, a failing service: further tries; allowed by the fleet's budget in %.1f s", seconds), failed, retries, allowed)
	x.report.AddChecks(atMost("further tries to a failing service, of the fleet's budget", retries/allowed, 1))
	if retries == 0 || failed < minFailedCalls {
		return fmt.Errorf("a failing service: %d RPCs ran, %g further tries", failed, retries)
	}
	return nil
}

func (x *poolBudgetExperiment) loadSlow() error {
	x.app.SetFault(standin.NoFault)
	x.app.TakeMaxInFlight()
	samples := x.load(slowWork)
	maxInFlight := float64(x.app.TakeMaxInFlight())
	x.report.AddRow("8 processes, a slow service: calls in hand, the most; ok of all", len(samples), maxInFlight, countOutcomes(samples, standin.OK))
	x.report.AddChecks(atMost("calls in hand at a slow service, of the fleet's budget", maxInFlight/sharedCalls, 1))
	if maxInFlight < sharedCalls/2 {
		return fmt.Errorf("a slow service: %g calls in hand at the most", maxInFlight)
	}
	return nil
}
