package model

// This file owns the check of a tree of settings against the model.

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/openconfig/goyang/pkg/yang"

	"sorrelvalve/decision/configure"
)

// Check returns all in a tree of settings that the model does not allow, in the order of paths. Lists are tables by their
// key, as in the operator's file.
func (m *Model) Check(t configure.Tree) []configure.Violation {
	c := &checker{model: m, root: t}
	c.checkTable(nil, m.Config, t)
	return c.violations
}

// checker is one check.
type checker struct {
	model      *Model
	root       configure.Tree
	violations []configure.Violation
}

func (c *checker) report(path configure.Path, format string, a ...any) {
	c.violations = append(c.violations, configure.Violation{Path: path, Text: fmt.Sprintf(format, a...)})
}

func childPath(path configure.Path, key string) configure.Path {
	return append(slices.Clone(path), key)
}

// isKey reports whether a key is that of the list that e describes: entries hold it as their name.
func isKey(e *yang.Entry, key string) bool { return e.IsList() && key == e.Key }

// checkTable checks a container, or one entry of a list.
func (c *checker) checkTable(path configure.Path, e *yang.Entry, t configure.Tree) {
	for _, key := range slices.Sorted(maps.Keys(t)) {
		child := e.Dir[key]
		if child == nil || isKey(e, key) {
			c.report(childPath(path, key), "the model has no such key")
			continue
		}
		c.checkValue(childPath(path, key), child, t[key])
	}
	for _, key := range slices.Sorted(maps.Keys(e.Dir)) {
		if _, set := t[key]; !set && e.Dir[key].Mandatory == yang.TSTrue && !isKey(e, key) {
			c.report(childPath(path, key), "it must be set")
		}
	}
}

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
			c.report(path, "a table expected")
			return
		}
		c.checkTable(path, e, t)
	}
}

// checkList checks a list: a table of its entries by their key.
func (c *checker) checkList(path configure.Path, e *yang.Entry, v any) {
	t, isTable := v.(configure.Tree)
	if !isTable {
		c.report(path, "a table by %s expected", e.Key)
		return
	}
	// A list of a key and a value stands as a table of the values.
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
			c.report(entryPath, "a table expected")
		}
	}
}

func (c *checker) checkLeafList(path configure.Path, e *yang.Entry, v any) {
	l, isList := v.([]any)
	if !isList {
		c.report(path, "a list expected")
		return
	}
	if n := uint64(len(l)); e.ListAttr != nil && (n < e.ListAttr.MinElements || n > e.ListAttr.MaxElements) {
		c.report(path, "%d to %d items expected, %d there", e.ListAttr.MinElements, e.ListAttr.MaxElements, n)
	}
	for i, x := range l {
		c.checkLeaf(childPath(path, fmt.Sprint(i)), e, x)
	}
}

func (c *checker) checkLeaf(path configure.Path, e *yang.Entry, v any) {
	t := e.Type
	switch t.Kind {
	case yang.Ybool:
		if _, isBool := v.(bool); !isBool {
			c.report(path, "true or false expected")
		}
	case yang.Yenum:
		if s, isText := v.(string); !isText || !slices.Contains(t.Enum.Names(), s) {
			c.report(path, "one of %s expected", strings.Join(t.Enum.Names(), ", "))
		}
	case yang.Yuint32, yang.Yuint64, yang.Ydecimal64:
		c.checkNumber(path, t, v)
	case yang.Yleafref:
		s, isText := v.(string)
		if !isText {
			c.report(path, "a name expected")
		} else if !c.referenceExists(t.Path, s) {
			c.report(path, "%.40q is none of %s", s, t.Path)
		}
	default:
		c.checkText(path, t, v)
	}
}

func (c *checker) checkNumber(path configure.Path, t *yang.YangType, v any) {
	x, isNumber := v.(float64)
	switch {
	case !isNumber || math.IsNaN(x) || math.IsInf(x, 0):
		c.report(path, "a number expected")
	case t.Kind != yang.Ydecimal64 && x != math.Trunc(x):
		c.report(path, "a whole number expected, %g there", x)
	case !inRange(t.Range, x):
		c.report(path, "%s expected, %g there", t.Range, x)
	}
}

func (c *checker) checkText(path configure.Path, t *yang.YangType, v any) {
	s, isText := v.(string)
	if !isText {
		c.report(path, "a text expected")
		return
	}
	if len(t.Length) > 0 && !inRange(t.Length, float64(len(s))) {
		c.report(path, "%s bytes expected, %d there", t.Length, len(s))
	}
	for _, pattern := range t.Pattern {
		if !c.model.patterns[pattern].MatchString(s) {
			c.report(path, "a text like %s expected, %.40q there", pattern, s)
		}
	}
}

// inRange reports whether a number lies in one of some ranges; without any, all do.
func inRange(ranges yang.YangRange, x float64) bool {
	for _, r := range ranges {
		if x >= float(r.Min) && x <= float(r.Max) {
			return true
		}
	}
	return len(ranges) == 0
}

// float returns a number of the model.
func float(n yang.Number) float64 {
	x := float64(n.Value) / math.Pow10(int(n.FractionDigits))
	if n.Negative {
		return -x
	}
	return x
}

// referenceExists reports whether the key of some list has a value. References in this model are absolute and lead to the
// key of a list below config.
func (c *checker) referenceExists(path, name string) bool {
	var at any = c.root
	for _, step := range strings.Split(strings.Trim(path, "/"), "/")[1:] {
		if _, unprefixed, prefixed := strings.Cut(step, ":"); prefixed {
			step = unprefixed
		}
		t, isTable := at.(configure.Tree)
		if !isTable {
			return false
		}
		next, set := t[step]
		if !set { // step is the key itself: lists stand as tables by it
			_, exists := t[name]
			return exists
		}
		at = next
	}
	return false
}
