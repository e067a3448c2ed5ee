package experiment

import (
	"fmt"
	"os"
	"regexp"
	"time"

	"sorrelvalve/internal/testbed"
)

// Events that the servers log, read from their logs in logrus's text form.
const (
	eventServing       = "server.started"
	eventDrainStarted  = "drain.started_by_permit"
	eventDrainFinished = "drain.permit_returned"
)

// lossKnownAfter a kill the permit servers know of it: three reports missed, one on its way, and a leader's change.
const lossKnownAfter = 4500 * time.Millisecond

// logLine matches the time and the message of a line; logrus quotes a message only if it has to.
var logLine = regexp.MustCompile(`(?m)^time="([^"]+)" level=\w+ msg=(?:"([^"]*)"|(\S+))`)

// period is a stretch of time.
type period struct{ from, to time.Time }

// contains reports whether a time lies within, its ends excluded.
func (p period) contains(at time.Time) bool { return at.After(p.from) && at.Before(p.to) }

// serverHistory is what the servers of a fleet logged of their drains and starts.
type serverHistory struct {
	drains []period // each from its beginning until the server was back and warm; one not back is out until now
	starts []serverEvent
}

func readServerHistory(b *testbed.Bed) (h serverHistory, err error) {
	for _, name := range b.Names {
		if err := h.read(name, b.Processes.LogPath(name)); err != nil {
			return h, err
		}
	}
	return h, nil
}

// read adds what a server logged at a path.
func (h *serverHistory) read(server, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var drains []period
	for _, match := range logLine.FindAllStringSubmatch(string(text), -1) {
		event := match[2] + match[3]
		at, err := time.Parse(time.RFC3339Nano, match[1])
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		switch event {
		case eventServing:
			h.starts = append(h.starts, serverEvent{server, at})
		case eventDrainStarted:
			drains = append(drains, period{at, time.Now()})
		case eventDrainFinished:
			if len(drains) > 0 {
				drains[len(drains)-1].to = at
			}
		}
	}
	h.drains = append(h.drains, drains...)
	return nil
}

// drainsWithin counts the drains that began within any of some periods, once for each.
func (h *serverHistory) drainsWithin(periods []period) (count int) {
	for _, drain := range h.drains {
		for _, p := range periods {
			if p.contains(drain.from) {
				count++
			}
		}
	}
	return count
}

// drainsAfterLoss counts the drains that began while a killed server was down. A loss counts from when the permit
// servers must know of it to the server's next start.
func (h *serverHistory) drainsAfterLoss(kills []serverEvent) int {
	var losses []period
	for _, kill := range kills {
		losses = append(losses, period{kill.at.Add(lossKnownAfter), h.nextStart(kill)})
	}
	return h.drainsWithin(losses)
}

// nextStart is when a killed server started again, or now if it has not.
func (h *serverHistory) nextStart(kill serverEvent) time.Time {
	next := time.Now()
	for _, start := range h.starts {
		if start.server == kill.server && start.at.After(kill.at) && start.at.Before(next) {
			next = start.at
		}
	}
	return next
}

// maxOverlapping is the largest number of periods that overlap at one time.
func maxOverlapping(periods []period) (largest int) {
	for _, p := range periods {
		overlapping := 0
		for _, other := range periods {
			if !other.from.After(p.from) && other.to.After(p.from) {
				overlapping++
			}
		}
		largest = max(largest, overlapping)
	}
	return largest
}
