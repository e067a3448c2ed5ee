// Package operator defines the operator's file and its compiled form, the record. The file holds all settings other than the
// platform's configuration. valvectl compiles it from CUE into a record with a version and a content hash.
//
// Parsing is strict: an unknown key, a hash mismatch or a value out of range is an error that names the key. The package does
// not put settings into effect and does not link CUE. Its types are plain data: a File must not be modified while it is read
// concurrently.
//
// The JSON keys are those of the operator's file and never change. The Go names are the usual technical terms.
package operator

// File holds all settings of an operator other than the platform's configuration. Times are in milliseconds.
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

// Queue configures how admitted RPCs wait for a run.
type Queue struct {
	SettledMs float64 `json:"settled_ms"` // queueing time after which an RPC is no longer rejected in favour of another; 0 for no limit
}

// Limits override the limits in the platform's settings.
type Limits struct {
	OverQuotaFraction *float64           `json:"over_share,omitempty"`  // fraction of its criticality that an RPC over its customer's quota keeps, 0 to 1
	RunsPerCore       float64            `json:"runs_a_core,omitempty"` // maximum runs in flight per core; 0 for the limit in the settings
	Quotas            map[string]float64 `json:"quotas,omitempty"`      // RPCs per second, by customer
}

// Trace configures the recorder of the controller's events and of the actions that it returns.
type Trace struct {
	Path      string  `json:"path"`
	MaxFileMB float64 `json:"file_mb"`
	MaxFiles  int     `json:"files"`
}

// Store configures the durable store of idempotency tokens and of the answers to their RPCs.
type Store struct {
	Dir            string  `json:"dir"`
	MaxMB          float64 `json:"mb"`
	SegmentMB      float64 `json:"segment_mb"`
	MaxAnswerBytes int     `json:"answer_bytes"`
	ToleranceMs    float64 `json:"tolerance_ms"` // maximum step of the wall clock while the process was down
}

// Fleet configures the server's membership in a fleet, whose servers gossip with one another.
type Fleet struct {
	Name            string   `json:"name"`                // of the fleet
	Listen          string   `json:"listen"`              // IP address and port for UDP packets and TCP streams
	Advertise       string   `json:"advertise,omitempty"` // address for the other servers, if it differs from Listen
	Zone            string   `json:"zone"`
	Seeds           []string `json:"seeds"`
	ExpectedServers int      `json:"expect"`             // number of servers in the fleet; 0 for unknown
	KeyFile         string   `json:"key_file,omitempty"` // holds the encryption key, base64 of 16, 24 or 32 bytes
	Socket          string   `json:"socket,omitempty"`   // Unix socket for operators
	PermitServers   []string `json:"keepers,omitempty"`  // addresses of the replicas of the permit service
	DataDir         string   `json:"folder,omitempty"`   // keeps the released settings version over restarts
}

// UWSGI configures the front that accepts uwsgi.
type UWSGI struct {
	Listen         string  `json:"listen"`
	KeepAlive      string  `json:"keep"` // one of the KeepAlive constants
	HalfClose      bool    `json:"half_close"`
	MaxHeaderBytes int     `json:"block_bytes"` // of the block of variables of a message
	MaxVariables   int     `json:"variables"`
	MaxPathBytes   int     `json:"path_bytes"`
	MaxBodyBytes   int     `json:"body_bytes"`
	BodyMemoryKB   int     `json:"bodies_kb"` // bound on all bodies in memory together
	ReadTimeoutMs  float64 `json:"silence_ms"`
	BodyTimeoutMs  float64 `json:"body_ms"`
	QueuedKB       float64 `json:"held_kb"` // memory accounted for each queued RPC, in addition to its body
}

// Values of UWSGI.KeepAlive: when a connection stays open after an answer.
const (
	KeepAliveAsked  = "asked" // if the client requested it
	KeepAliveAlways = "always"
	KeepAliveNever  = "never"
)

// Route maps a request of a web protocol to an RPC.
type Route struct {
	Host     string            `json:"host,omitempty"`
	Path     string            `json:"path"`
	Verb     string            `json:"verb,omitempty"`
	When     map[string]string `json:"when,omitempty"` // required values, by variable
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

// Source defines where the value of an RPC's field comes from. Exactly one of Fixed, Variable, Segment and Query is set.
type Source struct {
	Fixed    string            `json:"fixed,omitempty"`
	Variable string            `json:"variable,omitempty"`
	Segment  string            `json:"segment,omitempty"` // name of a segment of the path
	Query    string            `json:"query,omitempty"`   // name of a query parameter
	Names    map[string]string `json:"names,omitempty"`   // maps the value that was found to the value to use
}

// Pool is a set of uwsgi application servers.
type Pool struct {
	Members          []string `json:"members"`
	MaxConnections   int      `json:"connections"` // to each member
	MaxQueued        int      `json:"waiting"`
	QueueTimeoutMs   float64  `json:"wait_ms"`
	ConnectTimeoutMs float64  `json:"connect_ms"`
	MaxAnswerBytes   int      `json:"answer_bytes"`
	MaxFailures      int      `json:"failures"`  // consecutive failures after which a member is ejected; 0 for no ejection by failures
	OutlierFactor    float64  `json:"outlier"`   // multiple of the other members' latency from which a member is ejected; 0 for no ejection by latency
	MinShare         float64  `json:"min_share"` // minimum fraction of the members that stays in use: no more members are ejected
	EjectionMs       float64  `json:"eject_ms"`
	RecoveryMs       float64  `json:"return_ms"` // slow start of a returning member
	HealthCheckMs    float64  `json:"check_ms"`  // interval of active health checks; 0 for none
	Retry            Retry    `json:"retry"`
	RoundRobin       bool     `json:"-"` // for comparison in experiments only; not settable in a file
}

// Retry is the retry budget of a pool.
type Retry struct {
	Share       float64 `json:"share"` // ratio of retries to first attempts
	Floor       float64 `json:"floor"` // retries per second that are always allowed
	MaxAttempts int     `json:"most"`  // of one RPC, including the first
}

// Method configures a method whose RPCs are sent to a pool instead of the engine.
type Method struct {
	Pool      string            `json:"pool"`
	Path      string            `json:"path"` // for RPCs that have none
	Verb      string            `json:"verb"`
	Variables map[string]string `json:"variables,omitempty"`
}
