package main

import (
	"fmt"
	"time"
)

// earlyDone: a member of a pool is to be scrapped. An operator takes it out of the server's file, by a SIGHUP, and drains it by permit;
// once permits says that the drain is done, the member is stopped. No call may then be in hand there.
func earlyDone(s *stage) error {
	s.useSlowSettings()
	group := &appGroup{work: slowCall}
	m1Group := &appGroup{work: slowCall}
	m1, err := s.startApp(m1Group, "m1")
	if err != nil {
		return err
	}
	m2, err := s.startApp(group, "m2")
	if err != nil {
		return err
	}
	m3, err := s.startApp(group, "m3")
	if err != nil {
		return err
	}
	subject := "pages/" + m1.addr
	keeper, err := s.startKeeper(roster([]string{"n0"}, m1, m2, m3))
	if err != nil {
		return err
	}
	n0, err := s.newServer("n0")
	if err != nil {
		return err
	}
	fleet := n0.fleetPart(fmt.Sprintf("%q", n0.gossip), fmt.Sprintf("%q", keeper))
	if err := n0.compile("version: \"1\"\n" + fleet + poolPart(keyedMethod, "pages", m1, m2, m3)); err != nil {
		return err
	}
	if err := n0.start(); err != nil {
		return err
	}
	l := n0.startLoad(keyedMethod, 12)
	time.Sleep(8 * time.Second)
	if s.trouble {
		if err := n0.compile("version: \"2\"\n" + fleet + poolPart(keyedMethod, "pages", m2, m3)); err != nil {
			return err
		}
		if err := n0.reload(); err != nil {
			return err
		}
	}
	if err := s.wait("permit", func() bool {
		_, err := s.command("valvefleet", "drain", n0.socket, subject, "--why", "scrapped")
		return err == nil
	}); err != nil {
		return err
	}
	inHand := 0
	if err := s.wait("end of the drain", func() bool {
		done := s.drainDone(keeper, subject)
		inHand = m1Group.now()
		return done
	}); err != nil {
		return err
	}
	s.note("the drain of m1 is done, with %d calls in hand there", inHand)
	failed := l.failed.Load()
	m1.stop()
	time.Sleep(3 * time.Second)
	s.note("RPCs that were not ok within 3 s of the stop of m1: %d", l.failed.Load()-failed)
	l.stop()
	s.note("%d RPCs sent, %d ok", l.sent.Load(), l.ok.Load())
	switch {
	case l.ok.Load() == 0:
		return fmt.Errorf("nothing was served")
	case inHand > 0:
		return errBroken
	}
	return nil
}
