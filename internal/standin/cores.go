package standin

import (
	"math"
	"sync"
	"time"
)

// Cores is a machine whose cores are shared evenly by all jobs on it. Above a number of jobs it loses throughput, as real
// machines do. It runs on the real clock, and its methods may be called concurrently.
type Cores struct {
	mu         sync.Mutex
	cores      float64
	speed      float64
	overloadAt float64 // jobs above which throughput is lost; 0 for never
	jobs       map[*job]struct{}
	advancedTo time.Time
	timer      *time.Timer
	busyShare  float64 // of the cores, smoothed
	closed     bool
}

type job struct {
	remainingMs float64 // of one core at speed 1
	done        func()
}

const (
	gaugeTimeConstantMs = 250.0 // half of the half second that the gauge stands for
	overloadFactor      = 0.5   // share of the throughput left with twice the jobs of overloadAt
	minJobMs            = 0.001
	workRounding        = 1e-6 // ms of work below which a job is done
	timeRounding        = 1e-3 // ms below which time counts as passed
	timerSlack          = 20 * time.Microsecond
	idleTimer           = time.Hour // the timer's time while nothing ends
)

// NewCores returns a machine that slows down above overloadPerCore jobs for each core; 0 for never.
func NewCores(cores, overloadPerCore float64) *Cores {
	c := &Cores{cores: cores, speed: 1, overloadAt: overloadPerCore * cores, jobs: map[*job]struct{}{}, advancedTo: time.Now()}
	c.timer = time.AfterFunc(idleTimer, c.onTimer)
	return c
}

// SetSpeed scales the machine's speed from now on; 0 makes it stand still.
func (c *Cores) SetSpeed(speed float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := c.advance()
	c.speed = speed
	c.schedule()
	go runAll(done)
}

// Run begins a job of some ms of work. done is called at its end from another goroutine.
func (c *Cores) Run(work float64, done func()) {
	c.mu.Lock()
	ended := c.advance()
	if !c.closed {
		c.jobs[&job{math.Max(work, minJobMs), done}] = struct{}{}
	}
	c.schedule()
	c.mu.Unlock()
	runAll(ended)
}

// Gauges returns the busy share of the cores and the number of jobs.
func (c *Cores) Gauges() (busyShare, jobs float64) {
	c.mu.Lock()
	ended := c.advance()
	busyShare = c.busyShare
	jobs = float64(len(c.jobs))
	c.schedule()
	c.mu.Unlock()
	runAll(ended)
	return busyShare, jobs
}

// Close ends the machine; its jobs never end.
func (c *Cores) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.timer.Stop()
	clear(c.jobs)
}

func (c *Cores) onTimer() {
	c.mu.Lock()
	ended := c.advance()
	c.schedule()
	c.mu.Unlock()
	runAll(ended)
}

func runAll(done []func()) {
	for _, f := range done {
		f()
	}
}

// jobRate is the work that one job gets done in a ms. The lock is held, as for the methods below.
func (c *Cores) jobRate() float64 {
	n := float64(len(c.jobs))
	if n == 0 {
		return 0
	}
	rate := c.speed * math.Min(1, c.cores/n)
	if c.overloadAt > 0 && n > c.overloadAt {
		rate *= math.Pow(overloadFactor, n/c.overloadAt-1)
	}
	return rate
}

// shortestJobMs is the work left of the job that ends first; infinite without jobs.
func (c *Cores) shortestJobMs() float64 {
	shortest := math.Inf(1)
	for j := range c.jobs {
		shortest = math.Min(shortest, j.remainingMs)
	}
	return shortest
}

// advance plays the time since the last call, one job's end after the other, and returns the callbacks of the jobs that ended.
func (c *Cores) advance() (ended []func()) {
	now := time.Now()
	for {
		elapsed := float64(now.Sub(c.advancedTo)) / float64(time.Millisecond)
		rate := c.jobRate()
		step := elapsed
		if rate > 0 {
			step = math.Min(elapsed, c.shortestJobMs()/rate)
		}
		busy := math.Min(1, float64(len(c.jobs))/c.cores)
		c.busyShare += (1 - math.Exp(-step/gaugeTimeConstantMs)) * (busy - c.busyShare)
		c.advancedTo = c.advancedTo.Add(time.Duration(step * float64(time.Millisecond)))
		before := len(ended)
		for j := range c.jobs {
			j.remainingMs -= step * rate
			if j.remainingMs <= workRounding {
				delete(c.jobs, j)
				ended = append(ended, j.done)
			}
		}
		if len(ended) == before || elapsed-step < timeRounding {
			c.advancedTo = now
			return ended
		}
	}
}

// schedule sets the timer to the end of the next job.
func (c *Cores) schedule() {
	rate := c.jobRate()
	if c.closed || rate == 0 {
		c.timer.Reset(idleTimer)
		return
	}
	wait := math.Max(0, c.shortestJobMs()/rate)
	c.timer.Reset(time.Duration(wait*float64(time.Millisecond)) + timerSlack)
}
