package experiment

// This file owns the experiment fleet-sim: random schedules of faults on simulated fleets, how the simulator grows with the
// fleet, and a few schedules through it and through real processes side by side. It must never print a figure of the one
// as one of the other.

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/plot/plotter"

	"sorrelvalve/decision/health"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

const (
	simServers  = 30
	simTroubles = 5
	simFaults   = 40 * time.Second
)

func simOptions(servers int, seed int64, s script.Script) fleetsim.Options {
	last := 0.0
	for _, x := range s {
		last = max(last, float64(x.At)/1e6)
	}
	return fleetsim.Options{Servers: servers, Zones: 3, Seed: uint64(seed), DurationMs: last + 25e3, RatePerServer: 5, Cores: 2, MeanWorkMs: 20, SlowStartMs: 2000, Script: s,
		Quota: simulatedQuota(servers, fleetsim.PeerLeases)}
}

// FleetSim is the experiment fleet-sim.
func FleetSim(o Options) (*Report, error) {
	r := &Report{Name: "fleet-sim", Header: []string{"what", "runs", "value", "beside"}}
	if o.Schedule != "" || o.Seeds != "" {
		return r, asked(o, r)
	}
	seeds := 1000
	if o.Quick {
		seeds = 60
	}
	if err := schedules(o, r, simServers, o.Seed*100000, seeds); err != nil {
		return nil, err
	}
	if err := growth(o, r); err != nil {
		return nil, err
	}
	return r, twin(o, r)
}

// FleetTwin is the experiment fleet-twin, the part of fleet-sim with processes.
func FleetTwin(o Options) (*Report, error) {
	r := &Report{Name: "fleet-twin", Header: []string{"what", "runs", "processes", "simulator"}}
	return r, twin(o, r)
}

// asked plays what was asked for: a schedule, or random ones, and tells each finding.
func asked(o Options, r *Report) error {
	servers := o.Servers
	if servers == 0 {
		servers = simServers
	}
	from, to := o.Seed, o.Seed
	if o.Seeds != "" {
		if n, err := fmt.Sscanf(o.Seeds, "%d..%d", &from, &to); n != 2 || err != nil || to < from {
			return fmt.Errorf("--seeds: A..B expected, %q there", o.Seeds)
		}
	}
	if o.Schedule == "" {
		return schedules(o, r, servers, from, int(to-from)+1)
	}
	text, err := os.ReadFile(o.Schedule)
	if err != nil {
		return err
	}
	s, err := ReadSchedule(o.Schedule, text, fleetsim.ServerNames(servers))
	if err != nil {
		return err
	}
	found := 0
	for seed := from; seed <= to; seed++ {
		got := fleetsim.New(simOptions(servers, seed, s)).Run()
		r.AddRow(fmt.Sprintf("seed %d: digest %016x", seed, got.Digest), 1, got.SettledMs/1000, fmt.Sprintf("%d events", got.Events))
		for _, f := range got.Findings {
			found++
			fmt.Fprintln(o.Out, f)
		}
	}
	r.AddChecks(atMost("findings", float64(found), 0))
	return nil
}

// schedules plays random ones. One that fails is cut down, and told with the command that plays it again.
func schedules(o Options, r *Report, servers int, from int64, n int) error {
	began := time.Now()
	results := make([]*fleetsim.Result, n)
	var mu sync.Mutex
	done, told := 0, began
	inParallel(n, func(i int) {
		seed := from + int64(i)
		results[i] = fleetsim.New(simOptions(servers, seed, script.Random(seed, fleetsim.ServerNames(servers), simFaults, simTroubles))).Run()
		mu.Lock()
		defer mu.Unlock()
		if done++; time.Since(told) > 10*time.Second {
			told = time.Now()
			fmt.Fprintf(o.Out, "%d of %d schedules\n", done, n)
		}
	})
	failed, events, seconds := 0, uint64(0), 0.0
	var settled []float64
	saw := map[string]int{}
	var digest uint64
	for i, got := range results {
		seed := from + int64(i)
		events += got.Events
		seconds += (float64(simFaults)/1e6 + 25e3) / 1000 * float64(servers)
		settled = append(settled, got.SettledMs/1000)
		digest = digest*1099511628211 ^ got.Digest
		for name, cases := range got.CasesByChecker {
			saw[name] += cases
		}
		if len(got.Findings) == 0 {
			continue
		}
		failed++
		if failed > 3 {
			continue
		}
		checker := got.Findings[0].Checker
		less := script.Shrink(script.Random(seed, fleetsim.ServerNames(servers), simFaults, simTroubles), func(s script.Script) bool {
			for _, f := range fleetsim.New(simOptions(servers, seed, s.WithRecovery(simFaults))).Run().Findings {
				if f.Checker == checker {
					return true
				}
			}
			return false
		})
		fmt.Fprintf(o.Out, "%v\nagain: valveexperiment run fleet-sim --servers %d --seeds %d..%d\ncut down to:\n%s", got.Findings[0], servers, seed, seed, less)
	}
	took := time.Since(began).Seconds()
	r.AddRow(fmt.Sprintf("random schedules of %d servers, digest %016x", servers, digest), n, float64(failed), fmt.Sprintf("failed; %.0f s", took))
	var cases []string
	for _, c := range fleetsim.AllCheckers() {
		cases = append(cases, fmt.Sprintf("%s %d", c.Name(), saw[c.Name()]))
		if saw[c.Name()] == 0 && n >= 20 {
			return fmt.Errorf("the checker %s saw no case in %d schedules", c.Name(), n)
		}
	}
	r.AddRow("cases that the checkers saw", n, "", strings.Join(cases, ", "))
	r.AddRow("s until views settle after the last fault, p50 and p99", n, standin.Quantile(settled, 0.5), standin.Quantile(settled, 0.99))
	r.AddRow("events a second, simulated server-seconds a second, on all cores", n, float64(events)/took, seconds/took)
	r.AddChecks(atMost("schedules with findings", float64(failed), 0))
	return nil
}

// growth is how time and memory grow with the fleet.
func growth(o Options, r *Report) error {
	sizes, length := []int{10, 100, 300, 1000, 3000, 10000}, 20e3
	if o.Quick {
		sizes, length = []int{10, 100, 1000}, 5e3
	}
	line := Line{Name: "s of real time for one of the fleet's"}
	var first, last float64
	var most int
	for _, n := range sizes {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		opt := fleetsim.Options{Servers: n, FleetSize: min(n, 1000), Zones: 3, Seed: uint64(o.Seed), DurationMs: length, RatePerServer: 20, Cores: 2, MeanWorkMs: 20,
			HealthRules: health.DefaultConfig, Checkers: []fleetsim.Checker{}}
		if n == 10000 { // for the memory; what an RPC costs is seen before
			opt.DurationMs, opt.RatePerServer = 60e3, 1
		}
		began := time.Now()
		w := fleetsim.New(opt)
		got := w.Run()
		took := time.Since(began).Seconds() / (opt.DurationMs / 1000)
		runtime.GC()
		runtime.ReadMemStats(&after)
		kb := (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / 1024 / float64(n)
		runtime.KeepAlive(w)
		r.AddRow(fmt.Sprintf("%d servers at %g RPC/s, %g s, one core: s a second; KB a server", n, opt.RatePerServer, opt.DurationMs/1000), 1, took,
			fmt.Sprintf("%.0f KB, %.2g events/s", kb, float64(got.Events)/(took*opt.DurationMs/1000)))
		if got.OK < got.Offered/2 {
			return fmt.Errorf("%d servers: %d ok of %d", n, got.OK, got.Offered)
		}
		line.Points = append(line.Points, plotter.XY{X: float64(n), Y: took})
		if n == 1000 {
			r.AddChecks(atMost("s of real time for a second of 1,000 servers", took, 1))
		}
		if n == sizes[0] {
			first = took
		}
		if opt.RatePerServer == 20 {
			last, most = took, n
		}
	}
	r.AddRow("exponent of the growth from the first to the last at 20 RPC/s", len(sizes), math.Log(last/first)/math.Log(float64(most)/float64(sizes[0])), "")
	r.Charts = append(r.Charts, Chart{Name: "growth", XLabel: "servers", YLabel: "s a second", Lines: []Line{line}})
	return nil
}

// twin plays the same schedules through real processes and through the simulator.
func twin(o Options, r *Report) error {
	serve, err := fleetServerProcess()
	if err != nil {
		return err
	}
	const servers, rate, work = 8, 20.0, 40.0
	names := fleetsim.ServerNames(servers)
	texts := []string{
		"2s split n0,n1,n2,n3|n4,n5,n6,n7\n10s heal",
		"2s kill n1,n5\n9s start n1,n5",
		"2s stop n2,n6\n8s cont n2,n6",
		"2s loss *>* 0.2\n3s cut n3>*\n10s heal",
		"1s kill n4\n3s split n0,n1,n4|n2,n3,n5,n6,n7\n8s start n4\n10s heal",
	}
	if o.Quick {
		texts = texts[2:3]
	}
	var sumReal, sumSim, worthReal, worthSim float64
	for k, text := range texts {
		s, err := script.Parse(text, names)
		if err != nil {
			return err
		}
		last := s[len(s)-1].At
		settledReal, shareReal, err := real8(o, serve, names, s, last, rate, work)
		if err != nil {
			return fmt.Errorf("processes, schedule %d: %w", k+1, err)
		}
		const runs = 24
		var settled, share [runs]float64
		inParallel(runs, func(i int) {
			rules := health.DefaultConfig
			shifted := make(script.Script, len(s)) // processes have settled before the schedule begins
			for j, x := range s {
				x.At += 10 * time.Second
				shifted[j] = x
			}
			opt := fleetsim.Options{Servers: servers, Zones: 2, Seed: uint64(o.Seed)*1000 + uint64(i), DurationMs: 10e3 + float64(last)/1e6 + 15e3, RatePerServer: rate, Cores: 2, MeanWorkMs: work,
				Script: shifted, SingleAttempt: true, HealthRules: rules, CheckIntervalMs: 50}
			got := fleetsim.New(opt).Run()
			settled[i], share[i] = got.SettledMs/1000, got.ServedWeight/got.OfferedWeight
		})
		meanSettled, meanShare := mean(settled[:]), mean(share[:])
		r.AddRow(fmt.Sprintf("schedule %d: s to settle, processes and simulator", k+1), runs, settledReal, meanSettled)
		r.AddRow(fmt.Sprintf("schedule %d: criticality served, processes and simulator", k+1), runs, shareReal, meanShare)
		sumReal, sumSim = sumReal+settledReal, sumSim+meanSettled
		worthReal, worthSim = worthReal+shareReal, worthSim+meanShare
	}
	apart := func(a, b float64) float64 { return math.Abs(a-b) / b }
	if !o.Quick { // one schedule's time to settle is chance
		r.AddChecks(atMost("times to settle, processes off the simulator by", apart(sumReal, sumSim), 0.15))
	}
	r.AddChecks(atMost("criticality served, processes off the simulator by", apart(worthReal, worthSim), 0.15))
	return nil
}

func mean(v []float64) (sum float64) {
	for _, x := range v {
		sum += x / float64(len(v))
	}
	return sum
}

// real8 plays a schedule on real processes under load, and tells how long their views took to settle after it and the share
// of criticality that was served.
func real8(o Options, serve func() testbed.Command, names []string, s script.Script, last time.Duration, rate, work float64) (settled, share float64, err error) {
	rules := standin.NewInvariantChecker("topup-buy")
	b, err := testbed.New(testbed.Options{Names: names, Seed: o.Seed, Zone: func(i int) string { return fmt.Sprint("z", i%2) }, Cores: 2, SettingsJSON: fleetSettings, Invariants: rules,
		ServeCommand: serve})
	if err != nil {
		return 0, 0, err
	}
	defer b.Close()
	if err := b.StartAll(); err != nil {
		return 0, 0, err
	}
	if err := b.Await(awaitLimit, names, testbed.ExpectView("whole", len(names))); err != nil {
		return 0, 0, err
	}
	time.Sleep(3 * time.Second) // ramps
	ctx, end := context.WithCancel(context.Background())
	defer end()
	var load sync.WaitGroup
	var mu sync.Mutex
	var worth, all float64
	for i, name := range names {
		load.Go(func() {
			router := standin.NewRouter(b.ListenAddr(name))
			defer router.Close()
			samples := standin.LoadPlan{Rate: rate, Duration: last + 15*time.Second, Callers: 3, Seed: o.Seed*100 + int64(i), Deadline: 1200 * time.Millisecond, Kinds: []standin.RequestKind{
				{Method: "account-view", Share: 0.5, MeanWorkMs: work}, {Method: "settings-save", Share: 0.35, MeanWorkMs: work}, {Method: "topup-buy", Share: 0.15, MeanWorkMs: work, WithToken: true},
			}}.Run(ctx, map[string]standin.Caller{"msgpack": router}, rules)
			mu.Lock()
			defer mu.Unlock()
			for _, x := range samples {
				w := 1.0
				if x.Method == "topup-buy" {
					w = 3
				}
				if all += w; x.Outcome == standin.OK && x.Latency <= 400*time.Millisecond {
					worth += w
				} else if x.Outcome == standin.OK {
					worth += 0.2 * w
				}
			}
		})
	}
	if err := b.Play(ctx, s); err != nil {
		return 0, 0, err
	}
	began := time.Now()
	if err := b.Await(awaitLimit, names, testbed.ExpectView("whole", len(names))); err != nil {
		return 0, 0, err
	}
	settled = time.Since(began).Seconds()
	load.Wait()
	return settled, worth / all, nil
}
