package operator

import (
	"bytes"
	"encoding/json"
	"reflect"

	"sorrelvalve/decision/configure"
)

// RestartOnly are the paths that only a restart can change: what the decisions are made from, where the front listens,
// and the files that are held open.
var RestartOnly = []configure.Path{{"hold"}, {"limits"}, {"trace"}, {"store"}, {"uwsgi", "listen"}, {"fleet"}}

// Tree returns a file as a tree for package configure, with all its keys.
func Tree(f *File) (configure.Tree, error) {
	b, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	var t configure.Tree
	return t, json.Unmarshal(b, &t)
}

// FromTree returns the file that a tree holds, decoded as strictly as a record.
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

// Overlay returns a version that is for a whole fleet laid over one server's own file: what only a restart can change
// is as the own file has it where the version says nothing of it. The result shares its maps and pointers with both.
func (f *File) Overlay(own *File) File {
	x := *f
	if x.Queue == (Queue{}) {
		x.Queue = own.Queue
	}
	if reflect.ValueOf(x.Limits).IsZero() {
		x.Limits = own.Limits
	}
	if x.Trace == nil {
		x.Trace = own.Trace
	}
	if x.Store == nil {
		x.Store = own.Store
	}
	if x.UWSGI == nil {
		x.UWSGI = own.UWSGI
	}
	if x.Fleet == nil {
		x.Fleet = own.Fleet
	}
	return x
}
