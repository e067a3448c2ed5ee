// Package experiment holds the project's experiments and the small vocabulary they share. An Experiment is a named run
// that puts servers of this build on loopback (or a fleet on the simulator's virtual clock), takes them through a table
// of steps, and fills a Report: a table of measurements, charts, and checks, each of which holds one measured value
// against its bound.
//
// Each experiment compares alternatives within one run, so that a result does not depend on the machine. A report never
// holds a figure that was not measured in the run at hand.
package experiment

import "io"

// Experiment is one entry of the list of experiments.
type Experiment struct {
	Name    string // as the command line takes it
	Summary string // one line
	Run     func(Options) (*Report, error)
}

// Options are those of one run.
type Options struct {
	Quick     bool      // run the short form, within 45 s where the machine is otherwise idle
	Seed      int64     // of every random number in the load
	OutputDir string    // for the table as CSV and the charts as SVG; "" for none
	Out       io.Writer // for the table, the checks and findings

	Servers  int    // number of servers in a simulated fleet; 0 for the experiment's own
	Schedule string // path of a fault schedule; "" for none
	Seeds    string // range of seeds, "A..B"; "" for the experiment's own
}

// All lists the experiments in the order in which the command line shows them.
func All() []Experiment {
	return []Experiment{
		{"uwsgi-mixed", "both protocols at 120% of one machine: past the valve, a plain queue, the valve", MixedProtocols},
		{"parity", "one sequence of arrivals through the daemon and through gin, on a virtual clock and in real time", Parity},
		{"durable-kill", "a process with a durable store, killed at random under repeated purchases by both fronts", DurableKill},
		{"durable-cost", "what the durable store costs: off, on, on a slow disk", DurableCost},
		{"embedded", "a gin program at 150% of its cores: bare, behind a semaphore, behind the valve", Embedded},
		{"fleet-hearing", "eight real processes that know one another, behind relays: killed, cut, stopped, healed", FleetFailureDetection},
		{"fleet-sim", "simulated fleets under random faults, how they grow, and a twin of real processes", FleetSim},
		{"fleet-twin", "the same schedules through eight processes and through the simulator", FleetTwin},
		{"fleet-budgets", "a quota, further tries and calls in hand that servers share: four ways simulated, and processes", FleetQuota},
		{"fleet-judge", "a pool of which members turn bad, judged by each server for itself and by the fleet together", FleetOutlierDetection},
		{"fleet-drain", "a fleet of processes drained one by one by permits of three keepers, with faults, beside one without drains", FleetDrain},
		{"fleet-release", "versions of the settings in waves: judged, in fixed waves, at once; simulated, and processes", FleetRelease},
		{"pools", "five uwsgi members of which one turns bad and recovers, beside round robin without ejection", PoolOutlier},
	}
}
