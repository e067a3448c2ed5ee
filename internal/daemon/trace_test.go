package daemon

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/trace"
)

// A trace recorded by a complete server replays to the same verdicts, and its arrivals can be simulated. A torn tail is
// reported after the other entries have been printed.
func TestTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace")
	ts := startServer(t, 5000, func(ts *testServer) {
		ts.recordPath = filepath.Join(ts.TempDir(), "operator.record")
		b, err := operator.Marshal(&operator.File{Version: "t", Trace: &operator.Trace{Path: path, MaxFileMB: 1, MaxFiles: 2}})
		if err == nil {
			err = os.WriteFile(ts.recordPath, b, 0o600)
		}
		if err != nil {
			ts.Fatal(err)
		}
	})
	defer close(ts.unblock)
	for id := uint64(1); id <= 5; id++ {
		ts.send(encodeCall(id, "view", "a"))
		ts.expectAnswer("\x94\x01" + string(rune(id)) + "\xc0\x92\xc4\x01a\x80")
	}
	ts.stop <- syscall.SIGTERM
	ts.disconnect()
	ts.awaitExit()
	if err := (replayCmd{File: path}).Run(); err != nil {
		t.Error(err)
	}
	if err := (diffCmd{File: path, Seconds: 3}).Run(); err != nil {
		t.Error(err)
	}
	if err := (showCmd{File: path, Limit: 3}).Run(); err != nil {
		t.Error(err)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	torn := filepath.Join(t.TempDir(), "torn")
	if err := os.WriteFile(torn, b[:len(b)-10], 0o600); err != nil {
		t.Fatal(err)
	}
	if err := (showCmd{File: torn}).Run(); !errors.Is(err, trace.ErrTorn) {
		t.Error(err)
	}
}
