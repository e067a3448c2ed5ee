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

const testTimeout = 10 * time.Second // upper bound for operations that normally complete at once

// noError fails the test if err is not nil.
func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
}

// echoConn is a connection that answers each line with the same line.
type echoConn struct {
	ConnState
	table *ConnTable
}

func (c *echoConn) Serve() {
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

func (c *echoConn) CloseIdle(_, linger time.Duration) { c.CloseIfDrained(linger) }
func (c *echoConn) GoAway()                           { c.MarkGoAway() }

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("node", "n0")
}

// startEcho returns a table that serves echoConn connections, and the address that it listens on.
func startEcho(t *testing.T, sockets int) (*ConnTable, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := NewConnTable(sockets, func() time.Duration { return time.Hour }, quietLog())
	table.AddListener(ln.(*net.TCPListener), func(nc net.Conn) Conn {
		return &echoConn{ConnState: ConnState{Conn: nc, WriteTimeout: testTimeout, LastActivity: time.Now()}, table: table}
	})
	t.Cleanup(func() { shutdown(t, table, 100*time.Millisecond) })
	return table, ln.Addr().String()
}

func shutdown(t *testing.T, table *ConnTable, timeout time.Duration) {
	t.Helper()
	ctx, end := context.WithTimeout(context.Background(), timeout)
	defer end()
	done := make(chan struct{})
	go func() { table.Shutdown(ctx); close(done) }()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Error("shutdown did not end in time")
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	noError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn
}

// connPair returns the dialled and the accepted end of a connection.
func connPair(t *testing.T) (peer net.Conn, accepted *net.TCPConn) {
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

// waitForData waits until a connection has unread bytes, without reading them.
func waitForData(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err == nil {
		noError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
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

// Closing a connection that has unread bytes must not reset it, whatever the reason for the close. The peer must read
// all of its responses and then EOF.
func TestBytesCrossClose(t *testing.T) {
	cases := []struct {
		name      string
		closeConn func(s *ConnState)
	}{
		{"evicted", func(s *ConnState) { s.Evict(s.LastActivity) }},
		{"drained", func(s *ConnState) {
			s.GoAwayAt, s.LastActivity = time.Unix(1, 0), time.Unix(1, 0)
			s.CloseIfDrained(TransitTime)
		}},
		{"close requested", func(s *ConnState) { s.RequestClose() }},
		{"aborted", func(s *ConnState) { s.Abort(time.Now().Add(testTimeout)) }},
		{"finished by the owner", func(*ConnState) {}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peer, nc := connPair(t)
			s := &ConnState{Conn: nc, WriteTimeout: testTimeout, LastActivity: time.Now(), ReceivedRPC: true}
			if _, err := io.WriteString(peer, "half a li"); err != nil {
				t.Fatal(err)
			}
			waitForData(t, nc)
			if !s.Send([]byte("an ans"), []byte("wer\n")) {
				t.Fatal("Send failed")
			}
			c.closeConn(s)
			done := make(chan struct{})
			go func() { s.Finish(); close(done) }()
			b, err := io.ReadAll(peer)
			if string(b) != "an answer\n" || err != nil {
				t.Errorf("response: got %q, error %v", b, err)
			}
			noError(t, peer.Close())
			select {
			case <-done:
			case <-time.After(testTimeout):
				t.Error("Finish did not return after the peer closed the connection")
			}
			if s.Send([]byte("more")) {
				t.Error("Send succeeded after Finish")
			}
		})
	}
}

// Neither the reader's own deadline nor a repeated close request may change how long Finish reads from a closing
// connection.
func TestCloseRequestedOnce(t *testing.T) {
	_, nc := connPair(t)
	s := &ConnState{Conn: nc, WriteTimeout: testTimeout, LastActivity: time.Now()}
	s.RequestClose()
	s.BoundReads(time.Time{}) // like a reader that was between two lines when the close was requested
	start := time.Now()
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || !s.Ending() {
		t.Fatalf("owner was not woken: %v", err)
	}
	done := make(chan struct{})
	go func() { s.Finish(); close(done) }()
	for open := true; open; {
		s.RequestClose()
		s.Evict(s.LastActivity)
		select {
		case <-done:
			open = false
		default:
		}
	}
	if elapsed := time.Since(start); elapsed < finishLinger {
		t.Errorf("Finish returned after %v, before finishLinger", elapsed)
	}
}

// A connection that the kernel accepts between the last accept and the close of the listening socket must be served.
func TestAcceptPending(t *testing.T) {
	table, addr := startEcho(t, 1024)
	result := make(chan string, 1)
	table.beforeLastAccept = func() {
		table.beforeLastAccept = func() {}
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			result <- err.Error()
			return
		}
		go func() {
			defer func() { _ = conn.Close() }() // the test may have ended
			noError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			_, _ = fmt.Fprintln(conn, "late") // the read below shows whether it arrived
			line, err := bufio.NewReader(conn).ReadString('\n')
			result <- fmt.Sprint(line, err)
		}()
	}
	shutdown(t, table, testTimeout)
	if s := <-result; s != "late\n<nil>" {
		t.Errorf("response to the pending connection: got %q", s)
	}
}

// A shutdown must close the connection of an idle peer early enough to read messages that cross the close, and must
// then end.
func TestIdlePeerAtShutdown(t *testing.T) {
	table, addr := startEcho(t, 1024)
	conn := dial(t, addr)
	if _, err := fmt.Fprintln(conn, "a"); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	if line, err := in.ReadString('\n'); line != "a\n" {
		t.Fatal(line, err)
	}
	start, timeout := time.Now(), 8*time.Second
	go func() {
		if b, err := io.ReadAll(in); len(b) > 0 || err != nil {
			t.Errorf("data after the response: got %q, error %v", b, err)
		}
		_ = conn.Close() // the test may have ended
	}()
	shutdown(t, table, timeout)
	if elapsed := time.Since(start); elapsed > timeout-abortTimeout {
		t.Errorf("shutdown took %v", elapsed)
	}
}

// A peer that reads nothing must not delay a shutdown beyond its context.
func TestPeerThatNeverReads(t *testing.T) {
	table, addr := startEcho(t, 1024)
	conn := dial(t, addr)
	line := append(make([]byte, 1<<16), '\n')
	for sent := 0; ; sent++ { // until the buffers of both directions are full
		noError(t, conn.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		if _, err := conn.Write(line); err != nil {
			break
		}
	}
	start := time.Now()
	shutdown(t, table, 50*time.Millisecond)
	if elapsed := time.Since(start); elapsed > testTimeout/2 {
		t.Errorf("shutdown took %v", elapsed)
	}
	for len(table.Conns()) > 0 && time.Since(start) < testTimeout {
		time.Sleep(time.Millisecond)
	}
	if n := len(table.Conns()); n > 0 {
		t.Errorf("open connections after the shutdown: %d", n)
	}
}

// If descriptors run out before the connection limit is reached, idle connections must be evicted so that the server's
// own dials get descriptors.
func TestDescriptorsRunOut(t *testing.T) {
	table, addr := startEcho(t, 1024)
	var oldLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &oldLimit); err != nil {
		t.Fatal(err)
	}
	const idle = 60
	limit := oldLimit
	limit.Cur = 2*idle + 2*reservedDescriptors // both ends of each connection are in this process
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	defer func() { noError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &oldLimit)) }()
	echo := func(conn net.Conn) error {
		if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
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
	exhausted := false
	for n := 0; n < 3*idle && !exhausted; n++ { // until the server has no descriptor for the next connection
		conn, err := net.Dial("tcp", addr)
		if err != nil { // the dialling side, which represents the server's own dials, ran out first
			exhausted = errors.Is(err, syscall.EMFILE)
			break
		}
		conns = append(conns, conn)
		for len(table.Conns()) < len(conns)-int(table.withheldPermits.Load()) && !exhausted {
			exhausted = table.withheldPermits.Load() > 0
			time.Sleep(time.Millisecond)
		}
		if !exhausted {
			if err := echo(conn); err != nil {
				t.Fatal(err)
			}
		}
	}
	if !exhausted {
		t.Fatal("descriptors did not run out")
	}
	deadline := time.Now().Add(testTimeout)
	for { // retries until it gets a descriptor, like the reporter
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			err = echo(conn)
			_ = conn.Close() // an error here does not matter for the next dial
		}
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("no descriptor for the server's own dial: %v", err)
		}
		time.Sleep(time.Millisecond)
	}
}
