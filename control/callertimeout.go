package control

import "math"

// callerTimeout estimates how long a caller waits for one attempt where deadlines are not propagated. An impatient
// caller is gone before heavy work ends, which then runs for nobody and runs again elsewhere; it is better rejected at
// once, to be retried on a server that may be faster. Mean and deviation are in ms.
type callerTimeout struct {
	mean      float64 // 0 before any attempt was abandoned
	deviation float64 // mean absolute deviation
}

// observe takes in an attempt that the caller abandoned at an age of so many ms.
func (t callerTimeout) observe(age float64) callerTimeout {
	const weight = 0.4 // three attempts abandoned at the same age make an estimate, and it is soon corrected
	if t.mean == 0 {
		t.mean = age
		t.deviation = age / 2
	}
	t.mean += weight * (age - t.mean)
	t.deviation += weight * (math.Abs(age-t.mean) - t.deviation)
	return t
}

// estimate is the caller's timeout in ms; infinite if its abandoned attempts show no common one.
func (t callerTimeout) estimate() float64 {
	const maxDeviation = 0.2 // of the mean: a caller that leaves at such different ages has reasons of its own
	if t.mean == 0 || t.deviation > maxDeviation*t.mean {
		return math.Inf(1)
	}
	return t.mean
}
