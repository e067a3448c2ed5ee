package experiment

// This file owns the part of fleet-judge with real processes: eight daemons before ten application servers, once in a fleet
// and once each for itself, at the same time under the same load. It must never tell one of them of the troubles.

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

const (
	judgeServers = 8
	judgeRate    = 6.0 // RPCs a second at each
	judgeTarget  = 200 * time.Millisecond
)

// judgeBed is one of the two.
type judgeBed struct {
	*testbed.Bed
	apps   []*standin.App
	cores  []*standin.Cores
	mu     sync.Mutex
	asked  int
	inTime int
}

func newJudgeBed(o Options, alone bool) (*judgeBed, error) {
	serve, err := fleetServerProcess()
	if err != nil {
		return nil, err
	}
	j := &judgeBed{}
	var addrs []string
	for range judgeMembers {
		c := standin.NewCores(4, 8)
		a, err := standin.NewApp(c, standin.WorkFromBody, nil)
		if err != nil {
			return nil, err
		}
		j.apps, j.cores, addrs = append(j.apps, a), append(j.cores, c), append(addrs, a.Addr())
	}
	p := Pool(addrs...)
	p.MaxConnections, p.MaxQueued, p.EjectionMs, p.RecoveryMs, p.Retry = 16, 0, 2000, 3000, operator.Retry{Share: 0.1, Floor: 1, MaxAttempts: 2}
	f := operator.File{Pools: map[string]operator.Pool{"apps": p}, Methods: map[string]operator.Method{
		"account-view": {Pool: "apps", Path: "/account", Verb: "GET"}, "settings-save": {Pool: "apps", Path: "/settings", Verb: "POST"}}}
	set := strings.Replace(fleetSettings, `"worth":1},`, `"worth":1,"idempotency":"non_idempotent"},`, 1) // settings-save may not run twice
	if j.Bed, err = testbed.New(testbed.Options{Names: fleetsim.ServerNames(judgeServers), Seed: o.Seed, Cores: 2, SettingsJSON: set, Operator: f, NoFleet: alone, ServeCommand: serve}); err != nil {
		return nil, err
	}
	if err = j.StartAll(); err == nil && !alone {
		err = j.Await(awaitLimit, j.Names, testbed.ExpectView("whole", judgeServers))
	}
	return j, err
}

func (j *judgeBed) close() {
	j.Bed.Close()
	for i := range j.apps {
		j.apps[i].Stop()
		j.cores[i].Close()
	}
}

// load sends to all servers until ctx ends.
func (j *judgeBed) load(ctx context.Context, seed int64, length time.Duration) {
	var all sync.WaitGroup
	for i, name := range j.Names {
		all.Go(func() {
			router := standin.NewRouter(j.ListenAddr(name))
			defer router.Close()
			samples := standin.LoadPlan{Rate: judgeRate, Duration: length, Callers: 3, Seed: seed*100 + int64(i), Deadline: 1200 * time.Millisecond, Kinds: []standin.RequestKind{
				{Method: "account-view", Share: 0.5, MeanWorkMs: 10}, {Method: "settings-save", Share: 0.5, MeanWorkMs: 10}}}.Run(ctx, map[string]standin.Caller{"msgpack": router}, standin.NewInvariantChecker())
			j.mu.Lock()
			defer j.mu.Unlock()
			for _, s := range samples {
				j.asked++
				if s.Outcome == standin.OK && s.Latency <= judgeTarget {
					j.inTime++
				}
			}
		})
	}
	all.Wait()
}

// outAt counts the servers that hold a member out, and what they hold out beside those that were in trouble.
func (j *judgeBed) outAt(member string, troubled []string) (out, others int) {
	for _, name := range j.Names {
		s, err := j.Status(name)
		if err != nil {
			continue
		}
		for _, p := range s.Outliers {
			for _, m := range p.Members {
				if m.Ejected && m.Name == member {
					out++
				} else if m.Ejected && !slices.Contains(troubled, m.Name) {
					others++
				}
			}
		}
	}
	return out, others
}

// judgeProcesses plays troubles of one member on both beds.
func judgeProcesses(o Options, r *Report) error {
	phase := 5 * time.Second
	if !o.Quick {
		phase = 15 * time.Second
	}
	beds := make([]*judgeBed, 2)
	errs := make([]error, 2)
	var starting sync.WaitGroup
	for i := range beds {
		starting.Go(func() { beds[i], errs[i] = newJudgeBed(o, i == 0) })
	}
	starting.Wait()
	for _, j := range beds {
		if j != nil && j.Bed != nil {
			defer j.close()
		}
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // ramps
	together := beds[1]
	troubles := []struct {
		name   string
		fault  standin.Fault
		faults string // between the servers, meanwhile
	}{{"fails at once", standin.ServerError, ""}, {"says nothing", standin.HangAfterRead, "0s loss *>* 0.1"}}
	length := time.Duration(len(troubles)) * 2 * phase
	ctx, end := context.WithTimeout(context.Background(), length+10*time.Second)
	defer end()
	var load sync.WaitGroup
	for i := range beds {
		load.Go(func() { beds[i].load(ctx, o.Seed, length) })
	}
	slowest, wrong := 0.0, 0
	var was []string // that may still be on their way back
	var sick [2]float64
	for k, t := range troubles {
		if t.faults != "" {
			s, err := script.Parse(t.faults, together.Names)
			if err != nil {
				return err
			}
			if err := together.Play(ctx, s); err != nil {
				return err
			}
		}
		var taken [2]int
		for i, j := range beds {
			taken[i] = j.apps[k].Received()
			j.apps[k].SetFault(t.fault)
		}
		began := time.Now()
		took := phase.Seconds()
		for time.Since(began) < phase {
			out, others := together.outAt(together.apps[k].Addr(), was)
			wrong = max(wrong, others)
			if out == judgeServers && took == phase.Seconds() {
				took = time.Since(began).Seconds()
			}
			time.Sleep(100 * time.Millisecond)
		}
		var n [2]int
		for i, j := range beds {
			n[i] = j.apps[k].Received() - taken[i]
			j.apps[k].SetFault(standin.NoFault)
			sick[i] += float64(n[i])
		}
		together.Network.Heal()
		slowest = max(slowest, took)
		r.AddRow(fmt.Sprintf("8 processes, a member %s: tries to it in %.0f s", t.name, phase.Seconds()), n[0], n[1], fmt.Sprintf("out at all 8 after %.1f s", took))
		began = time.Now()
		back := phase.Seconds()
		for time.Since(began) < phase {
			if out, _ := together.outAt(together.apps[k].Addr(), was); out == 0 {
				back = time.Since(began).Seconds()
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		r.AddRow("  s until it is back everywhere", "", back, "")
		was = append(was, together.apps[k].Addr())
		time.Sleep(time.Until(began.Add(phase)))
	}
	load.Wait()
	var ok [2]float64
	for i, j := range beds {
		ok[i] = float64(j.inTime) / float64(max(1, j.asked))
	}
	r.AddRow("8 processes: ok in target over all", ok[0], ok[1], fmt.Sprintf("%d RPCs", beds[0].asked+beds[1].asked))
	r.AddChecks(atMost("processes: s until a bad member is out at all", slowest, 4))
	most := 0.5
	if o.Quick { // two or three of five seconds pass until it is out, in which some ten tries go there either way
		most = 0.75
	}
	r.AddChecks(atMost("processes: tries to a bad member, over each for itself", sick[1]/max(1, sick[0]), most))
	r.AddChecks(atMost("processes: sound members out at a time", float64(wrong), 0))
	r.AddChecks(atLeast("processes: ok in target over each for itself", ok[1]/ok[0], 1))
	if slices.Min([]float64{sick[0], ok[0]}) == 0 {
		return fmt.Errorf("the bad members got nothing, or nothing was ok")
	}
	return nil
}
