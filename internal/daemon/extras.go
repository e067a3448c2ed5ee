package daemon

// This file owns what an operator's file adds to the server: the front for uwsgi and the pools. Without such a file none
// of it is made. It must never take a new file in part.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/control"
	"sorrelvalve/decision/configure"
	"sorrelvalve/decision/route"
	"sorrelvalve/internal/back/pools"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/front/uwsgi"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
)

// extras are the parts that an operator's file sets.
type operatorParts struct {
	versions *configure.Store // of the reload's goroutine
	log      *logrus.Entry
	pools    *pools.Backends
	run      gate.Runner
	web      *uwsgi.Server // nil without a front
	listener *net.TCPListener

	mu             sync.Mutex // of what follows, and of core
	platformHash   string     // hash of what the platform's file said last
	ownFile        *operator.File
	releasedRecord *operator.Record // in force in place of it, if that is not nil
	effectiveFile  *operator.File   // as it was laid over the own file
	load           *loadSampler
}

func newOperatorParts(
	ctx context.Context, t Config, table *front.ConnTable, g *gate.Gate, engine gate.Runner, log *logrus.Entry,
) (*operatorParts, error) {
	f := &t.Operator.File
	tree, err := operator.Tree(f)
	if err != nil {
		return nil, err
	}
	set, known := f.Descriptors(), operator.KnownNames(t.Settings)
	x := &operatorParts{log: log, pools: pools.New(t.Settings.Node.Seed, log), platformHash: t.Operator.Hash, ownFile: f, load: newLoadSampler(g, t.Settings)}
	x.versions, err = configure.New(configure.Version{Number: 1, CommittedMS: float64(time.Now().UnixMilli()), Origin: "start", Tree: tree}, func(t configure.Tree) []configure.Violation {
		return validate(t, known, set)
	}, func(was, is configure.Tree) []string {
		a, errA := operator.FromTree(was)
		b, errB := operator.FromTree(is)
		if errA != nil || errB != nil {
			return nil // the checks say so
		}
		return configure.Guard(guardedLimits(a, float64(t.Settings.Node.Cores)), guardedLimits(b, float64(t.Settings.Node.Cores)), x.load.rates(time.Now()))
	}, operator.RestartOnly, maxVersions)
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	x.pools.Set(f)
	methods := t.Settings.Methods
	x.run = x.pools.Runner(engine, func(name string) bool {
		i := slices.IndexFunc(methods, func(m control.Method) bool { return m.Name == name })
		return i >= 0 && methods[i].Idempotency == control.Idempotent
	})
	if f.UWSGI != nil {
		ln, err := net.Listen("tcp", f.UWSGI.Listen)
		if err != nil {
			return nil, fmt.Errorf("operator: uwsgi.listen: %w", err)
		}
		x.listener = ln.(*net.TCPListener)
		x.web = uwsgi.New(table, g, x.run, f, t.Settings.Node.Seed, log)
	}
	go x.pools.Serve(ctx)
	return x, nil
}

// listen lets the front accept.
func (x *operatorParts) listen(table *front.ConnTable) {
	if x.web != nil {
		table.AddListener(x.listener, x.web.Open)
	}
}

// versionsKept are as many as an operator goes back over: a day's changes.
const maxVersions = 20

// wrong names what is wrong with settings for this process, of which so many descriptors were set aside.
func validate(t configure.Tree, known route.Catalog, set int) (faults []configure.Violation) {
	f, err := operator.FromTree(t)
	if err != nil {
		return []configure.Violation{{Text: err.Error()}}
	}
	for _, x := range operator.Check(f, known) {
		faults = append(faults, configure.Violation{Path: configure.Path{x.Path}, Text: x.Message})
	}
	if n := f.Descriptors(); n > set {
		faults = append(faults, configure.Violation{Path: configure.Path{"pools"}, Text: fmt.Sprintf(
			"they may take %d descriptors with the rest, and %d were set aside at the start; more need a new start", n, set)})
	}
	return faults
}

// set takes a new file, whole or not at all, and returns the number of the version that runs.
func (x *operatorParts) reload(next Config) (version int, err error) {
	if next.Operator == nil {
		return 0, errors.New("operator: the record is gone")
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if next.Operator.Hash == x.platformHash && x.releasedRecord != nil { // the platform's news are not the operator's: a released version stays
		return x.versions.Running().Number, nil
	}
	number, err := x.commit(&next.Operator.File, "reload", true)
	if err == nil {
		x.platformHash, x.ownFile, x.releasedRecord = next.Operator.Hash, &next.Operator.File, nil
	}
	return number, err
}

// commit puts a file in force. The lock is held. What was meant is not held against what the last minutes carried.
func (x *operatorParts) commit(f *operator.File, origin string, meant bool) (int, error) {
	tree, err := operator.Tree(f)
	if err != nil {
		return 0, err
	}
	v, err := x.versions.Commit(tree, x.versions.Running().Number, float64(time.Now().UnixMilli()), origin, meant)
	if err != nil {
		return v.Number, fmt.Errorf("operator: %w", err)
	}
	x.pools.Set(f)
	if x.web != nil {
		x.web.Set(f)
	}
	return v.Number, nil
}

// release puts a version of the fleet's in force, or what the own file says if it is nil. What only a start can change stays as the own
// file has it, unless the version says otherwise: then it is refused, as is one that starves a method.
func (x *operatorParts) release(r *operator.Record, origin string) (*operator.File, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f := *x.ownFile
	if r != nil {
		f = r.File.Overlay(x.ownFile)
	}
	if _, err := x.commit(&f, origin, r == nil); err != nil { // the way back is never barred
		return nil, err
	}
	x.releasedRecord, x.effectiveFile = r, &f
	return &f, nil
}
