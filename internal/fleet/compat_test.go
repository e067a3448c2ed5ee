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

// testdata/b631b89 was written by version b631b89 of this code: every exported field of the status and of the permits reply set, the folder
// of a server that runs version 2 of the settings and version 3 of the program, and one body of each record and packet.

func written(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "b631b89", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The JSON of the status socket keeps its names, forms and order: what b631b89 wrote is read whole and written again byte for byte.
func TestStatusJSONOfB631b89(t *testing.T) {
	for name, value := range map[string]any{"status.json": &Status{}, "permits.json": &permitclient.Status{}} {
		old := written(t, name)
		if err := json.Unmarshal(old, value); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if got = append(got, '\n'); !bytes.Equal(got, old) {
			t.Errorf("%s: written again as\n%s\nwas\n%s", name, got, old)
		}
	}
}

// A server that starts on the folder of b631b89 puts its settings version in force without asking, knows its program version, and follows
// neither word again.
func TestReadsFolderOfB631b89(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"version.json", "program.json", "program"} {
		if err := os.WriteFile(filepath.Join(dir, name), written(t, filepath.Join("folder", name)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var taken, origin string
	s := RolloutHooks{ProgramName: "build-2", Dir: dir, Throughput: func() gate.Counts { return gate.Counts{} }, Sample: func() {},
		Apply: func(r *operator.Record, from string) error { taken, origin = r.File.Version, from; return nil }}
	v := newVersionManager(s, quiet())
	if taken != "two" || origin != "release of version 2" {
		t.Errorf("put in force: %q by %q", taken, origin)
	}
	const hash = "b5fdce653d39cc0110b0cbdc1a90ee9bdc30a1480d1ffefc9723fc2bffba9c60"
	if st := v.status(); st.Version != 2 || st.Hash != hash || st.Program != 3 || st.Rejected != "" {
		t.Errorf("status %+v", st)
	}
	if v.wantsProgram(&permitclient.Directives{ProgramVersion: 4, Index: 57}) || !v.wantsProgram(&permitclient.Directives{ProgramVersion: 4, Index: 58}) {
		t.Error("the program's word is not the 57th")
	}
	if v.applyDirectives(t.Context(), nil, &permitclient.Directives{SettingsVersion: 9, SettingsHash: "x", Index: 41}) {
		t.Error("an older word about the settings is followed")
	}
	// What is written again is what was there.
	v.persist()
	if err := v.store.writeProgram(&storedProgram{Version: 3, Name: "build-2", Index: 57}); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"version.json", "program.json", "program"} {
		got, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		if old := written(t, filepath.Join("folder", name)); !bytes.Equal(got, old) {
			t.Errorf("%s: written again as %s, was %s", name, got, old)
		}
	}
}

// Records and packets of b631b89 between servers are read as they were meant, and written byte for byte as then.
func TestReadsRecordsOfB631b89(t *testing.T) {
	same := func(name string, got []byte) {
		t.Helper()
		if old := written(t, name); !bytes.Equal(got, old) {
			t.Errorf("%s: written again as %x, was %x", name, got, old)
		}
	}
	server := ServerRecord{Zone: "z1", Version: "v1", SettingsHash: "0123456789ab", Phase: Draining, WarmupProgress: 0.25, Addr: "10.0.0.4:7801"}
	if got, ok := parseServer(written(t, "server.bin")); !ok || got != server {
		t.Errorf("server: %+v %v", got, ok)
	}
	same("server.bin", server.appendTo(nil))

	away := removal{name: "n17", generation: 7, operator: "me", reason: "scrapped"}
	if got, ok := parseRemoval(written(t, "gone.bin")); !ok || got != away {
		t.Errorf("gone: %+v %v", got, ok)
	}
	same("gone.bin", away.appendTo(nil))

	loans := []quota.KeyedMessage{
		{Key: "quota/a", Message: quota.Message{Kind: quota.Request, RequestID: 7, Incarnation: 1 << 63, Amount: 12.5, PriorityWeight: 3, CurrentCapacity: 0.25, Renews: 6}},
		{Key: "calls/p", Message: quota.Message{Kind: quota.Grant, RequestID: 8, Incarnation: 1, Amount: 1e6, Duration: 4000}},
		{Key: "retries/p", Message: quota.Message{Kind: quota.Deny, RequestID: 9, Incarnation: 2, Reason: quota.Contended}},
	}
	if got, ok := parseLeases(written(t, "loans.bin")); !ok || !reflect.DeepEqual(got, loans) {
		t.Errorf("loans: %+v %v", got, ok)
	}
	var raw []byte
	for i := range loans {
		raw = appendLease(raw, &loans[i])
	}
	same("loans.bin", raw)

	views := []evidence.Summary{
		{Member: "10.0.0.1:80", Run: -3, Age: 125, Attempts: 40, FailureFraction: 0.5, LogLatencyRatio: -1.5, LatencySamples: 6, BusyRemaining: 250},
		{Member: "10.0.0.2:80", Run: 9, Age: 5, Attempts: 64, LatencySamples: 7},
	}
	said := outlier.Report{Zone: "z1", Summaries: views, Ejected: []string{"10.0.0.1:80"}, Recoveries: []outlier.Recovery{{Member: "10.0.0.3:80", Elapsed: 1500}}}
	if got, ok := parseObservations(written(t, "seen.bin")); !ok || !reflect.DeepEqual(got, said) {
		t.Errorf("seen: %+v %v", got, ok)
	}
	same("seen.bin", appendObservations(views, said.Zone, said.Ejected, said.Recoveries))

	items, rest, ok := parseCounts(written(t, "counts.bin"))
	counted := []count.Counter{{Key: "acme|view", Value: 11.289106369018555}, {Key: "in hand|p", Value: 3}}
	if !ok || rest != 0 || !reflect.DeepEqual(items, counted) {
		t.Errorf("counts: %+v %v %v", items, rest, ok)
	}
	c := newLocalCounts()
	c.counter.Add(0, "acme|view", 40)
	c.counter.Add(500, "acme|view", 40)
	c.inFlight["p"] = 3
	same("counts.bin", c.dueRecord(countsIntervalMs))
}

// The tables of valvefleet status are those of b631b89, written from the same views.
func TestViewsOfB631b89(t *testing.T) {
	raw := string(written(t, "status.json"))
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
	if old := written(t, "views.txt"); !bytes.Equal(out.Bytes(), old) {
		t.Errorf("written as\n%s\nwas\n%s", out.Bytes(), old)
	}
}
