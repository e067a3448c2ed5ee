package control

// condition is a state of the server whose start and end are logged.
type condition int

const (
	conditionSlowStart condition = iota
	conditionAdmissionReduced
	conditionUnhealthy
	conditionMemoryShort
	conditionCallsReduced
	conditionCount
)

// conditionEvents contains the names of the log events at the start and at the end of each condition.
var conditionEvents = [conditionCount]struct{ start, end string }{
	conditionSlowStart:        {"slow_start.started", "slow_start.completed"},
	conditionAdmissionReduced: {"admission.reduced", "admission.restored"},
	conditionUnhealthy:        {"health.unhealthy", "health.healthy"},
	conditionMemoryShort:      {"memory.exhausted", "memory.available"},
	conditionCallsReduced:     {"dependency.calls_reduced", "dependency.calls_restored"},
}

// logConditions logs the conditions that have started or ended since the last timer.
func (c *Controller) logConditions() {
	conditions := [conditionCount]bool{
		conditionSlowStart:        !c.slowStart.complete,
		conditionAdmissionReduced: c.admission.admitFraction < 1,
		conditionUnhealthy:        !c.health.healthy,
		conditionMemoryShort:      c.memoryShort,
		conditionCallsReduced:     c.calls.reduced(),
	}
	for i, active := range conditions {
		if c.logged[i] == active {
			continue
		}
		c.logged[i] = active
		event := conditionEvents[i].end
		if active {
			event = conditionEvents[i].start
		}
		c.emit(Action{Kind: LogEvent, Message: event})
	}
}
