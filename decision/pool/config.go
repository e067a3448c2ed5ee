package pool

// Config is the operator's configuration of a pool. Durations are in ms. Setting ConsecutiveFailures, LatencyFactor or
// HealthCheckInterval to 0 disables that kind of detection.
type Config struct {
	MaxConnections      int     // per member
	MaxQueued           int     // requests of the whole pool that may wait for capacity
	QueueTimeout        float64 // longest wait of a queued request
	ConsecutiveFailures int     // failures in a row that eject a member
	LatencyFactor       float64 // a member is ejected if its mean latency exceeds the others' median by this factor
	MinHealthyShare     float64 // fraction of the members that ejection must leave in use
	BaseEjection        float64 // duration of a first ejection; doubled if the member is ejected again soon
	SlowStart           float64 // time in which a returning member reaches its full load; 0 disables slow start
	HealthCheckInterval float64 // time between two active health checks of a member
	RoundRobin          bool    // picks members in turn regardless of load; the baseline of the experiments
}

const (
	// maxEjectionFactor bounds the duration of an ejection, as a multiple of BaseEjection. A member that has recovered
	// must not stay out of use for longer, and slow start bounds the cost of returning a member that is still bad.
	maxEjectionFactor = 2.0
	// minSamples is the number of responses that a member needs before its mean latency is compared with the others'.
	minSamples = 8
	// latencyWeight is the weight of one response in the moving average of latency. The average covers about the last
	// five responses, which is a second or less of one member's traffic.
	latencyWeight = 0.2
	// initialLoadShare is the fraction of its connection limit that a returning member may use at once.
	initialLoadShare = 0.1
	// minSilence in ms is the shortest time without a response after which a member counts as unresponsive.
	minSilence = 50.0
	// silenceFactor times the usual latency, or the member's own latency if that is longer, is the time without any
	// response after which a member counts as unresponsive. With several requests in flight, a healthy member is unlikely
	// to send no response for that long.
	silenceFactor = 10.0
	// minInUseForWeakEvidence is the fraction of the members that must stay in use if the reason of an ejection is high
	// latency or a missing response. Overloaded healthy members show both as well, and each ejection adds load to the
	// remaining members.
	minInUseForWeakEvidence = 0.75
	// ejectionResetFactor times the duration of its last ejection is how long a member must stay in use for its next
	// ejection to count as a first one again.
	ejectionResetFactor = 4.0
	// healthCheckJitter spreads the checks of one member by this fraction of the interval either way, so that a fleet
	// of servers does not check it all at once.
	healthCheckJitter = 0.25
)
