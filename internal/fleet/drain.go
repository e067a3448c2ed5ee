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
	hereEvery = time.Second
	hereWait  = 2 * time.Second
	// permitWait bounds each question to the keepers: two elections and the answer. A server that has no answer by then does
	// not begin.
	permitWait = 8 * time.Second
	backEvery  = 2 * time.Second
	// startWait bounds what a start waits for the keepers: an answer takes milliseconds, and without one the server begins.
	startWait = 500 * time.Millisecond
	// checkFresh is how old the last word before a beginning may be, by this server's own clock from when it asked.
	checkFresh = time.Second
)

// Life is what a server's part in drains does to it, and reads of it.
type Life struct {
	Leave  func(code int)                                       // drain and end, as by a signal to stop
	Stay   func() error                                         // take that back
	Flow   func() (arrived, pushed uint64)                      // since the start
	Aside  func(map[string][]string) (cannot map[string]string) // leave members alone, by pool, and no others
	Below  func() map[string]map[string]Below                   // members by pool and address
	Settle Settle
}

// Below is how a member of a pool stands at this server.
type Below struct {
	Out    bool
	InHand int
}

// Drains are one server's.
type Drains struct {
	f    *Fleet
	keep *permitclient.Client
	log  *logrus.Entry
	life Life

	ctx context.Context
	end context.CancelFunc
	wg  sync.WaitGroup

	mu      sync.Mutex
	state   DrainStatus
	back    bool   // this start has said that it is back
	begun   bool   // it leaves by a permit
	told    bool   // that it was stopped by others
	asking  bool   // by an operator's word at another server
	owes    uint64 // a permit to be returned, 0 for none
	owesTo  string
	aside   map[string]uint64 // members left alone, by their permits
	cannot  map[string]string
	settled *versions
	was     [2]uint64 // of the flow, at the last word
	wasAt   time.Time
}

// DrainStatus is how a server stands with the permit servers.
type DrainStatus struct {
	Keepers bool     `json:"Keepers"`          // the last report was answered
	Permit  uint64   `json:",omitempty"`       // held; 0 for none
	Halted  string   `json:"Halted,omitempty"` // why nothing new may begin; "" for no halt
	Aside   []string `json:"Aside,omitempty"`  // members of pools that are drained, as pool/address
	Version *VersionStatus
	Last    string `json:"Last,omitempty"` // outcome of the last drain
}

// Drains has a server tell the keepers at some addresses how it is, drain by their permits, and leave drained members alone.
func (f *Fleet) Drains(at []string, life Life) *Drains {
	d := &Drains{f: f, keep: permitclient.New(at), log: f.o.Log, life: life, settled: newVersions(life.Settle, f.o.Log)}
	d.ctx, d.end = context.WithCancel(context.Background())
	f.mu.Lock()
	f.drains = d
	f.mu.Unlock()
	// Who is drained is asked before the first RPC, for as long as a start may wait: else it would use them until its first word.
	asking, end := context.WithTimeout(d.ctx, startWait)
	h := d.word()
	if orders, err := d.keep.Heartbeat(asking, h); err == nil {
		d.follow(h, orders.Directives)
	}
	end()
	d.wg.Add(1)
	go d.loop()
	return d
}

// self is which start of its name this server is, how much of it is out, and whether it leaves.
func (d *Drains) self() (start uint64, out float64, leaves bool) {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	switch phase, ramp := d.f.o.Phase(); {
	case phase == Draining || phase == Leaving:
		out, leaves = 1, true
	case d.f.refused != nil:
		out = 1
	case phase == Cold:
		out = 1 - ramp
	}
	return d.f.self.Start, out, leaves
}

// word is what is told of this server now.
func (d *Drains) word() permitclient.Heartbeat {
	start, out, _ := d.self()
	h := permitclient.Heartbeat{Name: d.f.o.Name, OutOfService: out, Incarnation: start, Release: d.settled.seen(out == 0)}
	below := d.life.Below()
	d.mu.Lock()
	defer d.mu.Unlock()
	if arrived, pushed := d.life.Flow(); true {
		now := time.Now()
		if s := now.Sub(d.wasAt).Seconds(); !d.wasAt.IsZero() && s > 0 {
			h.DecidedRPS, h.RejectedRPS = float64(arrived-d.was[0])/s, float64(pushed-d.was[1])/s
		}
		d.was, d.wasAt = [2]uint64{arrived, pushed}, now
	}
	for pool, members := range below {
		for addr, m := range members {
			subject := pool + "/" + addr
			if h.MembersOut == nil {
				h.MembersOut, h.MemberDrains = map[string]bool{}, map[string]permit.MemberDrain{}
			}
			h.MembersOut[subject] = m.Out
			if id, is := d.aside[subject]; is {
				h.MemberDrains[subject] = permit.MemberDrain{PermitID: id, InFlight: m.InHand, BlockedReason: d.cannot[subject]}
			}
		}
	}
	for subject, id := range d.aside { // of a pool or a member that this server does not have
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

func (d *Drains) loop() {
	defer d.wg.Done()
	tick := time.NewTicker(hereEvery)
	defer tick.Stop()
	var asked time.Time
	for {
		h := d.word()
		ctx, end := context.WithTimeout(d.ctx, hereWait)
		orders, err := d.keep.Heartbeat(ctx, h)
		end()
		d.mu.Lock()
		if was := d.state.Keepers; was != (err == nil) && d.ctx.Err() == nil {
			if err != nil {
				d.log.WithError(err).Warn("drain: no keeper answers; nothing is begun meanwhile")
			} else if d.state.Last != "" || asked != (time.Time{}) {
				d.log.Info("drain: keepers answer again")
			}
		}
		d.state.Keepers = err == nil
		back := d.back
		d.mu.Unlock()
		again := false
		if err == nil {
			again = d.follow(h, orders.Directives)
			again = d.settled.follow(d.ctx, d.keep, &orders) || again
			d.changeProgram(h, &orders)
		}
		if err == nil && !back && h.OutOfService == 0 && time.Since(asked) > backEvery {
			asked = time.Now()
			d.isBack(h.Incarnation)
		}
		d.unplanned()
		d.mu.Lock()
		owes := d.owes != 0
		d.mu.Unlock()
		if owes && err == nil {
			d.giveBack(d.ctx)
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

// follow does what the keepers order. It tells whether there is news for them.
func (d *Drains) follow(h permitclient.Heartbeat, o permit.Directives) (news bool) {
	d.mu.Lock()
	if d.state.Halted != o.HaltReason {
		d.state.Halted = o.HaltReason
		d.log.WithField("why", o.HaltReason).Warn("drain: a halt begins, or ends if no reason is told")
	}
	changed := !maps.Equal(d.aside, o.DrainingMembers)
	begun, asking := d.begun, d.asking
	d.mu.Unlock()
	if changed {
		d.leaveAlone(o.DrainingMembers)
		news = true
	}
	if o.RecalledBy != "" && o.PermitID != 0 && begun {
		d.Back(d.ctx, o.RecalledBy)
	}
	if o.DrainRequest != nil && !begun && !asking && h.OutOfService == 0 {
		d.ask(func() { d.Drain(d.ctx, o.DrainRequest.Actor, o.DrainRequest.Reason) })
	}
	return news
}

// ask does one thing at a time that waits for the keepers.
func (d *Drains) ask(f func()) {
	d.mu.Lock()
	d.asking = true
	d.mu.Unlock()
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
		d.mu.Lock()
		d.asking = false
		d.mu.Unlock()
	}()
}

// changeProgram drains by permit to another version of the program, which what supervises this server starts in its place: it goes by the
// exit code and by the name in the folder.
func (d *Drains) changeProgram(h permitclient.Heartbeat, o *permitclient.Directives) {
	d.mu.Lock()
	busy := d.begun || d.asking
	d.mu.Unlock()
	if busy || h.OutOfService > 0 || !d.settled.wants(o) {
		return
	}
	number, name, index := o.ProgramVersion, o.ProgramName, o.Index
	d.ask(func() {
		// Noted only once it may begin: a process that is killed before that is started as what it was.
		d.drainTo(d.ctx, "release", fmt.Sprintf("version %d of the program: %s", number, name), ExitProgram, func() error {
			return d.settled.wanted(number, name, index)
		})
	})
}

// leaveAlone has the members left alone that are drained. Without keepers the last word of them stands: a member that was drained may
// be gone.
func (d *Drains) leaveAlone(aside map[string]uint64) {
	pools := map[string][]string{}
	for _, subject := range slices.Sorted(maps.Keys(aside)) {
		if pool, addr, ok := strings.Cut(subject, "/"); ok {
			pools[pool] = append(pools[pool], addr)
		}
	}
	d.f.mu.Lock()
	judges := d.f.judges
	d.f.mu.Unlock()
	if judges != nil {
		judges.Aside(pools)
	}
	cannot := d.life.Aside(pools)
	d.mu.Lock()
	d.aside, d.cannot = aside, cannot
	d.state.Aside = slices.Sorted(maps.Keys(aside))
	d.mu.Unlock()
	d.log.WithFields(logrus.Fields{"members": strings.Join(slices.Sorted(maps.Keys(aside)), " "), "cannot": len(cannot)}).Info("drain: members left alone")
}

// unplanned tells the keepers of a stop that others asked for. It is only recorded: the stop goes on whatever becomes of it.
func (d *Drains) unplanned() {
	start, _, leaves := d.self()
	d.mu.Lock()
	tell := leaves && !d.begun && !d.told
	d.told = d.told || tell
	d.mu.Unlock()
	if !tell {
		return
	}
	d.log.Warn("drain: this stop is not by permit")
	ctx, end := context.WithTimeout(d.ctx, hereWait)
	defer end()
	d.keep.Do(ctx, permit.Command{ID: newID("stop"), Kind: permit.ReportStop, Subject: d.f.o.Name, Incarnation: start, Actor: d.f.o.Name, Reason: "told to stop, without a permit"})
}

// Back takes this server's drain back, if it has not closed yet, and returns its permit.
func (d *Drains) Back(ctx context.Context, who string) error {
	d.mu.Lock()
	begun, id := d.begun, d.state.Permit
	d.mu.Unlock()
	if !begun {
		return errors.New("no drain by permit goes on here")
	}
	if err := d.life.Stay(); err != nil {
		return err
	}
	d.mu.Lock()
	d.begun, d.owes, d.owesTo = false, id, who
	d.state.Last = "taken back by " + who
	d.mu.Unlock()
	d.log.WithFields(logrus.Fields{"permit": id, "who": who}).Info("drain: taken back, this server stays")
	return d.giveBack(ctx)
}

// giveBack returns the permit of a drain that was taken back. It is tried with each word until the keepers have it: until then
// nothing else begins here.
func (d *Drains) giveBack(ctx context.Context) error {
	start, _, _ := d.self()
	d.mu.Lock()
	id, who := d.owes, d.owesTo
	d.mu.Unlock()
	asking, end := context.WithTimeout(ctx, permitWait)
	defer end()
	d.keep.Heartbeat(asking, d.word()) // else it counts as lost, from the return of its permit to its next word
	if _, err := d.keep.Do(asking, permit.Command{ID: newID("recall"), Kind: permit.Recall, Subject: d.f.o.Name, Actor: who}); err != nil {
		return err
	}
	a, err := d.keep.Do(asking, permit.Command{ID: newID("stayed"), Kind: permit.Return, Subject: d.f.o.Name, PermitID: id, Incarnation: start, Actor: who, Reason: "taken back"})
	if err == nil && !a.OK {
		err = errors.New(a.Reason)
	}
	if err == nil {
		d.mu.Lock()
		d.owes, d.state.Permit = 0, 0
		d.mu.Unlock()
	}
	return err
}

// Command sends an operator's command to the keepers, and waits for its answer.
func (d *Drains) Command(ctx context.Context, c permit.Command) error {
	c.ID = newID("op")
	asking, end := context.WithTimeout(ctx, permitWait)
	defer end()
	a, err := d.keep.Do(asking, c)
	if err == nil && !a.OK {
		err = fmt.Errorf("%s: %s %v", c.Kind, a.Reason, a.OutOfService)
	}
	return err
}

// Member drains a member of a pool: a permit, and once more whether it is good. Every server is told to leave the member alone
// with its next word; State tells how far that is.
func (d *Drains) Member(ctx context.Context, subject, who, why string) error {
	asking, end := context.WithTimeout(ctx, permitWait)
	defer end()
	a, err := d.keep.Do(asking, permit.Command{ID: newID("ask"), Kind: permit.Acquire, Subject: subject, Actor: who, Reason: why})
	if err != nil {
		return err
	}
	if !a.OK {
		return fmt.Errorf("no permit: %s %v", a.Reason, a.OutOfService)
	}
	b, err := d.keep.Do(asking, permit.Command{ID: newID("check"), Kind: permit.Begin, Subject: subject, PermitID: a.PermitID, Actor: who})
	if err == nil && !b.OK {
		err = fmt.Errorf("the permit is not good any more: %s %v", b.Reason, b.OutOfService)
		d.keep.Do(asking, permit.Command{ID: newID("unused"), Kind: permit.Return, Subject: subject, PermitID: a.PermitID, Actor: who, Reason: "not begun"})
	}
	return err
}

// State reads what the keepers agree on.
func (d *Drains) State(ctx context.Context) (permitclient.Status, error) {
	asking, end := context.WithTimeout(ctx, permitWait)
	defer end()
	return d.keep.State(asking)
}

// isBack returns the permit that a former start held. It is said until the keepers take it: they do not as long as this server
// does not know that it is a later start.
func (d *Drains) isBack(start uint64) {
	ctx, end := context.WithTimeout(d.ctx, permitWait)
	defer end()
	a, err := d.keep.Do(ctx, permit.Command{ID: newID("back"), Kind: permit.Return, Subject: d.f.o.Name, Incarnation: start, Actor: d.f.o.Name, Reason: "back and warm"})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil && a.OK {
		if d.back = true; a.PermitID != 0 {
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
func (d *Drains) Drain(ctx context.Context, who, why string) (err error) {
	return d.drainTo(ctx, who, why, 0, func() error { return nil })
}

// drainTo is Drain with the code that the process is to end with, and what is to be done once it may begin; if that fails, it does not.
func (d *Drains) drainTo(ctx context.Context, who, why string, code int, first func() error) (err error) {
	start, _, _ := d.self()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if err != nil && d.state.Last != err.Error() { // who asks again and again is told each time, the log once
			d.state.Last = err.Error()
			d.log.WithError(err).WithField("who", who).Warn("drain: not begun")
		}
	}()
	d.mu.Lock()
	owes := d.owes
	d.mu.Unlock()
	if owes != 0 {
		return fmt.Errorf("the permit %d of the drain that was taken back is still to be returned", owes)
	}
	asking, end := context.WithTimeout(ctx, permitWait)
	defer end()
	c := permit.Command{ID: newID("ask"), Kind: permit.Acquire, Subject: d.f.o.Name, Incarnation: start, Actor: who, Reason: why}
	a, err := d.keep.Do(asking, c)
	if err != nil {
		return err
	}
	if !a.OK {
		return fmt.Errorf("no permit: %s %v", a.Reason, a.OutOfService)
	}
	d.mu.Lock()
	d.state.Permit = a.PermitID
	d.mu.Unlock()
	checking, end := context.WithTimeout(ctx, permitWait)
	defer end()
	var b permit.Result
	for sent := time.Now(); ; sent = time.Now() {
		b, err = d.keep.Do(checking, permit.Command{ID: newID("check"), Kind: permit.Begin, Subject: d.f.o.Name, PermitID: a.PermitID, Incarnation: start, Actor: who})
		if err != nil || !b.OK || time.Since(sent) < checkFresh {
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
		d.begun = true
		d.mu.Unlock()
		d.life.Leave(code)
		return nil
	}
	if err == nil {
		err = fmt.Errorf("the permit is not good any more: %s %v", b.Reason, b.OutOfService)
	}
	if b.OK { // begun as the keepers have it, and yet not here: it is called back, or they would not take it as unused
		calling, end := context.WithTimeout(d.ctx, permitWait)
		defer end()
		d.keep.Do(calling, permit.Command{ID: newID("recall"), Kind: permit.Recall, Subject: d.f.o.Name, Actor: who})
	}
	giving, end := context.WithTimeout(d.ctx, permitWait) // unused, if it can be said; else an operator frees it
	defer end()
	d.keep.Do(giving, permit.Command{ID: newID("unused"), Kind: permit.Return, Subject: d.f.o.Name, PermitID: a.PermitID, Incarnation: start, Actor: who, Reason: "not begun"})
	d.mu.Lock()
	d.state.Permit = 0
	d.mu.Unlock()
	return err
}

// leaving tells whether this server leaves by a permit.
func (d *Drains) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.begun
}

func (d *Drains) status() *DrainStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state
	s.Version = d.settled.status()
	return &s
}

// Close ends it; a permit that is held stays held.
func (d *Drains) Close() {
	d.end()
	d.wg.Wait()
	d.keep.Close()
}
