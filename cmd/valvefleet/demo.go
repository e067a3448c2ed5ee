package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"sorrelvalve/internal/testbed"
)

// Bounds on the number of servers in a demonstration.
const (
	minDemoServers = 2
	maxDemoServers = 30
)

type demoCommand struct {
	Servers int    `default:"6" help:"Number of servers, from 2 to 30."`
	Faults  string `type:"existingfile" placeholder:"SCRIPT" help:"File of timed faults, one per line, such as: 5s split n0,n1|n2,n3. The demo ends after the last one. Without a file, faults are read from standard input."`
}

// Run plays the faults of a script, or those typed on standard input.
func (c demoCommand) Run() error {
	if c.Servers < minDemoServers || c.Servers > maxDemoServers {
		return fmt.Errorf("--servers: must be from %d to %d, got %d", minDemoServers, maxDemoServers, c.Servers)
	}
	var script string
	var typed io.Reader = os.Stdin
	if c.Faults != "" {
		content, err := os.ReadFile(c.Faults)
		if err != nil {
			return err
		}
		script = string(content)
		typed = nil
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := testbed.Command{Path: executable, Args: []string{"serve"}}
	return testbed.Demo(ctx, c.Servers, script, server, typed, os.Stdout)
}
