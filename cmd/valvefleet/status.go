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

// minWatchInterval bounds how often status --watch asks.
const minWatchInterval = 100 * time.Millisecond

type statusCommand struct {
	Sockets []string      `arg:"" type:"path" help:"The sockets of one server or several, as fleet.socket names them."`
	JSON    bool          `help:"As the servers tell it."`
	Watch   bool          `help:"Again and again until interrupted."`
	Every   time.Duration `default:"1s" help:"With --watch."`
}

// Run prints the servers' views once, or until it is interrupted.
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
				return fmt.Errorf("%d of %d servers did not answer", failed, len(c.Sockets))
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

// print prints the views, and to stderr the errors of the servers that did not answer, which it counts.
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
		_, _ = fmt.Fprintln(os.Stderr, err) // there is nowhere else to report to
	}
	return len(errs), nil
}

type permitsCommand struct {
	Socket string `arg:"" type:"path" help:"Of any server of the fleet that knows the keepers."`
	JSON   bool   `help:"As the keepers tell it."`
}

// Run prints the permit servers' state.
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
