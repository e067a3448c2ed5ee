package operator

import (
	"bytes"
	"encoding/json"
	"reflect"

	"sorrelvalve/decision/configure"
)

// RestartOnly lists the paths that only a restart can change: the controller's settings, the listening addresses, and the files
// that stay open.
var RestartOnly = []configure.Path{{"hold"}, {"limits"}, {"trace"}, {"store"}, {"uwsgi", "listen"}, {"fleet"}}

// Tree converts a file to a tree for package configure.
func Tree(f *File) (configure.Tree, error) {
	b, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	var tree configure.Tree
	return tree, json.Unmarshal(b, &tree)
}

// FromTree converts a tree to a file. An unknown key is an error, as in a record.
func FromTree(t configure.Tree) (*File, error) {
	b, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	f := &File{}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return f, d.Decode(f)
}

// Overlay returns the settings of a server that runs a version which was released to the whole fleet. A part that only a
// restart can change is taken from the server's own file if the version does not set it. The result shares maps and pointers
// with both files.
func (f *File) Overlay(own *File) File {
	merged := *f
	if merged.Queue == (Queue{}) {
		merged.Queue = own.Queue
	}
	if reflect.ValueOf(merged.Limits).IsZero() {
		merged.Limits = own.Limits
	}
	if merged.Trace == nil {
		merged.Trace = own.Trace
	}
	if merged.Store == nil {
		merged.Store = own.Store
	}
	if merged.UWSGI == nil {
		merged.UWSGI = own.UWSGI
	}
	if merged.Fleet == nil {
		merged.Fleet = own.Fleet
	}
	return merged
}
