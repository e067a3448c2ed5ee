// Package engine keeps the link to the engine, which does the work: it attaches, starts runs, asks for the
// gauges and takes each notice once and in order, over as many links as it needs. What runs is known here
// until its end has been read, so a new link finds all of it again. It must never start a run twice by itself:
// after a break, or a move to another address of the same engine, it first reads the notices that it has missed.
package engine

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"math"
	"math/rand"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/retry"
)

var (
	errTooManyRuns = &retry.Error{Progress: retry.NotSent, Reason: "too many runs at once"}
	errUnknown     = &retry.Error{Progress: retry.Sent, Reason: "not known to the engine"}
	errNotStarted  = &retry.Error{Progress: retry.Sent, Reason: "nothing was started"}
	errInterrupted = &retry.Error{Progress: retry.MayHaveRun, Reason: "the run was stopped"}
	errFailed      = &retry.Error{Progress: retry.MayHaveRun, Reason: "the run failed"}
	errResult      = &retry.Error{Progress: retry.MayHaveRun, Reason: "the result can't be read"}
)

// End is the end of a run: a result, or an error that is a *retry.Error.
type Completion struct {
	ServiceTime float64 // ms
	Result      []byte
	Err         error
}

const (
	maxRuns               = 8192                    // far above what any site's cores survive; 2 KiB each as base64
	maxLineBytes          = 64 << 10                // a result of 4 KiB takes 6 KB as base64; anything near this is no notice
	dialTimeout           = time.Second             // the engine is on the same machine
	writeTimeout          = 2 * time.Second         // for one write; an engine that reads nothing for so long is gone
	maxQueuedLines        = maxRuns + 256           // lines not written yet: all that runs, after a break, and some ticks' STATs
	minBackoff            = 5 * time.Millisecond    // before the first new link: RPCs wait for it
	maxBackoff            = 500 * time.Millisecond  // and at most, while there is no engine
	maxStartAgeMs         = 1e12                    // ms: thirty years
	defaultSilenceTimeout = time.Second             // an engine that answers none of 25 STATs has lost this link, whatever the socket says
	defaultHelloTimeout   = 5 * time.Second         // a link without a HELLO: the engine may start late, or our ATTACH was lost with a break
	maxGaugeAge           = 500 * time.Millisecond  // older gauges tell nothing of now: the longest time that one of them covers
	stableAge             = 1000 * time.Millisecond // a link that has lived so long was a good one: begin with minWait again
)

// Link is the link to one engine.
type Link struct {
	log            *logrus.Entry
	onStart        func(cold bool, ago time.Duration)
	silenceTimeout time.Duration // a link on which the engine says nothing for so long is lost
	helloTimeout   time.Duration // and one that brings no first HELLO for so long is made anew, which replaces it

	mu            sync.Mutex
	addr          string
	cancelAddr    context.CancelFunc // ends what goes on with the address as it was
	conn          net.Conn           // nil without a link
	out           chan []byte        // lines to be written on it
	helloReceived bool               // the engine has started: it has said so on some link
	synced        bool               // all missed notices of this link have been read: runs may be sent
	lastNotice    uint64
	runs          map[string]*run
	gauges        []float64
	gaugesAt      time.Time // when these came
	lastMark      uint64
	pendingStats  map[string]chan struct{}
}

// run is one run that has not ended.
type run struct {
	command   []byte
	callbacks []func(Completion)
	sent      bool // on some link
	resent    bool // on more than one: that it is not known now does not prove that it never ran
}

// New returns a link to the engine at addr. begun is called each time that a link hears when the engine started.
func New(addr string, log *logrus.Entry, begun func(cold bool, ago time.Duration)) *Link {
	return &Link{
		addr: addr, log: log, onStart: begun, silenceTimeout: defaultSilenceTimeout, helloTimeout: defaultHelloTimeout, cancelAddr: func() {},
		runs: map[string]*run{}, pendingStats: map[string]chan struct{}{},
	}
}

type command struct {
	T     string  `json:"t"`
	No    *uint64 `json:"no,omitempty"`
	Rid   string  `json:"rid,omitempty"`
	Route string  `json:"route,omitempty"`
	B64   *string `json:"b64,omitempty"`
	Mark  string  `json:"mark,omitempty"`
}

type notice struct {
	T      string    `json:"t"`
	No     uint64    `json:"no"`
	Rid    string    `json:"rid"`
	Status string    `json:"status"`
	TimeMs float64   `json:"time_ms"`
	B64    string    `json:"b64"`
	Mark   string    `json:"mark"`
	V      []float64 `json:"v"`
}

func encodeLine(c command) []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // plain strings and numbers always marshal
	}
	return append(b, '\n')
}

// Run starts the run of an RPC and calls done once with its end. Without a link it waits for the next one.
func (l *Link) Run(id, method string, body []byte, done func(Completion)) {
	text := base64.StdEncoding.EncodeToString(body)
	l.mu.Lock()
	if len(l.runs) >= maxRuns {
		l.mu.Unlock()
		done(Completion{Err: errTooManyRuns})
		return
	}
	defer l.mu.Unlock()
	if r := l.runs[id]; r != nil { // the same try, sent to us twice: it runs once
		r.callbacks = append(r.callbacks, done)
		return
	}
	r := &run{command: encodeLine(command{T: "RUN", Rid: id, Route: method, B64: &text}), callbacks: []func(Completion){done}}
	l.runs[id] = r
	if l.synced {
		r.sent = true
		l.send(r.command)
	}
}

// Gauges asks for the gauges and waits for them a little; then the latest known are returned, or none if these are
// old, as they are after a while without a link.
func (l *Link) Gauges(wait time.Duration) []float64 {
	l.mu.Lock()
	if !l.synced {
		defer l.mu.Unlock()
		return l.freshGauges()
	}
	mark, heard := l.sendStat()
	l.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-heard:
	case <-t.C:
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

// stat sends a STAT and returns its mark and what its answer closes.
func (l *Link) sendStat() (string, chan struct{}) {
	l.lastMark++
	mark, heard := strconv.FormatUint(l.lastMark, 36), make(chan struct{})
	l.pendingStats[mark] = heard
	l.send(encodeLine(command{T: "STAT", Mark: mark}))
	return mark, heard
}

// send queues one line, as an engine that stalls must hold up neither the clock nor an RPC. A link on which the
// queue is full is ended: the next one sends again what runs.
func (l *Link) send(b []byte) {
	if l.conn == nil {
		return
	}
	select {
	case l.out <- b:
	default:
		l.conn.Close()
	}
}

// write writes what is queued until the queue ends. An error ends the link; the next one starts over.
func writeQueued(conn net.Conn, out <-chan []byte) {
	var err error
	for b := range out {
		if err == nil {
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err = conn.Write(b); err != nil {
				conn.Close()
			}
		}
	}
}

// Serve keeps the link until ctx ends.
func (l *Link) Serve(ctx context.Context) {
	wait := minBackoff
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		l.mu.Lock()
		addr := l.addr
		l.cancelAddr = leave
		l.mu.Unlock()
		since := time.Now()
		err := l.serveConn(here, addr)
		switch {
		case ctx.Err() != nil:
		case here.Err() != nil: // moved: RPCs wait for the new link, so there is no pause before it
			wait = minBackoff
		default:
			if time.Since(since) > stableAge {
				wait = minBackoff
			}
			l.log.WithError(err).Warn("engine: link lost")
			sleepContext(here, wait+time.Duration(rand.Int63n(int64(wait))))
			wait = min(maxBackoff, 2*wait)
		}
		leave()
	}
}

// Move makes the link anew at another address of the same engine: what runs goes on there, and no notice is read
// twice. The link as it was ends at once, as are a dial and a pause that were for the old address.
func (l *Link) SetAddr(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if addr != l.addr {
		l.addr = addr
		l.cancelAddr()
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (l *Link) serveConn(ctx context.Context, addr string) error {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	written := make(chan struct{})
	defer func() { <-written }() // once what follows has closed the connection and the queue
	defer func() {
		l.mu.Lock()
		close(l.out)
		l.conn, l.synced = nil, false
		for mark := range l.pendingStats {
			l.releaseStat(mark)
		}
		l.mu.Unlock()
		conn.Close()
	}()
	l.mu.Lock()
	l.conn, l.out = conn, make(chan []byte, maxQueuedLines)
	go func(out <-chan []byte) {
		writeQueued(conn, out)
		close(written)
	}(l.out)
	last := l.lastNotice
	l.send(encodeLine(command{T: "ATTACH", No: &last}))
	l.mu.Unlock()
	in := bufio.NewReaderSize(conn, maxLineBytes)
	for {
		l.mu.Lock()
		wait := l.silenceTimeout
		if !l.helloReceived { // the engine may have yet to start
			wait = l.helloTimeout
		}
		conn.SetReadDeadline(time.Now().Add(wait))
		l.mu.Unlock()
		b, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		l.handleLine(b)
	}
}

// read handles one line of the engine's. What can't be read is logged and passed over.
func (l *Link) handleLine(b []byte) {
	var n notice
	if err := json.Unmarshal(b, &n); err != nil {
		l.log.WithError(err).Warn("engine: unreadable line")
		return
	}
	l.mu.Lock()
	if n.No > 0 {
		if n.No <= l.lastNotice {
			l.mu.Unlock()
			return // read before the break
		}
		l.lastNotice = n.No
	}
	switch n.T {
	case "HELLO":
		l.helloReceived = true
		l.sendStat() // its answer comes behind the notices that were missed
		l.mu.Unlock()
		l.log.WithFields(logrus.Fields{"status": n.Status, "ms": n.TimeMs}).Info("engine: attached")
		ago := math.Min(math.Max(n.TimeMs, 0), maxStartAgeMs)
		l.onStart(n.Status == "booting", time.Duration(ago*float64(time.Millisecond)))
		return
	case "STATS":
		l.gauges, l.gaugesAt = n.V, time.Now()
		l.statAnswered(n.Mark)
	case "NO":
		if n.Rid == "" {
			l.statAnswered(n.Mark) // no gauges here
			l.mu.Unlock()
			l.log.WithField("command", n.Status).Warn("engine: command not carried out")
			return
		}
		l.log.WithFields(logrus.Fields{"command": n.Status, "rid": n.Rid}).Warn("engine: run not carried out")
		e := Completion{Err: errUnknown}
		if r := l.runs[n.Rid]; r != nil && r.resent {
			e.Err = errInterrupted
		}
		l.complete(n.Rid, e)
		return
	case "DONE":
		e := Completion{ServiceTime: n.TimeMs}
		switch n.Status {
		case "success":
			var err error
			if e.Result, err = base64.StdEncoding.DecodeString(n.B64); err != nil {
				e.Err = errResult
				l.log.WithField("rid", n.Rid).WithError(err).Warn("engine: unreadable result")
			}
		case "interrupted":
			e.Err = errInterrupted
		case "nothing":
			e.Err = errNotStarted
			if r := l.runs[n.Rid]; r != nil && r.resent { // the first command may have had its end told beyond what is kept
				e.Err = errInterrupted
			}
		default:
			e.Err = errFailed
		}
		l.complete(n.Rid, e)
		return
	case "NOTE":
	default:
		l.log.WithField("line", n.T).Warn("engine: unknown line")
	}
	l.mu.Unlock()
}

// answered books the answer to a STAT. After the first on a link, all that runs is sent on it.
func (l *Link) statAnswered(mark string) {
	l.releaseStat(mark)
	if l.synced {
		return
	}
	l.synced = true
	ids := make([]string, 0, len(l.runs))
	for id := range l.runs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := l.runs[id]
		r.resent, r.sent = r.sent, true
		l.send(r.command)
	}
}

// heard ends the wait for the answer to a STAT.
func (l *Link) releaseStat(mark string) {
	if c := l.pendingStats[mark]; c != nil {
		close(c)
		delete(l.pendingStats, mark)
	}
}

// end takes a run out and tells those that wait for it. It is called with the lock held and gives it back.
func (l *Link) complete(id string, e Completion) {
	r := l.runs[id]
	delete(l.runs, id)
	l.mu.Unlock()
	if r == nil {
		return
	}
	for _, done := range r.callbacks {
		done(e)
	}
}
