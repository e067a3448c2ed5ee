// Package operator holds the operator's record: all settings beside the platform's configuration, as valvectl compiled
// them from typed CUE records, with a version and a content hash.
//
// Reading is strict: an unknown key, a hash that does not match or a value out of range is an error that names the key.
// The package applies nothing and does not link CUE. Its types are plain data: a File must not be changed while others
// read it.
//
// The JSON keys are those of the operator's file and never change; the Go names are the field's terms for them.
package operator

// File is everything an operator sets beside the platform's configuration. Times are milliseconds.
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

// Queue is how admitted RPCs wait for a run.
type Queue struct {
	SettledMs float64 `json:"settled_ms"` // after which a queued RPC is not rejected in favour of another; 0 for never
}

// Limits override those of the platform's settings.
type Limits struct {
	OverQuotaFraction *float64           `json:"over_share,omitempty"`  // part of its criticality that an RPC over its quota keeps, 0 to 1
	RunsPerCore       float64            `json:"runs_a_core,omitempty"` // runs in flight for each core; 0 leaves the settings' limit
	Quotas            map[string]float64 `json:"quotas,omitempty"`      // RPCs a second, by customer
}

// Trace configures the recorder of the events that the decisions handle and the actions that they return.
type Trace struct {
	Path      string  `json:"path"`
	MaxFileMB float64 `json:"file_mb"`
	MaxFiles  int     `json:"files"`
}

// Store configures the durable store of idempotency tokens and their answers.
type Store struct {
	Dir            string  `json:"dir"`
	MaxMB          float64 `json:"mb"`
	SegmentMB      float64 `json:"segment_mb"`
	MaxAnswerBytes int     `json:"answer_bytes"`
	ToleranceMs    float64 `json:"tolerance_ms"` // by which the clock may have been set while the process was down
}

// Fleet is the server's membership of a fleet whose servers gossip with one another.
type Fleet struct {
	Name            string   `json:"name"`                // of the fleet
	Listen          string   `json:"listen"`              // IP address and port for packets and streams
	Advertise       string   `json:"advertise,omitempty"` // where others reach it, if not at Listen
	Zone            string   `json:"zone"`
	Seeds           []string `json:"seeds"`
	ExpectedServers int      `json:"expect"`             // size of the fleet; 0 for unknown
	KeyFile         string   `json:"key_file,omitempty"` // base64 of 16, 24 or 32 bytes
	Socket          string   `json:"socket,omitempty"`   // Unix socket for operators
	PermitServers   []string `json:"keepers,omitempty"`  // replicas of the permit service: drain permits and releases
	DataDir         string   `json:"folder,omitempty"`   // keeps the running release over restarts
}

// UWSGI configures the front that accepts uwsgi.
type UWSGI struct {
	Listen         string  `json:"listen"`
	KeepAlive      string  `json:"keep"` // one of the KeepAlive constants
	HalfClose      bool    `json:"half_close"`
	MaxHeaderBytes int     `json:"block_bytes"` // of one message's block of variables
	MaxVariables   int     `json:"variables"`
	MaxPathBytes   int     `json:"path_bytes"`
	MaxBodyBytes   int     `json:"body_bytes"`
	BodyMemoryKB   int     `json:"bodies_kb"` // of all bodies in memory together
	ReadTimeoutMs  float64 `json:"silence_ms"`
	BodyTimeoutMs  float64 `json:"body_ms"`
	QueuedKB       float64 `json:"held_kb"` // memory that one queued RPC is counted for
}

// When a uwsgi connection is kept open after an answer.
const (
	KeepAliveAsked  = "asked" // if the client asked for it
	KeepAliveAlways = "always"
	KeepAliveNever  = "never"
)

// Route maps a message that came by a web protocol to an RPC.
type Route struct {
	Host     string            `json:"host,omitempty"`
	Path     string            `json:"path"`
	Verb     string            `json:"verb,omitempty"`
	When     map[string]string `json:"when,omitempty"` // values that variables must have
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

// Source says where a field of an RPC is taken from; exactly one of Fixed, Variable, Segment and Query is set.
type Source struct {
	Fixed    string            `json:"fixed,omitempty"`
	Variable string            `json:"variable,omitempty"`
	Segment  string            `json:"segment,omitempty"` // a named segment of the path
	Query    string            `json:"query,omitempty"`   // a parameter of the query
	Names    map[string]string `json:"names,omitempty"`   // translates what was found
}

// Pool is a set of uwsgi application servers.
type Pool struct {
	Members          []string `json:"members"`
	MaxConnections   int      `json:"connections"` // to one member
	MaxQueued        int      `json:"waiting"`
	QueueTimeoutMs   float64  `json:"wait_ms"`
	ConnectTimeoutMs float64  `json:"connect_ms"`
	MaxAnswerBytes   int      `json:"answer_bytes"`
	MaxFailures      int      `json:"failures"`  // in a row, after which a member is ejected; 0 for no ejection by failures
	OutlierFactor    float64  `json:"outlier"`   // over the pool's latency; 0 for no ejection by latency
	MinShare         float64  `json:"min_share"` // of the members that stay in whatever they do
	EjectionMs       float64  `json:"eject_ms"`
	RecoveryMs       float64  `json:"return_ms"` // over which the load on a returning member rises
	HealthCheckMs    float64  `json:"check_ms"`  // between active health checks; 0 for none
	Retry            Retry    `json:"retry"`
	RoundRobin       bool     `json:"-"` // for comparison only: no file can ask for it
}

// Retry is the retry budget of a pool.
type Retry struct {
	Share       float64 `json:"share"` // retries over first attempts
	Floor       float64 `json:"floor"` // retries a second that are always allowed
	MaxAttempts int     `json:"most"`  // of one RPC, the first included
}

// Method says where a method is run, if not by the engine.
type Method struct {
	Pool      string            `json:"pool"`
	Path      string            `json:"path"` // for RPCs that came without one
	Verb      string            `json:"verb"`
	Variables map[string]string `json:"variables,omitempty"`
}
