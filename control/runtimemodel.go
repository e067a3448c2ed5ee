package control

import "math"

// meanRunTime is the run time of the usual RPC in ms: the mean over all methods, weighted by their recent runs.
func (c *Controller) meanRunTime() float64 {
	sum, runs := 0.0, 0.0
	for i := range c.runTimes {
		sum += c.runTimes[i].elapsedSum
		runs += c.runTimes[i].runs
	}
	return sum / runs
}

// expectedRunTime is the expected run time of an RPC in ms, without its dependency calls.
func (c *Controller) expectedRunTime(r *rpc) float64 {
	return c.runTimes[r.method].predict(r.cost, c.slowdown)
}

// learnRunTime takes in a run of elapsed ms. All methods together show the recent slowdown: a single method runs too
// seldom on a small server, and its last twenty runs reach back past a change such as a slow machine or a storm of reads.
func (c *Controller) learnRunTime(r *rpc, elapsed float64) {
	const (
		weight   = 0.15 // about seven runs, a second or two of traffic
		minRatio = 0.25 // bounds of what one run may show, as a single heavy run says little about the speed
		maxRatio = 4
	)
	model := &c.runTimes[r.method]
	ratio := math.Max(1, elapsed) / math.Max(1, model.predict(r.cost, 1))
	c.slowdown += weight * (math.Min(maxRatio, math.Max(minRatio, ratio)) - c.slowdown)
	model.observe(elapsed/c.slowdown, r.cost, r.dependencyTime)
}

// runTimeModel learns how long the runs of a method take and how well their cost hints predict it. The sums decay
// exponentially.
type runTimeModel struct {
	elapsedSum     float64 // of run times in ms
	costSum        float64 // of cost hints
	runs           float64 // number of runs
	dependencyTime float64 // mean ms at dependency calls
	prior          float64 // run time in ms before any run has ended
	covariance     float64 // of run time and cost hint, each over its mean
	costVariance   float64 // of the cost hint over its mean
}

// newRunTimeModel starts as if two runs had ended, of a sixth of the latency objective and as long as hinted: a first
// run with a short hint would otherwise make all others seem endless. Hints are trusted fully at first.
func newRunTimeModel(objective float64) runTimeModel {
	prior := objective / 6
	return runTimeModel{prior: prior, elapsedSum: 2 * prior, costSum: 2 * prior, runs: 2, covariance: 0.5, costVariance: 0.5}
}

// observe takes in a run: its time at normal speed, its cost hint and the time that it spent at dependency calls.
func (m *runTimeModel) observe(elapsed, cost, dependencyTime float64) {
	const (
		decay     = 0.95 // twenty runs of memory; faster changes show in the slowdown
		hintDecay = 0.98 // fifty for the quality of hints, which no slowdown changes
	)
	elapsed = math.Max(1, elapsed) // a run that took no time shows no speed
	m.elapsedSum = m.elapsedSum*decay + elapsed
	m.costSum = m.costSum*decay + cost
	m.runs = m.runs*decay + 1
	m.dependencyTime += (1 - decay) * (math.Min(dependencyTime, 3*m.prior) - m.dependencyTime)
	elapsedError := elapsed*m.runs/m.elapsedSum - 1
	costError := cost*m.runs/m.costSum - 1
	m.covariance = m.covariance*hintDecay + (1-hintDecay)*elapsedError*costError
	m.costVariance = m.costVariance*hintDecay + (1-hintDecay)*costError*costError
}

// predict is the run time to expect in ms. Rough hints overrate what they call heavy, so it is drawn towards the mean by
// the regression of run time on hint. The mean stays under what an idle server takes: what was learnt during a hang must
// not keep a method from ever being tried again.
func (m *runTimeModel) predict(cost, slowdown float64) float64 {
	const (
		minTrust   = 0.3 // in hints
		maxOfPrior = 5   // the mean, in priors
	)
	trust := math.Max(minTrust, math.Min(1, m.covariance/m.costVariance))
	return math.Min(slowdown*m.elapsedSum/m.runs, maxOfPrior*m.prior) * (1 - trust + trust*cost*m.runs/m.costSum)
}
