package fleetsim

// This file owns what a checker is, and the list of all. A checker must never change the run.

// Checker looks at a run and tells what it found wrong by World.Found.
type Checker interface {
	Name() string
	Look(w *World)     // every so often
	End(w *World)      // at the end
	Saw() int          // cases: none is a fault of the run
	Due(w *World) bool // whether this run must have had cases
}

// judging is a checker that hears of each judgement on a peer.
type judging interface {
	judged(w *World, s *server, p int32, x *suspicion)
}

// AllCheckers returns one of each.
func AllCheckers() []Checker {
	return []Checker{&rulesChecker{}, &viewsChecker{}, &judgementChecker{}, &boundsChecker{}, &growthChecker{}, &budgetsChecker{}}
}
