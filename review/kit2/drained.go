package main

import (
	"encoding/json"
	"fmt"
	"time"

	"sorrelvalve/internal/permitclient"
)

// startKeeper starts a permit service of one replica and gives it a roster. It returns its address for clients.
func (s *stage) startKeeper(roster string) (addr string, err error) {
	var raft string
	if err := s.freeAddresses(&raft, &addr); err != nil {
		return "", err
	}
	p, err := s.start("k0", nil, "valvepermitd", "serve", "--name", "k0", "--dir", s.path("k0"), "--new", "--peer", "k0="+raft+","+addr)
	if err != nil {
		return "", err
	}
	if err := s.waitLogged(p, "permitserver.leadership_acquired", 1); err != nil {
		return "", err
	}
	if err := s.write("roster.json", roster); err != nil {
		return "", err
	}
	_, err = s.command("valvepermitd", "set", "--keepers", addr, s.path("roster.json"))
	return addr, err
}

// roster is a roster with a limit of one server and one member of the pool pages.
func roster(servers []string, members ...*app) string {
	text := `{"servers":[`
	for i, name := range servers {
		text += separator(i) + fmt.Sprintf(`{"name":%q}`, name)
	}
	text += `],"members":[`
	for i, m := range members {
		text += separator(i) + fmt.Sprintf(`{"pool":"pages","name":%q}`, m.addr)
	}
	return text + `],"limits":{"fleet":{"number":1},"zone":{},"group":{},"pools":{"pages":{"number":1}}}}`
}

func separator(i int) string {
	if i == 0 {
		return ""
	}
	return ","
}

// permits is what the permit service tells operators.
func (s *stage) permits(keeper string) (status permitclient.Status, err error) {
	out, err := s.quietly("valvepermitd", "status", "--keepers", keeper, "--json")
	if err == nil {
		err = json.Unmarshal([]byte(out), &status)
	}
	return status, err
}

// drainDone reports whether the drain of a member is done, with nobody unheard.
func (s *stage) drainDone(keeper, subject string) bool {
	status, err := s.permits(keeper)
	if err != nil {
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

// drainedMember: an operator drains a member of a pool; permits says that it is done, and the member is taken into repair. Then a
// server gets a new file, by a SIGHUP, that has this pool, which its old one did not. The member must get nothing.
func drainedMember(s *stage) error {
	group, drainedGroup := &appGroup{work: 200 * time.Millisecond}, &appGroup{work: 200 * time.Millisecond}
	m1, err := s.startApp(drainedGroup, "m1")
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
	var old [3]*app
	for i := range old {
		if old[i], err = s.startApp(group, fmt.Sprint("o", i+1)); err != nil {
			return err
		}
	}
	o1, o2, o3 := old[0], old[1], old[2]
	subject := "pages/" + m1.addr
	keeper, err := s.startKeeper(roster([]string{"n0", "n1"}, m1, m2, m3))
	if err != nil {
		return err
	}
	n0, err := s.newServer("n0")
	if err != nil {
		return err
	}
	n1, err := s.newServer("n1")
	if err != nil {
		return err
	}
	seeds := fmt.Sprintf("%q, %q", n0.gossip, n1.gossip)
	keepers := fmt.Sprintf("%q", keeper)
	pool := poolPart(keyedMethod, "pages", m1, m2, m3)
	if err := n0.compile("version: \"1\"\n" + n0.fleetPart(seeds, keepers) + poolPart(keyedMethod, "old", o1, o2, o3)); err != nil {
		return err
	}
	if err := n1.compile("version: \"2\"\n" + n1.fleetPart(seeds, keepers) + pool); err != nil {
		return err
	}
	for _, v := range []*server{n0, n1} {
		if err := v.start(); err != nil {
			return err
		}
	}
	l0, l1 := n0.startLoad(keyedMethod, 20), n1.startLoad(keyedMethod, 20)
	defer func() {
		s.note("n0: %d sent, %d ok; n1: %d sent, %d ok", l0.sent.Load(), l0.ok.Load(), l1.sent.Load(), l1.ok.Load())
	}()
	if err := s.wait("run at m1", func() bool { return drainedGroup.count() > 5 }); err != nil {
		return err
	}
	if err := s.wait("permit", func() bool {
		_, err := s.command("valvefleet", "drain", n1.socket, subject, "--why", "disk")
		return err == nil
	}); err != nil {
		return err
	}
	if err := s.wait("end of the drain", func() bool { return s.drainDone(keeper, subject) }); err != nil {
		return err
	}
	before := drainedGroup.count()
	s.note("the drain of m1 is done; it has run %d", before)
	time.Sleep(3 * time.Second)
	if s.trouble {
		if err := n0.compile("version: \"2\"\n" + n0.fleetPart(seeds, keepers) + pool); err != nil {
			return err
		}
		if err := n0.reload(); err != nil {
			return err
		}
	}
	time.Sleep(12 * time.Second)
	failed := l0.failed.Load() + l1.failed.Load()
	m1.stop()
	time.Sleep(3 * time.Second)
	s.note("RPCs that were not ok within 3 s of the stop of m1: %d", l0.failed.Load()+l1.failed.Load()-failed)
	l0.stop()
	l1.stop()
	runs := drainedGroup.count() - before
	s.note("runs at m1 since its drain was done: %d; the drain is done: %v", runs, s.drainDone(keeper, subject))
	_, _ = s.command("valvefleet", "status", n0.socket) // for the record only
	switch {
	case l0.ok.Load() == 0 || l1.ok.Load() == 0:
		return fmt.Errorf("nothing was served")
	case runs > 0:
		return errBroken
	}
	return nil
}
