package permit

// Kind is what a command does. The values are part of the raft log.
type Kind string

// The kinds of commands.
const (
	// Acquire requests a permit.
	Acquire Kind = "ask"
	// Begin validates a permit just before its drain starts and records the start.
	Begin Kind = "check"
	// Return is sent by the holder: the permit is unused, or its subject is back in service and warm.
	Return Kind = "return"
	// Free releases a permit on an operator's word.
	Free Kind = "free"
	// Halt stops all new disruption until Resume.
	Halt Kind = "halt"
	// Resume ends a halt that was made by hand.
	Resume Kind = "resume"
	// Configure replaces the roster and the limits.
	Configure Kind = "set"
	// Recall is sent by an operator who wants a holder back in service.
	Recall Kind = "back"
	// Observe records what the leader observes while nothing is requested, so that an automatic halt can begin or end.
	Observe Kind = "note"
	// RequestDrain has a server acquire a permit and drain, on the word of an operator who may be connected elsewhere.
	RequestDrain Kind = "want"
	// ReportStop records that a server was stopped by its platform without a permit.
	ReportStop Kind = "stop"
)

// Command is one entry of the raft log. ID is chosen by the sender; a command whose ID was applied before returns the
// same result and changes nothing.
type Command struct {
	ID            string        `json:"id"`
	Kind          Kind          `json:"kind"`
	Subject       string        `json:"subject,omitempty"` // a server's name, or pool/member
	PermitID      uint64        `json:"permit,omitempty"`  // Begin, Return
	Actor         string        `json:"who,omitempty"`
	Reason        string        `json:"why,omitempty"`
	Incarnation   uint64        `json:"start,omitempty"`  // Acquire, Begin, Return: of the holder
	Observations  []Observation `json:"seen,omitempty"`   // Acquire, Begin, Observe: of all on the roster that are not wholly in service
	RejectedShare float64       `json:"pushed,omitempty"` // Acquire, Begin, Observe: share of its RPCs that the fleet rejects
	Servers       []Server      `json:"servers,omitempty"`
	Members       []Member      `json:"members,omitempty"`
	Limits        *Limits       `json:"limits,omitempty"`
}

// carriesObservations reports whether the leader adds what it observes to commands of this kind.
func (c *Command) carriesObservations() bool {
	return c.Kind == Acquire || c.Kind == Begin || c.Kind == Observe
}

// Result is the outcome of a command.
type Result struct {
	OK           bool     `json:"ok"`
	PermitID     uint64   `json:"permit,omitempty"`
	Reason       string   `json:"why,omitempty"` // why it was denied, or why nothing had to be done
	OutOfService []string `json:"out,omitempty"` // the subjects that use up the exceeded limit, where that is the reason
	Halted       bool     `json:"halted,omitempty"`
}
