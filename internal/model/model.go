// Package model is the YANG model (RFC 7950) of a server's settings and state, and checks trees of settings against it: no
// key that the model lacks, each leaf of its type and within its range, mandatory leaves set, references to what exists. The
// model is parsed by goyang, which is heavy, so the daemon must never import this package. What a must-statement says is
// checked by package operator, in the same words.
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

// Schema returns the model's text.
func Schema() string { return schema }

// moduleName is the model's name.
const moduleName = "sorrelvalve"

// errIncomplete is a model that lacks one of its two containers.
var errIncomplete = errors.New("the model lacks config or state")

// Model is the parsed model. It does not change after Load and may be used by many goroutines.
type Model struct {
	Config   *yang.Entry               // the settings, as in the operator's file
	State    *yang.Entry               // what a server reports
	patterns map[string]*regexp.Regexp // by their text in the model
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

// compile compiles the patterns of an entry and of all below it.
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
