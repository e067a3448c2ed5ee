package experiment

import (
	"math"
	"slices"
	"sync"
	"time"

	"sorrelvalve/internal/standin"
)

const (
	utilizationMemoryMs = 250.0                // time constant of the utilization gauge
	settleLimit         = 10 * time.Second     // in real time
	settlePoll          = 5 * time.Microsecond // in real time
	idleHorizon         = time.Hour            // when the next run completes where none runs
)

// virtualMachine is a machine of parityCores on a clock of its own, which moves only when it is advanced.
type virtualMachine struct {
	mu          sync.Mutex
	now         time.Time
	jobs        []*virtualJob
	utilization float64 // of the cores, smoothed
	started     int64   // jobs
}

// virtualJob is the work of one arrival.
type virtualJob struct {
	leftMs float64
	number int
	done   func()
}

// clock is the machine's time.
func (m *virtualMachine) clock() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *virtualMachine) gauges() (utilization, runnable float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.utilization, float64(len(m.jobs))
}

// start starts a job.
func (m *virtualMachine) start(number int, workMs float64, done func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.jobs = append(m.jobs, &virtualJob{workMs, number, done})
	m.started++
}

func (m *virtualMachine) startedCount() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started
}

// remove takes a job off the machine.
func (m *virtualMachine) remove(job *virtualJob) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(m.jobs, job); i >= 0 {
		m.jobs = slices.Delete(m.jobs, i, i+1)
	}
}

// speed is the part of a core that each job has. The caller holds the lock.
func (m *virtualMachine) speed() float64 {
	return math.Min(1, parityCores/math.Max(1, float64(len(m.jobs))))
}

// nextCompletion is the job that completes first, and when; nil if none runs. Of jobs that complete at once the one of
// the lowest number is first.
func (m *virtualMachine) nextCompletion() (*virtualJob, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var first *virtualJob
	for _, job := range m.jobs {
		if first == nil || job.leftMs < first.leftMs || job.leftMs == first.leftMs && job.number < first.number {
			first = job
		}
	}
	if first == nil {
		return nil, m.now.Add(idleHorizon)
	}
	return first, m.now.Add(time.Duration(math.Ceil(first.leftMs / m.speed() * 1e6)))
}

// advance moves the clock on to a time.
func (m *virtualMachine) advance(to time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsedMs := float64(to.Sub(m.now)) / 1e6
	if elapsedMs <= 0 {
		return
	}
	busy := math.Min(1, float64(len(m.jobs))/parityCores)
	speed := m.speed()
	m.utilization += (1 - math.Exp(-elapsedMs/utilizationMemoryMs)) * (busy - m.utilization)
	for _, job := range m.jobs {
		job.leftMs -= elapsedMs * speed
	}
	m.now = to
}

// playFunc puts a sequence through a frontend, and returns which of its arrivals were rejected.
type playFunc func(build func(frontendHost) (*frontend, error), arrivals []arrival, length time.Duration) (rejected []bool, err error)

// virtualStep is what happens next on the virtual clock.
type virtualStep int

const (
	stepTick virtualStep = iota
	stepCompletion
	stepArrival
	stepDrain
	stepFinish
)

// virtualPlay is a sequence on the virtual clock. After each step it waits until the frontend has done all that the step
// asks of it, so that two plays of one sequence differ by nothing but the frontend.
type virtualPlay struct {
	machine  *virtualMachine
	frontend *frontend
	arrivals []arrival
	length   time.Duration
	began    time.Time

	next     int // arrival
	tickAt   time.Time
	drained  bool
	rejected []bool
	calls    sync.WaitGroup
}

func playVirtual(build func(frontendHost) (*frontend, error), arrivals []arrival, length time.Duration) ([]bool, error) {
	began := time.Now().Add(-time.Hour).Truncate(time.Millisecond) // arrivals must not lie ahead of the real clock
	machine := &virtualMachine{now: began}
	run := func(n int, done func()) { machine.start(n, arrivals[n].work, done) }
	f, err := build(frontendHost{machine.clock, machine.gauges, run})
	if err != nil {
		return nil, err
	}
	defer f.close()
	p := &virtualPlay{
		machine:  machine,
		frontend: f,
		arrivals: arrivals,
		length:   length,
		began:    began,
		tickAt:   began,
		rejected: make([]bool, len(arrivals)),
	}
	for {
		step, at, job := p.nextStep()
		if step == stepFinish {
			p.calls.Wait()
			return p.rejected, nil
		}
		machine.advance(at)
		if err := p.take(step, at, job); err != nil {
			return nil, err
		}
		if err := p.await("a run", func() bool { return machine.startedCount() == f.progress.started.Load() }); err != nil {
			return nil, err
		}
	}
}

// nextStep is the earliest step. Of steps at one time a tick is before a completion, an arrival and the drain.
func (p *virtualPlay) nextStep() (step virtualStep, at time.Time, job *virtualJob) {
	step, at = stepTick, p.tickAt
	job, completesAt := p.machine.nextCompletion()
	if completesAt.Before(at) {
		step, at = stepCompletion, completesAt
	}
	if p.next < len(p.arrivals) {
		if arrivesAt := p.began.Add(p.arrivals[p.next].at); arrivesAt.Before(at) {
			step, at = stepArrival, arrivesAt
		}
	}
	if drainAt := p.began.Add(p.length * drainAfter / 10); !p.drained && drainAt.Before(at) {
		step, at = stepDrain, drainAt
	}
	if p.next == len(p.arrivals) && job == nil && step == stepTick && at.After(p.began.Add(p.length+parityTail)) {
		step = stepFinish
	}
	return step, at, job
}

func (p *virtualPlay) take(step virtualStep, at time.Time, job *virtualJob) error {
	f := p.frontend
	switch step {
	case stepTick:
		p.tickAt = at.Add(f.tick())
	case stepDrain:
		p.drained = true
		f.drain(parityDrainStop + p.length) // the stop lies past the sequence: what is compared is the grace
	case stepArrival:
		n := p.next
		p.next++
		before := f.progress.arrived.Load()
		p.calls.Go(func() { p.rejected[n] = f.call(&p.arrivals[n], at) })
		return p.await("an arrival", func() bool { return f.progress.arrived.Load() > before })
	case stepCompletion:
		p.machine.remove(job)
		before := f.progress.completed.Load()
		job.done()
		return p.await("an end", func() bool { return f.progress.completed.Load() > before })
	}
	return nil
}

// await waits in real time until a condition holds.
func (p *virtualPlay) await(what string, holds func() bool) error {
	for began := time.Now(); !holds(); {
		if time.Since(began) > settleLimit {
			return notSettled(p.frontend, what)
		}
		time.Sleep(settlePoll)
	}
	return nil
}

// playReal puts a sequence through a frontend in real time.
func playReal(build func(frontendHost) (*frontend, error), arrivals []arrival, length time.Duration) ([]bool, error) {
	cores := standin.NewCores(parityCores, 0)
	defer cores.Close()
	run := func(n int, done func()) { cores.Run(arrivals[n].work, done) }
	f, err := build(frontendHost{nil, cores.Gauges, run})
	if err != nil {
		return nil, err
	}
	defer f.close()
	stop := make(chan struct{})
	var ticking sync.WaitGroup
	if f.name == "daemon" { // the library ticks by itself
		ticking.Go(func() { tickUntil(stop, f) })
	}
	rejected := make([]bool, len(arrivals))
	var calls sync.WaitGroup
	began := time.Now()
	drain := time.AfterFunc(length*drainAfter/10, func() { f.drain(parityDrainStop + length) })
	defer drain.Stop()
	for i := range arrivals {
		time.Sleep(time.Until(began.Add(arrivals[i].at)))
		calls.Go(func() { rejected[i] = f.call(&arrivals[i], time.Now().Truncate(time.Millisecond)) })
	}
	calls.Wait()
	close(stop)
	ticking.Wait()
	return rejected, nil
}

// tickUntil ticks a frontend as it asks for, until stop is closed.
func tickUntil(stop <-chan struct{}, f *frontend) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-timer.C:
		}
		timer.Reset(f.tick())
	}
}
