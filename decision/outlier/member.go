package outlier

// Condition is the classification of a member by the evidence.
type Condition int

// The values of Condition.
const (
	Unknown        Condition = iota // too little evidence
	Healthy                         // most evidence shows successes
	Failing                         // fails as seen from the whole fleet
	FailingLocally                  // fails as seen from this server or its zone only
	Slow                            // its latency is an outlier
	Busy                            // asked for no requests for a while (Retry-After)
	Inherited                       // already ejected by most peers when this server started
	AllFailing                      // fails no more than the other members do; not ejected
	Drained                         // drained by an operator, regardless of the evidence
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

// String returns the text for status output and log lines.
func (c Condition) String() string { return conditionTexts[min(max(c, 0), Drained)] }

// ejectionRank returns the order in which members are ejected by condition: rank 0 first.
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

// Member is the state of one member of the pool. Times are in ms of the server's own clock.
type Member struct {
	Name            string
	Condition       Condition
	Ejected         bool
	Since           float64  // when it was last ejected or restored; -Inf if never
	EjectedUntil    float64  // if Ejected: earliest time at which it may be restored
	EvidenceWeight  float64  // total weight of the evidence for Condition
	FailureFraction float64  // fraction of that weight that consists of failures
	Accusers        []string // observers that report failures; not all of them
	HealthChecker   bool     // whether this server sends it health checks

	ejectionTime        float64 // duration of the last ejection
	lastHealthCheck     float64
	healthCheckInterval float64
	performanceOnly     bool    // ejected as slow or busy, without failures
	observed            bool    // whether there is recent evidence
	returnsAt           float64 // if Ejected: when it will be restored; 0 if not decided yet
	drained             bool
}
