package daemon

import (
	"bytes"
	"os"
	"strings"
	"syscall"
	"testing"

	"sorrelvalve/internal/standin"
)

// New addresses are used at once and RPCs in flight go on; a wrong file changes nothing, and what can't change
// is named; all of it in a drain as well.
func TestReload(t *testing.T) {
	w := start(t, 5000)
	defer close(w.wait)
	w.send(call(1, "view", "wait"))
	w.reload(`"seed":"1"`, `"seed":"x"`)
	w.reload(`"seed":"x"`, `"seed":"2"`)
	b, _ := os.ReadFile(w.configPath)
	_, old, _ := strings.Cut(string(b), `"members":"`)
	w.reload(old[:strings.Index(old, `"`)], w.membershipService("second "))
	w.awaitReport("second UP")
	w.stop <- syscall.SIGTERM
	w.awaitReport("second OUT")
	next, on := loopback(t), make(chan struct{})
	close(on)
	go serveEngine(next, on) // which ends the run that the first one holds
	w.reload(w.engine.Addr().String(), next.Addr().String())
	for got := []byte(nil); !bytes.Contains(got, []byte("\x94\x01\x01\xc0\x92\xc4\x04wait\x80")); {
		b := make([]byte, 100)
		n, err := w.conn.Read(b)
		if got = append(got, b[:n]...); err != nil {
			t.Fatalf("read %q, error %v", got, err)
		}
	}
	w.disconnect()
	w.awaitEnd()
	for _, want := range []string{"seed: must be up to 16 hex digits", "keys=seed", `msg=reload.completed`} {
		if !strings.Contains(w.log.String(), want) {
			t.Errorf("no %q in the log: %s", want, w.log.String())
		}
	}
}

// With an operator's record both fronts serve; a new record moves the work to a pool; one that is wrong, or that a
// running process can't take, changes nothing of it nor of the configuration; a drain ends both.
func TestOperatorRecord(t *testing.T) {
	cores := standin.NewCores(4, 0)
	defer cores.Close()
	app, err := standin.NewApp(cores, func(string, []byte) (float64, []byte) { return 1, []byte("of the pool") }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer app.Stop()
	w := start(t, 5000, withOperatorRecord(app.Addr()))
	defer close(w.wait)
	if got := w.callWeb("a"); string(got.Body) != "of the pool" {
		t.Errorf("page %+v", got)
	}
	w.send(call(1, "view", "a"))
	w.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x0bof the pool\x81\xa4type\xaatext/plain")
	w.writeRecord()
	w.reread <- syscall.SIGHUP
	<-w.loaded
	w.awaitLog(`hash=`, `version="members 0"`)
	if got := w.callWeb("b"); string(got.Body) != "b" {
		t.Errorf("page %+v", got)
	}
	for _, wrong := range []func(){
		func() {
			if err := os.WriteFile(w.recordPath, []byte("{"), 0o600); err != nil {
				t.Fatal(err)
			}
		},
		func() { w.writeRecord(app.Addr(), "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3") }, // more descriptors than at the start
		func() { // another address
			old := w.webAddress
			w.webAddress = "127.0.0.1:1"
			w.writeRecord()
			w.webAddress = old
		},
	} {
		wrong()
		b, _ := os.ReadFile(w.configPath)
		_, members, _ := strings.Cut(string(b), `"members":"`)
		members = members[:strings.Index(members, `"`)]
		w.reload(members, "127.0.0.1:9") // which must not be taken either
		w.reload("127.0.0.1:9", members)
		if got := w.callWeb("c"); string(got.Body) != "c" {
			t.Errorf("page %+v", got)
		}
	}
	w.stop <- syscall.SIGTERM
	w.awaitReport("first OUT")
	w.disconnect()
	w.awaitEnd()
	for _, want := range []string{"no record", "more need a new start", "/uwsgi/listen: only a new start", "number=2"} {
		if !strings.Contains(w.log.String(), want) {
			t.Errorf("no %q in the log: %s", want, w.log.String())
		}
	}
	if strings.Contains(w.log.String(), `members="127.0.0.1:9"`) {
		t.Error("a configuration was taken whose record was wrong")
	}
}
