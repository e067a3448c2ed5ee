package fleet

// This file owns a server's part in drains that keepers agree on: it tells them how much of it is out, asks for a permit when an
// operator wants it gone, asks once more just before it begins, and says when it is back and warm. It must never begin
// without the keepers' word, nor hold up a stop that the platform asks for.

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/permitclient"
)

const (
	reportInterval = time.Second
	reportTimeout  = 2 * time.Second
	// permitTimeout bounds each question to the keepers: two elections and the answer. A server that has no answer by then does
	// not begin.
	permitTimeout  = 8 * time.Second
	returnInterval = 2 * time.Second
	// startTimeout bounds what a start waits for the keepers: an answer takes milliseconds, and without one the server begins.
	startTimeout = 500 * time.Millisecond
	// maxCheckAge is how old the last word before a beginning may be, by this server's own clock from when it asked.
	maxCheckAge = time.Second
)

// DrainHooks is what a server's part in drains does to it, and reads of it.
type DrainHooks struct {
	StartDrain        func(code int)                                       // drain and end, as by a signal to stop
	CancelDrain       func() error                                         // take that back
	RequestCounts     func() (arrived, pushed uint64)                      // since the start
	SetDrainedMembers func(map[string][]string) (cannot map[string]string) // leave members alone, by pool, and no others
	MemberStates      func() map[string]map[string]MemberState             // members by pool and address
	Rollout           RolloutHooks
}

// MemberState is how a member of a pool stands at this server.
type MemberState struct {
	Unavailable bool
	InFlight    int
}

// DrainCoordinator are one server's.
type DrainCoordinator struct {
	fleet  *Fleet
	client *permitclient.Client
	log    *logrus.Entry
	hooks  DrainHooks

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu               sync.Mutex
	state            DrainStatus
	returned         bool   // this start has said that it is back
	draining         bool   // it leaves by a permit
	stopReported     bool   // that it was stopped by others
	requestPending   bool   // by an operator's word at another server
	unreturnedPermit uint64 // a permit to be returned, 0 for none
	cancelledBy      string
	drainedMembers   map[string]uint64 // members left alone, by their permits
	undrainable      map[string]string
	versions         *versionManager
	lastCounts       [2]uint64 // of the flow, at the last word
	lastCountsAt     time.Time
}

// DrainStatus is how a server stands with the permit servers.
type DrainStatus struct {
	PermitServersReachable bool     `json:"Keepers"`          // the last report was answered
	Permit                 uint64   `json:",omitempty"`       // held; 0 for none
	HaltReason             string   `json:"Halted,omitempty"` // why nothing new may begin; "" for no halt
	DrainedMembers         []string `json:"Aside,omitempty"`  // members of pools that are drained, as pool/address
	Version                *VersionStatus
	LastOutcome            string `json:"Last,omitempty"` // outcome of the last drain
}

// CoordinateDrains has a server tell the keepers at some addresses how it is, drain by their permits, and leave drained members alone.
func (f *Fleet) CoordinateDrains(at []string, life DrainHooks) *DrainCoordinator {
	d := &DrainCoordinator{fleet: f, client: permitclient.New(at), log: f.options.Log, hooks: life, versions: newVersionManager(life.Rollout, f.options.Log)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	f.mu.Lock()
	f.drains = d
	f.mu.Unlock()
	// Who is drained is asked before the first RPC, for as long as a start may wait: else it would use them until its first word.
	asking, end := context.WithTimeout(d.ctx, startTimeout)
	h := d.report()
	if orders, err := d.client.Heartbeat(asking, h); err == nil {
		d.applyOrders(h, orders.Directives)
	}
	end()
	d.wg.Add(1)
	go d.loop()
	return d
}

// selfState is which start of its name this server is, how much of it is out, and whether it leaves.
func (d *DrainCoordinator) selfState() (start uint64, out float64, leaves bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	switch phase, ramp := d.fleet.options.Phase(); {
	case phase == Draining || phase == Leaving:
		out, leaves = 1, true
	case d.fleet.exclusion != nil:
		out = 1
	case phase == WarmingUp:
		out = 1 - ramp
	}
	return d.fleet.identity.Generation, out, leaves
}

// report is what is told of this server now.
func (d *DrainCoordinator) report() permitclient.Heartbeat {
	start, out, _ := d.selfState()
	h := permitclient.Heartbeat{Name: d.fleet.options.Name, OutOfService: out, Incarnation: start, Release: d.versions.report(out == 0)}
	below := d.hooks.MemberStates()
	d.mu.Lock()
	defer d.mu.Unlock()
	if arrived, pushed := d.hooks.RequestCounts(); true {
		now := time.Now()
		if s := now.Sub(d.lastCountsAt).Seconds(); !d.lastCountsAt.IsZero() && s > 0 {
			h.DecidedRPS, h.RejectedRPS = float64(arrived-d.lastCounts[0])/s, float64(pushed-d.lastCounts[1])/s
		}
		d.lastCounts, d.lastCountsAt = [2]uint64{arrived, pushed}, now
	}
	for pool, members := range below {
		for addr, m := range members {
			subject := pool + "/" + addr
			if h.MembersOut == nil {
				h.MembersOut, h.MemberDrains = map[string]bool{}, map[string]permit.MemberDrain{}
			}
			h.MembersOut[subject] = m.Unavailable
			if id, is := d.drainedMembers[subject]; is {
				h.MemberDrains[subject] = permit.MemberDrain{PermitID: id, InFlight: m.InFlight, BlockedReason: d.undrainable[subject]}
			}
		}
	}
	for subject, id := range d.drainedMembers { // of a pool or a member that this server does not have
		if _, has := h.MembersOut[subject]; !has {
			if h.MemberDrains == nil {
				h.MemberDrains = map[string]permit.MemberDrain{}
			}
			h.MemberDrains[subject] = permit.MemberDrain{PermitID: id}
		}
	}
	if len(h.MembersOut) > permitclient.MaxMembers || len(h.MemberDrains) > permitclient.MaxMembers {
		h.MembersOut, h.MemberDrains = nil, nil
	}
	return h
}

func (d *DrainCoordinator) loop() {
	defer d.wg.Done()
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	var asked time.Time
	for {
		h := d.report()
		ctx, end := context.WithTimeout(d.ctx, reportTimeout)
		orders, err := d.client.Heartbeat(ctx, h)
		end()
		d.mu.Lock()
		if was := d.state.PermitServersReachable; was != (err == nil) && d.ctx.Err() == nil {
			if err != nil {
				d.log.WithError(err).Warn("drain: no keeper answers; nothing is begun meanwhile")
			} else if d.state.LastOutcome != "" || asked != (time.Time{}) {
				d.log.Info("drain: keepers answer again")
			}
		}
		d.state.PermitServersReachable = err == nil
		back := d.returned
		d.mu.Unlock()
		again := false
		if err == nil {
			again = d.applyOrders(h, orders.Directives)
			again = d.versions.applyOrders(d.ctx, d.client, &orders) || again
			d.changeProgram(h, &orders)
		}
		if err == nil && !back && h.OutOfService == 0 && time.Since(asked) > returnInterval {
			asked = time.Now()
			d.reportReturn(h.Incarnation)
		}
		d.reportUnplannedStop()
		d.mu.Lock()
		owes := d.unreturnedPermit != 0
		d.mu.Unlock()
		if owes && err == nil {
			d.returnPermit(d.ctx)
		}
		if again {
			continue // what was done by the orders is said at once
		}
		select {
		case <-d.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// applyOrders does what the keepers order. It tells whether there is news for them.
func (d *DrainCoordinator) applyOrders(h permitclient.Heartbeat, o permit.Directives) (news bool) {
	d.mu.Lock()
	if d.state.HaltReason != o.HaltReason {
		d.state.HaltReason = o.HaltReason
		d.log.WithField("why", o.HaltReason).Warn("drain: a halt begins, or ends if no reason is told")
	}
	changed := !maps.Equal(d.drainedMembers, o.DrainingMembers)
	begun, asking := d.draining, d.requestPending
	d.mu.Unlock()
	if changed {
		d.applyDrainedMembers(o.DrainingMembers)
		news = true
	}
	if o.RecalledBy != "" && o.PermitID != 0 && begun {
		d.Cancel(d.ctx, o.RecalledBy)
	}
	if o.DrainRequest != nil && !begun && !asking && h.OutOfService == 0 {
		d.startRequest(func() { d.Drain(d.ctx, o.DrainRequest.Actor, o.DrainRequest.Reason) })
	}
	return news
}

// startRequest does one thing at a time that waits for the keepers.
func (d *DrainCoordinator) startRequest(f func()) {
	d.mu.Lock()
	d.requestPending = true
	d.mu.Unlock()
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
		d.mu.Lock()
		d.requestPending = false
		d.mu.Unlock()
	}()
}

// changeProgram drains by permit to another version of the program, which what supervises this server starts in its place: it goes by the
// exit code and by the name in the folder.
func (d *DrainCoordinator) changeProgram(h permitclient.Heartbeat, o *permitclient.Directives) {
	d.mu.Lock()
	busy := d.draining || d.requestPending
	d.mu.Unlock()
	if busy || h.OutOfService > 0 || !d.versions.wantsProgram(o) {
		return
	}
	number, name, index := o.ProgramVersion, o.ProgramName, o.Index
	d.startRequest(func() {
		// Noted only once it may begin: a process that is killed before that is started as what it was.
		d.drainWithExitCode(d.ctx, "release", fmt.Sprintf("version %d of the program: %s", number, name), ExitProgram, func() error {
			return d.versions.recordProgram(number, name, index)
		})
	})
}

// applyDrainedMembers has the members left alone that are drained. Without keepers the last word of them stands: a member that was drained may
// be gone.
func (d *DrainCoordinator) applyDrainedMembers(aside map[string]uint64) {
	pools := map[string][]string{}
	for _, subject := range slices.Sorted(maps.Keys(aside)) {
		if pool, addr, ok := strings.Cut(subject, "/"); ok {
			pools[pool] = append(pools[pool], addr)
		}
	}
	d.fleet.mu.Lock()
	judges := d.fleet.outliers
	d.fleet.mu.Unlock()
	if judges != nil {
		judges.SetDrained(pools)
	}
	cannot := d.hooks.SetDrainedMembers(pools)
	d.mu.Lock()
	d.drainedMembers, d.undrainable = aside, cannot
	d.state.DrainedMembers = slices.Sorted(maps.Keys(aside))
	d.mu.Unlock()
	d.log.WithFields(logrus.Fields{"members": strings.Join(slices.Sorted(maps.Keys(aside)), " "), "cannot": len(cannot)}).Info("drain: members left alone")
}

// reportUnplannedStop tells the keepers of a stop that others asked for. It is only recorded: the stop goes on whatever becomes of it.
func (d *DrainCoordinator) reportUnplannedStop() {
	start, _, leaves := d.selfState()
	d.mu.Lock()
	tell := leaves && !d.draining && !d.stopReported
	d.stopReported = d.stopReported || tell
	d.mu.Unlock()
	if !tell {
		return
	}
	d.log.Warn("drain: this stop is not by permit")
	ctx, end := context.WithTimeout(d.ctx, reportTimeout)
	defer end()
	d.client.Do(ctx, permit.Command{ID: newID("stop"), Kind: permit.ReportStop, Subject: d.fleet.options.Name, Incarnation: start, Actor: d.fleet.options.Name, Reason: "told to stop, without a permit"})
}

// Cancel takes this server's drain back, if it has not closed yet, and returns its permit.
func (d *DrainCoordinator) Cancel(ctx context.Context, who string) error {
	d.mu.Lock()
	begun, id := d.draining, d.state.Permit
	d.mu.Unlock()
	if !begun {
		return errors.New("no drain by permit goes on here")
	}
	if err := d.hooks.CancelDrain(); err != nil {
		return err
	}
	d.mu.Lock()
	d.draining, d.unreturnedPermit, d.cancelledBy = false, id, who
	d.state.LastOutcome = "taken back by " + who
	d.mu.Unlock()
	d.log.WithFields(logrus.Fields{"permit": id, "who": who}).Info("drain: taken back, this server stays")
	return d.returnPermit(ctx)
}

// returnPermit returns the permit of a drain that was taken back. It is tried with each word until the keepers have it: until then
// nothing else begins here.
func (d *DrainCoordinator) returnPermit(ctx context.Context) error {
	start, _, _ := d.selfState()
	d.mu.Lock()
	id, who := d.unreturnedPermit, d.cancelledBy
	d.mu.Unlock()
	asking, end := context.WithTimeout(ctx, permitTimeout)
	defer end()
	d.client.Heartbeat(asking, d.report()) // else it counts as lost, from the return of its permit to its next word
	if _, err := d.client.Do(asking, permit.Command{ID: newID("recall"), Kind: permit.Recall, Subject: d.fleet.options.Name, Actor: who}); err != nil {
		return err
	}
	a, err := d.client.Do(asking, permit.Command{ID: newID("stayed"), Kind: permit.Return, Subject: d.fleet.options.Name, PermitID: id, Incarnation: start, Actor: who, Reason: "taken back"})
	if err == nil && !a.OK {
		err = errors.New(a.Reason)
	}
	if err == nil {
		d.mu.Lock()
		d.unreturnedPermit, d.state.Permit = 0, 0
		d.mu.Unlock()
	}
	return err
}

// Command sends an operator's command to the keepers, and waits for its answer.
func (d *DrainCoordinator) Command(ctx context.Context, c permit.Command) error {
	c.ID = newID("op")
	asking, end := context.WithTimeout(ctx, permitTimeout)
	defer end()
	a, err := d.client.Do(asking, c)
	if err == nil && !a.OK {
		err = fmt.Errorf("%s: %s %v", c.Kind, a.Reason, a.OutOfService)
	}
	return err
}

// DrainMember drains a member of a pool: a permit, and once more whether it is good. Every server is told to leave the member alone
// with its next word; State tells how far that is.
func (d *DrainCoordinator) DrainMember(ctx context.Context, subject, who, why string) error {
	asking, end := context.WithTimeout(ctx, permitTimeout)
	defer end()
	a, err := d.client.Do(asking, permit.Command{ID: newID("ask"), Kind: permit.Acquire, Subject: subject, Actor: who, Reason: why})
	if err != nil {
		return err
	}
	if !a.OK {
		return fmt.Errorf("no permit: %s %v", a.Reason, a.OutOfService)
	}
	b, err := d.client.Do(asking, permit.Command{ID: newID("check"), Kind: permit.Begin, Subject: subject, PermitID: a.PermitID, Actor: who})
	if err == nil && !b.OK {
		err = fmt.Errorf("the permit is not good any more: %s %v", b.Reason, b.OutOfService)
		d.client.Do(asking, permit.Command{ID: newID("unused"), Kind: permit.Return, Subject: subject, PermitID: a.PermitID, Actor: who, Reason: "not begun"})
	}
	return err
}

// PermitState reads what the keepers agree on.
func (d *DrainCoordinator) PermitState(ctx context.Context) (permitclient.Status, error) {
	asking, end := context.WithTimeout(ctx, permitTimeout)
	defer end()
	return d.client.State(asking)
}

// reportReturn returns the permit that a former start held. It is said until the keepers take it: they do not as long as this server
// does not know that it is a later start.
func (d *DrainCoordinator) reportReturn(start uint64) {
	ctx, end := context.WithTimeout(d.ctx, permitTimeout)
	defer end()
	a, err := d.client.Do(ctx, permit.Command{ID: newID("back"), Kind: permit.Return, Subject: d.fleet.options.Name, Incarnation: start, Actor: d.fleet.options.Name, Reason: "back and warm"})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil && a.OK {
		if d.returned = true; a.PermitID != 0 {
			d.log.WithField("permit", a.PermitID).Info("drain: back and warm, the permit is returned")
		}
	}
}

func newID(of string) string {
	var draw [12]byte
	rand.Read(draw[:])
	return fmt.Sprintf("%s-%x", of, draw)
}

// Drain asks for a permit, once more whether it is good, and begins. It returns once the drain has begun, or why it has not.
func (d *DrainCoordinator) Drain(ctx context.Context, who, why string) (err error) {
	return d.drainWithExitCode(ctx, who, why, 0, func() error { return nil })
}

// drainWithExitCode is Drain with the code that the process is to end with, and what is to be done once it may begin; if that fails, it does not.
func (d *DrainCoordinator) drainWithExitCode(ctx context.Context, who, why string, code int, first func() error) (err error) {
	start, _, _ := d.selfState()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if err != nil && d.state.LastOutcome != err.Error() { // who asks again and again is told each time, the log once
			d.state.LastOutcome = err.Error()
			d.log.WithError(err).WithField("who", who).Warn("drain: not begun")
		}
	}()
	d.mu.Lock()
	owes := d.unreturnedPermit
	d.mu.Unlock()
	if owes != 0 {
		return fmt.Errorf("the permit %d of the drain that was taken back is still to be returned", owes)
	}
	asking, end := context.WithTimeout(ctx, permitTimeout)
	defer end()
	c := permit.Command{ID: newID("ask"), Kind: permit.Acquire, Subject: d.fleet.options.Name, Incarnation: start, Actor: who, Reason: why}
	a, err := d.client.Do(asking, c)
	if err != nil {
		return err
	}
	if !a.OK {
		return fmt.Errorf("no permit: %s %v", a.Reason, a.OutOfService)
	}
	d.mu.Lock()
	d.state.Permit = a.PermitID
	d.mu.Unlock()
	checking, end := context.WithTimeout(ctx, permitTimeout)
	defer end()
	var b permit.Result
	for sent := time.Now(); ; sent = time.Now() {
		b, err = d.client.Do(checking, permit.Command{ID: newID("check"), Kind: permit.Begin, Subject: d.fleet.options.Name, PermitID: a.PermitID, Incarnation: start, Actor: who})
		if err != nil || !b.OK || time.Since(sent) < maxCheckAge {
			break // else this process may have been stopped meanwhile, and the permit taken back
		}
		if checking.Err() != nil {
			err = checking.Err()
			break
		}
	}
	if err == nil && b.OK {
		err = first()
	}
	if err == nil && b.OK {
		d.log.WithFields(logrus.Fields{"permit": a.PermitID, "who": who, "why": why}).Info("drain: begins by permit")
		d.mu.Lock()
		d.draining = true
		d.mu.Unlock()
		d.hooks.StartDrain(code)
		return nil
	}
	if err == nil {
		err = fmt.Errorf("the permit is not good any more: %s %v", b.Reason, b.OutOfService)
	}
	if b.OK { // begun as the keepers have it, and yet not here: it is called back, or they would not take it as unused
		calling, end := context.WithTimeout(d.ctx, permitTimeout)
		defer end()
		d.client.Do(calling, permit.Command{ID: newID("recall"), Kind: permit.Recall, Subject: d.fleet.options.Name, Actor: who})
	}
	giving, end := context.WithTimeout(d.ctx, permitTimeout) // unused, if it can be said; else an operator frees it
	defer end()
	d.client.Do(giving, permit.Command{ID: newID("unused"), Kind: permit.Return, Subject: d.fleet.options.Name, PermitID: a.PermitID, Incarnation: start, Actor: who, Reason: "not begun"})
	d.mu.Lock()
	d.state.Permit = 0
	d.mu.Unlock()
	return err
}

// isDraining tells whether this server leaves by a permit.
func (d *DrainCoordinator) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *DrainCoordinator) status() *DrainStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state
	s.Version = d.versions.status()
	return &s
}

// Close ends it; a permit that is held stays held.
func (d *DrainCoordinator) Close() {
	d.cancel()
	d.wg.Wait()
	d.client.Close()
}
