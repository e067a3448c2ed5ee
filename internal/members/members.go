// Package members reports to the membership service whether this server accepts RPCs. It sends HTTP/1.1 requests over a
// reused connection, and has its own minimal parser for the responses.
//
// It must never block other parts of the server: a service that is slow, faulty or unreachable causes nothing but log lines,
// and a report without a response delays neither the next periodic report nor the report of a change.
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
	// reportInterval is the time between periodic reports. It allows for three reports within the 3 s after which the service
	// expires an entry.
	reportInterval = 800 * time.Millisecond
	// reportTimeout bounds one report from dialling to the response. A report that is written late still renews the entry within
	// the 3 s, so a service to which dialling takes seconds still receives one report after the other.
	reportTimeout = 3 * reportInterval
	// maxScheduled is the number of periodic reports that are in flight if the service answers none of them.
	maxScheduled = 3
	// maxInFlight is the maximum number of reports in flight. It leaves room for one report of a change.
	maxInFlight = maxScheduled + 1
	// minBackoff is the delay after a failed report. It doubles with each further failure, up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = reportInterval
)

// Reporter reports the state of one server.
type Reporter struct {
	addr    string // address of the service; used only by Serve
	name    string
	log     *logrus.Entry
	serving func() bool     // the state to report
	ready   func() bool     // whether the state is known yet
	changed <-chan struct{} // receives a value after the result of serving has changed
	newAddr chan string

	// A report contains the state at the time at which it is written, not at which it was started: dialling may take seconds
	// in between, and another report may have been written. The lock covers reading the state and writing the report, so that
	// reports are written in the order of the states.
	writeMu sync.Mutex

	interval time.Duration
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
}

// New returns a reporter to the service at addr for the server with the given name. Serve runs it. serving returns whether the
// server accepts RPCs, and ready whether that is known yet; both must be safe for concurrent use. changed receives a value
// after the result of serving has changed.
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

// SetAddr sets the address of the service for all further reports. It blocks until Serve has received the address or ctx ends.
func (r *Reporter) SetAddr(ctx context.Context, addr string) {
	select {
	case r.newAddr <- addr:
	case <-ctx.Done():
	}
}

// Serve reports until ctx ends. Each report runs in its own goroutine, so that one without a response delays neither the next
// periodic report nor the report of a change. The service may process concurrent reports in another order than the one in
// which they were written. If a report ends whose state is outdated by then, the current state is therefore reported once
// more.
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
		change := l.changePending
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
			if !outdated && !l.changePending {
				continue
			}
			change = true
		}
		l.report(ctx, change)
	}
}

// reportLoop is the state of Serve.
type reportLoop struct {
	reporter      *Reporter
	idle          *exchange      // a finished exchange whose connection can be reused; nil if there is none
	inFlight      []*exchange    // the oldest first
	ended         chan *exchange // receives exchanges that have ended, until ctx ends
	exchanges     sync.WaitGroup
	backoff       time.Duration
	timer         *time.Timer // fires at the next periodic report
	changePending bool        // a change has yet to be reported
}

// exchangeEnded removes an exchange that has ended. outdated is true if the exchange reported a state that is no longer current.
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
		if !x.sent && x.addr == r.addr { // a report that was sent may have been processed; the next one follows at the usual interval
			// 0.5 to 1.5 times the backoff.
			jitteredBackoff := l.backoff/2 + time.Duration(rand.Int63n(int64(l.backoff)))
			l.timer.Reset(jitteredBackoff)
			l.backoff = min(maxBackoff, 2*l.backoff)
		}
	}
	return x.sent && x.serving != r.serving()
}

// report starts a report unless enough are in flight. change means that there is a change to report.
func (l *reportLoop) report(ctx context.Context, change bool) {
	r := l.reporter
	if !r.ready() {
		l.timer.Reset(minBackoff)
		return
	}
	l.timer.Reset(r.interval)
	if len(l.inFlight) >= maxScheduled && !change { // each ends within its timeout, and the timer fires again
		return
	}
	l.changePending = len(l.inFlight) == maxInFlight
	if l.changePending { // cancel the oldest report; the pending change is reported once it has ended
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
