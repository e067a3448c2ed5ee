package daemon

import (
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

// This file owns what an operator's file adds to the server: the front for uwsgi and the backend pools. Without such a
// file none of it is made. It must never put a new file in force in part.

// maxVersions are retained for rollbacks: a day's changes.
const maxVersions = 20

// operatorParts are the parts that an operator's file sets.
type operatorParts struct {
	pools    *pools.Backends
	run      gate.Runner
	web      *uwsgi.Server    // nil without a front
	listener *net.TCPListener // of web

	mu             sync.Mutex // guards what follows
	versions       *configure.Store
	platformHash   string           // hash of the platform's file when it was last put in force
	ownFile        *operator.File   // the platform's file
	releasedRecord *operator.Record // in force in place of ownFile, if it is not nil
	effectiveFile  *operator.File   // the release as it was laid over ownFile
	load           *loadSampler     // has its own lock
}

// newOperatorParts makes the parts. engine does the work of methods without a pool.
func newOperatorParts(
	config Config, table *front.ConnTable, g *gate.Gate, engine gate.Runner, log *logrus.Entry,
) (*operatorParts, error) {
	f := &config.Operator.File
	x := &operatorParts{
		pools:        pools.New(config.Settings.Node.Seed, log),
		platformHash: config.Operator.Hash,
		ownFile:      f,
		load:         newLoadSampler(g, config.Settings),
	}
	if err := x.openVersions(&config); err != nil {
		return nil, err
	}
	x.pools.Set(f)
	methods := config.Settings.Methods
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
		x.web = uwsgi.New(table, g, x.run, f, config.Settings.Node.Seed, log)
	}
	return x, nil
}

// openVersions makes the store of versions, of which the operator's file is the first.
func (x *operatorParts) openVersions(config *Config) error {
	f := &config.Operator.File
	tree, err := operator.Tree(f)
	if err != nil {
		return err
	}
	descriptors := f.Descriptors()
	catalog := operator.KnownNames(config.Settings)
	cores := float64(config.Settings.Node.Cores)
	check := func(t configure.Tree) []configure.Violation { return validate(t, catalog, descriptors) }
	guard := func(was, is configure.Tree) []string {
		before, errBefore := operator.FromTree(was)
		after, errAfter := operator.FromTree(is)
		if errBefore != nil || errAfter != nil {
			return nil // check reports it
		}
		return configure.Guard(guardedLimits(before, cores), guardedLimits(after, cores), x.load.rates(time.Now()))
	}
	first := configure.Version{Number: 1, CommittedMS: float64(time.Now().UnixMilli()), Origin: "start", Tree: tree}
	x.versions, err = configure.New(first, check, guard, operator.RestartOnly, maxVersions)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	return nil
}

// listen lets the front accept connections.
func (x *operatorParts) listen(table *front.ConnTable) {
	if x.web != nil {
		table.AddListener(x.listener, x.web.Open)
	}
}

// validate names the faults of settings for this process, which set aside so many descriptors at its start.
func validate(t configure.Tree, catalog route.Catalog, descriptors int) (violations []configure.Violation) {
	f, err := operator.FromTree(t)
	if err != nil {
		return []configure.Violation{{Text: err.Error()}}
	}
	for _, fault := range operator.Check(f, catalog) {
		violations = append(violations, configure.Violation{Path: configure.Path{fault.Path}, Text: fault.Message})
	}
	if n := f.Descriptors(); n > descriptors {
		violations = append(violations, configure.Violation{Path: configure.Path{"pools"}, Text: fmt.Sprintf(
			"they may take %d descriptors with the rest, and %d were set aside at the start; more need a new start", n, descriptors)})
	}
	return violations
}

// errRecordGone tells that a reload found no operator's record where there was one.
var errRecordGone = errors.New("operator: the record is gone")

// reload puts a new file in force, as a whole or not at all, and returns the number of the version that runs. A reload
// that leaves the operator's file as it was does not end a release.
func (x *operatorParts) reload(next Config) (version int, err error) {
	if next.Operator == nil {
		return 0, errRecordGone
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if next.Operator.Hash == x.platformHash && x.releasedRecord != nil {
		return x.versions.Running().Number, nil
	}
	number, err := x.commit(&next.Operator.File, "reload", true)
	if err != nil {
		return number, err
	}
	x.platformHash = next.Operator.Hash
	x.ownFile = &next.Operator.File
	x.releasedRecord = nil
	return number, nil
}

// commit puts a file in force; the lock is held. An intended change is not checked against the recent load.
func (x *operatorParts) commit(f *operator.File, origin string, intended bool) (int, error) {
	tree, err := operator.Tree(f)
	if err != nil {
		return 0, err
	}
	v, err := x.versions.Commit(tree, x.versions.Running().Number, float64(time.Now().UnixMilli()), origin, intended)
	if err != nil {
		return v.Number, fmt.Errorf("operator: %w", err)
	}
	x.pools.Set(f)
	if x.web != nil {
		x.web.Set(f)
	}
	return v.Number, nil
}

// release puts a version of the fleet's settings in force, or the own file if r is nil, and returns the effective file.
// What only a start can change stays as the own file has it, unless the version says otherwise: then it is rejected, as
// is one that starves a method. The way back to the own file is always open.
func (x *operatorParts) release(r *operator.Record, origin string) (*operator.File, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f := *x.ownFile
	if r != nil {
		f = r.File.Overlay(x.ownFile)
	}
	if _, err := x.commit(&f, origin, r == nil); err != nil {
		return nil, err
	}
	x.releasedRecord = r
	x.effectiveFile = &f
	return &f, nil
}
