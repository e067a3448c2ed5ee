package store_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sorrelvalve/decision/recovery"
	"sorrelvalve/internal/store"
)

// TestReadsStoreOfB631b89 checks that a segment written by version b631b89 of this code (testdata/b631b89) is read with all
// entries unchanged.
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
	limits := store.Limits{MaxBytes: 1 << 20, SegmentBytes: 8 << 10, MaxResultBytes: 1 << 10, MaxWindow: 10e3, ClockTolerance: 500}
	nowMs := 1.7e12 + 1000
	s, err := store.Open(fs, limits, "compat", func() float64 { return nowMs }, func(string, error) {})
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
		entry, ok, err := s.Lookup(store.FingerprintOf(c.key))
		if err != nil || !ok {
			t.Fatalf("lookup of %s: found %v, error %v", c.key, ok, err)
		}
		if entry.State != c.state || entry.BodyHash != 7 || entry.UntilMs != 1.7e12+10e3 || entry.WrittenMs != 1.7e12 || string(entry.Result) != c.result {
			t.Errorf("entry of %s: got %+v, want state %v and result %q", c.key, entry, c.state, c.result)
		}
		if c.result != "" && string(entry.Head) != "head" {
			t.Errorf("entry of %s: got head %q", c.key, entry.Head)
		}
	}
	if _, ok, _ := s.Lookup(store.FingerprintOf("never")); ok {
		t.Error("lookup found a token that was never written")
	}
	if status := s.Status(); status.Recovered != 11 || status.Failures != 0 {
		t.Errorf("status: got %+v, want 11 recovered records and no failures", status)
	}
	segments, err := store.InspectSegments(fs)
	if err != nil || len(segments) < 1 || segments[0].Records != 11 || segments[0].Version != 1 || segments[0].Err != nil {
		t.Fatalf("inspected segments: got %+v, error %v", segments, err)
	}
}
