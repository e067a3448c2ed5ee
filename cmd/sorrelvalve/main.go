// Command sorrelvalve is one application server of a fleet: it receives RPCs from routers, has package control decide on
// each, has the engine do the work and responds. This package is the command line; package daemon puts the parts
// together. It must never hold anything that a part could own.
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
	Check   checkCmd        `cmd:"" help:"Read the configuration, tell what is wrong with it, and start nothing."`
	Trace   daemon.TraceCmd `cmd:"" help:"Record what the decisions are told and say; show, replay and compare it."`
	Store   daemon.StoreCmd `cmd:"" help:"Look at the folder of a durable store."`
	Version versionCmd      `cmd:"" help:"Print the version."`
}

type serveCmd struct{ daemon.Command }

// Run serves without an extension.
func (c serveCmd) Run() error { return c.Command.Run(nil) }

type checkCmd struct{}

// Run reads the configuration and prints its main figures.
func (checkCmd) Run() error {
	p, err := startup.Load(os.Getenv)
	if err != nil {
		return err
	}
	fmt.Printf("ok: %s listens on %s; %d methods, %d customers; %d MB, %d sockets, %g cores\n",
		p.Name, p.Listen, len(p.Settings.Methods), len(p.Settings.Customers), p.MemoryMB, p.Sockets, p.Cores)
	fmt.Printf("a running process takes %s anew on SIGHUP\n", strings.Join(startup.ReloadableKeys, ", "))
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
		kong.Description("An app server with overload control.\n\n"+
			"It is configured by the JSON file that EDGE_CONFIG names; EDGE_NAME and EDGE_LISTEN go before "+
			"its name and listen."),
		kong.UsageOnError(),
	)
	ctx.FatalIfErrorf(ctx.Run())
}
