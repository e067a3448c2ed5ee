package main

import (
	"fmt"
	"time"
)

// oldRelease: a version is released to a server. Later an operator replaces a member in the server's own file, by a SIGHUP, and this
// new record is in force. Then the server is killed and started again. The member must get nothing.
func oldRelease(s *stage) error {
	group, removedGroup := &appGroup{work: 150 * time.Millisecond}, &appGroup{work: 150 * time.Millisecond}
	m1, err := s.startApp(group, "m1")
	if err != nil {
		return err
	}
	m2, err := s.startApp(group, "m2")
	if err != nil {
		return err
	}
	m3, err := s.startApp(removedGroup, "m3")
	if err != nil {
		return err
	}
	m4, err := s.startApp(group, "m4")
	if err != nil {
		return err
	}
	keeper, err := s.startKeeper(roster([]string{"n0"}, m1, m2, m3, m4))
	if err != nil {
		return err
	}
	n0, err := s.newServer("n0")
	if err != nil {
		return err
	}
	n0.folder = s.path("folder")
	fleet := n0.fleetPart(fmt.Sprintf("%q", n0.gossip), fmt.Sprintf("%q", keeper))
	all := poolPart(keyedMethod, "pages", m1, m2, m3)
	if err := n0.compile("version: \"1\"\n" + fleet + all); err != nil {
		return err
	}
	if err := n0.start(); err != nil {
		return err
	}
	l := n0.startLoad(keyedMethod, 40)
	time.Sleep(3 * time.Second)
	if err := s.release(keeper, n0, "version: \"pages 2\"\n"+all); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if err := n0.compile("version: \"3\"\n" + fleet + poolPart(keyedMethod, "pages", m1, m2, m4)); err != nil {
		return err
	}
	if err := n0.reload(); err != nil {
		return err
	}
	time.Sleep(deadline + time.Second) // all calls from before have ended
	before := removedGroup.count()
	time.Sleep(5 * time.Second)
	if n := removedGroup.count() - before; n > 0 {
		return fmt.Errorf("the new record was not in force before the disruption: m3 has run %d", n)
	}
	s.note("the new record is in force; m3 has run %d, nothing in the last 5 s", before)
	if s.trouble {
		n0.process.kill()
		if err := n0.start(); err != nil {
			return err
		}
	}
	time.Sleep(15 * time.Second)
	l.stop()
	runs := removedGroup.count() - before
	_, _ = s.command("valvefleet", "status", n0.socket) // for the record only
	s.note("%d RPCs sent, %d ok; runs at m3 since the new record: %d", l.sent.Load(), l.ok.Load(), runs)
	switch {
	case l.ok.Load() == 0:
		return fmt.Errorf("nothing was served")
	case runs > 0:
		return errBroken
	}
	return nil
}

// release has a version released to a server and waits until it is in force there.
func (s *stage) release(keeper string, v *server, cue string) error {
	if err := s.write("version.cue", "package sorrelvalve\n"+cue); err != nil {
		return err
	}
	record := s.path("version.record")
	if _, err := s.command("valvectl", "compile", s.path("version.cue"), "--settings", s.path(v.name+".json"), "-o", record); err != nil {
		return err
	}
	if _, err := s.command("valvefleet", "release", "plan", "--keepers", keeper, "--why", "pages", "--bake", "1s", "--least", "20", record); err != nil {
		return err
	}
	if _, err := s.command("valvefleet", "release", "start", "--keepers", keeper, "--why", "as planned"); err != nil {
		return err
	}
	return s.waitLogged(v.process, "release.version_applied", 1)
}
