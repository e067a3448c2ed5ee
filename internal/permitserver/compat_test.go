package permitserver

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// copyTree copies the directory src to dst.
func copyTree(t *testing.T, src, dst string) {
	t.Helper()
	err := filepath.Walk(src, func(path string, info os.FileInfo, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(src, path)
		if info.IsDir() {
			return os.MkdirAll(filepath.Join(dst, rel), 0o700)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(dst, rel), b, 0o600)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// A replica must start from a data directory of version b631b89, or an upgrade would lose the permits. testdata/b631b89 holds a
// raft log with plain and compressed entries, and a snapshot. The expected state is that of the snapshot with the later entries
// applied.
func TestReadsDiskOfB631b89(t *testing.T) {
	dir := t.TempDir()
	copyTree(t, filepath.Join("testdata", "b631b89"), dir)
	replica, err := Start(Options{Name: "k0", Peers: []Peer{{"k0", freeAddress(t), freeAddress(t)}}, DataDir: dir, Log: discardLog()})
	if err != nil {
		t.Fatal(err)
	}
	defer replica.Close()
	for end := time.Now().Add(waitLimit); ; time.Sleep(10 * time.Millisecond) {
		state, _, err := replica.State()
		if err == nil {
			if state.HaltReason != "in the log after the snapshot" || state.HaltedBy != "op" || len(state.Servers) != 100 || state.Servers[7].Name != "n7" || state.Servers[7].Zone != "z1" {
				t.Errorf("state: halted %q by %q with %d servers, want the state of version b631b89", state.HaltReason, state.HaltedBy, len(state.Servers))
			}
			if state.Limits.Fleet.MaxCount != 2 {
				t.Errorf("limits: got %+v, want a maximum of 2 for the fleet", state.Limits)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal("the replica has not become the leader in time")
		}
	}
}
