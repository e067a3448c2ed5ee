package experiment

import (
	"fmt"
	"math"
	"strings"
	"time"

	"sorrelvalve/decision/pool"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/standin/script"
)

const (
	outlierMembers  = 10
	outlierWarmUpMs = 20e3 // before the first phase
	phaseMs         = 20e3 // for which a phase's fault lasts
	betweenPhasesMs = 15e3
	partitionLeadMs = 2000 // a partition begins so long before its phase
	noMember        = -1
	earlySeconds    = 3 // of a phase, in which a member is not yet expected to be ejected
	lateOKSeconds   = 5 // after a phase, whose RPCs still count for it
)

// detectionMode is who decides that a member is an outlier.
type detectionMode int

const (
	detectAlone  detectionMode = iota // each server for itself
	detectShared                      // the fleet together
	detectionModes
)

// outlierRules are the usual ones of a pool.
var outlierRules = pool.Config{
	MaxConnections:      32,
	MaxQueued:           0,
	QueueTimeout:        0,
	ConsecutiveFailures: 5,
	LatencyFactor:       4,
	MinHealthyShare:     0.5,
	BaseEjection:        2000,
	SlowStart:           5000,
}

// phase is one fault of the experiment.
type phase struct {
	name        string
	fault       fleetsim.MemberFault
	secondFault *fleetsim.MemberFault // on the other side of a partition; nil for none
	sharedWins  bool                  // ok in target is to be better together
	member      int                   // that is to be ejected; noMember for none
	allSound    bool                  // no member is bad: none is to be ejected
	beganMs     float64
}

// seconds are the first second of the phase and the one after its last.
func (p *phase) seconds() (from, to int) {
	return int(p.beganMs / 1000), int((p.beganMs + phaseMs) / 1000)
}

// failing reports whether a member fails in the phase, rather than being slow.
func (p *phase) failing() bool { return p.member != noMember && p.fault.Slowdown == 0 }

// numbers are those from one up to another, which is excluded.
func numbers(from, to int) (all []int) {
	for i := from; i < to; i++ {
		all = append(all, i)
	}
	return all
}

// outlierPhases are the phases for a fleet, one after another.
func outlierPhases(servers int) []phase {
	type fault = fleetsim.MemberFault
	all := numbers(0, outlierMembers)
	firstHalf, secondHalf := numbers(0, servers/2), numbers(servers/2, servers)
	phases := []phase{
		{name: "fails at once", fault: fault{Members: []int{3}, FailureRate: 1}, sharedWins: true, member: 3},
		{name: "says nothing", fault: fault{Members: []int{5}, NoResponse: true}, sharedWins: true, member: 5},
		{name: "ten times as slow", fault: fault{Members: []int{7}, Slowdown: 10}, member: 7},
		{name: "answers every tenth", fault: fault{Members: []int{1}, FailureRate: 0.9}, sharedWins: true, member: 1},
		{name: "bad from one zone", fault: fault{Members: []int{2}, NoResponse: true, Zone: "z1"}, member: noMember},
		{name: "flaps each 3 s", fault: fault{Members: []int{4}, NoResponse: true, FlapMs: 3000}, sharedWins: true, member: noMember},
		{name: "one server meets all as bad", fault: fault{Members: all, FailureRate: 1, Servers: []int{5}}, member: noMember, allSound: true},
		{name: "halves, another bad on each side", fault: fault{Members: []int{3}, NoResponse: true, Servers: firstHalf},
			secondFault: &fault{Members: []int{6}, NoResponse: true, Servers: secondHalf}, member: noMember},
		{name: "all are slow", fault: fault{Members: all, Slowdown: 5}, member: noMember, allSound: true},
	}
	for i := range phases {
		phases[i].beganMs = outlierWarmUpMs + float64(i)*(phaseMs+betweenPhasesMs)
	}
	return phases
}

// outlierExperiment is fleet-judge: members of a pool that turn bad in several ways, ejected by each server for itself
// and by the fleet together, under the same faults in one run. A member counts as ejected only where servers no longer
// use it.
type outlierExperiment struct {
	options Options
	report  *Report
	began   time.Time

	servers int
	seeds   int
	rate    float64 // RPCs a second at each server
	phases  []phase

	simulations [detectionModes][]*fleetsim.Simulation // by seed
	findings    int

	lateAttempts  [detectionModes]float64 // to failing members, after the first seconds of a phase
	earlyAttempts [detectionModes]float64 // in these
	slowestRatio  float64                 // of the times to ejection, shared over alone
	worstOKRatio  float64                 // of ok in target, shared over alone, and two standard deviations
	worstBadRatio float64                 // of the phases in which a shared detection is to be better
}

// FleetOutlierDetection is the experiment fleet-judge.
func FleetOutlierDetection(o Options) (*Report, error) {
	x := &outlierExperiment{
		options:       o,
		report:        &Report{Name: "fleet-judge", Header: []string{"what", "each for itself", "together", "beside"}},
		servers:       300,
		seeds:         3,
		rate:          0.5,
		worstOKRatio:  math.Inf(1),
		worstBadRatio: math.Inf(1),
	}
	if o.Quick {
		x.servers = 40
		x.seeds = 1
		x.rate = 3.5
	}
	x.phases = outlierPhases(x.servers)
	err := runSteps([]step{
		{"simulate", x.simulate},
		{"chart ok in target", x.chart},
		{"report the phases", x.reportPhases},
		{"report the attempts", x.reportAttempts},
		{"check the simulations", x.checkSimulations},
		{"check the slow starts", x.checkSlowStarts},
		{"check the agreement", x.checkAgreement},
		{"detect outliers by processes", func() error { return outlierProcesses(o, x.report) }},
	})
	return x.report, err
}

func (x *outlierExperiment) durationMs() float64 {
	return x.phases[len(x.phases)-1].beganMs + phaseMs + betweenPhasesMs
}

// faults are those of all phases, with their times.
func (x *outlierExperiment) faults() (all []fleetsim.MemberFault) {
	for _, p := range x.phases {
		for _, fault := range []*fleetsim.MemberFault{&p.fault, p.secondFault} {
			if fault == nil {
				continue
			}
			timed := *fault
			timed.FromMs = p.beganMs
			timed.UntilMs = p.beganMs + phaseMs
			all = append(all, timed)
		}
	}
	return all
}

// partitions cuts the fleet in halves in phases that have a fault on either side.
func (x *outlierExperiment) partitions() (script.Script, error) {
	names := fleetsim.ServerNames(x.servers)
	half := x.servers / 2
	var lines strings.Builder
	for _, p := range x.phases {
		if p.secondFault == nil {
			continue
		}
		fmt.Fprintf(&lines, "%dms split %s|%s\n", int(p.beganMs-partitionLeadMs), strings.Join(names[:half], ","), strings.Join(names[half:], ","))
		fmt.Fprintf(&lines, "%dms heal\n", int(p.beganMs+phaseMs))
	}
	return script.Parse(lines.String(), names)
}

// simulate runs all seeds by either mode.
func (x *outlierExperiment) simulate() error {
	partitions, err := x.partitions()
	if err != nil {
		return err
	}
	faults := x.faults()
	x.began = time.Now()
	for mode := range x.simulations {
		x.simulations[mode] = make([]*fleetsim.Simulation, x.seeds)
	}
	runs := int(detectionModes) * x.seeds
	results := make([]*fleetsim.Result, runs)
	inParallel(runs, func(i int) {
		mode, seed := detectionMode(i%int(detectionModes)), i/int(detectionModes)
		simulation := fleetsim.New(fleetsim.Options{
			Servers:    x.servers,
			Zones:      3,
			Seed:       uint64(x.options.Seed*100) + uint64(seed),
			DurationMs: x.durationMs(),
			Script:     partitions,
			Backends: &fleetsim.BackendOptions{
				Members:         outlierMembers,
				RatePerServer:   x.rate,
				MeanWorkMs:      30,
				SharedDetection: mode == detectShared,
				PoolRules:       outlierRules,
				Faults:          faults,
				TargetMs:        200,
				RetryableShare:  0.4,
				Capacity:        6,
				LyingServers:    []int{x.servers - 1},
			},
		})
		results[i] = simulation.Run()
		x.simulations[mode][seed] = simulation
	})
	return x.printFindings(results)
}

// printFindings prints and counts what the simulator's checker found about the pools.
func (x *outlierExperiment) printFindings(results []*fleetsim.Result) error {
	for _, result := range results {
		for _, finding := range result.Findings {
			if finding.Checker != "services" {
				continue
			}
			x.findings++
			if _, err := fmt.Fprintln(x.options.Out, finding); err != nil {
				return err
			}
		}
	}
	return nil
}

func (x *outlierExperiment) chart() error {
	chart := Chart{Name: "ok", XLabel: "s", YLabel: "ok in target, share"}
	for mode, name := range []string{"each for itself", "together"} {
		line := Line{Name: name}
		for second, s := range x.simulations[mode][0].BackendSeries[:int(x.durationMs()/1000)] {
			line.add(float64(second), float64(s.OK)/math.Max(1, float64(s.Requests)))
		}
		chart.Lines = append(chart.Lines, line)
	}
	x.report.Charts = append(x.report.Charts, chart)
	return nil
}

// phaseResult is what one phase came to by one mode; shares and times are means over the seeds.
type phaseResult struct {
	requests       int
	okShare        float64
	ejectedAfter   float64 // s until nine in ten servers had ejected the member; the phase's length if they had not
	earlyAttempts  float64 // to the failing member
	lateAttempts   float64
	falseEjections int // the most over all servers at a time
}

// measure sums up one phase by one mode.
func (x *outlierExperiment) measure(p *phase, mode detectionMode) (result phaseResult) {
	seeds := float64(x.seeds)
	from, to := p.seconds()
	for _, simulation := range x.simulations[mode] {
		requests, ok := 0, 0
		for _, second := range simulation.BackendSeries[from : to+lateOKSeconds] {
			requests += second.Requests
			ok += second.OK
		}
		result.requests += requests
		result.okShare += float64(ok) / float64(requests) / seeds
		for i, second := range simulation.BackendSeries[from:to] {
			result.falseEjections = max(result.falseEjections, second.FalseEjections)
			if i < earlySeconds {
				result.earlyAttempts += float64(second.FaultyAttempts) / seeds
			} else {
				result.lateAttempts += float64(second.FaultyAttempts) / seeds
			}
		}
		if p.member != noMember {
			result.ejectedAfter += x.ejectedAfter(simulation, p) / seeds
		}
	}
	return result
}

// ejectedAfter is how many seconds of a phase passed until nine in ten servers had ejected its member.
func (x *outlierExperiment) ejectedAfter(simulation *fleetsim.Simulation, p *phase) float64 {
	from, to := p.seconds()
	for i, second := range simulation.BackendSeries[from:to] {
		if second.EjectedAt[p.member] >= x.servers*9/10 {
			return float64(i) + 1
		}
	}
	return phaseMs / 1000
}

func (x *outlierExperiment) reportPhases() error {
	for i := range x.phases {
		p := &x.phases[i]
		alone, shared := x.measure(p, detectAlone), x.measure(p, detectShared)
		x.reportPhase(p, &alone, &shared)
		if p.failing() {
			x.earlyAttempts[detectAlone] += alone.earlyAttempts
			x.earlyAttempts[detectShared] += shared.earlyAttempts
			x.lateAttempts[detectAlone] += alone.lateAttempts
			x.lateAttempts[detectShared] += shared.lateAttempts
		}
	}
	return nil
}

func (x *outlierExperiment) reportPhase(p *phase, alone, shared *phaseResult) {
	r := x.report
	r.AddRow(p.name+": ok in target", alone.okShare, shared.okShare, "")
	if p.member != noMember {
		r.AddRow("  s until nine in ten servers have it out", alone.ejectedAfter, shared.ejectedAfter, "")
	}
	if p.failing() {
		x.slowestRatio = math.Max(x.slowestRatio, shared.ejectedAfter/alone.ejectedAfter)
	}
	r.AddRow("  sound members out, over all servers at a time", alone.falseEjections, shared.falseEjections, "")
	requests := float64(max(1, (alone.requests+shared.requests)/2))
	twoDeviations := 2 * math.Sqrt(2*alone.okShare*(1-alone.okShare)/requests) / alone.okShare
	ratio := shared.okShare / alone.okShare
	x.worstOKRatio = math.Min(x.worstOKRatio, ratio+twoDeviations)
	if p.sharedWins {
		x.worstBadRatio = math.Min(x.worstBadRatio, ratio)
	}
	if p.allSound {
		r.AddChecks(atMost(p.name+": sound members out, together", float64(shared.falseEjections), 0))
	}
}

// maxEjectedShare is the largest share of members that one server had ejected at a time.
func (x *outlierExperiment) maxEjectedShare() (largest float64) {
	for _, simulation := range x.simulations[detectShared] {
		largest = math.Max(largest, simulation.MaxEjectedShare())
	}
	return largest
}

func (x *outlierExperiment) reportAttempts() error {
	r := x.report
	r.AddRow("tries to members bad for all, from 3 s after they turned so", x.lateAttempts[detectAlone], x.lateAttempts[detectShared], "")
	r.AddRow("  in the first 3 s", x.earlyAttempts[detectAlone], x.earlyAttempts[detectShared], "")
	r.AddRow("most members out at one server, share", "", x.maxEjectedShare(), "")
	size := fmt.Sprintf("%d servers, %d members, %g RPC/s each, %d seeds", x.servers, outlierMembers, x.rate, x.seeds)
	r.AddRow(size+": s of real time", "", time.Since(x.began).Seconds(), "")
	return nil
}

func (x *outlierExperiment) checkSimulations() error {
	x.report.AddChecks(
		atMost("time until a failing member is out, over each for itself", x.slowestRatio, 0.5),
		atMost("probes: tries to bad members from 3 s on, over each for itself", x.lateAttempts[detectShared]/x.lateAttempts[detectAlone], 0.25),
		atMost("most members out at one server, share", x.maxEjectedShare(), 1-outlierRules.MinHealthyShare),
		atMost("findings on the allowance", float64(x.findings), 0),
		atLeast("ok in target over each for itself, the worst phase, and two standard deviations", x.worstOKRatio, 1),
		atLeast("ok in target over each for itself, the least of the bad phases", x.worstBadRatio, 1.02),
	)
	return nil
}

// checkSlowStarts compares the load on members that return, over all servers, with a line from nothing to their
// part of it.
func (x *outlierExperiment) checkSlowStarts() error {
	got, wanted := 0.0, 0.0
	for i := range x.phases {
		if !x.phases[i].failing() {
			continue
		}
		for _, simulation := range x.simulations[detectShared] {
			attempts, expected := x.slowStartLoad(simulation, &x.phases[i])
			got += attempts
			wanted += expected
		}
	}
	twoDeviations := 2 / math.Sqrt(math.Max(1, wanted))
	x.report.AddRow("RPCs to members that return, over their ramps; wanted", "", got, wanted)
	x.report.AddChecks(atMost("load on returning members off its ramp, less two standard deviations", math.Max(0, math.Abs(got/wanted-1)-twoDeviations), 0.1))
	return nil
}

// slowStartLoad is the attempts to a phase's member over its slow start, and those that the line expects. The second of
// the return is left out: it is not known when in it the member returned.
func (x *outlierExperiment) slowStartLoad(simulation *fleetsim.Simulation, p *phase) (attempts, expected float64) {
	series := simulation.BackendSeries
	slowStartSeconds := int(outlierRules.SlowStart / 1000)
	_, returned := p.seconds()
	for returned < len(series)-6 && series[returned].EjectedAt[p.member] > x.servers/10 {
		returned++
	}
	if returned >= len(series)-6 {
		return 0, 0
	}
	for k := 1; k <= slowStartSeconds; k++ {
		second := &series[returned+k]
		others := 0
		for member, n := range second.Attempts {
			if member != p.member {
				others += n
			}
		}
		attempts += float64(second.Attempts[p.member])
		expected += math.Min(1, float64(k)*1000/outlierRules.SlowStart) * float64(others) / (outlierMembers - 1)
	}
	return attempts, expected
}

// checkAgreement bounds how long servers had different members ejected after a partition was healed.
func (x *outlierExperiment) checkAgreement() error {
	worst := 0
	for i := range x.phases {
		if x.phases[i].secondFault == nil {
			continue
		}
		for _, simulation := range x.simulations[detectShared] {
			worst = max(worst, x.disagreement(simulation, &x.phases[i]))
		}
	}
	x.report.AddChecks(atMost("s from a heal until all hold the same members out", float64(worst), 3))
	return nil
}

// disagreement is for how many seconds after a phase some servers had ejected a member that others had not.
func (x *outlierExperiment) disagreement(simulation *fleetsim.Simulation, p *phase) int {
	_, healed := p.seconds()
	agreed := healed
	for s := healed; s < healed+int(betweenPhasesMs/1000); s++ {
		for _, ejectedAt := range simulation.BackendSeries[s].EjectedAt {
			if ejectedAt > 0 && ejectedAt < x.servers {
				agreed = s + 1
			}
		}
	}
	return agreed - healed
}
