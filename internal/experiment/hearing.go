package experiment

// This file owns the experiment fleet-hearing: real processes that know one another behind relays, with faults between
// them. It must never count a view that it did not ask for.

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"gonum.org/v1/plot/plotter"

	"sorrelvalve/decision/health"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

// settled has RPCs that are held for longer pushed back for nothing else, so that who is pushed back hears at once.
var settled = operator.File{Queue: operator.Queue{SettledMs: 20}}

// medianAndMax are of some times, in s.
func medianAndMax(times []time.Duration) (median, longest float64) {
	seconds := make([]float64, len(times))
	for i, d := range times {
		seconds[i] = d.Seconds()
	}
	return standin.Quantile(seconds, 0.5), slices.Max(seconds)
}

// Hearing is the experiment fleet-hearing.
func Hearing(o Options) (*Report, error) {
	serve, err := fleetServerProcess()
	if err != nil {
		return nil, err
	}
	servers, rounds, lossy, rest, load := 8, 6, 60*time.Second, 20*time.Second, 60*time.Second
	if o.Quick {
		rounds, lossy, rest, load = 1, 3*time.Second, 3*time.Second, 5*time.Second
	}
	var names []string
	for i := range servers {
		names = append(names, fmt.Sprint("n", i))
	}
	b, err := testbed.New(testbed.Options{
		Names: names, Seed: o.Seed, Zone: func(i int) string { return fmt.Sprint("z", i%2) }, Cores: 2, SettingsJSON: fleetSettings,
		Invariants: standin.NewInvariantChecker(), ServeCommand: serve, Operator: settled,
	})
	if err != nil {
		return nil, err
	}
	defer b.Close()
	r := &Report{Name: "fleet-hearing", Header: []string{"what", "rounds", "p50 s", "max s"}}
	took := func(viewers []string, wanted func(*testbed.Observation) bool) (time.Duration, error) {
		began := time.Now()
		err := b.Await(awaitLimit, viewers, wanted)
		return time.Since(began), err
	}
	times := map[string][]time.Duration{}
	var order []string
	await := func(what string, viewers []string, state string, heard int) error {
		d, err := took(viewers, testbed.ExpectView(state, heard))
		if err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
		if times[what] == nil {
			order = append(order, what)
		}
		times[what] = append(times[what], d)
		return nil
	}
	do := func(lines string) error {
		s, err := script.Parse(lines, names)
		for _, x := range s {
			if err == nil {
				err = b.Apply(x)
			}
		}
		return err
	}
	join := func(x []string) string { return strings.Join(x, ",") }
	for round := range rounds {
		k := (round*3 + int(o.Seed)) % servers
		others := slices.Delete(slices.Clone(names), k, k+1)
		half, rest := names[:servers/2], names[servers/2:]
		for _, step := range []struct {
			lines, what string
			viewers     []string
			state       string
			heard       int
		}{
			{"0s start *", "all start at once: all whole", names, "whole", servers},
			{"0s kill " + names[k], "one killed: the rest part", others, "part", servers - 1},
			{"0s start " + names[k], "it starts again: all whole", names, "whole", servers},
			{"0s split " + join(half) + "|" + join(rest), "cut in halves: all part", names, "part", servers / 2},
			{"0s heal", "halves healed: all whole", names, "whole", servers},
			{"0s cut " + names[k] + ">*\n0s cut *>" + names[k], "one cut off: it is alone", names[k : k+1], "alone", 1},
			{"", "one cut off: the rest part", others, "part", servers - 1},
			{"0s heal", "the one healed: all whole", names, "whole", servers},
			{"0s stop " + join(names[:2]), "a quarter stopped: the rest part", names[2:], "part", servers - 2},
			{"0s cont " + join(names[:2]), "they wake: all whole", names, "whole", servers},
		} {
			if o.Quick && (strings.Contains(step.what, "halves") || strings.Contains(step.what, "quarter") || strings.Contains(step.what, "wake")) {
				continue
			}
			if err := do(step.lines); err != nil {
				return nil, err
			}
			if err := await(step.what, step.viewers, step.state, step.heard); err != nil {
				return nil, err
			}
		}
		if round < rounds-1 {
			if err := do("0s kill *"); err != nil {
				return nil, err
			}
		}
	}
	var cut, heal float64
	for _, what := range order {
		p50, most := medianAndMax(times[what])
		r.AddRow(what, len(times[what]), p50, most)
		if strings.HasSuffix(what, "it is alone") {
			cut = most
		}
		if strings.Contains(what, "healed") {
			heal = max(heal, most)
		}
	}
	r.AddChecks(atMost("s until a server that was cut off is alone", cut, 3))
	r.AddChecks(atMost("s from a heal until all are whole", heal, 5))

	// At rest: what it costs. Nobody asks the servers meanwhile.
	before, cpu, err := cost(b)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	time.Sleep(rest)
	after, cpu2, err := cost(b)
	if err != nil {
		return nil, err
	}
	over := time.Since(began).Seconds()
	bytes, core := 0.0, 0.0
	for _, name := range names {
		bytes = max(bytes, float64(after[name].Traffic.BytesOut-before[name].Traffic.BytesOut)/over)
		core = max(core, 100*(cpu2[name]-cpu[name]).Seconds()/over)
	}
	r.AddRow(fmt.Sprintf("at rest, %d servers: bytes a second out, the most of any", servers), 1, bytes, "")
	r.AddRow("at rest: % of a core, the most of any, admission's ticks included", 1, core, "")
	r.AddChecks(atMost("bytes a second from each server at rest", bytes, 4096))

	// Loss: nobody who runs is to be called silent.
	if err := do("0s loss *>* 0.1"); err != nil {
		return nil, err
	}
	lostBefore := lost(b)
	time.Sleep(lossy)
	wrong := lost(b) - lostBefore
	if err := do("0s heal"); err != nil {
		return nil, err
	}
	c := b.Network.Counts()
	if c.Dropped == 0 {
		return nil, fmt.Errorf("no packet was lost under loss")
	}
	r.AddRow(fmt.Sprintf("10%% loss for %.0f s: wrong deaths", lossy.Seconds()), 1, float64(wrong), "")
	r.AddChecks(atMost("wrong deaths under 10% loss", float64(wrong), 0))
	if err := b.Await(awaitLimit, names, testbed.ExpectView("whole", servers)); err != nil {
		return nil, err
	}
	ratio, err := admission(o, b, serve, load, r)
	if err != nil {
		return nil, err
	}
	r.AddChecks(atMost("pushback p99 with membership, under faults, over without", ratio, 1.1))
	b.Close()
	share, err := fleetCost(o, r)
	if err != nil {
		return nil, err
	}
	r.AddChecks(atMost("% of a core for membership at 8 servers", share, 1))
	return r, many(o, r)
}

func cost(b *testbed.Bed) (map[string]fleet.Status, map[string]time.Duration, error) {
	views, cpu := map[string]fleet.Status{}, map[string]time.Duration{}
	for _, name := range b.Names {
		v, err := b.Status(name)
		if err != nil {
			return nil, nil, err
		}
		views[name] = v
		if cpu[name], err = b.Processes.CPUTime(name); err != nil {
			return nil, nil, err
		}
	}
	return views, cpu, nil
}

// lost is how often anybody was called silent by anybody.
func lost(b *testbed.Bed) (n uint64) {
	for _, name := range b.Names {
		if v, err := b.Status(name); err == nil {
			n += v.Lost
		}
	}
	return n
}

// admission loads one server with a fleet, between which and the others faults are played, and one without, at the same
// time by the same plan; it returns the ratio of the p99 of pushback.
func admission(o Options, with *testbed.Bed, serve func() testbed.Command, load time.Duration, r *Report) (float64, error) {
	rules := standin.NewInvariantChecker("topup-buy")
	without, err := testbed.New(testbed.Options{Names: []string{"plain"}, NoFleet: true, Seed: o.Seed, Cores: 2, SettingsJSON: fleetSettings, ServeCommand: serve, Operator: settled})
	if err != nil {
		return 0, err
	}
	defer without.Close()
	if err := without.StartAll(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second) // its ramp is over
	cpu0, err := without.Processes.CPUTime("plain")
	if err != nil {
		return 0, err
	}
	idle := 2 * time.Second
	if !o.Quick {
		idle = 10 * time.Second
	}
	time.Sleep(idle)
	cpu1, err := without.Processes.CPUTime("plain")
	if err != nil {
		return 0, err
	}
	r.AddRow("at rest without membership: % of a core", 1, 100*(cpu1-cpu0).Seconds()/idle.Seconds(), "")
	ctx, end := context.WithCancel(context.Background())
	defer end()
	var side sync.WaitGroup
	side.Go(func() {
		for ctx.Err() == nil { // n1 is loaded; its contact comes and goes
			s, _ := script.Parse("0s split n0,n1|n2,n3\n1500ms loss *>* 0.3\n1500ms kill n7\n2500ms heal\n2500ms start n7\n3500ms stop n5\n5000ms cont n5", with.Names)
			with.Play(ctx, s)
		}
	})
	samples := map[string][]standin.Sample{}
	var mu sync.Mutex
	var runs sync.WaitGroup
	for way, addr := range map[string]string{"with": with.ListenAddr("n1"), "without": without.ListenAddr("plain")} {
		runs.Go(func() {
			router := standin.NewRouter(addr)
			defer router.Close()
			got := standin.LoadPlan{Rate: 300, Duration: load, Callers: 3, Seed: o.Seed, Deadline: 2 * time.Second, Kinds: []standin.RequestKind{
				{Method: "account-view", Share: 0.5, MeanWorkMs: 10}, {Method: "settings-save", Share: 0.35, MeanWorkMs: 10}, {Method: "topup-buy", Share: 0.15, MeanWorkMs: 10, WithToken: true},
			}}.Run(ctx, map[string]standin.Caller{"msgpack": router}, rules)
			mu.Lock()
			defer mu.Unlock()
			samples[way] = got
		})
	}
	runs.Wait()
	end()
	side.Wait()
	with.Network.Heal()
	for _, name := range []string{"n5", "n7"} {
		with.Processes.Signal(name, syscall.SIGCONT)
		with.Processes.Start(name) // if the last play ended with it killed
	}
	p99 := map[string]float64{}
	for _, way := range []string{"without", "with"} {
		var pushed []float64
		ok := 0
		for _, s := range samples[way] {
			if s.Outcome == standin.Rejected {
				pushed = append(pushed, float64(s.Latency)/1e6)
			} else if s.Outcome == standin.OK {
				ok++
			}
		}
		if len(pushed) < 20 {
			return 0, fmt.Errorf("%s: %d pushed back of %d", way, len(pushed), len(samples[way]))
		}
		p99[way] = standin.Quantile(pushed, 0.99)
		r.AddRow(way+" membership, faults beside: pushback p99 in ms; ok; pushed back", len(samples[way]), p99[way], fmt.Sprint(ok, " ", len(pushed)))
	}
	return p99["with"] / p99["without"], nil
}

// fleetCost is the share of a core that membership itself takes at eight servers: eight in this process, over loopback,
// with nothing else in it.
func fleetCost(o Options, r *Report) (float64, error) {
	return meshCost(o, r, 8)
}

// many measures a roster of 300 in one process.
func many(o Options, r *Report) error {
	n := 300
	if o.Quick {
		n = 100
	}
	_, err := meshCost(o, r, n)
	return err
}

func meshCost(o Options, r *Report, n int) (share float64, err error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	mesh := fleet.NewMesh()
	places := make([]fleet.Options, n)
	for i := range places {
		places[i] = mesh.Place(fmt.Sprintf("n%03d", i))
	}
	var all []*fleet.Fleet
	defer func() {
		var ends sync.WaitGroup
		for _, f := range all {
			ends.Go(f.Drop)
		}
		ends.Wait()
		mesh.Close()
	}()
	began := time.Now()
	for i, p := range places {
		p.Log, p.Zone, p.Seeds = logger.WithField("node", p.Name), fmt.Sprint("z", i%3), []string{places[0].Listen}
		f, err := fleet.Start(p)
		if err != nil {
			return 0, err
		}
		all = append(all, f)
	}
	line := Line{Name: fmt.Sprint(n, " servers")}
	for {
		whole := 0
		for _, f := range all {
			if v := f.View(); v.State == health.Whole && v.Heard == n {
				whole++
			}
		}
		line.Points = append(line.Points, plotter.XY{X: time.Since(began).Seconds(), Y: float64(whole) / float64(n)})
		if whole == n {
			break
		}
		if time.Since(began) > awaitLimit {
			return 0, fmt.Errorf("%d of %d views whole after %s", whole, n, awaitLimit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	agreed := time.Since(began).Seconds()
	sum := func() (bytes, packets uint64) {
		for _, f := range all {
			t := f.Status().Traffic
			bytes, packets = bytes+t.BytesOut, packets+t.PacketsOut
		}
		return bytes, packets
	}
	window := 3 * time.Second
	if !o.Quick {
		window = 20 * time.Second
	}
	b0, p0 := sum()
	cpu0 := ownCPU()
	time.Sleep(window)
	cpu := ownCPU() - cpu0
	b1, p1 := sum()
	per := window.Seconds() * float64(n)
	share = 100 * cpu.Seconds() / per
	r.AddRow(fmt.Sprintf("%d in one process: s until all whole; bytes and packets a second, %% of a core for each", n), 1, agreed,
		fmt.Sprintf("%.0f B %.1f p %.3f%%", float64(b1-b0)/per, float64(p1-p0)/per, share))
	r.Charts = append(r.Charts, Chart{Name: fmt.Sprint("start-", n), XLabel: "s since the start", YLabel: "share of views that are whole", Lines: []Line{line}})
	return share, nil
}

// ownCPU is the processor time of this process.
func ownCPU() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
