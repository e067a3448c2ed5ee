package cuefile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sorrelvalve/decision/route"
	"sorrelvalve/internal/operator"
)

var known = route.Catalog{
	Methods: []string{"account-view", "settings-save", "topup-buy"}, RequireToken: map[string]bool{"topup-buy": true},
	Customers: []string{"kaipara-wireless", "ruapehu-air", "maniototo-net"},
}

// The example that ships compiles, and the record made of it reads as the same file.
func TestExample(t *testing.T) {
	f, errs := Compile([]string{"../../deploy/operator.cue"}, known)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	if f.UWSGI.KeepAlive != "asked" || f.UWSGI.MaxHeaderBytes != 16384 || f.Pools["pages"].Retry.MaxAttempts != 3 || f.Pools["pages"].OutlierFactor != 4 ||
		f.Routes["topup"].Token.Variable != "HTTP_IDEMPOTENCY_KEY" || f.Routes["view"].Type != "application/json" {
		t.Errorf("defaults %+v", f)
	}
	b, err := operator.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	r, err := operator.Parse(b)
	if err != nil || r.File.Version != f.Version || len(r.File.Routes) != 3 || r.File.Pools["pages"].MinShare != 0.5 {
		t.Errorf("record %+v, error %v", r, err)
	}
}

// Whatever is wrong is told with file, line and key.
func TestFaults(t *testing.T) {
	b, err := os.ReadFile("../../deploy/operator.cue")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name, old, new string
		at, key, text  string
	}{
		{"no CUE", "uwsgi: listen", "uwsgi: : listen", "op.cue:8", "", ""},
		{"a key that is not known", `uwsgi: listen: "127.0.0.1:3031"`, `uwsgi: {listen: "127.0.0.1:3031", bodys: 1}`, "op.cue:8", "uwsgi.bodys", "not allowed"},
		{"a table that is not known", `uwsgi: listen: "127.0.0.1:3031"`, "uwsgi: listen: \"127.0.0.1:3031\"\nroute: {}", "op.cue:9", "route", "no key"},
		{"a value of another type", `uwsgi: listen: "127.0.0.1:3031"`, `uwsgi: {listen: "127.0.0.1:3031", body_bytes: "1"}`, "op.cue:8", "uwsgi.body_bytes", ""},
		{"a value out of range", `uwsgi: listen: "127.0.0.1:3031"`, `uwsgi: {listen: "127.0.0.1:3031", block_bytes: 70000}`, "op.cue:8", "uwsgi.block_bytes", ""},
		{"no version", `version: "example 1"`, "", "op.cue", "version", ""},
		{"a port out of range", "127.0.0.1:3031", "127.0.0.1:99999", "op.cue:8", "uwsgi.listen", "IP address"},
		{"a method that the settings lack", `"account-view"` + "\n\t\ttype", `"account-see"` + "\n\t\ttype", "op.cue:19", `routes."view".method`, "no method"},
		{"a customer that they lack", "ruapehu-air", "ruapehu-sea", "op.cue:", `routes."save".customer`, "no customer"},
		{"a tokened route without a token", `token: variable:  "HTTP_IDEMPOTENCY_KEY"`, "", "op.cue:", `routes."topup".token`, "tokened"},
		{"two routes that tie", `"/accounts/{id}/settings"`, `"/accounts/{x}/topups"`, "op.cue:", `routes."topup".path`, ""},
		{"a pool that is not there", `pool: "pages"`, `pool: "others"`, "op.cue:46", `methods."account-view".pool`, "no pool"},
		{"a member twice", `"127.0.0.1:4102"`, `"127.0.0.1:4101"`, "op.cue:43", `pools."pages".members[1]`, "already"},
		{"a verb that no front takes", `verb:     "PUT"`, `verb: "TRACE"`, "op.cue:", "routes.save.verb", ""},
		{"a source with two origins", `subject: segment: "id"`, `subject: {segment: "id", query: "id"}`, "op.cue:", "routes.view.subject", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := string(b)
			if text = strings.Replace(text, c.old, c.new, 1); text == string(b) {
				t.Fatal("nothing replaced")
			}
			if c.name == "two routes that tie" {
				text = strings.Replace(text, `verb:     "PUT"`, `verb: "POST"`, 1)
			}
			path := filepath.Join(t.TempDir(), "op.cue")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, errs := Compile([]string{path}, known)
			for _, e := range errs {
				if s := e.Error(); strings.Contains(s, c.at) && strings.HasPrefix(e.Key, c.key) && strings.Contains(e.Text, c.text) {
					return
				}
			}
			t.Errorf("errors %v, want %s: %s: %s", errs, c.at, c.key, c.text)
		})
	}
}

// Files that are taken together must agree, and each fault names the file it is in.
func TestSeveral(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.cue"), filepath.Join(dir, "b.cue")
	if err := os.WriteFile(a, []byte("version: \"1\"\nuwsgi: listen: \"127.0.0.1:1\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(b, []byte("\nuwsgi: keep: \"always\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if f, errs := Compile([]string{a, b}, known); len(errs) > 0 || f.UWSGI.KeepAlive != "always" {
		t.Errorf("file %+v, errors %v", f, errs)
	}
	if err := os.WriteFile(b, []byte("\nuwsgi: keep: \"sometimes\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, errs := Compile([]string{a, b}, known); len(errs) == 0 || !strings.Contains(errs[0].Error(), "b.cue:2: uwsgi.keep") {
		t.Errorf("errors %v", errs)
	}
}

// Every example under deploy/ compiles.
func TestExamples(t *testing.T) {
	all, err := filepath.Glob("../../deploy/*.cue")
	if err != nil || len(all) < 3 {
		t.Fatal(all, err)
	}
	for _, path := range all {
		if f, errs := Compile([]string{path}, route.Catalog{}); len(errs) > 0 || f.Version == "" {
			t.Errorf("%s: %v", path, errs)
		}
	}
}
