// Package fleet implements a server's membership in a fleet. It runs memberlist (SWIM gossip) to find out which servers are reachable,
// gossips small records about each server, and passes observations of the local clock and the network to decision/health.
//
// On top of the membership it provides the status socket for operators, shared budgets (decision/quota), common outlier detection
// (decision/outlier), drains by permit (decision/permit), and rollouts of settings and program versions (decision/release).
//
// The decision packages make the decisions; this package only carries them out. It never handles an RPC. After this server has stalled, it
// discards everything that it knew about its peers before the stall.
//
// Lock order: the locks of Budgets, OutlierDetectors and DrainCoordinator are acquired before that of Fleet.
package fleet

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"sorrelvalve/decision/gossip"
	"sorrelvalve/decision/health"
)

// Fleet is one server's membership in a fleet. It is safe for concurrent use.
type Fleet struct {
	options    Options
	startedAt  time.Time
	traffic    trafficCounters
	broadcasts *memberlist.TransmitLimitedQueue
	reachable  atomic.Int64 // number of reachable servers including this one; the broadcast queue scales with it
	lastTick   atomic.Int64 // ns since startedAt
	// silenced is set when this server has stalled or is excluded from the fleet, and cleared when memberlist is restarted. While it is set, no
	// packet is sent or accepted.
	silenced  atomic.Bool
	stop      chan struct{}
	loopDone  chan struct{}  // closed when the loop has ended
	wg        sync.WaitGroup // goroutines other than the loop
	joinSlots chan struct{}  // semaphore of concurrent joins

	// memberlistErrors counts the errors and warnings that memberlist logged: packets that could not be read, decrypted or sent.
	memberlistErrors atomic.Uint64
	joinAttempts     uint64 // used only by the loop

	mu               sync.Mutex
	detector         *health.Detector
	records          *gossip.Table
	identity         health.Identity
	sequences        map[string]uint64           // last sequence number of each of this server's records, by key
	published        map[string][]byte           // bodies of this server's records, by key
	nameByAddr       map[string]string           // names of the reachable peers by address
	nodes            map[string]*memberlist.Node // the reachable peers by name, for direct packets
	lastAddr         map[string]string           // last known address of each name; survives restarts of memberlist
	budgets          *Budgets                    // nil without shared budgets
	outliers         *OutlierDetectors           // nil without common outlier detection
	drains           *DrainCoordinator           // nil without permit servers
	instance         *instance                   // nil while memberlist is down
	firstContact     time.Time                   // time of the first contact with any peer since memberlist was started; zero before
	duplicateNames   []string
	exclusion        error // why this server is excluded from the fleet; nil if it is not
	closed           bool
	announcedAt      time.Time
	announcedPhase   Phase
	detectorRestarts uint64
	peersLost        uint64 // number of times that the failure detector lost a peer
}

// Start starts a server's membership in a fleet. It listens, and keeps trying to join the seeds and all silent peers in the background. It
// fails only if an option is invalid or the address is in use.
func Start(o Options) (*Fleet, error) {
	o = o.withDefaults()
	f := &Fleet{
		options:    o,
		startedAt:  time.Now(),
		stop:       make(chan struct{}),
		loopDone:   make(chan struct{}),
		joinSlots:  make(chan struct{}, maxConcurrentJoins),
		records:    gossip.NewTable(gossip.DefaultLimits),
		sequences:  map[string]uint64{},
		published:  map[string][]byte{},
		nameByAddr: map[string]string{},
		nodes:      map[string]*memberlist.Node{},
		lastAddr:   map[string]string{},
	}
	f.broadcasts = &memberlist.TransmitLimitedQueue{
		RetransmitMult: retransmitMult,
		NumNodes:       func() int { return int(f.reachable.Load()) },
	}
	f.reachable.Store(1)
	f.identity = health.Identity{Generation: 1, Incarnation: newIncarnation()}
	f.detector = health.New(o.healthConfig, o.Name, o.Zone, 0, f.wallMs())
	if err := f.startMemberlist(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	go f.loop()
	return f, nil
}

// newIncarnation returns a random number that distinguishes two processes with the same name and generation. It is never 0.
func newIncarnation() uint64 {
	var random [8]byte
	rand.Read(random[:])
	return binary.LittleEndian.Uint64(random[:]) | 1
}

// elapsedMs converts a time to ms since the start, by the monotonic clock.
func (f *Fleet) elapsedMs(t time.Time) float64 { return float64(t.Sub(f.startedAt)) / 1e6 }

// wallMs returns the time of the wall clock in ms. It serves only to find the clock's drift against the monotonic clock.
func (f *Fleet) wallMs() float64 { return float64(time.Now().Round(0).UnixNano()) / 1e6 }

// awake reports whether the server has run without a stall. Once it has found a stall, it returns false until memberlist has been
// restarted. It also returns false while the server is excluded from the fleet.
func (f *Fleet) awake() bool {
	if f.silenced.Load() {
		return false
	}
	sinceTick := time.Since(f.startedAt) - time.Duration(f.lastTick.Load())
	if float64(sinceTick)/1e6 >= f.options.healthConfig.StallThreshold {
		f.silenced.Store(true)
		return false
	}
	return true
}

// View returns the fleet as this server sees it.
func (f *Fleet) View() health.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.detector.View(f.elapsedMs(time.Now()))
}

// Close announces that this server leaves the fleet, and stops everything that Start started. It takes at most half a second in addition to a
// state exchange in progress.
func (f *Fleet) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	if f.instance != nil && f.exclusion == nil {
		record := f.ownRecord()
		record.Phase = Leaving
		f.publishOrLog(time.Now(), keyServer, record.appendTo(nil))
	}
	f.mu.Unlock()
	close(f.stop)
	<-f.loopDone
	f.mu.Lock()
	in := f.instance
	excluded := f.exclusion != nil
	f.mu.Unlock()
	if in != nil {
		if !excluded {
			_ = in.memberlist.Leave(leaveTimeout) // peers that miss the message detect the departure by their health checks
		}
		f.shutDown(in)
	}
	f.wg.Wait()
}
