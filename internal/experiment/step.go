package experiment

import (
	"fmt"
	"runtime"
	"sync"
)

// step is one action of an experiment. An experiment's steps are a table, taken in its order.
type step struct {
	name string // of the action, in the infinitive; an error of the step is prefixed with it
	run  func() error
}

// runSteps takes the steps one after another, up to the first that fails.
func runSteps(steps []step) error {
	for _, s := range steps {
		if err := s.run(); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// cleanup collects what has to be released at the end of an experiment. It serves one goroutine.
type cleanup struct {
	releases []func()
}

// add registers a release, which runs before those that were added earlier.
func (c *cleanup) add(release func()) {
	c.releases = append(c.releases, release)
}

// run releases everything, the last added first. It may be called again: nothing is released twice.
func (c *cleanup) run() {
	for len(c.releases) > 0 {
		last := len(c.releases) - 1
		release := c.releases[last]
		c.releases = c.releases[:last]
		release()
	}
}

// runPartsConcurrently runs parts of an experiment side by side, each with a report of its own, and merges these in the
// order of the parts. The first error in that order is returned.
func runPartsConcurrently(o Options, r *Report, parts []func(Options, *Report) error) error {
	reports := make([]Report, len(parts))
	errs := make([]error, len(parts))
	var running sync.WaitGroup
	for i, part := range parts {
		running.Go(func() { errs[i] = part(o, &reports[i]) })
	}
	running.Wait()
	for i := range parts {
		if errs[i] != nil {
			return errs[i]
		}
		r.merge(&reports[i])
	}
	return nil
}

// inParallel calls f for every number below n, on all cores. What f computes must not depend on how many there are.
func inParallel(n int, f func(i int)) {
	var workers sync.WaitGroup
	next := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range next {
				f(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	workers.Wait()
}
