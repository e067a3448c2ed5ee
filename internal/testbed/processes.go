package testbed

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Command is how a process is started.
type Command struct {
	Path string
	Args []string
	Env  []string // added to this process's environment
}

// ProcessSet holds processes by name: started, stopped, killed and started again, always by their own process ids. None outlives
// Close, nor this process. Its methods may be called concurrently.
type ProcessSet struct {
	dir     string
	command func(name string) Command
	network *Network // logs what is done

	mu        sync.Mutex
	processes map[string]*process
}

// process is one start of a name.
type process struct {
	cmd     *exec.Cmd
	ended   chan struct{} // closed at its end, when exit is set
	exit    string
	stopped bool
}

// hasEnded reports whether the process is gone.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

const (
	killTimeout    = 10 * time.Second
	ticksPerSecond = 100 // Linux's USER_HZ, in which /proc counts processor time
	userTicksField = 11  // of /proc/PID/stat behind the name, counted from 0; the system's ticks come next
)

// NewProcessSet returns an empty set that writes each name's output to a file in dir and logs what it does in the network's log.
func NewProcessSet(dir string, n *Network, command func(name string) Command) *ProcessSet {
	return &ProcessSet{dir: dir, command: command, network: n, processes: map[string]*process{}}
}

// Start starts a name's process, which must not be running.
func (s *ProcessSet) Start(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.processes[name]; p != nil && !p.hasEnded() {
		return fmt.Errorf("%s runs already", name)
	}
	c := s.command(name)
	log, err := os.OpenFile(s.LogPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // nothing was written through this descriptor; the process has its own
	p := &process{cmd: exec.Command(c.Path, c.Args...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), c.Env...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends even if this process is killed
	s.network.record("start %s", name)
	if err := p.cmd.Start(); err != nil {
		return err
	}
	s.processes[name] = p
	go p.wait()
	return nil
}

// wait waits for the end of a started process.
func (p *process) wait() {
	p.exit = "exit 0"
	if err := p.cmd.Wait(); err != nil {
		p.exit = err.Error()
	}
	close(p.ended)
}

// LogPath is the file with a name's output over all its starts.
func (s *ProcessSet) LogPath(name string) string { return filepath.Join(s.dir, name+".log") }

// latest returns the latest process of a name; nil if it was never started.
func (s *ProcessSet) latest(name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[name]
}

// Signal sends a signal to a name's process. The error is os.ErrProcessDone if that has ended.
func (s *ProcessSet) Signal(name string, signal syscall.Signal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	if p == nil {
		return fmt.Errorf("%s was never started", name)
	}
	s.network.record("%s to %s", signal, name)
	switch signal {
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	return p.cmd.Process.Signal(signal)
}

// Kill kills a name's process and waits until it is gone.
func (s *ProcessSet) Kill(name string) error {
	if err := s.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	_, err := s.WaitExit(name, killTimeout)
	return err
}

// WaitExit waits for the end of a name's process and returns how it ended. The name must have been started.
func (s *ProcessSet) WaitExit(name string, within time.Duration) (string, error) {
	p := s.latest(name)
	select {
	case <-p.ended:
		return p.exit, nil
	case <-time.After(within):
		return "", fmt.Errorf("%s has not ended within %s", name, within)
	}
}

// Running reports whether a name's process is alive and not stopped.
func (s *ProcessSet) Running(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	return p != nil && !p.stopped && !p.hasEnded()
}

// Alive reports whether a name's process is alive, stopped or not.
func (s *ProcessSet) Alive(name string) bool {
	p := s.latest(name)
	return p != nil && !p.hasEnded()
}

// Pid is the id of a name's latest process; 0 if it was never started.
func (s *ProcessSet) Pid(name string) int {
	if p := s.latest(name); p != nil {
		return p.cmd.Process.Pid
	}
	return 0
}

// CPUTime is the processor time that a name's process has used. The name must have been started.
func (s *ProcessSet) CPUTime(name string) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.latest(name).cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	behindName := string(stat[strings.LastIndexByte(string(stat), ')')+1:]) // the name may contain blanks
	fields := strings.Fields(behindName)
	if len(fields) < userTicksField+2 {
		return 0, fmt.Errorf("/proc: %q", stat)
	}
	user, err := strconv.ParseInt(fields[userTicksField], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("/proc: %w", err)
	}
	system, err := strconv.ParseInt(fields[userTicksField+1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("/proc: %w", err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// Close kills what still runs and waits for it.
func (s *ProcessSet) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if !p.hasEnded() {
			_ = p.cmd.Process.Kill() // fails only if it has just ended
			<-p.ended
		}
	}
}
