package trace

// This file owns the recorder as a gate's tracer: it begins the file when the decisions begin. It must never keep a
// gate from deciding because a file can't be written.

import (
	"sync"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

// Recorder is a gate.Tracer that writes a trace.
type Recorder struct {
	path      string
	limits    FileLimits
	build     string
	onFailure func(error)

	mu     sync.Mutex
	w      *Writer
	closed bool
}

// NewRecorder returns a recorder; fail hears, once, that its file can't be written.
func NewRecorder(path string, b FileLimits, build string, fail func(error)) *Recorder {
	return &Recorder{path: path, limits: b, build: build, onFailure: fail}
}

// Begin opens the file.
func (r *Recorder) Begin(told *startup.Config, cold bool, origin time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, err := Create(r.path, &Header{Startup: *told, SlowStart: cold, OriginMS: float64(origin.UnixNano()) / 1e6, Build: r.build}, r.limits)
	if err != nil {
		r.onFailure(err)
		return
	}
	r.w = w
}

// Event records one event. It is called under the gate's lock, so by one goroutine at a time.
func (r *Recorder) Event(now float64, ev control.Event, actions []control.Action, token string) {
	r.mu.Lock()
	w := r.w
	r.mu.Unlock()
	if w == nil {
		return
	}
	hash := uint64(0)
	if token != "" {
		hash = Hash(token)
	}
	w.Event(now, ev, actions, hash)
}

// Close writes what there is and ends; events after that are not recorded.
func (r *Recorder) Close() {
	r.mu.Lock()
	w := r.w
	r.w = nil
	r.mu.Unlock()
	if w != nil {
		w.Close()
	}
}

// Dropped is the number of entries that were not written.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.w == nil {
		return 0
	}
	return r.w.Dropped.Load()
}
