package valve

// This file owns what a program can watch a Valve by: each event as it happens, and a trace of all of them. It must never
// let a watcher hold up the decisions.

import (
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/startup"
	"sorrelvalve/internal/trace"
)

// What happened.
type EventKind int

const (
	Arrived   EventKind = iota // an RPC was admitted to the decisions
	Started                    // its run was asked for
	Joined                     // it waits for the try that it repeats
	Rejected                   // it was pushed back
	GaveUp                     // it was aborted
	Cancelled                  // its caller left
	Completed                  // its run or join ended
)

// Event is one thing that happened. RPC numbers count from 1 for each Valve.
type Event struct {
	At     time.Duration // since the Valve began
	Kind   EventKind
	RPC    uint32
	Method string // Arrived
}

// TraceOptions says where all that the decisions are told and say is recorded: no bodies, tokens as hashes. The file is read by
// the daemon's trace commands.
type TraceOptions struct {
	Path      string
	FileBytes int64       // the next file begins when one is so long; 64 MiB if 0
	Files     int         // that are kept; 4 if 0
	OnError   func(error) // hears that the file can't be written; may be nil
}

// watch is the gate's tracer.
type watch struct {
	see     func(Event)
	rec     *trace.Recorder
	methods []string
}

func (w *watch) Begin(told *startup.Config, cold bool, origin time.Time) {
	for _, m := range told.Methods {
		w.methods = append(w.methods, m.Name)
	}
	if w.rec != nil {
		w.rec.Begin(told, cold, origin)
	}
}

func (w *watch) Event(now float64, ev control.Event, actions []control.Action, token string) {
	if w.rec != nil {
		w.rec.Event(now, ev, actions, token)
	}
	if w.see == nil {
		return
	}
	at := time.Duration(now * float64(time.Millisecond))
	switch ev.Kind {
	case control.Arrived:
		w.see(Event{at, Arrived, ev.RPC, w.methods[ev.Method]})
	case control.CallerGone:
		w.see(Event{At: at, Kind: Cancelled, RPC: ev.RPC})
	case control.Completed:
		w.see(Event{At: at, Kind: Completed, RPC: ev.RPC})
	}
	for _, a := range actions {
		switch a.Kind {
		case control.Run:
			w.see(Event{At: at, Kind: Started, RPC: a.RPC})
		case control.Join:
			w.see(Event{At: at, Kind: Joined, RPC: a.RPC})
		case control.Reject:
			w.see(Event{At: at, Kind: Rejected, RPC: a.RPC})
		case control.Abort:
			w.see(Event{At: at, Kind: GaveUp, RPC: a.RPC})
		}
	}
}

// StoreState is how a Valve's store stands, for the program's own metrics.
type StoreState struct {
	Broken                            bool  // it can't be written: what is tokened is pushed back
	Used, Reserved                    int64 // bytes
	Segments                          int
	Records, Syncs, Dropped, Failures uint64 // so far; Dropped are segments
}

// StoreState returns how the store stands; false without one.
func (v *Valve) StoreState() (StoreState, bool) {
	if v.kept == nil {
		return StoreState{}, false
	}
	s := v.kept.Status()
	return StoreState{s.Health == recovery.Broken, int64(s.UsedBytes), int64(s.ReservedBytes), s.Segments, s.Records, s.Syncs, s.SegmentsDropped, s.Failures}, true
}
