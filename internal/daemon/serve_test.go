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

// The complete server: it serves, and after a signal it goes on for the grace, answers the RPCs in flight and ends.
func TestServe(t *testing.T) {
	w := start(t, 5000)
	w.send(call(1, "view", "a"))
	w.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x01a\x80")
	w.send(call(2, "view", "wait"))
	w.stop <- syscall.SIGTERM
	w.awaitReport("first OUT")
	w.stop <- syscall.SIGTERM // changes nothing
	close(w.wait)
	w.expectAnswer("\x94\x01\x02\xc0\x92\xc4\x04wait\x80")
	w.send(call(3, "view", "b"))
	w.expectAnswer("\x94\x01\x03\xc0\x92\xc4\x01b\x80\x93\x02\xa7closing\x90")
	w.disconnect()
	w.awaitEnd()
}

// A run that does not end before the stop is answered all the same.
func TestServeStop(t *testing.T) {
	w := start(t, 800)
	defer close(w.wait)
	w.send(call(1, "view", "wait"))
	w.send(call(2, "view", "wait"))
	w.stop <- syscall.SIGTERM
	w.awaitReport("first OUT")
	w.expectAnswer("\x93\x02\xa7closing\x90")
	got, err := io.ReadAll(w.conn)
	if err != nil || bytes.Count(got, []byte("Aborted")) != 2 {
		t.Errorf("read %q, error %v", got, err)
	}
	w.awaitEnd()
}

// A port that another process still holds is waited for, and taken as soon as it is free; a signal to stop ends the wait.
func TestAddressInUse(t *testing.T) {
	held := loopback(t)
	waits := make(chan struct{}, 1)
	type taken struct {
		ln  net.Listener
		err error
	}
	over := make(chan taken, 1)
	stop := make(chan os.Signal, 1)
	begin := func() {
		go func() {
			ln, err := listen(held.Addr().String(), stop, func() { waits <- struct{}{} })
			over <- taken{ln, err}
		}()
		<-waits
	}
	begin()
	stop <- syscall.SIGTERM
	if got := <-over; !errors.Is(got.err, errStopSignal) {
		t.Errorf("error %v after a signal to stop", got.err)
	}
	begin()
	if err := held.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-over:
		if got.err != nil {
			t.Fatal(got.err)
		}
		if err := got.ln.Close(); err != nil {
			t.Error(err)
		}
	case <-time.After(soon):
		t.Fatal("the address is not taken")
	}
	if _, err := listen("192.0.2.1:1", stop, func() { t.Error("waits for an address that is not here") }); err == nil {
		t.Error("took an address that is not here")
	}
}

// Clients that rest fill all connections while the membership service is down: new ones get in, an RPC in flight keeps its
// connection, and once the service is back the server is listed again.
func TestIdleConnectionsFillTable(t *testing.T) {
	w := start(t, 5000, func(w *testServer) {
		b, err := os.ReadFile(w.configPath)
		if err == nil {
			err = os.WriteFile(w.configPath, bytes.Replace(b, []byte(`"stop_ms"`), []byte(`"limits":{"sockets":48},"stop_ms"`), 1), 0o600)
		}
		if err != nil {
			w.Fatal(err)
		}
	})
	w.send(call(1, "view", "wait"))
	down := freeLoopback(t)
	b, _ := os.ReadFile(w.configPath)
	_, old, _ := strings.Cut(string(b), `"members":"`)
	w.reload(old[:strings.Index(old, `"`)], down)
	for n := range 60 { // over twice as many as may be open
		conn, err := net.Dial("tcp", w.conn.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }() // the server may have closed it
		if err := conn.SetDeadline(time.Now().Add(soon)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(call(uint64(100+n), "view", "a")); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatalf("connection %d: %v", n, err)
		}
	}
	w.reload(down, w.membershipService("second "))
	w.awaitReport("second UP")
	close(w.wait)
	w.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x04wait\x80")
	w.stop <- syscall.SIGTERM
	w.awaitReport("second OUT")
	w.awaitEnd()
}
