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

func sound() *File {
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

// A record is read strictly, and every error names its key.
func TestLoad(t *testing.T) {
	o, err := startup.Parse(settings)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		change func(f *File)
		text   func(s string) string
		want   string // "" for none
	}{
		{"sound", nil, nil, ""},
		{"laid out anew", nil, func(s string) string { return strings.ReplaceAll(s, `": `, "\" :\n") }, ""},
		{"blanks alone", nil, func(s string) string { return strings.ReplaceAll(s, "  ", "\t\t") }, ""},
		{"no record", nil, func(string) string { return "{" }, "no record"},
		{"another format", nil, func(s string) string { return strings.Replace(s, `"format": 1`, `"format": 2`, 1) }, "format: 1 expected, 2 there"},
		{"changed by hand", nil, func(s string) string { return strings.Replace(s, `"connections": 4`, `"connections": 5`, 1) }, "hash: "},
		{"a key of the envelope that is not known", nil, func(s string) string { return strings.Replace(s, `"format"`, `"x":1,"format"`, 1) }, `unknown field "x"`},
		{"more behind it", nil, func(s string) string { return s + "{}" }, "one object expected"},
		{"no version", func(f *File) { f.Version = "" }, nil, "version: "},
		{"an address without a port", func(f *File) { f.UWSGI.Listen = "127.0.0.1" }, nil, "uwsgi.listen: "},
		{"a body that no budget holds", func(f *File) { f.UWSGI.BodyMemoryKB, f.UWSGI.MaxBodyBytes = 1, 4096 }, nil, "uwsgi.bodies_kb: "},
		{"not a number", func(f *File) { f.UWSGI.ReadTimeoutMs = -1 }, nil, "uwsgi.silence_ms: a number"},
		{"routes and no front", func(f *File) { f.UWSGI = nil }, nil, "routes: there is no front"},
		{"an unknown method", func(f *File) { f.Routes["view"] = Route{Path: "/v", Method: "x", Customer: &Source{Fixed: "acme"}} }, nil, `routes."view".method: `},
		{"a pool without members", func(f *File) { p := f.Pools["p"]; p.Members = nil; f.Pools["p"] = p }, nil, `pools."p".members: `},
		{"a member by name", func(f *File) { f.Pools["p"].Members[1] = "db:1" }, nil, `pools."p".members[1]: `},
		{"a pool for nothing", func(f *File) { f.Methods = nil }, nil, `pools."p": no method`},
		{"a method that is not known", func(f *File) { f.Methods["x"] = f.Methods["view"] }, nil, `methods."x": `},
		{"a pool that is not there", func(f *File) {
			f.Methods["buy"], f.Methods["view"] = f.Methods["view"], Method{Pool: "q", Path: "/", Verb: "GET"}
		}, nil, `methods."view".pool: `},
		{"budgets without a fleet", func(f *File) { f.Budgets = &Budgets{Servers: 2} }, nil, "budgets: there is no fleet"},
		{"floors beyond the bound", func(f *File) {
			f.Budgets.Customers["acme"] = Budget{Bound: 10, Burst: 4, Floor: 3, MaxLeaseMs: 1000}
		}, nil, `budgets.customers."acme".floor: 4 servers keep 12 together`},
		{"a burst of less than one each", func(f *File) { f.Budgets.Customers["acme"] = Budget{Bound: 10, Burst: 3, MaxLeaseMs: 1000} }, nil, `budgets.customers."acme".burst: at least one`},
		{"a budget of nobody", func(f *File) { f.Budgets.Customers["x"] = Budget{Bound: 10, Burst: 4, MaxLeaseMs: 1000} }, nil, `budgets.customers."x": no customer`},
		{"a budget of no pool", func(f *File) { f.Budgets.Retries = map[string]Budget{"x": {Bound: 10, Burst: 4, MaxLeaseMs: 1000}} }, nil, `budgets.retries."x": no pool`},
		{"fewer calls than servers", func(f *File) { f.Budgets.Calls = map[string]Budget{"p": {Bound: 3, MaxLeaseMs: 1000}} }, nil, `budgets.calls."p".bound: at least one`},
		{"a loan for ever", func(f *File) { f.Budgets.Customers["acme"] = Budget{Bound: 10, Burst: 4} }, nil, `budgets.customers."acme".longest_ms: a number`},
		{"budgets, sound", func(f *File) { f.Budgets.Calls = map[string]Budget{"p": {Bound: 4, MaxLeaseMs: 1000, LingerMs: 100}} }, nil, ""},
		{"no tries", func(f *File) { p := f.Pools["p"]; p.Retry.MaxAttempts = 0; f.Pools["p"] = p }, nil, `pools."p".retry.most: `},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := sound()
			if strings.HasPrefix(c.want, "budgets.") || c.name == "budgets, sound" {
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
			r, err := Load(path, o)
			if c.want == "" && (err != nil || r.File.Version != "7") {
				t.Fatalf("record %+v, error %v", r, err)
			}
			if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

// A file is the same after it has been a tree, and what only a new start can change is told from the rest.
func TestTree(t *testing.T) {
	tree, err := Tree(sound())
	if err != nil {
		t.Fatal(err)
	}
	back, err := FromTree(tree)
	if err != nil || !reflect.DeepEqual(back, sound()) {
		t.Errorf("%+v, error %v", back, err)
	}
	tree["none"] = 1.0
	if _, err := FromTree(tree); err == nil {
		t.Error("a key that is not known was taken")
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
		x, err := configure.New(configure.Version{Number: 1, Tree: tree}, func(configure.Tree) []configure.Violation { return nil }, nil, RestartOnly, 3)
		if err != nil {
			t.Fatal(err)
		}
		next := sound()
		c.change(next)
		candidate, err := Tree(next)
		if err != nil {
			t.Fatal(err)
		}
		_, err = x.Commit(candidate, 1, 0, "test", true)
		if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("error %v, want %q", err, c.want)
		}
	}
	if n := sound().Descriptors(); n != 9 {
		t.Errorf("%d descriptors", n)
	}
}

func FuzzRead(f *testing.F) {
	b, _ := Marshal(sound())
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Parse(b)
		if err != nil {
			return
		}
		for _, x := range Check(&r.File, route.Catalog{}) {
			if x.Path == "" {
				t.Error("a fault without a key")
			}
		}
	})
}
