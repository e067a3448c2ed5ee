// Command valvelab runs this project's experiments on stand-ins, on loopback. Each compares within one run, prints a
// table and its bars, and fails if one falls short. It must never be needed to run a server.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"sorrelvalve/internal/experiment"
)

// listedExperiment is one entry of the list of experiments.
type listedExperiment struct {
	name, about string
	run         func(experiment.Options) (*experiment.Report, error)
}

var experiments = []listedExperiment{
	{"uwsgi-mixed", "both protocols at 120% of one machine: past the valve, a plain queue, the valve", experiment.Mixed},
	{"parity", "one sequence of arrivals through the daemon and through gin, on a virtual clock and in real time", experiment.Parity},
	{"durable-kill", "a process with a durable store, killed at random under repeated purchases by both fronts", experiment.DurableKill},
	{"durable-cost", "what the durable store costs: off, on, on a slow disk", experiment.DurableCost},
	{"embedded", "a gin program at 150% of its cores: bare, behind a semaphore, behind the valve", experiment.Embedded},
	{"fleet-hearing", "eight real processes that know one another, behind relays: killed, cut, stopped, healed", experiment.Hearing},
	{"fleet-sim", "simulated fleets under random faults, how they grow, and a twin of real processes", experiment.FleetSim},
	{"fleet-twin", "the same schedules through eight processes and through the simulator", experiment.FleetTwin},
	{"fleet-budgets", "a quota, further tries and calls in hand that servers share: four ways simulated, and processes", experiment.FleetBudgets},
	{"fleet-judge", "a pool of which members turn bad, judged by each server for itself and by the fleet together", experiment.FleetJudge},
	{"fleet-drain", "a fleet of processes drained one by one by permits of three keepers, with faults, beside one without drains", experiment.FleetDrain},
	{"fleet-release", "versions of the settings in waves: judged, in fixed waves, at once; simulated, and processes", experiment.FleetRelease},
	{"pools", "five uwsgi members of which one turns bad and recovers, beside round robin without ejection", experiment.Pools},
}

type command struct {
	List listCmd `cmd:"" help:"List the experiments."`
	Run  runCmd  `cmd:"" help:"Run one."`

	Node         nodeCmd         `cmd:"" hidden:"" help:"The process of the experiment durable-kill."`
	FleetServer  fleetServerCmd  `cmd:"" hidden:"" help:"The process of the experiments on the fleet."`
	KeeperServer keeperServerCmd `cmd:"" hidden:"" help:"A keeper of the experiment fleet-drain."`
	Program      programCmd      `cmd:"" hidden:"" help:"The program of the experiment embedded."`
}

type listCmd struct{}

func (listCmd) Run() error {
	for _, e := range experiments {
		fmt.Printf("%-14s %s\n", e.name, e.about)
	}
	return nil
}

type programCmd struct {
	Way string `arg:""`
}

func (c programCmd) Run() error { return experiment.Program(c.Way) }

type fleetServerCmd struct {
	Operator string
}

func (c fleetServerCmd) Run() error { return experiment.FleetServer(c.Operator) }

type keeperServerCmd struct {
	Name  string   `arg:""`
	Dir   string   `arg:""`
	Peers []string `arg:""`
	New   bool
}

func (c keeperServerCmd) Run() error { return experiment.KeeperServer(c.Name, c.Dir, c.New, c.Peers) }

type nodeCmd struct {
	Dir    string `arg:""`
	Engine string `arg:""`
	RPC    string `arg:""`
	Web    string `arg:""`
}

func (c nodeCmd) Run() error { return experiment.Node(c.Dir, c.Engine, c.RPC, c.Web) }

type runCmd struct {
	Name     string `arg:"" help:"Its name, as list tells it."`
	Quick    bool   `help:"In a short form, within 45 s."`
	Seed     int64  `default:"1" help:"Of all chance in the load."`
	Servers  int    `placeholder:"N" help:"Of a simulated fleet."`
	Schedule string `type:"existingfile" help:"Faults, in CUE or as lines, for fleet-sim."`
	Seeds    string `placeholder:"A..B" help:"Random schedules of these seeds, for fleet-sim."`
	Out      string `type:"path" help:"A folder for the table as CSV and the charts as SVG."`
}

func (c *runCmd) Run() error {
	for _, e := range experiments {
		if e.name != c.Name {
			continue
		}
		o := experiment.Options{Quick: c.Quick, Seed: c.Seed, Dir: c.Out, Out: os.Stdout, Servers: c.Servers, Schedule: c.Schedule, Seeds: c.Seeds}
		r, err := e.run(o)
		if err != nil {
			return err
		}
		holds, err := r.Write(o)
		if err == nil && !holds {
			err = fmt.Errorf("%s: a bar falls short", c.Name)
		}
		return err
	}
	return fmt.Errorf("%q is no experiment; valvelab list tells them", c.Name)
}

func main() {
	ctx := kong.Parse(&command{}, kong.Name("valvelab"), kong.UsageOnError(), kong.Description("Runs the experiments of sorrelvalve on stand-ins."))
	ctx.FatalIfErrorf(ctx.Run())
}
