package pool

// Config is the operator's configuration of a pool. Durations are in ms; a ConsecutiveFailures, LatencyFactor or
// HealthCheckInterval of 0 disables that kind of detection.
type Config struct {
	MaxConnections      int     // per member
	MaxQueued           int     // requests that may wait for capacity, over the whole pool
	QueueTimeout        float64 // for one queued request
	ConsecutiveFailures int     // that eject a member
	LatencyFactor       float64 // ejects a member whose mean latency exceeds the others' median by it
	MinHealthyShare     float64 // fraction of the members that ejection leaves in use
	BaseEjection        float64 // duration of a first ejection; doubled when the member is ejected again soon
	SlowStart           float64 // over which a returning member reaches its full load; 0 disables slow start
	HealthCheckInterval float64 // between two active health checks of a member; 0 disables them
	RoundRobin          bool    // picks members in turn regardless of load: the baseline of the experiments
}

const (
	// maxEjectionFactor bounds an ejection, as a multiple of BaseEjection. A recovered member must not be missed for
	// longer, and what trying a bad one costs is bounded by its slow start.
	maxEjectionFactor = 2.0
	// minSamples is how many responses a member needs before its mean latency is compared with the others'.
	minSamples = 8
	// latencyWeight is the weight of one response in the moving average: about the last five count, a second or less of
	// one member's traffic.
	latencyWeight = 0.2
	// initialLoadShare is the fraction of its connection limit that a returning member gets at once.
	initialLoadShare = 0.1
	// minSilence in ms is the shortest time without a response that makes a member unresponsive.
	minSilence = 50.0
	// silenceFactor times the usual latency, or the member's own if that is longer, without any response makes a member
	// unresponsive. With several requests in flight a healthy member is unlikely to show none for so long.
	silenceFactor = 10.0
	// minInUseForWeakEvidence is the fraction of the members that ejections for latency or silence leave in use. Healthy
	// members under too much load show both as well, and each ejection leaves more load to the rest.
	minInUseForWeakEvidence = 0.75
	// ejectionResetFactor times its last ejection without another makes a member's next ejection a first one again.
	ejectionResetFactor = 4.0
	// healthCheckJitter spreads the checks of one member by this fraction of the interval either way, so that a fleet
	// of servers does not check it all at once.
	healthCheckJitter = 0.25
)
