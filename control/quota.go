package control

import "math"

// quotaMeter measures which fraction of a customer's traffic is within this server's part of the customer's quota.
type quotaMeter struct {
	rate   float64 // quota of this server in RPCs per ms; 0 for no quota
	count  float64 // number of recent first attempts, decaying exponentially
	lastAt float64 // clock value in ms of the latest RPC
}

// fractionWithin records an RPC and returns the fraction of the customer's RPCs that is within the quota. startedAt is
// the clock value at the start of the server.
func (m *quotaMeter) fractionWithin(now, startedAt float64, retry bool) float64 {
	const (
		timeConstant = 4000.0 // ms; long enough to cover tens of RPCs, short enough to detect a burst
		ageOffset    = 1000   // ms added to the age of the server: its first second is too short to measure a rate
	)
	if m.rate == 0 {
		return 1
	}
	age := now - startedAt + ageOffset
	m.count *= math.Exp((m.lastAt - now) / timeConstant)
	m.lastAt = now
	if !retry {
		m.count++
	}
	return math.Min(1, m.rate*timeConstant*(1-math.Exp(-age/timeConstant))/m.count)
}
