package trace

// This file contains the recorder, which the gate uses as its tracer. A file that can't be written must never keep a gate from
// making decisions.

import (
	"sync"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/internal/startup"
)

// Recorder implements gate.Tracer with a Writer.
type Recorder struct {
	path    string
	limits  FileLimits
	build   string
	onError func(error)

	mu     sync.Mutex
	writer *Writer // nil before Begin, after Close, and if no file could be created
}

// NewRecorder returns a recorder that writes to path. If the file can't be created, onError is called once.
func NewRecorder(path string, limits FileLimits, build string, onError func(error)) *Recorder {
	return &Recorder{path: path, limits: limits, build: build, onError: onError}
}

// Begin creates the file with its header. origin is the time at which the clock of the control decisions was 0.
func (r *Recorder) Begin(config *startup.Config, slowStart bool, origin time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	header := &Header{Startup: *config, SlowStart: slowStart, OriginMS: float64(origin.UnixNano()) / 1e6, Build: r.build}
	writer, err := Create(r.path, header, r.limits)
	if err != nil {
		r.onError(err)
		return
	}
	r.writer = writer
}

// current returns the writer, or nil if there is none.
func (r *Recorder) current() *Writer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writer
}

// Event records one event. It is called with the gate's lock held, and so by one goroutine at a time.
func (r *Recorder) Event(now float64, ev control.Event, actions []control.Action, token string) {
	writer := r.current()
	if writer == nil {
		return
	}
	hash := uint64(0)
	if token != "" {
		hash = Hash(token)
	}
	writer.Event(now, ev, actions, hash)
}

// Close writes the queued entries and closes the file. Later events are not recorded.
func (r *Recorder) Close() {
	r.mu.Lock()
	writer := r.writer
	r.writer = nil
	r.mu.Unlock()
	if writer != nil {
		writer.Close()
	}
}

// Dropped returns the number of entries that were dropped because the disk was too slow. It returns 0 after Close.
func (r *Recorder) Dropped() uint64 {
	writer := r.current()
	if writer == nil {
		return 0
	}
	return writer.Dropped.Load()
}
