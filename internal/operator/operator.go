// Package operator is the operator's file as the daemon reads it: a plain record that valvectl compiled from typed
// records in CUE, with its version and hash. Reading is strict: a key that is not known, a hash that does not fit or a
// value out of range is an error that names the key. The package must never apply anything, nor link CUE.
package operator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"sorrelvalve/control"
	"sorrelvalve/decision/expect"
	"sorrelvalve/decision/pool"
	"sorrelvalve/decision/quota"
	"sorrelvalve/decision/retry"
	"sorrelvalve/decision/route"
	"sorrelvalve/internal/startup"
)

// Format is that of the records which this build reads.
const Format = 1

// maxRecord bytes bound a record: ten thousand routes take about 4 MB.
const maxRecord = 16 << 20

// File is all that an operator sets beside the platform's configuration. Times are ms.
type File struct {
	Version      string                 `json:"version"`
	Queue        Queue                  `json:"hold"`
	Limits       Limits                 `json:"limits"`
	Trace        *Trace                 `json:"trace,omitempty"`
	Store        *Store                 `json:"store,omitempty"`
	UWSGI        *UWSGI                 `json:"uwsgi,omitempty"`
	Fleet        *Fleet                 `json:"fleet,omitempty"`
	Budgets      *Budgets               `json:"budgets,omitempty"`
	Routes       map[string]Route       `json:"routes,omitempty"`
	Pools        map[string]Pool        `json:"pools,omitempty"`
	Methods      map[string]Method      `json:"methods,omitempty"`
	Expectations map[string]Expectation `json:"expect,omitempty"`
}

// Expect is what an operator expects of routing, or of the order in which methods are pushed back.
type Expectation struct {
	Host      string            `json:"host,omitempty"`
	Path      string            `json:"path,omitempty"`
	Verb      string            `json:"verb,omitempty"`
	Query     string            `json:"query,omitempty"`
	Variables map[string]string `json:"variables,omitempty"`
	Method    string            `json:"method,omitempty"`
	Customer  string            `json:"customer,omitempty"`
	Pool      string            `json:"pool,omitempty"`
	None      bool              `json:"none,omitempty"`
	First     string            `json:"first,omitempty"`
	Then      string            `json:"then,omitempty"`
	OverQuota bool              `json:"over_quota,omitempty"`
}

// expectations holds them against the file and what is known of the settings.
func (f *File) expectations(known route.Catalog) []expect.Fault {
	all := map[string]expect.Expectation{}
	for name, x := range f.Expectations {
		all[name] = expect.Expectation{Host: x.Host, Path: x.Path, Verb: x.Verb, Query: x.Query, Variables: x.Variables, Method: x.Method, Customer: x.Customer, Pool: x.Pool,
			None: x.None, First: x.First, Then: x.Then, OverQuota: x.OverQuota}
	}
	s := expect.Settings{Routes: f.Rules(), Pools: map[string]string{}, Methods: known.Methods, Criticality: known.Criticality, OverShare: known.OverQuotaFactor}
	if f.Limits.OverShare != nil {
		s.OverShare = *f.Limits.OverShare
	}
	for name, m := range f.Methods {
		s.Pools[name] = m.Pool
	}
	return expect.Check(all, s)
}

// Hold is how RPCs are held.
type Queue struct {
	SettledMs float64 `json:"settled_ms"` // after which one is not pushed back for another; 0 for no such time
}

// Limits go before those of the platform's settings.
type Limits struct {
	OverShare   *float64           `json:"over_share,omitempty"`
	RunsPerCore float64            `json:"runs_a_core,omitempty"`
	Quotas      map[string]float64 `json:"quotas,omitempty"` // RPCs a second, by customer
}

// Apply puts the limits and the hold into settings.
func (f *File) Apply(o *startup.Config) {
	o.Limits.DisplaceableFor = f.Queue.SettledMs
	if f.Limits.OverShare != nil {
		o.Fleet.OverQuotaFraction = *f.Limits.OverShare
	}
	if f.Limits.RunsPerCore > 0 {
		o.Limits.MaxRunsPerCore = f.Limits.RunsPerCore
	}
	o.Customers = slices.Clone(o.Customers)
	for i := range o.Customers {
		if q, has := f.Limits.Quotas[o.Customers[i].Name]; has {
			o.Customers[i].Quota = q
		}
	}
}

// Trace is the recorder of what the decisions are told and say.
type Trace struct {
	Path      string  `json:"path"`
	MaxFileMB float64 `json:"file_mb"`
	MaxFiles  int     `json:"files"`
}

// Store keeps tokens over restarts, on a lasting disk.
type Store struct {
	Dir            string  `json:"dir"`
	MaxMB          float64 `json:"mb"`
	SegmentMB      float64 `json:"segment_mb"`
	MaxAnswerBytes int     `json:"answer_bytes"`
	ToleranceMs    float64 `json:"tolerance_ms"`
}

// Fleet is the server's part in a fleet whose servers know one another.
type Fleet struct {
	Name            string   `json:"name"`                // of the fleet
	Listen          string   `json:"listen"`              // packets and streams
	Advertise       string   `json:"advertise,omitempty"` // where others reach it, if not there
	Zone            string   `json:"zone"`
	Seeds           []string `json:"seeds"`
	ExpectedServers int      `json:"expect"`             // servers that there are; 0 for not told
	KeyFile         string   `json:"key_file,omitempty"` // base64 of 16, 24 or 32 bytes
	Socket          string   `json:"socket,omitempty"`   // for operators
	PermitServers   []string `json:"keepers,omitempty"`  // of permits for drains, and of versions
	DataDir         string   `json:"folder,omitempty"`   // for the version that runs, over restarts
}

// Budgets are bounds that the servers of the fleet share: customers' quotas, further tries and calls in hand at pools.
type Budgets struct {
	Servers    int               `json:"servers"` // that run at a time, at the most
	ClockDrift float64           `json:"clocks"`  // by which the rate of a clock may be off, as a share
	Customers  map[string]Budget `json:"customers,omitempty"`
	Retries    map[string]Budget `json:"retries,omitempty"` // by pool
	Calls      map[string]Budget `json:"calls,omitempty"`   // by pool
}

// Budget is one bound.
type Budget struct {
	Bound      float64 `json:"bound"` // of the whole fleet: a second, or in hand
	Burst      float64 `json:"burst,omitempty"`
	Floor      float64 `json:"floor"` // of each server
	MaxLeaseMs float64 `json:"longest_ms"`
	LingerMs   float64 `json:"linger_ms,omitempty"` // calls: for which one that was given up may be gone on with
}

// The first letters of the names that budgets have between servers, by their kind.
const (
	QuotaPrefix   = "quota/"
	RetriesPrefix = "retries/"
	CallsPrefix   = "calls/"
)

// Rules are those of all bounds for package share, by their names between servers.
func (b *Budgets) Rules() map[string]quota.Rules {
	all := map[string]quota.Rules{}
	if b == nil {
		return all
	}
	add := func(prefix string, kind quota.Kind, of map[string]Budget) {
		for name, x := range of {
			all[prefix+name] = quota.Rules{Kind: kind, Bound: x.Bound, Burst: x.Burst, Servers: b.Servers, Floor: x.Floor, Longest: x.MaxLeaseMs, Drift: b.ClockDrift}
		}
	}
	add(QuotaPrefix, quota.Rate, b.Customers)
	add(RetriesPrefix, quota.Rate, b.Retries)
	add(CallsPrefix, quota.Stock, b.Calls)
	return all
}

// check names what is wrong with the budgets.
func (b *Budgets) check(f *File, known route.Catalog, bad func(path, format string, a ...any), within func(path string, v, low, high float64)) {
	if f.Fleet == nil {
		bad("budgets", "there is no fleet that could share them: fleet is not set")
	}
	within("budgets.servers", float64(b.Servers), 1, 4096)
	within("budgets.clocks", b.ClockDrift, 0, 0.1)
	n := float64(max(1, b.Servers))
	each := func(table string, of map[string]Budget, stock bool, is func(name string) string) {
		for _, name := range keys(of) {
			x, path := of[name], at("budgets."+table, name)
			if why := is(name); why != "" {
				bad(path, "%s", why)
			}
			within(path+".bound", x.Bound, 0.001, 1e9)
			within(path+".floor", x.Floor, 0, 1e9)
			within(path+".longest_ms", x.MaxLeaseMs, 500, 600e3)
			if x.Floor*n > x.Bound*(1+1e-9) {
				bad(path+".floor", "%d servers keep %g together, more than the bound of %g", b.Servers, x.Floor*n, x.Bound)
			}
			switch {
			case stock && x.Burst != 0:
				bad(path+".burst", "calls in hand have none")
			case !(x.LingerMs >= 0 && x.LingerMs <= 600e3) || !stock && x.LingerMs != 0:
				bad(path+".linger_ms", "a number from 0 to 600000 expected for calls, and none else")
			case stock && x.Bound < n:
				bad(path+".bound", "at least one for each of %d servers expected, %g there", b.Servers, x.Bound)
			case !stock && !(x.Burst >= n && x.Burst <= 1e9):
				bad(path+".burst", "at least one for each of %d servers expected, %g there: a server with less could not let one through", b.Servers, x.Burst)
			}
		}
	}
	each("customers", b.Customers, false, func(name string) string {
		if known.Methods != nil && !slices.Contains(known.Customers, name) {
			return "no customer of the settings"
		}
		return ""
	})
	pool := func(name string) string {
		if _, has := f.Pools[name]; !has {
			return "no pool of this file"
		}
		return ""
	}
	each("retries", b.Retries, false, pool)
	each("calls", b.Calls, true, pool)
}

// UWSGI is the front that accepts uwsgi.
type UWSGI struct {
	Listen         string  `json:"listen"`
	KeepAlive      string  `json:"keep"` // asked, always or never
	HalfClose      bool    `json:"half_close"`
	MaxHeaderBytes int     `json:"block_bytes"`
	MaxVariables   int     `json:"variables"`
	MaxPathBytes   int     `json:"path_bytes"`
	MaxBodyBytes   int     `json:"body_bytes"`
	BodyMemoryKB   int     `json:"bodies_kb"`
	ReadTimeoutMs  float64 `json:"silence_ms"`
	BodyTimeoutMs  float64 `json:"body_ms"`
	QueuedKB       float64 `json:"held_kb"`
}

// Route says what an RPC is that came by a web protocol.
type Route struct {
	Host     string            `json:"host,omitempty"`
	Path     string            `json:"path"`
	Verb     string            `json:"verb,omitempty"`
	When     map[string]string `json:"when,omitempty"`
	Method   string            `json:"method"`
	Type     string            `json:"type"`
	Customer *Source           `json:"customer,omitempty"`
	Caller   *Source           `json:"caller,omitempty"`
	Token    *Source           `json:"token,omitempty"`
	Subject  *Source           `json:"subject,omitempty"`
	Retry    *Source           `json:"retry,omitempty"`
	Hint     *Source           `json:"hint,omitempty"`
	Door     *Source           `json:"door,omitempty"`
}

// Source is where a value comes from.
type Source struct {
	Fixed    string            `json:"fixed,omitempty"`
	Variable string            `json:"variable,omitempty"`
	Segment  string            `json:"segment,omitempty"`
	Query    string            `json:"query,omitempty"`
	Names    map[string]string `json:"names,omitempty"`
}

// Pool is a set of uwsgi application servers.
type Pool struct {
	Members          []string `json:"members"`
	MaxConnections   int      `json:"connections"`
	MaxQueued        int      `json:"waiting"`
	QueueTimeoutMs   float64  `json:"wait_ms"`
	ConnectTimeoutMs float64  `json:"connect_ms"`
	MaxAnswerBytes   int      `json:"answer_bytes"`
	MaxFailures      int      `json:"failures"`
	OutlierFactor    float64  `json:"outlier"`
	MinShare         float64  `json:"min_share"`
	EjectionMs       float64  `json:"eject_ms"`
	RecoveryMs       float64  `json:"return_ms"`
	HealthCheckMs    float64  `json:"check_ms"`
	Retry            Retry    `json:"retry"`
	RoundRobin       bool     `json:"-"` // for comparison only: no file can ask for it
}

// Retry is the budget of further tries in a pool.
type Retry struct {
	Share       float64 `json:"share"`
	Floor       float64 `json:"floor"` // a second
	MaxAttempts int     `json:"most"`  // tries of one RPC, the first included
}

// Method says where the work of a method is done, if not by the engine.
type Method struct {
	Pool      string            `json:"pool"`
	Path      string            `json:"path"` // for RPCs that came without one
	Verb      string            `json:"verb"`
	Variables map[string]string `json:"variables,omitempty"`
}

// Record is a file as it was compiled.
type Record struct {
	Hash string // of the file's text, 64 hex digits
	File File
}

type envelope struct {
	Format int             `json:"format"`
	Hash   string          `json:"hash"`
	File   json.RawMessage `json:"file"`
}

// Append makes a record of a file that has been checked.
func Marshal(f *File) ([]byte, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	b, err := json.MarshalIndent(envelope{Format, hashOf(text), text}, "", "  ")
	return append(b, '\n'), err
}

// hashOf takes the text without its blanks, so that a record may be laid out as one likes.
func hashOf(text []byte) string {
	var plain bytes.Buffer
	if json.Compact(&plain, text) != nil {
		return ""
	}
	sum := sha256.Sum256(plain.Bytes())
	return hex.EncodeToString(sum[:])
}

// Load reads a record and checks it against the settings; errors name the record and the key.
func Load(path string, o *startup.Config) (*Record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxRecord+1))
	if err != nil {
		return nil, err
	}
	r, err := Parse(b)
	if err == nil {
		err = first(Check(&r.File, KnownNames(o)))
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

func first(faults []FieldError) error {
	if len(faults) == 0 {
		return nil
	}
	return errors.New(faults[0].String())
}

// Read takes a record apart, strictly.
func Parse(b []byte) (*Record, error) {
	if len(b) > maxRecord {
		return nil, fmt.Errorf("a record of at most %d bytes expected", maxRecord)
	}
	var e envelope
	if err := strict(b, &e); err != nil {
		return nil, fmt.Errorf("no record: %w", err)
	}
	if e.Format != Format {
		return nil, fmt.Errorf("format: %d expected, %d there; compile the file with the valvectl of this build", Format, e.Format)
	}
	if got := hashOf(e.File); got != e.Hash || got == "" {
		return nil, errors.New("hash: it is not that of the file in the record; compile it again")
	}
	r := &Record{Hash: e.Hash}
	if err := strict(e.File, &r.File); err != nil {
		return nil, fmt.Errorf("file: %w", err)
	}
	return r, nil
}

func strict(b []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("one object expected, more there after byte %d", d.InputOffset())
	}
	return nil
}

// Fault is one thing wrong with a file, by the key's path in it.
type FieldError struct{ Path, Message string }

func (f FieldError) String() string { return f.Path + ": " + f.Message }

// KnownOf is what routes may name.
func KnownNames(o *startup.Config) route.Catalog {
	k := route.Catalog{RequireToken: map[string]bool{}, Criticality: map[string]float64{}, OverQuotaFactor: o.Fleet.OverQuotaFraction}
	for _, m := range o.Methods {
		k.Criticality[m.Name] = m.Criticality
		k.Methods = append(k.Methods, m.Name)
		k.RequireToken[m.Name] = m.Idempotency == control.IdempotencyKeyed
	}
	for _, c := range o.Customers {
		k.Customers = append(k.Customers, c.Name)
	}
	return k
}

// Check names all that is wrong with a file, in the order of its keys.
func Check(f *File, known route.Catalog) (faults []FieldError) {
	bad := func(path, format string, a ...any) {
		faults = append(faults, FieldError{path, fmt.Sprintf(format, a...)})
	}
	within := func(path string, v, low, high float64) {
		if !(v >= low && v <= high) {
			bad(path, "a number from %g to %g expected, %g there", low, high, v)
		}
	}
	if f.Version == "" || len(f.Version) > 64 {
		bad("version", "a text of up to 64 bytes expected")
	}
	within("hold.settled_ms", f.Queue.SettledMs, 0, 60e3)
	if f.Limits.OverShare != nil {
		within("limits.over_share", *f.Limits.OverShare, 0, 1)
	}
	if f.Limits.RunsPerCore != 0 {
		within("limits.runs_a_core", f.Limits.RunsPerCore, 1, 1000)
	}
	for _, name := range keys(f.Limits.Quotas) {
		within(at("limits.quotas", name), f.Limits.Quotas[name], 0, 1e9)
		if len(known.Customers) > 0 && !slices.Contains(known.Customers, name) {
			bad(at("limits.quotas", name), "no customer of the settings")
		}
	}
	if t := f.Store; t != nil {
		if t.Dir == "" {
			bad("store.dir", "a path expected")
		}
		within("store.mb", t.MaxMB, 1, 1<<20)
		within("store.segment_mb", t.SegmentMB, 0.1, 4096)
		within("store.answer_bytes", float64(t.MaxAnswerBytes), 0, 16<<20)
		within("store.tolerance_ms", t.ToleranceMs, 0, 3.6e6)
		if t.SegmentMB > t.MaxMB/2 {
			bad("store.segment_mb", "at most half of store.mb: a segment is freed as a whole")
		}
	}
	if t := f.Trace; t != nil {
		if t.Path == "" {
			bad("trace.path", "a path expected")
		}
		within("trace.file_mb", t.MaxFileMB, 0.1, 1<<20)
		within("trace.files", float64(t.MaxFiles), 1, 1000)
	}
	if x := f.Fleet; x != nil {
		if !isAddress(x.Listen) {
			bad("fleet.listen", "an IP address and a port expected, %.60q there", x.Listen)
		} else if host, _, _ := net.SplitHostPort(x.Listen); net.ParseIP(host).IsUnspecified() && x.Advertise == "" {
			bad("fleet.advertise", "it must be set where fleet.listen is no address that others can reach")
		}
		if x.Advertise != "" && !isAddress(x.Advertise) {
			bad("fleet.advertise", "an IP address and a port expected, %.60q there", x.Advertise)
		}
		if len(x.Seeds) > maxSeeds {
			bad("fleet.seeds", "at most %d addresses expected, %d there", maxSeeds, len(x.Seeds))
		}
		for i, s := range x.Seeds {
			if !isAddress(s) {
				bad(fmt.Sprintf("fleet.seeds[%d]", i), "an IP address and a port expected, %.60q there", s)
			}
		}
		for i, s := range x.PermitServers {
			if !isAddress(s) || i >= maxPermitServers {
				bad(fmt.Sprintf("fleet.keepers[%d]", i), "an IP address and a port expected, at most %d; %.60q there", maxPermitServers, s)
			}
		}
		within("fleet.expect", float64(x.ExpectedServers), 0, 4096)
		if len(x.Zone) > 64 {
			bad("fleet.zone", "at most 64 bytes expected")
		}
		if len(x.Name) > 64 {
			bad("fleet.name", "at most 64 bytes expected")
		}
	}
	if f.Budgets != nil {
		f.Budgets.check(f, known, bad, within)
	}
	if u := f.UWSGI; u != nil {
		if !isAddress(u.Listen) {
			bad("uwsgi.listen", "an IP address and a port, as 10.0.0.4:3031, expected, %.60q there", u.Listen)
		}
		if !slices.Contains([]string{"asked", "always", "never"}, u.KeepAlive) {
			bad("uwsgi.keep", "asked, always or never expected, %.40q there", u.KeepAlive)
		}
		within("uwsgi.block_bytes", float64(u.MaxHeaderBytes), 512, 65535)
		within("uwsgi.variables", float64(u.MaxVariables), 8, 1024)
		within("uwsgi.path_bytes", float64(u.MaxPathBytes), 16, 65535)
		within("uwsgi.body_bytes", float64(u.MaxBodyBytes), 0, 16<<20)
		within("uwsgi.bodies_kb", float64(u.BodyMemoryKB), 1, 1<<20)
		within("uwsgi.silence_ms", u.ReadTimeoutMs, 10, 60e3)
		within("uwsgi.body_ms", u.BodyTimeoutMs, 10, 600e3)
		within("uwsgi.held_kb", u.QueuedKB, 0.001, 2000)
		if u.MaxBodyBytes > u.BodyMemoryKB<<10 {
			bad("uwsgi.bodies_kb", "at least one body of body_bytes must fit")
		}
	} else if len(f.Routes) > 0 {
		bad("routes", "there is no front that they could serve: uwsgi is not set")
	}
	names := keys(f.Routes)
	for _, x := range route.Check(f.Rules(), known) {
		bad(at("routes", names[x.Rule])+"."+x.Key, "%s", x.Text)
	}
	for _, name := range keys(f.Pools) {
		p, path := f.Pools[name], at("pools", name)
		if len(p.Members) == 0 || len(p.Members) > maxMembers {
			bad(path+".members", "1 to %d addresses expected, %d there", maxMembers, len(p.Members))
		}
		for i, m := range p.Members {
			if !isAddress(m) {
				bad(fmt.Sprintf("%s.members[%d]", path, i), "an IP address and a port expected, %.60q there", m)
			} else if k := slices.Index(p.Members, m); k < i {
				bad(fmt.Sprintf("%s.members[%d]", path, i), "%s is member %d already", m, k)
			}
		}
		within(path+".connections", float64(p.MaxConnections), 1, 4096)
		within(path+".waiting", float64(p.MaxQueued), 0, 65536)
		within(path+".wait_ms", p.QueueTimeoutMs, 0, 60e3)
		within(path+".connect_ms", p.ConnectTimeoutMs, 1, 60e3)
		within(path+".answer_bytes", float64(p.MaxAnswerBytes), 1, 16<<20)
		within(path+".failures", float64(p.MaxFailures), 0, 1000)
		if p.OutlierFactor != 0 {
			within(path+".outlier", p.OutlierFactor, 1.5, 1000)
		}
		within(path+".min_share", p.MinShare, 0, 1)
		within(path+".eject_ms", p.EjectionMs, 1, 600e3)
		within(path+".return_ms", p.RecoveryMs, 0, 600e3)
		within(path+".check_ms", p.HealthCheckMs, 0, 600e3)
		within(path+".retry.share", p.Retry.Share, 0, 1)
		within(path+".retry.floor", p.Retry.Floor, 0, 1000)
		within(path+".retry.most", float64(p.Retry.MaxAttempts), 1, 10)
		if !slices.ContainsFunc(keys(f.Methods), func(m string) bool { return f.Methods[m].Pool == name }) {
			bad(path, "no method has its work done there")
		}
	}
	for _, name := range keys(f.Methods) {
		m, path := f.Methods[name], at("methods", name)
		if known.Methods != nil && !slices.Contains(known.Methods, name) {
			bad(path, "%q is no method of the settings", name)
		}
		if _, has := f.Pools[m.Pool]; !has {
			bad(path+".pool", "%.40q is no pool of this file", m.Pool)
		}
		if !strings.HasPrefix(m.Path, "/") {
			bad(path+".path", "a path that begins with a slash expected, %.40q there", m.Path)
		}
		if !slices.Contains(route.Verbs, m.Verb) {
			bad(path+".verb", "one of %s expected, %.40q there", strings.Join(route.Verbs, ", "), m.Verb)
		}
	}
	if len(faults) == 0 && len(f.Expectations) > 0 { // else a route that is wrong is the cause of most that is not as expected
		for _, x := range f.expectations(known) {
			kind := "it does not hold"
			if x.Untested {
				kind = "it can never be tested"
			}
			bad(at("expect", x.Name), "%s: %s", kind, x.Text)
		}
	}
	return faults
}

// maxSeeds: a few in each zone are enough to find the rest by.
const maxSeeds = 64

// maxKeepers: more than seven of them agree no better.
const maxPermitServers = 7

// maxMembers of a pool: each costs a look at every choice.
const maxMembers = 64

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	n, bad := strconv.ParseUint(port, 10, 16)
	return err == nil && bad == nil && n > 0 && net.ParseIP(host) != nil
}

func keys[V any](m map[string]V) []string {
	all := make([]string, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// at is the path of an entry of a table, quoted as CUE reads it.
func at(table, name string) string { return table + "." + strconv.Quote(name) }

// Rules are the routes for package route, by name.
func (f *File) Rules() (rules []route.Rule) {
	for _, name := range keys(f.Routes) {
		r := f.Routes[name]
		rule := route.Rule{
			Name: name, Host: r.Host, Path: r.Path, Verb: r.Verb, Method: r.Method,
			Customer: r.Customer.source(), Caller: r.Caller.source(), Token: r.Token.source(), Subject: r.Subject.source(),
			Retry: r.Retry.source(), Hint: r.Hint.source(), Door: r.Door.source(),
		}
		for _, v := range keys(r.When) {
			rule.When = append(rule.When, route.Condition{Variable: v, Value: r.When[v]})
		}
		rules = append(rules, rule)
	}
	return rules
}

func (s *Source) source() route.Source {
	if s == nil {
		return route.Source{}
	}
	return route.Source{Fixed: s.Fixed, Variable: s.Variable, Segment: s.Segment, Query: s.Query, Names: s.Names}
}

// Rules are the pool's for package pool.
func (p *Pool) Rules() pool.Config {
	return pool.Config{
		MaxConnections: p.MaxConnections, MaxQueued: p.MaxQueued, QueueTimeout: p.QueueTimeoutMs, ConsecutiveFailures: p.MaxFailures, LatencyFactor: p.OutlierFactor,
		MinHealthyShare: p.MinShare, BaseEjection: p.EjectionMs, SlowStart: p.RecoveryMs, HealthCheckInterval: p.HealthCheckMs, RoundRobin: p.RoundRobin,
	}
}

// Tries are the rules of the pool's budget.
func (p *Pool) RetryRules() retry.Config {
	return retry.Config{RetryRatio: p.Retry.Share, MinPerSecond: p.Retry.Floor, MaxAttempts: p.Retry.MaxAttempts}
}

// Descriptors is how many the file's parts may take at once, beside the connections of the fronts.
func (f *File) Descriptors() (n int) {
	for _, p := range f.Pools {
		n += len(p.Members) * p.MaxConnections
		if p.HealthCheckMs > 0 {
			n += len(p.Members)
		}
	}
	if f.UWSGI != nil {
		n++
	}
	if f.Fleet != nil {
		n += fleetDescriptors
	}
	return n
}

// fleetDescriptors: two sockets that listen, 32 exchanges that come in, two that go out, the operators' socket and its
// eight readers, with some to spare.
const fleetDescriptors = 48

// Ms is a time of the file.
func Milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
