// Package model holds the YANG model (RFC 7950) of a server's settings and state, and checks trees of settings against it. The
// check rejects unknown keys, leaves of a wrong type or out of range, missing mandatory leaves, and references to entries that
// do not exist. The must-statements of the model are checked by package operator instead. goyang, which parses the model, is a
// large dependency, so the daemon must never import this package.
package model

import (
	_ "embed"
	"errors"
	"fmt"
	"regexp"

	"github.com/openconfig/goyang/pkg/yang"
)

//go:embed sorrelvalve.yang
var schema string

// Schema returns the source text of the model.
func Schema() string { return schema }

const moduleName = "sorrelvalve"

// errIncomplete reports a model without the container config or state.
var errIncomplete = errors.New("model: container config or state is missing")

// Model is the parsed model. It does not change after Load and is safe for concurrent use.
type Model struct {
	Config   *yang.Entry               // settings, with the keys of the operator's file
	State    *yang.Entry               // state that a server reports
	patterns map[string]*regexp.Regexp // compiled patterns, by their text in the model
}

// Load parses the model.
func Load() (*Model, error) {
	ms := yang.NewModules()
	if err := ms.Parse(schema, moduleName+".yang"); err != nil {
		return nil, err
	}
	if errs := ms.Process(); len(errs) > 0 {
		return nil, errs[0]
	}
	root, errs := ms.GetModule(moduleName)
	if len(errs) > 0 {
		return nil, errs[0]
	}
	m := &Model{Config: root.Dir["config"], State: root.Dir["state"], patterns: map[string]*regexp.Regexp{}}
	for _, e := range []*yang.Entry{m.Config, m.State} {
		if e == nil {
			return nil, errIncomplete
		}
		if err := m.compile(e); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// compile compiles the patterns of an entry and of its descendants.
func (m *Model) compile(e *yang.Entry) error {
	if e.Type != nil {
		for _, p := range e.Type.Pattern {
			compiled, err := regexp.Compile("^(" + p + ")$")
			if err != nil {
				return fmt.Errorf("%s: %w", e.Path(), err)
			}
			m.patterns[p] = compiled
		}
	}
	for _, child := range e.Dir {
		if err := m.compile(child); err != nil {
			return err
		}
	}
	return nil
}
