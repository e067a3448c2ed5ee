package testbed

// This file owns the processes of the bed: started from this tree, stopped, killed and started again under their names,
// by their own ids. None outlives the bed.

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

// Command is how one process is started.
type Command struct {
	Path string
	Args []string
	Env  []string // beside the bed's own
}

// Procs are some processes, by name.
type ProcessSet struct {
	dir string
	how func(name string) Command
	net *Network

	mu  sync.Mutex
	all map[string]*proc
}

type proc struct {
	cmd     *exec.Cmd
	over    chan struct{}
	stopped bool
	starts  int
	exit    string
}

// NewProcessSet keeps the logs of its processes in dir, one file a name.
func NewProcessSet(dir string, n *Network, how func(name string) Command) *ProcessSet {
	return &ProcessSet{dir: dir, how: how, net: n, all: map[string]*proc{}}
}

// Start starts a name that does not run.
func (p *ProcessSet) Start(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.all[name]
	if old != nil && old.cmd != nil {
		select {
		case <-old.over:
		default:
			return fmt.Errorf("%s runs already", name)
		}
	}
	c := p.how(name)
	log, err := os.OpenFile(p.LogPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	x := &proc{cmd: exec.Command(c.Path, c.Args...), over: make(chan struct{})}
	if old != nil {
		x.starts = old.starts
	}
	x.starts++
	x.cmd.Env, x.cmd.Stdout, x.cmd.Stderr = append(os.Environ(), c.Env...), log, log
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none is left if this process is killed
	p.net.note("start %s", name)
	if err := x.cmd.Start(); err != nil {
		return err
	}
	p.all[name] = x
	go func() {
		err := x.cmd.Wait()
		x.exit = "exit 0"
		if err != nil {
			x.exit = err.Error()
		}
		close(x.over)
	}()
	return nil
}

// LogPath is the file of a name's output over all its starts.
func (p *ProcessSet) LogPath(name string) string { return filepath.Join(p.dir, name+".log") }

// Signal sends a signal to a name that runs.
func (p *ProcessSet) Signal(name string, s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.all[name]
	if x == nil {
		return fmt.Errorf("%s was never started", name)
	}
	p.net.note("%s to %s", s, name)
	switch s {
	case syscall.SIGSTOP:
		x.stopped = true
	case syscall.SIGCONT:
		x.stopped = false
	}
	return x.cmd.Process.Signal(s)
}

// Kill ends a name at once and waits until it is gone.
func (p *ProcessSet) Kill(name string) error {
	if err := p.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	_, err := p.WaitExit(name, 10*time.Second)
	return err
}

// WaitExit waits for the end of a name's process and tells how it ended.
func (p *ProcessSet) WaitExit(name string, within time.Duration) (string, error) {
	p.mu.Lock()
	x := p.all[name]
	p.mu.Unlock()
	select {
	case <-x.over:
		return x.exit, nil
	case <-time.After(within):
		return "", fmt.Errorf("%s has not ended within %s", name, within)
	}
}

// Runs tells whether a name's process is there and not stopped.
func (p *ProcessSet) Running(name string) bool {
	p.mu.Lock()
	x := p.all[name]
	stopped := x != nil && x.stopped
	p.mu.Unlock()
	return !stopped && p.Alive(name)
}

// Alive tells whether a name's process is there, stopped or not.
func (p *ProcessSet) Alive(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.all[name]
	if x == nil {
		return false
	}
	select {
	case <-x.over:
		return false
	default:
		return true
	}
}

// Pid is the id of a name's process; 0 if none was started.
func (p *ProcessSet) Pid(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.all[name]; x != nil {
		return x.cmd.Process.Pid
	}
	return 0
}

// CPUTime is the processor time that a name's process has used.
func (p *ProcessSet) CPUTime(name string) (time.Duration, error) {
	p.mu.Lock()
	x := p.all[name]
	p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", x.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:])) // the name may hold blanks
	if len(f) < 13 {
		return 0, fmt.Errorf("/proc: %q", b)
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// ticksPerSecond is what Linux counts processor time in towards programs, on all its machines.
const ticksPerSecond = 100

// Close kills what still runs and waits for it.
func (p *ProcessSet) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.all {
		select {
		case <-x.over:
		default:
			x.cmd.Process.Kill()
			<-x.over
		}
	}
}
