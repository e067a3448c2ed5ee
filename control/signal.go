package control

import "math"

// signal is the value that goes out with answers.
type signal struct {
	say             FeedbackKind
	callers         float64
	level, notified float64
	seen, shed      int
}

// step moves the level so that what this server would push back for overload is not sent at all; a window
// is what it can hold in time, over its callers.
func (s *signal) step(inTime, unread float64) (float64, bool) {
	const (
		gain  = 0.1 // with a tenth more pushed back than allowed the level rises by a hundredth a step
		allow = 0.1 // pushed back without a rise: what stands lower makes the level fall again in some seconds
		most  = 0.9
		each  = 2.0 // windows for each place: callers are seldom equal and seldom all at their windows
	)
	if s.say == FeedbackNone || s.say == FeedbackShare {
		return 0, false
	}
	v, least := math.Max(1, math.Round(each*inTime/s.callers)), s.notified/5
	if s.say == FeedbackLevel {
		s.level = math.Min(most, math.Max(0, s.level+gain*(float64(s.shed)/float64(max(1, s.seen))-allow)))
		v, least = s.level, 0.01
		s.seen, s.shed = 0, 0
		if unread > 1 {
			v = 1 // all that comes is too old when read; heard once, it holds a second or so
		}
	}
	if math.Abs(v-s.notified) < least {
		return 0, false // too small a change to tell
	}
	s.notified = v
	return v, true
}
