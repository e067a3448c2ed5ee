package operator

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"sorrelvalve/decision/configure"
	"sorrelvalve/decision/route"
	"sorrelvalve/internal/startup"
)

// validFile returns a file that passes all checks.
func validFile() *File {
	return &File{
		Version: "7",
		UWSGI: &UWSGI{Listen: "127.0.0.1:3031", KeepAlive: "asked", MaxHeaderBytes: 4096, MaxVariables: 64, MaxPathBytes: 1024, MaxBodyBytes: 1024, BodyMemoryKB: 64,
			ReadTimeoutMs: 1000, BodyTimeoutMs: 1000, QueuedKB: 16},
		Routes: map[string]Route{"view": {Path: "/view", Method: "view", Customer: &Source{Fixed: "acme"}}},
		Pools: map[string]Pool{"p": {Members: []string{"127.0.0.1:1", "127.0.0.1:2"}, MaxConnections: 4, ConnectTimeoutMs: 100, MaxAnswerBytes: 4096,
			EjectionMs: 1000, Retry: Retry{0.1, 1, 3}}},
		Methods: map[string]Method{"view": {Pool: "p", Path: "/view", Verb: "GET"}},
	}
}

const settings = "classes.count=2\nclasses.0.name=view\nclasses.1.name=buy\nclasses.1.idempotency=idempotency_key\ncustomers.count=1\ncustomers.0.name=acme\n"

// Loading a record is strict, and each error names the key. An error without the key would not tell the operator what to
// correct.
func TestLoad(t *testing.T) {
	config, err := startup.Parse(settings)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		change func(f *File)
		text   func(s string) string
		want   string // "" for none
	}{
		{"valid", nil, nil, ""},
		{"reformatted", nil, func(s string) string { return strings.ReplaceAll(s, `": `, "\" :\n") }, ""},
		{"tabs for spaces", nil, func(s string) string { return strings.ReplaceAll(s, "  ", "\t\t") }, ""},
		{"truncated JSON", nil, func(string) string { return "{" }, "no record"},
		{"unsupported format", nil, func(s string) string { return strings.Replace(s, `"format": 1`, `"format": 2`, 1) }, "format: 1 expected, 2 there"},
		{"value changed without the hash", nil, func(s string) string { return strings.Replace(s, `"connections": 4`, `"connections": 5`, 1) }, "hash: "},
		{"unknown key of the envelope", nil, func(s string) string { return strings.Replace(s, `"format"`, `"x":1,"format"`, 1) }, `unknown field "x"`},
		{"trailing data", nil, func(s string) string { return s + "{}" }, "one object expected"},
		{"no version", func(f *File) { f.Version = "" }, nil, "version: "},
		{"address without a port", func(f *File) { f.UWSGI.Listen = "127.0.0.1" }, nil, "uwsgi.listen: "},
		{"body larger than the memory for bodies", func(f *File) { f.UWSGI.BodyMemoryKB, f.UWSGI.MaxBodyBytes = 1, 4096 }, nil, "uwsgi.bodies_kb: "},
		{"negative timeout", func(f *File) { f.UWSGI.ReadTimeoutMs = -1 }, nil, "uwsgi.silence_ms: must be a number"},
		{"routes without a front", func(f *File) { f.UWSGI = nil }, nil, "routes: there is no front"},
		{"route to an unknown method", func(f *File) { f.Routes["view"] = Route{Path: "/v", Method: "x", Customer: &Source{Fixed: "acme"}} }, nil, `routes."view".method: `},
		{"pool without members", func(f *File) { p := f.Pools["p"]; p.Members = nil; f.Pools["p"] = p }, nil, `pools."p".members: `},
		{"member with a host name", func(f *File) { f.Pools["p"].Members[1] = "db:1" }, nil, `pools."p".members[1]: `},
		{"unused pool", func(f *File) { f.Methods = nil }, nil, `pools."p": no method`},
		{"unknown method", func(f *File) { f.Methods["x"] = f.Methods["view"] }, nil, `methods."x": `},
		{"unknown pool", func(f *File) {
			f.Methods["buy"], f.Methods["view"] = f.Methods["view"], Method{Pool: "q", Path: "/", Verb: "GET"}
		}, nil, `methods."view".pool: `},
		{"budgets without a fleet", func(f *File) { f.Budgets = &Budgets{Servers: 2} }, nil, "budgets: there is no fleet"},
		{"floors above the bound", func(f *File) {
			f.Budgets.Customers["acme"] = Budget{Bound: 10, Burst: 4, Floor: 3, MaxLeaseMs: 1000}
		}, nil, `budgets.customers."acme".floor: the floors of 4 servers are 12 together`},
		{"burst of less than one for each server", func(f *File) { f.Budgets.Customers["acme"] = Budget{Bound: 10, Burst: 3, MaxLeaseMs: 1000} }, nil, `budgets.customers."acme".burst: must be at least one`},
		{"budget of an unknown customer", func(f *File) { f.Budgets.Customers["x"] = Budget{Bound: 10, Burst: 4, MaxLeaseMs: 1000} }, nil, `budgets.customers."x": no customer`},
		{"budget of an unknown pool", func(f *File) { f.Budgets.Retries = map[string]Budget{"x": {Bound: 10, Burst: 4, MaxLeaseMs: 1000}} }, nil, `budgets.retries."x": no pool`},
		{"fewer calls than servers", func(f *File) { f.Budgets.Calls = map[string]Budget{"p": {Bound: 3, MaxLeaseMs: 1000}} }, nil, `budgets.calls."p".bound: must be at least one`},
		{"lease without a maximum duration", func(f *File) { f.Budgets.Customers["acme"] = Budget{Bound: 10, Burst: 4} }, nil, `budgets.customers."acme".longest_ms: must be a number`},
		{"valid budgets", func(f *File) { f.Budgets.Calls = map[string]Budget{"p": {Bound: 4, MaxLeaseMs: 1000, LingerMs: 100}} }, nil, ""},
		{"no attempts", func(f *File) { p := f.Pools["p"]; p.Retry.MaxAttempts = 0; f.Pools["p"] = p }, nil, `pools."p".retry.most: `},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := validFile()
			if strings.HasPrefix(c.want, "budgets.") || c.name == "valid budgets" {
				f.Fleet = &Fleet{Listen: "127.0.0.1:7946"}
				f.Budgets = &Budgets{Servers: 4, ClockDrift: 1e-3, Customers: map[string]Budget{"acme": {Bound: 10, Burst: 4, MaxLeaseMs: 1000}}}
			}
			if c.change != nil {
				c.change(f)
			}
			b, err := Marshal(f)
			if err != nil {
				t.Fatal(err)
			}
			s := string(b)
			if c.text != nil {
				s = c.text(s)
			}
			path := filepath.Join(t.TempDir(), "record")
			if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
				t.Fatal(err)
			}
			r, err := Load(path, config)
			if c.want == "" && (err != nil || r.File.Version != "7") {
				t.Fatalf("load of a valid record: got %+v, error %v", r, err)
			}
			if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("load: got error %v, want %q", err, c.want)
			}
		})
	}
}

// Converting a file to a tree and back does not change it, and a change of a part that requires a restart is rejected. If a
// path were missing in RestartOnly, such a change would seem to succeed without effect.
func TestTree(t *testing.T) {
	tree, err := Tree(validFile())
	if err != nil {
		t.Fatal(err)
	}
	back, err := FromTree(tree)
	if err != nil || !reflect.DeepEqual(back, validFile()) {
		t.Errorf("file converted to a tree and back: got %+v, error %v", back, err)
	}
	tree["none"] = 1.0
	if _, err := FromTree(tree); err == nil {
		t.Error("unknown key was accepted")
	}
	delete(tree, "none")
	for _, c := range []struct {
		change func(*File)
		want   string // of the error; "" for none
	}{
		{func(f *File) { f.UWSGI.MaxBodyBytes = 1; delete(f.Routes, "view") }, ""},
		{func(f *File) { f.UWSGI.Listen = "127.0.0.1:1" }, "/uwsgi/listen: only a new start"},
		{func(f *File) { f.UWSGI = nil }, "/uwsgi/listen: only a new start"},
		{func(f *File) { f.Queue.SettledMs = 20 }, "/hold/settled_ms: only a new start"},
		{func(f *File) { f.Store = &Store{Dir: "/x"} }, "/store/"},
	} {
		store, err := configure.New(configure.Version{Number: 1, Tree: tree}, func(configure.Tree) []configure.Violation { return nil }, nil, RestartOnly, 3)
		if err != nil {
			t.Fatal(err)
		}
		next := validFile()
		c.change(next)
		candidate, err := Tree(next)
		if err != nil {
			t.Fatal(err)
		}
		_, err = store.Commit(candidate, 1, 0, "test", true)
		if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("commit: got error %v, want %q", err, c.want)
		}
	}
	if n := validFile().Descriptors(); n != 9 {
		t.Errorf("descriptors: got %d, want 9", n)
	}
}

// Each error of Check names a key, and neither Parse nor Check panics on arbitrary records.
func FuzzRead(f *testing.F) {
	b, _ := Marshal(validFile())
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Parse(b)
		if err != nil {
			return
		}
		for _, fault := range Check(&r.File, route.Catalog{}) {
			if fault.Path == "" {
				t.Error("error without a key")
			}
		}
	})
}
