package experiment

// This file owns the experiment fleet-judge: members of a pool that turn bad in several ways, judged by each server for itself
// and by the fleet together, under the same troubles in one run. It must never count as out what servers still use.

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/plot/plotter"

	"sorrelvalve/decision/pool"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/standin/script"
)

// judgeRules are the usual ones of a pool.
var judgeRules = pool.Config{MaxConnections: 32, MaxQueued: 0, QueueTimeout: 0, ConsecutiveFailures: 5, LatencyFactor: 4, MinHealthyShare: 0.5, BaseEjection: 2000, SlowStart: 5000}

// phase is one trouble of the experiment.
type phase struct {
	name  string
	on    fleetsim.MemberFault
	other *fleetsim.MemberFault // beside it
	bad   bool                  // ok in target is to be better together
	who   int                   // the member that is to be out; negative for none
	sound bool                  // no member is bad: none is to be out
}

const (
	judgeMembers = 10
	phaseMs      = 20e3
	betweenMs    = 15e3
)

func judgePhases(n int) []phase {
	half := make([]int, n/2)
	other := make([]int, n-n/2)
	for i := range half {
		half[i] = i
	}
	for i := range other {
		other[i] = n/2 + i
	}
	m := func(k ...int) []int { return k }
	all := m(0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
	return []phase{
		{name: "fails at once", on: fleetsim.MemberFault{Members: m(3), FailureRate: 1}, bad: true, who: 3},
		{name: "says nothing", on: fleetsim.MemberFault{Members: m(5), NoResponse: true}, bad: true, who: 5},
		{name: "ten times as slow", on: fleetsim.MemberFault{Members: m(7), Slowdown: 10}, who: 7},
		{name: "answers every tenth", on: fleetsim.MemberFault{Members: m(1), FailureRate: 0.9}, bad: true, who: 1},
		{name: "bad from one zone", on: fleetsim.MemberFault{Members: m(2), NoResponse: true, Zone: "z1"}, who: -1},
		{name: "flaps each 3 s", on: fleetsim.MemberFault{Members: m(4), NoResponse: true, FlapMs: 3000}, bad: true, who: -1},
		{name: "one server meets all as bad", on: fleetsim.MemberFault{Members: all, FailureRate: 1, Servers: m(5)}, who: -1, sound: true},
		{name: "halves, another bad on each side", on: fleetsim.MemberFault{Members: m(3), NoResponse: true, Servers: half}, other: &fleetsim.MemberFault{Members: m(6), NoResponse: true, Servers: other}, who: -1},
		{name: "all are slow", on: fleetsim.MemberFault{Members: all, Slowdown: 5}, who: -1, sound: true},
	}
}

// FleetJudge is the experiment.
func FleetJudge(o Options) (*Report, error) {
	r := &Report{Name: "fleet-judge", Header: []string{"what", "each for itself", "together", "beside"}}
	n, seeds, rate := 300, 3, 0.5
	if o.Quick {
		n, seeds, rate = 40, 1, 3.5
	}
	phases := judgePhases(n)
	var troubles []fleetsim.MemberFault
	at := 20e3
	begins := make([]float64, len(phases))
	var text string
	for i, p := range phases {
		begins[i] = at
		for _, t := range []*fleetsim.MemberFault{&p.on, p.other} {
			if t != nil {
				x := *t
				x.FromMs, x.UntilMs = at, at+phaseMs
				troubles = append(troubles, x)
			}
		}
		if p.other != nil {
			some := func(from, to int) (s string) {
				for k := from; k < to; k++ {
					s += fmt.Sprint(",n", k)
				}
				return s[1:]
			}
			text += fmt.Sprintf("%dms split %s|%s\n%dms heal\n", int(at-2000), some(0, n/2), some(n/2, n), int(at+phaseMs))
		}
		at += phaseMs + betweenMs
	}
	s, err := script.Parse(text, fleetsim.ServerNames(n))
	if err != nil {
		return nil, err
	}
	length := at
	ways := make([][]*fleetsim.Simulation, 2)
	for k := range ways {
		ways[k] = make([]*fleetsim.Simulation, seeds)
	}
	began := time.Now()
	found := 0
	results := make([]*fleetsim.Result, 2*seeds)
	inParallel(2*seeds, func(i int) {
		v := &fleetsim.BackendOptions{Members: judgeMembers, RatePerServer: rate, MeanWorkMs: 30, SharedDetection: i%2 == 1, PoolRules: judgeRules, Faults: troubles, TargetMs: 200, RetryableShare: 0.4,
			Capacity: 6, LyingServers: []int{n - 1}}
		w := fleetsim.New(fleetsim.Options{Servers: n, Zones: 3, Seed: uint64(o.Seed*100) + uint64(i/2), DurationMs: length, Script: s, Backends: v})
		results[i] = w.Run()
		ways[i%2][i/2] = w
	})
	for _, x := range results {
		for _, f := range x.Findings {
			if f.Checker == "services" {
				found++
				fmt.Fprintln(o.Out, f)
			}
		}
	}
	chart := Chart{Name: "ok", XLabel: "s", YLabel: "ok in target, share"}
	for k, name := range []string{"each for itself", "together"} {
		line := Line{Name: name}
		for i, x := range ways[k][0].BackendSeries[:int(length/1000)] {
			line.Points = append(line.Points, plotter.XY{X: float64(i), Y: float64(x.OK) / math.Max(1, float64(x.Requests))})
		}
		chart.Lines = append(chart.Lines, line)
	}
	r.Charts = append(r.Charts, chart)
	worstPhase, leastBad, slowest := math.Inf(1), math.Inf(1), 0.0
	var sick, early [2]float64
	for i, p := range phases {
		var ok, out [2]float64
		all := 0
		var wrong [2]int
		for k := range ways {
			for _, w := range ways[k] {
				asked, good := 0, 0
				from, to := int(begins[i]/1000), int((begins[i]+phaseMs)/1000)
				for _, x := range w.BackendSeries[from : to+5] {
					asked, good = asked+x.Requests, good+x.OK
				}
				if p.who >= 0 && p.on.Slowdown == 0 {
					for s, x := range w.BackendSeries[from:to] {
						if s < 3 {
							early[k] += float64(x.FaultyAttempts) / float64(seeds)
						} else {
							sick[k] += float64(x.FaultyAttempts) / float64(seeds)
						}
					}
				}
				for _, x := range w.BackendSeries[from:to] {
					wrong[k] = max(wrong[k], x.FalseEjections)
				}
				all += asked
				ok[k] += float64(good) / float64(asked) / float64(seeds)
				if p.who >= 0 {
					took := phaseMs / 1000
					for s, x := range w.BackendSeries[from:to] {
						if x.EjectedAt[p.who] >= n*9/10 {
							took = float64(s) + 1
							break
						}
					}
					out[k] += took / float64(seeds)
				}
			}
		}
		r.AddRow(p.name+": ok in target", ok[0], ok[1], "")
		if p.who >= 0 {
			r.AddRow("  s until nine in ten servers have it out", out[0], out[1], "")
			if p.on.Slowdown == 0 {
				slowest = math.Max(slowest, out[1]/out[0])
			}
		}
		r.AddRow("  sound members out, over all servers at a time", wrong[0], wrong[1], "")
		// What chance does: two standard deviations of the difference.
		chance := 2 * math.Sqrt(2*ok[0]*(1-ok[0])/float64(max(1, all/2))) / ok[0]
		worstPhase = math.Min(worstPhase, ok[1]/ok[0]+chance)
		if p.bad {
			leastBad = math.Min(leastBad, ok[1]/ok[0])
		}
		if p.sound {
			r.AddChecks(atMost(p.name+": sound members out, together", float64(wrong[1]), 0))
		}
	}
	most := 0.0
	for _, w := range ways[1] {
		most = math.Max(most, w.MaxEjectedShare())
	}
	r.AddRow("tries to members bad for all, from 3 s after they turned so", sick[0], sick[1], "")
	r.AddRow("  in the first 3 s", early[0], early[1], "")
	r.AddRow("most members out at one server, share", "", most, "")
	r.AddRow(fmt.Sprintf("%d servers, %d members, %g RPC/s each, %d seeds: s of real time", n, judgeMembers, rate, seeds), "", time.Since(began).Seconds(), "")
	r.AddChecks(atMost("time until a failing member is out, over each for itself", slowest, 0.5))
	r.AddChecks(atMost("probes: tries to bad members from 3 s on, over each for itself", sick[1]/sick[0], 0.25))
	r.AddChecks(atMost("most members out at one server, share", most, 1-judgeRules.MinHealthyShare))
	r.AddChecks(atMost("findings on the allowance", float64(found), 0))
	r.AddChecks(atLeast("ok in target over each for itself, the worst phase, and two standard deviations", worstPhase, 1))
	r.AddChecks(atLeast("ok in target over each for itself, the least of the bad phases", leastBad, 1.02))
	ramp(r, ways[1], phases, begins, n)
	agree(r, ways[1], phases, begins, n)
	return r, judgeProcesses(o, r)
}

// ramp is the load on members that return, over the whole fleet, beside a line from nothing to its part.
func ramp(r *Report, ways []*fleetsim.Simulation, phases []phase, begins []float64, n int) {
	got, wanted := 0.0, 0.0
	for i, p := range phases {
		if p.who < 0 || p.on.Slowdown > 0 {
			continue
		}
		for _, w := range ways {
			for s := int((begins[i] + phaseMs) / 1000); s < len(w.BackendSeries)-6; s++ {
				if w.BackendSeries[s].EjectedAt[p.who] > n/10 {
					continue
				}
				for k := 1; k <= int(judgeRules.SlowStart/1000); k++ { // the second of the return is left out: it is not known when in it
					x := w.BackendSeries[s+k]
					others := 0
					for m, picked := range x.Attempts {
						if m != p.who {
							others += picked
						}
					}
					got += float64(x.Attempts[p.who])
					wanted += math.Min(1, float64(k)*1000/judgeRules.SlowStart) * float64(others) / (judgeMembers - 1)
				}
				break
			}
		}
	}
	chance := 2 / math.Sqrt(math.Max(1, wanted))
	r.AddRow("RPCs to members that return, over their ramps; wanted", "", got, wanted)
	r.AddChecks(atMost("load on returning members off its ramp, less two standard deviations", math.Max(0, math.Abs(got/wanted-1)-chance), 0.1))
}

// agree is how long servers held different members out, after a cut was healed.
func agree(r *Report, ways []*fleetsim.Simulation, phases []phase, begins []float64, n int) {
	worst := 0.0
	for i, p := range phases {
		if p.other == nil {
			continue
		}
		for _, w := range ways {
			from := int((begins[i] + phaseMs) / 1000)
			last := from
			for s := from; s < from+int(betweenMs/1000); s++ {
				for _, out := range w.BackendSeries[s].EjectedAt {
					if out > 0 && out < n {
						last = s + 1
					}
				}
			}
			worst = math.Max(worst, float64(last-from))
		}
	}
	r.AddChecks(atMost("s from a heal until all hold the same members out", worst, 3))
}
