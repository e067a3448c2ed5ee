// Package command is the command line that runs the experiments. The commands valveexperiment and valvelab share it.
package command

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"sorrelvalve/internal/experiment"
)

// Name is the command that runs the experiments.
const Name = "valveexperiment"

// commandLine is the grammar. The hidden commands are the processes that experiments start of their own executable.
type commandLine struct {
	List listCommand `cmd:"" help:"List the experiments."`
	Run  runCommand  `cmd:"" help:"Run one."`

	Node         storeServerCommand  `cmd:"" hidden:"" help:"The process of the experiment durable-kill."`
	FleetServer  fleetServerCommand  `cmd:"" hidden:"" help:"The process of the experiments on the fleet."`
	PermitServer permitServerCommand `cmd:"" name:"keeper-server" hidden:"" help:"A permit server of the experiments fleet-drain and fleet-release."`
	Program      programCommand      `cmd:"" hidden:"" help:"The program of the experiment embedded."`
}

type listCommand struct{}

// Run prints one line for each experiment.
func (listCommand) Run() error {
	for _, e := range experiment.All() {
		if _, err := fmt.Printf("%-14s %s\n", e.Name, e.Summary); err != nil {
			return err
		}
	}
	return nil
}

type programCommand struct {
	Way string `arg:""`
}

// Run serves until standard input ends.
func (c programCommand) Run() error { return experiment.Program(c.Way) }

type fleetServerCommand struct {
	Operator string
}

// Run serves as valvefleet does.
func (c fleetServerCommand) Run() error { return experiment.FleetServer(c.Operator) }

type permitServerCommand struct {
	Name  string   `arg:""`
	Dir   string   `arg:""`
	Peers []string `arg:""`
	New   bool
}

// Run serves until it is killed.
func (c permitServerCommand) Run() error {
	return experiment.PermitServer(c.Name, c.Dir, c.New, c.Peers)
}

type storeServerCommand struct {
	Dir    string `arg:""`
	Engine string `arg:""`
	RPC    string `arg:""`
	Web    string `arg:""`
}

// Run serves until standard input ends or it is killed.
func (c storeServerCommand) Run() error {
	return experiment.StoreServer(c.Dir, c.Engine, c.RPC, c.Web)
}

type runCommand struct {
	Name     string `arg:"" help:"Its name, as list tells it."`
	Quick    bool   `help:"In a short form, within 45 s."`
	Seed     int64  `default:"1" help:"Of all chance in the load."`
	Servers  int    `placeholder:"N" help:"Of a simulated fleet."`
	Schedule string `type:"existingfile" help:"Faults, in CUE or as lines, for fleet-sim."`
	Seeds    string `placeholder:"A..B" help:"Random schedules of these seeds, for fleet-sim."`
	Out      string `type:"path" help:"A folder for the table as CSV and the charts as SVG."`
}

// Run runs the named experiment. It fails if a check of the report does.
func (c *runCommand) Run() error {
	options := experiment.Options{
		Quick:     c.Quick,
		Seed:      c.Seed,
		OutputDir: c.Out,
		Out:       os.Stdout,
		Servers:   c.Servers,
		Schedule:  c.Schedule,
		Seeds:     c.Seeds,
	}
	for _, e := range experiment.All() {
		if e.Name != c.Name {
			continue
		}
		report, err := e.Run(options)
		if err != nil {
			return err
		}
		if err := report.Write(options); err != nil {
			return err
		}
		if !report.Passed() {
			return fmt.Errorf("%s: a bar falls short", c.Name)
		}
		return nil
	}
	return fmt.Errorf("%q is no experiment; %s list tells them", c.Name, Name)
}

// Main runs the command line of the process, as the command of a name, and ends the process if that fails. If notice is
// not empty, it is printed on standard error before a command that a user may give.
func Main(name, notice string) {
	ctx := kong.Parse(&commandLine{}, kong.Name(name), kong.UsageOnError(), kong.Description("Runs the experiments of sorrelvalve on stand-ins."))
	if selected := ctx.Selected(); notice != "" && selected != nil && !selected.Hidden {
		fmt.Fprintln(os.Stderr, notice)
	}
	ctx.FatalIfErrorf(ctx.Run())
}
