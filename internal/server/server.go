// Package server speaks with the routers. It owns the listening socket and the connections: one goroutine a
// connection that always goes on reading, and one beside it for each RPC in hand, which waits for the verdicts
// of the gate, has the work run and writes the answer. A fault on a connection ends there. This package must
// never decide what is taken or run, and never let a caller that reads slowly hold up another.
package server

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/control"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/opening"
)

// Runner has the work of an RPC run and calls done once with what became of it.
type Runner func(id, method string, body []byte, done func(how gate.Outcome, spent float64, result []byte))

// Server serves one listening socket.
type Server struct {
	gate *gate.Gate
	run  Runner
	log  *logrus.Entry

	silence time.Duration // a first message, and the rest of one that has begun, must come within this

	ln     *net.TCPListener
	slots  chan struct{} // one for each connection that may be open
	over   atomic.Bool   // no more RPCs are wanted: every connection is told so
	closed chan struct{} // once nothing is accepted any more

	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

const (
	// reserved descriptors: the listener, the engine, the membership service, the three standard ones and what
	// the runtime keeps make ten; the rest is for the moments in which a closed one is not yet gone.
	reserved = 24
	// silence is well above the stalls of machines, and well under the 3 s after which a connection that says
	// nothing should be gone.
	silence = 2 * time.Second
	// sweepEvery is how often idle connections are looked for: a tenth of the shortest idle time in use.
	sweepEvery = 100 * time.Millisecond
	// roomPause is waited for a connection to make room before the next one is looked for.
	roomPause = 10 * time.Millisecond
	// acceptPause follows an error of accept, which would else come again at once.
	acceptPause = 20 * time.Millisecond
	// lingers is how long a connection stays open after its closing notice and its last answer, for its
	// router to close it; far above the 50 ms in which an RPC may cross the notice.
	lingers = 1500 * time.Millisecond
	// lastAccept is how long connections are still accepted once no more are wanted. The listening socket is
	// closed right after a look that found none: the machine may have accepted one that we have not yet, and
	// what is written to that would be lost.
	lastAccept = 5 * time.Millisecond
)

// New returns a server on ln that may hold so many descriptors.
func New(ln *net.TCPListener, g *gate.Gate, run Runner, sockets int, log *logrus.Entry) *Server {
	return &Server{
		gate: g, run: run, log: log, silence: silence, ln: ln, closed: make(chan struct{}),
		slots: make(chan struct{}, max(8, sockets-reserved)), conns: map[*conn]struct{}{},
	}
}

// Absent takes out of o what the protocol of the routers and of the engine can't carry, so that no decision is
// built on it, and names it.
func Absent(o *opening.Opening) (names []string) {
	if o.Below.Share > 0 {
		o.Below, names = control.Below{}, append(names, "calls below")
	}
	if o.Node.Stop != control.StopNone {
		o.Node.Stop, names = control.StopNone, append(names, "stopping of runs")
	}
	if o.Fleet.Say != control.SayNone {
		o.Fleet.Say, names = control.SayNone, append(names, "a value for callers")
	}
	if o.Fleet.TellsTime {
		o.Fleet.TellsTime, names = false, append(names, "the time that a caller waits")
	}
	return names
}

// Serve accepts connections until Finish.
func (s *Server) Serve() {
	defer close(s.closed)
	defer s.ln.Close()
	go s.sweep()
	for {
		s.slot()
		if s.over.Load() { // one may have waited for its slot: a deadline that is past would pass it over
			s.ln.SetDeadline(time.Now().Add(lastAccept))
		}
		nc, err := s.ln.Accept()
		if err != nil {
			<-s.slots
			if errors.Is(err, os.ErrDeadlineExceeded) && s.over.Load() {
				return
			}
			s.log.WithError(err).Warn("server: accept failed")
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Add(1)
		go func() {
			c.serve()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
			<-s.slots
			s.wg.Done()
		}()
	}
}

// slot waits for a place for one more connection.
func (s *Server) slot() {
	select {
	case s.slots <- struct{}{}:
		return
	default:
		s.log.WithField("most", cap(s.slots)).Warn("server: connection limit reached")
	}
	for {
		s.makeRoom()
		select {
		case s.slots <- struct{}{}:
			return
		case <-time.After(roomPause):
		}
	}
}

// sweep closes connections that have carried nothing for as long as the gate says.
func (s *Server) sweep() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-t.C:
		}
		idle := s.gate.Idle()
		for _, c := range s.all() {
			c.retire(idle)
		}
	}
}

// How readily a connection is given up for another.
const (
	busy    = iota // something is open, or may be on its way
	idle           // it has carried RPCs
	young          // its first message may be on its way: that is waited for before any idle one is given up
	useless        // never more than silence, nonsense or a check, each of which has a connection of its own
)

// roomMost is how many connections one look gives up: a crowd comes by hundreds, and a look at each of all
// connections for each new one took a fifth of the server's time.
const roomMost = 16

// makeRoom gives up the connections that are missed least. Those that were never of use go first, however many: else
// a crowd of them would keep sound routers out. Without any, it is the one that has been idle for longest.
func (s *Server) makeRoom() {
	var longest *conn
	var since time.Time
	given, wait, now := 0, false, time.Now()
	for _, c := range s.all() {
		readily, last := c.room(now)
		switch {
		case readily == useless && given < roomMost:
			c.give(last)
			given++
		case readily == young:
			wait = true
		case readily == idle && (longest == nil || last.Before(since)):
			longest, since = c, last
		}
	}
	if given == 0 && !wait && longest != nil {
		longest.give(since)
	}
}

func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Finish stops accepting, asks for no more RPCs on any connection, waits until all that was read has been
// answered and the connections are closed, or ctx ends, and closes what is left.
func (s *Server) Finish(ctx context.Context) {
	s.over.Store(true)
	s.ln.SetDeadline(time.Now().Add(lastAccept))
	for _, c := range s.all() {
		c.closing()
	}
	select {
	case <-s.closed:
	case <-ctx.Done():
	}
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	for _, c := range s.all() {
		c.nc.Close()
	}
}
