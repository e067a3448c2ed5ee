// Package startup reads the start-up configuration of a server: its environment variables, and the configuration file with
// the settings in it, which the simulator sends as lines of text. It is the only package that reads and checks these values
// and sets their defaults, and each error names the faulty key. It must contain no logic beyond that, and must not depend on
// what the values are used for.
package startup

import (
	"fmt"
	"strings"

	"sorrelvalve/control"
)

const (
	nsPerMs  = 1e6
	nsPerSec = 1e9
)

// Config is the start-up configuration of a controller and the server around it. Traces store it as JSON, in which the fields
// of the embedded struct are inlined. Field names and tags must therefore not change.
type Config struct {
	control.Config
	Gauges      []string // names of the gauges, in order
	AnswerSlack float64  `json:"Slack"` // time after the deadline of an RPC within which it may still be answered, in ms
}

// Parse parses the settings lines that the simulator sends. Unknown paths are ignored and missing ones have defaults. The error
// is the first one found and names its path.
func Parse(s string) (*Config, error) {
	v, err := parseLines(s)
	if err != nil {
		return nil, err
	}
	c := v.config()
	return c, v.err
}

// config reads all settings. If several are invalid, v.err is the first error in the order of reading.
func (v *values) config() *Config {
	c := &Config{
		Config: control.Config{
			Node:       v.node(),
			Fleet:      v.fleet(),
			Dependency: v.dependency(),
			Limits: control.Limits{
				DrainGrace:     v.milliseconds("rules.drain_grace", 0),
				MaxRunsPerCore: v.number("rules.tip_multiple", 2),
			},
		},
		AnswerSlack: v.milliseconds("rules.answer_slack", 60*nsPerMs),
	}
	c.Node.Preemption = v.preemption()
	c.Fleet.Feedback = v.feedback()
	if !v.boolean("limits.retry_after", true) {
		c.Fleet.MaxRetryAfter = 0
	}
	if v.text("family_info.below") != "shared" { // the share applies only if the whole fleet shares the dependency
		c.Dependency.ConcurrencyShare = 0
	}
	for i := range v.listLength("classes") {
		c.Methods = append(c.Methods, v.method(i))
	}
	if len(c.Methods) == 0 {
		v.fail("classes.count", "at least 1", "0")
	}
	for i := range v.listLength("customers") {
		prefix := fmt.Sprintf("customers.%d.", i)
		c.Customers = append(c.Customers, control.Customer{
			Name:  v.text(prefix + "name"),
			Quota: v.number(prefix+"quota_rps", 0),
		})
	}
	if names := v.text("family_info.meters"); names != "" {
		c.Gauges = strings.Split(names, ",")
	}
	return c
}

// node reads the properties of the machine and the process. The seed is not part of the settings.
func (v *values) node() control.Node {
	return control.Node{
		WarmingUp:       v.boolean("family_info.cold", false),
		InitialSpeed:    v.number("rules.start_capacity", 0.2),
		WarmUpTime:      v.milliseconds("rules.cold", 20*nsPerSec),
		Cores:           max(1, int(v.number("family_info.cores", 1))),
		MemoryKB:        v.number("family_info.ram_kb", 0),
		RunMemoryFactor: v.number("family_info.run_factor", 1),
		TokenKB:         v.number("family_info.key_kb", 0),
		Tick:            v.milliseconds("tick", nsPerMs),
	}
}

// preemption reads how running RPCs can be preempted.
func (v *values) preemption() control.Preemption {
	switch v.text("family_info.halt") {
	case "abort":
		return control.PreemptAbort
	case "suspend":
		return control.PreemptSuspend
	}
	return control.PreemptNone
}

// fleet reads the properties of the fleet and its callers.
func (v *values) fleet() control.Fleet {
	return control.Fleet{
		Peers:              max(1, int(v.number("replicas_of_me", 1))),
		Callers:            max(1, int(v.number("family_info.callers", 1))),
		MarksRetries:       v.boolean("client_habits.marks_retry", false),
		PropagatesDeadline: v.boolean("family_info.passes_deadline", false),
		FeedbackTTL:        v.milliseconds("family_info.heeded", nsPerSec),
		IdleTimeout:        v.milliseconds("family_info.idle", 30*nsPerSec),
		MaxRetryAfter:      v.milliseconds("limits.max_retry_after", 0),
		OverQuotaFraction:  v.number("over_share_worth", 1),
	}
}

// feedback reads how callers interpret load feedback.
func (v *values) feedback() control.FeedbackKind {
	switch v.text("family_info.say") {
	case "threshold":
		return control.FeedbackLevel
	case "window":
		return control.FeedbackWindow
	case "share_of":
		return control.FeedbackShare
	}
	return control.FeedbackNone
}

// dependency reads the properties of the service that RPCs call.
func (v *values) dependency() control.Dependency {
	return control.Dependency{
		ConcurrencyShare: v.number("family_info.call_share", 0),
		Linger:           v.milliseconds("family_info.linger", 0),
		AveragingWindow:  v.milliseconds("family_info.calls_over", 5*nsPerSec),
	}
}

// method reads the method at an index of the list classes. The default of its deadline is twice its latency objective.
func (v *values) method(i int) control.Method {
	prefix := fmt.Sprintf("classes.%d.", i)
	m := control.Method{
		Name:             v.text(prefix + "name"),
		LatencyObjective: v.milliseconds(prefix+"aim", nsPerSec),
		ObjectiveStretch: v.number(prefix+"aim_stretch", 0),
		DedupWindow:      v.milliseconds(prefix+"window", 0),
		Criticality:      v.number(prefix+"worth", 1),
		LateFraction:     v.number(prefix+"late_worth", 0),
		DegradedFraction: v.numberAt("family_info.worth_without", i),
	}
	m.Deadline = v.milliseconds(prefix+"give_up", 2*m.LatencyObjective*nsPerMs)
	switch kind := v.text(prefix + "idempotency"); kind {
	case "idempotency_key":
		m.Idempotency = control.IdempotencyKeyed
	case "non_idempotent":
		m.Idempotency = control.NonIdempotent
	case "read_like", "":
	default:
		v.fail(prefix+"idempotency", "read_like, idempotency_key or non_idempotent", kind)
	}
	return m
}
