package testbed

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

// Apply carries out one step of a script on the relays and processes.
func (b *Bed) Apply(step script.Step) error {
	switch step.Action {
	case "split":
		b.Network.Split(script.ParseSets(step.Args[0])...)
	case "cut":
		b.updateRules(step, func(r *Rule) { r.Cut = true })
	case "loss":
		b.updateRules(step, func(r *Rule) { r.DropRate = step.NumberArg(1) })
	case "mess":
		b.updateRules(step, func(r *Rule) {
			r.DuplicateRate = step.NumberArg(1)
			r.ReorderRate = step.NumberArg(1)
			r.CorruptRate = step.NumberArg(1)
		})
	case "delay":
		b.updateRules(step, func(r *Rule) {
			r.Delay = step.DurationArg(1)
			r.Jitter = step.DurationArg(2)
		})
	case "slow":
		b.updateRules(step, func(r *Rule) { r.BytesPerSecond = step.NumberArg(1) })
	case "heal":
		b.Network.Heal()
	case "stop":
		return b.signalEach(step, syscall.SIGSTOP)
	case "cont":
		return b.signalEach(step, syscall.SIGCONT)
	case "term":
		return b.signalEach(step, syscall.SIGTERM)
	case "kill":
		return b.forEach(step, b.Processes.Kill)
	case "start":
		return b.forEach(step, b.startIfEnded)
	case "relay":
		return b.forEach(step, b.Network.RestartRelay)
	default:
		return fmt.Errorf("%s: only in simulation", step.Action)
	}
	return nil
}

// updateRules changes the rules of the direction that a step names.
func (b *Bed) updateRules(step script.Step, change func(*Rule)) {
	from, to := script.ParseDirection(step.Args[0])
	b.Network.UpdateRules(step.Action+" "+strings.Join(step.Args, " "), from, to, change)
}

// forEach calls f for each name of a step, until one fails.
func (b *Bed) forEach(step script.Step, f func(name string) error) error {
	names := script.ParseNames(step.Args[0])
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

// signalEach sends a signal to each process of a step. One that has ended can't be stopped or woken, which is no error.
func (b *Bed) signalEach(step script.Step, signal syscall.Signal) error {
	return b.forEach(step, func(name string) error {
		err := b.Processes.Signal(name, signal)
		if errors.Is(err, os.ErrProcessDone) {
			return nil
		}
		return err
	})
}

// startIfEnded starts a name's process unless it runs.
func (b *Bed) startIfEnded(name string) error {
	if b.Processes.Alive(name) {
		return nil
	}
	return b.Processes.Start(name)
}

// Play carries out a script from now on, and returns after its last step, at the first step that fails, or when ctx is done.
func (b *Bed) Play(ctx context.Context, s script.Script) error {
	began := time.Now()
	for _, step := range s {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(began.Add(step.At))):
		}
		if err := b.Apply(step); err != nil {
			return fmt.Errorf("%s %s: %w", step.At, step.Action, err)
		}
	}
	return nil
}
