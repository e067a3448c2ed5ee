package experiment

import (
	"context"
	"os"
	"time"

	"sorrelvalve/internal/daemon"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/testbed"
)

// FleetServer serves as valvefleet does; it is the process of the fleet's experiments.
func FleetServer(record string) error {
	return daemon.Command{Operator: record}.Run(fleet.StartWithDaemon)
}

// fleetServerProcess is the command that starts a FleetServer.
func fleetServerProcess() (func() testbed.Command, error) {
	executable, err := os.Executable()
	command := testbed.Command{Path: executable, Args: []string{"fleet-server"}}
	return func() testbed.Command { return command }, err
}

const (
	// awaitLimit bounds each wait for views; one that takes longer ends the experiment with what each view was.
	awaitLimit = 40 * time.Second
	// callDeadline is that of the callers of fleets of processes: the methods' of one second, and some for the answer.
	callDeadline = 1200 * time.Millisecond
	// fleetTarget is the latency objective of the methods of fleetSettings.
	fleetTarget = 400 * time.Millisecond
)

// fleetSettings are the methods as a configuration file has them, before an engine of two cores.
const fleetSettings = `{"classes":[
{"name":"account-view","aim":400000000,"give_up":1000000000,"worth":1,"late_worth":0.2},
{"name":"settings-save","aim":400000000,"give_up":1000000000,"worth":1},
{"name":"topup-buy","aim":400000000,"give_up":1000000000,"worth":3,"idempotency":"idempotency_key","window":60000000000}],
"family_info":{"callers":3,"cores":2,"ram_kb":4000000,"run_factor":4,"key_kb":1,"meters":["core_use","on_cores"]},
"client_habits":{"marks_retry":true},"limits":{"retry_after":true,"max_retry_after":1000000000},"tick":4000000,
"rules":{"answer_slack":80000000,"cold":1000000000,"drain_grace":300000000,"tip_multiple":8}}`

// fleetMethods is the mix of RPCs to the methods of fleetSettings, each of some work in ms in the mean.
func fleetMethods(work float64) []standin.RequestKind {
	return []standin.RequestKind{
		{Method: "account-view", Share: 0.5, MeanWorkMs: work},
		{Method: "settings-save", Share: 0.35, MeanWorkMs: work},
		{Method: "topup-buy", Share: 0.15, MeanWorkMs: work, WithToken: true},
	}
}

// criticalityTally is how much criticality was asked for and served, over the methods of fleetSettings. A late answer
// is worth a fifth.
type criticalityTally struct {
	served float64
	asked  float64
}

// lateCriticality is the part that a late answer serves.
const lateCriticality = 0.2

func (t *criticalityTally) add(samples []standin.Sample) {
	for _, sample := range samples {
		if canceledByLoad(sample) {
			continue
		}
		weight := 1.0
		if sample.Method == "topup-buy" {
			weight = 3
		}
		t.asked += weight
		switch {
		case sample.Outcome == standin.OK && sample.Latency <= fleetTarget:
			t.served += weight
		case sample.Outcome == standin.OK:
			t.served += lateCriticality * weight
		}
	}
}

// share is the part of the criticality that was served.
func (t *criticalityTally) share() float64 { return t.served / t.asked }

// canceledByLoad reports whether an RPC was canceled because the load ended.
func canceledByLoad(sample standin.Sample) bool {
	return sample.Outcome == standin.Lost && sample.Reason == context.Canceled.Error()
}

// pause waits for a period or until ctx ends.
func pause(ctx context.Context, period time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(period):
	}
}
