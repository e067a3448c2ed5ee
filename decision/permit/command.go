package permit

// Kind is the type of a command. The values are part of the raft log.
type Kind string

// The kinds of commands.
const (
	// Acquire requests a permit.
	Acquire Kind = "ask"
	// Begin validates a permit immediately before its drain starts and records the start.
	Begin Kind = "check"
	// Return is sent by the holder when the permit is unused, or when its subject is back in service and warmed up.
	Return Kind = "return"
	// Free releases a permit at the request of an operator.
	Free Kind = "free"
	// Halt is a manual halt: it stops all new disruption until Resume.
	Halt Kind = "halt"
	// Resume ends a manual halt.
	Resume Kind = "resume"
	// Configure replaces the roster and the limits.
	Configure Kind = "set"
	// Recall is sent by an operator to have a subject returned to service.
	Recall Kind = "back"
	// Observe carries the leader's observations while no permits are requested, so that an automatic halt can begin or end.
	Observe Kind = "note"
	// RequestDrain makes a server acquire a permit and drain. The operator who sends it need not be connected to that server.
	RequestDrain Kind = "want"
	// ReportStop records that a server was stopped by its platform without a permit.
	ReportStop Kind = "stop"
)

// Command is one entry of the raft log. The sender chooses the ID. A command whose ID has been applied before returns the
// same result and changes nothing.
type Command struct {
	ID            string        `json:"id"`
	Kind          Kind          `json:"kind"`
	Subject       string        `json:"subject,omitempty"` // a server's name, or pool/member
	PermitID      uint64        `json:"permit,omitempty"`  // Begin, Return
	Actor         string        `json:"who,omitempty"`
	Reason        string        `json:"why,omitempty"`
	Incarnation   uint64        `json:"start,omitempty"`  // Acquire, Begin, Return: of the holder
	Observations  []Observation `json:"seen,omitempty"`   // Acquire, Begin, Observe: all subjects of the roster that are not fully in service
	RejectedShare float64       `json:"pushed,omitempty"` // Acquire, Begin, Observe: share of the fleet's RPCs that are rejected
	Servers       []Server      `json:"servers,omitempty"`
	Members       []Member      `json:"members,omitempty"`
	Limits        *Limits       `json:"limits,omitempty"`
}

// carriesObservations reports whether the leader adds its observations to commands of this kind.
func (c *Command) carriesObservations() bool {
	return c.Kind == Acquire || c.Kind == Begin || c.Kind == Observe
}

// Result is the outcome of a command.
type Result struct {
	OK           bool     `json:"ok"`
	PermitID     uint64   `json:"permit,omitempty"`
	Reason       string   `json:"why,omitempty"` // why the command was denied, or why there was nothing to do
	OutOfService []string `json:"out,omitempty"` // if a limit is exceeded: the subjects that are out of service in its scope
	Halted       bool     `json:"halted,omitempty"`
}
