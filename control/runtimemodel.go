package control

import "math"

// meanRunTime returns the mean run time in ms over all methods, weighted by their numbers of recent runs.
func (c *Controller) meanRunTime() float64 {
	sum, runs := 0.0, 0.0
	for i := range c.runTimes {
		sum += c.runTimes[i].elapsedSum
		runs += c.runTimes[i].runs
	}
	return sum / runs
}

// expectedRunTime returns the expected run time of an RPC in ms, excluding its dependency calls.
func (c *Controller) expectedRunTime(r *rpc) float64 {
	return c.runTimes[r.method].predict(r.cost, c.slowdown)
}

// learnRunTime records a run of elapsed ms. The slowdown is estimated over all methods: on a small server a single
// method runs too rarely, and its last twenty runs may date from before a change such as a slow machine or a burst of
// reads.
func (c *Controller) learnRunTime(r *rpc, elapsed float64) {
	const (
		weight   = 0.15 // averages over about seven runs, one to two seconds of traffic
		minRatio = 0.25 // minRatio and maxRatio limit the effect of one run: a single long run is a weak sign of low speed
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
	elapsedSum     float64 // sum of run times in ms
	costSum        float64 // sum of cost hints
	runs           float64 // number of runs
	dependencyTime float64 // mean time in ms at dependency calls
	prior          float64 // assumed run time in ms before the first run has ended
	covariance     float64 // covariance of run time and cost hint, each divided by its mean
	costVariance   float64 // variance of the cost hint divided by its mean
}

// newRunTimeModel returns a model as after two runs that took a sixth of the latency objective, equal to their cost
// hints. Otherwise a first run with a short hint would make the predictions for all other RPCs far too long. Cost hints
// are fully trusted at first.
func newRunTimeModel(objective float64) runTimeModel {
	prior := objective / 6
	return runTimeModel{prior: prior, elapsedSum: 2 * prior, costSum: 2 * prior, runs: 2, covariance: 0.5, costVariance: 0.5}
}

// observe records a run: its run time at normal speed, its cost hint and its time at dependency calls.
func (m *runTimeModel) observe(elapsed, cost, dependencyTime float64) {
	const (
		decay     = 0.95 // averages over about twenty runs; the slowdown captures faster changes
		hintDecay = 0.98 // about fifty runs for the accuracy of hints, which does not depend on the slowdown
	)
	elapsed = math.Max(1, elapsed) // a run of zero length gives no information about the speed
	m.elapsedSum = m.elapsedSum*decay + elapsed
	m.costSum = m.costSum*decay + cost
	m.runs = m.runs*decay + 1
	m.dependencyTime += (1 - decay) * (math.Min(dependencyTime, 3*m.prior) - m.dependencyTime)
	elapsedError := elapsed*m.runs/m.elapsedSum - 1
	costError := cost*m.runs/m.costSum - 1
	m.covariance = m.covariance*hintDecay + (1-hintDecay)*elapsedError*costError
	m.costVariance = m.costVariance*hintDecay + (1-hintDecay)*costError*costError
}

// predict returns the expected run time in ms. Inaccurate cost hints overestimate expensive RPCs, so the prediction is
// regressed towards the mean by the regression coefficient of run time on cost hint. The mean is capped at a value that
// an idle server admits: otherwise run times learnt during a hang could cause a method to be rejected forever.
func (m *runTimeModel) predict(cost, slowdown float64) float64 {
	const (
		minTrust   = 0.3 // minimum weight of the cost hint
		maxOfPrior = 5   // maximum of the mean, as a multiple of the prior
	)
	trust := math.Max(minTrust, math.Min(1, m.covariance/m.costVariance))
	return math.Min(slowdown*m.elapsedSum/m.runs, maxOfPrior*m.prior) * (1 - trust + trust*cost*m.runs/m.costSum)
}
