package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sorrelvalve/decision/health"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

const (
	twinServers    = 8
	twinRate       = 20.0 // RPCs a second at each server
	twinWork       = 40.0 // ms for each
	twinSeeds      = 24   // of the simulator for each schedule
	twinSettle     = 10 * time.Second
	twinAfterwards = 15 * time.Second // for which the load goes on after the last fault
)

// twinSchedules are played through processes and through the simulator.
var twinSchedules = []string{
	"2s split n0,n1,n2,n3|n4,n5,n6,n7\n10s heal",
	"2s kill n1,n5\n9s start n1,n5",
	"2s stop n2,n6\n8s cont n2,n6",
	"2s loss *>* 0.2\n3s cut n3>*\n10s heal",
	"1s kill n4\n3s split n0,n1,n4|n2,n3,n5,n6,n7\n8s start n4\n10s heal",
}

// twinResult is what a schedule came to.
type twinResult struct {
	settled float64 // s after the last fault until all views are complete
	served  float64 // share of the criticality
}

// FleetTwin is the experiment fleet-twin, the part of fleet-sim with processes.
func FleetTwin(o Options) (*Report, error) {
	r := &Report{Name: "fleet-twin", Header: []string{"what", "runs", "processes", "simulator"}}
	return r, runTwin(o, r)
}

// runTwin plays the same schedules through real processes and through the simulator.
func runTwin(o Options, r *Report) error {
	serve, err := fleetServerProcess()
	if err != nil {
		return err
	}
	schedules := twinSchedules
	if o.Quick {
		schedules = twinSchedules[2:3]
	}
	var processes, simulator twinResult // sums
	for i, text := range schedules {
		schedule, err := script.Parse(text, fleetsim.ServerNames(twinServers))
		if err != nil {
			return err
		}
		onProcesses, err := playOnProcesses(o, serve, schedule)
		if err != nil {
			return fmt.Errorf("processes, schedule %d: %w", i+1, err)
		}
		onSimulator := playOnSimulator(o, schedule)
		r.AddRow(fmt.Sprintf("schedule %d: s to settle, processes and simulator", i+1), twinSeeds, onProcesses.settled, onSimulator.settled)
		r.AddRow(fmt.Sprintf("schedule %d: criticality served, processes and simulator", i+1), twinSeeds, onProcesses.served, onSimulator.served)
		processes.settled += onProcesses.settled
		processes.served += onProcesses.served
		simulator.settled += onSimulator.settled
		simulator.served += onSimulator.served
	}
	if !o.Quick { // the time to settle of one schedule alone varies too much
		r.AddChecks(atMost("times to settle, processes off the simulator by", relativeDifference(processes.settled, simulator.settled), 0.15))
	}
	r.AddChecks(atMost("criticality served, processes off the simulator by", relativeDifference(processes.served, simulator.served), 0.15))
	return nil
}

// playOnSimulator is the mean over the seeds.
func playOnSimulator(o Options, schedule script.Script) twinResult {
	shifted := make(script.Script, len(schedule)) // processes have settled before the schedule begins
	for i, fault := range schedule {
		fault.At += twinSettle
		shifted[i] = fault
	}
	last := shifted[len(shifted)-1].At
	var settled, served [twinSeeds]float64
	inParallel(twinSeeds, func(i int) {
		result := fleetsim.New(fleetsim.Options{
			Servers:         twinServers,
			Zones:           2,
			Seed:            uint64(o.Seed)*1000 + uint64(i),
			DurationMs:      float64(last+twinAfterwards) / 1e6,
			RatePerServer:   twinRate,
			Cores:           2,
			MeanWorkMs:      twinWork,
			Script:          shifted,
			SingleAttempt:   true,
			HealthRules:     health.DefaultConfig,
			CheckIntervalMs: 50,
		}).Run()
		settled[i] = result.SettledMs / 1000
		served[i] = result.ServedWeight / result.OfferedWeight
	})
	return twinResult{settled: mean(settled[:]), served: mean(served[:])}
}

// playOnProcesses plays a schedule on real processes under load.
func playOnProcesses(o Options, serve func() testbed.Command, schedule script.Script) (result twinResult, err error) {
	rules := standin.NewInvariantChecker("topup-buy")
	fleet, err := testbed.New(testbed.Options{
		Names:        fleetsim.ServerNames(twinServers),
		Seed:         o.Seed,
		Zone:         func(i int) string { return fmt.Sprint("z", i%2) },
		Cores:        2,
		SettingsJSON: fleetSettings,
		Invariants:   rules,
		ServeCommand: serve,
	})
	if err != nil {
		return result, err
	}
	defer fleet.Close()
	if err := fleet.StartAll(); err != nil {
		return result, err
	}
	complete := testbed.ExpectView("whole", twinServers)
	if err := fleet.Await(awaitLimit, fleet.Names, complete); err != nil {
		return result, err
	}
	time.Sleep(3 * time.Second) // the slow starts are over
	ctx, cancel := context.WithCancel(context.Background())
	load := startTwinLoad(ctx, o, fleet, rules, schedule[len(schedule)-1].At+twinAfterwards)
	defer load.running.Wait()
	defer cancel()
	if err := fleet.Play(ctx, schedule); err != nil {
		return result, err
	}
	began := time.Now()
	if err := fleet.Await(awaitLimit, fleet.Names, complete); err != nil {
		return result, err
	}
	result.settled = time.Since(began).Seconds()
	load.running.Wait()
	result.served = load.criticality.share()
	return result, nil
}

// twinLoad is a load on all servers of a fleet.
type twinLoad struct {
	running     sync.WaitGroup
	mu          sync.Mutex
	criticality criticalityTally // complete once nothing runs
}

// startTwinLoad starts the load for a while, or until ctx ends.
func startTwinLoad(ctx context.Context, o Options, fleet *testbed.Bed, rules *standin.InvariantChecker, length time.Duration) *twinLoad {
	load := &twinLoad{}
	for i, name := range fleet.Names {
		load.running.Go(func() {
			router := standin.NewRouter(fleet.ListenAddr(name))
			defer router.Close()
			plan := standin.LoadPlan{
				Rate:     twinRate,
				Duration: length,
				Callers:  3,
				Seed:     o.Seed*100 + int64(i),
				Deadline: callDeadline,
				Kinds:    fleetMethods(twinWork),
			}
			samples := plan.Run(ctx, map[string]standin.Caller{"msgpack": router}, rules)
			load.mu.Lock()
			defer load.mu.Unlock()
			load.criticality.add(samples)
		})
	}
	return load
}
