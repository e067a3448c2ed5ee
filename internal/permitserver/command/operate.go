package command

// This file implements the operators' commands. They can be sent to any replica.

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/permitclient"
)

// requestTimeout bounds each command. It covers two elections and the response.
const requestTimeout = 10 * time.Second

// cluster holds the flags that all operators' commands share.
type cluster struct {
	Servers []string `name:"keepers" required:"" placeholder:"ADDRESS" help:"Client addresses of replicas. Any replica redirects to the leader."`
}

// withClient calls f with a client of the cluster and a context that ends after requestTimeout.
func (c cluster) withClient(f func(ctx context.Context, client *permitclient.Client) error) error {
	client := permitclient.New(c.Servers)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return f(ctx, client)
}

// do sends one command. All attempts use the same command ID, so the command is applied at most once.
func (c cluster) do(command permit.Command) error {
	var id [12]byte
	rand.Read(id[:]) // never fails
	command.ID = fmt.Sprintf("op-%x", id)
	if u, err := user.Current(); err == nil {
		command.Actor = u.Username
	}
	return c.withClient(func(ctx context.Context, client *permitclient.Client) error {
		result, err := client.Do(ctx, command)
		if err == nil && !result.OK {
			err = fmt.Errorf("%s: %s", command.Kind, result.Reason)
		}
		return err
	})
}

type haltCommand struct {
	cluster
	Why string `required:"" help:"Reason, shown to other operators."`
}

// Run halts all new drains.
func (c haltCommand) Run() error { return c.do(permit.Command{Kind: permit.Halt, Reason: c.Why}) }

type resumeCommand struct {
	cluster
	Why string `help:"Reason, shown to other operators."`
}

// Run ends a manual halt.
func (c resumeCommand) Run() error { return c.do(permit.Command{Kind: permit.Resume, Reason: c.Why}) }

type freeCommand struct {
	cluster
	Subject string `arg:"" help:"A server's name, or pool/member."`
	Why     string `required:"" help:"What is known about the holder. It is recorded with your user name."`
}

// Run frees a permit.
func (c freeCommand) Run() error {
	return c.do(permit.Command{Kind: permit.Free, Subject: c.Subject, Reason: c.Why})
}

type replaceCommand struct {
	cluster
	Out string `arg:"" help:"Name of the lost replica. It can never vote again under this name."`
	In  string `arg:"" optional:"" placeholder:"NAME=RAFT" help:"The new replica, which must run with --join."`
}

// Run replaces a replica.
func (c replaceCommand) Run() error {
	replacement := permitclient.Replacement{Removed: c.Out}
	if c.In != "" {
		name, raft, ok := strings.Cut(c.In, "=")
		if !ok || name == "" {
			return fmt.Errorf("expected NAME=RAFT, got %q", c.In)
		}
		replacement.Added = name
		replacement.AddedRaftAddr = raft
	}
	return c.withClient(func(ctx context.Context, client *permitclient.Client) error { return client.Replace(ctx, replacement) })
}

type setCommand struct {
	cluster
	File string `arg:"" type:"existingfile" help:"JSON file with servers, members and limits (see docs/operate/permit-service.md)."`
}

// Run replaces the roster and the limits with those of the file.
func (c setCommand) Run() error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var roster struct {
		Servers []permit.Server `json:"servers"`
		Members []permit.Member `json:"members"`
		Limits  *permit.Limits  `json:"limits"`
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&roster); err != nil {
		line := 1 + bytes.Count(b[:min(len(b), int(d.InputOffset()))], []byte{'\n'})
		return fmt.Errorf("%s:%d: %w", c.File, line, err)
	}
	return c.do(permit.Command{Kind: permit.Configure, Servers: roster.Servers, Members: roster.Members, Limits: roster.Limits})
}

type statusCommand struct {
	cluster
	JSON bool `help:"Print the JSON that the leader's API returns."`
}

// Run prints the status.
func (c statusCommand) Run() error {
	return c.withClient(func(ctx context.Context, client *permitclient.Client) error {
		status, err := client.State(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return json.NewEncoder(os.Stdout).Encode(status)
		}
		return permitclient.WriteStatus(os.Stdout, status)
	})
}
