package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"sorrelvalve/control"
)

// Opening is what an instance is told when it begins.
type Opening struct {
	Node      control.Node
	Fleet     control.Fleet
	Below     control.Below
	Rules     control.Rules
	Methods   []control.Method
	Customers []control.Customer
	gauges    []string
}

// lines are the path=value pairs, and the first thing found wrong with them.
type lines struct {
	value map[string]string
	bad   error
}

// ParseOpening reads the path=value lines. Unknown paths are ignored, missing ones have plain defaults.
func ParseOpening(text string) (*Opening, error) {
	l := lines{value: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		path, v, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: path=value expected, %.60q there", i+1, line)
		}
		l.value[path] = v
	}
	o := &Opening{
		Node: control.Node{
			Cold:       l.yes("family_info.cold"),
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
			Marks:         l.yes("client_habits.marks_retry"),
			TellsTime:     l.yes("family_info.passes_deadline"),
			Heeded:        l.ms("family_info.heeded", 1e9),
			Idle:          l.ms("family_info.idle", 30e9),
			MaxRetryAfter: l.ms("limits.max_retry_after", 0),
			OverShare:     l.num("over_share_worth", 1),
		},
		Below: control.Below{
			Share:  l.num("family_info.call_share", 0),
			Linger: l.ms("family_info.linger", 0),
		},
		Rules: control.Rules{
			DrainGrace: l.ms("rules.drain_grace", 0),
			Ceiling:    l.num("rules.tip_multiple", 2),
		},
	}
	switch l.value["family_info.halt"] {
	case "abort":
		o.Node.Stop = control.StopAbort
	case "suspend":
		o.Node.Stop = control.StopPause
	}
	switch l.value["family_info.say"] {
	case "threshold":
		o.Fleet.Say = control.SayLevel
	case "window":
		o.Fleet.Say = control.SayWindow
	case "share_of":
		o.Fleet.Say = control.SayShare
	}
	if v, told := l.value["limits.retry_after"]; told && v != "true" {
		o.Fleet.MaxRetryAfter = 0
	}
	if l.value["family_info.below"] != "shared" {
		o.Below.Share = 0
	}
	for i := range l.count("classes") {
		o.Methods = append(o.Methods, l.method(i))
	}
	if len(o.Methods) == 0 && l.bad == nil {
		l.bad = fmt.Errorf("settings classes.count: at least 1 expected")
	}
	for i := range l.count("customers") {
		p := fmt.Sprintf("customers.%d.", i)
		o.Customers = append(o.Customers, control.Customer{
			Name: l.value[p+"name"], Quota: l.num(p+"quota_rps", 0),
		})
	}
	if v := l.value["family_info.meters"]; v != "" {
		o.gauges = strings.Split(v, ",")
	}
	return o, l.bad
}

func (l *lines) method(i int) control.Method {
	p := fmt.Sprintf("classes.%d.", i)
	m := control.Method{
		Name:          l.value[p+"name"],
		LatencyTarget: l.ms(p+"aim", 1e9),
		Stretch:       l.num(p+"aim_stretch", 0),
		Window:        l.ms(p+"window", 0),
		Criticality:   l.num(p+"worth", 1),
		LateShare:     l.num(p+"late_worth", 0),
		SkipShare:     l.item("family_info.worth_without", i),
	}
	m.Deadline = l.ms(p+"give_up", 2*m.LatencyTarget*nsPerMs)
	switch l.value[p+"idempotency"] {
	case "idempotency_key":
		m.Repeat = control.Tokened
	case "non_idempotent":
		m.Repeat = control.NonIdempotent
	case "read_like", "":
	default:
		l.fail(p+"idempotency", "a known kind", l.value[p+"idempotency"])
	}
	return m
}

func (l *lines) fail(path, want, got string) {
	if l.bad == nil {
		l.bad = fmt.Errorf("settings %s: %s expected, %.60q there", path, want, got)
	}
}

func (l *lines) parse(path, v string) float64 {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		l.fail(path, "a number from 0 up", v)
		return 0
	}
	return x
}

func (l *lines) num(path string, missing float64) float64 {
	if v, ok := l.value[path]; ok {
		return l.parse(path, v)
	}
	return missing
}

func (l *lines) ms(path string, missingNs float64) float64 { return l.num(path, missingNs) / nsPerMs }

func (l *lines) item(path string, i int) float64 {
	if items := strings.Split(l.value[path], ","); i < len(items) && items[i] != "" {
		return l.parse(path, items[i])
	}
	return 0
}

func (l *lines) yes(path string) bool { return l.value[path] == "true" }

// count reads a list's length; more items than there are lines is a false length.
func (l *lines) count(list string) int {
	n := l.num(list+".count", 0)
	if n > float64(len(l.value)) {
		l.fail(list+".count", fmt.Sprintf("at most %d", len(l.value)), l.value[list+".count"])
		return 0
	}
	return int(n)
}
