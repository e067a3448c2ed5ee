// Package model is the YANG model of a server's settings and state, and holds trees of settings against it: no key that
// the model lacks, each leaf of its type and within its range, mandatory ones there, references to what exists. The model
// is parsed by goyang, which is heavy, so the daemon must never import this package. What a must-statement says is
// checked by package operator, in the same words.
package model

import (
	_ "embed"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"

	"github.com/openconfig/goyang/pkg/yang"

	"sorrelvalve/decision/configure"
)

//go:embed sorrelvalve.yang
var schema string

// Text is the model's own.
func Schema() string { return schema }

// Model is the parsed one. It is not changed after Load and may be used by many goroutines.
type Model struct {
	Config, State *yang.Entry
	patterns      map[string]*regexp.Regexp
}

// Load parses the model.
func Load() (*Model, error) {
	ms := yang.NewModules()
	if err := ms.Parse(schema, "sorrelvalve.yang"); err != nil {
		return nil, err
	}
	if errs := ms.Process(); len(errs) > 0 {
		return nil, errs[0]
	}
	root, errs := ms.GetModule("sorrelvalve")
	if len(errs) > 0 {
		return nil, errs[0]
	}
	m := &Model{Config: root.Dir["config"], State: root.Dir["state"], patterns: map[string]*regexp.Regexp{}}
	for _, e := range []*yang.Entry{m.Config, m.State} {
		if e == nil {
			return nil, fmt.Errorf("the model lacks config or state")
		}
		if err := m.compile(e); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Model) compile(e *yang.Entry) error {
	if e.Type != nil {
		for _, p := range e.Type.Pattern {
			x, err := regexp.Compile("^(" + p + ")$")
			if err != nil {
				return fmt.Errorf("%s: %w", e.Path(), err)
			}
			m.patterns[p] = x
		}
	}
	for _, c := range e.Dir {
		if err := m.compile(c); err != nil {
			return err
		}
	}
	return nil
}

// Check names all in a tree of settings that the model does not allow, in the order of paths. Lists are tables by their
// key, as in the operator's file.
func (m *Model) Check(t configure.Tree) []configure.Violation {
	c := &checker{model: m, root: t}
	c.table(nil, m.Config, t)
	return c.faults
}

type checker struct {
	model  *Model
	root   configure.Tree
	faults []configure.Violation
}

func (c *checker) report(at configure.Path, format string, a ...any) {
	c.faults = append(c.faults, configure.Violation{Path: at, Text: fmt.Sprintf(format, a...)})
}

func childPath(at configure.Path, key string) configure.Path { return append(slices.Clone(at), key) }

// table checks a container, or one entry of a list.
func (c *checker) table(at configure.Path, e *yang.Entry, t configure.Tree) {
	for _, key := range slices.Sorted(maps.Keys(t)) {
		child := e.Dir[key]
		if child == nil || e.IsList() && key == e.Key {
			c.report(childPath(at, key), "the model has no such key")
			continue
		}
		c.value(childPath(at, key), child, t[key])
	}
	for _, key := range slices.Sorted(maps.Keys(e.Dir)) {
		child := e.Dir[key]
		if _, has := t[key]; !has && child.Mandatory == yang.TSTrue && !(e.IsList() && key == e.Key) {
			c.report(childPath(at, key), "it must be set")
		}
	}
}

func (c *checker) value(at configure.Path, e *yang.Entry, v any) {
	switch {
	case e.IsList():
		t, is := v.(configure.Tree)
		if !is {
			c.report(at, "a table by %s expected", e.Key)
			return
		}
		for _, name := range slices.Sorted(maps.Keys(t)) {
			c.leaf(childPath(at, name), e.Dir[e.Key], name)
			if entry, is := t[name].(configure.Tree); is {
				c.table(childPath(at, name), e, entry)
			} else if plain := e.Dir["value"]; plain != nil && len(e.Dir) == 2 {
				c.leaf(childPath(at, name), plain, t[name])
			} else {
				c.report(childPath(at, name), "a table expected")
			}
		}
	case e.IsLeafList():
		l, is := v.([]any)
		if !is {
			c.report(at, "a list expected")
			return
		}
		if n := uint64(len(l)); e.ListAttr != nil && (n < e.ListAttr.MinElements || n > e.ListAttr.MaxElements) {
			c.report(at, "%d to %d items expected, %d there", e.ListAttr.MinElements, e.ListAttr.MaxElements, n)
		}
		for i, x := range l {
			c.leaf(childPath(at, fmt.Sprint(i)), e, x)
		}
	case e.IsLeaf():
		c.leaf(at, e, v)
	default:
		if t, is := v.(configure.Tree); is {
			c.table(at, e, t)
		} else {
			c.report(at, "a table expected")
		}
	}
}

func (c *checker) leaf(at configure.Path, e *yang.Entry, v any) {
	t := e.Type
	switch t.Kind {
	case yang.Ybool:
		if _, is := v.(bool); !is {
			c.report(at, "true or false expected")
		}
	case yang.Yenum:
		if s, is := v.(string); !is || !slices.Contains(t.Enum.Names(), s) {
			c.report(at, "one of %s expected", strings.Join(t.Enum.Names(), ", "))
		}
	case yang.Yuint32, yang.Yuint64, yang.Ydecimal64:
		x, is := v.(float64)
		if !is || math.IsNaN(x) || math.IsInf(x, 0) {
			c.report(at, "a number expected")
			return
		}
		if t.Kind != yang.Ydecimal64 && x != math.Trunc(x) {
			c.report(at, "a whole number expected, %g there", x)
			return
		}
		if !inRange(t.Range, x) {
			c.report(at, "%s expected, %g there", t.Range, x)
		}
	case yang.Yleafref:
		s, is := v.(string)
		if !is {
			c.report(at, "a name expected")
			return
		}
		if !c.referenceExists(t.Path, s) {
			c.report(at, "%.40q is none of %s", s, t.Path)
		}
	default:
		s, is := v.(string)
		if !is {
			c.report(at, "a text expected")
			return
		}
		if len(t.Length) > 0 && !inRange(t.Length, float64(len(s))) {
			c.report(at, "%s bytes expected, %d there", t.Length, len(s))
		}
		for _, p := range t.Pattern {
			if !c.model.patterns[p].MatchString(s) {
				c.report(at, "a text like %s expected, %.40q there", p, s)
			}
		}
	}
}

// within tells whether a number lies in one of some ranges.
func inRange(r yang.YangRange, x float64) bool {
	for _, part := range r {
		if x >= number(part.Min) && x <= number(part.Max) {
			return true
		}
	}
	return len(r) == 0
}

func number(n yang.Number) float64 {
	x := float64(n.Value) / math.Pow10(int(n.FractionDigits))
	if n.Negative {
		return -x
	}
	return x
}

// refers tells whether the key of some list has a value. References in this model are absolute and lead to the key of a
// list below config.
func (c *checker) referenceExists(path, name string) bool {
	var at any = c.root
	for _, step := range strings.Split(strings.Trim(path, "/"), "/")[1:] {
		if _, plain, has := strings.Cut(step, ":"); has {
			step = plain
		}
		t, is := at.(configure.Tree)
		if !is {
			return false
		}
		if next, has := t[step]; has {
			at = next
			continue
		}
		_, has := t[name] // the key itself: lists stand as tables by it
		return has
	}
	return false
}
