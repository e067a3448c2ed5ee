package experiment

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/permitclient"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

const (
	drainServers     = 6
	drainLimit       = 1.0
	drainLoad        = 0.7  // of what all can do
	drainWork        = 20.0 // ms for an RPC
	drainCores       = 2    // of each server's engine
	drainPoolMembers = 4
)

// drainExperiment is fleet-drain: an entire fleet of processes drained one after another by permits, under load, with
// faults at the permit servers and between the servers, beside the same fleet without drains. Who was out, and when, is
// read from the servers' own logs: the permit servers are not asked about it.
type drainExperiment struct {
	options     Options
	report      *Report
	rolls       int           // how often the entire fleet is drained
	rollTimeout time.Duration // after which a roll without progress fails
	cleanup     cleanup
	ctx         context.Context

	permits       *permitServers
	client        *permitclient.Client
	serverProcess func() testbed.Command
	drained       *drainFleet
	undrained     *drainFleet

	stopLoad   func() // ends the load and waits for it
	stopFaults func() // ends what goes on beside, and waits for it

	rollTook      []time.Duration
	tooEarly      int // answers that a server may not drain yet
	kills         killLog
	halts         haltLog // written by one goroutine, read once it has ended
	memberDrains  memberDrainLog
	serverHistory serverHistory
}

// drainFleet is one of the two fleets, with the pool below it and the load on it.
type drainFleet struct {
	*testbed.Bed
	rules       *standin.InvariantChecker
	apps        []*standin.App
	members     []string // addresses of the apps
	caller      *failoverCaller
	criticality criticalityTally // once the load has ended
}

// FleetDrain is the experiment fleet-drain.
func FleetDrain(o Options) (*Report, error) {
	x := &drainExperiment{
		options:     o,
		report:      &Report{Name: "fleet-drain", Header: []string{"what", "value", "beside"}},
		rolls:       1,
		rollTimeout: 30 * time.Second,
	}
	if !o.Quick {
		x.rolls = 4
		x.rollTimeout = 60 * time.Second
	}
	defer x.cleanup.run()
	err := runSteps([]step{
		{"start the permit servers", x.startPermitServers},
		{"start the pool of the drained fleet", x.startDrainedPool},
		{"set the roster", x.setRoster},
		{"start the drained fleet", x.startDrainedFleet},
		{"start the undrained fleet", x.startUndrainedFleet},
		{"await both fleets", x.awaitFleets},
		{"start the load", x.startLoad},
		{"start the faults", x.startFaults},
		{"drain server after server", x.rollThroughFleet},
		{"stop the load and the faults", x.stopAll},
		{"read the servers' logs", x.readLogs},
		{"report the drains", x.reportDrains},
		{"measure the permit servers", func() error { return grants(o, x.report) }},
		{"check the drains", x.checkDrains},
	})
	return x.report, err
}

func (x *drainExperiment) startPermitServers() error {
	dir, err := os.MkdirTemp("", "keep")
	if err != nil {
		return err
	}
	x.cleanup.add(func() { _ = os.RemoveAll(dir) }) // a temporary folder that stays does no harm
	if x.permits, err = startPermitServers(dir); err != nil {
		return err
	}
	x.cleanup.add(x.permits.close)
	x.client = permitclient.New(x.permits.addresses)
	x.cleanup.add(x.client.Close)
	x.serverProcess, err = fleetServerProcess()
	return err
}

func (x *drainExperiment) startDrainedPool() (err error) {
	x.drained, err = x.newDrainFleet()
	return err
}

// newDrainFleet starts the application servers of one fleet.
func (x *drainExperiment) newDrainFleet() (*drainFleet, error) {
	f := &drainFleet{rules: standin.NewInvariantChecker("topup-buy")}
	cores := standin.NewCores(16, 8)
	x.cleanup.add(cores.Close)
	for range drainPoolMembers {
		app, err := standin.NewApp(cores, standin.WorkFromBody, nil)
		if err != nil {
			return nil, err
		}
		x.cleanup.add(app.Stop)
		f.apps = append(f.apps, app)
		f.members = append(f.members, app.Addr())
	}
	return f, nil
}

func (x *drainExperiment) setRoster() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(x.rolls)*x.rollTimeout+2*awaitLimit)
	x.ctx = ctx
	x.cleanup.add(cancel)
	var servers []permit.Server
	for _, name := range fleetsim.ServerNames(drainServers) {
		servers = append(servers, permit.Server{Name: name})
	}
	var members []permit.Member
	for _, address := range x.drained.members {
		members = append(members, permit.Member{Pool: "apps", Name: address})
	}
	limits := &permit.Limits{Fleet: permit.Limit{MaxCount: drainLimit}, Pools: map[string]permit.Limit{"apps": {MaxCount: 1}}}
	return setRoster(ctx, x.client, permit.Command{Servers: servers, Members: members, Limits: limits})
}

// setRoster has the permit servers take a roster.
func setRoster(ctx context.Context, client *permitclient.Client, roster permit.Command) error {
	roster.ID = "roster"
	roster.Kind = permit.Configure
	answer, err := client.Do(ctx, roster)
	if err != nil {
		return fmt.Errorf("roster: %w", err)
	}
	if !answer.OK {
		return fmt.Errorf("roster: rejected: %+v", answer)
	}
	return nil
}

func (x *drainExperiment) startDrainedFleet() error {
	return x.start(x.drained, x.options.Seed, x.permits.addresses)
}

func (x *drainExperiment) startUndrainedFleet() (err error) {
	// A pool of its own: what is drained in the one is in use in the other.
	if x.undrained, err = x.newDrainFleet(); err != nil {
		return err
	}
	return x.start(x.undrained, x.options.Seed+1, nil)
}

// start starts the servers of a fleet; permitServers is nil for one without drains.
func (x *drainExperiment) start(f *drainFleet, seed int64, permitServers []string) (err error) {
	pool := defaultPool(f.members...)
	pool.MaxQueued = 0
	pool.RecoveryMs = 2000
	f.Bed, err = testbed.New(testbed.Options{
		Names:         fleetsim.ServerNames(drainServers),
		Seed:          seed,
		Cores:         drainCores,
		SettingsJSON:  fleetSettings,
		Invariants:    f.rules,
		PermitServers: permitServers,
		ServeCommand:  x.serverProcess,
		Operator: operator.File{
			Pools:   map[string]operator.Pool{"apps": pool},
			Methods: map[string]operator.Method{"settings-save": {Pool: "apps", Path: "/settings", Verb: "POST"}},
		},
	})
	if err != nil {
		return err
	}
	x.cleanup.add(f.Close)
	return f.StartAll()
}

func (x *drainExperiment) awaitFleets() error {
	for _, f := range x.fleets() {
		if err := f.Await(awaitLimit, f.Names, testbed.ExpectView("whole", drainServers)); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // the slow starts are over
	return nil
}

func (x *drainExperiment) fleets() []*drainFleet { return []*drainFleet{x.drained, x.undrained} }

func (x *drainExperiment) startLoad() error {
	ctx, cancel := context.WithCancel(x.ctx)
	var running sync.WaitGroup
	for _, f := range x.fleets() {
		f.caller = newFailoverCaller(f.Bed)
		x.cleanup.add(f.caller.Close)
		plan := standin.LoadPlan{
			Rate:     drainLoad * drainServers * drainCores * 1000 / drainWork,
			Duration: time.Hour,
			Callers:  3,
			Seed:     x.options.Seed,
			Deadline: callDeadline,
			Kinds:    fleetMethods(drainWork),
		}
		running.Go(func() {
			f.criticality.add(plan.Run(ctx, map[string]standin.Caller{"msgpack": f.caller}, f.rules))
		})
	}
	x.stopLoad = func() {
		cancel()
		running.Wait()
	}
	x.cleanup.add(x.stopLoad)
	return nil
}

// rollThroughFleet drains each server as soon as the permit servers allow it, one roll after another.
func (x *drainExperiment) rollThroughFleet() error {
	for range x.rolls {
		began := time.Now()
		for _, name := range x.drained.Names {
			if err := x.drainServer(name, began); err != nil {
				return err
			}
		}
		x.rollTook = append(x.rollTook, time.Since(began))
	}
	time.Sleep(2 * time.Second)
	return nil
}

// drainServer asks until the server may drain. The roll began at a time.
func (x *drainExperiment) drainServer(name string, rollBegan time.Time) error {
	for {
		err := fleet.RequestDrain(x.ctx, x.drained.Socket(name), fleet.DrainCommand{Operator: "lab", Reason: "roll"})
		if err == nil {
			return nil
		}
		x.tooEarly++
		if time.Since(rollBegan) > x.rollTimeout || x.ctx.Err() != nil {
			return fmt.Errorf("the roll stands still at %s after %s: %w", name, time.Since(rollBegan), err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (x *drainExperiment) stopAll() error {
	x.stopLoad()
	x.stopFaults()
	return nil
}

func (x *drainExperiment) readLogs() (err error) {
	x.serverHistory, err = readServerHistory(x.drained.Bed)
	return err
}

func (x *drainExperiment) reportDrains() error {
	r, h := x.report, &x.serverHistory
	_, longestRoll := medianAndMax(x.rollTook)
	r.AddRow(fmt.Sprintf("%d servers, limit %g, %d rolls: drains begun; answers that it may not yet", drainServers, drainLimit, x.rolls), len(h.drains), x.tooEarly)
	r.AddRow("s for a roll, the longest", longestRoll, "")
	r.AddRow("most out by intent at a time, by the servers' own logs, from begun to back and warm", maxOverlapping(h.drains), "")
	r.AddRow("criticality served with drains; without", x.drained.criticality.share(), x.undrained.criticality.share())
	r.AddRow("RPCs whose connection ended without an answer; second effects", x.drained.caller.lost.Load(), x.drained.rules.Report().DuplicateRuns)
	r.AddRow("servers killed; RPCs that they had in hand", x.kills.count(), x.drained.caller.killed.Load())
	if len(x.halts.knownAfter) > 0 {
		longestHalt := slices.Max(x.halts.knownAfter)
		r.AddRow("halts; s until all heard servers know, p50", len(x.halts.knownAfter), standin.Quantile(x.halts.knownAfter, 0.5))
		r.AddRow("  the longest", longestHalt, "")
		r.AddChecks(atMost("s until a halt is known at all heard servers", longestHalt, 1.25))
	}
	r.AddRow("members of the pool drained; s until all servers leave it alone, the longest", x.memberDrains.drained, x.memberDrains.maxSeconds)
	r.AddRow("  RPCs to them from then on", x.memberDrains.callsAfter, "")
	return nil
}

func (x *drainExperiment) checkDrains() error {
	h := &x.serverHistory
	x.report.AddChecks(
		atMost("out by intent at a time", float64(maxOverlapping(h.drains)), drainLimit),
		atMost("begun while a loss used the allowance up", float64(h.drainsAfterLoss(x.kills.all)), 0),
		atMost("begun while halted", float64(h.drainsWithin(x.halts.periods)), 0),
		atLeast("halts", float64(len(x.halts.knownAfter)), 1),
		atLeast("servers killed", float64(x.kills.count()), 1),
		atLeast("members drained", x.memberDrains.drained, 1),
		atMost("RPCs to drained members", x.memberDrains.callsAfter, 0),
		atLeast("drains begun", float64(len(h.drains)), float64(x.rolls*drainServers)),
		atMost("RPCs lost", float64(x.drained.caller.lost.Load()), 0),
		atMost("second effects", float64(x.drained.rules.Report().DuplicateRuns), 0),
		atLeast("criticality served, of that without drains", x.drained.criticality.share()/x.undrained.criticality.share(), 0.98),
	)
	return nil
}
