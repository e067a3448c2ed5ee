package operator

// This file owns the file as a tree for package configure, and which parts of it a running process can't take anew. It
// must never drop a key on the way.

import (
	"bytes"
	"encoding/json"
	"reflect"

	"sorrelvalve/decision/configure"
)

// StartOnly are the paths that only a new start can change: what the decisions are made from, where the front listens,
// and the files that are held open.
var RestartOnly = []configure.Path{{"hold"}, {"limits"}, {"trace"}, {"store"}, {"uwsgi", "listen"}, {"fleet"}}

// Tree is a file as a tree.
func Tree(f *File) (configure.Tree, error) {
	b, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	var t configure.Tree
	return t, json.Unmarshal(b, &t)
}

// FromTree is the file that a tree says, read as strictly as a record.
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

// Over is a version that is for a whole fleet laid over one server's own file: what only a start can change, and what is a server's own,
// is as the own file has it where the version says nothing of it.
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
