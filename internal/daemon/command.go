package daemon

import (
	"os"
	"os/signal"
	"strings"
	"syscall"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
)

// Command is the subcommand that serves RPCs.
type Command struct {
	Operator string `type:"path" placeholder:"RECORD" help:"Operator's record, written by valvectl compile. It is reloaded with the configuration on SIGHUP."`
	Trace    string `type:"path" placeholder:"FILE" hidden:"" help:"Record a trace to this file, regardless of the operator's record."`
	Demo     bool   `name:"stand-in" help:"Demonstration: start a stub engine, and callers that overload it, within this process."`
}

// Config is the complete configuration of a process.
type Config struct {
	*startup.Process                  // the platform's configuration
	Operator         *operator.Record // nil without an operator's record
}

// loader loads the configuration of a process, at its start and at each reload.
type loader func() (Config, error)

// Limits of a trace that is requested on the command line; they replace those of the operator's record.
const (
	commandTraceFileMB = 64
	commandTraceFiles  = 4
)

// Run serves until the process receives a signal to stop. extension, which may be nil, adds a part that is specific to the
// calling command. The error is an ExitCode if that part requested a drain with an exit code.
func (s Command) Run(extension Extension) error {
	stop := make(chan os.Signal, 1)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // first, as an unhandled SIGHUP ends the process
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

// loadFromEnvironment loads the configuration that the environment variables name.
func loadFromEnvironment() (Config, error) {
	process, err := startup.Load(os.Getenv)
	return Config{Process: process}, err
}

// withOperator returns a loader that also loads the operator's record, if the command line names one.
func (s Command) withOperator(load loader) loader {
	return func() (Config, error) {
		config, err := load()
		if err == nil && s.Operator != "" {
			config.Operator, err = operator.Load(s.Operator, config.Settings)
		}
		return config, err
	}
}

// withTrace returns a loader that also enables the recording of a trace. It adds an empty operator's file if there is none.
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
