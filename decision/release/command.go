package release

// Track is what is versioned: the settings or the program. Each track has its own State; only one release is active at a
// time across both tracks.
type Track string

// The tracks. The body of a program version is the name by which a server's supervisor starts the program.
const (
	Settings Track = ""
	Program  Track = "program"
)

// Kind is the kind of a command. The values are part of the raft log.
type Kind string

// The kinds of commands.
const (
	// PutVersion stores a version.
	PutVersion Kind = "put"
	// PlanRelease creates a release of a stored version, in phase Planned.
	PlanRelease Kind = "plan"
	// StartRelease begins a planned release.
	StartRelease Kind = "start"
	// Pause stops assigning versions; servers keep the versions that they are assigned.
	Pause Kind = "hold"
	// Resume continues a paused release or rollback.
	Resume Kind = "resume"
	// RollBack returns all waves to their previous versions.
	RollBack Kind = "back"
	// Abandon ends a release; servers keep the versions that they are assigned.
	Abandon Kind = "end"
	// Observe carries the leader's reports on the servers and the time since its last observation.
	Observe Kind = "look"
)

// Command is one entry of the raft log. ID is chosen by the sender. A command whose ID was applied before returns the
// retained result and changes nothing.
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
	ElapsedMS      float64  `json:"passed,omitempty"`  // Observe: since the leader's last observation
	Reports        []Report `json:"seen,omitempty"`    // Observe: from the reachable servers
	HaltReason     string   `json:"halted,omitempty"`  // Observe: reason of a manual halt of the fleet; "" for none
	AutoHaltReason string   `json:"wary,omitempty"`    // Observe: reason of an automatic halt, which may end by itself; "" for none
	Servers        []Server `json:"servers,omitempty"` // PlanRelease: the roster, added by the leader
	OtherRelease   string   `json:"other,omitempty"`   // PlanRelease: the other track's active release, added by the state machine
}

// Result is the outcome of a command.
type Result struct {
	OK      bool     `json:"ok"`
	Version uint64   `json:"version,omitempty"`
	Release *Release `json:"release,omitempty"` // a summary
	Reason  string   `json:"why,omitempty"`     // why the command was denied, or why there was nothing to do
}

// Report is one server's report to the leader.
type Report struct {
	Name            string  `json:"name"`
	Incarnation     uint64  `json:"start"`             // increases with each restart of the server
	Version         uint64  `json:"version"`           // of the settings that the server runs; 0: that of its own file
	RejectedVersion uint64  `json:"refused,omitempty"` // version that the server could not apply
	RejectReason    string  `json:"why,omitempty"`
	Warm            bool    `json:"warm"`
	ResidentMB      float64 `json:"mb,omitempty"`
	Counts          Counts  `json:"counts"`            // since the server has run the version and been warm
	ProgramVersion  uint64  `json:"program,omitempty"` // 0: the program that the server starts by default
}

// ForProgram returns the report for the Program track: Version is the program's version.
func (r *Report) ForProgram() Report {
	report := *r
	report.Version = r.ProgramVersion
	report.RejectedVersion = 0
	report.RejectReason = ""
	report.ProgramVersion = 0
	return report
}
