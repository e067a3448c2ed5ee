package daemon

import (
	"bytes"
	"os"
	"strings"
	"syscall"
	"testing"

	"sorrelvalve/internal/standin"
)

// A reload applies new addresses at once while RPCs in flight continue, also during a drain. An invalid file changes nothing,
// and keys that require a restart are named in the log.
func TestReload(t *testing.T) {
	ts := startServer(t, 5000)
	defer close(ts.unblock)
	ts.send(encodeCall(1, "view", "wait"))
	ts.reload(`"seed":"1"`, `"seed":"x"`)
	ts.reload(`"seed":"x"`, `"seed":"2"`)
	b, _ := os.ReadFile(ts.configPath)
	_, old, _ := strings.Cut(string(b), `"members":"`)
	ts.reload(old[:strings.Index(old, `"`)], ts.membershipService("second "))
	ts.awaitReport("second UP")
	ts.stop <- syscall.SIGTERM
	ts.awaitReport("second OUT")
	next, unblocked := listenLoopback(t), make(chan struct{})
	close(unblocked)
	go serveEngine(next, unblocked) // completes the run that is blocked in the first engine
	ts.reload(ts.engine.Addr().String(), next.Addr().String())
	for got := []byte(nil); !bytes.Contains(got, []byte("\x94\x01\x01\xc0\x92\xc4\x04wait\x80")); {
		b := make([]byte, 100)
		n, err := ts.conn.Read(b)
		if got = append(got, b[:n]...); err != nil {
			t.Fatalf("read %q, error %v", got, err)
		}
	}
	ts.disconnect()
	ts.awaitExit()
	for _, want := range []string{"seed: must be up to 16 hex digits", "keys=seed", `msg=reload.completed`} {
		if !strings.Contains(ts.log.String(), want) {
			t.Errorf("log: %q is missing: %s", want, ts.log.String())
		}
	}
}

// With an operator's record both fronts serve, and a new record moves the work from the pool to the engine. A record that is
// invalid, or that requires a restart, changes neither the record nor the configuration in use. A drain ends both fronts.
func TestOperatorRecord(t *testing.T) {
	cores := standin.NewCores(4, 0)
	defer cores.Close()
	app, err := standin.NewApp(cores, func(string, []byte) (float64, []byte) { return 1, []byte("of the pool") }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer app.Stop()
	ts := startServer(t, 5000, withOperatorRecord(app.Addr()))
	defer close(ts.unblock)
	if got := ts.callUWSGI("a"); string(got.Body) != "of the pool" {
		t.Errorf("reply over uwsgi: got %+v", got)
	}
	ts.send(encodeCall(1, "view", "a"))
	ts.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x0bof the pool\x81\xa4type\xaatext/plain")
	ts.writeRecord()
	ts.reloadSignal <- syscall.SIGHUP
	<-ts.loaded
	ts.awaitLog(`hash=`, `version="members 0"`)
	if got := ts.callUWSGI("b"); string(got.Body) != "b" {
		t.Errorf("reply over uwsgi: got %+v", got)
	}
	for _, writeInvalidRecord := range []func(){
		func() {
			if err := os.WriteFile(ts.recordPath, []byte("{"), 0o600); err != nil {
				t.Fatal(err)
			}
		},
		func() { ts.writeRecord(app.Addr(), "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3") }, // needs more descriptors than were reserved at the start
		func() { // changes the address of the front, which requires a restart
			old := ts.uwsgiAddress
			ts.uwsgiAddress = "127.0.0.1:1"
			ts.writeRecord()
			ts.uwsgiAddress = old
		},
	} {
		writeInvalidRecord()
		b, _ := os.ReadFile(ts.configPath)
		_, members, _ := strings.Cut(string(b), `"members":"`)
		members = members[:strings.Index(members, `"`)]
		ts.reload(members, "127.0.0.1:9") // must not be applied either
		ts.reload("127.0.0.1:9", members)
		if got := ts.callUWSGI("c"); string(got.Body) != "c" {
			t.Errorf("reply over uwsgi: got %+v", got)
		}
	}
	ts.stop <- syscall.SIGTERM
	ts.awaitReport("first OUT")
	ts.disconnect()
	ts.awaitExit()
	for _, want := range []string{"no record", "more need a new start", "/uwsgi/listen: only a new start", "number=2"} {
		if !strings.Contains(ts.log.String(), want) {
			t.Errorf("log: %q is missing: %s", want, ts.log.String())
		}
	}
	if strings.Contains(ts.log.String(), `members="127.0.0.1:9"`) {
		t.Error("a configuration with an invalid record was applied")
	}
}
