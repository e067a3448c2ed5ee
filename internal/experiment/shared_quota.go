package experiment

import (
	"fmt"
	"math"
	"strings"

	"sorrelvalve/decision/quota"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/standin/script"
)

const (
	moveIntervalMs  = 10e3 // after which sticky callers move to another server
	settleSeconds   = 2    // after a move, from which on a customer's quota is to be served
	simulatedLength = 90   // s
)

// simulatedQuota is a bound that simulated servers share: 10 RPCs a second for each, and a quarter of a second's burst;
// callers stick to one server in a hundred, or to two, and move to others every ten seconds.
func simulatedQuota(servers int, scheme fleetsim.QuotaScheme) *fleetsim.QuotaOptions {
	n := float64(servers)
	return &fleetsim.QuotaOptions{
		Scheme: scheme,
		Rules: quota.Limit{
			Kind:             quota.Rate,
			Capacity:         10 * n,
			Burst:            2.5 * n,
			Servers:          servers,
			Floor:            0.2,
			MaxLeaseDuration: quota.DefaultLeaseDuration,
			ClockDrift:       quota.DefaultClockDrift,
		},
		StickyServers:   max(2, servers/100),
		RatePerCustomer: 12 * n,
		MoveIntervalMs:  moveIntervalMs,
	}
}

// FleetQuota is the experiment fleet-budgets: a customer's quota that simulated servers share by four schemes side by
// side; real processes that share one, and a pool's retries and calls in flight, with faults between them; and what
// sharing costs an RPC. Only what a server let through counts as served.
func FleetQuota(o Options) (*Report, error) {
	r := &Report{Name: "fleet-budgets", Header: []string{"what", "runs", "value", "beside"}}
	err := runSteps([]step{
		{"simulate the schemes", func() error { return simulateQuotaSchemes(o, r) }},
		// Side by side: the processes' load is light, and most of the time is waited for leases to end.
		{"share by processes", func() error {
			return runPartsConcurrently(o, r, []func(Options, *Report) error{quotaProcesses, poolBudgetProcesses})
		}},
		{"measure the cost", func() error { return measureQuotaCost(r) }},
	})
	return r, err
}

// quotaFaults is the schedule of the simulated fleets: two moves in contact, the server to which callers move cut off,
// a partition into halves over a move, grantors killed and restarted at once, a tenth stopped, and contact again.
func quotaFaults(servers int) string {
	names := fleetsim.ServerNames(servers)
	join := func(from, to int) string { return strings.Join(names[from:to], ",") }
	cutOff := names[stickyServer(servers, 3)]
	firstHalf, secondHalf := join(0, servers/2), join(servers/2, servers)
	quarter := join(1, servers/4)
	tenth := join(servers/2, servers/2+servers/10)
	return strings.Join([]string{
		"29s cut " + cutOff + ">*",
		"29s cut *>" + cutOff,
		"39s heal",
		"47s split " + firstHalf + "|" + secondHalf,
		"56s heal",
		"57s kill " + quarter,
		"57100ms start " + quarter,
		"59s stop " + tenth,
		"65s cont " + tenth,
	}, "\n")
}

// stickyServer is the first server to which callers stick after some moves, as the simulator has it.
func stickyServer(servers, moves int) int { return moves * max(2, servers/100) * 7 % servers }

// quotaRun is one simulated run.
type quotaRun struct {
	simulation *fleetsim.Simulation
	result     *fleetsim.Result
}

// simulateQuotaSchemes plays the same schedule by four schemes of dividing a bound.
func simulateQuotaSchemes(o Options, r *Report) error {
	servers, seeds := 300, 6
	if o.Quick {
		servers, seeds = 100, 2
	}
	faults, err := script.Parse(quotaFaults(servers), fleetsim.ServerNames(servers))
	if err != nil {
		return err
	}
	schemes := []fleetsim.QuotaScheme{fleetsim.StaticSplit, fleetsim.GossipEstimates, fleetsim.CentralLeases, fleetsim.PeerLeases}
	runs := make([]quotaRun, len(schemes)*seeds)
	inParallel(len(runs), func(i int) {
		simulation := fleetsim.New(fleetsim.Options{
			Servers:    servers,
			Zones:      3,
			Seed:       uint64(o.Seed*100) + uint64(i%seeds),
			DurationMs: simulatedLength * 1000,
			Script:     faults,
			Quota:      simulatedQuota(servers, schemes[i/seeds]),
		})
		runs[i] = quotaRun{simulation, simulation.Run()}
	})
	chart := Chart{Name: "ways", XLabel: "s", YLabel: "let through a second, of the bound"}
	for i, scheme := range schemes {
		result := tallyQuotaRuns(servers, runs[i*seeds:(i+1)*seeds])
		chart.Lines = append(chart.Lines, quotaLine(scheme, servers, runs[i*seeds].simulation))
		if scheme == fleetsim.PeerLeases {
			if err := printQuotaFindings(o, result.findings); err != nil {
				return err
			}
		}
		name := fmt.Sprintf("%d simulated servers, %s", servers, scheme)
		r.AddRow(name+": most in any second over bound and burst", seeds, result.peakUse, fmt.Sprintf("%d findings", len(result.findings)))
		r.AddRow("  in contact, from 2 s after a move: served of the whole quota, the least", seeds, result.inContact, "")
		r.AddRow("  cut off with all callers: served of its floor", seeds, result.cutOff, "")
		r.AddRow("  packets a second from a server, the most", seeds, result.packets, "")
		if scheme == fleetsim.PeerLeases {
			r.AddChecks(
				atMost("simulated: most in any second, over bound and burst", result.peakUse, 1),
				atMost("simulated: findings on the parts, the floors and the tables", float64(len(result.findings)), 0),
				atLeast("simulated: served of the whole quota from 2 s after a move", result.inContact, 0.95),
				atLeast("simulated: served of its floor by a server cut off", result.cutOff, 0.9),
			)
		}
	}
	r.Charts = append(r.Charts, chart)
	return nil
}

// quotaResult is what the runs by one scheme came to, the worst of each.
type quotaResult struct {
	peakUse   float64 // in any second, over bound and burst
	inContact float64 // share of the quota that was served
	cutOff    float64 // share of its floor that a server served which was cut off
	packets   float64 // a second from a server
	findings  []fleetsim.Finding
}

func tallyQuotaRuns(servers int, runs []quotaRun) quotaResult {
	result := quotaResult{inContact: 1, cutOff: math.Inf(1)}
	for _, run := range runs {
		result.peakUse = max(result.peakUse, run.simulation.PeakQuotaUse())
		result.inContact = min(result.inContact, servedInContact(servers, run.simulation))
		result.cutOff = min(result.cutOff, servedCutOff(servers, run.simulation))
		result.packets = max(result.packets, float64(run.simulation.MaxQuotaMessages())/simulatedLength)
		for _, finding := range run.result.Findings {
			if finding.Checker == "budgets" {
				result.findings = append(result.findings, finding)
			}
		}
	}
	return result
}

// servedInContact is the least part of the bound that was served after a move, while all servers were in contact. The
// first such move is long after the start.
func servedInContact(servers int, simulation *fleetsim.Simulation) float64 {
	bound := simulatedQuota(servers, fleetsim.StaticSplit).Rules.Capacity
	least := 1.0
	for _, move := range []int{10, 20, 70, 80} {
		from, to := move+settleSeconds, move+moveIntervalMs/1000
		admitted := 0.0
		for _, second := range simulation.QuotaSeries[from:to] {
			admitted += float64(second.Admitted)
		}
		least = min(least, admitted/float64(to-from)/bound)
	}
	return least
}

// servedCutOff is the part of its floor that the server served which was cut off with all callers.
func servedCutOff(servers int, simulation *fleetsim.Simulation) float64 {
	const from, to = 30, 39
	admitted := 0.0
	for _, second := range simulation.QuotaSeries[from:to] {
		admitted += float64(second.AdmittedByServer[stickyServer(servers, 3)])
	}
	return admitted / (to - from) / simulatedQuota(servers, fleetsim.StaticSplit).Rules.Floor
}

// quotaLine is what one run let through, over time.
func quotaLine(scheme fleetsim.QuotaScheme, servers int, simulation *fleetsim.Simulation) Line {
	bound := simulatedQuota(servers, scheme).Rules.Capacity
	line := Line{Name: scheme.String()}
	for second, s := range simulation.QuotaSeries[:simulatedLength] {
		line.add(float64(second), float64(s.Admitted)/bound)
	}
	return line
}

func printQuotaFindings(o Options, findings []fleetsim.Finding) error {
	for _, finding := range findings {
		if _, err := fmt.Fprintln(o.Out, finding); err != nil {
			return err
		}
	}
	return nil
}
