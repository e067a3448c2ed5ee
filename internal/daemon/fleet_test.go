package daemon

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sorrelvalve/internal/operator"
)

func record(t *testing.T, f *operator.File) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.record")
	b, err := operator.Marshal(f)
	if err == nil {
		err = os.WriteFile(path, b, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// A record with a fleet is rejected by name where the command has none.
func TestFleetRefused(t *testing.T) {
	r := record(t, &operator.File{Version: "t", Fleet: &operator.Fleet{Listen: "127.0.0.1:7946"}})
	err := Command{Demo: true, Operator: r}.Run(nil)
	if err == nil || !strings.Contains(err.Error(), "fleet") || !strings.Contains(err.Error(), "valvefleet serve") {
		t.Errorf("a fleet without valvefleet: %v", err)
	}
}

// The stub engine of the demonstration and an operator's record work together: uwsgi in front of the stub.
func TestStandInWithRecord(t *testing.T) {
	addr := freeLoopback(t)
	u := &operator.UWSGI{Listen: addr, KeepAlive: "asked", MaxHeaderBytes: 16384, MaxVariables: 128, MaxPathBytes: 4096, MaxBodyBytes: 65536, BodyMemoryKB: 8192, ReadTimeoutMs: 2000, BodyTimeoutMs: 5000, QueuedKB: 16}
	r := record(t, &operator.File{Version: "t", UWSGI: u, Routes: map[string]operator.Route{"view": {Path: "/view", Verb: "GET", Method: "account-view", Type: "text/plain"}}})
	over := make(chan error, 1)
	go func() { over <- Command{Demo: true, Operator: r}.Run(nil) }()
	for end := time.Now().Add(soon); ; time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			if err := c.Close(); err != nil {
				t.Error(err)
			}
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the front does not listen: %v", err)
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil { // which Run is notified of
		t.Fatal(err)
	}
	select {
	case err := <-over:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(soon):
		t.Fatal("it does not end")
	}
}
