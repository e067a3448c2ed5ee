package trace

// This file formats entries as text for operators.

import (
	"fmt"

	"sorrelvalve/control"
)

// eventNames are the names of the event kinds in the text, in the order of the kinds.
var eventNames = [...]string{"begin", "arrive", "left", "ended", "wait", "called", "notice", "timer", "stay"}

// String returns the entry as one line.
func (e *Entry) String() string {
	s := fmt.Sprintf("%12.3f %-6s", e.Now, eventNames[e.Event.Kind]) + eventText(&e.Event)
	for i := range e.Actions {
		s += actionText(&e.Actions[i])
	}
	if e.Dropped > 0 {
		s += fmt.Sprintf("; %d dropped before", e.Dropped)
	}
	return s
}

// eventText formats the fields that are set for the event's kind.
func eventText(ev *control.Event) string {
	switch ev.Kind {
	case control.Arrived:
		s := fmt.Sprintf(" rpc %d method %d customer %d caller %d waited %.1f hint %.1f", ev.RPC, ev.Method, ev.Customer, ev.Caller, ev.Age, ev.CostHint)
		if ev.Retry {
			s += " again"
		}
		if ev.Quota == control.OverQuota {
			s += " over its quota"
		}
		if ev.DuplicateOf != 0 {
			s += fmt.Sprintf(" repeats %d", ev.DuplicateOf)
		}
		return s
	case control.Completed, control.CallerGone:
		return fmt.Sprintf(" rpc %d outcome %d spent %.1f", ev.RPC, ev.Outcome, ev.Elapsed)
	case control.TimerFired:
		return fmt.Sprintf(" cores %.2f on them %.0f", ev.Gauges.CPUUtilization, ev.Gauges.Runnable)
	case control.DrainNotice:
		return fmt.Sprintf(" stop in %.0f", ev.Remaining)
	}
	return ""
}

// actionText formats a recorded action.
func actionText(a *control.Action) string {
	switch a.Kind {
	case control.Run:
		return fmt.Sprintf("; run %d", a.RPC)
	case control.Reject:
		return fmt.Sprintf("; push back %d for %.0f", a.RPC, a.Time)
	case control.Abort:
		return fmt.Sprintf("; abort %d", a.RPC)
	case control.Join:
		return fmt.Sprintf("; join %d", a.RPC)
	}
	return ""
}
