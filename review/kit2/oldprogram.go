package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// The program that is released and taken back, and its build, which build-2.sh makes of the same source with another version name.
const (
	takenBack      = "build-8"
	takenBackBuild = "review-2-build-8"
)

// exitProgram is the exit code with which a server asks what supervises it to start the program that its folder names.
const exitProgram = 85

// oldProgram: a release of a program is taken back while its first server drains for it, and so is this drain. The server goes on.
// Later it is killed, and what supervises starts it again: it must start the program that the server had, not the one taken back.
func oldProgram(s *stage) error {
	keeper, err := s.startKeeper(roster([]string{"n0"}))
	if err != nil {
		return err
	}
	n0, err := s.newServer("n0")
	if err != nil {
		return err
	}
	n0.folder = s.path("folder")
	if err := n0.compile("version: \"1\"\n" + n0.fleetPart(fmt.Sprintf("%q", n0.gossip), fmt.Sprintf("%q", keeper))); err != nil {
		return err
	}
	if err := s.supervise(n0); err != nil {
		return err
	}
	l := n0.startLoad("account-view", 20)
	time.Sleep(3 * time.Second)
	if _, err := s.command("valvefleet", "release", "plan", "--keepers", keeper, "--why", "build 8", "--bake", "1s", "--least", "20",
		"--program", takenBack); err != nil {
		return err
	}
	if _, err := s.command("valvefleet", "release", "start", "--keepers", keeper, "--why", "as planned", "--of", "program"); err != nil {
		return err
	}
	if err := s.waitLogged(n0.process, "drain.started_by_permit", 1); err != nil {
		return err
	}
	if _, err := s.command("valvefleet", "release", "back", "--keepers", keeper, "--why", "build 8 is bad", "--of", "program"); err != nil {
		return err
	}
	if err := s.wait("end of the release", func() bool {
		out, err := s.quietly("valvefleet", "release", "status", "--keepers", keeper, "--of", "program")
		return err == nil && strings.Contains(out, "returned")
	}); err != nil {
		return err
	}
	if _, err := s.command("valvefleet", "back", n0.socket, "n0", "--why", "build 8 is bad"); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if _, err := s.command("valvefleet", "release", "status", "--keepers", keeper, "--of", "program"); err != nil {
		return err
	}
	select {
	case <-n0.process.ended:
		return errors.New("n0 has ended, though its drain was taken back")
	default:
	}
	s.note("the release is returned, and n0 serves: %d of %d RPCs ok", l.ok.Load(), l.sent.Load())
	if s.trouble {
		n0.process.kill()
		if err := s.supervise(n0); err != nil {
			return err
		}
	}
	wrong := int64(0) // RPCs that the program answered that was taken back
	for end := time.Now().Add(afterKill); time.Now().Before(end); {
		program, before := n0.program, l.ok.Load()
		restart := false
		select {
		case <-n0.process.ended:
			restart = true
		case <-time.After(time.Second):
		}
		if ok := l.ok.Load() - before; program == takenBackBuild && ok > 0 {
			s.note("%s has answered %d RPCs", takenBack, ok)
			wrong += ok
		}
		if !restart {
			continue
		}
		if code := n0.process.cmd.ProcessState.ExitCode(); code != exitProgram {
			return fmt.Errorf("n0 has ended with code %d", code)
		}
		if err := s.supervise(n0); err != nil {
			return err
		}
	}
	_, _ = s.command("valvefleet", "release", "status", "--keepers", keeper, "--of", "program") // for the record only
	l.stop()
	s.note("%d RPCs sent, %d ok; answered by %s after it was taken back: %d", l.sent.Load(), l.ok.Load(), takenBack, wrong)
	switch {
	case l.ok.Load() == 0:
		return errors.New("nothing was served")
	case wrong > 0:
		return errBroken
	}
	return nil
}

// afterKill is how long the case goes on after the kill.
const afterKill = 25 * time.Second

// supervise starts a server as docs/operate/releases.md has it: the program that the folder's file names, or the usual one where that
// is empty or not there.
func (s *stage) supervise(v *server) error {
	content, err := os.ReadFile(filepath.Join(v.folder, "program"))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	name := strings.TrimSpace(string(content))
	v.program = "valvefleet"
	if name == takenBack {
		v.program = takenBackBuild
	}
	s.note("supervisor: the file names %q", name)
	return v.start()
}
