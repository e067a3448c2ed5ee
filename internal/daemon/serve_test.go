package daemon

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A complete server serves RPCs. After a signal to stop it continues for the grace, answers the RPCs in flight and exits.
func TestServe(t *testing.T) {
	ts := startServer(t, 5000)
	ts.send(encodeCall(1, "view", "a"))
	ts.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x01a\x80")
	ts.send(encodeCall(2, "view", "wait"))
	ts.stop <- syscall.SIGTERM
	ts.awaitReport("first OUT")
	ts.stop <- syscall.SIGTERM // has no effect during the drain
	close(ts.unblock)
	ts.expectAnswer("\x94\x01\x02\xc0\x92\xc4\x04wait\x80")
	ts.send(encodeCall(3, "view", "b"))
	ts.expectAnswer("\x94\x01\x03\xc0\x92\xc4\x01b\x80\x93\x02\xa7closing\x90")
	ts.disconnect()
	ts.awaitExit()
}

// RPCs whose runs do not complete before the stop deadline are answered as aborted.
func TestServeStop(t *testing.T) {
	ts := startServer(t, 800)
	defer close(ts.unblock)
	ts.send(encodeCall(1, "view", "wait"))
	ts.send(encodeCall(2, "view", "wait"))
	ts.stop <- syscall.SIGTERM
	ts.awaitReport("first OUT")
	ts.expectAnswer("\x93\x02\xa7closing\x90")
	got, err := io.ReadAll(ts.conn)
	if err != nil || bytes.Count(got, []byte("Aborted")) != 2 {
		t.Errorf("read %q, error %v", got, err)
	}
	ts.awaitExit()
}

// listen waits for an address that another process holds and listens as soon as it is free. A signal to stop ends the wait.
func TestAddressInUse(t *testing.T) {
	held := listenLoopback(t)
	waiting := make(chan struct{}, 1)
	type listenResult struct {
		ln  net.Listener
		err error
	}
	results := make(chan listenResult, 1)
	stop := make(chan os.Signal, 1)
	begin := func() {
		go func() {
			ln, err := listen(held.Addr().String(), stop, func() { waiting <- struct{}{} })
			results <- listenResult{ln, err}
		}()
		<-waiting
	}
	begin()
	stop <- syscall.SIGTERM
	if got := <-results; !errors.Is(got.err, errStopSignal) {
		t.Errorf("listen after a signal to stop: got error %v", got.err)
	}
	begin()
	if err := held.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-results:
		if got.err != nil {
			t.Fatal(got.err)
		}
		if err := got.ln.Close(); err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("listen did not return after the address became free")
	}
	if _, err := listen("192.0.2.1:1", stop, func() { t.Error("listen waited for an address that is not local") }); err == nil {
		t.Error("listen succeeded on an address that is not local")
	}
}

// Idle clients fill the connection table while the membership service is down. New clients can still connect, an RPC in
// flight keeps its connection, and the server reports itself as up once the service is back.
func TestIdleConnectionsFillTable(t *testing.T) {
	ts := startServer(t, 5000, func(ts *testServer) {
		b, err := os.ReadFile(ts.configPath)
		if err == nil {
			err = os.WriteFile(ts.configPath, bytes.Replace(b, []byte(`"stop_ms"`), []byte(`"limits":{"sockets":48},"stop_ms"`), 1), 0o600)
		}
		if err != nil {
			ts.Fatal(err)
		}
	})
	ts.send(encodeCall(1, "view", "wait"))
	down := freeLoopbackAddress(t)
	b, _ := os.ReadFile(ts.configPath)
	_, old, _ := strings.Cut(string(b), `"members":"`)
	ts.reload(old[:strings.Index(old, `"`)], down)
	for n := range 60 { // more than twice the maximum number of connections
		conn, err := net.Dial("tcp", ts.conn.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }() // the server may have closed it
		if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(encodeCall(uint64(100+n), "view", "a")); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatalf("connection %d: %v", n, err)
		}
	}
	ts.reload(down, ts.membershipService("second "))
	ts.awaitReport("second UP")
	close(ts.unblock)
	ts.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x04wait\x80")
	ts.stop <- syscall.SIGTERM
	ts.awaitReport("second OUT")
	ts.awaitExit()
}
