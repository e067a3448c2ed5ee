// Package rig starts the project's programs as separate processes for the cases of the review, and records what they do. It
// uses loopback addresses only, keeps its files in a temporary folder, and ends every process that it started.
package rig

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

const (
	runLimit       = 110 * time.Second // of a whole case
	commandTimeout = 30 * time.Second  // of one operator's command
	fileMode       = 0o600
)

// Case is one run of a case.
type Case struct {
	Dir     string // temporary folder
	Trouble bool   // false with TROUBLE=0

	began  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*Process
	closed bool
}

// Process is a program that the case started.
type Process struct {
	Name  string
	Ended chan struct{} // closed at the end of the process
	Exit  string        // how it ended; set before Ended is closed
	cmd   *exec.Cmd
}

// notRun is the panic value of Check.
type notRun struct{ err error }

// Main runs a case, whose folder is the only argument of the program, and exits with its result.
func Main(run func(c *Case) (broken bool)) {
	runtime.LockOSThread() // processes end with the thread that started them
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		os.Exit(NotRun)
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "rv") // a short name: the length of a socket's path is bounded
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
			c.Log("the case was told to stop")
		case <-time.After(runLimit):
			c.Log("the case took longer than %s", runLimit)
		}
		c.close()
		os.Exit(NotRun)
	}()
	code := c.guard(run)
	c.Log("result: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[code])
	c.close()
	os.Exit(code)
}

// guard runs the case and turns a failed Check into NotRun.
func (c *Case) guard(run func(c *Case) bool) (code int) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		failed, ok := v.(notRun)
		if !ok {
			panic(v)
		}
		c.Log("could not run: %v", failed.err)
		code = NotRun
	}()
	c.Log("trouble: %t", c.Trouble)
	if run(c) {
		return Broken
	}
	return Held
}

// close ends all processes and keeps their logs in the record.
func (c *Case) close() {
	c.mu.Lock()
	procs := c.procs
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if closed {
		return
	}
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // fails only if it has ended
		_ = p.cmd.Process.Kill()                  // likewise
		<-p.Ended
	}
	for _, p := range procs {
		text, err := os.ReadFile(c.logPath(p.Name))
		if err == nil {
			c.write("---- log of " + p.Name + "\n" + string(text))
		}
	}
	_ = os.RemoveAll(c.Dir)
	_ = c.record.Close()
}

// Log writes a line to the record and to standard output, with the time since the start in seconds.
func (c *Case) Log(format string, a ...any) { fmt.Print(c.Note(format, a...)) }

// Note writes a line to the record only, and returns it.
func (c *Case) Note(format string, a ...any) (line string) {
	line = fmt.Sprintf("%7.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, a...))
	c.write(line)
	return line
}

func (c *Case) write(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.record.WriteString(text) // the result does not depend on the record
}

// Check ends the case as one that could not run, unless err is nil.
func (c *Case) Check(err error) {
	if err != nil {
		panic(notRun{err})
	}
}

// Path returns the path of a file in the temporary folder.
func (c *Case) Path(name string) string { return filepath.Join(c.Dir, name) }

func (c *Case) logPath(name string) string { return c.Path(name + ".log") }

// WriteFile writes a file in the temporary folder and returns its path.
func (c *Case) WriteFile(name, text string) string {
	path := c.Path(name)
	c.Check(os.WriteFile(path+".new", []byte(text), fileMode))
	c.Check(os.Rename(path+".new", path))
	return path
}

// Program returns the path of a program that the build of the deploy file made.
func Program(name string) string { return filepath.Join("bin", name) }

// Start starts a program of the project. It must be called by the goroutine of Main.
func (c *Case) Start(name string, env []string, program string, args ...string) *Process {
	log, err := os.OpenFile(c.logPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	c.Check(err)
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	p := &Process{Name: name, Ended: make(chan struct{}), cmd: exec.Command(Program(program), args...)}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Check(p.cmd.Start())
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	go func() {
		p.Exit = "exit 0"
		if err := p.cmd.Wait(); err != nil {
			p.Exit = err.Error()
		}
		close(p.Ended)
	}()
	return p
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.Ended:
		return false
	default:
		return true
	}
}

// Command runs an operator's command to its end and returns what it printed to standard output.
func (c *Case) Command(program string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, Program(program), args...)
	var out, errOut bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &errOut
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("%s %s: %w: %s", program, strings.Join(args, " "), err, strings.TrimSpace(errOut.String()))
	}
	return out.String(), nil
}

// errTimeout is returned by Await.
var errTimeout = errors.New("did not happen in time")

// Await calls holds until it returns true.
func Await(what string, within time.Duration, holds func() bool) error {
	for end := time.Now().Add(within); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s: %w", what, errTimeout)
		}
	}
	return nil
}

// FreeAddr returns a free address with an IP address of its own, so that no other program takes its port meanwhile.
func (c *Case) FreeAddr() string {
	for range 20 {
		host := fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(200), rand.IntN(256), 1+rand.IntN(250))
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			continue
		}
		addr := ln.Addr().String()
		_ = ln.Close() // it was only opened to find a free port
		return addr
	}
	c.Check(errors.New("no free address"))
	return ""
}
