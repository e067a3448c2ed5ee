package experiment

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"sync"
	"time"

	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
)

const (
	simulatedServers   = 30
	simulatedFaults    = 5                // of a random schedule
	faultPeriod        = 40 * time.Second // in which these lie
	afterFaultsMs      = 25e3             // for which a run goes on after its last fault
	progressEvery      = 10 * time.Second
	maxShrunkSchedules = 3
	minSchedulesCases  = 20 // from so many schedules on, every checker must have seen a case
	digestPrime        = 1099511628211
)

// simulationOptions are those of a run of the simulator under a schedule of faults.
func simulationOptions(servers int, seed int64, faults script.Script) fleetsim.Options {
	lastMs := 0.0
	for _, fault := range faults {
		lastMs = max(lastMs, float64(fault.At)/1e6)
	}
	return fleetsim.Options{
		Servers:       servers,
		Zones:         3,
		Seed:          uint64(seed),
		DurationMs:    lastMs + afterFaultsMs,
		RatePerServer: 5,
		Cores:         2,
		MeanWorkMs:    20,
		SlowStartMs:   2000,
		Script:        faults,
		Quota:         simulatedQuota(servers, fleetsim.PeerLeases),
	}
}

// FleetSim is the experiment fleet-sim: random schedules of faults on simulated fleets, how the simulator grows with the
// fleet, and a few schedules through it and through real processes side by side. A figure of the one is never printed as
// one of the other.
func FleetSim(o Options) (*Report, error) {
	r := &Report{Name: "fleet-sim", Header: []string{"what", "runs", "value", "beside"}}
	if o.Schedule != "" || o.Seeds != "" {
		return r, runRequested(o, r)
	}
	schedules := 1000
	if o.Quick {
		schedules = 60
	}
	err := runSteps([]step{
		{"play random schedules", func() error { return runRandomSchedules(o, r, simulatedServers, o.Seed*100000, schedules) }},
		{"measure the growth", func() error { return measureGrowth(o, r) }},
		{"compare with processes", func() error { return runTwin(o, r) }},
	})
	return r, err
}

// runRequested plays the schedule or the seeds that the command line names, and prints each finding.
func runRequested(o Options, r *Report) error {
	servers := o.Servers
	if servers == 0 {
		servers = simulatedServers
	}
	from, to := o.Seed, o.Seed
	if o.Seeds != "" {
		if n, err := fmt.Sscanf(o.Seeds, "%d..%d", &from, &to); n != 2 || err != nil || to < from {
			return fmt.Errorf("--seeds: A..B expected, %q there", o.Seeds)
		}
	}
	if o.Schedule == "" {
		return runRandomSchedules(o, r, servers, from, int(to-from)+1)
	}
	text, err := os.ReadFile(o.Schedule)
	if err != nil {
		return err
	}
	schedule, err := readSchedule(o.Schedule, text, fleetsim.ServerNames(servers))
	if err != nil {
		return err
	}
	findings := 0
	for seed := from; seed <= to; seed++ {
		result := fleetsim.New(simulationOptions(servers, seed, schedule)).Run()
		r.AddRow(fmt.Sprintf("seed %d: digest %016x", seed, result.Digest), 1, result.SettledMs/1000, fmt.Sprintf("%d events", result.Events))
		for _, finding := range result.Findings {
			findings++
			if _, err := fmt.Fprintln(o.Out, finding); err != nil {
				return err
			}
		}
	}
	r.AddChecks(atMost("findings", float64(findings), 0))
	return nil
}

// randomSchedules plays schedules that are drawn from consecutive seeds.
type randomSchedules struct {
	options   Options
	servers   int
	firstSeed int64
	results   []*fleetsim.Result // by seed
	began     time.Time
}

// runRandomSchedules plays some schedules. One that fails is cut down, and printed with the command that plays it again.
func runRandomSchedules(o Options, r *Report, servers int, firstSeed int64, schedules int) error {
	x := &randomSchedules{
		options:   o,
		servers:   servers,
		firstSeed: firstSeed,
		results:   make([]*fleetsim.Result, schedules),
		began:     time.Now(),
	}
	if err := x.run(); err != nil {
		return err
	}
	if err := x.printFailed(); err != nil {
		return err
	}
	return x.report(r)
}

func (x *randomSchedules) schedule(seed int64) script.Script {
	return script.Random(seed, fleetsim.ServerNames(x.servers), faultPeriod, simulatedFaults)
}

func (x *randomSchedules) simulate(seed int64, faults script.Script) *fleetsim.Result {
	return fleetsim.New(simulationOptions(x.servers, seed, faults)).Run()
}

// run plays all schedules, and prints now and then how far it is.
func (x *randomSchedules) run() (err error) {
	var mu sync.Mutex
	done, printed := 0, x.began
	inParallel(len(x.results), func(i int) {
		seed := x.firstSeed + int64(i)
		x.results[i] = x.simulate(seed, x.schedule(seed))
		mu.Lock()
		defer mu.Unlock()
		done++
		if time.Since(printed) > progressEvery {
			printed = time.Now()
			_, printErr := fmt.Fprintf(x.options.Out, "%d of %d schedules\n", done, len(x.results))
			err = errors.Join(err, printErr)
		}
	})
	return err
}

// failed are the seeds whose schedules had findings.
func (x *randomSchedules) failed() (seeds []int64) {
	for i, result := range x.results {
		if len(result.Findings) > 0 {
			seeds = append(seeds, x.firstSeed+int64(i))
		}
	}
	return seeds
}

// printFailed cuts down the first schedules that failed, and prints them.
func (x *randomSchedules) printFailed() error {
	failed := x.failed()
	for _, seed := range failed[:min(len(failed), maxShrunkSchedules)] {
		finding := x.results[seed-x.firstSeed].Findings[0]
		shrunk := script.Shrink(x.schedule(seed), func(s script.Script) bool {
			for _, f := range x.simulate(seed, s.WithRecovery(faultPeriod)).Findings {
				if f.Checker == finding.Checker {
					return true
				}
			}
			return false
		})
		_, err := fmt.Fprintf(x.options.Out, "%v\nagain: valveexperiment run fleet-sim --servers %d --seeds %d..%d\ncut down to:\n%s", finding, x.servers, seed, seed, shrunk)
		if err != nil {
			return err
		}
	}
	return nil
}

func (x *randomSchedules) report(r *Report) error {
	var events, digest uint64
	var settled []float64
	cases := map[string]int{}
	for _, result := range x.results {
		events += result.Events
		settled = append(settled, result.SettledMs/1000)
		digest = digest*digestPrime ^ result.Digest
		for checker, n := range result.CasesByChecker {
			cases[checker] += n
		}
	}
	n := len(x.results)
	failed := float64(len(x.failed()))
	took := time.Since(x.began).Seconds()
	serverSeconds := float64(n) * (float64(faultPeriod)/1e6 + afterFaultsMs) / 1000 * float64(x.servers)
	r.AddRow(fmt.Sprintf("random schedules of %d servers, digest %016x", x.servers, digest), n, failed, fmt.Sprintf("failed; %.0f s", took))
	casesSeen, err := x.listCases(cases)
	if err != nil {
		return err
	}
	r.AddRow("cases that the checkers saw", n, "", casesSeen)
	r.AddRow("s until views settle after the last fault, p50 and p99", n, standin.Quantile(settled, 0.5), standin.Quantile(settled, 0.99))
	r.AddRow("events a second, simulated server-seconds a second, on all cores", n, float64(events)/took, serverSeconds/took)
	r.AddChecks(atMost("schedules with findings", failed, 0))
	return nil
}

// listCases names each checker with the cases that it saw. A checker that saw none in many schedules is an error.
func (x *randomSchedules) listCases(cases map[string]int) (string, error) {
	var list []string
	for _, checker := range fleetsim.AllCheckers() {
		name := checker.Name()
		list = append(list, fmt.Sprintf("%s %d", name, cases[name]))
		if cases[name] == 0 && len(x.results) >= minSchedulesCases {
			return "", fmt.Errorf("the checker %s saw no case in %d schedules", name, len(x.results))
		}
	}
	return strings.Join(list, ", "), nil
}

// mean of some values.
func mean(values []float64) (sum float64) {
	for _, v := range values {
		sum += v / float64(len(values))
	}
	return sum
}

// relativeDifference is how far a lies from b, over b.
func relativeDifference(a, b float64) float64 { return math.Abs(a-b) / b }
