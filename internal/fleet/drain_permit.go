package fleet

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/permitclient"
)

// ErrNotDraining reports that there is no drain by permit to cancel.
var ErrNotDraining = errors.New("no drain by permit goes on here")

// UnreturnedPermitError reports that no drain can begin before the permit of a cancelled one is returned.
type UnreturnedPermitError struct{ PermitID uint64 }

// Error names the permit.
func (e *UnreturnedPermitError) Error() string {
	return fmt.Sprintf("the permit %d of the drain that was taken back is still to be returned", e.PermitID)
}

// Drain acquires a permit, confirms it, and begins to drain this server. It returns once the drain has begun, or why it has not:
// UnreturnedPermitError, PermitDeniedError, or that the permit servers can't be reached.
func (d *DrainCoordinator) Drain(ctx context.Context, operator, reason string) error {
	return d.drain(ctx, drainRequest{operator: operator, reason: reason})
}

// drainRequest is a drain of this server that is to begin.
type drainRequest struct {
	operator string
	reason   string
	exitCode int          // of the process
	prepare  func() error // called once the drain may begin, which it does not if that fails; nil for nothing
}

func (d *DrainCoordinator) drain(ctx context.Context, request drainRequest) (err error) {
	defer func() { d.noteOutcome(request.operator, err) }()
	generation := d.serviceState().generation
	d.mu.Lock()
	unreturned := d.unreturnedPermit
	d.mu.Unlock()
	if unreturned != 0 {
		return &UnreturnedPermitError{PermitID: unreturned}
	}
	command := permit.Command{Subject: d.fleet.options.Name, Incarnation: generation, Actor: request.operator}
	if command.PermitID, err = d.acquirePermit(ctx, command, request.reason); err != nil {
		return err
	}
	begun, err := d.confirmPermit(ctx, command)
	if err == nil && request.prepare != nil {
		err = request.prepare()
	}
	if err != nil {
		d.abandonPermit(command, begun)
		return err
	}
	fields := logrus.Fields{"permit": command.PermitID, "operator": request.operator, "reason": request.reason}
	d.log.WithFields(fields).Info("drain.started_by_permit")
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	d.hooks.StartDrain(request.exitCode)
	return nil
}

// noteOutcome notes and logs why a drain did not begin. An operator that asks again and again is answered each time, the log is written
// once.
func (d *DrainCoordinator) noteOutcome(operator string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil || d.state.LastOutcome == err.Error() {
		return
	}
	d.state.LastOutcome = err.Error()
	d.log.WithError(err).WithField("operator", operator).Warn("drain.rejected")
}

// acquirePermit acquires a permit for this server.
func (d *DrainCoordinator) acquirePermit(ctx context.Context, command permit.Command, reason string) (id uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	command.ID = newID("ask")
	command.Kind = permit.Acquire
	command.Reason = reason
	result, err := d.client.Do(ctx, command)
	if err != nil {
		return 0, err
	}
	if !result.OK {
		return 0, denied(stepAcquire, &result)
	}
	d.mu.Lock()
	d.state.Permit = result.PermitID
	d.mu.Unlock()
	return result.PermitID, nil
}

// confirmPermit has the permit servers record that the drain begins, and tells whether they did. An answer that took too long is asked for
// again: this process may have been stopped meanwhile, and the permit recalled.
func (d *DrainCoordinator) confirmPermit(ctx context.Context, command permit.Command) (begun bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	command.Kind = permit.Begin
	for {
		sent := time.Now()
		command.ID = newID("check")
		result, err := d.client.Do(ctx, command)
		switch {
		case err != nil:
			return result.OK, err
		case !result.OK:
			return false, denied(stepConfirm, &result)
		case time.Since(sent) < maxCheckAge:
			return true, nil
		case ctx.Err() != nil:
			return true, ctx.Err()
		}
	}
}

// abandonPermit returns a permit whose drain does not begin here. begun tells that the permit servers recorded its beginning: it is
// recalled first, or they would not take it as unused. If they can't be reached, an operator frees the permit.
func (d *DrainCoordinator) abandonPermit(command permit.Command, begun bool) {
	if begun {
		recall := permit.Command{ID: newID("recall"), Kind: permit.Recall, Subject: command.Subject, Actor: command.Actor}
		d.send(d.ctx, permitTimeout, recall)
	}
	command.ID = newID("unused")
	command.Kind = permit.Return
	command.Reason = "not begun"
	d.send(d.ctx, permitTimeout, command)
	d.mu.Lock()
	d.state.Permit = 0
	d.mu.Unlock()
}

// send sends a command of which nothing here depends; a failure is logged.
func (d *DrainCoordinator) send(ctx context.Context, timeout time.Duration, command permit.Command) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := d.client.Do(ctx, command)
	if err == nil && !result.OK {
		err = denied(string(command.Kind), &result)
	}
	if err != nil {
		d.log.WithError(err).WithField("kind", string(command.Kind)).Warn("drain.command_failed")
	}
}

// Cancel takes this server's drain back, if it has not closed yet, and returns its permit. It fails with ErrNotDraining.
func (d *DrainCoordinator) Cancel(ctx context.Context, operator string) error {
	d.mu.Lock()
	draining := d.draining
	id := d.state.Permit
	d.mu.Unlock()
	if !draining {
		return ErrNotDraining
	}
	if err := d.hooks.CancelDrain(); err != nil {
		return err
	}
	d.mu.Lock()
	d.draining = false
	d.unreturnedPermit = id
	d.cancelledBy = operator
	d.state.LastOutcome = "taken back by " + operator
	d.mu.Unlock()
	d.log.WithFields(logrus.Fields{"permit": id, "operator": operator}).Info("drain.cancelled")
	return d.returnPermit(ctx)
}

// returnPermit returns the permit of a drain that was cancelled. It is tried with each report until the permit servers have it: until then
// no other drain begins here.
func (d *DrainCoordinator) returnPermit(ctx context.Context) error {
	generation := d.serviceState().generation
	d.mu.Lock()
	id := d.unreturnedPermit
	operator := d.cancelledBy
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	// Without this report the server would count as lost from the return of its permit to its next report.
	_, _ = d.client.Heartbeat(ctx, d.report()) // the commands below fail if it did
	name := d.fleet.options.Name
	recall := permit.Command{ID: newID("recall"), Kind: permit.Recall, Subject: name, Actor: operator}
	if _, err := d.client.Do(ctx, recall); err != nil {
		return err
	}
	result, err := d.client.Do(ctx, permit.Command{
		ID:          newID("stayed"),
		Kind:        permit.Return,
		Subject:     name,
		PermitID:    id,
		Incarnation: generation,
		Actor:       operator,
		Reason:      "taken back",
	})
	if err != nil {
		return err
	}
	if !result.OK {
		return denied("", &result)
	}
	d.mu.Lock()
	d.unreturnedPermit = 0
	d.state.Permit = 0
	d.mu.Unlock()
	return nil
}

// DrainMember drains a member of a pool: it acquires a permit and confirms it. Every server is told to stop new RPCs to the member with its
// next report; PermitState tells how far that is.
func (d *DrainCoordinator) DrainMember(ctx context.Context, subject, operator, reason string) error {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	acquired, err := d.client.Do(ctx, permit.Command{ID: newID("ask"), Kind: permit.Acquire, Subject: subject, Actor: operator, Reason: reason})
	if err != nil {
		return err
	}
	if !acquired.OK {
		return denied(stepAcquire, &acquired)
	}
	command := permit.Command{ID: newID("check"), Kind: permit.Begin, Subject: subject, PermitID: acquired.PermitID, Actor: operator}
	confirmed, err := d.client.Do(ctx, command)
	if err != nil {
		return err
	}
	if !confirmed.OK {
		command.ID = newID("unused")
		command.Kind = permit.Return
		command.Reason = "not begun"
		d.send(ctx, permitTimeout, command)
		return denied(stepConfirm, &confirmed)
	}
	return nil
}

// reportReturn returns the permit that a former generation held. It is tried until the permit servers take it: they do not as long as
// this server has not learnt that it is a later generation.
func (d *DrainCoordinator) reportReturn(generation uint64) {
	ctx, cancel := context.WithTimeout(d.ctx, permitTimeout)
	defer cancel()
	name := d.fleet.options.Name
	result, err := d.client.Do(ctx, permit.Command{
		ID:          newID("back"),
		Kind:        permit.Return,
		Subject:     name,
		Incarnation: generation,
		Actor:       name,
		Reason:      "back and warm",
	})
	if err != nil || !result.OK {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.returned = true
	if result.PermitID != 0 {
		d.log.WithField("permit", result.PermitID).Info("drain.permit_returned")
	}
}

// reportUnplannedStop tells the permit servers once of a stop that is not by permit. It is only recorded: the stop goes on in any case.
func (d *DrainCoordinator) reportUnplannedStop() {
	service := d.serviceState()
	d.mu.Lock()
	due := service.leaving && !d.draining && !d.stopReported
	d.stopReported = d.stopReported || due
	d.mu.Unlock()
	if !due {
		return
	}
	d.log.Warn("drain.stop_without_permit")
	name := d.fleet.options.Name
	d.send(d.ctx, reportTimeout, permit.Command{
		ID:          newID("stop"),
		Kind:        permit.ReportStop,
		Subject:     name,
		Incarnation: service.generation,
		Actor:       name,
		Reason:      "told to stop, without a permit",
	})
}

// changeProgram drains by permit for another version of the program, which the supervisor starts in this one's place: it goes by the exit
// code and by the name in the data folder.
func (d *DrainCoordinator) changeProgram(heartbeat permitclient.Heartbeat, directives *permitclient.Directives) {
	d.mu.Lock()
	busy := d.draining || d.requestPending
	d.mu.Unlock()
	if busy || heartbeat.OutOfService > 0 || !d.versions.wantsProgram(directives) {
		return
	}
	program := storedProgram{Version: directives.ProgramVersion, Name: directives.ProgramName, Index: directives.Index}
	d.startRequest(func() {
		_ = d.drain(d.ctx, drainRequest{ // it logs its failure; the directive stands
			operator: "release",
			reason:   fmt.Sprintf("version %d of the program: %s", program.Version, program.Name),
			exitCode: ExitProgram,
			// Written only once the drain may begin: a process that is killed before is started as what it was.
			prepare: func() error { return d.versions.store.writeProgram(&program) },
		})
	})
}

// newID returns a command's ID: a label for people, and 12 random bytes.
func newID(label string) string {
	var random [12]byte
	rand.Read(random[:])
	return fmt.Sprintf("%s-%x", label, random)
}
