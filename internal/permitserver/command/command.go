// Package command implements the command line of the permit service. serve runs a replica, version prints the version, and the
// other commands send operators' requests to a cluster. A replica must never be started with --new if its cluster has a log
// elsewhere.
package command

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"sorrelvalve/internal/daemon"
)

// Name is the program's name.
const Name = "valvepermitd"

// commands are the subcommands. Operators and scripts depend on their names and flags.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run a replica of the permit service until SIGTERM or SIGINT."`
	Status  statusCommand  `cmd:"" help:"Print the leader, halts, permits, out-of-service servers and members, and the latest commands."`
	Set     setCommand     `cmd:"" help:"Replace the roster and the limits with those of a file. The change is atomic."`
	Halt    haltCommand    `cmd:"" help:"Stop all new drains. Drains that have begun continue."`
	Resume  resumeCommand  `cmd:"" help:"End a halt."`
	Free    freeCommand    `cmd:"" help:"Free a permit whose holder is back in service, or will never be."`
	Replace replaceCommand `cmd:"" help:"Remove a replica that has lost its disk or machine, and optionally add a new one."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// programName is the name of the program on the command line.
type programName string

// Main runs the program under the given name and exits with code 1 if it fails. It first prints notice to standard error,
// unless notice is empty.
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
