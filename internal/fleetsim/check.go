package fleetsim

// Checker looks for violations during a run and reports them by Simulation.AddFinding. It must not change the run, nor draw
// from its random numbers.
type Checker interface {
	Name() string
	Check(sim *Simulation)              // called every CheckIntervalMs
	Finish(sim *Simulation)             // called once at the end
	Cases() int                         // how many cases it has examined
	MustHaveCases(sim *Simulation) bool // whether a run without any case is a finding
}

// deathObserver is a checker that is told when a server declares a peer dead.
type deathObserver interface {
	declaredDead(sim *Simulation, s *server, peer int32, why *suspicion)
}

// minCheckedMs is the length of a run from which on checkers that look at every tick must have had cases.
const minCheckedMs = 2 * checkIntervalMs

// AllCheckers returns one checker of each kind.
func AllCheckers() []Checker {
	return []Checker{&rpcChecker{}, &viewsChecker{}, &deathChecker{}, &boundsChecker{}, &growthChecker{}, &quotaChecker{}}
}
