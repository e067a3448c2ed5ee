package operator

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"

	"sorrelvalve/decision/route"
)

// Limits on the contents of a file.
const (
	maxSeeds         = 64 // a few seeds in each zone are enough to discover the other servers
	maxPermitServers = 7  // more replicas do not make the consensus more reliable
	maxMembers       = 64 // of a pool; every choice of a member examines all of them
	maxNameBytes     = 64
)

// FieldError reports an invalid value of a file, or a missing one.
type FieldError struct {
	Path    string // of the key, in CUE syntax: pools."db".members[1]
	Message string
}

// Error returns the path and the message.
func (e FieldError) Error() string { return e.Path + ": " + e.Message }

// checker collects the errors of a file. It has a method for each part of the file.
type checker struct {
	file   *File
	known  route.Catalog
	faults []FieldError
}

// Check returns all errors of a file, in the order of the file's parts. known holds the names in the settings; with the zero
// value no names are checked.
func Check(f *File, known route.Catalog) []FieldError {
	c := &checker{file: f, known: known}
	c.version()
	c.queue()
	c.limits()
	c.store()
	c.trace()
	c.fleet()
	c.budgets()
	c.uwsgi()
	c.routes()
	c.pools()
	c.methods()
	c.expectations()
	return c.faults
}

// fail adds an error.
func (c *checker) fail(path, format string, a ...any) {
	c.faults = append(c.faults, FieldError{path, fmt.Sprintf(format, a...)})
}

// within checks that a number is in a range. NaN is in no range.
func (c *checker) within(path string, v, low, high float64) {
	inRange := v >= low && v <= high
	if !inRange {
		c.fail(path, "must be a number from %g to %g, got %g", low, high, v)
	}
}

// address checks that a value is an IP address with a port.
func (c *checker) address(path, value string) {
	if !isAddress(value) {
		c.fail(path, "must be an IP address and a port, got %.60q", value)
	}
}

// name checks the length of a name, which may be empty.
func (c *checker) name(path, value string) {
	if len(value) > maxNameBytes {
		c.fail(path, "must be at most %d bytes long", maxNameBytes)
	}
}

func (c *checker) version() {
	if c.file.Version == "" || len(c.file.Version) > maxNameBytes {
		c.fail("version", "must be a text of 1 to %d bytes", maxNameBytes)
	}
}

func (c *checker) queue() {
	c.within("hold.settled_ms", c.file.Queue.SettledMs, 0, 60e3)
}

func (c *checker) limits() {
	limits := &c.file.Limits
	if limits.OverQuotaFraction != nil {
		c.within("limits.over_share", *limits.OverQuotaFraction, 0, 1)
	}
	if limits.RunsPerCore != 0 {
		c.within("limits.runs_a_core", limits.RunsPerCore, 1, 1000)
	}
	for _, name := range sortedKeys(limits.Quotas) {
		path := entryPath("limits.quotas", name)
		c.within(path, limits.Quotas[name], 0, 1e9)
		if len(c.known.Customers) > 0 && !slices.Contains(c.known.Customers, name) {
			c.fail(path, "no customer of the settings has this name")
		}
	}
}

func (c *checker) store() {
	store := c.file.Store
	if store == nil {
		return
	}
	if store.Dir == "" {
		c.fail("store.dir", "must be a path")
	}
	c.within("store.mb", store.MaxMB, 1, 1<<20)
	c.within("store.segment_mb", store.SegmentMB, 0.1, 4096)
	c.within("store.answer_bytes", float64(store.MaxAnswerBytes), 0, 16<<20)
	c.within("store.tolerance_ms", store.ToleranceMs, 0, 3.6e6)
	if store.SegmentMB > store.MaxMB/2 {
		c.fail("store.segment_mb", "at most half of store.mb: a segment is freed as a whole")
	}
}

func (c *checker) trace() {
	trace := c.file.Trace
	if trace == nil {
		return
	}
	if trace.Path == "" {
		c.fail("trace.path", "must be a path")
	}
	c.within("trace.file_mb", trace.MaxFileMB, 0.1, 1<<20)
	c.within("trace.files", float64(trace.MaxFiles), 1, 1000)
}

func (c *checker) fleet() {
	fleet := c.file.Fleet
	if fleet == nil {
		return
	}
	c.fleetAddresses(fleet)
	c.within("fleet.expect", float64(fleet.ExpectedServers), 0, maxServers)
	c.name("fleet.zone", fleet.Zone)
	c.name("fleet.name", fleet.Name)
}

func (c *checker) fleetAddresses(fleet *Fleet) {
	c.address("fleet.listen", fleet.Listen)
	if isAddress(fleet.Listen) && fleet.Advertise == "" && isUnspecified(fleet.Listen) {
		c.fail("fleet.advertise", "must be set, because other servers cannot reach the address in fleet.listen")
	}
	if fleet.Advertise != "" {
		c.address("fleet.advertise", fleet.Advertise)
	}
	if len(fleet.Seeds) > maxSeeds {
		c.fail("fleet.seeds", "must be at most %d addresses, got %d", maxSeeds, len(fleet.Seeds))
	}
	for i, seed := range fleet.Seeds {
		c.address(fmt.Sprintf("fleet.seeds[%d]", i), seed)
	}
	for i, server := range fleet.PermitServers {
		if !isAddress(server) || i >= maxPermitServers {
			c.fail(fmt.Sprintf("fleet.keepers[%d]", i), "must be an IP address and a port, with at most %d addresses in the list, got %.60q", maxPermitServers, server)
		}
	}
}

func (c *checker) uwsgi() {
	front := c.file.UWSGI
	if front == nil {
		if len(c.file.Routes) > 0 {
			c.fail("routes", "there is no front to use them: uwsgi is not set")
		}
		return
	}
	if !isAddress(front.Listen) {
		c.fail("uwsgi.listen", "must be an IP address and a port, such as 10.0.0.4:3031, got %.60q", front.Listen)
	}
	if !slices.Contains([]string{KeepAliveAsked, KeepAliveAlways, KeepAliveNever}, front.KeepAlive) {
		c.fail("uwsgi.keep", "must be asked, always or never, got %.40q", front.KeepAlive)
	}
	c.within("uwsgi.block_bytes", float64(front.MaxHeaderBytes), 512, 65535)
	c.within("uwsgi.variables", float64(front.MaxVariables), 8, 1024)
	c.within("uwsgi.path_bytes", float64(front.MaxPathBytes), 16, 65535)
	c.within("uwsgi.body_bytes", float64(front.MaxBodyBytes), 0, 16<<20)
	c.within("uwsgi.bodies_kb", float64(front.BodyMemoryKB), 1, 1<<20)
	c.within("uwsgi.silence_ms", front.ReadTimeoutMs, 10, 60e3)
	c.within("uwsgi.body_ms", front.BodyTimeoutMs, 10, 600e3)
	c.within("uwsgi.held_kb", front.QueuedKB, 0.001, 2000)
	if front.MaxBodyBytes > front.BodyMemoryKB<<10 {
		c.fail("uwsgi.bodies_kb", "at least one body of body_bytes must fit")
	}
}

func (c *checker) routes() {
	names := sortedKeys(c.file.Routes)
	for _, fault := range route.Check(c.file.Rules(), c.known) {
		c.fail(entryPath("routes", names[fault.Rule])+"."+fault.Key, "%s", fault.Text)
	}
}

func (c *checker) pools() {
	for _, name := range sortedKeys(c.file.Pools) {
		pool, path := c.file.Pools[name], entryPath("pools", name)
		c.members(path, pool.Members)
		c.pool(path, &pool)
		serves := func(method string) bool { return c.file.Methods[method].Pool == name }
		if !slices.ContainsFunc(sortedKeys(c.file.Methods), serves) {
			c.fail(path, "no method uses this pool")
		}
	}
}

func (c *checker) members(path string, members []string) {
	if len(members) == 0 || len(members) > maxMembers {
		c.fail(path+".members", "must be 1 to %d addresses, got %d", maxMembers, len(members))
	}
	for i, member := range members {
		memberPath := fmt.Sprintf("%s.members[%d]", path, i)
		if !isAddress(member) {
			c.address(memberPath, member)
		} else if first := slices.Index(members, member); first < i {
			c.fail(memberPath, "address %s is already used by member %d", member, first)
		}
	}
}

func (c *checker) pool(path string, pool *Pool) {
	c.within(path+".connections", float64(pool.MaxConnections), 1, 4096)
	c.within(path+".waiting", float64(pool.MaxQueued), 0, 65536)
	c.within(path+".wait_ms", pool.QueueTimeoutMs, 0, 60e3)
	c.within(path+".connect_ms", pool.ConnectTimeoutMs, 1, 60e3)
	c.within(path+".answer_bytes", float64(pool.MaxAnswerBytes), 1, 16<<20)
	c.within(path+".failures", float64(pool.MaxFailures), 0, 1000)
	if pool.OutlierFactor != 0 {
		c.within(path+".outlier", pool.OutlierFactor, 1.5, 1000)
	}
	c.within(path+".min_share", pool.MinShare, 0, 1)
	c.within(path+".eject_ms", pool.EjectionMs, 1, 600e3)
	c.within(path+".return_ms", pool.RecoveryMs, 0, 600e3)
	c.within(path+".check_ms", pool.HealthCheckMs, 0, 600e3)
	c.within(path+".retry.share", pool.Retry.Share, 0, 1)
	c.within(path+".retry.floor", pool.Retry.Floor, 0, 1000)
	c.within(path+".retry.most", float64(pool.Retry.MaxAttempts), 1, 10)
}

func (c *checker) methods() {
	for _, name := range sortedKeys(c.file.Methods) {
		method, path := c.file.Methods[name], entryPath("methods", name)
		if c.known.Methods != nil && !slices.Contains(c.known.Methods, name) {
			c.fail(path, "no method of the settings is named %q", name)
		}
		if _, ok := c.file.Pools[method.Pool]; !ok {
			c.fail(path+".pool", "no pool of this file is named %.40q", method.Pool)
		}
		if !strings.HasPrefix(method.Path, "/") {
			c.fail(path+".path", "must be a path that begins with a slash, got %.40q", method.Path)
		}
		if !slices.Contains(route.Verbs, method.Verb) {
			c.fail(path+".verb", "must be one of %s, got %.40q", strings.Join(route.Verbs, ", "), method.Verb)
		}
	}
}

// expectations checks the expectations, but only in a file without other errors: an invalid route would make many expectations
// fail.
func (c *checker) expectations() {
	if len(c.faults) > 0 || len(c.file.Expectations) == 0 {
		return
	}
	for _, fault := range c.file.checkExpectations(c.known) {
		kind := "expectation failed"
		if fault.Untestable {
			kind = "expectation can never be tested"
		}
		c.fail(entryPath("expect", fault.Name), "%s: %s", kind, fault.Text)
	}
}

// isAddress reports whether s is an IP address with a port other than 0.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// isUnspecified reports whether an address stands for all interfaces.
func isUnspecified(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsUnspecified()
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// entryPath returns the path of an entry of a table, with the entry's name quoted as in CUE.
func entryPath(table, name string) string { return table + "." + strconv.Quote(name) }
