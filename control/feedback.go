package control

import "math"

// loadFeedback computes the load feedback that is attached to responses.
type loadFeedback struct {
	kind       FeedbackKind
	callers    float64 // number of callers
	level      float64 // admission level, from 0 up to 1
	announced  float64 // the value that was last announced to callers
	arrivals   int     // number since the last step
	rejections int     // number of rejections by overload since the last step
}

// step updates the value and reports whether it changed enough to be announced. The admission level is controlled so
// that callers do not send RPCs that this server would reject by overload (as in DAGOR: Zhou et al., Overload Control
// for Scaling WeChat Microservices, SoCC 2018). The concurrency window is inTime, the number of RPCs that can be in
// flight and meet their objective, divided among the callers.
func (f *loadFeedback) step(inTime, unreadWait float64) (value float64, changed bool) {
	const (
		gain             = 0.1  // the level rises by 0.01 per step if 10% more than toleratedRejects is rejected
		toleratedRejects = 0.1  // fraction of rejections above which the level rises; below it, it falls within seconds
		maxLevel         = 0.9  // while arrivals are read in time
		minLevelChange   = 0.01 // smaller changes are not announced
		windowOvercommit = 2.0  // callers rarely send equal traffic and rarely all use their full windows
		minWindowDivisor = 5    // changes below a fifth of the last window are not announced
	)
	var minChange float64
	switch f.kind {
	case FeedbackNone, FeedbackShare:
		return 0, false
	case FeedbackLevel:
		rejected := float64(f.rejections) / float64(max(1, f.arrivals))
		f.level = math.Min(maxLevel, math.Max(0, f.level+gain*(rejected-toleratedRejects)))
		f.arrivals = 0
		f.rejections = 0
		value = f.level
		minChange = minLevelChange
		if unreadWait > 1 {
			value = 1 // arrivals are too old when they are read; callers act on this for about a second
		}
	default: // FeedbackWindow
		value = math.Max(1, math.Round(windowOvercommit*inTime/f.callers))
		minChange = f.announced / minWindowDivisor
	}
	if math.Abs(value-f.announced) < minChange {
		return 0, false
	}
	f.announced = value
	return value, true
}
