// Package command is the command line of the permit service: serve runs a replica, all other commands are the operators'
// requests to a cluster of them. A replica must never be started with --new where the cluster has a log elsewhere.
package command

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"sorrelvalve/internal/daemon"
)

// Name is the program's name.
const Name = "valvepermitd"

// commands are the subcommands. Their names and flags are an interface for operators.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run a replica of the permit service until SIGTERM or SIGINT."`
	Status  statusCommand  `cmd:"" help:"Print the leader, halts, permits, what is out of service, and the latest steps."`
	Set     setCommand     `cmd:"" help:"Replace the roster and the limits by those of a file, completely or not at all."`
	Halt    haltCommand    `cmd:"" help:"Stop all new drains; those that have begun go on."`
	Resume  resumeCommand  `cmd:"" help:"End a halt."`
	Free    freeCommand    `cmd:"" help:"Free a permit on an operator's word: its holder is back in service, or will not be."`
	Replace replaceCommand `cmd:"" help:"Remove a replica whose disk or machine is lost from the cluster, and add a new one."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// programName is the name under which the program was started.
type programName string

// Main runs the program under a name, and exits with code 1 if it fails. A notice that is not empty is printed to standard
// error first.
func Main(name, notice string) {
	if notice != "" {
		fmt.Fprintln(os.Stderr, notice)
	}
	ctx := kong.Parse(&commands{}, kong.Name(name), kong.UsageOnError(),
		kong.Description("Permit service: drain permits, halts and releases, replicated with raft."))
	ctx.FatalIfErrorf(ctx.Run(programName(name)))
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(name programName) error {
	fmt.Println(name, daemon.BuildVersion())
	return nil
}
