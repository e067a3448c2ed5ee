package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/permitclient"
)

const (
	reportInterval = time.Second
	reportTimeout  = 2 * time.Second
	// permitTimeout bounds each exchange with the permit servers: two elections and the answer. A server that has no answer by then does not
	// begin to drain.
	permitTimeout  = 8 * time.Second
	returnInterval = 2 * time.Second // between two attempts to return the permit of the former generation
	// startTimeout bounds what a start waits for the permit servers: an answer takes milliseconds, and without one the server starts.
	startTimeout = 500 * time.Millisecond
	// maxCheckAge is how old the confirmation of a permit may be when the drain begins, by this server's own clock from when it asked.
	maxCheckAge = time.Second
)

// DrainHooks are what a DrainCoordinator does to its server, and reads of it.
type DrainHooks struct {
	// StartDrain drains the server and ends the process with a code, as a signal to stop does.
	StartDrain func(exitCode int)
	// CancelDrain takes that back, if it is not too late.
	CancelDrain func() error
	// RequestCounts returns how many RPCs have arrived and were rejected since the start.
	RequestCounts func() (arrived, rejected uint64)
	// SetDrainedMembers replaces the members, by pool, that get no new RPCs. It returns why some can't be drained, by pool/address.
	SetDrainedMembers func(addrsByPool map[string][]string) (blocked map[string]string)
	// MemberStates returns the members by pool and address.
	MemberStates func() map[string]map[string]MemberState
	Rollout      RolloutHooks
}

// MemberState is the state of a member of a pool at this server.
type MemberState struct {
	Unavailable bool // ejected or drained
	InFlight    int  // RPCs
}

// DrainCoordinator has a server drain by the permit servers' word: it reports to them how much of the server is out of service, acquires
// a permit when an operator wants it to drain, confirms that just before it begins, and returns it once the server is back and warm. It
// also applies drains of members of pools, and rollouts. It never begins a drain without the permit servers, and never holds up a stop that
// the platform asks for. Its methods may be called by many goroutines.
type DrainCoordinator struct {
	fleet    *Fleet
	client   *permitclient.Client
	log      *logrus.Entry
	hooks    DrainHooks
	versions *versionManager

	ctx    context.Context // until Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu               sync.Mutex
	state            DrainStatus // without Version
	returned         bool        // the permit servers know that this generation is back
	draining         bool        // by a permit
	stopReported     bool        // a stop without a permit
	requestPending   bool        // a drain that the permit servers asked for is under way
	unreturnedPermit uint64      // of a drain that was cancelled; 0 for none
	cancelledBy      string
	drainedMembers   map[string]uint64 // permits by pool/address
	undrainable      map[string]string // reasons by pool/address
	lastArrived      uint64            // RequestCounts at the last report
	lastRejected     uint64
	lastCountsAt     time.Time
}

// DrainStatus is how a server stands with the permit servers.
type DrainStatus struct {
	PermitServersReachable bool     `json:"Keepers"`          // the last report was answered
	Permit                 uint64   `json:",omitempty"`       // held; 0 for none
	HaltReason             string   `json:"Halted,omitempty"` // why nothing new may begin; "" for no halt
	DrainedMembers         []string `json:"Aside,omitempty"`  // members of pools that are drained, as pool/address
	Version                *VersionStatus
	LastOutcome            string `json:"Last,omitempty"` // of the last drain
}

// CoordinateDrains connects a server to the permit servers at some addresses.
func (f *Fleet) CoordinateDrains(permitServers []string, hooks DrainHooks) *DrainCoordinator {
	d := &DrainCoordinator{
		fleet:    f,
		client:   permitclient.New(permitServers),
		log:      f.options.Log,
		hooks:    hooks,
		versions: newVersionManager(hooks.Rollout, f.options.Log),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	f.mu.Lock()
	f.drains = d
	f.mu.Unlock()
	// The drained members are fetched before the first RPC, for as long as a start may wait: else it would use them until its first report.
	ctx, cancel := context.WithTimeout(d.ctx, startTimeout)
	heartbeat := d.report()
	if directives, err := d.client.Heartbeat(ctx, heartbeat); err == nil {
		d.applyDirectives(heartbeat, directives.Directives)
	}
	cancel()
	d.wg.Add(1)
	go d.loop()
	return d
}

// loop reports, and applies what the permit servers direct.
func (d *DrainCoordinator) loop() {
	defer d.wg.Done()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var returnReportedAt time.Time
	for {
		heartbeat := d.report()
		ctx, cancel := context.WithTimeout(d.ctx, reportTimeout)
		directives, err := d.client.Heartbeat(ctx, heartbeat)
		cancel()
		returned := d.noteReachability(err, !returnReportedAt.IsZero())
		changed := false
		if err == nil {
			changed = d.applyDirectives(heartbeat, directives.Directives)
			changed = d.versions.applyDirectives(d.ctx, d.client, &directives) || changed
			d.changeProgram(heartbeat, &directives)
		}
		if err == nil && !returned && heartbeat.OutOfService == 0 && time.Since(returnReportedAt) > returnInterval {
			returnReportedAt = time.Now()
			d.reportReturn(heartbeat.Incarnation)
		}
		d.reportUnplannedStop()
		if err == nil {
			d.retryReturn()
		}
		if changed {
			continue // what the directives changed is reported at once
		}
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// noteReachability notes whether the permit servers answered, and logs a change. It returns whether they know that this server is back.
func (d *DrainCoordinator) noteReachability(err error, returnReported bool) (returned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reachable := err == nil
	if reachable != d.state.PermitServersReachable && d.ctx.Err() == nil {
		if !reachable {
			d.log.WithError(err).Warn("drain.permit_servers_unreachable")
		} else if d.state.LastOutcome != "" || returnReported {
			d.log.Info("drain.permit_servers_reachable")
		}
	}
	d.state.PermitServersReachable = reachable
	return d.returned
}

// retryReturn returns the permit of a cancelled drain if it is still held.
func (d *DrainCoordinator) retryReturn() {
	d.mu.Lock()
	unreturned := d.unreturnedPermit != 0
	d.mu.Unlock()
	if !unreturned {
		return
	}
	if err := d.returnPermit(d.ctx); err != nil {
		d.log.WithError(err).Debug("drain.permit_return_failed") // tried again with the next report
	}
}

// Command sends an operator's command to the permit servers. It fails with PermitDeniedError if they deny it.
func (d *DrainCoordinator) Command(ctx context.Context, c permit.Command) error {
	c.ID = newID("op")
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	result, err := d.client.Do(ctx, c)
	if err == nil && !result.OK {
		err = denied(string(c.Kind), &result)
	}
	return err
}

// PermitState reads the permit servers' state.
func (d *DrainCoordinator) PermitState(ctx context.Context) (permitclient.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return d.client.State(ctx)
}

// isDraining tells whether this server drains by a permit.
func (d *DrainCoordinator) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *DrainCoordinator) status() *DrainStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	status := d.state
	status.Version = d.versions.status()
	return &status
}

// Close ends the reports and what is under way. A permit that is held stays held.
func (d *DrainCoordinator) Close() {
	d.cancel()
	d.wg.Wait()
	d.client.Close()
}

// PermitDeniedError reports that the permit servers denied a command.
type PermitDeniedError struct {
	Step         string // what was denied; "" to tell the reason alone
	Reason       string
	OutOfService []string // what uses up the limit, if that is the reason
}

// Error names what was denied, why, and what uses up the limit.
func (e *PermitDeniedError) Error() string {
	if e.Step == "" {
		return e.Reason
	}
	return fmt.Sprintf("%s: %s %v", e.Step, e.Reason, e.OutOfService)
}

// The steps of PermitDeniedError beside the kinds of commands.
const (
	stepAcquire = "no permit"
	stepConfirm = "the permit is not good any more"
)

func denied(step string, result *permit.Result) error {
	return &PermitDeniedError{Step: step, Reason: result.Reason, OutOfService: result.OutOfService}
}
