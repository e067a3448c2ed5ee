// Package startup reads what a server is told at its start: the variables of its environment, the
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

// Config is what an instance of the decisions is made from. Traces store it as JSON under the names in the tags.
type Config struct {
	Node        control.Node
	Fleet       control.Fleet
	Dependency  control.Dependency `json:"Below"`
	Limits      control.Limits     `json:"Rules"`
	Methods     []control.Method
	Customers   []control.Customer
	Gauges      []string // the names of the gauges, in their order
	AnswerSlack float64  `json:"Slack"` // ms after its deadline that the answer to an RPC may come
}

// Process is what one real server is told.
type Process struct {
	Name, Listen    string
	Engine, Members string // addresses
	StopTimeout     time.Duration
	Cores           float64
	MemoryMB        int
	Sockets         int
	Config          *Config

	read map[string]value // all that it was made of
}

// Parse reads the lines that the simulator sends. Unknown paths are ignored, missing ones have plain defaults.
func Parse(s string) (*Config, error) {
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
		read:        l.value,
		Name:        l.must("name"),
		Listen:      l.address("listen"),
		Engine:      l.address("engine"),
		Members:     l.address("members"),
		StopTimeout: time.Duration(l.within("stop_ms", 3000, 1, 3.6e6) * float64(time.Millisecond)),
		Cores:       l.within("limits.cores", 1, 0.01, 1024),
		MemoryMB:    int(l.within("limits.memory_mb", 192, 16, 1<<20)),
		Sockets:     int(l.within("limits.sockets", 1024, 48, 1<<20)),
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
	p.Config = l.opening()
	p.Config.Node.Seed = seed
	return p, l.bad
}

// ReloadableKeys are the keys that a running process takes anew: the addresses of its partners, and how long it has to
// leave. All others stay as they were when it started.
var ReloadableKeys = []string{"engine", "members", "stop_ms"}

// RestartOnlyChanges names the keys in which next differs though they stay, in their order.
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

// address is host:port.
func (l *lines) address(path string) string {
	s := l.must(path)
	host, port, err := net.SplitHostPort(s)
	if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || net.ParseIP(host) == nil {
		l.fail(path, "an IP address and a port, as 10.0.0.4:8080", s)
	}
	return s
}

func (l *lines) opening() *Config {
	o := &Config{
		Node: control.Node{
			WarmingUp:       l.yes("family_info.cold", false),
			InitialSpeed:    l.num("rules.start_capacity", 0.2),
			WarmUpTime:      l.ms("rules.cold", 20e9),
			Cores:           max(1, int(l.num("family_info.cores", 1))),
			MemoryKB:        l.num("family_info.ram_kb", 0),
			RunMemoryFactor: l.num("family_info.run_factor", 1),
			TokenKB:         l.num("family_info.key_kb", 0),
			Tick:            l.ms("tick", 1e6),
		},
		Fleet: control.Fleet{
			Peers:              max(1, int(l.num("replicas_of_me", 1))),
			Callers:            max(1, int(l.num("family_info.callers", 1))),
			MarksRetries:       l.yes("client_habits.marks_retry", false),
			PropagatesDeadline: l.yes("family_info.passes_deadline", false),
			FeedbackTTL:        l.ms("family_info.heeded", 1e9),
			IdleTimeout:        l.ms("family_info.idle", 30e9),
			MaxRetryAfter:      l.ms("limits.max_retry_after", 0),
			OverQuotaFraction:  l.num("over_share_worth", 1),
		},
		Dependency: control.Dependency{
			ConcurrencyShare: l.num("family_info.call_share", 0),
			Linger:           l.ms("family_info.linger", 0),
			AveragingWindow:  l.ms("family_info.calls_over", 5e9),
		},
		Limits: control.Limits{
			DrainGrace:     l.ms("rules.drain_grace", 0),
			MaxRunsPerCore: l.num("rules.tip_multiple", 2),
		},
		AnswerSlack: l.ms("rules.answer_slack", 60e6),
	}
	switch l.str("family_info.halt") {
	case "abort":
		o.Node.Preemption = control.PreemptAbort
	case "suspend":
		o.Node.Preemption = control.PreemptSuspend
	}
	switch l.str("family_info.say") {
	case "threshold":
		o.Fleet.Feedback = control.FeedbackLevel
	case "window":
		o.Fleet.Feedback = control.FeedbackWindow
	case "share_of":
		o.Fleet.Feedback = control.FeedbackShare
	}
	if !l.yes("limits.retry_after", true) {
		o.Fleet.MaxRetryAfter = 0
	}
	if l.str("family_info.below") != "shared" {
		o.Dependency.ConcurrencyShare = 0
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
		Name:             l.str(p + "name"),
		LatencyObjective: l.ms(p+"aim", 1e9),
		ObjectiveStretch: l.num(p+"aim_stretch", 0),
		DedupWindow:      l.ms(p+"window", 0),
		Criticality:      l.num(p+"worth", 1),
		LateFraction:     l.num(p+"late_worth", 0),
		DegradedFraction: l.item("family_info.worth_without", i),
	}
	m.Deadline = l.ms(p+"give_up", 2*m.LatencyObjective*nsPerMs)
	switch kind := l.str(p + "idempotency"); kind {
	case "idempotency_key":
		m.Idempotency = control.IdempotencyKeyed
	case "non_idempotent":
		m.Idempotency = control.NonIdempotent
	case "read_like", "":
	default:
		l.fail(p+"idempotency", "read_like, idempotency_key or non_idempotent", kind)
	}
	return m
}
