package release

// Track is what a version is of. Each track has a State of its own; one release is active at a time over both.
type Track string

// The tracks. The body of a program's version is the name by which the supervisor of a server starts it.
const (
	Settings Track = ""
	Program  Track = "program"
)

// Kind is what a command does. The values are part of the raft log.
type Kind string

// The kinds of commands.
const (
	// PutVersion stores a version.
	PutVersion Kind = "put"
	// PlanRelease plans the release of a stored version.
	PlanRelease Kind = "plan"
	// StartRelease begins a planned release.
	StartRelease Kind = "start"
	// Pause stops assigning versions; those assigned stay.
	Pause Kind = "hold"
	// Resume continues a paused release or rollback.
	Resume Kind = "resume"
	// RollBack returns all waves to their previous versions.
	RollBack Kind = "back"
	// Abandon ends a release and leaves all servers as they are.
	Abandon Kind = "end"
	// Observe is sent by the leader: what it observes, and the time since it last did.
	Observe Kind = "look"
)

// Command is one entry of the raft log. ID is chosen by the sender; a command whose ID was applied before returns the
// same result and changes nothing.
type Command struct {
	ID             string   `json:"id"`
	Track          Track    `json:"track,omitempty"`
	Kind           Kind     `json:"kind"`
	Body           []byte   `json:"body,omitempty"`    // PutVersion
	Version        uint64   `json:"version,omitempty"` // PlanRelease
	Rules          *Rules   `json:"rules,omitempty"`   // PlanRelease
	Release        uint64   `json:"release,omitempty"` // StartRelease, Pause, Resume, RollBack, Abandon; 0 for the latest
	Actor          string   `json:"who,omitempty"`
	Reason         string   `json:"why,omitempty"`
	ElapsedMS      float64  `json:"passed,omitempty"`  // Observe: since the leader's last one
	Reports        []Report `json:"seen,omitempty"`    // Observe: of the reachable servers
	HaltReason     string   `json:"halted,omitempty"`  // Observe: of a manual halt of the fleet; "" for none
	AutoHaltReason string   `json:"wary,omitempty"`    // Observe: of an automatic halt, which may pass; "" for none
	Servers        []Server `json:"servers,omitempty"` // PlanRelease: the roster, which the leader adds
	OtherRelease   string   `json:"other,omitempty"`   // PlanRelease: the other track's active release, which the state machine adds
}

// Result is the outcome of a command.
type Result struct {
	OK      bool     `json:"ok"`
	Version uint64   `json:"version,omitempty"`
	Release *Release `json:"release,omitempty"` // a summary
	Reason  string   `json:"why,omitempty"`     // why it was denied, or why nothing had to be done
}

// Report is what one server reported to the leader.
type Report struct {
	Name            string  `json:"name"`
	Incarnation     uint64  `json:"start"`             // of the server; larger after each restart
	Version         uint64  `json:"version"`           // of the settings that it runs; 0: its own file's
	RejectedVersion uint64  `json:"refused,omitempty"` // that it could not take
	RejectReason    string  `json:"why,omitempty"`
	Warm            bool    `json:"warm"`
	ResidentMB      float64 `json:"mb,omitempty"`
	Counts          Counts  `json:"counts"`            // since it runs the version and is warm
	ProgramVersion  uint64  `json:"program,omitempty"` // 0: the program that it is started with by default
}

// ForProgram returns the report on the server's program in the form of a report on its settings.
func (r *Report) ForProgram() Report {
	x := *r
	x.Version = r.ProgramVersion
	x.RejectedVersion = 0
	x.RejectReason = ""
	x.ProgramVersion = 0
	return x
}
