package testbed

// This file owns how a schedule of faults is carried out on relays and real processes. It must never go on after an act that
// could not be done.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"sorrelvalve/internal/standin/script"
)

// Do carries out one step.
func (b *Bed) Do(x script.Step) error {
	ways := func(f func(*Rule)) {
		from, to := script.Ways(x.Args[0])
		b.Net.Change(x.Act+" "+strings.Join(x.Args, " "), from, to, f)
	}
	each := func(f func(string) error) error {
		names := script.Names(x.Args[0])
		if names == nil {
			names = b.Names
		}
		for _, name := range names {
			if err := f(name); err != nil {
				return err
			}
		}
		return nil
	}
	signal := func(s syscall.Signal) error {
		return each(func(name string) error {
			if err := b.Procs.Signal(name, s); !errors.Is(err, os.ErrProcessDone) { // one that has ended can't be stopped or woken
				return err
			}
			return nil
		})
	}
	switch x.Act {
	case "split":
		b.Net.Split(script.Sets(x.Args[0])...)
	case "cut":
		ways(func(r *Rule) { r.Cut = true })
	case "loss":
		ways(func(r *Rule) { r.Drop = x.Number(1) })
	case "mess":
		ways(func(r *Rule) { r.Double, r.Reorder, r.Corrupt = x.Number(1), x.Number(1), x.Number(1) })
	case "delay":
		ways(func(r *Rule) { r.Delay, r.Spread = x.Time(1), x.Time(2) })
	case "slow":
		ways(func(r *Rule) { r.Rate = x.Number(1) })
	case "heal":
		b.Net.Heal()
	case "stop":
		return signal(syscall.SIGSTOP)
	case "cont":
		return signal(syscall.SIGCONT)
	case "term":
		return signal(syscall.SIGTERM)
	case "kill":
		return each(b.Procs.Kill)
	case "start":
		return each(func(name string) error {
			if b.Procs.Alive(name) {
				return nil
			}
			return b.Procs.Start(name)
		})
	case "relay":
		return each(b.Net.Restart)
	default:
		return fmt.Errorf("%s: only in simulation", x.Act)
	}
	return nil
}

// Play carries out a script from now on, and returns with its last step or when ctx ends.
func (b *Bed) Play(ctx context.Context, s script.Script) error {
	began := time.Now()
	for _, x := range s {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(began.Add(x.At))):
		}
		if err := b.Do(x); err != nil {
			return fmt.Errorf("%s %s: %w", x.At, x.Act, err)
		}
	}
	return nil
}
