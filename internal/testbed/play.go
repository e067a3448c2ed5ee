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

// Apply carries out one step.
func (b *Bed) Apply(x script.Step) error {
	ways := func(f func(*Rule)) {
		from, to := script.ParseDirection(x.Args[0])
		b.Network.UpdateRules(x.Action+" "+strings.Join(x.Args, " "), from, to, f)
	}
	each := func(f func(string) error) error {
		names := script.ParseNames(x.Args[0])
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
			if err := b.Processes.Signal(name, s); !errors.Is(err, os.ErrProcessDone) { // one that has ended can't be stopped or woken
				return err
			}
			return nil
		})
	}
	switch x.Action {
	case "split":
		b.Network.Split(script.ParseSets(x.Args[0])...)
	case "cut":
		ways(func(r *Rule) { r.Cut = true })
	case "loss":
		ways(func(r *Rule) { r.DropRate = x.NumberArg(1) })
	case "mess":
		ways(func(r *Rule) {
			r.DuplicateRate, r.ReorderRate, r.CorruptRate = x.NumberArg(1), x.NumberArg(1), x.NumberArg(1)
		})
	case "delay":
		ways(func(r *Rule) { r.Delay, r.Jitter = x.DurationArg(1), x.DurationArg(2) })
	case "slow":
		ways(func(r *Rule) { r.BytesPerSecond = x.NumberArg(1) })
	case "heal":
		b.Network.Heal()
	case "stop":
		return signal(syscall.SIGSTOP)
	case "cont":
		return signal(syscall.SIGCONT)
	case "term":
		return signal(syscall.SIGTERM)
	case "kill":
		return each(b.Processes.Kill)
	case "start":
		return each(func(name string) error {
			if b.Processes.Alive(name) {
				return nil
			}
			return b.Processes.Start(name)
		})
	case "relay":
		return each(b.Network.RestartRelay)
	default:
		return fmt.Errorf("%s: only in simulation", x.Action)
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
		if err := b.Apply(x); err != nil {
			return fmt.Errorf("%s %s: %w", x.At, x.Action, err)
		}
	}
	return nil
}
