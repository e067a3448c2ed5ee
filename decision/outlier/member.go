package outlier

// Condition is what the evidence says of a member.
type Condition int

// The values of Condition.
const (
	Unknown        Condition = iota // too little evidence
	Healthy                         // most evidence is good
	Failing                         // fails wherever it is seen from
	FailingLocally                  // fails from this server or its zone only
	Slow                            // its latency is an outlier
	Busy                            // it asked to be left alone (Retry-After)
	Inherited                       // ejected by the others when this server started
	AllFailing                      // fails as all members do, which ejects nobody
	Drained                         // by an operator, whatever the evidence
)

var conditionTexts = [...]string{
	Unknown:        "not known",
	Healthy:        "sound",
	Failing:        "bad",
	FailingLocally: "bad from here",
	Slow:           "slow",
	Busy:           "busy",
	Inherited:      "taken over from others",
	AllFailing:     "bad, as all are",
	Drained:        "drained",
}

// String returns the text that status output and log lines show.
func (c Condition) String() string { return conditionTexts[min(max(c, 0), Drained)] }

// ejectionRank orders conditions by how soon their members are ejected: 0 first.
func (c Condition) ejectionRank() int {
	switch c {
	case Failing:
		return 0
	case FailingLocally:
		return 1
	case Inherited:
		return 2
	case Slow:
		return 3
	case Busy:
		return 4
	}
	return 5
}

// Member is how one member of the pool stands. Times are ms of the server's own clock.
type Member struct {
	Name            string
	Condition       Condition
	Ejected         bool
	Since           float64  // when it was last ejected or restored; -Inf for neither
	EjectedUntil    float64  // if Ejected: not restored before then
	EvidenceWeight  float64  // of the evidence behind Condition
	FailureFraction float64  // of that weight, what speaks against it
	Accusers        []string // some of the observers that report failures
	HealthChecker   bool     // this server sends it health checks

	ejectionTime        float64 // of the last ejection
	lastHealthCheck     float64
	healthCheckInterval float64
	performanceOnly     bool    // ejected for being slow or busy
	observed            bool    // there is recent evidence
	returnsAt           float64 // if Ejected: when it is to be restored, 0 if that is not known
	drained             bool
}
