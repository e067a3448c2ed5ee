package experiment

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

// detectionServers are the processes of fleet-hearing.
const detectionServers = 8

// rejectEarly exempts RPCs that have been queued for 20 ms from displacement by others, so that a rejection is always
// immediate.
var rejectEarly = operator.File{Queue: operator.Queue{SettledMs: 20}}

// detectionExperiment is fleet-hearing: real processes that detect one another's failures through relays, with faults
// between them, and what membership costs. Views are always read from the servers, never assumed.
type detectionExperiment struct {
	options Options
	report  *Report
	cleanup cleanup

	rounds     int
	lossPeriod time.Duration
	restPeriod time.Duration
	loadPeriod time.Duration

	serve func() testbed.Command
	fleet *testbed.Bed

	order []string                   // of the transitions, by name
	times map[string][]time.Duration // of each, round by round
}

// transition is a fault, and the views that some servers are to come to.
type transition struct {
	schedule  string // of faults, all at once
	name      string
	viewers   []string
	state     string
	reachable int
	longOnly  bool // left out of the short form
}

// FleetFailureDetection is the experiment fleet-hearing.
func FleetFailureDetection(o Options) (*Report, error) {
	x := &detectionExperiment{
		options:    o,
		report:     &Report{Name: "fleet-hearing", Header: []string{"what", "rounds", "p50 s", "max s"}},
		rounds:     6,
		lossPeriod: 60 * time.Second,
		restPeriod: 20 * time.Second,
		loadPeriod: 60 * time.Second,
		times:      map[string][]time.Duration{},
	}
	if o.Quick {
		x.rounds = 1
		x.lossPeriod = 3 * time.Second
		x.restPeriod = 3 * time.Second
		x.loadPeriod = 5 * time.Second
	}
	defer x.cleanup.run()
	err := runSteps([]step{
		{"lay out the fleet", x.layOut},
		{"play the faults", x.playRounds},
		{"report the transitions", x.reportTransitions},
		{"measure at rest", x.measureAtRest},
		{"measure under loss", x.measureUnderLoss},
		{"measure admission under faults", x.measureAdmission},
		{"measure membership alone", x.measureMembershipAlone},
		{"measure a large fleet", x.measureLargeFleet},
	})
	return x.report, err
}

func (x *detectionExperiment) layOut() (err error) {
	if x.serve, err = fleetServerProcess(); err != nil {
		return err
	}
	var names []string
	for i := range detectionServers {
		names = append(names, fmt.Sprint("n", i))
	}
	x.fleet, err = testbed.New(testbed.Options{
		Names:        names,
		Seed:         x.options.Seed,
		Zone:         func(i int) string { return fmt.Sprint("z", i%2) },
		Cores:        2,
		SettingsJSON: fleetSettings,
		Invariants:   standin.NewInvariantChecker(),
		ServeCommand: x.serve,
		Operator:     rejectEarly,
	})
	if err != nil {
		return err
	}
	x.cleanup.add(x.fleet.Close)
	return nil
}

// transitions are those of one round, with one server that is killed and cut off.
func (x *detectionExperiment) transitions(target int) []transition {
	const n = detectionServers
	names := x.fleet.Names
	one := names[target]
	others := slices.Delete(slices.Clone(names), target, target+1)
	firstHalf, secondHalf := names[:n/2], names[n/2:]
	const quarter = n / 4
	join := func(names []string) string { return strings.Join(names, ",") }
	return []transition{
		{schedule: "0s start *", name: "all start at once: all whole", viewers: names, state: "whole", reachable: n},
		{schedule: "0s kill " + one, name: "one killed: the rest part", viewers: others, state: "part", reachable: n - 1},
		{schedule: "0s start " + one, name: "it starts again: all whole", viewers: names, state: "whole", reachable: n},
		{schedule: "0s split " + join(firstHalf) + "|" + join(secondHalf), name: "cut in halves: all part", viewers: names, state: "part", reachable: n / 2, longOnly: true},
		{schedule: "0s heal", name: "halves healed: all whole", viewers: names, state: "whole", reachable: n, longOnly: true},
		{schedule: "0s cut " + one + ">*\n0s cut *>" + one, name: "one cut off: it is alone", viewers: []string{one}, state: "alone", reachable: 1},
		{name: "one cut off: the rest part", viewers: others, state: "part", reachable: n - 1},
		{schedule: "0s heal", name: "the one healed: all whole", viewers: names, state: "whole", reachable: n},
		{schedule: "0s stop " + join(names[:quarter]), name: "a quarter stopped: the rest part", viewers: names[quarter:], state: "part", reachable: n - quarter, longOnly: true},
		{schedule: "0s cont " + join(names[:quarter]), name: "they wake: all whole", viewers: names, state: "whole", reachable: n, longOnly: true},
	}
}

// playRounds goes through the transitions round by round. All processes are killed between rounds.
func (x *detectionExperiment) playRounds() error {
	for round := range x.rounds {
		for _, t := range x.transitions((round*3 + int(x.options.Seed)) % detectionServers) {
			if t.longOnly && x.options.Quick {
				continue
			}
			if err := x.apply(t.schedule); err != nil {
				return err
			}
			if err := x.await(t); err != nil {
				return fmt.Errorf("%s: %w", t.name, err)
			}
		}
		if round < x.rounds-1 {
			if err := x.apply("0s kill *"); err != nil {
				return err
			}
		}
	}
	return nil
}

// apply takes the steps of a schedule one after another, without regard to their times.
func (x *detectionExperiment) apply(schedule string) error {
	steps, err := script.Parse(schedule, x.fleet.Names)
	if err != nil {
		return err
	}
	for _, s := range steps {
		if err := x.fleet.Apply(s); err != nil {
			return err
		}
	}
	return nil
}

// await measures the time until the views of a transition are there.
func (x *detectionExperiment) await(t transition) error {
	began := time.Now()
	if err := x.fleet.Await(awaitLimit, t.viewers, testbed.ExpectView(t.state, t.reachable)); err != nil {
		return err
	}
	if x.times[t.name] == nil {
		x.order = append(x.order, t.name)
	}
	x.times[t.name] = append(x.times[t.name], time.Since(began))
	return nil
}

func (x *detectionExperiment) reportTransitions() error {
	cutOff, healed := 0.0, 0.0
	for _, name := range x.order {
		median, longest := medianAndMax(x.times[name])
		x.report.AddRow(name, len(x.times[name]), median, longest)
		if strings.HasSuffix(name, "it is alone") {
			cutOff = longest
		}
		if strings.Contains(name, "healed") {
			healed = max(healed, longest)
		}
	}
	x.report.AddChecks(
		atMost("s until a server that was cut off is alone", cutOff, 3),
		atMost("s from a heal until all are whole", healed, 5),
	)
	return nil
}

// measureAtRest measures what membership costs when nothing happens. The servers are not asked meanwhile.
func (x *detectionExperiment) measureAtRest() error {
	before, err := readUsage(x.fleet)
	if err != nil {
		return err
	}
	began := time.Now()
	time.Sleep(x.restPeriod)
	after, err := readUsage(x.fleet)
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	bytes, corePercent := 0.0, 0.0
	for _, name := range x.fleet.Names {
		bytes = max(bytes, float64(after[name].status.Traffic.BytesOut-before[name].status.Traffic.BytesOut)/seconds)
		corePercent = max(corePercent, 100*(after[name].cpu-before[name].cpu).Seconds()/seconds)
	}
	x.report.AddRow(fmt.Sprintf("at rest, %d servers: bytes a second out, the most of any", detectionServers), 1, bytes, "")
	x.report.AddRow("at rest: % of a core, the most of any, admission's ticks included", 1, corePercent, "")
	x.report.AddChecks(atMost("bytes a second from each server at rest", bytes, 4096))
	return nil
}

// measureUnderLoss counts running servers that are declared lost under loss of packets.
func (x *detectionExperiment) measureUnderLoss() error {
	if err := x.apply("0s loss *>* 0.1"); err != nil {
		return err
	}
	before := declaredLost(x.fleet)
	time.Sleep(x.lossPeriod)
	wrong := declaredLost(x.fleet) - before
	if err := x.apply("0s heal"); err != nil {
		return err
	}
	if x.fleet.Network.Counts().Dropped == 0 {
		return errors.New("no packet was lost under loss")
	}
	x.report.AddRow(fmt.Sprintf("10%% loss for %.0f s: wrong deaths", x.lossPeriod.Seconds()), 1, float64(wrong), "")
	x.report.AddChecks(atMost("wrong deaths under 10% loss", float64(wrong), 0))
	return x.fleet.Await(awaitLimit, x.fleet.Names, testbed.ExpectView("whole", detectionServers))
}

func (x *detectionExperiment) measureAdmission() error {
	ratio, err := measureAdmission(x.options, x.report, x.fleet, x.serve, x.loadPeriod)
	if err != nil {
		return err
	}
	x.report.AddChecks(atMost("pushback p99 with membership, under faults, over without", ratio, 1.1))
	x.fleet.Close()
	return nil
}

// measureMembershipAlone measures the share of a core that membership itself takes: all servers in this process, over
// loopback, with nothing else in it.
func (x *detectionExperiment) measureMembershipAlone() error {
	percent, err := measureMesh(x.options, x.report, detectionServers)
	if err != nil {
		return err
	}
	x.report.AddChecks(atMost("% of a core for membership at 8 servers", percent, 1))
	return nil
}

// measureLargeFleet measures a large roster in one process.
func (x *detectionExperiment) measureLargeFleet() error {
	servers := 300
	if x.options.Quick {
		servers = 100
	}
	_, err := measureMesh(x.options, x.report, servers)
	return err
}

// usage is the status of a server, and its processor time so far.
type usage struct {
	status fleet.Status
	cpu    time.Duration
}

// readUsage asks all servers of a fleet.
func readUsage(b *testbed.Bed) (map[string]usage, error) {
	all := map[string]usage{}
	for _, name := range b.Names {
		status, err := b.Status(name)
		if err != nil {
			return nil, err
		}
		cpu, err := b.Processes.CPUTime(name)
		if err != nil {
			return nil, err
		}
		all[name] = usage{status, cpu}
	}
	return all, nil
}

// declaredLost is how often any server declared any other lost.
func declaredLost(b *testbed.Bed) (count uint64) {
	for _, name := range b.Names {
		if status, err := b.Status(name); err == nil {
			count += status.PeersLost
		}
	}
	return count
}

// medianAndMax are of some times, in s.
func medianAndMax(times []time.Duration) (median, longest float64) {
	seconds := make([]float64, len(times))
	for i, d := range times {
		seconds[i] = d.Seconds()
	}
	return standin.Quantile(seconds, 0.5), slices.Max(seconds)
}
