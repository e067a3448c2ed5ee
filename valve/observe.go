package valve

import (
	"time"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
	"sorrelvalve/internal/trace"
)

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	Arrived    EventKind = iota // the RPC arrived for an admission decision
	Started                     // the RPC was admitted and its run started
	Joined                      // the RPC waits for the attempt that it duplicates
	Rejected                    // the RPC was rejected
	Aborted                     // the RPC was aborted
	CallerGone                  // the caller no longer waits
	Completed                   // the run of the RPC, or of the attempt that it joined, ended
)

// Event is a step in the processing of an RPC, as passed to Options.Observer.
type Event struct {
	At     time.Duration // time since the Valve was created
	Kind   EventKind
	RPC    uint32 // number of the RPC, counted from 1 in each Valve
	Method string // name of the method; Arrived only
}

// TraceOptions configure the recording of all events and decisions in files, which the daemon's trace commands read. Bodies
// are not recorded, and tokens are recorded as hashes.
type TraceOptions struct {
	Path         string
	MaxFileBytes int64       // size at which the next file is begun; default 64 MiB
	MaxFiles     int         // number of files that are retained; default 4
	OnError      func(error) // called when a file can't be written; nil to ignore the error
}

// The defaults of TraceOptions.
const (
	defaultTraceFileBytes = 64 << 20
	defaultTraceFiles     = 4
)

// traceBuild is the build name that is recorded in the trace files.
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

// eventTracer is the gate's tracer. It records a trace and passes events to the program's observer.
type eventTracer struct {
	observe  func(Event)     // nil without an observer
	recorder *trace.Recorder // nil if no trace is recorded
	methods  []string        // method names by index
}

// Begin is called before the first event.
func (t *eventTracer) Begin(config *startup.Config, warmingUp bool, origin time.Time) {
	for _, m := range config.Methods {
		t.methods = append(t.methods, m.Name)
	}
	if t.recorder != nil {
		t.recorder.Begin(config, warmingUp, origin)
	}
}

// Event is called for each event that the controller handles, with the gate's lock held.
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

// actionEvents maps actions of the controller to the kinds of events that report them.
var actionEvents = map[control.ActionKind]EventKind{
	control.Run:    Started,
	control.Join:   Joined,
	control.Reject: Rejected,
	control.Abort:  Aborted,
}
