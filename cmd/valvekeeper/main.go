// Command valvekeeper is one of the few that agree on who may go out of use: it keeps permits for drains. It is a process of
// its own, so that the daemon links no raft. It must never be started with --new on a set that has a log elsewhere.
package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/daemon"
	"sorrelvalve/internal/permitclient"
	"sorrelvalve/internal/permitserver"
)

type command struct {
	Serve   serveCmd   `cmd:"" help:"Keep permits until SIGTERM or SIGINT."`
	Status  statusCmd  `cmd:"" help:"Tell who may go, who holds a permit, who is out, and the latest steps."`
	Set     setCmd     `cmd:"" help:"Take a roster and limits from a file, whole or not at all."`
	Halt    haltCmd    `cmd:"" help:"Nothing new begins; what has begun goes on."`
	Resume  resumeCmd  `cmd:"" help:"End a halt."`
	Free    freeCmd    `cmd:"" help:"Free a permit by an operator's word: its holder is back, or will not be."`
	Replace replaceCmd `cmd:"" help:"Take a keeper out of the set whose disk or machine is lost, and a new one in."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type serveCmd struct {
	Name string   `required:"" help:"Of this keeper, the same after a restart."`
	Peer []string `required:"" placeholder:"NAME=RAFT,HTTP" sep:"none" help:"One of all keepers, the own one included: its name, where keepers reach it, where clients do. Given once for each."`
	Dir  string   `required:"" type:"path" help:"For the log and snapshots, on a disk that lasts."`
	Bind string   `help:"Where to listen for other keepers, if not where they reach this one."`
	New  bool     `help:"A new set: the folder may be empty."`
	Join bool     `help:"In place of another keeper: the folder may be empty, and replace takes this one in."`
}

func (c serveCmd) Run() error {
	o := permitserver.Options{Name: c.Name, DataDir: c.Dir, Bind: c.Bind, Bootstrap: c.New, Join: c.Join, Log: daemon.NewLog(os.Stderr).WithField("keeper", c.Name)}
	listen := ""
	for _, s := range c.Peer {
		name, addrs, ok := strings.Cut(s, "=")
		raft, http, both := strings.Cut(addrs, ",")
		if !ok || !both || name == "" {
			return fmt.Errorf("--peer: NAME=RAFT,HTTP expected, %q there", s)
		}
		if name == c.Name {
			listen = http
		}
		o.Peers = append(o.Peers, permitserver.Peer{Name: name, RaftAddr: raft, HTTPAddr: http})
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	k, err := permitserver.Start(o)
	if err != nil {
		return err
	}
	defer k.Close()
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- k.Serve(ln) }()
	o.Log.WithField("listen", listen).Info("keeper: begins")
	select {
	case <-stop:
		return nil
	case err := <-failed:
		return err
	}
}

// clients are what all commands over a set of keepers are told.
type clients struct {
	Keepers []string `required:"" placeholder:"ADDRESS" help:"Where keepers take clients; any of them leads on to the leader."`
}

// askWait bounds each: two elections and the answer.
const askWait = 10 * time.Second

func (c clients) ask(f func(ctx context.Context, k *permitclient.Client) error) error {
	k := permitclient.New(c.Keepers)
	defer k.Close()
	ctx, end := context.WithTimeout(context.Background(), askWait)
	defer end()
	return f(ctx, k)
}

// do sends one command, under an id of its own that stays the same over all tries.
func (c clients) do(x permit.Command) error {
	var draw [12]byte
	rand.Read(draw[:])
	x.ID = fmt.Sprintf("op-%x", draw)
	if u, err := user.Current(); err == nil {
		x.Actor = u.Username
	}
	return c.ask(func(ctx context.Context, k *permitclient.Client) error {
		a, err := k.Do(ctx, x)
		if err == nil && !a.OK {
			err = fmt.Errorf("%s: %s", x.Kind, a.Reason)
		}
		return err
	})
}

type haltCmd struct {
	clients
	Why string `required:"" help:"For the others."`
}

func (c haltCmd) Run() error { return c.do(permit.Command{Kind: permit.Halt, Reason: c.Why}) }

type resumeCmd struct {
	clients
	Why string `help:"For the others."`
}

func (c resumeCmd) Run() error { return c.do(permit.Command{Kind: permit.Resume, Reason: c.Why}) }

type freeCmd struct {
	clients
	Subject string `arg:"" help:"A server's name, or pool/member."`
	Why     string `required:"" help:"What is known of it: it is recorded with who said so."`
}

func (c freeCmd) Run() error {
	return c.do(permit.Command{Kind: permit.Free, Subject: c.Subject, Reason: c.Why})
}

type replaceCmd struct {
	clients
	Out string `arg:"" help:"The name of the one that is lost. It never votes again under that name."`
	In  string `arg:"" optional:"" placeholder:"NAME=RAFT" help:"The new one, which runs with --join."`
}

func (c replaceCmd) Run() error {
	x := permitclient.Replacement{Removed: c.Out}
	if c.In != "" {
		var ok bool
		if x.Added, x.AddedRaftAddr, ok = strings.Cut(c.In, "="); !ok || x.Added == "" {
			return fmt.Errorf("NAME=RAFT expected, %q there", c.In)
		}
	}
	return c.ask(func(ctx context.Context, k *permitclient.Client) error { return k.Replace(ctx, x) })
}

type setCmd struct {
	clients
	File string `arg:"" type:"existingfile" help:"JSON: servers, members, limits (docs/operate/keepers.md)."`
}

func (c setCmd) Run() error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var f struct {
		Servers []permit.Server `json:"servers"`
		Members []permit.Member `json:"members"`
		Limits  *permit.Limits  `json:"limits"`
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		line := 1 + bytes.Count(b[:min(len(b), int(d.InputOffset()))], []byte{'\n'})
		return fmt.Errorf("%s:%d: %w", c.File, line, err)
	}
	return c.do(permit.Command{Kind: permit.Configure, Servers: f.Servers, Members: f.Members, Limits: f.Limits})
}

type statusCmd struct {
	clients
	JSON bool `help:"As the keepers tell it."`
}

func (c statusCmd) Run() error {
	return c.ask(func(ctx context.Context, k *permitclient.Client) error {
		st, err := k.State(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return json.NewEncoder(os.Stdout).Encode(st)
		}
		return permitclient.WriteStatus(os.Stdout, st)
	})
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("valvekeeper", daemon.BuildVersion())
	return nil
}

func main() {
	ctx := kong.Parse(&command{}, kong.Name("valvekeeper"), kong.UsageOnError(), kong.Description("One of the keepers that agree on permits for drains."))
	ctx.FatalIfErrorf(ctx.Run())
}
