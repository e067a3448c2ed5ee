package model

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/openconfig/goyang/pkg/yang"

	"sorrelvalve/decision/configure"
	"sorrelvalve/decision/route"
	"sorrelvalve/internal/cuefile"
	"sorrelvalve/internal/operator"
)

func load(t *testing.T) *Model {
	m, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// The model and operator.File have the same keys, and agree on which of them are tables, lists and leaves. A key that is added
// to only one of the two would make valid settings fail.
func TestKeysAgree(t *testing.T) {
	m := load(t)
	var walk func(path string, e *yang.Entry, typ reflect.Type)
	walk = func(path string, e *yang.Entry, typ reflect.Type) {
		for typ.Kind() == reflect.Pointer {
			typ = typ.Elem()
		}
		if e.IsList() {
			if typ.Kind() != reflect.Map {
				t.Errorf("%s: list in the model, %v in operator.File", path, typ)
				return
			}
			typ = typ.Elem()
		}
		if typ.Kind() != reflect.Struct {
			if leaf := e.IsLeaf() || e.IsLeafList() || e.IsList() && len(e.Dir) == 2; !leaf {
				t.Errorf("%s: table in the model, %v in operator.File", path, typ)
			}
			return
		}
		var keys []string
		for i := range typ.NumField() {
			key, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			if key == "-" {
				continue
			}
			keys = append(keys, key)
			if e.Dir[key] == nil {
				t.Errorf("%s/%s: missing in the model", path, key)
				continue
			}
			walk(path+"/"+key, e.Dir[key], typ.Field(i).Type)
		}
		for key := range e.Dir {
			listKey := e.IsList() && key == e.Key
			if !slices.Contains(keys, key) && !listKey {
				t.Errorf("%s/%s: missing in operator.File", path, key)
			}
		}
	}
	walk("", m.Config, reflect.TypeFor[operator.File]())
	if m.State.Config != yang.TSFalse {
		t.Error("container state is not config false")
	}
}

func treeOf(t *testing.T, f *operator.File) configure.Tree {
	b, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	var tree configure.Tree
	if err := json.Unmarshal(b, &tree); err != nil {
		t.Fatal(err)
	}
	return tree
}

// deploy/operator.cue passes the check of the model. Each invalid change is reported with its path, and cuefile rejects it as
// well: if the two disagreed, a file could be valid for one tool and invalid for another.
func TestCheck(t *testing.T) {
	m := load(t)
	f, errs := cuefile.Compile([]string{"../../deploy/operator.cue"}, route.Catalog{})
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	if violations := m.Check(treeOf(t, f)); len(violations) > 0 {
		t.Fatal(violations)
	}
	cases := []struct {
		name, path string
		value      any    // nil deletes the key
		text       string // of the violation; "" if the change is valid
	}{
		{"unknown key", "uwsgi/bodys", 1.0, "unknown key"},
		{"unknown table", "route", configure.Tree{}, "unknown key"},
		{"number for a text", "version", 7.0, "a text"},
		{"text for a number", "uwsgi/variables", "7", "a number"},
		{"below the range", "uwsgi/variables", 7.0, "must be in the range 8..1024, got 7"},
		{"above the range", "pools/pages/min_share", 1.5, "must be in the range 0.0000..1.0000, got 1.5"},
		{"between two ranges", "pools/pages/outlier", 1.0, "must be in the range 0.000|1.500..1000.000, got 1"},
		{"in the first of two ranges", "pools/pages/outlier", 0.0, ""},
		{"fraction for a whole number", "pools/pages/connections", 1.5, "whole"},
		{"unknown enum value", "uwsgi/keep", "sometimes", "asked"},
		{"text for a boolean", "uwsgi/half_close", "true", "true or false"},
		{"address without a port", "uwsgi/listen", "127.0.0.1", "must match"},
		{"leaf for a table", "pools/pages", 7.0, "a table"},
		{"leaf for a list", "pools/pages/members", "127.0.0.1:1", "a list"},
		{"no members", "pools/pages/members", []any{}, "1 to 64"},
		{"member that is not an address", "pools/pages/members", []any{"db"}, "must match"},
		{"unknown pool", "methods/account-view/pool", "others", "does not exist in"},
		{"mandatory leaf deleted", "routes/view/method", nil, "must be set"},
		{"mandatory leaf of an optional table deleted", "uwsgi/listen", nil, "must be set"},
		{"path without a slash", "routes/view/path", "view", "must match"},
		{"unknown verb", "routes/view/verb", "BREW", "DELETE"},
		{"quota", "limits/quotas", configure.Tree{"acme": 5.0}, ""},
		{"negative quota", "limits/quotas", configure.Tree{"acme": -5.0}, "must be in the range 0.000..1000000000.000, got -5"},
		{"store", "store", configure.Tree{"dir": "/x"}, ""},
		{"store without a directory", "store", configure.Tree{"mb": 5.0}, "must be set"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tree := treeOf(t, f)
			path := configure.Path(strings.Split(c.path, "/"))
			table := tree
			for _, key := range path[:len(path)-1] {
				table = table[key].(configure.Tree)
			}
			if last := path[len(path)-1]; c.value == nil {
				delete(table, last)
			} else {
				table[last] = c.value
			}
			violations := m.Check(tree)
			found := c.text == "" && len(violations) == 0
			for _, violation := range violations {
				found = found || c.text != "" && strings.HasPrefix(violation.Path.String(), path.String()) && strings.Contains(violation.Text, c.text)
			}
			if !found {
				t.Errorf("violations: got %v, want %s: %s", violations, path, c.text)
			}
			b, err := json.Marshal(tree) // valid CUE as well, as JSON is a subset
			if err != nil {
				t.Fatal(err)
			}
			file := filepath.Join(t.TempDir(), "f.cue")
			if err := os.WriteFile(file, b, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, errs := cuefile.Compile([]string{file}, route.Catalog{}); (len(errs) > 0) != (c.text != "") {
				t.Errorf("cuefile disagrees with the model: errors %v", errs)
			}
		})
	}
}
