// Command sorrelvalve is one application server of a fleet: it receives RPCs from routers, lets package control decide on
// each, runs the admitted ones in the engine and responds. This package is only the command line; package daemon assembles
// the server.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"sorrelvalve/internal/daemon"
	"sorrelvalve/internal/startup"
)

type command struct {
	Serve   serveCmd        `cmd:"" help:"Serve RPCs until SIGTERM or SIGINT, then drain and exit."`
	Check   checkCmd        `cmd:"" help:"Check the configuration and report errors without starting the server."`
	Trace   daemon.TraceCmd `cmd:"" help:"Record, show, replay and compare traces of the admission decisions."`
	Store   daemon.StoreCmd `cmd:"" help:"Inspect and maintain the folder of a durable token store."`
	Version versionCmd      `cmd:"" help:"Print the version."`
}

type serveCmd struct{ daemon.Command }

// Run serves without an extension.
func (c serveCmd) Run() error { return c.Command.Run(nil) }

type checkCmd struct{}

// Run reads the configuration and prints a summary.
func (checkCmd) Run() error {
	p, err := startup.Load(os.Getenv)
	if err != nil {
		return err
	}
	fmt.Printf("ok: %s listens on %s; %d methods, %d customers; %d MB, %d sockets, %g cores\n",
		p.Name, p.Listen, len(p.Settings.Methods), len(p.Settings.Customers), p.MemoryMB, p.Sockets, p.Cores)
	fmt.Printf("keys that a running process reloads on SIGHUP: %s\n", strings.Join(startup.ReloadableKeys, ", "))
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("sorrelvalve", daemon.BuildVersion())
	return nil
}

func main() {
	ctx := kong.Parse(&command{},
		kong.Name("sorrelvalve"),
		kong.Description("An application server with overload control.\n\n"+
			"The configuration is the JSON file named by EDGE_CONFIG. EDGE_NAME and EDGE_LISTEN override the "+
			"keys name and listen of that file."),
		kong.UsageOnError(),
	)
	ctx.FatalIfErrorf(ctx.Run())
}
