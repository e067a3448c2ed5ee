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
	// permitTimeout limits each exchange with the permit servers. It leaves time for two elections and the response. A server that receives no
	// response within it does not begin to drain.
	permitTimeout  = 8 * time.Second
	returnInterval = 2 * time.Second // between two attempts to return the permit of the previous generation
	// startTimeout limits how long the server's start waits for the permit servers. A response takes milliseconds; without one the server
	// starts nevertheless.
	startTimeout = 500 * time.Millisecond
	// maxCheckAge is the maximum age of a permit's confirmation when the drain begins, measured by this server's clock from the sending of the
	// request.
	maxCheckAge = time.Second
)

// DrainHooks are the functions by which a DrainCoordinator acts on its server and reads its state.
type DrainHooks struct {
	// StartDrain drains the server and then ends the process with exitCode, in the same way as a stop signal does.
	StartDrain func(exitCode int)
	// CancelDrain cancels the drain. It fails if it is too late for that.
	CancelDrain func() error
	// RequestCounts returns how many RPCs have arrived, and how many of them were rejected, since the start.
	RequestCounts func() (arrived, rejected uint64)
	// SetDrainedMembers replaces the set of members, by pool, that receive no new RPCs. For members that can't be drained it returns the
	// reasons, by pool/address.
	SetDrainedMembers func(addrsByPool map[string][]string) (blocked map[string]string)
	// MemberStates returns the states of the pools' members by pool and address.
	MemberStates func() map[string]map[string]MemberState
	Rollout      RolloutHooks
}

// MemberState is the state of a pool's member at this server.
type MemberState struct {
	Unavailable bool // ejected or drained
	InFlight    int  // number of RPCs in flight
}

// DrainCoordinator drains a server under the control of the permit servers. It reports to them how much of the server is out of service,
// acquires a permit when an operator requests a drain, confirms the permit just before the drain begins, and returns it once the server is
// back and warm. It also applies drains of pools' members, and rollouts. It never begins a drain without the permit servers, and never delays
// a stop that the platform requests. It is safe for concurrent use.
type DrainCoordinator struct {
	fleet    *Fleet
	client   *permitclient.Client
	log      *logrus.Entry
	hooks    DrainHooks
	versions *versionManager

	ctx    context.Context // canceled by Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu               sync.Mutex
	state            DrainStatus // without Version
	returned         bool        // the permit servers know that this generation is back in service
	draining         bool        // a drain by permit is in progress
	stopReported     bool        // a stop without a permit has been reported
	requestPending   bool        // a drain that the permit servers requested is being started
	unreturnedPermit uint64      // ID of the permit of a cancelled drain; 0 for none
	cancelledBy      string
	drainedMembers   map[string]uint64 // permit IDs by pool/address
	undrainable      map[string]string // reasons by pool/address
	lastArrived      uint64            // RequestCounts at the last report
	lastRejected     uint64
	lastCountsAt     time.Time
}

// DrainStatus is the state of a server's drains and rollouts.
type DrainStatus struct {
	PermitServersReachable bool     `json:"Keepers"`          // the last report was answered
	Permit                 uint64   `json:",omitempty"`       // ID of the permit held; 0 for none
	HaltReason             string   `json:"Halted,omitempty"` // why no new drain may begin; "" for no halt
	DrainedMembers         []string `json:"Aside,omitempty"`  // drained members, as pool/address
	Version                *VersionStatus
	LastOutcome            string `json:"Last,omitempty"` // why the last drain did not begin, or who cancelled it
}

// CoordinateDrains connects the server to the permit servers at the given addresses.
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
	// The drained members are fetched before the first RPC, within the time that a start may wait. Otherwise the server would send RPCs to
	// them until its first report.
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

// loop reports to the permit servers, and applies their directives.
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
			continue // report changes by the directives at once
		}
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// noteReachability records whether the permit servers answered, and logs a change. It returns whether they know that this server is back in
// service.
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

// retryReturn retries the return of a cancelled drain's permit if it is still held.
func (d *DrainCoordinator) retryReturn() {
	d.mu.Lock()
	unreturned := d.unreturnedPermit != 0
	d.mu.Unlock()
	if !unreturned {
		return
	}
	if err := d.returnPermit(d.ctx); err != nil {
		d.log.WithError(err).Debug("drain.permit_return_failed") // retried with the next report
	}
}

// Command sends an operator's command to the permit servers. It returns a PermitDeniedError if they deny it.
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

// PermitState returns the permit servers' state.
func (d *DrainCoordinator) PermitState(ctx context.Context) (permitclient.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return d.client.State(ctx)
}

// isDraining reports whether this server is draining by permit.
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

// Close stops the reports and all operations in progress. It does not return a permit that is held.
func (d *DrainCoordinator) Close() {
	d.cancel()
	d.wg.Wait()
	d.client.Close()
}

// PermitDeniedError reports that the permit servers denied a command.
type PermitDeniedError struct {
	Step         string // the step that was denied; "" to print only the reason
	Reason       string
	OutOfService []string // subjects that use up the limit, if that is the reason
}

// Error names the step that was denied, the reason, and the subjects that use up the limit.
func (e *PermitDeniedError) Error() string {
	if e.Step == "" {
		return e.Reason
	}
	return fmt.Sprintf("%s: %s %v", e.Step, e.Reason, e.OutOfService)
}

// Values of PermitDeniedError.Step besides the kinds of commands.
const (
	stepAcquire = "no permit"
	stepConfirm = "the permit is not good any more"
)

func denied(step string, result *permit.Result) error {
	return &PermitDeniedError{Step: step, Reason: result.Reason, OutOfService: result.OutOfService}
}
