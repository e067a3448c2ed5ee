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
	Serve()                                           // reads until the end, and closes by ConnState.Finish
	Room(now time.Time) (how Readily, last time.Time) // how readily it is given up, and when something last passed
	Evict(last time.Time)                             // has it closed unless something has passed since
	Retire(idle, lingers time.Duration)               // has it closed in its protocol's way once it has been idle so long, or told
	Closing()                                         // no more RPCs are wanted on it
	Cut(by time.Time)                                 // all on it is over by then
}

// Table holds the connections of all fronts.
type Table struct {
	idle func() time.Duration
	log  *logrus.Entry

	beforeLast func() // a test's: called between the end of the last accept and the last look

	withheld atomic.Int32  // permits that are never used, as descriptors ran out
	permits  chan struct{} // a semaphore: one for each connection that may be open
	over     atomic.Bool   // no more RPCs are wanted: every connection is told so
	closed   chan struct{} // once nothing is accepted any more

	mu        sync.Mutex
	listeners []*net.TCPListener
	accepting int
	conns     map[Conn]struct{}
	wg        sync.WaitGroup
}

const (
	// reserved descriptors: the listener, the engine, the membership service, the three standard ones and what
	// the runtime keeps make ten; the rest is for the moments in which a closed one is not yet gone, and for
	// the listener of a second front.
	reserved = 24
	// leastOpen connections are allowed, however few descriptors there are: fewer serve nobody.
	leastOpen = 8
	// sweepEvery is how often idle connections are looked for: a tenth of the shortest idle time in use.
	sweepEvery = 100 * time.Millisecond
	// roomPause is waited for a connection to make room before the next one is looked for.
	roomPause = 10 * time.Millisecond
	// acceptPause follows an error of accept, which would else come again at once.
	acceptPause = 20 * time.Millisecond
	// restEvery is how often a shutdown looks for connections that rest: a tenth of Crossing.
	restEvery = Crossing / 10
	// cutTime is what is left of a shutdown for closing connections as its time is over: on one machine a peer's end
	// comes back in well under a millisecond, and the process has to be gone 20 ms after that.
	cutTime = 10 * time.Millisecond
	// LastAccept is how long connections are still accepted once no more are wanted. The listening socket is
	// closed right after a look that found none: the machine may have accepted one that we have not yet, and
	// what is written to that would be lost.
	LastAccept = 5 * time.Millisecond
)

// NewTable returns a table for a process that may hold so many descriptors; idle tells how long a connection may
// carry nothing.
func NewTable(sockets int, idle func() time.Duration, log *logrus.Entry) *Table {
	return &Table{
		idle: idle, log: log, beforeLast: func() {}, closed: make(chan struct{}),
		permits: make(chan struct{}, max(leastOpen, sockets-reserved)), conns: map[Conn]struct{}{},
	}
}

// Over tells whether no more RPCs are wanted.
func (t *Table) Over() bool { return t.over.Load() }

// Listen adds the listening socket of a front, whose connections are made by open. It does not block. It must not
// be called after Shutdown.
func (t *Table) Listen(ln *net.TCPListener, open func(net.Conn) Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, ln)
	if t.accepting++; t.accepting == 1 {
		go t.sweep()
	}
	go t.accept(ln, open)
}

func (t *Table) accept(ln *net.TCPListener, open func(net.Conn) Conn) {
	defer func() {
		ln.Close()
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.accepting--; t.accepting == 0 {
			close(t.closed)
		}
	}()
	for {
		t.acquire()
		if t.over.Load() { // one may have waited for its permit: a deadline that is past would pass it over
			ln.SetDeadline(time.Now().Add(LastAccept))
		}
		nc, err := ln.Accept()
		if err != nil {
			<-t.permits
			if !errors.Is(err, os.ErrDeadlineExceeded) || !t.over.Load() {
				t.log.WithError(err).Warn("server: accept failed")
				if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
					t.withhold()
				}
				time.Sleep(acceptPause)
				continue
			}
			t.beforeLast()
			if nc = last(ln); nc == nil {
				return
			}
			t.acquire()
		}
		c := open(nc)
		t.mu.Lock()
		t.conns[c] = struct{}{}
		t.mu.Unlock()
		t.wg.Add(1)
		go func() {
			c.Serve()
			t.mu.Lock()
			delete(t.conns, c)
			t.mu.Unlock()
			<-t.permits
			t.wg.Done()
		}()
	}
}

// withhold lowers the limit for good to what is open now less reserved, and evicts down to that. It guards against
// descriptors that run out before the limit: without it accept would take each one that comes free, and the reporter and the
// engine's link, which the server can't do without, would get none.
func (t *Table) withhold() {
	n := min(cap(t.permits)-len(t.permits)+reserved, cap(t.permits)-leastOpen-int(t.withheld.Load()))
	for range n {
		if t.over.Load() {
			return
		}
		t.acquire()
		t.withheld.Add(1)
	}
	t.log.WithField("most", cap(t.permits)-int(t.withheld.Load())).Warn("server: descriptors ran out, fewer connections from now on")
}

// last accepts a connection that the machine has accepted and that is waiting, if there is one. An Accept that ends by its
// deadline has not looked: closing the socket then would reset one that came with the deadline.
func last(ln *net.TCPListener) net.Conn {
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
func (t *Table) acquire() {
	select {
	case t.permits <- struct{}{}:
		return
	default:
		t.log.WithField("most", cap(t.permits)).Warn("server: connection limit reached")
	}
	for {
		t.EvictSome()
		select {
		case t.permits <- struct{}{}:
			return
		case <-time.After(roomPause):
		}
	}
}

// sweep closes connections that have carried nothing for as long as idle says.
func (t *Table) sweep() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-t.closed:
			return
		case <-tick.C:
		}
		idle := t.idle()
		for _, c := range t.All() {
			c.Retire(idle, Lingers)
		}
	}
}

// EvictMost is how many connections one look gives up: a crowd comes by hundreds, and a look at each of all
// connections for each new one took a fifth of the server's time.
const EvictMost = 16

// endingMost is how many idle connections may be on their way out at once: each takes lingerEvicted where its peer does
// not close, so eighty new ones a second get in however many rest.
const endingMost = 4

// EvictSome gives up the connections that are missed least. Those that were never of use go first, however many: else
// a crowd of them would keep sound peers out. Without any, it is the one that has been idle for longest.
func (t *Table) EvictSome() {
	var longest Conn
	var since time.Time
	given, ending, wait, now := 0, 0, false, time.Now()
	for _, c := range t.All() {
		readily, last := c.Room(now)
		switch {
		case readily == Useless && given < EvictMost:
			c.Evict(last)
			given++
		case readily == Young:
			wait = true
		case readily == Ending:
			ending++
		case readily == Idle && (longest == nil || last.Before(since)):
			longest, since = c, last
		}
	}
	if given == 0 && ending < endingMost && !wait && longest != nil {
		longest.Evict(since)
	}
}

// All is the connections that are open.
func (t *Table) All() []Conn {
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
func (t *Table) Shutdown(ctx context.Context) {
	t.over.Store(true)
	t.mu.Lock()
	for _, ln := range t.listeners {
		ln.SetDeadline(time.Now().Add(LastAccept))
	}
	none := len(t.listeners) == 0
	t.mu.Unlock()
	for _, c := range t.All() {
		c.Closing()
	}
	rest := time.Now().Add(Lingers)
	if by, ok := ctx.Deadline(); ok {
		rest = time.Now().Add(min(Lingers, time.Until(by)/2))
	}
	done := make(chan struct{})
	go func() {
		if !none {
			<-t.closed
		}
		t.wg.Wait()
		close(done)
	}()
	look := time.NewTicker(restEvery)
	defer look.Stop()
	for {
		select {
		case <-done:
			return
		case <-look.C:
			lingers := Lingers
			if time.Now().After(rest) {
				lingers = Crossing
			}
			for _, c := range t.All() {
				c.Retire(0, lingers)
			}
			continue
		case <-ctx.Done():
		}
		break
	}
	by := time.Now().Add(cutTime)
	for _, c := range t.All() {
		c.Cut(by)
	}
	last := time.NewTimer(cutTime + cutTime/2)
	defer last.Stop()
	select {
	case <-done:
	case <-last.C:
	}
}
