package valve

import (
	"time"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
	"sorrelvalve/internal/trace"
)

// EventKind says what happened to an RPC.
type EventKind int

// The kinds of events.
const (
	Arrived    EventKind = iota // it was put to the decisions
	Started                     // its run was asked for
	Joined                      // it waits for the attempt that it duplicates
	Rejected                    // it was rejected
	Aborted                     // it was aborted
	CallerGone                  // its caller left
	Completed                   // its run, or what it joined, ended
)

// Event is something that happened to an RPC.
type Event struct {
	At     time.Duration // since the Valve was made
	Kind   EventKind
	RPC    uint32 // number of the RPC, from 1 up for each Valve
	Method string // Arrived
}

// TraceOptions have all events and decisions recorded in files for the daemon's trace commands: no bodies, tokens as hashes.
type TraceOptions struct {
	Path         string
	MaxFileBytes int64       // from which on the next file is begun; default 64 MiB
	MaxFiles     int         // that are retained; default 4
	OnError      func(error) // is called when a file can't be written; nil for none
}

// The defaults of TraceOptions.
const (
	defaultTraceFileBytes = 64 << 20
	defaultTraceFiles     = 4
)

// traceBuild is what the files name as the build that recorded them.
const traceBuild = "library"

func (o *TraceOptions) recorder() *trace.Recorder {
	onError := o.OnError
	if onError == nil {
		onError = func(error) {}
	}
	limits := trace.FileLimits{
		MaxFileBytes: withDefault(o.MaxFileBytes, defaultTraceFileBytes),
		MaxFiles:     withDefault(o.MaxFiles, defaultTraceFiles),
	}
	return trace.NewRecorder(o.Path, limits, traceBuild, onError)
}

// eventTracer is the gate's tracer: it records a trace and passes events to the program.
type eventTracer struct {
	observe  func(Event)     // nil for none
	recorder *trace.Recorder // nil for none
	methods  []string        // names
}

// Begin is called as the decisions begin.
func (t *eventTracer) Begin(config *startup.Config, warmingUp bool, origin time.Time) {
	for _, m := range config.Methods {
		t.methods = append(t.methods, m.Name)
	}
	if t.recorder != nil {
		t.recorder.Begin(config, warmingUp, origin)
	}
}

// Event is called for each event of the decisions, under the gate's lock.
func (t *eventTracer) Event(now float64, ev control.Event, actions []control.Action, tokenKey string) {
	if t.recorder != nil {
		t.recorder.Event(now, ev, actions, tokenKey)
	}
	if t.observe == nil {
		return
	}
	at := duration(now)
	switch ev.Kind {
	case control.Arrived:
		t.observe(Event{At: at, Kind: Arrived, RPC: ev.RPC, Method: t.methods[ev.Method]})
	case control.CallerGone:
		t.observe(Event{At: at, Kind: CallerGone, RPC: ev.RPC})
	case control.Completed:
		t.observe(Event{At: at, Kind: Completed, RPC: ev.RPC})
	}
	for _, a := range actions {
		if kind, ok := actionEvents[a.Kind]; ok {
			t.observe(Event{At: at, Kind: kind, RPC: a.RPC})
		}
	}
}

// actionEvents are the events that stand for actions of the decisions.
var actionEvents = map[control.ActionKind]EventKind{
	control.Run:    Started,
	control.Join:   Joined,
	control.Reject: Rejected,
	control.Abort:  Aborted,
}
