package front

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// reservedDescriptors are not available to connections. The listener, the engine, the membership service, the three
	// standard ones and what the runtime keeps make ten; the rest is for closed connections that are not gone yet, and
	// for the listener of a second front.
	reservedDescriptors = 24
	// minConnections are allowed, however few descriptors there are: fewer serve nobody.
	minConnections = 8
	// acceptBackoff follows an error of accept, which would else come again at once.
	acceptBackoff = 20 * time.Millisecond
	// AcceptGrace is how long connections are still accepted after a shutdown began. The listening socket is closed
	// right after an accept that found none: the kernel may have accepted a connection that this process has not yet,
	// and what is written to that would be lost.
	AcceptGrace = 5 * time.Millisecond
)

// ConnTable holds the connections of all fronts. Its methods may be called from any goroutine.
type ConnTable struct {
	idleTimeout func() time.Duration
	log         *logrus.Entry

	beforeLastAccept func() // test hook, called between the timeout of the last accept and acceptPending

	permits         chan struct{} // semaphore: one token for each connection that may be open
	withheldPermits atomic.Int32  // tokens that are never used again, as descriptors ran out
	shuttingDown    atomic.Bool
	acceptorsDone   chan struct{} // closed once nothing is accepted any more

	mu        sync.Mutex
	listeners []*net.TCPListener
	acceptors int
	conns     map[Conn]struct{}
	serving   sync.WaitGroup // one for each connection
}

// NewConnTable returns a table for a process that may hold so many descriptors for sockets. idleTimeout returns how
// long a connection may carry nothing; it is called from the table's own goroutine.
func NewConnTable(sockets int, idleTimeout func() time.Duration, log *logrus.Entry) *ConnTable {
	return &ConnTable{
		idleTimeout:      idleTimeout,
		log:              log,
		beforeLastAccept: func() {},
		permits:          make(chan struct{}, max(minConnections, sockets-reservedDescriptors)),
		acceptorsDone:    make(chan struct{}),
		conns:            map[Conn]struct{}{},
	}
}

// ShuttingDown reports whether no more RPCs are wanted.
func (t *ConnTable) ShuttingDown() bool { return t.shuttingDown.Load() }

// Conns returns the connections that are open.
func (t *ConnTable) Conns() []Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]Conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	return conns
}

// AddListener accepts the connections of a front's listening socket, in a goroutine that ends with Shutdown; open makes
// a Conn of each. It must not be called after Shutdown.
func (t *ConnTable) AddListener(ln *net.TCPListener, open func(net.Conn) Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, ln)
	t.acceptors++
	if t.acceptors == 1 {
		go t.closeIdleConns()
	}
	go t.accept(ln, open)
}

func (t *ConnTable) accept(ln *net.TCPListener, open func(net.Conn) Conn) {
	defer t.acceptorDone(ln)
	for {
		t.acquire()
		if t.shuttingDown.Load() { // waiting for the permit may have used up the deadline that Shutdown set
			_ = ln.SetDeadline(time.Now().Add(AcceptGrace)) // an error comes again from Accept
		}
		nc, err := ln.Accept()
		if err != nil {
			<-t.permits
			if !t.shuttingDown.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
				t.acceptFailed(err)
				continue
			}
			t.beforeLastAccept()
			nc = acceptPending(ln)
			if nc == nil {
				return
			}
			t.acquire()
		}
		t.serve(open(nc))
	}
}

func (t *ConnTable) acceptorDone(ln *net.TCPListener) {
	_ = ln.Close() // nothing is accepted any more either way
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptors--
	if t.acceptors == 0 {
		close(t.acceptorsDone)
	}
}

// acceptFailed logs an error of accept and pauses; fewer connections are allowed if it is for want of descriptors.
func (t *ConnTable) acceptFailed(err error) {
	t.log.WithError(err).Warn("server.accept_failed")
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		t.withholdPermits()
	}
	time.Sleep(acceptBackoff)
}

// serve runs a connection, for which a permit is held, in a goroutine of its own.
func (t *ConnTable) serve(c Conn) {
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

// acceptPending accepts a connection that the kernel has accepted already, if there is one; nil otherwise. An Accept
// that ends by its deadline has not looked: closing the socket then would reset a connection that came meanwhile.
func acceptPending(ln *net.TCPListener) net.Conn {
	raw, err := ln.SyscallConn()
	if err != nil {
		return nil
	}
	fd := -1
	acceptErr := error(syscall.EINTR)
	err = raw.Control(func(listener uintptr) {
		for errors.Is(acceptErr, syscall.EINTR) || errors.Is(acceptErr, syscall.ECONNABORTED) {
			fd, _, acceptErr = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		}
	})
	if err != nil || acceptErr != nil {
		return nil
	}
	f := os.NewFile(uintptr(fd), "")
	defer func() { _ = f.Close() }() // FileConn has duplicated the descriptor
	nc, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return nc
}
