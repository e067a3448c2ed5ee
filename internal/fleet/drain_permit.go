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

// ErrNotDraining is returned if there is no drain by permit to cancel.
var ErrNotDraining = errors.New("no drain by permit goes on here")

// UnreturnedPermitError reports that no drain can begin until the permit of a cancelled drain has been returned.
type UnreturnedPermitError struct{ PermitID uint64 }

// Error names the permit.
func (e *UnreturnedPermitError) Error() string {
	return fmt.Sprintf("the permit %d of the drain that was taken back is still to be returned", e.PermitID)
}

// Drain acquires a permit, confirms it, and begins to drain this server. It returns once the drain has begun. It returns an
// UnreturnedPermitError, a PermitDeniedError, or the error of an exchange with the permit servers if the drain does not begin.
func (d *DrainCoordinator) Drain(ctx context.Context, operator, reason string) error {
	return d.drain(ctx, drainRequest{operator: operator, reason: reason})
}

// drainRequest holds the parameters of a drain of this server.
type drainRequest struct {
	operator string
	reason   string
	exitCode int          // of the process
	prepare  func() error // called once the drain may begin; if it fails, the drain does not begin; may be nil
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

// noteOutcome records and logs why a drain did not begin. The same reason is logged only once in a row, however often an operator repeats the
// request; the operator receives the error each time.
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

// confirmPermit makes the permit servers record that the drain begins, and returns whether they have done so. If the response took longer than
// maxCheckAge, it confirms the permit again: this process may have been suspended meanwhile, and the permit recalled.
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

// abandonPermit returns a permit whose drain did not begin. If begun is set, the permit servers have recorded the beginning of the drain; the
// permit is then recalled first, because they would not accept it as unused otherwise. If they can't be reached, an operator has to free the
// permit.
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

// send sends a command whose result is not needed. It logs a failure.
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

// Cancel cancels this server's drain, unless the server has already closed, and returns its permit. It returns ErrNotDraining if no drain by
// permit is in progress.
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

// returnPermit returns the permit of a cancelled drain. It is retried with each report until it succeeds. Until then no other drain of this
// server begins.
func (d *DrainCoordinator) returnPermit(ctx context.Context) error {
	generation := d.serviceState().generation
	d.mu.Lock()
	id := d.unreturnedPermit
	operator := d.cancelledBy
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	// Without this report the server would count as lost from the return of its permit until its next report.
	_, _ = d.client.Heartbeat(ctx, d.report()) // if the permit servers are unreachable, the commands below fail too
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

// DrainMember drains a member of a pool: it acquires a permit and confirms it. Each server receives the directive to stop new RPCs to the
// member in the response to its next report. PermitState returns the progress.
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

// reportReturn returns the permit that a previous generation of this server held. It is retried until the permit servers accept it. They accept
// it only once this server has learnt that it is a later generation.
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

// reportUnplannedStop reports a stop without a permit to the permit servers, once. They only record it; the stop proceeds in any case.
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

// changeProgram drains the server by permit so that it can be replaced by another version of the program. The supervisor starts that version,
// as the exit code and the name in the data folder tell it to.
func (d *DrainCoordinator) changeProgram(heartbeat permitclient.Heartbeat, directives *permitclient.Directives) {
	d.mu.Lock()
	busy := d.draining || d.requestPending
	d.mu.Unlock()
	if busy || heartbeat.OutOfService > 0 || !d.versions.wantsProgram(directives) {
		return
	}
	program := storedProgram{Version: directives.ProgramVersion, Name: directives.ProgramName, Index: directives.Index}
	d.startRequest(func() {
		_ = d.drain(d.ctx, drainRequest{ // drain logs its failure; the directive remains in force
			operator: "release",
			reason:   fmt.Sprintf("version %d of the program: %s", program.Version, program.Name),
			exitCode: ExitProgram,
			// The file is written only once the drain may begin, so that a process that is killed earlier is restarted with its present program.
			prepare: func() error { return d.versions.store.writeProgram(&program) },
		})
	})
}

// newID returns a unique ID for a command: a label for human readers and 12 random bytes.
func newID(label string) string {
	var random [12]byte
	rand.Read(random[:])
	return fmt.Sprintf("%s-%x", label, random)
}
