package configure

// This file owns trees of settings: paths, operations on them, and differences.

import (
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Tree is a table of settings: its values are leaves (bool, float64, string), lists of leaves ([]any) and tables
// (map[string]any). A Tree that was returned by a Store or given to it must not be changed any more.
type Tree = map[string]any

// Path leads to a table or leaf, by the keys from the root.
type Path []string

// String returns the keys, each behind a slash.
func (p Path) String() string { return "/" + strings.Join(p, "/") }

// under reports whether a path is another or lies below it.
func (p Path) under(top Path) bool {
	return len(p) >= len(top) && slices.Equal(p[:len(top)], top)
}

// apply carries out the operation on a tree that nobody else holds, and returns the result.
func (o *Operation) apply(t Tree) (Tree, error) {
	if len(o.Path) == 0 {
		return o.applyToRoot(t)
	}
	last := len(o.Path) - 1
	parent, err := o.parent(t, o.Path[:last])
	if err != nil {
		return nil, err
	}
	if parent == nil { // what is deleted does not exist
		return t, nil
	}
	key := o.Path[last]
	switch o.Kind {
	case Delete:
		delete(parent, key)
	case Replace:
		parent[key] = clone(o.Value)
	case Update:
		parent[key] = merge(parent[key], o.Value)
	}
	return t, nil
}

// applyToRoot carries out the operation on the whole tree.
func (o *Operation) applyToRoot(t Tree) (Tree, error) {
	switch v := o.Value.(type) {
	case nil:
		return Tree{}, nil
	case Tree:
		if o.Kind == Replace {
			return clone(v).(Tree), nil
		}
		return merge(t, v).(Tree), nil
	}
	return nil, ErrNotTable
}

// parent returns the table at a path. Where a table is missing, it is created, or nil is returned for a delete.
func (o *Operation) parent(t Tree, path Path) (Tree, error) {
	table := t
	for _, key := range path {
		next, exists := table[key]
		if !exists {
			if o.Kind == Delete {
				return nil, nil
			}
			next = Tree{}
			table[key] = next
		}
		child, isTable := next.(Tree)
		if !isTable {
			return nil, ErrNotTable
		}
		table = child
	}
	return table, nil
}

// merge lays a value over another: tables key by key, all else replaced. It changes the tables of the first.
func merge(old, value any) any {
	table, isTable := old.(Tree)
	with, withTable := value.(Tree)
	if !isTable || !withTable {
		return clone(value)
	}
	for key, x := range with {
		table[key] = merge(table[key], x)
	}
	return table
}

// clone returns a deep copy of a value.
func clone(v any) any {
	switch x := v.(type) {
	case Tree:
		t := make(Tree, len(x))
		for key, y := range x {
			t[key] = clone(y)
		}
		return t
	case []any:
		l := make([]any, len(x))
		for i, y := range x {
			l[i] = clone(y)
		}
		return l
	}
	return v
}

// Change is one leaf, list of leaves, or empty table that differs. Before or After is nil where it does not exist.
type Change struct {
	Path          Path
	Before, After any
}

// Diff returns what differs between two trees, in the order of paths.
func Diff(before, after Tree) (changes []Change) {
	diff(nil, before, after, &changes)
	return changes
}

func diff(path Path, before, after any, changes *[]Change) {
	a, aTable := before.(Tree)
	b, bTable := after.(Tree)
	noTables := !aTable && !bTable
	emptyTable := aTable && len(a) == 0 && after == nil || bTable && len(b) == 0 && before == nil
	if noTables || emptyTable {
		if !reflect.DeepEqual(before, after) {
			*changes = append(*changes, Change{path, before, after})
		}
		return
	}
	if aTable != bTable && before != nil && after != nil { // a leaf in place of a table, or the other way round
		*changes = append(*changes, Change{path, before, after})
		return
	}
	for _, key := range unionOfKeys(a, b) {
		x, inA := a[key]
		y, inB := b[key]
		if inA && inB && reflect.DeepEqual(x, y) {
			continue
		}
		diff(append(slices.Clone(path), key), x, y, changes)
	}
}

// unionOfKeys returns the keys of both tables, sorted.
func unionOfKeys(a, b Tree) []string {
	keys := slices.Collect(maps.Keys(a))
	for key := range b {
		if _, known := a[key]; !known {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
