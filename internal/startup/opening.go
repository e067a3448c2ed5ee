// Package opening reads what a server is told at its start: the variables of its environment, the
// configuration file and the settings in it, which the simulator sends as lines of text. It is the one place
// where all that is read, checked and given defaults, and each error names the key at fault. It must never
// decide anything, nor know what the values are used for.
package startup

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"sorrelvalve/control"
)

const nsPerMs = 1e6

// Opening is what an instance of the decisions is told when it begins.
type Opening struct {
	Node      control.Node
	Fleet     control.Fleet
	Below     control.Below
	Rules     control.Rules
	Methods   []control.Method
	Customers []control.Customer
	Gauges    []string // the names of the gauges, in their order
	Slack     float64  // ms that an answer may come after its RPC is due
}

// Process is what one real server is told.
type Process struct {
	Name, Listen    string
	Engine, Members string // addresses
	Stop            time.Duration
	Cores           float64
	MemoryMB        int
	Sockets         int
	Opening         *Opening

	read map[string]value // all that it was made of
}

// Parse reads the lines that the simulator sends. Unknown paths are ignored, missing ones have plain defaults.
func Parse(s string) (*Opening, error) {
	l, err := parseLines(s)
	if err != nil {
		return nil, err
	}
	o := l.opening()
	return o, l.bad
}

// Load reads the environment and the file that EDGE_CONFIG names. EDGE_NAME and EDGE_LISTEN go before what
// the file says.
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

func parseProcess(b []byte, name, listen string) (*Process, error) {
	l, err := parseJSON(b)
	if err != nil {
		return nil, err
	}
	for key, v := range map[string]string{"name": name, "listen": listen} {
		if v != "" {
			l.value[key] = value{v, text}
		}
	}
	p := &Process{
		read:     l.value,
		Name:     l.must("name"),
		Listen:   l.address("listen"),
		Engine:   l.address("engine"),
		Members:  l.address("members"),
		Stop:     time.Duration(l.within("stop_ms", 3000, 1, 3.6e6) * float64(time.Millisecond)),
		Cores:    l.within("limits.cores", 1, 0.01, 1024),
		MemoryMB: int(l.within("limits.memory_mb", 192, 16, 1<<20)),
		Sockets:  int(l.within("limits.sockets", 1024, 48, 1<<20)),
	}
	if strings.ContainsAny(p.Name, "/ ?#%\r\n") {
		l.fail("name", "a name that can stand in a path", p.Name)
	}
	seed, err := strconv.ParseUint(l.must("seed"), 16, 64)
	if err != nil {
		l.fail("seed", "up to 16 hex digits", l.str("seed"))
	}
	if v, _ := l.get("settings"); v.kind != group {
		l.fail("settings", "an object", v.text)
	}
	l.prefix = "settings."
	p.Opening = l.opening()
	p.Opening.Node.Seed = seed
	return p, l.bad
}

// Moves are the keys that a running process takes anew: the addresses of its partners, and how long it has to
// leave. All others stay as they were when it started.
var Moves = []string{"engine", "members", "stop_ms"}

// Stays names the keys in which next differs though they stay, in their order.
func (p *Process) Stays(next *Process) (keys []string) {
	for key, v := range next.read {
		if old, had := p.read[key]; (!had || old != v) && !slices.Contains(Moves, key) {
			keys = append(keys, key)
		}
	}
	for key := range p.read {
		if _, has := next.read[key]; !has && !slices.Contains(Moves, key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// address is host:port.
func (l *lines) address(path string) string {
	s := l.must(path)
	host, port, err := net.SplitHostPort(s)
	if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || net.ParseIP(host) == nil {
		l.fail(path, "an IP address and a port, as 10.0.0.4:8080", s)
	}
	return s
}

func (l *lines) opening() *Opening {
	o := &Opening{
		Node: control.Node{
			Cold:       l.yes("family_info.cold", false),
			StartSpeed: l.num("rules.start_capacity", 0.2),
			WarmBy:     l.ms("rules.cold", 20e9),
			Cores:      max(1, int(l.num("family_info.cores", 1))),
			MemKB:      l.num("family_info.ram_kb", 0),
			RunFactor:  l.num("family_info.run_factor", 1),
			KeyKB:      l.num("family_info.key_kb", 0),
			Tick:       l.ms("tick", 1e6),
		},
		Fleet: control.Fleet{
			Peers:         max(1, int(l.num("replicas_of_me", 1))),
			Callers:       max(1, int(l.num("family_info.callers", 1))),
			Marks:         l.yes("client_habits.marks_retry", false),
			TellsTime:     l.yes("family_info.passes_deadline", false),
			Heeded:        l.ms("family_info.heeded", 1e9),
			Idle:          l.ms("family_info.idle", 30e9),
			MaxRetryAfter: l.ms("limits.max_retry_after", 0),
			OverShare:     l.num("over_share_worth", 1),
		},
		Below: control.Below{
			Share:  l.num("family_info.call_share", 0),
			Linger: l.ms("family_info.linger", 0),
			Over:   l.ms("family_info.calls_over", 5e9),
		},
		Rules: control.Rules{
			DrainGrace: l.ms("rules.drain_grace", 0),
			Ceiling:    l.num("rules.tip_multiple", 2),
		},
		Slack: l.ms("rules.answer_slack", 60e6),
	}
	switch l.str("family_info.halt") {
	case "abort":
		o.Node.Stop = control.StopAbort
	case "suspend":
		o.Node.Stop = control.StopPause
	}
	switch l.str("family_info.say") {
	case "threshold":
		o.Fleet.Say = control.SayLevel
	case "window":
		o.Fleet.Say = control.SayWindow
	case "share_of":
		o.Fleet.Say = control.SayShare
	}
	if !l.yes("limits.retry_after", true) {
		o.Fleet.MaxRetryAfter = 0
	}
	if l.str("family_info.below") != "shared" {
		o.Below.Share = 0
	}
	for i := range l.count("classes") {
		o.Methods = append(o.Methods, l.method(i))
	}
	if len(o.Methods) == 0 {
		l.fail("classes.count", "at least 1", "0")
	}
	for i := range l.count("customers") {
		p := fmt.Sprintf("customers.%d.", i)
		o.Customers = append(o.Customers, control.Customer{
			Name: l.str(p + "name"), Quota: l.num(p+"quota_rps", 0),
		})
	}
	if v := l.str("family_info.meters"); v != "" {
		o.Gauges = strings.Split(v, ",")
	}
	return o
}

func (l *lines) method(i int) control.Method {
	p := fmt.Sprintf("classes.%d.", i)
	m := control.Method{
		Name:          l.str(p + "name"),
		LatencyTarget: l.ms(p+"aim", 1e9),
		Stretch:       l.num(p+"aim_stretch", 0),
		Window:        l.ms(p+"window", 0),
		Criticality:   l.num(p+"worth", 1),
		LateShare:     l.num(p+"late_worth", 0),
		SkipShare:     l.item("family_info.worth_without", i),
	}
	m.Deadline = l.ms(p+"give_up", 2*m.LatencyTarget*nsPerMs)
	switch kind := l.str(p + "idempotency"); kind {
	case "idempotency_key":
		m.Repeat = control.Tokened
	case "non_idempotent":
		m.Repeat = control.NonIdempotent
	case "read_like", "":
	default:
		l.fail(p+"idempotency", "read_like, idempotency_key or non_idempotent", kind)
	}
	return m
}
