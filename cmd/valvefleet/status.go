package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/permitclient"
)

// minWatchInterval is the shortest interval between two requests of status --watch.
const minWatchInterval = 100 * time.Millisecond

type statusCommand struct {
	Sockets []string      `arg:"" type:"path" help:"Status sockets of one or more servers, as set by fleet.socket."`
	JSON    bool          `help:"Print the status of the servers as JSON."`
	Watch   bool          `help:"Print repeatedly until interrupted."`
	Every   time.Duration `default:"1s" help:"Interval between two prints with --watch."`
}

// Run prints the servers' views once, or with --watch until it is interrupted.
func (c statusCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	for {
		failed, err := c.print(ctx)
		if err != nil {
			return err
		}
		if !c.Watch {
			if failed > 0 {
				return fmt.Errorf("%d of %d servers did not respond", failed, len(c.Sockets))
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(c.Every, minWatchInterval)):
			if _, err := fmt.Println(); err != nil {
				return err
			}
		}
	}
}

// print prints the views, and to stderr the errors of the servers that did not respond. It returns the number of those
// errors.
func (c statusCommand) print(ctx context.Context) (failed int, err error) {
	statuses, errs := fleet.FetchStatuses(ctx, c.Sockets, statusTimeout)
	write := fleet.WriteViews
	if c.JSON {
		write = fleet.WriteJSON
	}
	if err := write(os.Stdout, statuses); err != nil {
		return 0, err
	}
	for _, err := range errs {
		_, _ = fmt.Fprintln(os.Stderr, err) // a failed write to stderr can't be reported
	}
	return len(errs), nil
}

type permitsCommand struct {
	Socket string `arg:"" type:"path" help:"Status socket of any server in the fleet that is connected to the permit servers."`
	JSON   bool   `help:"Print the state of the permit servers as JSON."`
}

// Run prints the state of the permit servers.
func (c permitsCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	status, err := fleet.FetchPermits(ctx, c.Socket)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(status)
	}
	return permitclient.WriteStatus(os.Stdout, status)
}
