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

// Model and operator's file have the same keys, both ways, and agree which are tables, lists and leaves.
func TestKeysAgree(t *testing.T) {
	m := load(t)
	var walk func(path string, e *yang.Entry, typ reflect.Type)
	walk = func(path string, e *yang.Entry, typ reflect.Type) {
		for typ.Kind() == reflect.Pointer {
			typ = typ.Elem()
		}
		if e.IsList() {
			if typ.Kind() != reflect.Map {
				t.Errorf("%s: a list in the model, %v in the file", path, typ)
				return
			}
			typ = typ.Elem()
		}
		if typ.Kind() != reflect.Struct {
			if leaf := e.IsLeaf() || e.IsLeafList() || e.IsList() && len(e.Dir) == 2; !leaf {
				t.Errorf("%s: a table in the model, %v in the file", path, typ)
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
				t.Errorf("%s/%s: not in the model", path, key)
				continue
			}
			walk(path+"/"+key, e.Dir[key], typ.Field(i).Type)
		}
		for key := range e.Dir {
			listKey := e.IsList() && key == e.Key
			if !slices.Contains(keys, key) && !listKey {
				t.Errorf("%s/%s: not in the file", path, key)
			}
		}
	}
	walk("", m.Config, reflect.TypeFor[operator.File]())
	if m.State.Config != yang.TSFalse {
		t.Error("state can be set")
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

// The example that ships passes the model's check; each change that the model does not allow is reported by its path, and CUE's
// schema or the checks of the file reject it as well.
func TestCheck(t *testing.T) {
	m := load(t)
	f, errs := cuefile.Compile([]string{"../../deploy/operator.cue"}, route.Catalog{})
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	if faults := m.Check(treeOf(t, f)); len(faults) > 0 {
		t.Fatal(faults)
	}
	cases := []struct {
		name, path string
		value      any // nil: it goes
		text       string
	}{
		{"a key that is not known", "uwsgi/bodys", 1.0, "no such key"},
		{"a table that is not known", "route", configure.Tree{}, "no such key"},
		{"a number for a text", "version", 7.0, "a text"},
		{"a text for a number", "uwsgi/variables", "7", "a number"},
		{"below its range", "uwsgi/variables", 7.0, "expected, 7 there"},
		{"above its range", "pools/pages/min_share", 1.5, "expected, 1.5 there"},
		{"between two ranges", "pools/pages/outlier", 1.0, "expected, 1 there"},
		{"in the first of two ranges", "pools/pages/outlier", 0.0, ""},
		{"no whole number", "pools/pages/connections", 1.5, "whole"},
		{"one of a list of words", "uwsgi/keep", "sometimes", "asked"},
		{"a text for true or false", "uwsgi/half_close", "true", "true or false"},
		{"an address without a port", "uwsgi/listen", "127.0.0.1", "like"},
		{"a leaf for a table", "pools/pages", 7.0, "a table"},
		{"a leaf for a list", "pools/pages/members", "127.0.0.1:1", "a list"},
		{"no members", "pools/pages/members", []any{}, "1 to 64"},
		{"a member that is no address", "pools/pages/members", []any{"db"}, "like"},
		{"a pool that is not there", "methods/account-view/pool", "others", "none of"},
		{"what must be set", "routes/view/method", nil, "must be set"},
		{"a mandatory leaf of a table that is there", "uwsgi/listen", nil, "must be set"},
		{"a path that is none", "routes/view/path", "view", "like"},
		{"a verb that is none", "routes/view/verb", "BREW", "DELETE"},
		{"a quota", "limits/quotas", configure.Tree{"acme": 5.0}, ""},
		{"a quota below nothing", "limits/quotas", configure.Tree{"acme": -5.0}, "expected, -5 there"},
		{"a store", "store", configure.Tree{"dir": "/x"}, ""},
		{"a store without a folder", "store", configure.Tree{"mb": 5.0}, "must be set"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tree := treeOf(t, f)
			path := configure.Path(strings.Split(c.path, "/"))
			at := tree
			for _, key := range path[:len(path)-1] {
				at = at[key].(configure.Tree)
			}
			if last := path[len(path)-1]; c.value == nil {
				delete(at, last)
			} else {
				at[last] = c.value
			}
			faults := m.Check(tree)
			found := c.text == "" && len(faults) == 0
			for _, x := range faults {
				found = found || c.text != "" && strings.HasPrefix(x.Path.String(), path.String()) && strings.Contains(x.Text, c.text)
			}
			if !found {
				t.Errorf("faults %v, want %s: %s", faults, path, c.text)
			}
			b, err := json.Marshal(tree) // JSON is CUE
			if err != nil {
				t.Fatal(err)
			}
			file := filepath.Join(t.TempDir(), "f.cue")
			if err := os.WriteFile(file, b, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, errs := cuefile.Compile([]string{file}, route.Catalog{}); (len(errs) > 0) != (c.text != "") {
				t.Errorf("the file's own checks say %v", errs)
			}
		})
	}
}
