// Package health implements failure detection and local health for one server of a fleet, after SWIM and Lifeguard.
//
// A Detector keeps the membership list as this server sees it (alive, suspect, left or declared dead per member and
// incarnation) and derives the view of the cluster: complete, partitioned or isolated, the fraction of each zone in
// contact, and lower and upper bounds on the cluster size. Its input is the events of a SWIM prober (internal/fleet runs
// memberlist), which sends the health checks and reports members as alive or suspect. Like Lifeguard's local health
// multiplier, a Detector first checks its own server: if the process stalled or its wall clock jumped, its observations are
// unreliable, and it reports nothing about its peers until Config.GracePeriod has passed. A member that stops sending
// messages is suspected but never removed: it stays in the membership list until it leaves or is declared dead.
//
// All times are milliseconds as float64. The package is pure: it does no I/O, reads no clock (callers pass monotonic and
// wall times) and starts no goroutine. A Detector is not safe for concurrent use; its owner must serialise calls.
//
// Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol" (DSN 2002); A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
// Detection" (DSN-W 2018).
package health

import "math"

// Config holds the detector's settings. Times are in ms of the server's own monotonic clock.
type Config struct {
	StallThreshold      float64 // time between two ticks from which on this server counts as having stalled
	ClockJumpThreshold  float64 // difference between the wall clock's and the monotonic clock's advance that counts as a jump
	GracePeriod         float64 // time after a start or stall during which nothing is reported about peers
	SilenceTimeout      float64 // time without a message from any peer after which this server counts as isolated
	StabilizationPeriod float64 // time for which a better cluster state must hold before it is reported
	ContactWindow       float64 // age of a message up to which a peer is in contact; extended per listed member
	MaxPeers            int     // maximum number of entries in the membership list, including departed members
	ExpectedServers     int     // configured size of the fleet, below which it is never complete; 0: not configured
}

// DefaultConfig suits a prober that checks one peer every 500 ms and takes at least two seconds to suspect it. A stall below
// StallThreshold, half of that, cannot have caused a suspicion.
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
	sorted []*member // sorted by name, so that reports have a fixed order

	lastTick      float64
	lastWall      float64 // wall clock at the last tick
	graceUntil    float64
	lastMessage   float64 // time of the last message from any peer
	stallCount    int
	everContacted bool // whether any peer has been alive since the start

	state        ClusterState
	stateSince   float64
	pending      ClusterState // better state that has not yet held for StabilizationPeriod
	pendingSince float64
	stateChanges int

	// Updated on events rather than recomputed at each tick, because fleets are large and ticks are frequent.
	present      int       // number of listed members that have not departed
	presentAlive int       // number of these that are alive according to the prober
	flapping     []*member // members suspected so often that they may not count as reachable while alive
}

// New returns a Detector in its grace period. now is the time of the monotonic clock and wall that of the wall clock, in ms.
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

// Tick must be called several times per StallThreshold. It returns true if this server stalled or its wall clock jumped. All
// observations have then been discarded, and the owner must restart its prober.
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

// Reset discards all observations and starts a new grace period. It keeps the membership list.
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

// InGracePeriod reports whether a grace period is in progress, during which nothing is reported about peers.
func (d *Detector) InGracePeriod(now float64) bool { return now < d.graceUntil }

// InboundTimedOut reports whether no peer has sent a message for SilenceTimeout. It is false in a grace period.
func (d *Detector) InboundTimedOut(now float64) bool {
	return !d.InGracePeriod(now) && now-d.lastMessage >= d.config.SilenceTimeout
}
