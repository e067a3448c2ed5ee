// Package fleet is a server's membership in a fleet: it runs memberlist (SWIM gossip) to find out which servers are reachable,
// gossips small records of each server, and feeds decision/health with what the own clock and the network show.
//
// On that membership it builds the status socket for operators, shared budgets (decision/quota), common outlier detection
// (decision/outlier), drains by permit (decision/permit) and rollouts of settings and program versions (decision/release).
//
// The package only carries out; the decisions are made by the decision packages. It never touches an RPC, and never judges a peer by
// anything known before this server itself stalled.
//
// Lock order: the locks of Budgets, OutlierDetectors and DrainCoordinator are taken before that of Fleet.
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

// Fleet is one server's membership. Its methods may be called by many goroutines.
type Fleet struct {
	options    Options
	startedAt  time.Time
	traffic    trafficCounters
	broadcasts *memberlist.TransmitLimitedQueue
	reachable  atomic.Int64 // servers, this one included; the broadcast queue scales with it
	lastTick   atomic.Int64 // ns since startedAt
	// silenced is set once this server has stalled or is excluded, until memberlist has been restarted: no packet passes.
	silenced  atomic.Bool
	stop      chan struct{}
	loopDone  chan struct{}  // closed once the loop has ended
	wg        sync.WaitGroup // goroutines started beside the loop
	joinSlots chan struct{}  // semaphore of concurrent joins

	// memberlistErrors counts the errors and warnings of memberlist: packets that could not be read, decrypted or sent.
	memberlistErrors atomic.Uint64
	joinAttempts     uint64 // used by the loop alone

	mu               sync.Mutex
	detector         *health.Detector
	records          *gossip.Table
	identity         health.Identity
	sequences        map[string]uint64           // last sequence number of each own record, by key
	published        map[string][]byte           // bodies of the own records, by key
	nameByAddr       map[string]string           // of the reachable peers
	nodes            map[string]*memberlist.Node // the reachable peers by name, for direct packets
	lastAddr         map[string]string           // where each name was last reached; survives restarts of memberlist
	budgets          *Budgets                    // nil if no budgets are shared
	outliers         *OutlierDetectors           // nil without common outlier detection
	drains           *DrainCoordinator           // nil without permit servers
	instance         *instance                   // nil while memberlist is down
	firstContact     time.Time                   // with any peer since memberlist was started; zero for none yet
	duplicateNames   []string
	exclusion        error // why this server is excluded from the fleet; nil if it is not
	closed           bool
	announcedAt      time.Time
	announcedPhase   Phase
	detectorRestarts uint64
	peersLost        uint64 // times that the failure detector lost a peer
}

// Start opens a server's membership: it listens, and joins the seeds and every silent peer again and again. It fails only if an option
// is wrong or the address is taken.
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

// newIncarnation draws the number that tells two processes of one name and generation apart. It is never 0.
func newIncarnation() uint64 {
	var random [8]byte
	rand.Read(random[:])
	return binary.LittleEndian.Uint64(random[:]) | 1
}

// elapsedMs converts a time to ms of the monotonic clock since the start.
func (f *Fleet) elapsedMs(t time.Time) float64 { return float64(t.Sub(f.startedAt)) / 1e6 }

// wallMs is the wall clock in ms; only its drift against the monotonic clock is looked at.
func (f *Fleet) wallMs() float64 { return float64(time.Now().Round(0).UnixNano()) / 1e6 }

// awake tells whether the server has run without a stall. A stall that it finds counts until memberlist has been restarted.
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

// Close announces that this server leaves and stops all that was started. It takes half a second at most beside an exchange under way.
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
			_ = in.memberlist.Leave(leaveTimeout) // peers that the message misses find out by their health checks
		}
		f.shutDown(in)
	}
	f.wg.Wait()
}
