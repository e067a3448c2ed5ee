package startup

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Process is the configuration of one server process.
type Process struct {
	Name        string        // name of the server, which is valid in a URL path
	Listen      string        // host:port for RPCs
	Engine      string        // host:port of the engine that executes RPCs
	Members     string        // host:port of the membership service
	StopTimeout time.Duration // time from a stop signal to the end of the process
	Cores       float64
	MemoryMB    int
	Sockets     int // maximum number of file descriptors for connections
	Settings    *Config

	read map[string]value // all values of the file, with the overrides, by path
}

// Load reads the environment and the configuration file at the path in EDGE_CONFIG. EDGE_NAME and EDGE_LISTEN override name
// and listen of the file. Errors name the faulty key.
func Load(env func(string) string) (*Process, error) {
	file := env("EDGE_CONFIG")
	if file == "" {
		return nil, fmt.Errorf("EDGE_CONFIG: must be the path of a configuration file, got nothing")
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	p, err := parseProcess(b, env("EDGE_NAME"), env("EDGE_LISTEN"))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return p, nil
}

// Bounds and defaults of the numbers in a process's configuration.
const (
	defaultStopMs   = 3000
	maxStopMs       = 3.6e6
	minCores        = 0.01
	maxCores        = 1024
	defaultMemoryMB = 192
	minMemoryMB     = 16
	maxMemoryMB     = 1 << 20
	defaultSockets  = 1024
	minSockets      = 48
	maxSockets      = 1 << 20
)

// parseProcess parses a configuration file. name and listen override the values of the file unless they are empty.
func parseProcess(b []byte, name, listen string) (*Process, error) {
	v, err := parseJSON(b)
	if err != nil {
		return nil, err
	}
	for key, override := range map[string]string{"name": name, "listen": listen} {
		if override != "" {
			v.byPath[key] = value{override, kindText}
		}
	}
	p := &Process{
		read:        v.byPath,
		Name:        v.requiredText("name"),
		Listen:      v.address("listen"),
		Engine:      v.address("engine"),
		Members:     v.address("members"),
		StopTimeout: time.Duration(v.numberWithin("stop_ms", defaultStopMs, 1, maxStopMs) * float64(time.Millisecond)),
		Cores:       v.numberWithin("limits.cores", 1, minCores, maxCores),
		MemoryMB:    int(v.numberWithin("limits.memory_mb", defaultMemoryMB, minMemoryMB, maxMemoryMB)),
		Sockets:     int(v.numberWithin("limits.sockets", defaultSockets, minSockets, maxSockets)),
	}
	if strings.ContainsAny(p.Name, "/ ?#%\r\n") {
		v.fail("name", "a name that is valid in a URL path", p.Name)
	}
	seed, err := strconv.ParseUint(v.requiredText("seed"), 16, 64)
	if err != nil {
		v.fail("seed", "up to 16 hex digits", v.text("seed"))
	}
	if settings, _ := v.get("settings"); settings.kind != kindGroup {
		v.fail("settings", "an object", settings.text)
	}
	v.prefix = "settings."
	p.Settings = v.config()
	p.Settings.Node.Seed = seed
	return p, v.err
}

// address returns the value at a path, which must be host:port with an IP address as host.
func (v *values) address(path string) string {
	s := v.requiredText(path)
	host, port, err := net.SplitHostPort(s)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || n == 0 || net.ParseIP(host) == nil {
		v.fail(path, "an IP address and a port such as 10.0.0.4:8080", s)
	}
	return s
}

// ReloadableKeys are the keys that a running process applies on reload: the addresses of the engine and the membership
// service, and the stop timeout. Changes of all other keys take effect at the next start.
var ReloadableKeys = []string{"engine", "members", "stop_ms"}

// RestartOnlyChanges returns the sorted keys whose values differ in next and that are applied only at a restart.
func (p *Process) RestartOnlyChanges(next *Process) (keys []string) {
	for key, v := range next.read {
		if old, ok := p.read[key]; (!ok || old != v) && !slices.Contains(ReloadableKeys, key) {
			keys = append(keys, key)
		}
	}
	for key := range p.read {
		if _, ok := next.read[key]; !ok && !slices.Contains(ReloadableKeys, key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
