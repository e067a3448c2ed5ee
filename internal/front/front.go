// Package front keeps what all fronts share: the table of connections, whatever protocol they speak, the loop that
// accepts them, and who goes when there is no room. The limit on descriptors counts once over all fronts. It must
// never look at what passes on a connection, nor decide anything about an RPC.
package front

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Conn is one connection of a front.
type Conn interface {
	Serve()                                                             // reads until the end, and closes by ConnState.Finish
	EvictionPriority(now time.Time) (how EvictionClass, last time.Time) // how readily it is given up, and when something last passed
	Evict(last time.Time)                                               // has it closed unless something has passed since
	CloseIdle(idle, lingers time.Duration)                              // has it closed in its protocol's way once it has been idle so long, or told
	GoAway()                                                            // no more RPCs are wanted on it
	Abort(by time.Time)                                                 // all on it is over by then
}

// Table holds the connections of all fronts.
type ConnTable struct {
	idleTimeout func() time.Duration
	log         *logrus.Entry

	beforeLastAccept func() // a test's: called between the end of the last accept and the last look

	withheldPermits atomic.Int32  // permits that are never used, as descriptors ran out
	permits         chan struct{} // a semaphore: one for each connection that may be open
	shuttingDown    atomic.Bool   // no more RPCs are wanted: every connection is told so
	acceptorsDone   chan struct{} // once nothing is accepted any more

	mu        sync.Mutex
	listeners []*net.TCPListener
	acceptors int
	conns     map[Conn]struct{}
	serving   sync.WaitGroup
}

const (
	// reserved descriptors: the listener, the engine, the membership service, the three standard ones and what
	// the runtime keeps make ten; the rest is for the moments in which a closed one is not yet gone, and for
	// the listener of a second front.
	reservedDescriptors = 24
	// leastOpen connections are allowed, however few descriptors there are: fewer serve nobody.
	minConnections = 8
	// sweepEvery is how often idle connections are looked for: a tenth of the shortest idle time in use.
	idleCheckInterval = 100 * time.Millisecond
	// roomPause is waited for a connection to make room before the next one is looked for.
	evictionPause = 10 * time.Millisecond
	// acceptPause follows an error of accept, which would else come again at once.
	acceptBackoff = 20 * time.Millisecond
	// restEvery is how often a shutdown looks for connections that rest: a tenth of Crossing.
	drainPollInterval = TransitTime / 10
	// cutTime is what is left of a shutdown for closing connections as its time is over: on one machine a peer's end
	// comes back in well under a millisecond, and the process has to be gone 20 ms after that.
	abortTimeout = 10 * time.Millisecond
	// LastAccept is how long connections are still accepted once no more are wanted. The listening socket is
	// closed right after a look that found none: the machine may have accepted one that we have not yet, and
	// what is written to that would be lost.
	AcceptGrace = 5 * time.Millisecond
)

// NewTable returns a table for a process that may hold so many descriptors; idle tells how long a connection may
// carry nothing.
func NewConnTable(sockets int, idle func() time.Duration, log *logrus.Entry) *ConnTable {
	return &ConnTable{
		idleTimeout: idle, log: log, beforeLastAccept: func() {}, acceptorsDone: make(chan struct{}),
		permits: make(chan struct{}, max(minConnections, sockets-reservedDescriptors)), conns: map[Conn]struct{}{},
	}
}

// Over tells whether no more RPCs are wanted.
func (t *ConnTable) ShuttingDown() bool { return t.shuttingDown.Load() }

// Listen adds the listening socket of a front, whose connections are made by open. It does not block. It must not
// be called after Shutdown.
func (t *ConnTable) AddListener(ln *net.TCPListener, open func(net.Conn) Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, ln)
	if t.acceptors++; t.acceptors == 1 {
		go t.closeIdleConns()
	}
	go t.accept(ln, open)
}

func (t *ConnTable) accept(ln *net.TCPListener, open func(net.Conn) Conn) {
	defer func() {
		ln.Close()
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.acceptors--; t.acceptors == 0 {
			close(t.acceptorsDone)
		}
	}()
	for {
		t.acquire()
		if t.shuttingDown.Load() { // one may have waited for its permit: a deadline that is past would pass it over
			ln.SetDeadline(time.Now().Add(AcceptGrace))
		}
		nc, err := ln.Accept()
		if err != nil {
			<-t.permits
			if !errors.Is(err, os.ErrDeadlineExceeded) || !t.shuttingDown.Load() {
				t.log.WithError(err).Warn("server: accept failed")
				if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
					t.withholdPermits()
				}
				time.Sleep(acceptBackoff)
				continue
			}
			t.beforeLastAccept()
			if nc = acceptPending(ln); nc == nil {
				return
			}
			t.acquire()
		}
		c := open(nc)
		t.mu.Lock()
		t.conns[c] = struct{}{}
		t.mu.Unlock()
		t.serving.Add(1)
		go func() {
			c.Serve()
			t.mu.Lock()
			delete(t.conns, c)
			t.mu.Unlock()
			<-t.permits
			t.serving.Done()
		}()
	}
}

// withhold lowers the limit for good to what is open now less reserved, and evicts down to that. It guards against
// descriptors that run out before the limit: without it accept would take each one that comes free, and the reporter and the
// engine's link, which the server can't do without, would get none.
func (t *ConnTable) withholdPermits() {
	n := min(cap(t.permits)-len(t.permits)+reservedDescriptors, cap(t.permits)-minConnections-int(t.withheldPermits.Load()))
	for range n {
		if t.shuttingDown.Load() {
			return
		}
		t.acquire()
		t.withheldPermits.Add(1)
	}
	t.log.WithField("most", cap(t.permits)-int(t.withheldPermits.Load())).Warn("server: descriptors ran out, fewer connections from now on")
}

// last accepts a connection that the machine has accepted and that is waiting, if there is one. An Accept that ends by its
// deadline has not looked: closing the socket then would reset one that came with the deadline.
func acceptPending(ln *net.TCPListener) net.Conn {
	raw, err := ln.SyscallConn()
	if err != nil {
		return nil
	}
	fd, no := -1, error(syscall.EINTR)
	if err = raw.Control(func(l uintptr) {
		for errors.Is(no, syscall.EINTR) || errors.Is(no, syscall.ECONNABORTED) {
			fd, _, no = syscall.Accept4(int(l), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		}
	}); err != nil || no != nil {
		return nil
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	nc, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return nc
}

// acquire waits for a permit for one more connection.
func (t *ConnTable) acquire() {
	select {
	case t.permits <- struct{}{}:
		return
	default:
		t.log.WithField("most", cap(t.permits)).Warn("server: connection limit reached")
	}
	for {
		t.Evict()
		select {
		case t.permits <- struct{}{}:
			return
		case <-time.After(evictionPause):
		}
	}
}

// sweep closes connections that have carried nothing for as long as idle says.
func (t *ConnTable) closeIdleConns() {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.acceptorsDone:
			return
		case <-tick.C:
		}
		idle := t.idleTimeout()
		for _, c := range t.Conns() {
			c.CloseIdle(idle, LingerTimeout)
		}
	}
}

// EvictMost is how many connections one look gives up: a crowd comes by hundreds, and a look at each of all
// connections for each new one took a fifth of the server's time.
const MaxEvictions = 16

// endingMost is how many idle connections may be on their way out at once: each takes lingerEvicted where its peer does
// not close, so eighty new ones a second get in however many rest.
const maxClosingIdle = 4

// EvictSome gives up the connections that are missed least. Those that were never of use go first, however many: else
// a crowd of them would keep sound peers out. Without any, it is the one that has been idle for longest.
func (t *ConnTable) Evict() {
	var longest Conn
	var since time.Time
	given, ending, wait, now := 0, 0, false, time.Now()
	for _, c := range t.Conns() {
		readily, last := c.EvictionPriority(now)
		switch {
		case readily == Unused && given < MaxEvictions:
			c.Evict(last)
			given++
		case readily == AwaitingFirstMessage:
			wait = true
		case readily == Closing:
			ending++
		case readily == Idle && (longest == nil || last.Before(since)):
			longest, since = c, last
		}
	}
	if given == 0 && ending < maxClosingIdle && !wait && longest != nil {
		longest.Evict(since)
	}
}

// All is the connections that are open.
func (t *ConnTable) Conns() []Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Conn, 0, len(t.conns))
	for c := range t.conns {
		all = append(all, c)
	}
	return all
}

// Shutdown stops accepting, asks for no more RPCs on any connection, and waits until all that was read has been answered and
// the connections are closed, or ctx ends. A peer that rests on its connection is waited for half of the time; then the
// connection is closed from here, so that there is time left to read what crosses that. What is left as ctx ends is closed
// within cutTime.
func (t *ConnTable) Shutdown(ctx context.Context) {
	t.shuttingDown.Store(true)
	t.mu.Lock()
	for _, ln := range t.listeners {
		ln.SetDeadline(time.Now().Add(AcceptGrace))
	}
	none := len(t.listeners) == 0
	t.mu.Unlock()
	for _, c := range t.Conns() {
		c.GoAway()
	}
	rest := time.Now().Add(LingerTimeout)
	if by, ok := ctx.Deadline(); ok {
		rest = time.Now().Add(min(LingerTimeout, time.Until(by)/2))
	}
	done := make(chan struct{})
	go func() {
		if !none {
			<-t.acceptorsDone
		}
		t.serving.Wait()
		close(done)
	}()
	look := time.NewTicker(drainPollInterval)
	defer look.Stop()
	for {
		select {
		case <-done:
			return
		case <-look.C:
			lingers := LingerTimeout
			if time.Now().After(rest) {
				lingers = TransitTime
			}
			for _, c := range t.Conns() {
				c.CloseIdle(0, lingers)
			}
			continue
		case <-ctx.Done():
		}
		break
	}
	by := time.Now().Add(abortTimeout)
	for _, c := range t.Conns() {
		c.Abort(by)
	}
	last := time.NewTimer(abortTimeout + abortTimeout/2)
	defer last.Stop()
	select {
	case <-done:
	case <-last.C:
	}
}
