package experiment

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

const (
	outlierServers   = 8
	outlierRate      = 6.0 // RPCs a second at each server
	outlierTarget    = 200 * time.Millisecond
	outlierLookEvery = 100 * time.Millisecond
)

// outlierFleet is eight servers before application servers of their own, and the load on them.
type outlierFleet struct {
	*testbed.Bed
	apps  []*standin.App
	cores []*standin.Cores

	mu       sync.Mutex
	requests int
	inTarget int
}

// newOutlierFleet starts the servers, each for itself if alone. What was started is closed by the caller, also where
// there is an error.
func newOutlierFleet(o Options, alone bool) (*outlierFleet, error) {
	f := &outlierFleet{}
	serve, err := fleetServerProcess()
	if err != nil {
		return f, err
	}
	var addresses []string
	for range outlierMembers {
		cores := standin.NewCores(4, 8)
		f.cores = append(f.cores, cores)
		app, err := standin.NewApp(cores, standin.WorkFromBody, nil)
		if err != nil {
			return f, err
		}
		f.apps = append(f.apps, app)
		addresses = append(addresses, app.Addr())
	}
	pool := defaultPool(addresses...)
	pool.MaxConnections = 16
	pool.MaxQueued = 0
	pool.EjectionMs = 2000
	pool.RecoveryMs = 3000
	pool.Retry = operator.Retry{Share: 0.1, Floor: 1, MaxAttempts: 2}
	f.Bed, err = testbed.New(testbed.Options{
		Names:        fleetsim.ServerNames(outlierServers),
		Seed:         o.Seed,
		Cores:        2,
		SettingsJSON: strings.Replace(fleetSettings, `"worth":1},`, `"worth":1,"idempotency":"non_idempotent"},`, 1), // settings-save may not run twice
		NoFleet:      alone,
		ServeCommand: serve,
		Operator: operator.File{
			Pools: map[string]operator.Pool{"apps": pool},
			Methods: map[string]operator.Method{
				"account-view":  {Pool: "apps", Path: "/account", Verb: "GET"},
				"settings-save": {Pool: "apps", Path: "/settings", Verb: "POST"},
			},
		},
	})
	if err != nil {
		return f, err
	}
	if err := f.StartAll(); err != nil || alone {
		return f, err
	}
	return f, f.Await(awaitLimit, f.Names, testbed.ExpectView("whole", outlierServers))
}

func (f *outlierFleet) close() {
	if f.Bed != nil {
		f.Close()
	}
	for _, app := range f.apps {
		app.Stop()
	}
	for _, cores := range f.cores {
		cores.Close()
	}
}

// load sends to all servers for a while, or until ctx ends.
func (f *outlierFleet) load(ctx context.Context, seed int64, length time.Duration) {
	var running sync.WaitGroup
	for i, name := range f.Names {
		running.Go(func() {
			router := standin.NewRouter(f.ListenAddr(name))
			defer router.Close()
			plan := standin.LoadPlan{
				Rate:     outlierRate,
				Duration: length,
				Callers:  3,
				Seed:     seed*100 + int64(i),
				Deadline: callDeadline,
				Kinds:    []standin.RequestKind{{Method: "account-view", Share: 0.5, MeanWorkMs: 10}, {Method: "settings-save", Share: 0.5, MeanWorkMs: 10}},
			}
			f.count(plan.Run(ctx, map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker()))
		})
	}
	running.Wait()
}

func (f *outlierFleet) count(samples []standin.Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, sample := range samples {
		f.requests++
		if sample.Outcome == standin.OK && sample.Latency <= outlierTarget {
			f.inTarget++
		}
	}
}

// okShare is the share of RPCs that were ok in target.
func (f *outlierFleet) okShare() float64 { return float64(f.inTarget) / float64(max(1, f.requests)) }

// ejected counts the servers that have ejected a member, and the ejections of members that never had a fault.
func (f *outlierFleet) ejected(member string, faultyBefore []string) (servers, sound int) {
	for _, name := range f.Names {
		status, err := f.Status(name)
		if err != nil {
			continue
		}
		for _, pool := range status.Outliers {
			for _, m := range pool.Members {
				switch {
				case !m.Ejected:
				case m.Name == member:
					servers++
				case !slices.Contains(faultyBefore, m.Name):
					sound++
				}
			}
		}
	}
	return servers, sound
}

// outlierProcessExperiment is the part of fleet-judge with real processes: eight servers before ten application
// servers, once in a fleet and once each for itself, at the same time under the same load. The servers
// learn of the faults by their own observations only.
type outlierProcessExperiment struct {
	options Options
	report  *Report
	phase   time.Duration // for which a fault lasts, and the recovery from it
	fleets  [detectionModes]*outlierFleet

	loadCtx  context.Context
	stopLoad func() // waits for its end
	cleanup  cleanup

	faultyBefore   []string                // members that may still be on their way back
	attempts       [detectionModes]float64 // to members with a fault
	slowest        float64                 // s until a member was ejected at all servers
	falseEjections int                     // the most at a time
}

// memberFault is what a member does, and the faults between the servers meanwhile.
type memberFault struct {
	name     string
	fault    standin.Fault
	schedule string
}

var memberFaults = []memberFault{
	{"fails at once", standin.ServerError, ""},
	{"says nothing", standin.HangAfterRead, "0s loss *>* 0.1"},
}

func outlierProcesses(o Options, r *Report) error {
	x := &outlierProcessExperiment{options: o, report: r, phase: 5 * time.Second}
	if !o.Quick {
		x.phase = 15 * time.Second
	}
	defer x.cleanup.run()
	return runSteps([]step{
		{"start the fleets", x.startFleets},
		{"start the load", x.startLoad},
		{"play the faults", x.playFaults},
		{"report the faults", x.reportFaults},
	})
}

func (x *outlierProcessExperiment) startFleets() error {
	var errs [detectionModes]error
	var starting sync.WaitGroup
	for mode := range detectionModes {
		starting.Go(func() { x.fleets[mode], errs[mode] = newOutlierFleet(x.options, mode == detectAlone) })
	}
	starting.Wait()
	for _, fleet := range x.fleets {
		x.cleanup.add(fleet.close)
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // the slow starts are over
	return nil
}

func (x *outlierProcessExperiment) startLoad() error {
	length := time.Duration(len(memberFaults)) * 2 * x.phase
	ctx, cancel := context.WithTimeout(context.Background(), length+10*time.Second)
	x.loadCtx = ctx
	var running sync.WaitGroup
	for _, fleet := range x.fleets {
		running.Go(func() { fleet.load(ctx, x.options.Seed, length) })
	}
	x.stopLoad = running.Wait
	x.cleanup.add(func() {
		cancel()
		running.Wait()
	})
	return nil
}

func (x *outlierProcessExperiment) playFaults() error {
	for member, fault := range memberFaults {
		if err := x.playFault(member, fault); err != nil {
			return err
		}
		x.awaitRecovery(member)
	}
	x.stopLoad()
	return nil
}

// playFault gives a member a fault for a phase, and watches until when the fleet has ejected it.
func (x *outlierProcessExperiment) playFault(member int, f memberFault) error {
	shared := x.fleets[detectShared]
	if f.schedule != "" {
		schedule, err := script.Parse(f.schedule, shared.Names)
		if err != nil {
			return err
		}
		if err := shared.Play(x.loadCtx, schedule); err != nil {
			return err
		}
	}
	var before, attempts [detectionModes]int
	for mode, fleet := range x.fleets {
		before[mode] = fleet.apps[member].Received()
		fleet.apps[member].SetFault(f.fault)
	}
	took := x.watchEjection(member)
	for mode, fleet := range x.fleets {
		attempts[mode] = fleet.apps[member].Received() - before[mode]
		fleet.apps[member].SetFault(standin.NoFault)
		x.attempts[mode] += float64(attempts[mode])
	}
	shared.Network.Heal()
	x.slowest = max(x.slowest, took)
	x.report.AddRow(fmt.Sprintf("8 processes, a member %s: tries to it in %.0f s", f.name, x.phase.Seconds()),
		attempts[detectAlone], attempts[detectShared], fmt.Sprintf("out at all 8 after %.1f s", took))
	return nil
}

// watchEjection looks at the fleet for a phase, and returns after how many seconds all servers had ejected a member;
// those of the phase if they had not.
func (x *outlierProcessExperiment) watchEjection(member int) (took float64) {
	shared := x.fleets[detectShared]
	began := time.Now()
	took = x.phase.Seconds()
	seen := false
	for time.Since(began) < x.phase {
		servers, sound := shared.ejected(shared.apps[member].Addr(), x.faultyBefore)
		x.falseEjections = max(x.falseEjections, sound)
		if servers == outlierServers && !seen {
			seen = true
			took = time.Since(began).Seconds()
		}
		time.Sleep(outlierLookEvery)
	}
	return took
}

// awaitRecovery waits for a phase, and reports when no server had the member ejected any more.
func (x *outlierProcessExperiment) awaitRecovery(member int) {
	shared := x.fleets[detectShared]
	address := shared.apps[member].Addr()
	began := time.Now()
	back := x.phase.Seconds()
	for time.Since(began) < x.phase {
		if servers, _ := shared.ejected(address, x.faultyBefore); servers == 0 {
			back = time.Since(began).Seconds()
			break
		}
		time.Sleep(outlierLookEvery)
	}
	x.report.AddRow("  s until it is back everywhere", "", back, "")
	x.faultyBefore = append(x.faultyBefore, address)
	time.Sleep(time.Until(began.Add(x.phase)))
}

func (x *outlierProcessExperiment) reportFaults() error {
	alone, shared := x.fleets[detectAlone], x.fleets[detectShared]
	x.report.AddRow("8 processes: ok in target over all", alone.okShare(), shared.okShare(), fmt.Sprintf("%d RPCs", alone.requests+shared.requests))
	maxAttempts := 0.5
	if x.options.Quick { // two or three of five seconds pass until it is ejected, in which some ten attempts go there either way
		maxAttempts = 0.75
	}
	x.report.AddChecks(
		atMost("processes: s until a bad member is out at all", x.slowest, 4),
		atMost("processes: tries to a bad member, over each for itself", x.attempts[detectShared]/max(1, x.attempts[detectAlone]), maxAttempts),
		atMost("processes: sound members out at a time", float64(x.falseEjections), 0),
		atLeast("processes: ok in target over each for itself", shared.okShare()/alone.okShare(), 1),
	)
	if x.attempts[detectAlone] == 0 || alone.okShare() == 0 {
		return errors.New("the bad members got nothing, or nothing was ok")
	}
	return nil
}
