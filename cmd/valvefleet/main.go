// Command valvefleet is sorrelvalve's daemon with fleet membership, and the operators' commands for such a fleet. If the
// operator's file has no fleet section, valvefleet serve behaves like sorrelvalve serve.
//
// The names of commands, arguments and flags, and the printed texts, are an interface that operators rely on.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/alecthomas/kong"

	"sorrelvalve/internal/daemon"
	"sorrelvalve/internal/fleet"
)

const (
	statusTimeout = 3 * time.Second  // of a request to the status sockets of servers
	drainTimeout  = 30 * time.Second // of a request to the permit servers; a drain that has begun continues after it
)

// commands are the subcommands; kong derives their names from the fields.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Serve RPCs until SIGTERM or SIGINT, like sorrelvalve serve, as a member of the fleet that the operator's record names."`
	Status  statusCommand  `cmd:"" help:"Print each server's view of the fleet and where the views differ."`
	Demo    demoCommand    `cmd:"" help:"Run servers with stub engines and callers on loopback, print which servers reach each other, and inject faults."`
	Gone    removeCommand  `cmd:"" help:"Declare that an unreachable server will not come back, which removes it from the roster."`
	Drain   drainCommand   `cmd:"" help:"Drain a server once the permit servers grant a permit, as SIGTERM would; or stop all new RPCs to a member of a pool."`
	Back    cancelCommand  `cmd:"" help:"Cancel a drain. A server that still accepts RPCs stays in service and warm; a member returns through slow start."`
	Halt    haltCommand    `cmd:"" help:"Halt the whole fleet: no new drain begins and a release in progress is paused."`
	Resume  resumeCommand  `cmd:"" help:"End a halt that an operator requested."`
	Release releaseCommand `cmd:"" help:"Release a version of the settings or the program to all servers in waves, with a health comparison per wave."`
	Permits permitsCommand `cmd:"" help:"Print which servers may drain, who holds a permit, the progress of member drains, and what blocks new drains."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type serveCommand struct{ daemon.Command }

// Run serves until the process receives a signal to stop or drains with a permit.
func (c serveCommand) Run() error { return c.Command.Run(fleet.StartWithDaemon) }

type versionCommand struct{}

// Run prints the version of this build.
func (versionCommand) Run() error {
	_, err := fmt.Println("valvefleet", daemon.BuildVersion())
	return err
}

// currentUser returns the user name that is recorded with a command.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// newParser builds the parser of the command line.
func newParser(c *commands) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("valvefleet"),
		kong.Description("An application server that is a member of a fleet, and the commands for operating the fleet.\n\n"+
			"It takes the configuration of sorrelvalve, with an additional fleet section in the operator's file."),
		kong.UsageOnError(),
	)
}

func main() {
	parser, err := newParser(&commands{})
	if err != nil {
		panic(err) // a struct tag of the commands is invalid
	}
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	err = ctx.Run()
	var code daemon.ExitCode
	if errors.As(err, &code) {
		os.Exit(int(code))
	}
	ctx.FatalIfErrorf(err)
}
