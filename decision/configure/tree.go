package configure

// This file implements trees of settings: paths, operations and differences.

import (
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Tree is a table of settings: its values are leaves (bool, float64, string), lists of leaves ([]any) and tables
// (map[string]any). A Tree must not be changed once it was returned by a Store or passed to it.
type Tree = map[string]any

// Path is the location of a table or leaf: the keys from the root.
type Path []string

// String returns the keys, each preceded by a slash.
func (p Path) String() string { return "/" + strings.Join(p, "/") }

// under reports whether a path equals top or lies below it.
func (p Path) under(top Path) bool {
	return len(p) >= len(top) && slices.Equal(p[:len(top)], top)
}

// apply applies the operation and returns the resulting tree. It may modify t, which must not be shared.
func (o *Operation) apply(t Tree) (Tree, error) {
	if len(o.Path) == 0 {
		return o.applyToRoot(t)
	}
	last := len(o.Path) - 1
	parent, err := o.parent(t, o.Path[:last])
	if err != nil {
		return nil, err
	}
	if parent == nil { // the path to delete does not exist
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

// applyToRoot applies the operation to the whole tree.
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

// parent returns the table at a path. Missing tables are created, except for a Delete, which gets nil instead.
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

// merge merges value into old: tables are merged key by key, all other values are replaced. It modifies the tables of old.
func merge(old, value any) any {
	table, isTable := old.(Tree)
	additions, valueIsTable := value.(Tree)
	if !isTable || !valueIsTable {
		return clone(value)
	}
	for key, child := range additions {
		table[key] = merge(table[key], child)
	}
	return table
}

// clone returns a deep copy of a value.
func clone(v any) any {
	switch x := v.(type) {
	case Tree:
		t := make(Tree, len(x))
		for key, child := range x {
			t[key] = clone(child)
		}
		return t
	case []any:
		list := make([]any, len(x))
		for i, item := range x {
			list[i] = clone(item)
		}
		return list
	}
	return v
}

// Change is a difference at one leaf, list of leaves or empty table, or between a leaf and a table. Before or After is nil if
// the value does not exist on that side.
type Change struct {
	Path          Path
	Before, After any
}

// Diff returns the differences between two trees, sorted by path.
func Diff(before, after Tree) (changes []Change) {
	diff(nil, before, after, &changes)
	return changes
}

// diff appends the differences between the values at a path to changes.
func diff(path Path, before, after any, changes *[]Change) {
	oldTable, oldIsTable := before.(Tree)
	newTable, newIsTable := after.(Tree)
	noTables := !oldIsTable && !newIsTable
	emptyTable := oldIsTable && len(oldTable) == 0 && after == nil || newIsTable && len(newTable) == 0 && before == nil
	if noTables || emptyTable {
		if !reflect.DeepEqual(before, after) {
			*changes = append(*changes, Change{path, before, after})
		}
		return
	}
	if oldIsTable != newIsTable && before != nil && after != nil { // a leaf replaces a table or vice versa
		*changes = append(*changes, Change{path, before, after})
		return
	}
	for _, key := range unionOfKeys(oldTable, newTable) {
		oldValue, inOld := oldTable[key]
		newValue, inNew := newTable[key]
		if inOld && inNew && reflect.DeepEqual(oldValue, newValue) {
			continue
		}
		diff(append(slices.Clone(path), key), oldValue, newValue, changes)
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
