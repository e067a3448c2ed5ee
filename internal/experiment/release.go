package experiment

// This file owns the experiment fleet-release: versions of the settings, good and bad in several ways, to all servers of a fleet: judged wave
// by wave, in the same waves without judgement, and at once; simulated at 300 servers, and by processes. It must never count a
// bad version as stopped by anything but what was seen of it.

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"gonum.org/v1/plot/plotter"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/permitclient"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

// releaseRules are the usual ones with a shorter look, so that a release of 300 servers takes minutes.
func releaseRules() release.Rules {
	r := release.DefaultRules()
	r.CanaryServers, r.BakeMS, r.MinRPCs = 3, 30e3, 300
	return r
}

// FleetRelease is the experiment.
func FleetRelease(o Options) (*Report, error) {
	r := &Report{Name: "fleet-release", Header: []string{"what", "judged", "fixed waves", "at once"}}
	runs := 500
	if o.Quick {
		runs = 48
	}
	const ways = 3
	ends := make([][ways]fleetsim.RolloutOutcome, runs)
	began := time.Now()
	inParallel(runs, func(i int) {
		for way := range ways {
			ends[i][way] = fleetsim.RolloutRun{Servers: 300, Zones: 3, RatePerServer: 4, Seed: uint64(o.Seed)*100000 + uint64(i), Defect: fleetsim.VersionDefect(i % fleetsim.DefectCount), Faults: i/fleetsim.DefectCount%2 == 1,
				Rules: releaseRules(), CanaryAnalysis: way == 0, SingleWave: way == 2}.Run()
		}
	})
	beyond, falsely, good, mixed, unrestored := 0, 0, 0, 0, 0
	served := make([][ways]float64, fleetsim.DefectCount)
	count := make([]int, fleetsim.DefectCount)
	reached := make([][ways]float64, fleetsim.DefectCount)
	took := make([]float64, fleetsim.DefectCount)
	chart := Chart{Name: "reached", XLabel: "release", YLabel: "servers that ran the bad version"}
	lines := [ways]Line{{Name: "judged"}, {Name: "fixed waves"}, {Name: "at once"}}
	for i := range ends {
		kind := i % fleetsim.DefectCount
		e := ends[i][0]
		count[kind]++
		for way := range ways {
			served[kind][way] += ends[i][way].ServedShare
			reached[kind][way] += float64(ends[i][way].ServersReached)
			if kind != int(fleetsim.NoDefect) {
				lines[way].Points = append(lines[way].Points, plotter.XY{X: float64(i), Y: float64(ends[i][way].ServersReached)})
			}
		}
		mixed += e.Diverged
		switch {
		case kind == int(fleetsim.NoDefect):
			if good++; e.Phase != release.Completed {
				falsely++
				fmt.Fprintf(o.Out, "seed %d: a good version is %s: %s\n", i, e.Phase, e.Reason)
			}
		default:
			took[kind] += e.DurationMs / 1000
			if e.ExposureMs >= 20e3 && e.ServersReached > e.FirstTwoWaves {
				beyond++
				fmt.Fprintf(o.Out, "seed %d, %s: reached %d of 300: %s\n", i, fleetsim.VersionDefect(kind), e.ServersReached, e.Reason)
			}
			if e.Phase == release.RolledBack && !e.Restored {
				unrestored++
			}
		}
	}
	chart.Lines = lines[:]
	r.Charts = append(r.Charts, chart)
	leastBad, leastGood := 1.0, 1.0
	for kind := range fleetsim.DefectCount {
		n := float64(max(1, count[kind]))
		r.AddRow(fmt.Sprintf("%s: ok over without it", fleetsim.VersionDefect(kind)), served[kind][0]/n, served[kind][1]/n, served[kind][2]/n)
		r.AddRow("  servers reached, mean", reached[kind][0]/n, reached[kind][1]/n, reached[kind][2]/n)
		if kind != int(fleetsim.NoDefect) {
			r.AddRow("  s from the first assignment to the way back", took[kind]/n, "", "")
			leastBad = min(leastBad, served[kind][0]/n)
		} else {
			leastGood = served[kind][0] / n
		}
	}
	r.AddRow(fmt.Sprintf("%d releases at 300 servers in 3 zones, three ways: s of real time", runs), time.Since(began).Seconds(), "", "")
	r.AddChecks(atLeast("releases", float64(runs), 1))
	r.AddChecks(atMost("bad versions beyond the canary and one wave that had shown for 20 s", float64(beyond), 0))
	r.AddChecks(atMost("good versions not brought to their end, share", float64(falsely)/float64(max(1, good)), 0.02))
	r.AddChecks(atMost("servers not on what they are assigned at the end", float64(mixed), 0))
	r.AddChecks(atMost("releases taken back that left a server with another than its former version", float64(unrestored), 0))
	r.AddChecks(atLeast("ok through a good release, over without it", leastGood, 0.98))
	r.AddChecks(atLeast("ok through a bad one, the worst kind, over without it", leastBad, 0.95))
	return r, releaseProcesses(o, r)
}

// releaseProcesses brings a good and a bad version to eight processes in waves, with the keepers' leader lost, and a bad one at once to
// eight others.
func releaseProcesses(o Options, r *Report) error {
	const servers = 8
	dir, err := os.MkdirTemp("", "rel")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	k, err := startPermitServers(dir)
	if k != nil {
		defer k.close()
	}
	if err != nil {
		return err
	}
	serve, err := fleetServerProcess()
	if err != nil {
		return err
	}
	cores := standin.NewCores(16, 8)
	defer cores.Close()
	var apps []*standin.App
	for i := range 3 {
		a, err := standin.NewApp(cores, standin.WorkFromBody, nil)
		if err != nil {
			return err
		}
		defer a.Stop()
		if i == 2 {
			a.SetFault(standin.ServerError)
		}
		apps = append(apps, a)
	}
	file := func(version string, app *standin.App) operator.File {
		p := Pool(app.Addr())
		p.MaxFailures, p.MaxQueued, p.Retry.MaxAttempts = 0, 0, 1
		return operator.File{Version: version, Pools: map[string]operator.Pool{"apps": p}, Methods: map[string]operator.Method{"account-view": {Pool: "apps", Path: "/account", Verb: "GET"}}}
	}
	beds := make([]*testbed.Bed, 2) // with the keepers, and one that is reloaded at once
	for i := range beds {
		opt := testbed.Options{Names: fleetsim.ServerNames(servers), Seed: o.Seed + int64(i), Cores: 2, SettingsJSON: fleetSettings, Operator: file("one", apps[0]), Zone: func(i int) string { return fmt.Sprint("z", i%2) },
			ServeCommand: serve}
		if i == 0 {
			opt.PermitServers, opt.VersionDir = k.addresses, dir
		}
		if beds[i], err = testbed.New(opt); err != nil {
			return err
		}
		defer beds[i].Close()
		if err := beds[i].StartAll(); err != nil {
			return err
		}
		if err := beds[i].Await(awaitLimit, beds[i].Names, testbed.ExpectView("whole", servers)); err != nil {
			return err
		}
	}
	ctx, end := context.WithTimeout(context.Background(), 3*time.Minute)
	defer end()
	client := permitclient.New(k.addresses)
	defer client.Close()
	var roster []permit.Server
	for i, name := range fleetsim.ServerNames(servers) {
		roster = append(roster, permit.Server{Name: name, Zone: fmt.Sprint("z", i%2)})
	}
	if a, err := client.Do(ctx, permit.Command{ID: "roster", Kind: permit.Configure, Servers: roster, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: servers}}}); err != nil || !a.OK {
		return fmt.Errorf("roster: %+v %w", a, err)
	}
	// Load: the share that was ok is read by phase.
	var mu sync.Mutex
	var ok, all [2]float64
	var load sync.WaitGroup
	loading, endLoad := context.WithCancel(ctx)
	defer load.Wait()
	defer endLoad()
	for i, b := range beds {
		caller := newFailoverCaller(b)
		defer caller.Close()
		load.Go(func() {
			kinds := []standin.RequestKind{{Method: "account-view", Share: 0.5, MeanWorkMs: 10}, {Method: "settings-save", Share: 0.5, MeanWorkMs: 10}}
			for loading.Err() == nil { // in short plans, so that shares are known as it goes
				samples := standin.LoadPlan{Rate: 40 * servers, Duration: 500 * time.Millisecond, Callers: 3, Seed: time.Now().UnixNano(), Deadline: 1200 * time.Millisecond, Kinds: kinds}.Run(loading, map[string]standin.Caller{"msgpack": caller}, standin.NewInvariantChecker())
				mu.Lock()
				for _, s := range samples {
					if s.Outcome == standin.Lost && s.Reason == context.Canceled.Error() {
						continue
					}
					if all[i]++; s.Outcome == standin.OK {
						ok[i]++
					}
				}
				mu.Unlock()
			}
		})
	}
	share := func(f func() error) (of [2]float64, err error) {
		time.Sleep(time.Second)
		mu.Lock()
		was, asked := ok, all
		mu.Unlock()
		err = f()
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		for i := range of {
			of[i] = (ok[i] - was[i]) / max(1, all[i]-asked[i])
		}
		return of, err
	}
	n := 0
	begin := func(f operator.File) (*release.Release, error) {
		body, err := operator.Marshal(&f)
		if err != nil {
			return nil, err
		}
		rules := release.Rules{CanaryServers: 1, MaxGrowth: 2, MaxWaveShare: 0.5, BakeMS: 1500, MinRPCs: 30, MaxWaveMS: 60e3, FalseAlarmRate: 0.01, Margin: 0.01, MaxUnreachable: 2}
		var a release.Result
		for _, c := range []release.Command{{Kind: release.PutVersion, Body: body}, {Kind: release.PlanRelease, Rules: &rules}, {Kind: release.StartRelease}} {
			n++
			c.ID, c.Actor, c.Reason = fmt.Sprint("lab", n), "lab", "lab"
			if c.Kind == release.PlanRelease {
				c.Version = a.Version
			} else if c.Kind == release.StartRelease {
				c.Release = a.Release.Number
			}
			if a, err = client.Release(ctx, c); err != nil || !a.OK {
				return nil, fmt.Errorf("%s: %+v %w", c.Kind, a, err)
			}
		}
		return a.Release, nil
	}
	until := func(want release.Phase) (time.Duration, error) {
		began := time.Now()
		for ctx.Err() == nil {
			st, err := client.State(ctx)
			if err == nil && st.SettingsReleases.Release != nil && st.SettingsReleases.Release.Phase == want && len(st.SettingsReleases.Release.Pending) == 0 {
				return time.Since(began), nil
			}
			if err == nil && time.Since(began) > 50*time.Second {
				return 0, fmt.Errorf("not %s: %+v", want, st.SettingsReleases.Release)
			}
			time.Sleep(50 * time.Millisecond)
		}
		return 0, ctx.Err()
	}
	quiet, err := share(func() error { time.Sleep(2 * time.Second); return nil })
	if err != nil {
		return err
	}
	var goodTook, badTook time.Duration
	through, err := share(func() error {
		if _, err := begin(file("two", apps[1])); err != nil {
			return err
		}
		if st, err := client.State(ctx); err == nil {
			k.kill(st.Leader)
			defer k.start(st.Leader, false)
		}
		goodTook, err = until(release.Completed)
		return err
	})
	if err != nil {
		return err
	}
	before := apps[2].Received()
	bad, err := share(func() error {
		if _, err := begin(file("three", apps[2])); err != nil {
			return err
		}
		for _, name := range beds[1].Names {
			if err := beds[1].Reload(name, func(f *operator.File) {
				x := file("three", apps[2])
				f.Version, f.Pools = x.Version, x.Pools
			}); err != nil {
				return err
			}
		}
		badTook, err = until(release.RolledBack)
		return err
	})
	if err != nil {
		return err
	}
	wrong := 0
	for _, name := range beds[0].Names {
		if s, err := beds[0].Status(name); err != nil || s.Drain == nil || s.Drain.Version == nil || s.Drain.Version.Version != 1 {
			wrong++
		}
	}
	r.AddRow("8 processes: ok at rest", quiet[0], "", quiet[1])
	r.AddRow("  through a good release over a leader's loss; s", through[0], "", goodTook.Seconds())
	r.AddRow("  through a bad one; at once", bad[0], "", bad[1])
	r.AddRow("  s until it is taken back; RPCs that it failed, both beds", badTook.Seconds(), "", apps[2].Received()-before)
	r.AddChecks(atLeast("processes: ok through a good release, over at rest", through[0]/quiet[0], 0.98))
	r.AddChecks(atLeast("processes: ok through a bad one, over at rest", bad[0]/quiet[0], 0.95))
	r.AddChecks(atMost("processes: the same at once, over at rest", bad[1]/quiet[1], bad[0]/quiet[0]))
	r.AddChecks(atMost("processes: servers that do not run the version of before", float64(wrong), 0))
	return nil
}
