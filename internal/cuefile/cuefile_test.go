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

// deploy/operator.cue compiles with the expected defaults, and its record decodes to the same file.
func TestExample(t *testing.T) {
	f, errs := Compile([]string{"../../deploy/operator.cue"}, known)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	if f.UWSGI.KeepAlive != "asked" || f.UWSGI.MaxHeaderBytes != 16384 || f.Pools["pages"].Retry.MaxAttempts != 3 || f.Pools["pages"].OutlierFactor != 4 ||
		f.Routes["topup"].Token.Variable != "HTTP_IDEMPOTENCY_KEY" || f.Routes["view"].Type != "application/json" {
		t.Errorf("compiled example has unexpected values: %+v", f)
	}
	b, err := operator.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	r, err := operator.Parse(b)
	if err != nil || r.File.Version != f.Version || len(r.File.Routes) != 3 || r.File.Pools["pages"].MinShare != 0.5 {
		t.Errorf("record of the example: got %+v, error %v", r, err)
	}
}

// Each error of an operator's file names the file, the line and the key.
func TestErrors(t *testing.T) {
	b, err := os.ReadFile("../../deploy/operator.cue")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name, old, new string
		at, key, text  string
	}{
		{"invalid CUE syntax", "uwsgi: listen", "uwsgi: : listen", "op.cue:8", "", ""},
		{"unknown key", `uwsgi: listen: "127.0.0.1:3031"`, `uwsgi: {listen: "127.0.0.1:3031", bodys: 1}`, "op.cue:8", "uwsgi.bodys", "not allowed"},
		{"unknown table", `uwsgi: listen: "127.0.0.1:3031"`, "uwsgi: listen: \"127.0.0.1:3031\"\nroute: {}", "op.cue:9", "route", "unknown key"},
		{"wrong type", `uwsgi: listen: "127.0.0.1:3031"`, `uwsgi: {listen: "127.0.0.1:3031", body_bytes: "1"}`, "op.cue:8", "uwsgi.body_bytes", ""},
		{"value out of range", `uwsgi: listen: "127.0.0.1:3031"`, `uwsgi: {listen: "127.0.0.1:3031", block_bytes: 70000}`, "op.cue:8", "uwsgi.block_bytes", ""},
		{"no version", `version: "example 1"`, "", "op.cue", "version", ""},
		{"port out of range", "127.0.0.1:3031", "127.0.0.1:99999", "op.cue:8", "uwsgi.listen", "IP address"},
		{"method missing in the settings", `"account-view"` + "\n\t\ttype", `"account-see"` + "\n\t\ttype", "op.cue:19", `routes."view".method`, "no method"},
		{"customer missing in the settings", "ruapehu-air", "ruapehu-sea", "op.cue:", `routes."save".customer`, "no customer"},
		{"keyed method without a token", `token: variable:  "HTTP_IDEMPOTENCY_KEY"`, "", "op.cue:", `routes."topup".token`, "tokened"},
		{"ambiguous routes", `"/accounts/{id}/settings"`, `"/accounts/{x}/topups"`, "op.cue:", `routes."topup".path`, ""},
		{"unknown pool", `pool: "pages"`, `pool: "others"`, "op.cue:46", `methods."account-view".pool`, "no pool"},
		{"duplicate member", `"127.0.0.1:4102"`, `"127.0.0.1:4101"`, "op.cue:43", `pools."pages".members[1]`, "already"},
		{"unsupported verb", `verb:     "PUT"`, `verb: "TRACE"`, "op.cue:", "routes.save.verb", ""},
		{"source with two origins", `subject: segment: "id"`, `subject: {segment: "id", query: "id"}`, "op.cue:", "routes.view.subject", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := string(b)
			if text = strings.Replace(text, c.old, c.new, 1); text == string(b) {
				t.Fatal("the example does not contain the text to replace")
			}
			if c.name == "ambiguous routes" {
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
			t.Errorf("compile: got errors %v, want %s: %s: %s", errs, c.at, c.key, c.text)
		})
	}
}

// Several files are unified, and an error names the file that it is in.
func TestSeveralFiles(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.cue"), filepath.Join(dir, "b.cue")
	if err := os.WriteFile(a, []byte("version: \"1\"\nuwsgi: listen: \"127.0.0.1:1\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(b, []byte("\nuwsgi: keep: \"always\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if f, errs := Compile([]string{a, b}, known); len(errs) > 0 || f.UWSGI.KeepAlive != "always" {
		t.Errorf("two valid files: got %+v, errors %v", f, errs)
	}
	if err := os.WriteFile(b, []byte("\nuwsgi: keep: \"sometimes\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, errs := Compile([]string{a, b}, known); len(errs) == 0 || !strings.Contains(errs[0].Error(), "b.cue:2: uwsgi.keep") {
		t.Errorf("invalid value in the second file: got errors %v", errs)
	}
}

// Each example in deploy/ compiles.
func TestExamples(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/*.cue")
	if err != nil || len(paths) < 3 {
		t.Fatal(paths, err)
	}
	for _, path := range paths {
		if f, errs := Compile([]string{path}, route.Catalog{}); len(errs) > 0 || f.Version == "" {
			t.Errorf("%s: errors %v", path, errs)
		}
	}
}
