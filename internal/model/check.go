package model

// This file implements the check of a tree of settings against the model.

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/openconfig/goyang/pkg/yang"

	"sorrelvalve/decision/configure"
)

// Check returns all violations of the model in a tree of settings, sorted by key at each level. A list is represented as a table
// with one entry for each key value, as in the operator's file.
func (m *Model) Check(t configure.Tree) []configure.Violation {
	c := &checker{model: m, root: t}
	c.checkTable(nil, m.Config, t)
	return c.violations
}

// checker collects the violations of one tree.
type checker struct {
	model      *Model
	root       configure.Tree
	violations []configure.Violation
}

// report adds a violation.
func (c *checker) report(path configure.Path, format string, a ...any) {
	c.violations = append(c.violations, configure.Violation{Path: path, Text: fmt.Sprintf(format, a...)})
}

// childPath returns a copy of path with key appended.
func childPath(path configure.Path, key string) configure.Path {
	return append(slices.Clone(path), key)
}

// isKey reports whether e is a list and key is the list's key leaf. Entries do not contain this leaf, since their name in the
// table is its value.
func isKey(e *yang.Entry, key string) bool { return e.IsList() && key == e.Key }

// checkTable checks a container or one entry of a list.
func (c *checker) checkTable(path configure.Path, e *yang.Entry, t configure.Tree) {
	for _, key := range slices.Sorted(maps.Keys(t)) {
		child := e.Dir[key]
		if child == nil || isKey(e, key) {
			c.report(childPath(path, key), "unknown key")
			continue
		}
		c.checkValue(childPath(path, key), child, t[key])
	}
	for _, key := range slices.Sorted(maps.Keys(e.Dir)) {
		if _, set := t[key]; !set && e.Dir[key].Mandatory == yang.TSTrue && !isKey(e, key) {
			c.report(childPath(path, key), "must be set")
		}
	}
}

// checkValue checks a value against the entry of its key.
func (c *checker) checkValue(path configure.Path, e *yang.Entry, v any) {
	switch {
	case e.IsList():
		c.checkList(path, e, v)
	case e.IsLeafList():
		c.checkLeafList(path, e, v)
	case e.IsLeaf():
		c.checkLeaf(path, e, v)
	default:
		t, isTable := v.(configure.Tree)
		if !isTable {
			c.report(path, "must be a table")
			return
		}
		c.checkTable(path, e, t)
	}
}

// checkList checks a list, which is a table of its entries.
func (c *checker) checkList(path configure.Path, e *yang.Entry, v any) {
	t, isTable := v.(configure.Tree)
	if !isTable {
		c.report(path, "must be a table keyed by %s", e.Key)
		return
	}
	// A list that has only a key and a leaf "value" may be a table of plain values.
	value := e.Dir["value"]
	valuesOnly := value != nil && len(e.Dir) == 2
	for _, name := range slices.Sorted(maps.Keys(t)) {
		entryPath := childPath(path, name)
		c.checkLeaf(entryPath, e.Dir[e.Key], name)
		entry, isTable := t[name].(configure.Tree)
		switch {
		case isTable:
			c.checkTable(entryPath, e, entry)
		case valuesOnly:
			c.checkLeaf(entryPath, value, t[name])
		default:
			c.report(entryPath, "must be a table")
		}
	}
}

// checkLeafList checks a list of values and the number of them.
func (c *checker) checkLeafList(path configure.Path, e *yang.Entry, v any) {
	l, isList := v.([]any)
	if !isList {
		c.report(path, "must be a list")
		return
	}
	if n := uint64(len(l)); e.ListAttr != nil && (n < e.ListAttr.MinElements || n > e.ListAttr.MaxElements) {
		c.report(path, "must have %d to %d items, got %d", e.ListAttr.MinElements, e.ListAttr.MaxElements, n)
	}
	for i, item := range l {
		c.checkLeaf(childPath(path, fmt.Sprint(i)), e, item)
	}
}

// checkLeaf checks a value against the type of its leaf.
func (c *checker) checkLeaf(path configure.Path, e *yang.Entry, v any) {
	t := e.Type
	switch t.Kind {
	case yang.Ybool:
		if _, isBool := v.(bool); !isBool {
			c.report(path, "must be true or false")
		}
	case yang.Yenum:
		if s, isText := v.(string); !isText || !slices.Contains(t.Enum.Names(), s) {
			c.report(path, "must be one of %s", strings.Join(t.Enum.Names(), ", "))
		}
	case yang.Yuint32, yang.Yuint64, yang.Ydecimal64:
		c.checkNumber(path, t, v)
	case yang.Yleafref:
		s, isText := v.(string)
		if !isText {
			c.report(path, "must be a name")
		} else if !c.referenceExists(t.Path, s) {
			c.report(path, "%.40q does not exist in %s", s, t.Path)
		}
	default:
		c.checkText(path, t, v)
	}
}

// checkNumber checks the range of a number, and whether it is whole if it must be.
func (c *checker) checkNumber(path configure.Path, t *yang.YangType, v any) {
	x, isNumber := v.(float64)
	switch {
	case !isNumber || math.IsNaN(x) || math.IsInf(x, 0):
		c.report(path, "must be a number")
	case t.Kind != yang.Ydecimal64 && x != math.Trunc(x):
		c.report(path, "must be a whole number, got %g", x)
	case !inRange(t.Range, x):
		c.report(path, "must be in the range %s, got %g", t.Range, x)
	}
}

// checkText checks the length and the patterns of a text.
func (c *checker) checkText(path configure.Path, t *yang.YangType, v any) {
	s, isText := v.(string)
	if !isText {
		c.report(path, "must be a text")
		return
	}
	if len(t.Length) > 0 && !inRange(t.Length, float64(len(s))) {
		c.report(path, "must be %s bytes long, got %d", t.Length, len(s))
	}
	for _, pattern := range t.Pattern {
		if !c.model.patterns[pattern].MatchString(s) {
			c.report(path, "must match %s, got %.40q", pattern, s)
		}
	}
}

// inRange reports whether a number is in one of the ranges. Any number is if there are no ranges.
func inRange(ranges yang.YangRange, x float64) bool {
	for _, r := range ranges {
		if x >= float(r.Min) && x <= float(r.Max) {
			return true
		}
	}
	return len(ranges) == 0
}

// float converts a number of the model.
func float(n yang.Number) float64 {
	x := float64(n.Value) / math.Pow10(int(n.FractionDigits))
	if n.Negative {
		return -x
	}
	return x
}

// referenceExists reports whether the list at path has an entry with the given name. References in this model are absolute paths
// to the key of a list below config.
func (c *checker) referenceExists(path, name string) bool {
	var node any = c.root
	for _, step := range strings.Split(strings.Trim(path, "/"), "/")[1:] {
		if _, unprefixed, prefixed := strings.Cut(step, ":"); prefixed {
			step = unprefixed
		}
		t, isTable := node.(configure.Tree)
		if !isTable {
			return false
		}
		next, set := t[step]
		if !set { // step is the list's key, and t is the table of its entries
			_, exists := t[name]
			return exists
		}
		node = next
	}
	return false
}
