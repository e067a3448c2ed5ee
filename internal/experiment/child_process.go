package experiment

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// childProcess is a process of this executable, which an experiment starts, kills and starts again. It prints a line
// when it is ready, and ends with its standard input.
type childProcess struct {
	args    []string
	command *exec.Cmd
	stdin   io.WriteCloser
	stdout  *bufio.Reader
}

// start starts the process, and returns its first line.
func (p *childProcess) start() (ready string, err error) {
	executable, err := os.Executable()
	if err != nil {
		return "", err
	}
	p.command = exec.Command(executable, p.args...)
	p.command.Stderr = os.Stderr
	if p.stdin, err = p.command.StdinPipe(); err != nil {
		return "", err
	}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return "", err
	}
	if err := p.command.Start(); err != nil {
		return "", err
	}
	p.stdout = bufio.NewReader(stdout)
	line, err := p.stdout.ReadString('\n')
	if err != nil {
		p.kill()
		return "", fmt.Errorf("%s did not start: %q, %w", p.args[0], line, err)
	}
	return strings.TrimSpace(line), nil
}

// kill ends the process as kill -9 does, and waits for it.
func (p *childProcess) kill() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Kill() // fails only for one that has ended
	_ = p.command.Wait()         // the error is the kill itself
}
