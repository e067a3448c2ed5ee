package experiment

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

const (
	admissionRate = 300.0 // RPCs a second
	admissionWork = 10.0  // ms for each
	minRejected   = 20    // for a p99 to mean something
	plainServer   = "plain"

	// admissionFaults are played again and again beside the load on n1, whose contact to the others comes and goes.
	admissionFaults = "0s split n0,n1|n2,n3\n1500ms loss *>* 0.3\n1500ms kill n7\n2500ms heal\n2500ms start n7\n3500ms stop n5\n5000ms cont n5"
)

// measureAdmission loads one server of a fleet, between which and the others faults are played, and one without a
// fleet, at the same time by the same plan. It returns the ratio of the p99 of the time to a rejection.
func measureAdmission(o Options, r *Report, with *testbed.Bed, serve func() testbed.Command, length time.Duration) (ratio float64, err error) {
	without, err := testbed.New(testbed.Options{
		Names:        []string{plainServer},
		NoFleet:      true,
		Seed:         o.Seed,
		Cores:        2,
		SettingsJSON: fleetSettings,
		ServeCommand: serve,
		Operator:     rejectEarly,
	})
	if err != nil {
		return 0, err
	}
	defer without.Close()
	if err := without.StartAll(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second) // its slow start is over
	if err := measureIdle(o, r, without); err != nil {
		return 0, err
	}
	samples, err := loadUnderFaults(o, with, without, length)
	if err != nil {
		return 0, err
	}
	p99With, p99Without := 0.0, 0.0
	if p99Without, err = reportRejections(r, "without", samples["without"]); err != nil {
		return 0, err
	}
	if p99With, err = reportRejections(r, "with", samples["with"]); err != nil {
		return 0, err
	}
	return p99With / p99Without, nil
}

// measureIdle measures the processor time of a server without a fleet that has nothing to do.
func measureIdle(o Options, r *Report, without *testbed.Bed) error {
	period := 2 * time.Second
	if !o.Quick {
		period = 10 * time.Second
	}
	before, err := without.Processes.CPUTime(plainServer)
	if err != nil {
		return err
	}
	time.Sleep(period)
	after, err := without.Processes.CPUTime(plainServer)
	if err != nil {
		return err
	}
	r.AddRow("at rest without membership: % of a core", 1, 100*(after-before).Seconds()/period.Seconds(), "")
	return nil
}

// loadUnderFaults loads one server of either, and plays faults in the fleet meanwhile. At the end the fleet is healed,
// and all its servers run.
func loadUnderFaults(o Options, with, without *testbed.Bed, length time.Duration) (map[string][]standin.Sample, error) {
	faults, err := script.Parse(admissionFaults, with.Names)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var playing sync.WaitGroup
	playing.Go(func() {
		for ctx.Err() == nil {
			_ = with.Play(ctx, faults) // ends early with ctx; a fault that fails is played again
		}
	})
	rules := standin.NewInvariantChecker("topup-buy")
	samples := map[string][]standin.Sample{}
	var mu sync.Mutex
	var loads sync.WaitGroup
	for way, address := range map[string]string{"with": with.ListenAddr("n1"), "without": without.ListenAddr(plainServer)} {
		loads.Go(func() {
			router := standin.NewRouter(address)
			defer router.Close()
			plan := standin.LoadPlan{Rate: admissionRate, Duration: length, Callers: 3, Seed: o.Seed, Deadline: 2 * time.Second, Kinds: fleetMethods(admissionWork)}
			got := plan.Run(ctx, map[string]standin.Caller{"msgpack": router}, rules)
			mu.Lock()
			defer mu.Unlock()
			samples[way] = got
		})
	}
	loads.Wait()
	cancel()
	playing.Wait()
	with.Network.Heal()
	for _, name := range []string{"n5", "n7"} {
		_ = with.Processes.Signal(name, syscall.SIGCONT) // fails if it was killed
		_ = with.Processes.Start(name)                   // fails if it runs, as it does unless the last play ended with it killed
	}
	return samples, nil
}

// reportRejections adds a row about the RPCs of one way, and returns the p99 of the time to a rejection in ms.
func reportRejections(r *Report, way string, samples []standin.Sample) (p99 float64, err error) {
	var rejected []float64
	ok := 0
	for _, sample := range samples {
		switch sample.Outcome {
		case standin.Rejected:
			rejected = append(rejected, float64(sample.Latency)/1e6)
		case standin.OK:
			ok++
		}
	}
	if len(rejected) < minRejected {
		return 0, fmt.Errorf("%s: %d pushed back of %d", way, len(rejected), len(samples))
	}
	p99 = standin.Quantile(rejected, 0.99)
	r.AddRow(way+" membership, faults beside: pushback p99 in ms; ok; pushed back", len(samples), p99, fmt.Sprint(ok, " ", len(rejected)))
	return p99, nil
}
