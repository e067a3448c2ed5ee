package daemon

import (
	"os"
	"os/signal"
	"strings"
	"syscall"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
)

// Command is the sub-command that serves.
type Command struct {
	Operator string `type:"path" placeholder:"RECORD" help:"The operator's record, as valvectl compile wrote it; it is taken anew on SIGHUP with the configuration."`
	Trace    string `type:"path" placeholder:"FILE" hidden:"" help:"Record a trace there, whatever the record says."`
	Demo     bool   `name:"stand-in" help:"Start a stand-in engine, and callers that ask for more than it can do, within this process, to see the main job run."`
}

// Config is all that a process is configured with.
type Config struct {
	*startup.Process                  // the platform's configuration
	Operator         *operator.Record // nil without an operator's record
}

// loader reads the configuration of a process, at its start and at each reload.
type loader func() (Config, error)

// Bounds of the trace that a command asks for, whatever the operator's record says.
const (
	commandTraceFileMB = 64
	commandTraceFiles  = 4
)

// Run serves until a signal to stop comes. extension, which may be nil, adds what the command at hand has beside the
// rest. The error is an ExitCode if a part had the server leave with one.
func (s Command) Run(extension Extension) error {
	stop := make(chan os.Signal, 1)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before all else: unhandled, it would end the process
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	load := loadFromEnvironment
	if s.Demo {
		loadDemo, end, err := startDemo()
		if err != nil {
			return err
		}
		defer end()
		load = loadDemo
	}
	load = s.withOperator(load)
	if s.Trace != "" {
		load = s.withTrace(load)
	}
	config, err := load()
	if err != nil {
		return err
	}
	p := &process{
		config: config, log: NewLog(os.Stderr).WithField("node", config.Name),
		stop: stop, reload: reload, load: load, extension: extension,
	}
	return p.serve()
}

func loadFromEnvironment() (Config, error) {
	process, err := startup.Load(os.Getenv)
	return Config{Process: process}, err
}

// withOperator adds the operator's record, if the command names one.
func (s Command) withOperator(load loader) loader {
	return func() (Config, error) {
		config, err := load()
		if err == nil && s.Operator != "" {
			config.Operator, err = operator.Load(s.Operator, config.Settings)
		}
		return config, err
	}
}

// withTrace adds the recording of a trace, with an empty operator's file if there is none.
func (s Command) withTrace(load loader) loader {
	return func() (Config, error) {
		config, err := load()
		if err != nil {
			return config, err
		}
		if config.Operator == nil {
			config.Operator = &operator.Record{Hash: strings.Repeat("0", 64), File: operator.File{Version: "none"}}
		}
		config.Operator.File.Trace = &operator.Trace{Path: s.Trace, MaxFileMB: commandTraceFileMB, MaxFiles: commandTraceFiles}
		return config, nil
	}
}
