package main

// This file owns what an operator's file adds to the server: the front for uwsgi and the pools. Without such a file none
// of it is made. It must never take a new file in part.

import (
	"context"
	"fmt"
	"net"
	"slices"

	"github.com/sirupsen/logrus"

	"sorrelvalve/control"
	"sorrelvalve/internal/back/pools"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/front/uwsgi"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// extras are the parts that an operator's file sets.
type extras struct {
	first *operator.File
	log   *logrus.Entry
	pools *pools.Backs
	run   gate.Runner
	web   *uwsgi.Server // nil without a front
	ln    *net.TCPListener
}

func newExtras(
	ctx context.Context, t told, table *front.Table, g *gate.Gate, engine gate.Runner, log *logrus.Entry,
) (*extras, error) {
	f := &t.op.File
	x := &extras{first: f, log: log, pools: pools.New(t.Opening.Node.Seed, log)}
	x.pools.Set(f)
	methods := t.Opening.Methods
	x.run = x.pools.Runner(engine, func(name string) bool {
		i := slices.IndexFunc(methods, func(m control.Method) bool { return m.Name == name })
		return i >= 0 && methods[i].Repeat == control.Idempotent
	})
	if f.UWSGI != nil {
		ln, err := net.Listen("tcp", f.UWSGI.Listen)
		if err != nil {
			return nil, fmt.Errorf("operator: uwsgi.listen: %w", err)
		}
		x.ln = ln.(*net.TCPListener)
		x.web = uwsgi.New(table, g, x.run, f, t.Opening.Node.Seed, log)
	}
	go x.pools.Serve(ctx)
	return x, nil
}

// listen lets the front accept.
func (x *extras) listen(table *front.Table) {
	if x.web != nil {
		table.Listen(x.ln, x.web.Open)
	}
}

// set takes a new file, whole or not at all.
func (x *extras) set(next told) error {
	if next.op == nil {
		return fmt.Errorf("operator: the record is gone")
	}
	f := &next.op.File
	if most := x.first.Descriptors(); f.Descriptors() > most {
		return fmt.Errorf("operator: the file's parts may take %d descriptors, and %d were set aside at the start; more need a new start",
			f.Descriptors(), most)
	}
	if stays := x.first.Stays(f); len(stays) > 0 {
		return fmt.Errorf("operator: %s: only a new start can change it", brief(stays))
	}
	x.pools.Set(f)
	if x.web != nil {
		x.web.Set(f)
	}
	return nil
}
