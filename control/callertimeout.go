package control

import "math"

// callerTimeout estimates a caller's timeout per attempt if deadlines are not propagated. If the timeout is shorter
// than an RPC's run time, the run is wasted and the RPC runs again on another server, so it is better to reject the RPC
// at once and let the caller retry on a server that may be faster. Mean and deviation are in ms.
type callerTimeout struct {
	mean      float64 // 0 until an attempt has been abandoned
	deviation float64 // mean absolute deviation
}

// observe records that the caller abandoned an attempt at the given age in ms.
func (t callerTimeout) observe(age float64) callerTimeout {
	const weight = 0.4 // three attempts abandoned at the same age suffice for an estimate, and it adapts quickly
	if t.mean == 0 {
		t.mean = age
		t.deviation = age / 2
	}
	t.mean += weight * (age - t.mean)
	t.deviation += weight * (math.Abs(age-t.mean) - t.deviation)
	return t
}

// estimate returns the estimated timeout in ms, or infinity if the ages of the abandoned attempts vary too much.
func (t callerTimeout) estimate() float64 {
	// Fraction of the mean. A larger deviation indicates that the caller abandons attempts for other reasons.
	const maxDeviation = 0.2
	if t.mean == 0 || t.deviation > maxDeviation*t.mean {
		return math.Inf(1)
	}
	return t.mean
}
