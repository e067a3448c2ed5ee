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

// An RPC with an idempotency token that completed before a restart gets the same answer after the restart without a second
// run. A folder that is in use by a process can't be opened.
func TestTokenStore(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "tokens")
	withTokenStore := func(ts *testServer) {
		b, err := os.ReadFile(ts.configPath)
		if err != nil {
			ts.Fatal(err)
		}
		b = bytes.Replace(b, []byte(`"give_up":5000000000}]`), []byte(`"give_up":5000000000},{"name":"buy","idempotency":"idempotency_key","window":60000000000,"aim":1000000000,"give_up":5000000000}]`), 1)
		ts.recordPath = filepath.Join(ts.TempDir(), "operator.record")
		record, err := operator.Marshal(&operator.File{Version: "t", Store: &operator.Store{Dir: dir, MaxMB: 4, SegmentMB: 1, MaxAnswerBytes: 4096, ToleranceMs: 100}})
		if err == nil {
			err = os.WriteFile(ts.configPath, b, 0o600)
		}
		if err == nil {
			err = os.WriteFile(ts.recordPath, record, 0o600)
		}
		if err != nil {
			ts.Fatal(err)
		}
	}
	buy := func(id uint64) []byte {
		fields := []string{"txn", fmt.Sprintf("%016x", id), "ram", "1", "door", fmt.Sprint(time.Now().UnixMilli()), "unique", "k"}
		b := msgpack.AppendString(msgpack.AppendUint(append(msgpack.AppendArray(nil, 4), 0), id), "buy")
		b = msgpack.AppendMap(msgpack.AppendArray(b, 2), len(fields)/2)
		for _, s := range fields {
			b = msgpack.AppendString(b, s)
		}
		return append(msgpack.AppendBinHeader(b, 4), "wait"...)
	}
	ts := startServer(t, 5000, withTokenStore)
	close(ts.unblock)
	ts.send(buy(1))
	ts.expectAnswer("\x94\x01\x01\xc0\x92\xc4\x04wait\x80")
	ts.stop <- syscall.SIGTERM
	ts.awaitReport("first OUT")
	ts.disconnect()
	ts.awaitExit()
	ts = startServer(t, 5000, withTokenStore)
	defer close(ts.unblock) // a second run would block until the end of the test
	ts.send(buy(2))
	ts.expectAnswer("\x94\x01\x02\xc0\x92\xc4\x04wait\x80")
	if !strings.Contains(ts.log.String(), "store.recovered") {
		t.Errorf("store.recovered missing in the log: %s", ts.log.String())
	}
	if _, err := inspectStore(dir, true); err == nil { // this process holds the lock
		t.Error("opened a folder that is in use")
	}
	ts.stop <- syscall.SIGTERM
	ts.awaitReport("first OUT")
	ts.disconnect()
	ts.awaitExit()
	if !strings.Contains(ts.log.String(), `msg=store.status`) {
		t.Errorf("store.status missing in the log: %s", ts.log.String())
	}
	if damaged, err := inspectStore(dir, true); err != nil || damaged != 0 {
		t.Errorf("store after the exit: got %d damaged segments, error %v", damaged, err)
	}
	if err := (verifyCmd{Dir: dir}).Run(); err != nil {
		t.Error(err)
	}
	if err := (compactCmd{Dir: dir}).Run(); err != nil {
		t.Error(err)
	}
}
