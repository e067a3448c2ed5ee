// Package engine keeps the link to the engine, which does the work of RPCs: it attaches, starts runs, asks for the gauges
// and takes each notice once and in order, over as many connections as it needs. A run is known here until its end has
// been read, so a new connection finds all of them again.
//
// The package must never start a run twice by itself: after a break, or a move to another address of the same engine, it
// first reads the notices that it has missed.
package engine

import (
	"context"
	"encoding/base64"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/retry"
)

const (
	// maxRuns is far above what any site's cores survive; 2 KiB each as base64.
	maxRuns = 8192
	// maxGaugeAge is the longest time that one measurement covers: older gauges say nothing about now.
	maxGaugeAge = 500 * time.Millisecond
	// defaultSilenceTimeout is the time of 25 STATs: an engine that answers none of them has lost this connection,
	// whatever the socket says.
	defaultSilenceTimeout = time.Second
	// defaultHelloTimeout is longer, as the engine may start late; a break may have lost our ATTACH.
	defaultHelloTimeout = 5 * time.Second
)

// The errors of runs.
var (
	errTooManyRuns = &retry.Error{Progress: retry.NotSent, Reason: "too many runs at once"}
	errUnknown     = &retry.Error{Progress: retry.Sent, Reason: "not known to the engine"}
	errNotStarted  = &retry.Error{Progress: retry.Sent, Reason: "nothing was started"}
	errInterrupted = &retry.Error{Progress: retry.MayHaveRun, Reason: "the run was stopped"}
	errFailed      = &retry.Error{Progress: retry.MayHaveRun, Reason: "the run failed"}
	errResult      = &retry.Error{Progress: retry.MayHaveRun, Reason: "the result can't be read"}
)

// Completion is the end of a run.
type Completion struct {
	ServiceMs float64 // as the engine measured it
	Result    []byte
	Err       error // nil or a *retry.Error
}

// Link is the link to one engine. Its methods may be called from any goroutine.
type Link struct {
	log            *logrus.Entry
	onStart        func(coldStart bool, ago time.Duration)
	silenceTimeout time.Duration // without a line from the engine, after which the connection is made anew
	helloTimeout   time.Duration // the same before the first HELLO

	mu            sync.Mutex
	addr          string
	cancelAddr    context.CancelFunc // ends the connection, dial or backoff of the current address
	conn          net.Conn           // nil without a connection
	out           chan []byte        // lines to be written to conn
	helloReceived bool               // on some connection: the engine has started
	synced        bool               // all missed notices have been read on this connection: runs may be sent
	lastNotice    uint64             // number of the last notice read
	runs          map[string]*run    // that have not ended, by id
	gauges        []float64
	gaugesAt      time.Time // when they came
	lastMark      uint64
	pendingStats  map[string]chan struct{} // by mark; closed by the answer
}

// run is one run that has not ended.
type run struct {
	command   []byte // its RUN line
	callbacks []func(Completion)
	sent      bool // on some connection
	resent    bool // on more than one: that the engine does not know it now does not prove that it never ran
}

// New returns a link to the engine at addr; Serve runs it. onStart is called, from Serve's goroutine, each time that a
// connection reports how long ago the engine started.
func New(addr string, log *logrus.Entry, onStart func(coldStart bool, ago time.Duration)) *Link {
	return &Link{
		addr:           addr,
		log:            log,
		onStart:        onStart,
		silenceTimeout: defaultSilenceTimeout,
		helloTimeout:   defaultHelloTimeout,
		cancelAddr:     func() {},
		runs:           map[string]*run{},
		pendingStats:   map[string]chan struct{}{},
	}
}

// Run starts the run of an RPC and calls done once with its end. Without a connection the run waits for the next one.
func (l *Link) Run(id, method string, body []byte, done func(Completion)) {
	text := base64.StdEncoding.EncodeToString(body)
	l.mu.Lock()
	if len(l.runs) >= maxRuns {
		l.mu.Unlock()
		done(Completion{Err: errTooManyRuns})
		return
	}
	defer l.mu.Unlock()
	if r := l.runs[id]; r != nil { // the same attempt, sent to us twice: it runs once
		r.callbacks = append(r.callbacks, done)
		return
	}
	r := &run{
		command:   encodeLine(command{Type: commandRun, RunID: id, Method: method, Body: &text}),
		callbacks: []func(Completion){done},
	}
	l.runs[id] = r
	if l.synced {
		r.sent = true
		l.send(r.command)
	}
}

// Gauges asks the engine for its gauges and waits for the answer up to wait. It returns the latest known ones, or none if
// these are old, as they are after a while without a connection.
func (l *Link) Gauges(wait time.Duration) []float64 {
	l.mu.Lock()
	if !l.synced {
		defer l.mu.Unlock()
		return l.freshGauges()
	}
	mark, answered := l.sendStat()
	l.mu.Unlock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-answered:
	case <-timeout.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingStats, mark)
	return l.freshGauges()
}

func (l *Link) freshGauges() []float64 {
	if time.Since(l.gaugesAt) > maxGaugeAge {
		return nil
	}
	return l.gauges
}

// SetAddr moves the link to another address of the same engine: runs go on there, and no notice is read twice. The
// current connection ends at once, as does a dial or a backoff for the old address.
func (l *Link) SetAddr(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if addr != l.addr {
		l.addr = addr
		l.cancelAddr()
	}
}
