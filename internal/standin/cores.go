// Package stand holds the stand-ins with which this repository tests and measures itself: an engine, application
// servers, a membership service, callers, and a checker of the rules. They speak the published protocols on loopback
// only, are bounded in count and time, and can be told to fail. Nothing that serves RPCs for others may depend on them.
package standin

import (
	"math"
	"sync"
	"time"
)

// Cores is a machine whose cores are shared by all that runs on it: each job gets an even part. Beyond a crowd the
// machine loses time, as real ones do. Its clock is the real one.
type Cores struct {
	mu     sync.Mutex
	cores  float64
	speed  float64
	crowd  float64 // jobs above which time is lost
	jobs   map[*job]struct{}
	last   time.Time
	timer  *time.Timer
	use    float64 // share of the cores busy, of late
	closed bool
}

type job struct {
	left float64 // ms of work
	done func()
}

const (
	useTime = 250.0 // ms: the time constant of the gauge, half of the half second that it stands for
	thrash  = 0.5   // of its speed is what a machine keeps with twice the crowd on it
	never   = time.Hour
)

// NewCores returns a machine. Beyond crowd jobs for each core it slows down; 0 for never.
func NewCores(cores, crowd float64) *Cores {
	c := &Cores{cores: cores, speed: 1, crowd: crowd * cores, jobs: map[*job]struct{}{}, last: time.Now()}
	c.timer = time.AfterFunc(never, c.wake)
	return c
}

// SetSpeed makes the machine slower or faster from now on; 0 has it stand still.
func (c *Cores) SetSpeed(speed float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	over := c.pass()
	c.speed = speed
	c.arm()
	go each(over)
}

// Run begins a job of some ms of work and calls done at its end, from another goroutine.
func (c *Cores) Run(work float64, done func()) {
	c.mu.Lock()
	over := c.pass()
	if !c.closed {
		c.jobs[&job{math.Max(work, 0.001), done}] = struct{}{}
	}
	c.arm()
	c.mu.Unlock()
	each(over)
}

// Gauges are the share of the cores that is busy and the number of jobs.
func (c *Cores) Gauges() (use, on float64) {
	c.mu.Lock()
	over := c.pass()
	use, on = c.use, float64(len(c.jobs))
	c.arm()
	c.mu.Unlock()
	each(over)
	return use, on
}

// Close ends the machine; what runs on it never ends.
func (c *Cores) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.timer.Stop()
	clear(c.jobs)
}

func (c *Cores) wake() {
	c.mu.Lock()
	over := c.pass()
	c.arm()
	c.mu.Unlock()
	each(over)
}

func each(over []func()) {
	for _, done := range over {
		done()
	}
}

// rate is the work that one job gets done in a ms.
func (c *Cores) rate() float64 {
	n := float64(len(c.jobs))
	if n == 0 {
		return 0
	}
	r := c.speed * math.Min(1, c.cores/n)
	if c.crowd > 0 && n > c.crowd {
		r *= math.Pow(thrash, n/c.crowd-1)
	}
	return r
}

// pass lives through the time since the last look, job end by job end, and returns whose jobs are over.
func (c *Cores) pass() (over []func()) {
	now := time.Now()
	for {
		gap := float64(now.Sub(c.last)) / 1e6
		rate := c.rate()
		least := math.Inf(1)
		for j := range c.jobs {
			least = math.Min(least, j.left)
		}
		step := gap
		if rate > 0 {
			step = math.Min(gap, least/rate)
		}
		busy := math.Min(1, float64(len(c.jobs))/c.cores)
		c.use += (1 - math.Exp(-step/useTime)) * (busy - c.use)
		c.last = c.last.Add(time.Duration(step * 1e6))
		ended := false
		for j := range c.jobs {
			if j.left -= step * rate; j.left <= 1e-6 {
				delete(c.jobs, j)
				over = append(over, j.done)
				ended = true
			}
		}
		if !ended || gap-step < 1e-3 {
			c.last = now
			return over
		}
	}
}

func (c *Cores) arm() {
	rate := c.rate()
	if c.closed || rate == 0 {
		c.timer.Reset(never)
		return
	}
	least := math.Inf(1)
	for j := range c.jobs {
		least = math.Min(least, j.left)
	}
	c.timer.Reset(time.Duration(math.Max(0, least/rate)*1e6) + 20*time.Microsecond)
}
