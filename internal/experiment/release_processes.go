package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/permitclient"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

const (
	releaseServers = 8
	releaseRate    = 40.0 // RPCs a second for each server
	releaseLimit   = 3 * time.Minute
	phaseLimit     = 50 * time.Second // after which a release that is not in a phase fails
	planLength     = 500 * time.Millisecond
)

// processReleases is the part of fleet-release with processes: a good and a bad version to eight of them in waves, with
// the permit servers' leader lost, and the bad one at once to eight others.
type processReleases struct {
	options Options
	report  *Report
	cleanup cleanup
	ctx     context.Context

	dir      string
	permits  *permitServers
	client   *permitclient.Client
	commands int // given to the permit servers so far

	firstApp  *standin.App
	goodApp   *standin.App
	badApp    *standin.App
	inWaves   *testbed.Bed
	atOnce    *testbed.Bed
	load      releaseLoad
	atRest    releaseShares
	good      releaseShares
	bad       releaseShares
	goodTook  time.Duration
	badTook   time.Duration
	badBefore int // calls that had reached the bad version's service before its release
	notBefore int // servers that do not run the version of before
}

// releaseShares are the shares of RPCs that were ok.
type releaseShares struct {
	inWaves float64
	atOnce  float64
}

func releaseProcesses(o Options, r *Report) error {
	x := &processReleases{options: o, report: r}
	defer x.cleanup.run()
	return runSteps([]step{
		{"start the permit servers", x.startPermitServers},
		{"start the services", x.startServices},
		{"start the fleets", x.startFleets},
		{"set the roster", x.setRoster},
		{"start the load", x.startLoad},
		{"measure at rest", x.measureAtRest},
		{"release a good version", x.releaseGood},
		{"release a bad version", x.releaseBad},
		{"look for servers on another version", x.findVersions},
		{"report the releases", x.reportReleases},
	})
}

func (x *processReleases) startPermitServers() (err error) {
	if x.dir, err = os.MkdirTemp("", "rel"); err != nil {
		return err
	}
	x.cleanup.add(func() { _ = os.RemoveAll(x.dir) }) // a temporary folder that stays does no harm
	if x.permits, err = startPermitServers(x.dir); err != nil {
		return err
	}
	x.cleanup.add(x.permits.close)
	return nil
}

// startServices starts a service for each version. That of the bad one fails.
func (x *processReleases) startServices() (err error) {
	cores := standin.NewCores(16, 8)
	x.cleanup.add(cores.Close)
	for _, app := range []**standin.App{&x.firstApp, &x.goodApp, &x.badApp} {
		if *app, err = standin.NewApp(cores, standin.WorkFromBody, nil); err != nil {
			return err
		}
		x.cleanup.add((*app).Stop)
	}
	x.badApp.SetFault(standin.ServerError)
	return nil
}

// releaseFile is a version of the operator's file, whose pool is one service.
func releaseFile(version string, app *standin.App) operator.File {
	pool := defaultPool(app.Addr())
	pool.MaxFailures = 0
	pool.MaxQueued = 0
	pool.Retry.MaxAttempts = 1
	return operator.File{
		Version: version,
		Pools:   map[string]operator.Pool{"apps": pool},
		Methods: map[string]operator.Method{"account-view": {Pool: "apps", Path: "/account", Verb: "GET"}},
	}
}

func releaseZone(server int) string { return fmt.Sprint("z", server%2) }

func (x *processReleases) startFleets() (err error) {
	serve, err := fleetServerProcess()
	if err != nil {
		return err
	}
	options := testbed.Options{
		Names:        fleetsim.ServerNames(releaseServers),
		Cores:        2,
		SettingsJSON: fleetSettings,
		Operator:     releaseFile("one", x.firstApp),
		Zone:         releaseZone,
		ServeCommand: serve,
	}
	inWaves := options
	inWaves.Seed = x.options.Seed
	inWaves.PermitServers = x.permits.addresses
	inWaves.VersionDir = x.dir
	if x.inWaves, err = x.startFleet(inWaves); err != nil {
		return err
	}
	atOnce := options
	atOnce.Seed = x.options.Seed + 1
	x.atOnce, err = x.startFleet(atOnce)
	return err
}

func (x *processReleases) startFleet(options testbed.Options) (*testbed.Bed, error) {
	fleet, err := testbed.New(options)
	if err != nil {
		return nil, err
	}
	x.cleanup.add(fleet.Close)
	if err := fleet.StartAll(); err != nil {
		return nil, err
	}
	return fleet, fleet.Await(awaitLimit, fleet.Names, testbed.ExpectView("whole", releaseServers))
}

func (x *processReleases) setRoster() error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	x.ctx = ctx
	x.cleanup.add(cancel)
	x.client = permitclient.New(x.permits.addresses)
	x.cleanup.add(x.client.Close)
	var servers []permit.Server
	for i, name := range fleetsim.ServerNames(releaseServers) {
		servers = append(servers, permit.Server{Name: name, Zone: releaseZone(i)})
	}
	limits := &permit.Limits{Fleet: permit.Limit{MaxCount: releaseServers}}
	return setRoster(ctx, x.client, permit.Command{Servers: servers, Limits: limits})
}

// releaseLoad counts the RPCs of both fleets as they end.
type releaseLoad struct {
	mu    sync.Mutex
	ok    [2]float64 // in waves, at once
	ended [2]float64
}

func (l *releaseLoad) add(fleet int, samples []standin.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sample := range samples {
		if canceledByLoad(sample) {
			continue
		}
		l.ended[fleet]++
		if sample.Outcome == standin.OK {
			l.ok[fleet]++
		}
	}
}

func (l *releaseLoad) counts() (ok, ended [2]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ok, l.ended
}

// during returns the shares that were ok while f ran.
func (l *releaseLoad) during(f func() error) (releaseShares, error) {
	time.Sleep(time.Second)
	okBefore, endedBefore := l.counts()
	err := f()
	time.Sleep(1500 * time.Millisecond)
	ok, ended := l.counts()
	share := func(fleet int) float64 {
		return (ok[fleet] - okBefore[fleet]) / max(1, ended[fleet]-endedBefore[fleet])
	}
	return releaseShares{inWaves: share(0), atOnce: share(1)}, err
}

func (x *processReleases) startLoad() error {
	ctx, cancel := context.WithCancel(x.ctx)
	var running sync.WaitGroup
	for i, fleet := range []*testbed.Bed{x.inWaves, x.atOnce} {
		caller := newFailoverCaller(fleet)
		x.cleanup.add(caller.Close)
		running.Go(func() {
			for ctx.Err() == nil { // in short plans, so that shares are known as it goes
				plan := standin.LoadPlan{
					Rate:     releaseRate * releaseServers,
					Duration: planLength,
					Callers:  3,
					Seed:     time.Now().UnixNano(),
					Deadline: callDeadline,
					Kinds:    []standin.RequestKind{{Method: "account-view", Share: 0.5, MeanWorkMs: 10}, {Method: "settings-save", Share: 0.5, MeanWorkMs: 10}},
				}
				x.load.add(i, plan.Run(ctx, map[string]standin.Caller{"msgpack": caller}, standin.NewInvariantChecker()))
			}
		})
	}
	x.cleanup.add(func() {
		cancel()
		running.Wait()
	})
	return nil
}

func (x *processReleases) measureAtRest() (err error) {
	x.atRest, err = x.load.during(func() error {
		time.Sleep(2 * time.Second)
		return nil
	})
	return err
}

// releaseGood brings the good version to the fleet in waves, with the permit servers' leader killed meanwhile.
func (x *processReleases) releaseGood() (err error) {
	x.good, err = x.load.during(func() error {
		if err := x.startRelease(releaseFile("two", x.goodApp)); err != nil {
			return err
		}
		status, err := x.client.State(x.ctx)
		if err != nil { // no leader just now: none to kill
			return x.awaitPhase(release.Completed, &x.goodTook)
		}
		x.permits.kill(status.Leader)
		err = x.awaitPhase(release.Completed, &x.goodTook)
		return errors.Join(err, x.permits.start(status.Leader, false))
	})
	return err
}

// releaseBad brings the bad version to the one fleet in waves, and to the other at once.
func (x *processReleases) releaseBad() (err error) {
	x.badBefore = x.badApp.Received()
	x.bad, err = x.load.during(func() error {
		file := releaseFile("three", x.badApp)
		if err := x.startRelease(file); err != nil {
			return err
		}
		for _, name := range x.atOnce.Names {
			err := x.atOnce.Reload(name, func(f *operator.File) {
				f.Version = file.Version
				f.Pools = file.Pools
			})
			if err != nil {
				return err
			}
		}
		return x.awaitPhase(release.RolledBack, &x.badTook)
	})
	return err
}

// startRelease puts a version, plans its release and starts that.
func (x *processReleases) startRelease(file operator.File) error {
	body, err := operator.Marshal(&file)
	if err != nil {
		return err
	}
	version, err := x.command(release.Command{Kind: release.PutVersion, Body: body})
	if err != nil {
		return err
	}
	rules := release.Rules{
		CanaryServers:  1,
		MaxGrowth:      2,
		MaxWaveShare:   0.5,
		BakeMS:         1500,
		MinRPCs:        30,
		MaxWaveMS:      60e3,
		FalseAlarmRate: 0.01,
		Margin:         0.01,
		MaxUnreachable: 2,
	}
	planned, err := x.command(release.Command{Kind: release.PlanRelease, Rules: &rules, Version: version.Version})
	if err != nil {
		return err
	}
	_, err = x.command(release.Command{Kind: release.StartRelease, Release: planned.Release.Number})
	return err
}

// command has the permit servers carry out a command about releases.
func (x *processReleases) command(c release.Command) (release.Result, error) {
	x.commands++
	c.ID = fmt.Sprint("lab", x.commands)
	c.Actor = "lab"
	c.Reason = "lab"
	result, err := x.client.Release(x.ctx, c)
	if err != nil {
		return result, fmt.Errorf("%s: %w", c.Kind, err)
	}
	if !result.OK {
		return result, fmt.Errorf("%s: rejected: %+v", c.Kind, result)
	}
	return result, nil
}

// awaitPhase waits until the release is in a phase with no server pending, and stores in took how long that was.
func (x *processReleases) awaitPhase(want release.Phase, took *time.Duration) error {
	began := time.Now()
	for x.ctx.Err() == nil {
		status, err := x.client.State(x.ctx)
		if err == nil {
			current := status.SettingsReleases.Release
			if current != nil && current.Phase == want && len(current.Pending) == 0 {
				*took = time.Since(began)
				return nil
			}
			if time.Since(began) > phaseLimit {
				return fmt.Errorf("not %s: %+v", want, current)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return x.ctx.Err()
}

func (x *processReleases) findVersions() error {
	for _, name := range x.inWaves.Names {
		status, err := x.inWaves.Status(name)
		if err != nil || status.Drain == nil || status.Drain.Version == nil || status.Drain.Version.Version != 1 {
			x.notBefore++
		}
	}
	return nil
}

func (x *processReleases) reportReleases() error {
	r := x.report
	r.AddRow("8 processes: ok at rest", x.atRest.inWaves, "", x.atRest.atOnce)
	r.AddRow("  through a good release over a leader's loss; s", x.good.inWaves, "", x.goodTook.Seconds())
	r.AddRow("  through a bad one; at once", x.bad.inWaves, "", x.bad.atOnce)
	r.AddRow("  s until it is taken back; RPCs that it failed, both beds", x.badTook.Seconds(), "", x.badApp.Received()-x.badBefore)
	r.AddChecks(
		atLeast("processes: ok through a good release, over at rest", x.good.inWaves/x.atRest.inWaves, 0.98),
		atLeast("processes: ok through a bad one, over at rest", x.bad.inWaves/x.atRest.inWaves, 0.95),
		atMost("processes: the same at once, over at rest", x.bad.atOnce/x.atRest.atOnce, x.bad.inWaves/x.atRest.inWaves),
		atMost("processes: servers that do not run the version of before", float64(x.notBefore), 0),
	)
	return nil
}
