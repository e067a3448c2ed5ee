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
	Name        string        // of the server; it can stand in a URL path
	Listen      string        // host:port for RPCs
	Engine      string        // host:port of the engine that does the work
	Members     string        // host:port of the membership service
	StopTimeout time.Duration // from a signal to stop to the end of the process
	Cores       float64
	MemoryMB    int
	Sockets     int // the most file descriptors that connections may take
	Settings    *Config

	read map[string]value // all values that it was made of
}

// Load reads the environment and the file that EDGE_CONFIG names. EDGE_NAME and EDGE_LISTEN override what the file says.
// Errors name the key at fault.
func Load(env func(string) string) (*Process, error) {
	file := env("EDGE_CONFIG")
	if file == "" {
		return nil, fmt.Errorf("EDGE_CONFIG: the path of a configuration file expected, nothing there")
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

// Bounds and defaults of the limits of a process.
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

// parseProcess reads a configuration file. name and listen override what it says unless they are empty.
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
		v.fail("name", "a name that can stand in a path", p.Name)
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

// address is host:port with an IP address.
func (v *values) address(path string) string {
	s := v.requiredText(path)
	host, port, err := net.SplitHostPort(s)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || n == 0 || net.ParseIP(host) == nil {
		v.fail(path, "an IP address and a port, as 10.0.0.4:8080", s)
	}
	return s
}

// ReloadableKeys are the keys that a running process takes anew: the addresses of its partners and the time that it has
// to stop. All others stay as they were when it started.
var ReloadableKeys = []string{"engine", "members", "stop_ms"}

// RestartOnlyChanges names the keys in which next differs and which only a new start can change, in their order.
func (p *Process) RestartOnlyChanges(next *Process) (keys []string) {
	for key, v := range next.read {
		if old, had := p.read[key]; (!had || old != v) && !slices.Contains(ReloadableKeys, key) {
			keys = append(keys, key)
		}
	}
	for key := range p.read {
		if _, has := next.read[key]; !has && !slices.Contains(ReloadableKeys, key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
