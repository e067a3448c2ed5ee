// Package engine maintains the link to the engine, which executes RPCs. It attaches to the engine, starts runs, requests the
// gauges and handles each notice once and in order, across any number of connections. The link keeps a run until it has read
// the end of the run, so that a new connection can resume all runs.
//
// The package must never start a run twice by itself: after a lost connection, or a change to another address of the same
// engine, it first reads the notices that it has missed.
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
	// maxRuns is the limit of concurrent runs, far above what the cores of any site can sustain. Each takes 2 KiB as base64.
	maxRuns = 8192
	// maxGaugeAge is the longest interval that a measurement covers. Older gauges do not describe the current load.
	maxGaugeAge = 500 * time.Millisecond
	// defaultSilenceTimeout is the time in which 25 STATs are sent: if the engine answers none of them, the connection is
	// lost even if the socket reports no error.
	defaultSilenceTimeout = time.Second
	// defaultHelloTimeout is longer because the engine may start late. It is needed because an ATTACH may have been lost with a
	// broken connection.
	defaultHelloTimeout = 5 * time.Second
)

// The errors of runs.
var (
	errTooManyRuns = &retry.Error{Progress: retry.NotSent, Reason: "too many concurrent runs"}
	errUnknown     = &retry.Error{Progress: retry.Sent, Reason: "the engine does not know the run"}
	errNotStarted  = &retry.Error{Progress: retry.Sent, Reason: "the engine did not start the run"}
	errInterrupted = &retry.Error{Progress: retry.MayHaveRun, Reason: "the run was interrupted"}
	errFailed      = &retry.Error{Progress: retry.MayHaveRun, Reason: "the run failed"}
	errResult      = &retry.Error{Progress: retry.MayHaveRun, Reason: "the result is not valid base64"}
)

// Completion is the end of a run.
type Completion struct {
	ServiceMs float64 // as measured by the engine
	Result    []byte
	Err       error // nil or a *retry.Error
}

// Link is the link to one engine. Its methods are safe for concurrent use.
type Link struct {
	log            *logrus.Entry
	onStart        func(coldStart bool, ago time.Duration)
	silenceTimeout time.Duration // time without a line from the engine after which a new connection is made
	helloTimeout   time.Duration // the same before the first HELLO

	mu            sync.Mutex
	addr          string
	cancelAddr    context.CancelFunc // cancels the connection, dial or backoff for the current address
	conn          net.Conn           // nil without a connection
	out           chan []byte        // lines to write to conn
	helloReceived bool               // a HELLO was received on any connection: the engine has started
	synced        bool               // all missed notices have been read on this connection, so runs may be sent
	lastNotice    uint64             // number of the last notice read
	runs          map[string]*run    // runs that have not ended, by run ID
	gauges        []float64
	gaugesAt      time.Time                // time at which gauges were received
	lastMark      uint64                   // mark of the last STAT
	pendingStats  map[string]chan struct{} // by mark; the channel is closed when the answer arrives
}

// run is a run that has not ended.
type run struct {
	command   []byte // the RUN line
	callbacks []func(Completion)
	sent      bool // the RUN line was sent on some connection
	resent    bool // sent on more than one: the RPC may have run even if the engine does not know the run any more
}

// New returns a link to the engine at addr; Serve operates it. onStart is called in the goroutine of Serve whenever a
// connection reports how long ago the engine started and whether that was a cold start.
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

// Run starts the run of an RPC and calls done exactly once, when the run ends. Without a connection the run waits for the next
// one.
func (l *Link) Run(id, method string, body []byte, done func(Completion)) {
	text := base64.StdEncoding.EncodeToString(body)
	l.mu.Lock()
	if len(l.runs) >= maxRuns {
		l.mu.Unlock()
		done(Completion{Err: errTooManyRuns})
		return
	}
	defer l.mu.Unlock()
	if r := l.runs[id]; r != nil { // the same attempt was submitted twice and runs once
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

// Gauges requests the engine's gauges and waits at most wait for the answer. It returns the latest gauges, or nil if these are
// older than maxGaugeAge, as they are after some time without a connection.
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

// SetAddr changes the address of the engine, which must be the same engine: its runs continue, and no notice is handled twice.
// The current connection, dial or backoff for the old address ends immediately.
func (l *Link) SetAddr(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if addr != l.addr {
		l.addr = addr
		l.cancelAddr()
	}
}
