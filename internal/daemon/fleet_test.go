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

// writeRecordFile writes an operator's record to a temporary file and returns its path.
func writeRecordFile(t *testing.T, f *operator.File) string {
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

// A command without an extension rejects a record with a fleet section. The error names the section and the command that
// supports it.
func TestFleetRefused(t *testing.T) {
	r := writeRecordFile(t, &operator.File{Version: "t", Fleet: &operator.Fleet{Listen: "127.0.0.1:7946"}})
	err := Command{Demo: true, Operator: r}.Run(nil)
	if err == nil || !strings.Contains(err.Error(), "fleet") || !strings.Contains(err.Error(), "valvefleet serve") {
		t.Errorf("error for a record with a fleet: got %v", err)
	}
}

// The stub engine of the demonstration and an operator's record work together: the front for uwsgi listens beside the stub.
func TestStandInWithRecord(t *testing.T) {
	addr := freeLoopbackAddress(t)
	u := &operator.UWSGI{Listen: addr, KeepAlive: "asked", MaxHeaderBytes: 16384, MaxVariables: 128, MaxPathBytes: 4096, MaxBodyBytes: 65536, BodyMemoryKB: 8192, ReadTimeoutMs: 2000, BodyTimeoutMs: 5000, QueuedKB: 16}
	r := writeRecordFile(t, &operator.File{Version: "t", UWSGI: u, Routes: map[string]operator.Route{"view": {Path: "/view", Verb: "GET", Method: "account-view", Type: "text/plain"}}})
	done := make(chan error, 1)
	go func() { done <- Command{Demo: true, Operator: r}.Run(nil) }()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			if err := c.Close(); err != nil {
				t.Error(err)
			}
			break
		}
		if time.Now().After(end) {
			t.Fatalf("front for uwsgi does not accept connections: %v", err)
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil { // Run receives this signal
		t.Fatal(err)
	}
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("server did not exit after SIGTERM")
	}
}
