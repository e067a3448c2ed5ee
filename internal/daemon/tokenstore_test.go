package daemon

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sorrelvalve/internal/msgpack"
	"sorrelvalve/internal/operator"
)

// A purchase that was answered ok before a restart is answered the same after it, and does not run again; a folder that is in
// use, or of another server, keeps a server from starting.
func TestTokenStore(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "tokens")
	stored := func(w *testServer) {
		b, err := os.ReadFile(w.configPath)
		if err != nil {
			w.Fatal(err)
		}
		b = bytes.Replace(b, []byte(`"give_up":5000000000}]`), []byte(`"give_up":5000000000},{"name":"buy","idempotency":"idempotency_key","window":60000000000,"aim":1000000000,"give_up":5000000000}]`), 1)
		w.recordPath = filepath.Join(w.TempDir(), "operator.record")
		record, err := operator.Marshal(&operator.File{Version: "t", Store: &operator.Store{Dir: dir, MaxMB: 4, SegmentMB: 1, MaxAnswerBytes: 4096, ToleranceMs: 100}})
		if err == nil {
			err = os.WriteFile(w.configPath, b, 0o600)
		}
		if err == nil {
			err = os.WriteFile(w.recordPath, record, 0o600)
		}
		if err != nil {
			w.Fatal(err)
		}
	}
	buy := func(id uint64) []byte {
		f := []string{"txn", fmt.Sprintf("%016x", id), "ram", "1", "door", fmt.Sprint(time.Now().UnixMilli()), "unique", "k"}
		b := msgpack.AppendString(msgpack.AppendUint(append(msgpack.AppendArray(nil, 4), 0), id), "buy")
		b = msgpack.AppendMap(msgpack.AppendArray(b, 2), len(f)/2)
		for _, s := range f {
			b = msgpack.AppendString(b, s)
		}
		return append(msgpack.AppendBinHeader(b, 4), "wait"...)
	}
	w := start(t, 5000, stored)
	close(w.wait)
	w.send(buy(1))
	w.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x04wait\x80")
	w.stop <- syscall.SIGTERM
	w.awaitReport("first OUT")
	w.disconnect()
	w.awaitEnd()
	w = start(t, 5000, stored)
	defer close(w.wait) // a run would not end before
	w.send(buy(2))
	w.expectAnswer("\x94\x01\x02\xc0\x92\xc4\x04wait\x80")
	if !strings.Contains(w.log.String(), "store.recovered") {
		t.Errorf("logged %s", w.log.String())
	}
	if _, err := inspectStore(dir, true); err == nil { // by name of this process's own lock
		t.Error("a folder in use was opened")
	}
	w.stop <- syscall.SIGTERM
	w.awaitReport("first OUT")
	w.disconnect()
	w.awaitEnd()
	if !strings.Contains(w.log.String(), `msg=store.status`) {
		t.Errorf("logged %s", w.log.String())
	}
	if bad, err := inspectStore(dir, true); err != nil || bad != 0 {
		t.Errorf("%d bad, error %v", bad, err)
	}
	if err := (verifyCmd{Dir: dir}).Run(); err != nil {
		t.Error(err)
	}
	if err := (compactCmd{Dir: dir}).Run(); err != nil {
		t.Error(err)
	}
}
