package health

// This file derives the cluster state from the membership list, with damping for flapping members.

import (
	"math"
	"slices"
)

// ClusterState is how much of the fleet this server reaches. Higher values are better.
type ClusterState int

// The values of ClusterState.
const (
	Isolated    ClusterState = iota // no peer is reachable
	Partitioned                     // some of the membership list is reachable
	Complete                        // all of the membership list is reachable
)

// String returns the text for status output.
func (s ClusterState) String() string {
	return [...]string{Isolated: "alone", Partitioned: "part", Complete: "whole"}[min(max(s, Isolated), Complete)]
}

// Flap damping, after BGP route flap damping (RFC 2439): each suspicion adds 1 to a penalty with a half-life of
// penaltyHalfLife. From penaltyThreshold on, a peer counts as reachable only after it has been alive for a hold-down time,
// which doubles with every 0.5 of penalty up to maxHoldDown. With suspicions ten seconds apart, as from independent faults,
// the penalty never reaches 2. With suspicions five seconds apart, the fourth exceeds the threshold; at three seconds, the
// third does. Times are in ms.
const (
	penaltyHalfLife  = 10e3
	penaltyThreshold = 2.3
	maxHoldDown      = 30e3
)

// penalize adds one suspicion to a member's flap penalty.
func (d *Detector) penalize(now float64, m *member) {
	m.flapPenalty = m.decayedPenalty(now) + 1
	m.penaltyAt = now
	m.suspicionCount++
	if m.flapPenalty >= penaltyThreshold && !slices.Contains(d.flapping, m) {
		d.flapping = append(d.flapping, m)
	}
}

// decayedPenalty returns the flap penalty decayed to now.
func (m *member) decayedPenalty(now float64) float64 {
	return m.flapPenalty * math.Exp2(-(now-m.penaltyAt)/penaltyHalfLife)
}

// reachable reports whether a peer is present and alive and, if it flaps, has been alive for its hold-down time.
func (d *Detector) reachable(m *member, now float64) bool {
	if !m.alive || m.departure != Present {
		return false
	}
	holdDown := 0.0
	if penalty := m.decayedPenalty(now); penalty >= penaltyThreshold {
		holdDown = min(d.config.StabilizationPeriod*math.Exp2(2*penalty), maxHoldDown)
	}
	return now-m.statusSince >= holdDown
}

// countMembers returns the number of present members and how many of them are reachable, both including this server.
func (d *Detector) countMembers(now float64) (members, reachable int) {
	members = 1 + d.present
	reachable = 1 + d.presentAlive
	flapping := d.flapping[:0]
	for _, m := range d.flapping {
		if m.decayedPenalty(now) < penaltyThreshold || d.byName[m.name] != m {
			continue
		}
		flapping = append(flapping, m)
		if m.alive && m.departure == Present && !d.reachable(m, now) {
			reachable--
		}
	}
	clear(d.flapping[len(flapping):])
	d.flapping = flapping
	return members, reachable
}

// observedState returns the cluster state as observed now, before stabilization.
func (d *Detector) observedState(now float64) ClusterState {
	members, reachable := d.countMembers(now)
	switch {
	case d.InGracePeriod(now):
	case members == 1 && len(d.sorted) > 0 && d.config.ExpectedServers <= 1: // all other members have departed: a fleet of one
		return Complete
	case members > 1 && now-d.lastMessage >= d.config.SilenceTimeout:
	case reachable == members && members > 1 && members >= d.config.ExpectedServers:
		return Complete
	case reachable > 1:
		return Partitioned
	}
	return Isolated
}

// updateState updates the cluster state. A worse state takes effect at once, a better one after StabilizationPeriod.
func (d *Detector) updateState(now float64) {
	observed := d.observedState(now)
	if observed <= d.state {
		d.pending = observed
		d.pendingSince = now
		if observed < d.state {
			d.setState(now, observed)
		}
		return
	}
	if observed != d.pending {
		if d.pending <= d.state || observed < d.pending {
			d.pendingSince = now
		}
		d.pending = observed
	}
	if now-d.pendingSince >= d.config.StabilizationPeriod {
		d.setState(now, observed)
	}
}

func (d *Detector) setState(now float64, state ClusterState) {
	if state != d.state {
		d.state = state
		d.stateSince = now
		d.stateChanges++
	}
	d.pending = state
	d.pendingSince = now
}

// State returns the cluster state as in View. It costs no more than a tick.
func (d *Detector) State(now float64) ClusterState {
	d.updateState(now)
	return d.state
}

// CompleteFor reports whether the cluster has been complete for at least duration ms. It is false in a grace period.
func (d *Detector) CompleteFor(now, duration float64) bool {
	return d.State(now) == Complete && !d.InGracePeriod(now) && now-d.stateSince >= duration
}
