package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/permitclient"
)

// serviceState describes to what extent this server is in service.
type serviceState struct {
	generation   uint64  // of this server
	outOfService float64 // share of its capacity, from 0 to 1
	leaving      bool
}

func (d *DrainCoordinator) serviceState() serviceState {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	state := serviceState{generation: d.fleet.identity.Generation}
	phase, warmupProgress := d.fleet.options.Phase()
	switch {
	case phase == Draining || phase == Leaving:
		state.outOfService = 1
		state.leaving = true
	case d.fleet.exclusion != nil:
		state.outOfService = 1
	case phase == WarmingUp:
		state.outOfService = 1 - warmupProgress
	}
	return state
}

// report returns the report on this server's present state for the permit servers.
func (d *DrainCoordinator) report() permitclient.Heartbeat {
	service := d.serviceState()
	heartbeat := permitclient.Heartbeat{
		Name:         d.fleet.options.Name,
		OutOfService: service.outOfService,
		Incarnation:  service.generation,
		Release:      d.versions.report(service.outOfService == 0),
	}
	members := d.hooks.MemberStates()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportRates(&heartbeat)
	d.reportMembers(&heartbeat, members)
	return heartbeat
}

// reportRates adds the rates of RPCs per second since the last report. The caller holds the lock.
func (d *DrainCoordinator) reportRates(heartbeat *permitclient.Heartbeat) {
	arrived, rejected := d.hooks.RequestCounts()
	now := time.Now()
	seconds := now.Sub(d.lastCountsAt).Seconds()
	if !d.lastCountsAt.IsZero() && seconds > 0 {
		heartbeat.DecidedRPS = float64(arrived-d.lastArrived) / seconds
		heartbeat.RejectedRPS = float64(rejected-d.lastRejected) / seconds
	}
	d.lastArrived = arrived
	d.lastRejected = rejected
	d.lastCountsAt = now
}

// reportMembers adds the states of the pools' members and the progress of their drains. It adds none of them if there are more than the permit
// servers accept. The caller holds the lock.
func (d *DrainCoordinator) reportMembers(heartbeat *permitclient.Heartbeat, members map[string]map[string]MemberState) {
	out := map[string]bool{}
	drains := map[string]permit.MemberDrain{}
	for pool, states := range members {
		for addr, state := range states {
			subject := pool + "/" + addr
			out[subject] = state.Unavailable
			if id, drained := d.drainedMembers[subject]; drained {
				drains[subject] = permit.MemberDrain{PermitID: id, InFlight: state.InFlight, BlockedReason: d.undrainable[subject]}
			}
		}
	}
	for subject, id := range d.drainedMembers { // members that this server does not have
		if _, ok := out[subject]; !ok {
			drains[subject] = permit.MemberDrain{PermitID: id}
		}
	}
	if len(out) > permitclient.MaxMembers || len(drains) > permitclient.MaxMembers {
		return
	}
	heartbeat.MembersOut = out
	heartbeat.MemberDrains = drains
}

// applyDirectives applies the permit servers' directives. It returns whether there is a change to report.
func (d *DrainCoordinator) applyDirectives(heartbeat permitclient.Heartbeat, directives permit.Directives) (changed bool) {
	d.mu.Lock()
	d.noteHalt(directives.HaltReason)
	changed = !maps.Equal(d.drainedMembers, directives.DrainingMembers)
	draining := d.draining
	requestPending := d.requestPending
	d.mu.Unlock()
	if changed {
		d.applyDrainedMembers(directives.DrainingMembers)
	}
	if directives.RecalledBy != "" && directives.PermitID != 0 && draining {
		if err := d.Cancel(d.ctx, directives.RecalledBy); err != nil {
			d.log.WithError(err).Warn("drain.cancel_failed")
		}
	}
	request := directives.DrainRequest
	if request != nil && !draining && !requestPending && heartbeat.OutOfService == 0 {
		d.startRequest(func() {
			_ = d.Drain(d.ctx, request.Actor, request.Reason) // Drain logs its failure; the request remains in force
		})
	}
	return changed
}

// noteHalt records and logs the beginning or end of a halt. The caller holds the lock.
func (d *DrainCoordinator) noteHalt(reason string) {
	if d.state.HaltReason == reason {
		return
	}
	d.state.HaltReason = reason
	if reason == "" {
		d.log.Warn("drain.halt_ended")
	} else {
		d.log.WithField("reason", reason).Warn("drain.halt_started")
	}
}

// startRequest runs a requested drain in its own goroutine, and marks it as pending until run returns. While a drain is pending, the callers
// start no other one.
func (d *DrainCoordinator) startRequest(run func()) {
	d.mu.Lock()
	d.requestPending = true
	d.mu.Unlock()
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		run()
		d.mu.Lock()
		d.requestPending = false
		d.mu.Unlock()
	}()
}

// applyDrainedMembers stops new RPCs to the given members, and resumes RPCs to members that are no longer drained. While the permit servers are
// unreachable the last directive remains in force, because a drained member may already be gone.
func (d *DrainCoordinator) applyDrainedMembers(permits map[string]uint64) {
	subjects := slices.Sorted(maps.Keys(permits))
	addrsByPool := map[string][]string{}
	for _, subject := range subjects {
		if pool, addr, ok := strings.Cut(subject, "/"); ok {
			addrsByPool[pool] = append(addrsByPool[pool], addr)
		}
	}
	d.fleet.mu.Lock()
	outliers := d.fleet.outliers
	d.fleet.mu.Unlock()
	if outliers != nil {
		outliers.SetDrained(addrsByPool)
	}
	undrainable := d.hooks.SetDrainedMembers(addrsByPool)
	d.mu.Lock()
	d.drainedMembers = permits
	d.undrainable = undrainable
	d.state.DrainedMembers = subjects
	d.mu.Unlock()
	d.log.WithFields(logrus.Fields{"members": strings.Join(subjects, " "), "undrainable": len(undrainable)}).Info("drain.members_changed")
}
