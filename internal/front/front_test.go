package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const soon = 10 * time.Second // bounds what must come at once

// noError fails the test on an error of what must work.
func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
}

// lines is a connection that answers each line by the same line.
type lines struct {
	ConnState
	table *ConnTable
}

func (c *lines) Serve() {
	defer c.Finish()
	in := bufio.NewReader(c.Conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil || c.Ending() {
			return
		}
		c.Mu.Lock()
		c.ReceivedRPC, c.LastActivity = true, time.Now()
		c.Mu.Unlock()
		if !c.Send([]byte(line)) {
			return
		}
	}
}

func (c *lines) CloseIdle(_, lingers time.Duration) { c.CloseIfDrained(lingers) }
func (c *lines) GoAway()                            { c.MarkGoAway() }

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("node", "n0")
}

// serve returns a table that serves lines, and its address.
func serve(t *testing.T, sockets int) (*ConnTable, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := NewConnTable(sockets, func() time.Duration { return time.Hour }, quietLog())
	table.AddListener(ln.(*net.TCPListener), func(nc net.Conn) Conn {
		return &lines{ConnState: ConnState{Conn: nc, WriteTimeout: soon, LastActivity: time.Now()}, table: table}
	})
	t.Cleanup(func() { shutdown(t, table, 100*time.Millisecond) })
	return table, ln.Addr().String()
}

func shutdown(t *testing.T, table *ConnTable, within time.Duration) {
	t.Helper()
	ctx, end := context.WithTimeout(context.Background(), within)
	defer end()
	over := make(chan struct{})
	go func() { table.Shutdown(ctx); close(over) }()
	select {
	case <-over:
	case <-time.After(soon):
		t.Error("the shutdown does not end")
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	noError(t, conn.SetDeadline(time.Now().Add(soon)))
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn
}

// pair returns the two ends of a connection, the second one accepted.
func pair(t *testing.T) (peer net.Conn, own *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { noError(t, ln.Close()) }()
	peer = dial(t, ln.Addr().String())
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() }) // the test may have closed it
	return peer, nc.(*net.TCPConn)
}

// arrived waits until there are unread bytes at one end, without reading them.
func arrived(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err == nil {
		noError(t, c.SetReadDeadline(time.Now().Add(soon)))
		err = raw.Read(func(fd uintptr) bool {
			n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
			return n > 0 || err != syscall.EAGAIN
		})
		noError(t, c.SetReadDeadline(time.Time{}))
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Bytes that are unread as a connection is closed, for whatever reason, reset nothing: the peer reads its responses and
// then the end.
func TestBytesCrossClose(t *testing.T) {
	cases := []struct {
		name string
		ends func(s *ConnState)
	}{
		{"evicted", func(s *ConnState) { s.Evict(s.LastActivity) }},
		{"rested", func(s *ConnState) {
			s.GoAwayAt, s.LastActivity = time.Unix(1, 0), time.Unix(1, 0)
			s.CloseIfDrained(TransitTime)
		}},
		{"ended", func(s *ConnState) { s.RequestClose() }},
		{"cut", func(s *ConnState) { s.Abort(time.Now().Add(soon)) }},
		{"served to its end", func(*ConnState) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peer, nc := pair(t)
			s := &ConnState{Conn: nc, WriteTimeout: soon, LastActivity: time.Now(), ReceivedRPC: true}
			if _, err := io.WriteString(peer, "half a li"); err != nil {
				t.Fatal(err)
			}
			arrived(t, nc)
			if !s.Send([]byte("an ans"), []byte("wer\n")) {
				t.Fatal("not sent")
			}
			c.ends(s)
			over := make(chan struct{})
			go func() { s.Finish(); close(over) }()
			b, err := io.ReadAll(peer)
			if string(b) != "an answer\n" || err != nil {
				t.Errorf("read %q, error %v", b, err)
			}
			noError(t, peer.Close())
			select {
			case <-over:
			case <-time.After(soon):
				t.Error("the owner waits for a peer that has closed")
			}
			if s.Send([]byte("more")) {
				t.Error("written after the end")
			}
		})
	}
}

// Neither a reader's own deadline nor a second request to close changes how long a closing connection is read on.
func TestCloseRequestedOnce(t *testing.T) {
	_, nc := pair(t)
	s := &ConnState{Conn: nc, WriteTimeout: soon, LastActivity: time.Now()}
	s.RequestClose()
	s.BoundReads(time.Time{}) // as a reader that was between two lines when the end was decided
	began := time.Now()
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || !s.Ending() {
		t.Fatalf("the owner is not woken: %v", err)
	}
	over := make(chan struct{})
	go func() { s.Finish(); close(over) }()
	for open := true; open; {
		s.RequestClose()
		s.Evict(s.LastActivity)
		select {
		case <-over:
			open = false
		default:
		}
	}
	if gone := time.Since(began); gone < finishLinger {
		t.Errorf("read on for %v only", gone)
	}
}

// A connection that the kernel accepts between the last accept and the close of the listening socket is served.
func TestAcceptPending(t *testing.T) {
	table, addr := serve(t, 1024)
	got := make(chan string, 1)
	table.beforeLastAccept = func() {
		table.beforeLastAccept = func() {}
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			got <- err.Error()
			return
		}
		go func() {
			defer func() { _ = conn.Close() }() // the test may have ended
			noError(t, conn.SetDeadline(time.Now().Add(soon)))
			_, _ = fmt.Fprintln(conn, "late") // the read below tells whether it came
			line, err := bufio.NewReader(conn).ReadString('\n')
			got <- fmt.Sprint(line, err)
		}()
	}
	shutdown(t, table, soon)
	if s := <-got; s != "late\n<nil>" {
		t.Errorf("the caller heard %q", s)
	}
}

// The connection of an idle peer is closed early enough to read what crosses that, and a shutdown waits no longer.
func TestIdlePeerAtShutdown(t *testing.T) {
	table, addr := serve(t, 1024)
	conn := dial(t, addr)
	if _, err := fmt.Fprintln(conn, "a"); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	if line, err := in.ReadString('\n'); line != "a\n" {
		t.Fatal(line, err)
	}
	began, within := time.Now(), 8*time.Second
	go func() {
		if b, err := io.ReadAll(in); len(b) > 0 || err != nil {
			t.Errorf("read %q, error %v", b, err)
		}
		_ = conn.Close() // the test may have ended
	}()
	shutdown(t, table, within)
	if gone := time.Since(began); gone > within-abortTimeout {
		t.Errorf("over after %v", gone)
	}
}

// A peer that reads nothing holds up a shutdown no longer than that may last.
func TestPeerThatNeverReads(t *testing.T) {
	table, addr := serve(t, 1024)
	conn := dial(t, addr)
	line := append(make([]byte, 1<<16), '\n')
	for sent := 0; ; sent++ { // until both ways are full
		noError(t, conn.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		if _, err := conn.Write(line); err != nil {
			break
		}
	}
	began := time.Now()
	shutdown(t, table, 50*time.Millisecond)
	if gone := time.Since(began); gone > soon/2 {
		t.Errorf("over after %v", gone)
	}
	for len(table.Conns()) > 0 && time.Since(began) < soon {
		time.Sleep(time.Millisecond)
	}
	if n := len(table.Conns()); n > 0 {
		t.Errorf("%d connections left", n)
	}
}

// Where descriptors run out before the limit, idle connections are evicted, and the server's own dials get theirs.
func TestDescriptorsRunOut(t *testing.T) {
	table, addr := serve(t, 1024)
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	const idle = 60
	limit := was
	limit.Cur = 2*idle + 2*reservedDescriptors // each connection has both ends here
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	defer func() { noError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)) }()
	answered := func(conn net.Conn) error {
		if err := conn.SetDeadline(time.Now().Add(soon)); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(conn, "a"); err != nil {
			return err
		}
		_, err := bufio.NewReader(conn).ReadString('\n')
		return err
	}
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			noError(t, c.Close())
		}
	}()
	ran := false
	for n := 0; n < 3*idle && !ran; n++ { // until the server has none for the next one
		conn, err := net.Dial("tcp", addr)
		if err != nil { // this side, which stands for the server's own dials, met the end first
			ran = errors.Is(err, syscall.EMFILE)
			break
		}
		conns = append(conns, conn)
		for len(table.Conns()) < len(conns)-int(table.withheldPermits.Load()) && !ran {
			ran = table.withheldPermits.Load() > 0
			time.Sleep(time.Millisecond)
		}
		if !ran {
			if err := answered(conn); err != nil {
				t.Fatal(err)
			}
		}
	}
	if !ran {
		t.Fatal("descriptors have not run out")
	}
	deadline := time.Now().Add(soon)
	for { // as the reporter does: again and again until it has one
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			err = answered(conn)
			_ = conn.Close() // the next dial is what counts
		}
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("no descriptor for an own dial: %v", err)
		}
		time.Sleep(time.Millisecond)
	}
}
