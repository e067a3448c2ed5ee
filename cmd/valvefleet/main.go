// Command valvefleet is the server with a part in a fleet whose servers know one another, and the operators' commands over
// such a fleet. serve is the daemon of sorrelvalve and more; without fleet in the operator's file it is that daemon. It
// must never hold anything that a part could own.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"sorrelvalve/internal/daemon"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/permitclient"
	"sorrelvalve/internal/testbed"
)

type command struct {
	Serve   serveCmd   `cmd:"" help:"Serve RPCs until SIGTERM or SIGINT, as sorrelvalve serve does, with a part in the fleet that the operator's record names."`
	Status  statusCmd  `cmd:"" help:"Tell what servers hear of their fleet, and where their views differ."`
	Demo    demoCmd    `cmd:"" help:"Start servers with stand-in engines and callers on loopback, print who hears whom, and take faults."`
	Gone    goneCmd    `cmd:"" help:"Declare that a silent server will not come back, so that it leaves the roster."`
	Drain   drainCmd   `cmd:"" help:"Have a server leave by the keepers' permit, as by SIGTERM once it may; or a member of a pool left alone by all."`
	Back    backCmd    `cmd:"" help:"Take a drain back: a server that has not closed stays, warm; a member returns by its ramp."`
	Halt    haltCmd    `cmd:"" help:"Nothing new begins, over the whole fleet."`
	Resume  resumeCmd  `cmd:"" help:"End a halt that was made by hand."`
	Release releaseCmd `cmd:"" help:"A version of the settings to all servers, in waves that are judged."`
	Permits permitsCmd `cmd:"" help:"Tell who may go, who holds a permit, how far members are drained, and why nothing begins."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type serveCmd struct{ daemon.Command }

func (c serveCmd) Run() error { return c.Command.Run(fleet.StartWithDaemon) }

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("valvefleet", daemon.BuildVersion())
	return nil
}

// askWait bounds each question to a server.
const askWait = 3 * time.Second

type statusCmd struct {
	Sockets []string      `arg:"" type:"path" help:"The sockets of one server or several, as fleet.socket names them."`
	JSON    bool          `help:"As the servers tell it."`
	Watch   bool          `help:"Again and again until interrupted."`
	Every   time.Duration `default:"1s" help:"With --watch."`
}

func (c statusCmd) Run() error {
	ctx, end := signal.NotifyContext(context.Background(), os.Interrupt)
	defer end()
	for {
		views, failed := fleet.FetchStatuses(ctx, c.Sockets, askWait)
		if c.JSON {
			if err := fleet.WriteJSON(os.Stdout, views); err != nil {
				return err
			}
		} else {
			if err := fleet.WriteViews(os.Stdout, views); err != nil {
				return err
			}
		}
		for _, err := range failed {
			fmt.Fprintln(os.Stderr, err)
		}
		if !c.Watch {
			if len(failed) > 0 {
				return fmt.Errorf("%d of %d servers did not answer", len(failed), len(c.Sockets))
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(c.Every, 100*time.Millisecond)):
			fmt.Println()
		}
	}
}

type demoCmd struct {
	Servers int    `default:"6" help:"From 2 to 30."`
	Faults  string `type:"existingfile" placeholder:"SCRIPT" help:"Acts with their times, a line each, as: 5s split n0,n1|n2,n3. The demo ends with the last; without it acts are typed."`
}

func (c demoCmd) Run() error {
	if c.Servers < 2 || c.Servers > 30 {
		return fmt.Errorf("--servers: 2 to 30 expected, %d there", c.Servers)
	}
	var text string
	var in io.Reader = os.Stdin
	if c.Faults != "" {
		b, err := os.ReadFile(c.Faults)
		if err != nil {
			return err
		}
		text, in = string(b), nil
	}
	own, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, end := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer end()
	return testbed.Demo(ctx, c.Servers, text, testbed.Command{Path: own, Args: []string{"serve"}}, in, os.Stdout)
}

type goneCmd struct {
	Socket string `arg:"" type:"path" help:"Of any server that hears the fleet."`
	Name   string `arg:"" help:"Of the server that will not come back."`
	Why    string `required:"" help:"For the others' logs."`
}

func (c goneCmd) Run() error {
	who := "unknown"
	if u, err := user.Current(); err == nil {
		who = u.Username
	}
	ctx, end := context.WithTimeout(context.Background(), askWait)
	defer end()
	return fleet.RequestRemoval(ctx, c.Socket, url.Values{"name": {c.Name}, "who": {who}, "why": {c.Why}}.Encode())
}

// operation is what all commands by way of a server's socket to the keepers are told.
type operation struct {
	Socket string `arg:"" type:"path" help:"Of any server of the fleet that knows the keepers."`
	Why    string `required:"" help:"It is recorded with who asked."`
}

type drainCmd struct {
	operation
	Subject string `arg:"" optional:"" help:"A server's name, or pool/member; without it, the server of the socket."`
}

type backCmd struct {
	operation
	Subject string `arg:"" optional:"" help:"A server's name, or pool/member; without it, the server of the socket."`
}

type haltCmd struct{ operation }

type resumeCmd struct{ operation }

// drainWait bounds a drain's asking; once it has begun this command ends.
const drainWait = 30 * time.Second

func (c operation) do(what, subject string) error {
	who := "unknown"
	if u, err := user.Current(); err == nil {
		who = u.Username
	}
	ctx, end := context.WithTimeout(context.Background(), drainWait)
	defer end()
	return fleet.RequestDrain(ctx, c.Socket, url.Values{"what": {what}, "subject": {subject}, "who": {who}, "why": {c.Why}}.Encode())
}

func (c drainCmd) Run() error  { return c.do("drain", c.Subject) }
func (c backCmd) Run() error   { return c.do("back", c.Subject) }
func (c haltCmd) Run() error   { return c.do("halt", "") }
func (c resumeCmd) Run() error { return c.do("resume", "") }

type permitsCmd struct {
	Socket string `arg:"" type:"path" help:"Of any server of the fleet that knows the keepers."`
	JSON   bool   `help:"As the keepers tell it."`
}

func (c permitsCmd) Run() error {
	ctx, end := context.WithTimeout(context.Background(), drainWait)
	defer end()
	s, err := fleet.FetchPermits(ctx, c.Socket)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	return permitclient.WriteStatus(os.Stdout, s)
}

func main() {
	ctx := kong.Parse(&command{},
		kong.Name("valvefleet"),
		kong.Description("The app server with a part in a fleet, and commands over the fleet.\n\nIt is configured as sorrelvalve is; "+
			"fleet in the operator's file is what it has beside that."),
		kong.UsageOnError(),
	)
	err := ctx.Run()
	var code daemon.ExitCode
	if errors.As(err, &code) {
		os.Exit(int(code))
	}
	ctx.FatalIfErrorf(err)
}
