// Package startup reads the start-up configuration of a server: the variables of its environment, the configuration file
// and the settings in it, which the simulator sends as lines of text. It is the one place where all that is read, checked
// and given defaults, and each error names the key at fault. It must never decide anything, nor know what the values are
// used for.
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

// Config is the start-up configuration of a controller and of what surrounds it. Traces store it as JSON: the fields of
// the embedded struct stand beside the others, under the names in the tags.
type Config struct {
	control.Config
	Gauges      []string // the names of the gauges, in their order
	AnswerSlack float64  `json:"Slack"` // ms after its deadline that the answer to an RPC may come
}

// Parse reads the lines that the simulator sends. Unknown paths are ignored, missing ones have defaults. The error is the
// first fault and names its path.
func Parse(s string) (*Config, error) {
	v, err := parseLines(s)
	if err != nil {
		return nil, err
	}
	c := v.config()
	return c, v.err
}

// config reads all settings. Of several faults the first in this order is reported.
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
	if v.text("family_info.below") != "shared" { // the share counts only where the whole fleet shares the dependency
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

// node reads the facts of the machine and the process. The seed does not stand among the settings.
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

// preemption reads what can be done with running RPCs.
func (v *values) preemption() control.Preemption {
	switch v.text("family_info.halt") {
	case "abort":
		return control.PreemptAbort
	case "suspend":
		return control.PreemptSuspend
	}
	return control.PreemptNone
}

// fleet reads the facts of the tier and its callers.
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

// dependency reads the facts of the service that RPCs call.
func (v *values) dependency() control.Dependency {
	return control.Dependency{
		ConcurrencyShare: v.number("family_info.call_share", 0),
		Linger:           v.milliseconds("family_info.linger", 0),
		AveragingWindow:  v.milliseconds("family_info.calls_over", 5*nsPerSec),
	}
}

// method reads the class at an index. Its deadline is twice its latency objective unless it is set.
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
