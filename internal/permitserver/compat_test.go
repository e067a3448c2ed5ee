package permitserver

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// copyTree copies a folder of testdata to dst.
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

// A data directory written by version b631b89 of this code (testdata/b631b89: raft's log in raft.db, with entries compressed
// and plain, and a snapshot) is read by this one: the state is that of the snapshot with the later entries applied.
func TestReadsDiskOfB631b89(t *testing.T) {
	dir := t.TempDir()
	copyTree(t, filepath.Join("testdata", "b631b89"), dir)
	k, err := Start(Options{Name: "k0", Peers: []Peer{{"k0", freeAddress(t), freeAddress(t)}}, DataDir: dir, Log: discardLog()})
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	for end := time.Now().Add(waitLimit); ; time.Sleep(10 * time.Millisecond) {
		st, _, err := k.State()
		if err == nil {
			if st.HaltReason != "in the log after the snapshot" || st.HaltedBy != "op" || len(st.Servers) != 100 || st.Servers[7].Name != "n7" || st.Servers[7].Zone != "z1" {
				t.Errorf("halted %q by %q, %d servers", st.HaltReason, st.HaltedBy, len(st.Servers))
			}
			if st.Limits.Fleet.MaxCount != 2 {
				t.Errorf("limits %+v", st.Limits)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal("it never leads")
		}
	}
}
