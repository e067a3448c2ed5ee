// Command valvefleet is sorrelvalve's daemon with membership in a fleet, and the operators' commands over such a fleet. Without fleet in
// the operator's file, serve is the same daemon as sorrelvalve serve.
//
// The names of commands, arguments and flags, and the texts that are printed, are an interface that does not change.
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
	statusTimeout = 3 * time.Second  // of a request to servers' status sockets
	drainTimeout  = 30 * time.Second // of a request to permit servers; a drain that has begun goes on after it
)

// commands are the subcommands; kong derives their names from the fields.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Serve RPCs until SIGTERM or SIGINT, as sorrelvalve serve does, with a part in the fleet that the operator's record names."`
	Status  statusCommand  `cmd:"" help:"Tell what servers hear of their fleet, and where their views differ."`
	Demo    demoCommand    `cmd:"" help:"Start servers with stand-in engines and callers on loopback, print who hears whom, and take faults."`
	Gone    removeCommand  `cmd:"" help:"Declare that a silent server will not come back, so that it leaves the roster."`
	Drain   drainCommand   `cmd:"" help:"Have a server leave by the keepers' permit, as by SIGTERM once it may; or a member of a pool left alone by all."`
	Back    cancelCommand  `cmd:"" help:"Take a drain back: a server that has not closed stays, warm; a member returns by its ramp."`
	Halt    haltCommand    `cmd:"" help:"Nothing new begins, over the whole fleet."`
	Resume  resumeCommand  `cmd:"" help:"End a halt that was made by hand."`
	Release releaseCommand `cmd:"" help:"A version of the settings to all servers, in waves that are judged."`
	Permits permitsCommand `cmd:"" help:"Tell who may go, who holds a permit, how far members are drained, and why nothing begins."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type serveCommand struct{ daemon.Command }

// Run serves until the process is told to stop.
func (c serveCommand) Run() error { return c.Command.Run(fleet.StartWithDaemon) }

type versionCommand struct{}

// Run prints the version of this build.
func (versionCommand) Run() error {
	_, err := fmt.Println("valvefleet", daemon.BuildVersion())
	return err
}

// currentUser is who is recorded to have asked.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// newParser builds the command line's parser.
func newParser(c *commands) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("valvefleet"),
		kong.Description("The app server with a part in a fleet, and commands over the fleet.\n\nIt is configured as sorrelvalve is; "+
			"fleet in the operator's file is what it has beside that."),
		kong.UsageOnError(),
	)
}

func main() {
	parser, err := newParser(&commands{})
	if err != nil {
		panic(err) // the commands are declared wrongly
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
