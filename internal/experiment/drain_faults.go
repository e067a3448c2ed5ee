package experiment

import (
	"context"
	"errors"
	"math/rand"
	"slices"
	"sync"
	"syscall"
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

const (
	killEvery        = 4 * time.Second
	haltEvery        = 3 * time.Second
	memberDrainEvery = time.Second
	faultEvery       = 1500 * time.Millisecond
	faultLength      = 1500 * time.Millisecond
	superviseEvery   = 50 * time.Millisecond
	convergenceLimit = 10 * time.Second // after which a halt or a drained member is no longer waited for
)

// serverEvent is a kill or a start of a server.
type serverEvent struct {
	server string
	at     time.Time
}

// killLog is the kills of the drained fleet's servers.
type killLog struct {
	mu  sync.Mutex
	all []serverEvent
}

func (l *killLog) add(server string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, serverEvent{server, at})
}

func (l *killLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.all)
}

// haltLog is the halts that were ordered.
type haltLog struct {
	periods    []period  // from the halt's answer to its end
	knownAfter []float64 // s until all reachable servers knew of a halt
}

// memberDrainLog is the drains of members of the pool that were measured.
type memberDrainLog struct {
	drained    float64
	callsAfter float64 // RPCs to a member once all servers had confirmed that they no longer use it
	maxSeconds float64 // until they had
}

// startFaults starts all that goes on beside the drains.
func (x *drainExperiment) startFaults() error {
	ctx, cancel := context.WithCancel(x.ctx)
	var running sync.WaitGroup
	for _, name := range x.drained.Names {
		running.Go(func() { x.superviseDrained(ctx, name) })
	}
	for _, name := range x.undrained.Names {
		running.Go(func() { x.superviseUndrained(ctx, name) })
	}
	for _, activity := range []func(context.Context){x.killServers, x.haltDrains, x.drainMembers, x.disturb} {
		running.Go(func() { activity(ctx) })
	}
	x.stopFaults = func() {
		cancel()
		running.Wait()
	}
	x.cleanup.add(x.stopFaults)
	return nil
}

// superviseDrained starts a server again that has ended.
func (x *drainExperiment) superviseDrained(ctx context.Context, name string) {
	processes := x.drained.Processes
	for ctx.Err() == nil {
		if !processes.Running(name) && !processes.Alive(name) {
			_ = processes.Start(name) // tried again after the next look
		}
		time.Sleep(superviseEvery)
	}
}

// superviseUndrained starts a server again that was killed.
func (x *drainExperiment) superviseUndrained(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if !x.undrained.Processes.Alive(name) {
			_ = x.undrained.Processes.Start(name) // tried again after the next look
		}
		time.Sleep(superviseEvery)
	}
}

// killServers kills a random server now and then, the same one in both fleets.
func (x *drainExperiment) killServers(ctx context.Context) {
	random := rand.New(rand.NewSource(x.options.Seed))
	for ctx.Err() == nil {
		pause(ctx, killEvery)
		if ctx.Err() != nil {
			return
		}
		server := random.Intn(drainServers)
		for _, f := range x.fleets() {
			name := f.Names[server]
			if !f.Processes.Alive(name) {
				continue
			}
			f.caller.noteKill(server)
			at := time.Now()
			_ = f.Processes.Kill(name) // fails only for one that has ended by itself meanwhile
			if f == x.drained {
				x.kills.add(name, at)
			}
		}
	}
}

// haltDrains orders halts by way of any server, and measures how soon all reachable servers know of them.
func (x *drainExperiment) haltDrains(ctx context.Context) {
	f := x.drained
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, haltEvery)
		if ctx.Err() != nil {
			return
		}
		name := f.Names[(5*i+1)%drainServers]
		if !f.Processes.Running(name) {
			continue
		}
		if fleet.RequestDrain(ctx, f.Socket(name), fleet.DrainCommand{Operation: fleet.OperationHalt, Operator: "lab", Reason: "look"}) != nil {
			continue // its permit servers or itself were lost meanwhile: asked again in a while
		}
		began := time.Now()
		for slices.ContainsFunc(f.Names, x.missesHalt) && time.Since(began) < convergenceLimit && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		x.halts.knownAfter = append(x.halts.knownAfter, time.Since(began).Seconds())
		time.Sleep(time.Second)
		resumed := time.Now()
		for ctx.Err() == nil && fleet.RequestDrain(ctx, f.Socket(f.Names[i%drainServers]), fleet.DrainCommand{Operation: fleet.OperationResume, Operator: "lab", Reason: "seen"}) != nil {
			time.Sleep(100 * time.Millisecond)
		}
		x.halts.periods = append(x.halts.periods, period{began, resumed})
	}
}

// missesHalt reports whether a server that reaches the permit servers does not know of the halt. One that does not reach
// them learns of it before its next drain.
func (x *drainExperiment) missesHalt(name string) bool {
	status, err := x.drained.Status(name)
	return err == nil && status.Drain != nil && status.Drain.PermitServersReachable && status.Drain.HaltReason != "look"
}

// drainMembers drains a member of the pool now and then, and takes it back.
func (x *drainExperiment) drainMembers(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		member := i % len(x.drained.apps)
		subject := "apps/" + x.drained.members[member]
		if x.orderForMember(ctx, fleet.OperationDrain, subject) == nil {
			x.measureMemberDrain(ctx, x.drained.apps[member], subject)
			for ctx.Err() == nil && x.orderForMember(ctx, fleet.OperationCancel, subject) != nil {
				time.Sleep(200 * time.Millisecond)
			}
		}
		pause(ctx, memberDrainEvery)
	}
}

// orderForMember gives an order about a member by way of the first server that runs.
func (x *drainExperiment) orderForMember(ctx context.Context, order fleet.DrainOperation, subject string) error {
	for _, name := range x.drained.Names {
		if x.drained.Processes.Running(name) {
			return fleet.RequestDrain(ctx, x.drained.Socket(name), fleet.DrainCommand{Operation: order, Subject: subject, Operator: "lab", Reason: "disk"})
		}
	}
	return errors.New("no server runs")
}

// measureMemberDrain waits until no server uses a member any more, and counts the RPCs that reach it afterwards.
func (x *drainExperiment) measureMemberDrain(ctx context.Context, app *standin.App, subject string) {
	began := time.Now()
	for !x.memberDrained(ctx, subject) && ctx.Err() == nil && time.Since(began) < convergenceLimit {
		time.Sleep(50 * time.Millisecond)
	}
	took := time.Since(began)
	if took >= convergenceLimit || ctx.Err() != nil {
		return
	}
	killsBefore := x.kills.count()
	callsBefore := app.Received()
	time.Sleep(700 * time.Millisecond)
	calls := app.Received() - callsBefore
	// A server that has just started learns who is drained with its first report, so that a kill spoils the count.
	if x.kills.count() != killsBefore || !allRunning(x.drained.Bed) {
		return
	}
	x.memberDrains.drained++
	x.memberDrains.callsAfter += float64(calls)
	x.memberDrains.maxSeconds = max(x.memberDrains.maxSeconds, took.Seconds())
}

// memberDrained reports whether all servers have confirmed that they no longer use a member.
func (x *drainExperiment) memberDrained(ctx context.Context, subject string) bool {
	status, err := x.client.State(ctx)
	return err == nil && slices.ContainsFunc(status.Drains, func(d permit.DrainStatus) bool {
		return d.Subject == subject && d.Done && len(d.Unreachable) == 0
	})
}

// disturb kills a permit server and starts it again, stops one for a while, and cuts the membership in halves, in turn;
// the latter in both fleets alike.
func (x *drainExperiment) disturb(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		name := x.permits.names[i%permitServerCount]
		switch i % 3 {
		case 0:
			x.permits.kill(name)
			time.Sleep(time.Second)
			_ = x.permits.start(name, false) // without it the roll makes no progress, which fails the experiment
		case 1:
			_ = x.permits.signal(name, syscall.SIGSTOP) // it is not killed meanwhile: this goroutine alone does that
			time.Sleep(faultLength)
			_ = x.permits.signal(name, syscall.SIGCONT) // as above
		case 2:
			x.partitionFleets(ctx)
		}
		pause(ctx, faultEvery)
	}
}

// partitionFleets cuts both fleets in halves for a while, with loss.
func (x *drainExperiment) partitionFleets(ctx context.Context) {
	for _, f := range x.fleets() {
		schedule, err := script.Parse("0s split n0,n1,n2|n3,n4,n5\n0s loss *>* 0.1", f.Names)
		if err == nil {
			_ = f.Play(ctx, schedule) // fails only at the end of ctx
		}
	}
	time.Sleep(faultLength)
	for _, f := range x.fleets() {
		f.Network.Heal()
	}
}

func allRunning(b *testbed.Bed) bool {
	return !slices.ContainsFunc(b.Names, func(name string) bool { return !b.Processes.Running(name) })
}
