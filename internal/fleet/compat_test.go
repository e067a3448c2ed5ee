package fleet

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"sorrelvalve/decision/count"
	"sorrelvalve/decision/evidence"
	"sorrelvalve/decision/outlier"
	"sorrelvalve/decision/quota"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/permitclient"
)

// testdata/b631b89 was written by version b631b89 of this code. It holds a status and a reply about permits with every exported field set, the
// data folder of a server that runs version 2 of the settings and version 3 of the program, and one body of each record and packet.

// readTestdata returns the contents of a file that b631b89 wrote.
func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "b631b89", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The JSON of the status socket keeps its names, types and order: the files of b631b89 are parsed completely, and encoding them again yields the
// same bytes.
func TestStatusJSONOfB631b89(t *testing.T) {
	for name, value := range map[string]any{"status.json": &Status{}, "permits.json": &permitclient.Status{}} {
		old := readTestdata(t, name)
		if err := json.Unmarshal(old, value); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if got = append(got, '\n'); !bytes.Equal(got, old) {
			t.Errorf("%s: encoded again as\n%s\nwas\n%s", name, got, old)
		}
	}
}

// A server that starts with the data folder of b631b89 puts the stored settings version in force without the permit servers, reads its program
// version, and does not follow the directives for either again.
func TestReadsFolderOfB631b89(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"version.json", "program.json", "program"} {
		if err := os.WriteFile(filepath.Join(dir, name), readTestdata(t, filepath.Join("folder", name)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var applied, origin string
	hooks := RolloutHooks{ProgramName: "build-2", Dir: dir, Throughput: func() gate.Counts { return gate.Counts{} }, Sample: func() {},
		Apply: func(r *operator.Record, from string) error { applied, origin = r.File.Version, from; return nil }}
	v := newVersionManager(hooks, quiet())
	if applied != "two" || origin != "release of version 2" {
		t.Errorf("settings put in force: got %q from %q", applied, origin)
	}
	const hash = "b5fdce653d39cc0110b0cbdc1a90ee9bdc30a1480d1ffefc9723fc2bffba9c60"
	if status := v.status(); status.Version != 2 || status.Hash != hash || status.Program != 3 || status.Rejected != "" {
		t.Errorf("status of the versions: got %+v", status)
	}
	if v.wantsProgram(&permitclient.Directives{ProgramVersion: 4, Index: 57}) || !v.wantsProgram(&permitclient.Directives{ProgramVersion: 4, Index: 58}) {
		t.Error("the stored program version does not have directive index 57")
	}
	if v.applyDirectives(t.Context(), nil, &permitclient.Directives{SettingsVersion: 9, SettingsHash: "x", Index: 41}) {
		t.Error("an older directive about the settings is followed")
	}
	// Storing the versions again yields the same files.
	v.persist()
	if err := v.store.writeProgram(&storedProgram{Version: 3, Name: "build-2", Index: 57}); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"version.json", "program.json", "program"} {
		got, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		if old := readTestdata(t, filepath.Join("folder", name)); !bytes.Equal(got, old) {
			t.Errorf("%s: stored again as %s, was %s", name, got, old)
		}
	}
}

// Records and packets that b631b89 sent between servers are parsed with the same meaning, and encoding them again yields the same bytes.
func TestReadsRecordsOfB631b89(t *testing.T) {
	checkEncoded := func(name string, got []byte) {
		t.Helper()
		if old := readTestdata(t, name); !bytes.Equal(got, old) {
			t.Errorf("%s: encoded again as %x, was %x", name, got, old)
		}
	}
	server := ServerRecord{Zone: "z1", Version: "v1", SettingsHash: "0123456789ab", Phase: Draining, WarmupProgress: 0.25, Addr: "10.0.0.4:7801"}
	if got, ok := parseServer(readTestdata(t, "server.bin")); !ok || got != server {
		t.Errorf("server.bin: parsed as %+v, ok %v", got, ok)
	}
	checkEncoded("server.bin", server.appendTo(nil))

	removed := removal{name: "n17", generation: 7, operator: "me", reason: "scrapped"}
	if got, ok := parseRemoval(readTestdata(t, "gone.bin")); !ok || got != removed {
		t.Errorf("gone.bin: parsed as %+v, ok %v", got, ok)
	}
	checkEncoded("gone.bin", removed.appendTo(nil))

	leases := []quota.KeyedMessage{
		{Key: "quota/a", Message: quota.Message{Kind: quota.Request, RequestID: 7, Incarnation: 1 << 63, Amount: 12.5, PriorityWeight: 3, CurrentCapacity: 0.25, Renews: 6}},
		{Key: "calls/p", Message: quota.Message{Kind: quota.Grant, RequestID: 8, Incarnation: 1, Amount: 1e6, Duration: 4000}},
		{Key: "retries/p", Message: quota.Message{Kind: quota.Deny, RequestID: 9, Incarnation: 2, Reason: quota.Contended}},
	}
	if got, ok := parseLeases(readTestdata(t, "loans.bin")); !ok || !reflect.DeepEqual(got, leases) {
		t.Errorf("loans.bin: parsed as %+v, ok %v", got, ok)
	}
	var raw []byte
	for i := range leases {
		raw = appendLease(raw, &leases[i])
	}
	checkEncoded("loans.bin", raw)

	summaries := []evidence.Summary{
		{Member: "10.0.0.1:80", Run: -3, Age: 125, Attempts: 40, FailureFraction: 0.5, LogLatencyRatio: -1.5, LatencySamples: 6, BusyRemaining: 250},
		{Member: "10.0.0.2:80", Run: 9, Age: 5, Attempts: 64, LatencySamples: 7},
	}
	report := outlier.Report{Zone: "z1", Summaries: summaries, Ejected: []string{"10.0.0.1:80"}, Recoveries: []outlier.Recovery{{Member: "10.0.0.3:80", Elapsed: 1500}}}
	if got, ok := parseObservations(readTestdata(t, "seen.bin")); !ok || !reflect.DeepEqual(got, report) {
		t.Errorf("seen.bin: parsed as %+v, ok %v", got, ok)
	}
	checkEncoded("seen.bin", appendObservations(summaries, report.Zone, report.Ejected, report.Recoveries))

	counters, rest, ok := parseCounts(readTestdata(t, "counts.bin"))
	want := []count.Counter{{Key: "acme|view", Value: 11.289106369018555}, {Key: "in hand|p", Value: 3}}
	if !ok || rest != 0 || !reflect.DeepEqual(counters, want) {
		t.Errorf("counts.bin: parsed as %+v, rest %v, ok %v", counters, rest, ok)
	}
	counts := newLocalCounts()
	counts.counter.Add(0, "acme|view", 40)
	counts.counter.Add(500, "acme|view", 40)
	counts.inFlight["p"] = 3
	checkEncoded("counts.bin", counts.dueRecord(countsIntervalMs))
}

// The tables of valvefleet status for the same statuses are those that b631b89 wrote.
func TestViewsOfB631b89(t *testing.T) {
	raw := string(readTestdata(t, "status.json"))
	status := func(changes ...string) (s Status) {
		t.Helper()
		text := strings.NewReplacer(append([]string{`"Listening": true`, `"Listening": false`}, changes...)...).Replace(raw)
		if err := json.Unmarshal([]byte(text), &s); err != nil {
			t.Fatal(err)
		}
		return s
	}
	var out bytes.Buffer
	write := func(statuses ...Status) {
		t.Helper()
		if err := WriteViews(&out, statuses); err != nil {
			t.Fatal(err)
		}
	}
	write(status())
	write(status(`"Damped": true`, `"Damped": false`, `"Away": "text41"`, `"Away": ""`, `"Through": "text37"`, `"Through": ""`,
		`"Out": true`, `"Out": false`, `"Share": 120.5`, `"Share": 0.25`, `"Phase": "text8"`, `"Phase": "cold"`, `"To": "text85"`, `"To": "text2"`))
	other := status(`"Away": "text41"`, `"Away": ""`)
	other.Name = "other"
	other.Budgets.Quotas[0].Leases[0].To = ""
	other.SettingsHash = "else"
	other.Peers[0].Reachable = false
	write(status(`"Away": "text41"`, `"Away": ""`), other)
	other.Budgets.Quotas[0].Key = "quota/acme"
	write(other)
	if err := WriteJSON(&out, []Status{status(), other}); err != nil {
		t.Fatal(err)
	}
	if old := readTestdata(t, "views.txt"); !bytes.Equal(out.Bytes(), old) {
		t.Errorf("views.txt: written as\n%s\nwas\n%s", out.Bytes(), old)
	}
}
