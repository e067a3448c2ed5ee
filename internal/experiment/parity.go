package experiment

import (
	"errors"
	"math"
	"sync"
	"time"
)

// rejections are which arrivals of a sequence one frontend rejected.
type rejections []bool

// Parity is the experiment parity: one sequence of arrivals at 120% of capacity, with a slow start, a burst and a drain,
// goes through the daemon's front and through gin with the library's middleware, on a virtual clock and in real time.
func Parity(o Options) (*Report, error) {
	length := 60 * time.Second
	if o.Quick {
		length = 20 * time.Second
	}
	r := &Report{Name: "parity", Header: []string{"clock", "method", "RPCs", "turned away by the daemon", "by gin", "only by the daemon", "only by gin"}}
	arrivals := paritySequence(o.Seed, length)
	virtual, err := playAll(playVirtual, arrivals, length, daemonFrontend, ginFrontend)
	if err != nil {
		return nil, err
	}
	// In real time no two runs are alike: a second daemon shows how far two of the same frontend differ.
	realTime, err := playAll(playReal, arrivals, length, daemonFrontend, ginFrontend, daemonFrontend)
	if err != nil {
		return nil, err
	}
	virtualDiffer, _ := compareMethods(r, "virtual", arrivals, virtual[0], virtual[1])
	realDiffer, shareApart := compareMethods(r, "real", arrivals, realTime[0], realTime[1])
	noise := 0.0
	for i := range arrivals {
		if realTime[0][i] != realTime[2][i] {
			noise += 1 / float64(len(arrivals))
		}
	}
	r.AddRow("real", "two daemons part in", len(arrivals), "", "", noise, "")
	r.AddChecks(
		atMost("turned away by one only, virtual clock", virtualDiffer, 0),
		atMost("share of a method turned away, apart in real time", shareApart, 0.01),
		atMost("turned away by one only in real time, beyond what two daemons part", realDiffer-noise, 0.01),
	)
	return r, nil
}

// playAll plays a sequence through some frontends at the same time.
func playAll(play playFunc, arrivals []arrival, length time.Duration, builds ...func(frontendHost) (*frontend, error)) ([]rejections, error) {
	all := make([]rejections, len(builds))
	errs := make([]error, len(builds))
	var running sync.WaitGroup
	for i, build := range builds {
		running.Go(func() { all[i], errs[i] = play(build, arrivals, length) })
	}
	running.Wait()
	return all, errors.Join(errs...)
}

// compareMethods adds a row for each method. It returns the share of all RPCs that one frontend only rejected, and how
// far the rejected shares of one method differ at the most.
func compareMethods(r *Report, clock string, arrivals []arrival, daemon, gin rejections) (differ, shareApart float64) {
	differing := 0
	for _, m := range parityMethods {
		c := compareMethod(m.Name, arrivals, daemon, gin)
		differing += c.onlyDaemon + c.onlyGin
		shareApart = math.Max(shareApart, math.Abs(float64(c.daemon-c.gin))/float64(c.calls))
		r.AddRow(clock, m.Name, c.calls, c.daemon, c.gin, c.onlyDaemon, c.onlyGin)
	}
	return float64(differing) / float64(len(arrivals)), shareApart
}

// comparison is how many RPCs of a method there were, and how many either frontend rejected.
type comparison struct {
	calls      int
	daemon     int
	gin        int
	onlyDaemon int
	onlyGin    int
}

func compareMethod(method string, arrivals []arrival, daemon, gin rejections) (c comparison) {
	for i := range arrivals {
		if arrivals[i].call.Method != method {
			continue
		}
		c.calls++
		if daemon[i] {
			c.daemon++
		}
		if gin[i] {
			c.gin++
		}
		switch {
		case daemon[i] && !gin[i]:
			c.onlyDaemon++
		case gin[i] && !daemon[i]:
			c.onlyGin++
		}
	}
	return c
}
