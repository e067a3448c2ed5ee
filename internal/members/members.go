// Package members reports to the membership service whether this server takes work. It speaks HTTP/1.1 over a connection
// that it reuses, with a parser of its own for the little that it reads.
//
// It must never hold up anything else: a service that is slow, wrong or gone costs nothing but log lines, and a report
// without an answer delays neither the next one nor a change.
package members

import (
	"context"
	"math/rand"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// reportInterval gives three reports within the 3 s after which an entry expires.
	reportInterval = 800 * time.Millisecond
	// reportTimeout is for one report, dial and answer together. One that is written late still counts within the 3 s, so
	// a service to which each dial takes seconds gets one report after the other.
	reportTimeout = 3 * reportInterval
	// maxScheduled reports are in flight at the usual interval if none is answered.
	maxScheduled = 3
	// maxInFlight adds one for a change.
	maxInFlight = maxScheduled + 1
	// minBackoff is waited after a failed report, doubling up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = reportInterval
)

// Reporter reports for one server.
type Reporter struct {
	addr    string // of the service; Serve's own
	name    string
	log     *logrus.Entry
	serving func() bool     // what to report
	ready   func() bool     // whether there is anything to report yet
	changed <-chan struct{} // has a value after serving has changed
	newAddr chan string

	// A report says what holds as it is written, not as it was begun: between the two its dial may take seconds, and
	// another report may have been written. The lock makes the order of writing that of what held.
	writeMu sync.Mutex

	interval time.Duration
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
}

// New returns a reporter to the service at addr for the server called name; Serve runs it. serving returns whether the
// server takes work, ready whether that is known yet; both may be called from several goroutines. changed has a value
// after serving has changed.
func New(addr, name string, log *logrus.Entry, serving, ready func() bool, changed <-chan struct{}) *Reporter {
	return &Reporter{
		addr:     addr,
		name:     name,
		log:      log,
		serving:  serving,
		ready:    ready,
		changed:  changed,
		newAddr:  make(chan string),
		interval: reportInterval,
		dial:     new(net.Dialer).DialContext,
	}
}

// SetAddr has all reports from now on sent to another address of the service. It waits for Serve or the end of ctx.
func (r *Reporter) SetAddr(ctx context.Context, addr string) {
	select {
	case r.newAddr <- addr:
	case <-ctx.Done():
	}
}

// Serve reports until ctx ends. Each report is an exchange of its own beside this loop, so that one without an answer
// holds up neither the next nor a change. The service may handle reports in flight in another order than they were
// written in: where one ends that said what holds no longer, what holds is reported once more.
func (r *Reporter) Serve(ctx context.Context) {
	l := &reportLoop{
		reporter: r,
		ended:    make(chan *exchange),
		backoff:  minBackoff,
		timer:    time.NewTimer(0),
	}
	defer func() { l.idle.close() }()
	defer l.exchanges.Wait()
	defer l.timer.Stop()
	for {
		change := l.owed
		select {
		case <-ctx.Done():
			return
		case addr := <-r.newAddr:
			if addr == r.addr {
				continue
			}
			r.addr = addr
			change = true
			l.idle.close()
			l.idle = nil
		case <-r.changed:
			change = true
		case <-l.timer.C:
		case x := <-l.ended:
			outdated := l.exchangeEnded(x)
			if !outdated && !l.owed {
				continue
			}
			change = true
		}
		l.report(ctx, change)
	}
}

// reportLoop is the state of Serve.
type reportLoop struct {
	reporter  *Reporter
	idle      *exchange      // whose connection can carry another report; nil for none
	inFlight  []*exchange    // the oldest first
	ended     chan *exchange // exchanges that have ended, while ctx has not
	exchanges sync.WaitGroup
	backoff   time.Duration
	timer     *time.Timer // of the next report
	owed      bool        // a change has yet to be reported
}

// exchangeEnded takes an exchange out and reports whether it said what holds no longer.
func (l *reportLoop) exchangeEnded(x *exchange) (outdated bool) {
	r := l.reporter
	l.inFlight = slices.DeleteFunc(l.inFlight, func(other *exchange) bool { return other == x })
	if x.reusable && l.idle == nil && x.addr == r.addr {
		l.idle = x
	} else {
		x.close()
	}
	if x.err == nil {
		l.backoff = minBackoff
	} else {
		r.log.WithError(x.err).Warn("members.report_failed")
		if !x.sent && x.addr == r.addr { // one that was sent may have counted: the next comes at its time
			halfToOneAndAHalf := l.backoff/2 + time.Duration(rand.Int63n(int64(l.backoff)))
			l.timer.Reset(halfToOneAndAHalf)
			l.backoff = min(maxBackoff, 2*l.backoff)
		}
	}
	return x.sent && x.serving != r.serving()
}

// report starts a report, unless enough are in flight. change means that something new is to be reported.
func (l *reportLoop) report(ctx context.Context, change bool) {
	r := l.reporter
	if !r.ready() {
		l.timer.Reset(minBackoff)
		return
	}
	l.timer.Reset(r.interval)
	if len(l.inFlight) >= maxScheduled && !change { // each ends within its timeout, and the timer comes again
		return
	}
	l.owed = len(l.inFlight) == maxInFlight
	if l.owed { // the oldest makes way, and what is owed is reported once it has ended
		l.inFlight[0].cancel()
		return
	}
	x := &exchange{addr: r.addr}
	if l.idle != nil {
		x = l.idle
		l.idle = nil
	}
	exchangeCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	x.cancel = cancel
	l.inFlight = append(l.inFlight, x)
	l.exchanges.Add(1)
	go func() {
		defer l.exchanges.Done()
		defer cancel()
		r.report(exchangeCtx, x)
		select {
		case l.ended <- x:
		case <-ctx.Done():
			x.close()
		}
	}()
}
