package experiment

import (
	"fmt"
	"time"

	"sorrelvalve/decision/release"
	"sorrelvalve/internal/fleetsim"
)

const (
	simulatedReleaseServers = 300
	simulatedReleaseZones   = 3
	simulatedReleaseRate    = 4.0 // RPCs a second at each server
	// shownBeforeWave is for how long, in ms, a bad version must have shown before it counts that it reached more than
	// the canary and one wave.
	shownBeforeWave = 20e3
)

// rolloutStrategy is a way to bring a version to all servers.
type rolloutStrategy int

const (
	rolloutJudged     rolloutStrategy = iota // in waves, each after an analysis of the one before
	rolloutFixedWaves                        // in the same waves without one
	rolloutAtOnce                            // to all servers at once
	rolloutStrategies                        // how many there are
)

// releaseRules are the usual ones with a shorter bake time, so that a release of 300 servers takes minutes.
func releaseRules() release.Rules {
	rules := release.DefaultRules()
	rules.CanaryServers = 3
	rules.BakeMS = 30e3
	rules.MinRPCs = 300
	return rules
}

// releaseTally is what the simulated releases of one kind of version came to.
type releaseTally struct {
	releases    int
	served      [rolloutStrategies]float64 // sum of the shares of RPCs ok, over those without the version
	reached     [rolloutStrategies]float64 // servers, sum
	tookSeconds float64                    // judged: sum
}

// simulatedReleases is the part of fleet-release on the simulator: good versions, and versions that are bad in several
// ways, to all servers of a fleet by each strategy. A bad version counts as stopped only by what was observed of it.
type simulatedReleases struct {
	options Options
	report  *Report
	began   time.Time

	ends  [][rolloutStrategies]fleetsim.RolloutOutcome
	kinds [fleetsim.DefectCount]releaseTally

	beyondSecondWave int // bad versions
	wronglyStopped   int // good versions
	notAsAssigned    int // servers at the end
	notRestored      int // releases rolled back
}

// FleetRelease is the experiment fleet-release.
func FleetRelease(o Options) (*Report, error) {
	x := &simulatedReleases{
		options: o,
		report:  &Report{Name: "fleet-release", Header: []string{"what", "judged", "fixed waves", "at once"}},
		began:   time.Now(),
	}
	runs := 500
	if o.Quick {
		runs = 48
	}
	x.ends = make([][rolloutStrategies]fleetsim.RolloutOutcome, runs)
	err := runSteps([]step{
		{"simulate the releases", x.simulate},
		{"tally the judged releases", x.tally},
		{"chart the servers reached", x.chart},
		{"report the simulated releases", x.reportReleases},
		{"release to processes", func() error { return releaseProcesses(o, x.report) }},
	})
	return x.report, err
}

// defectOf is the defect of the version of a run: each in turn.
func defectOf(run int) fleetsim.VersionDefect {
	return fleetsim.VersionDefect(run % fleetsim.DefectCount)
}

func (x *simulatedReleases) simulate() error {
	inParallel(len(x.ends), func(i int) {
		for strategy := range rolloutStrategies {
			x.ends[i][strategy] = fleetsim.RolloutRun{
				Servers:        simulatedReleaseServers,
				Zones:          simulatedReleaseZones,
				RatePerServer:  simulatedReleaseRate,
				Seed:           uint64(x.options.Seed)*100000 + uint64(i),
				Defect:         defectOf(i),
				Faults:         i/fleetsim.DefectCount%2 == 1,
				Rules:          releaseRules(),
				CanaryAnalysis: strategy == rolloutJudged,
				SingleWave:     strategy == rolloutAtOnce,
			}.Run()
		}
	})
	return nil
}

// tally sums up by kind, and prints each judged release that did not go as it should.
func (x *simulatedReleases) tally() error {
	for i := range x.ends {
		kind := defectOf(i)
		tally := &x.kinds[kind]
		tally.releases++
		for strategy := range rolloutStrategies {
			tally.served[strategy] += x.ends[i][strategy].ServedShare
			tally.reached[strategy] += float64(x.ends[i][strategy].ServersReached)
		}
		judged := &x.ends[i][rolloutJudged]
		x.notAsAssigned += judged.Diverged
		var err error
		if kind == fleetsim.NoDefect {
			err = x.tallyGood(i, judged)
		} else {
			tally.tookSeconds += judged.DurationMs / 1000
			err = x.tallyBad(i, judged)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (x *simulatedReleases) tallyGood(run int, end *fleetsim.RolloutOutcome) error {
	if end.Phase == release.Completed {
		return nil
	}
	x.wronglyStopped++
	_, err := fmt.Fprintf(x.options.Out, "seed %d: a good version is %s: %s\n", run, end.Phase, end.Reason)
	return err
}

func (x *simulatedReleases) tallyBad(run int, end *fleetsim.RolloutOutcome) error {
	if end.Phase == release.RolledBack && !end.Restored {
		x.notRestored++
	}
	if end.ExposureMs < shownBeforeWave || end.ServersReached <= end.FirstTwoWaves {
		return nil
	}
	x.beyondSecondWave++
	_, err := fmt.Fprintf(x.options.Out, "seed %d, %s: reached %d of 300: %s\n", run, defectOf(run), end.ServersReached, end.Reason)
	return err
}

func (x *simulatedReleases) chart() error {
	lines := []Line{{Name: "judged"}, {Name: "fixed waves"}, {Name: "at once"}}
	for i := range x.ends {
		if defectOf(i) == fleetsim.NoDefect {
			continue
		}
		for strategy := range rolloutStrategies {
			lines[strategy].add(float64(i), float64(x.ends[i][strategy].ServersReached))
		}
	}
	x.report.Charts = append(x.report.Charts, Chart{Name: "reached", XLabel: "release", YLabel: "servers that ran the bad version", Lines: lines})
	return nil
}

func (x *simulatedReleases) reportReleases() error {
	r := x.report
	worstBad, good := 1.0, 1.0
	for kind := range x.kinds {
		tally := &x.kinds[kind]
		n := float64(max(1, tally.releases))
		served, reached := &tally.served, &tally.reached
		r.AddRow(fmt.Sprintf("%s: ok over without it", fleetsim.VersionDefect(kind)), served[rolloutJudged]/n, served[rolloutFixedWaves]/n, served[rolloutAtOnce]/n)
		r.AddRow("  servers reached, mean", reached[rolloutJudged]/n, reached[rolloutFixedWaves]/n, reached[rolloutAtOnce]/n)
		if fleetsim.VersionDefect(kind) == fleetsim.NoDefect {
			good = served[rolloutJudged] / n
			continue
		}
		r.AddRow("  s from the first assignment to the way back", tally.tookSeconds/n, "", "")
		worstBad = min(worstBad, served[rolloutJudged]/n)
	}
	goodReleases := x.kinds[fleetsim.NoDefect].releases
	r.AddRow(fmt.Sprintf("%d releases at 300 servers in 3 zones, three ways: s of real time", len(x.ends)), time.Since(x.began).Seconds(), "", "")
	r.AddChecks(
		atLeast("releases", float64(len(x.ends)), 1),
		atMost("bad versions beyond the canary and one wave that had shown for 20 s", float64(x.beyondSecondWave), 0),
		atMost("good versions not brought to their end, share", float64(x.wronglyStopped)/float64(max(1, goodReleases)), 0.02),
		atMost("servers not on what they are assigned at the end", float64(x.notAsAssigned), 0),
		atMost("releases taken back that left a server with another than its former version", float64(x.notRestored), 0),
		atLeast("ok through a good release, over without it", good, 0.98),
		atLeast("ok through a bad one, the worst kind, over without it", worstBad, 0.95),
	)
	return nil
}
