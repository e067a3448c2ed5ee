package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	fileMode     = 0o600
	pollInterval = 50 * time.Millisecond
	startLimit   = 15 * time.Second // for a program to be ready
)

// stage is the surroundings of one case: a temporary folder, the processes that the case started, and its record.
type stage struct {
	trouble bool
	dir     string
	host    string // a loopback address of this run's own: clients that call from 127.0.0.1 take ports there at any time
	began   time.Time
	members string // address of the membership service; "" for one of each server's own

	mu        sync.Mutex
	file      *os.File
	record    *bufio.Writer
	processes []*process
	cleanup   []func()
}

// newStage opens the record. With TROUBLE=0 in the environment a case leaves out its disruption.
func newStage(recordPath string) (*stage, error) {
	dir, err := os.MkdirTemp("", "rv") // short: the length of a socket's path is bounded
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	host := fmt.Sprintf("127.%d.%d.%d", 2+rand.Intn(250), rand.Intn(256), 1+rand.Intn(250))
	s := &stage{host: host, trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), file: file, record: bufio.NewWriter(file)}
	s.note("seconds since %s; disruption: %v", s.began.UTC().Format(time.RFC3339), s.trouble)
	return s, nil
}

// note writes a line with the time to the record.
func (s *stage) note(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, a...)) // closeRecord reports an error
}

// onClose has f called at the end of the case.
func (s *stage) onClose(f func()) { s.cleanup = append(s.cleanup, f) }

// close ends all processes, by their ids, and all stand-ins, and removes the folder.
func (s *stage) close() {
	for _, p := range s.processes {
		p.kill()
	}
	for i := len(s.cleanup) - 1; i >= 0; i-- {
		s.cleanup[i]()
	}
	_ = os.RemoveAll(s.dir) // what is left of a temporary folder does no harm
}

// abandon ends the case, and this process, before its time.
func (s *stage) abandon(why string) {
	s.note("abandoned: %s", why)
	s.close()
	_ = s.closeRecord() // the exit code says it all
	os.Exit(exitFailed)
}

func (s *stage) closeRecord() error {
	return errors.Join(s.record.Flush(), s.file.Close())
}

// path is the path of a file in the temporary folder.
func (s *stage) path(name string) string { return filepath.Join(s.dir, name) }

func (s *stage) write(name, content string) error {
	return os.WriteFile(s.path(name), []byte(content), fileMode)
}

// freeAddresses fills in loopback addresses at which nothing listens just now, all different.
func (s *stage) freeAddresses(addrs ...*string) error {
	for _, addr := range addrs {
		ln, err := net.Listen("tcp", s.host+":0")
		if err != nil {
			return err
		}
		defer func() { _ = ln.Close() }() // held until all are found, so that no two are the same
		*addr = ln.Addr().String()
	}
	return nil
}

// process is a program that the case started.
type process struct {
	name  string
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
}

// start starts a program of bin/ with a log of its own.
func (s *stage) start(name string, env []string, program string, args ...string) (*process, error) {
	logPath := s.path(name + ".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	p := &process{name: name, log: logPath, cmd: exec.Command(filepath.Join("bin", program), args...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	s.note("start %s: %s %s", name, program, strings.Join(args, " "))
	s.processes = append(s.processes, p)
	go func() {
		err := p.cmd.Wait()
		s.note("end of %s: %v", name, err)
		close(p.ended)
	}()
	return p, nil
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.ended
}

// signal sends a signal to a process.
func (s *stage) signal(p *process, signal syscall.Signal) error {
	s.note("%s to %s", signal, p.name)
	return p.cmd.Process.Signal(signal)
}

// logged counts an event in a process's log.
func (p *process) logged(event string) int {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return 0
	}
	return strings.Count(string(b), event)
}

// waitLogged waits until a process has logged an event n times.
func (s *stage) waitLogged(p *process, event string, n int) error {
	return s.wait(fmt.Sprintf("%s of %s", event, p.name), func() bool { return p.logged(event) >= n })
}

// wait waits for a condition.
func (s *stage) wait(what string, condition func() bool) error {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("no %s within %s", what, startLimit)
}

// command runs a program of bin/ to its end, notes what it printed, and returns that.
func (s *stage) command(program string, args ...string) (string, error) {
	text, err := s.quietly(program, args...)
	s.note("%s %s -> %v\n%s", program, strings.Join(args, " "), err, text)
	return text, err
}

// quietly is command without the note.
func (s *stage) quietly(program string, args ...string) (string, error) {
	out, err := exec.Command(filepath.Join("bin", program), args...).CombinedOutput()
	text := strings.TrimSpace(string(out))
	if err != nil {
		err = fmt.Errorf("%s %s: %w: %s", program, args[0], err, text)
	}
	return text, err
}
