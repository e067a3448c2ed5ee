package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sorrelvalve/internal/permitclient"
)

// drainDone reports whether permits says that the drain of a member is done, with all servers heard and none that goes on using it.
func (s *stage) drainDone(keeper, subject string) bool {
	out, err := s.quietly("valvepermitd", "status", "--keepers", keeper, "--json")
	var status permitclient.Status
	if err != nil || json.Unmarshal([]byte(out), &status) != nil {
		return false
	}
	for _, d := range status.Drains {
		if d.Subject == subject {
			s.note("permits: drain of %s: done %v, in hand %d, waits %v, cannot %v, unheard %v", subject, d.Done, d.InFlight, d.Pending, d.Blocked, d.Unreachable)
			return d.Done && len(d.Unreachable)+len(d.Pending)+len(d.Blocked) == 0
		}
	}
	return false
}

const (
	shortWork    = 60 * time.Millisecond
	callInterval = 230 * time.Millisecond // not in step with the servers' reports, one a second
)

// lastMember: an operator drains a member of a pool, and permits says that it is done. Then the other member is taken out of the server's
// file, by a SIGHUP. The drained member must get nothing, or permits must say that the server goes on using it.
func lastMember(s *stage) error {
	group, drainedGroup := &appGroup{work: shortWork}, &appGroup{work: shortWork}
	m1, err := s.startApp(drainedGroup, "m1")
	if err != nil {
		return err
	}
	m2, err := s.startApp(group, "m2")
	if err != nil {
		return err
	}
	subject := "pages/" + m1.addr
	keeper, err := s.startKeeper(roster([]string{"n0"}, m1, m2))
	if err != nil {
		return err
	}
	n0, err := s.newServer("n0")
	if err != nil {
		return err
	}
	fleet := n0.fleetPart(fmt.Sprintf("%q", n0.gossip), fmt.Sprintf("%q", keeper))
	if err := n0.compile("version: \"1\"\n" + fleet + poolPart(keyedMethod, "pages", m1, m2)); err != nil {
		return err
	}
	if err := n0.start(); err != nil {
		return err
	}
	l := n0.startLoad(keyedMethod, 0)
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
				go n0.call(l, keyedMethod)
			}
		}
	}()
	if err := s.wait("run at m1", func() bool { return drainedGroup.count() > 5 }); err != nil {
		return err
	}
	if err := s.wait("permit", func() bool {
		_, err := s.command("valvefleet", "drain", n0.socket, subject, "--why", "disk")
		return err == nil
	}); err != nil {
		return err
	}
	if err := s.wait("end of the drain", func() bool { return s.drainDone(keeper, subject) }); err != nil {
		return err
	}
	before := drainedGroup.count()
	time.Sleep(3 * time.Second)
	if n := drainedGroup.count() - before; n > 0 {
		return fmt.Errorf("m1 has run %d after its drain, before the disruption", n)
	}
	s.note("the drain of m1 is done; nothing for 3 s")
	if s.trouble {
		if err := n0.compile("version: \"2\"\n" + fleet + poolPart(keyedMethod, "pages", m1)); err != nil {
			return err
		}
		if err := n0.reload(); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // several reports of the server
	ran := drainedGroup.count()
	stale := 0 // runs at m1 of which permits did not say that n0 goes on using it
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(pollInterval) {
		done := s.drainDone(keeper, subject)
		n := drainedGroup.count()
		if done && n > ran {
			stale += n - ran
			s.note("m1 has run %d more, and permits says done", n-ran)
		}
		ran = n
	}
	failed := l.failed.Load()
	m1.stop()
	time.Sleep(3 * time.Second)
	ticker.Stop()
	s.note("RPCs that were not ok within 3 s of the stop of m1: %d", l.failed.Load()-failed)
	l.stop()
	s.note("%d RPCs sent, %d ok; runs at m1 since its drain was done: %d, of which %d while permits said so",
		l.sent.Load(), l.ok.Load(), drainedGroup.count()-before, stale)
	switch {
	case l.ok.Load() == 0:
		return errors.New("nothing was served")
	case stale > 0:
		return errBroken
	}
	return nil
}
