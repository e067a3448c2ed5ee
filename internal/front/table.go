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
	// reservedDescriptors is the number of file descriptors that connections can't use. The listener, the engine, the
	// membership service, the three standard streams and the runtime take ten. The rest is for connections whose
	// descriptor is not released yet, and for the listener of a second front.
	reservedDescriptors = 24
	// minConnections is the lowest connection limit, however few descriptors there are: a server with fewer connections
	// is of no use.
	minConnections = 8
	// acceptBackoff is the pause after an error of accept, which would otherwise recur at once.
	acceptBackoff = 20 * time.Millisecond
	// AcceptGrace is how long connections are still accepted after the start of a shutdown. The listening socket is
	// closed only right after an accept that found no connection: otherwise the kernel may have accepted a connection
	// that this process has not, and data written to that connection would be lost.
	AcceptGrace = 5 * time.Millisecond
)

// ConnTable holds the connections of all fronts. Its methods may be called from any goroutine.
type ConnTable struct {
	idleTimeout func() time.Duration
	log         *logrus.Entry

	beforeLastAccept func() // test hook, called between the timeout of the last accept and acceptPending

	permits         chan struct{} // semaphore: one token for each connection that may be open
	withheldPermits atomic.Int32  // tokens that are withheld for good, as descriptors ran out
	shuttingDown    atomic.Bool
	acceptorsDone   chan struct{} // closed when all accept loops have ended

	mu        sync.Mutex
	listeners []*net.TCPListener
	acceptors int
	conns     map[Conn]struct{}
	serving   sync.WaitGroup // one for each connection
}

// NewConnTable returns a table for a process that may use the given number of descriptors for sockets. idleTimeout
// returns how long a connection may be idle; it is called from the table's own goroutine.
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

// ShuttingDown reports whether a shutdown has begun.
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

// AddListener starts a goroutine that accepts connections from a front's listening socket until Shutdown. open returns
// the Conn for an accepted connection. AddListener must not be called after Shutdown.
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
		if t.shuttingDown.Load() { // the deadline set by Shutdown may have passed while waiting for the permit
			_ = ln.SetDeadline(time.Now().Add(AcceptGrace)) // Accept returns the same error
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
	_ = ln.Close() // an error changes nothing: no more connections are accepted
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptors--
	if t.acceptors == 0 {
		close(t.acceptorsDone)
	}
}

// acceptFailed logs an error of accept and pauses. If descriptors have run out, it lowers the connection limit.
func (t *ConnTable) acceptFailed(err error) {
	t.log.WithError(err).Warn("server.accept_failed")
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		t.withholdPermits()
	}
	time.Sleep(acceptBackoff)
}

// serve serves a connection in a goroutine of its own, which releases the connection's permit when it ends.
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

// acceptPending returns a connection that the kernel has already accepted, or nil if there is none. An Accept whose
// deadline is exceeded has not checked for one, so closing the socket then would reset a connection that arrived
// in the meantime.
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
