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

// Bounds of a demo's servers.
const (
	minDemoServers = 2
	maxDemoServers = 30
)

type demoCommand struct {
	Servers int    `default:"6" help:"From 2 to 30."`
	Faults  string `type:"existingfile" placeholder:"SCRIPT" help:"Acts with their times, a line each, as: 5s split n0,n1|n2,n3. The demo ends with the last; without it acts are typed."`
}

// Run plays a script of faults, or those that are typed.
func (c demoCommand) Run() error {
	if c.Servers < minDemoServers || c.Servers > maxDemoServers {
		return fmt.Errorf("--servers: %d to %d expected, %d there", minDemoServers, maxDemoServers, c.Servers)
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
