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

// This file creates the parts that an operator's file adds to the server: the front for uwsgi and the backend pools. Without
// such a file there are none. A new file must always be applied completely or not at all.

// maxVersions is the number of versions retained for rollbacks: about the changes of one day.
const maxVersions = 20

// operatorParts are the parts that an operator's file configures.
type operatorParts struct {
	pools    *pools.Backends
	run      gate.Runner
	web      *uwsgi.Server    // nil without a front
	listener *net.TCPListener // of web

	mu             sync.Mutex // guards what follows
	versions       *configure.Store
	platformHash   string           // hash of the platform's file when it was last applied
	ownFile        *operator.File   // the platform's file
	releasedRecord *operator.Record // if not nil, it applies instead of ownFile
	effectiveFile  *operator.File   // the released version merged with ownFile
	load           *loadSampler     // has its own lock
}

// newOperatorParts creates the parts. engine runs the methods that have no pool.
func newOperatorParts(
	config Config, table *front.ConnTable, g *gate.Gate, engine gate.Runner, log *logrus.Entry,
) (*operatorParts, error) {
	f := &config.Operator.File
	p := &operatorParts{
		pools:        pools.New(config.Settings.Node.Seed, log),
		platformHash: config.Operator.Hash,
		ownFile:      f,
		load:         newLoadSampler(g, config.Settings),
	}
	if err := p.openVersions(&config); err != nil {
		return nil, err
	}
	p.pools.Set(f)
	methods := config.Settings.Methods
	p.run = p.pools.Runner(engine, func(name string) bool {
		i := slices.IndexFunc(methods, func(m control.Method) bool { return m.Name == name })
		return i >= 0 && methods[i].Idempotency == control.Idempotent
	})
	if f.UWSGI != nil {
		ln, err := net.Listen("tcp", f.UWSGI.Listen)
		if err != nil {
			return nil, fmt.Errorf("operator: uwsgi.listen: %w", err)
		}
		p.listener = ln.(*net.TCPListener)
		p.web = uwsgi.New(table, g, p.run, f, config.Settings.Node.Seed, log)
	}
	return p, nil
}

// openVersions creates the store of versions, with the operator's file as the first version.
func (p *operatorParts) openVersions(config *Config) error {
	f := &config.Operator.File
	tree, err := operator.Tree(f)
	if err != nil {
		return err
	}
	descriptors := f.Descriptors()
	catalog := operator.KnownNames(config.Settings)
	cores := float64(config.Settings.Node.Cores)
	check := func(t configure.Tree) []configure.Violation { return validate(t, catalog, descriptors) }
	guard := func(oldTree, newTree configure.Tree) []string {
		before, errBefore := operator.FromTree(oldTree)
		after, errAfter := operator.FromTree(newTree)
		if errBefore != nil || errAfter != nil {
			return nil // check reports the error
		}
		return configure.Guard(guardedLimits(before, cores), guardedLimits(after, cores), p.load.rates(time.Now()))
	}
	first := configure.Version{Number: 1, CommittedMS: float64(time.Now().UnixMilli()), Origin: "start", Tree: tree}
	p.versions, err = configure.New(first, check, guard, operator.RestartOnly, maxVersions)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	return nil
}

// listen starts to accept connections at the front for uwsgi.
func (p *operatorParts) listen(table *front.ConnTable) {
	if p.web != nil {
		table.AddListener(p.listener, p.web.Open)
	}
}

// validate returns the errors in settings for this process, which reserved the given number of descriptors at its start. The
// texts are reported to the permit servers if they reject a released version.
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

// errRecordGone is returned by a reload without an operator's record if the server started with one.
var errRecordGone = errors.New("operator: the record is gone")

// reload atomically applies a new file and returns the number of the running version. A reload with an unchanged
// operator's file does not replace a released version.
func (p *operatorParts) reload(next Config) (version int, err error) {
	if next.Operator == nil {
		return 0, errRecordGone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if next.Operator.Hash == p.platformHash && p.releasedRecord != nil {
		return p.versions.Running().Number, nil
	}
	number, err := p.commit(&next.Operator.File, "reload", true)
	if err != nil {
		return number, err
	}
	p.platformHash = next.Operator.Hash
	p.ownFile = &next.Operator.File
	p.releasedRecord = nil
	return number, nil
}

// commit applies a file. The caller holds mu. If force is set, the change is not checked against the recent load.
func (p *operatorParts) commit(f *operator.File, origin string, force bool) (int, error) {
	tree, err := operator.Tree(f)
	if err != nil {
		return 0, err
	}
	v, err := p.versions.Commit(tree, p.versions.Running().Number, float64(time.Now().UnixMilli()), origin, force)
	if err != nil {
		return v.Number, fmt.Errorf("operator: %w", err)
	}
	p.pools.Set(f)
	if p.web != nil {
		p.web.Set(f)
	}
	return v.Number, nil
}

// release applies a version of the fleet's settings, or the own file if r is nil, and returns the effective file. Keys that
// require a restart keep the values of the own file; a version that changes one of them, or that starves a method, is
// rejected. Going back to the own file is never rejected for starving a method.
func (p *operatorParts) release(r *operator.Record, origin string) (*operator.File, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := *p.ownFile
	if r != nil {
		f = r.File.Overlay(p.ownFile)
	}
	if _, err := p.commit(&f, origin, r == nil); err != nil {
		return nil, err
	}
	p.releasedRecord = r
	p.effectiveFile = &f
	return &f, nil
}
