// Package health implements failure detection and local health for one server of a fleet, after SWIM and Lifeguard.
//
// A Detector keeps the membership list as this server sees it (alive, suspect, left or declared dead per member and
// incarnation) and derives the view of the cluster: complete, partitioned or isolated, the fraction of each zone in
// contact, and lower and upper bounds on the cluster size. It works on the events of a SWIM prober (internal/fleet runs
// memberlist), which sends the health checks and reports members as alive or suspect. Like Lifeguard's local health
// multiplier, a Detector first checks its own server: one whose process stalled or whose wall clock jumped has seen
// nothing reliable, and reports nothing about its peers until Config.GracePeriod has passed. A member that merely falls
// silent is suspected, never removed: it stays in the membership list until it leaves or is declared dead.
//
// All times are milliseconds as float64. The package is pure: it does no I/O, reads no clock (callers pass monotonic and
// wall times) and starts no goroutine. A Detector is not safe for concurrent use; its owner must serialise calls.
//
// Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol" (DSN 2002); A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
// Detection" (DSN-W 2018).
package health

import "math"

// Config holds the detector's settings. Times are ms of the server's own monotonic clock.
type Config struct {
	StallThreshold      float64 // gap between two ticks from which on the server itself counts as having stalled
	ClockJumpThreshold  float64 // by which the wall clock may part from the monotonic one between two ticks
	GracePeriod         float64 // after a start or a stall, before anything is reported about peers
	SilenceTimeout      float64 // without a message from any peer, after which the server counts as isolated
	StabilizationPeriod float64 // for which a better cluster state must hold before it is reported
	ContactWindow       float64 // within which a peer counts as in direct contact; grows with the membership list
	MaxPeers            int     // entries in the membership list, departed ones included
	ExpectedServers     int     // size of the fleet as configured by an operator; a smaller one is not complete. 0: not configured
}

// DefaultConfig suits a prober that checks one peer every 500 ms and needs at least two seconds to suspect it: a stall of
// half of that can't have caused a suspicion.
var DefaultConfig = Config{
	StallThreshold:      1000,
	ClockJumpThreshold:  1000,
	GracePeriod:         1500,
	SilenceTimeout:      1800,
	StabilizationPeriod: 1000,
	ContactWindow:       5000,
	MaxPeers:            4096,
}

// Detector tracks one server's view of its fleet.
type Detector struct {
	config     Config
	self, zone string

	byName map[string]*member
	sorted []*member // by name, so that all reports come in one order

	lastTick      float64
	lastWall      float64 // wall clock at the last tick
	graceUntil    float64
	lastMessage   float64 // from any peer
	stallCount    int
	everContacted bool // some peer was alive at some time in this incarnation

	state        ClusterState
	stateSince   float64
	pending      ClusterState // better state that has not held for StabilizationPeriod yet
	pendingSince float64
	stateChanges int

	// Counted as events arrive rather than at each tick, since fleets are large and ticks are frequent.
	present      int       // members on the list that have not departed
	presentAlive int       // of those, the ones that the prober finds alive
	flapping     []*member // suspected so often that they may not count as reachable although alive
}

// New returns a Detector in its grace period. now is the monotonic and wall the wall clock, in ms.
func New(config Config, self, zone string, now, wall float64) *Detector {
	return &Detector{
		config:       config,
		self:         self,
		zone:         zone,
		byName:       map[string]*member{},
		lastTick:     now,
		lastWall:     wall,
		stateSince:   now,
		pendingSince: now,
		graceUntil:   now + config.GracePeriod,
		lastMessage:  math.Inf(-1),
	}
}

// Tick must be called many times within StallThreshold. It reports whether the server itself had stalled or its clock
// jumped: then all observations are discarded, and the owner must restart its prober.
func (d *Detector) Tick(now, wall float64) (stalled bool) {
	gap := now - d.lastTick
	jump := math.Abs(wall - d.lastWall - gap)
	d.lastTick = now
	d.lastWall = wall
	if gap >= d.config.StallThreshold || jump >= d.config.ClockJumpThreshold {
		d.stallCount++
		d.Reset(now)
		return true
	}
	d.updateState(now)
	return false
}

// Reset discards all observations and starts a new grace period. The membership list stays.
func (d *Detector) Reset(now float64) {
	for _, m := range d.sorted {
		d.setStatus(m, false, m.departure)
		m.statusSince = now
		m.lastMessage = math.Inf(-1)
		m.lastAck = math.Inf(-1)
		m.lastIndirect = math.Inf(-1)
		m.indirectVia = ""
	}
	d.lastMessage = math.Inf(-1)
	d.graceUntil = now + d.config.GracePeriod
	d.setState(now, Isolated)
}

// InGracePeriod tells whether nothing may be reported about peers yet.
func (d *Detector) InGracePeriod(now float64) bool { return now < d.graceUntil }

// InboundTimedOut tells whether no message came from any peer for SilenceTimeout, outside the grace period.
func (d *Detector) InboundTimedOut(now float64) bool {
	return !d.InGracePeriod(now) && now-d.lastMessage >= d.config.SilenceTimeout
}
