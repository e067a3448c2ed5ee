package experiment

import (
	"fmt"
	"strings"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/startup"
)

// methodSpec is one method of an in-process server.
type methodSpec struct {
	name             string
	targetMs         float64 // latency objective
	deadlineMs       float64
	criticality      float64
	lateShare        float64 // of the criticality that a late answer keeps
	idempotencyKeyed bool    // else a repeat is harmless
	windowMs         float64 // for which a result is cached under its key
}

// platformSettings are the platform's for an in-process server, before those of its methods.
const platformSettings = `family_info.ram_kb=4000000
family_info.run_factor=4
family_info.key_kb=1
family_info.callers=3
family_info.meters=core_use,on_cores
rules.tip_multiple=8
rules.drain_grace=500000000
rules.answer_slack=80000000
limits.max_retry_after=1000000000
client_habits.marks_retry=true
tick=4000000
`

// methodSettings are the settings of a server with some methods before an engine of some cores.
func methodSettings(methods []methodSpec, cores int) (*startup.Config, error) {
	var lines strings.Builder
	lines.WriteString(platformSettings)
	fmt.Fprintf(&lines, "classes.count=%d\n", len(methods))
	fmt.Fprintf(&lines, "family_info.cores=%d\n", cores)
	for i, m := range methods {
		idempotency := "read_like"
		if m.idempotencyKeyed {
			idempotency = "idempotency_key"
		}
		set := func(key string, value any) { fmt.Fprintf(&lines, "classes.%d.%s=%v\n", i, key, value) }
		set("name", m.name)
		set("aim", nanoseconds(m.targetMs))
		set("give_up", nanoseconds(m.deadlineMs))
		set("worth", m.criticality)
		set("late_worth", m.lateShare)
		set("idempotency", idempotency)
		set("window", nanoseconds(m.windowMs))
	}
	return startup.Parse(lines.String())
}

func nanoseconds(ms float64) int64 { return int64(ms * 1e6) }

// routedFile is an operator's file with the defaults of its schema, as far as experiments need them, and a POST route to
// /METHOD for each method.
func routedFile(methods []methodSpec) *operator.File {
	file := &operator.File{
		Version: "lab",
		Routes:  map[string]operator.Route{},
		UWSGI: &operator.UWSGI{
			Listen:         "127.0.0.1:1",
			KeepAlive:      "asked",
			MaxHeaderBytes: 16384,
			MaxVariables:   128,
			MaxPathBytes:   4096,
			MaxBodyBytes:   65536,
			BodyMemoryKB:   65536,
			ReadTimeoutMs:  2000,
			BodyTimeoutMs:  5000,
			QueuedKB:       24.5,
		},
	}
	for _, m := range methods {
		route := operator.Route{
			Path:    "/" + m.name,
			Verb:    "POST",
			Method:  m.name,
			Type:    "application/octet-stream",
			Caller:  &operator.Source{Variable: "REMOTE_ADDR"},
			Hint:    &operator.Source{Variable: "WORK_MS"},
			Retry:   &operator.Source{Variable: "SECOND"},
			Subject: &operator.Source{Variable: "SUBJECT"},
		}
		if m.idempotencyKeyed {
			route.Token = &operator.Source{Variable: "HTTP_IDEMPOTENCY_KEY"}
		}
		file.Routes[m.name] = route
	}
	return file
}

// defaultPool is a pool with the defaults of the schema.
func defaultPool(members ...string) operator.Pool {
	return operator.Pool{
		Members:          members,
		MaxConnections:   32,
		MaxQueued:        64,
		QueueTimeoutMs:   100,
		ConnectTimeoutMs: 250,
		MaxAnswerBytes:   262144,
		MaxFailures:      5,
		OutlierFactor:    4,
		MinShare:         0.5,
		EjectionMs:       2000,
		RecoveryMs:       5000,
		Retry:            operator.Retry{Share: 0.1, Floor: 1, MaxAttempts: 3},
	}
}
