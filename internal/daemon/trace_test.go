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

// What a complete server records is replayed to the same verdicts; other limits can be simulated; a torn tail is
// reported and the rest replayed.
func TestTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace")
	w := start(t, 5000, func(w *testServer) {
		w.recordPath = filepath.Join(w.TempDir(), "operator.record")
		b, err := operator.Marshal(&operator.File{Version: "t", Trace: &operator.Trace{Path: path, MaxFileMB: 1, MaxFiles: 2}})
		if err == nil {
			err = os.WriteFile(w.recordPath, b, 0o600)
		}
		if err != nil {
			w.Fatal(err)
		}
	})
	defer close(w.wait)
	for id := uint64(1); id <= 5; id++ {
		w.send(call(id, "view", "a"))
		w.expectAnswer("\x94\x01" + string(rune(id)) + "\xc0\x92\xc4\x01a\x80")
	}
	w.stop <- syscall.SIGTERM
	w.disconnect()
	w.awaitEnd()
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
