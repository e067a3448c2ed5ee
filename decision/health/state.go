package health

// This file derives the cluster state from the membership list, and damps members that flap.

import (
	"math"
	"slices"
)

// ClusterState is how much of its fleet a server reaches. Larger is better.
type ClusterState int

// The values of ClusterState.
const (
	Isolated    ClusterState = iota // no peer
	Partitioned                     // some of the membership list
	Complete                        // all of it
)

// String returns the text that status output shows.
func (s ClusterState) String() string {
	return [...]string{Isolated: "alone", Partitioned: "part", Complete: "whole"}[min(max(s, Isolated), Complete)]
}

// Flap damping, after BGP route flap damping (RFC 2439): each suspicion adds one to a penalty with a half-life of
// penaltyHalfLife. From penaltyThreshold on, a peer must stay alive for a hold-down that doubles with every half point
// of penalty, maxHoldDown at most, before it counts as reachable. Suspicions ten seconds apart, each a fault of its own,
// never sum to two; at five seconds the fifth is over the threshold, at three the third. Times are ms.
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

func (m *member) decayedPenalty(now float64) float64 {
	return m.flapPenalty * math.Exp2(-(now-m.penaltyAt)/penaltyHalfLife)
}

// reachable tells whether a peer is alive, and has been for long enough if it flaps.
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

// census counts the membership list and who of it is reachable, the server itself included.
func (d *Detector) census(now float64) (members, reachable int) {
	members = 1 + d.present
	reachable = 1 + d.presentAlive
	still := d.flapping[:0]
	for _, m := range d.flapping {
		if m.decayedPenalty(now) < penaltyThreshold || d.byName[m.name] != m {
			continue
		}
		still = append(still, m)
		if m.alive && m.departure == Present && !d.reachable(m, now) {
			reachable--
		}
	}
	clear(d.flapping[len(still):])
	d.flapping = still
	return members, reachable
}

// observedState is the state by what is known now, before stabilization.
func (d *Detector) observedState(now float64) ClusterState {
	members, reachable := d.census(now)
	switch {
	case d.InGracePeriod(now):
	case members == 1 && len(d.sorted) > 0 && d.config.ExpectedServers <= 1: // all others have departed: a fleet of one
		return Complete
	case members > 1 && now-d.lastMessage >= d.config.SilenceTimeout:
	case reachable == members && members > 1 && members >= d.config.ExpectedServers:
		return Complete
	case reachable > 1:
		return Partitioned
	}
	return Isolated
}

// updateState moves the state: down at once, up after StabilizationPeriod.
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

// State is that of View, at no cost beyond a tick's.
func (d *Detector) State(now float64) ClusterState {
	d.updateState(now)
	return d.state
}

// CompleteFor tells whether the cluster has been complete for at least duration ms, outside the grace period.
func (d *Detector) CompleteFor(now, duration float64) bool {
	return d.State(now) == Complete && !d.InGracePeriod(now) && now-d.stateSince >= duration
}
