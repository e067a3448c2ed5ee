package fleetsim

// This file owns what a checker is, and the list of all. A checker must never change the run.

// Checker looks at a run and tells what it found wrong by World.Found.
type Checker interface {
	Name() string
	Check(sim *Simulation)              // every so often
	Finish(sim *Simulation)             // at the end
	Cases() int                         // cases: none is a fault of the run
	MustHaveCases(sim *Simulation) bool // whether this run must have had cases
}

// deathObserver is a checker that hears of each judgement on a peer.
type deathObserver interface {
	declaredDead(sim *Simulation, s *server, p int32, x *suspicion)
}

// AllCheckers returns one of each.
func AllCheckers() []Checker {
	return []Checker{&rpcChecker{}, &viewsChecker{}, &deathChecker{}, &boundsChecker{}, &growthChecker{}, &quotaChecker{}}
}
