package control

import "math"

// loadFeedback is the value that is attached to responses for callers to act on.
type loadFeedback struct {
	kind       FeedbackKind
	callers    float64 // number of callers
	level      float64 // admission level, from 0 up to 1
	announced  float64 // the value that callers are told
	arrivals   int     // since the last step
	rejections int     // by overload since the last step
}

// step adapts the value and tells whether it changed enough to be announced. An admission level moves so that what this
// server would reject by overload is not sent at all (as in DAGOR: Zhou et al., Overload Control for Scaling WeChat
// Microservices, SoCC 2018); a window is the number of RPCs that can be in flight and in time, over the callers.
func (f *loadFeedback) step(inTime, unreadWait float64) (value float64, changed bool) {
	const (
		gain             = 0.1  // with a tenth more rejected than tolerated the level rises by a hundredth a step
		tolerated        = 0.1  // fraction rejected without a rise; below it the level falls again in some seconds
		maxLevel         = 0.9  // while arrivals are read in time
		minLevelChange   = 0.01 // smaller changes are not announced
		windowsPerPlace  = 2.0  // callers are seldom equal and seldom all at their windows
		minWindowDivisor = 5    // windows are announced from a fifth of the last one on
	)
	var minChange float64
	switch f.kind {
	case FeedbackNone, FeedbackShare:
		return 0, false
	case FeedbackLevel:
		rejected := float64(f.rejections) / float64(max(1, f.arrivals))
		f.level = math.Min(maxLevel, math.Max(0, f.level+gain*(rejected-tolerated)))
		f.arrivals = 0
		f.rejections = 0
		value = f.level
		minChange = minLevelChange
		if unreadWait > 1 {
			value = 1 // all that comes is too old when read; callers that receive this act on it for a second or so
		}
	default: // FeedbackWindow
		value = math.Max(1, math.Round(windowsPerPlace*inTime/f.callers))
		minChange = f.announced / minWindowDivisor
	}
	if math.Abs(value-f.announced) < minChange {
		return 0, false
	}
	f.announced = value
	return value, true
}
