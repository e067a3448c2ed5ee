package store_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/store"
)

// TestReadsStoreOfB631b89 reads a segment that version b631b89 of this code has written (testdata/b631b89): each entry is as
// it was.
func TestReadsStoreOfB631b89(t *testing.T) {
	dir := t.TempDir()
	b, err := os.ReadFile(filepath.Join("testdata", "b631b89", "00000001.seg"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "00000001.seg"), b, 0o600); err != nil {
		t.Fatal(err)
	}
	fs, err := store.OpenDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	bounds := store.Limits{MaxBytes: 1 << 20, SegmentBytes: 8 << 10, MaxResultBytes: 1 << 10, MaxWindow: 10e3, ClockTolerance: 500}
	at := 1.7e12 + 1000
	s, err := store.Open(fs, bounds, "compat", func() float64 { return at }, func(string, error) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	cases := []struct {
		key    string
		state  recovery.State
		result string
	}{
		{"done", recovery.Succeeded, "bought for 20 dollars"},
		{"packed", recovery.Succeeded, strings.Repeat("packed answer ", 40)},
		{"begun", recovery.Started, ""},
		{"failed", recovery.Failed, ""},
		{"unkept", recovery.SucceededUncached, ""},
		{"forgotten", recovery.NeverRan, ""},
	}
	for _, c := range cases {
		f, has, err := s.Lookup(store.FingerprintOf(c.key))
		if err != nil || !has {
			t.Fatalf("%s: %v, %v", c.key, has, err)
		}
		if f.State != c.state || f.BodyHash != 7 || f.UntilMs != 1.7e12+10e3 || f.WrittenMs != 1.7e12 || string(f.Result) != c.result {
			t.Errorf("%s: %+v, want state %v and result %q", c.key, f, c.state, c.result)
		}
		if c.result != "" && string(f.Head) != "head" {
			t.Errorf("%s: head %q", c.key, f.Head)
		}
	}
	if _, has, _ := s.Lookup(store.FingerprintOf("never")); has {
		t.Error("a token that was never written is found")
	}
	if st := s.Status(); st.Recovered != 11 || st.Failures != 0 {
		t.Errorf("%+v", st)
	}
	seen, err := store.InspectSegments(fs)
	if err != nil || len(seen) < 1 || seen[0].Records != 11 || seen[0].Version != 1 || seen[0].Err != nil {
		t.Fatalf("%+v %v", seen, err)
	}
}
