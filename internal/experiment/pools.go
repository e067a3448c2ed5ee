package experiment

// This file owns the experiment pools: five members, of which one turns bad in several ways and recovers. It must never
// give one way of choosing another member, another trouble or another load than the next.

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
)

const (
	poolMembers = 5
	memberCores = 2
	poolWork    = 20.0 // ms, mean
	poolLoad    = 0.6  // of what all members together can do
	poolTarget  = 400 * time.Millisecond
)

var poolMethods = []Method{
	{Name: "account-view", Target: 400, Deadline: 1000, Criticality: 1, Late: 0.2},
	{Name: "topup-buy", Target: 400, Deadline: 1000, Criticality: 3, Tokened: true, Window: 13584},
}

// trouble is one way in which the first member turns bad.
type trouble struct {
	name    string
	set     func(*standin.App, *standin.Cores)
	recover func(*standin.App, *standin.Cores)
}

var troubles = []trouble{
	{"stalls", func(a *standin.App, _ *standin.Cores) { a.SetFault(standin.HangAfterRead) }, func(a *standin.App, _ *standin.Cores) { a.SetFault(standin.NoFault) }},
	{"fails at once", func(a *standin.App, _ *standin.Cores) { a.SetFault(standin.ServerError) }, func(a *standin.App, _ *standin.Cores) { a.SetFault(standin.NoFault) }},
	{"a tenth of the speed", func(_ *standin.App, c *standin.Cores) { c.SetSpeed(0.1) }, func(_ *standin.App, c *standin.Cores) { c.SetSpeed(1) }},
	{"crashes", func(a *standin.App, _ *standin.Cores) { a.Stop() }, func(a *standin.App, _ *standin.Cores) { a.Start() }},
}

// poolRun is what one way of choosing came to.
type poolRun struct {
	way     string
	samples []standin.Sample
	verdict standin.InvariantReport
	first   float64 // tries
	further float64
	allowed float64
	back    float64 // s: the longest time from a recovery to a full part of the load
	overrun float64 // the most in hand at the member after a recovery, over the others' most
	share   Line    // of the picks that the first member gets, over time
	err     error
}

// Pools is the experiment.
func Pools(o Options) (*Report, error) {
	bad, sound := 10*time.Second, 15*time.Second
	list := troubles
	if o.Quick {
		bad, sound = 3*time.Second, 7*time.Second
	}
	r := &Report{Name: "pools", Header: []string{"way", "trouble", "method", "RPCs", "ok in target", "ok late", "pushed back", "aborted", "lost", "p50 ms", "p99 ms"}}
	ways := []*poolRun{{way: "round robin, no ejection"}, {way: "valve"}}
	var wg sync.WaitGroup
	for _, w := range ways {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.err = w.run(o, list, bad, sound)
		}()
	}
	wg.Wait()
	chart := Chart{Name: "share", XLabel: "s", YLabel: "share of tries that the bad member gets"}
	inTime := map[string]float64{}
	for _, w := range ways {
		if w.err != nil {
			return nil, w.err
		}
		ok := 0
		for _, s := range w.samples {
			if s.Outcome == standin.OK && s.Latency <= poolTarget {
				ok++
			}
		}
		inTime[w.way] = float64(ok) / float64(len(w.samples))
		for i, t := range list {
			from, to := time.Duration(i)*(bad+sound), time.Duration(i+1)*(bad+sound)
			var part []standin.Sample
			for _, s := range w.samples {
				if s.Offset >= from && s.Offset < to {
					part = append(part, s)
				}
			}
			for _, row := range standin.Summarize(part, false, poolTarget) {
				r.AddRow(w.way, t.name, row.Method, row.Calls, row.OnTimeShare, row.Late, row.Rejected, row.Aborted, row.Lost, row.P50, row.P99)
			}
		}
		w.share.Name = w.way
		chart.Lines = append(chart.Lines, w.share)
	}
	r.Charts = append(r.Charts, chart)
	ours := ways[1]
	r.AddChecks(atLeast("ok in target", inTime["valve"], 0.99))
	r.AddChecks(above("better than round robin", inTime["valve"], inTime["round robin, no ejection"]))
	r.AddChecks(atMost("further tries", ours.further, math.Floor(ours.allowed)))
	r.AddChecks(atMost("s until a recovered member has its part", ours.back, 10))
	r.AddChecks(atMost("in hand there, over the others' most", ours.overrun, 1.5))
	r.AddChecks(atMost("second runs", float64(ours.verdict.DuplicateRuns), 0))
	r.AddChecks(atMost("RPCs without an answer", float64(ours.verdict.Unanswered), 0))
	r.AddChecks(atMost("RPCs with two", float64(ours.verdict.AnsweredTwice), 0))
	return r, nil
}

func (w *poolRun) run(o Options, list []trouble, bad, sound time.Duration) error {
	rules := standin.NewInvariantChecker("topup-buy", "/topup-buy")
	idle := standin.NewCores(poolMembers*memberCores, 8) // the engine, which has nothing to do
	defer idle.Close()
	engine, err := standin.NewEngine(idle, standin.WorkFromBody, rules)
	if err != nil {
		return err
	}
	defer engine.Close()
	var apps []*standin.App
	var machines []*standin.Cores
	var addrs []string
	for range poolMembers {
		c := standin.NewCores(memberCores, 8)
		a, err := standin.NewApp(c, standin.WorkFromBody, rules)
		if err != nil {
			return err
		}
		defer c.Close()
		defer a.Stop()
		apps, machines, addrs = append(apps, a), append(machines, c), append(addrs, a.Addr())
	}
	f := File(poolMethods)
	p := Pool(addrs...)
	if w.way != "valve" {
		p.RoundRobin, p.MaxFailures, p.OutlierFactor = true, 0, 0
	}
	f.Pools = map[string]operator.Pool{"apps": p}
	f.Methods = map[string]operator.Method{}
	for _, m := range poolMethods {
		f.Methods[m.Name] = operator.Method{Pool: "apps", Path: "/" + m.Name, Verb: "POST"}
	}
	settings, err := Settings(poolMethods, poolMembers*memberCores)
	if err != nil {
		return err
	}
	s, err := NewServer(settings, engine.Addr(), f)
	if err != nil {
		return err
	}
	defer s.Close()
	total := time.Duration(len(list)) * (bad + sound)
	plan := standin.LoadPlan{
		Rate: poolLoad * poolMembers * memberCores * 1000 / poolWork, Duration: total, Callers: 3, Seed: o.Seed, Deadline: time.Second + ownWait,
		Kinds: []standin.RequestKind{{Method: "account-view", Share: 0.85, MeanWorkMs: poolWork}, {Method: "topup-buy", Share: 0.15, MeanWorkMs: poolWork, WithToken: true}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := time.Now()
	watched := make(chan struct{})
	go func() { // the troubles, and a look at the members every half second
		defer close(watched)
		const look = 500 * time.Millisecond
		last := make([]uint64, poolMembers)
		phase, ill, recovered := 0, false, time.Time{}
		for ctx.Err() == nil && time.Since(began) < total {
			at := time.Since(began)
			if k := int(at / (bad + sound)); k >= phase && !ill && k < len(list) {
				phase, ill = k, true
				list[k].set(apps[0], machines[0])
				recovered = time.Time{}
			}
			if ill && at-time.Duration(phase)*(bad+sound) >= bad {
				list[phase].recover(apps[0], machines[0])
				ill = false
				phase++
				recovered = time.Now()
				for _, a := range apps {
					a.TakeMaxInFlight()
				}
			}
			time.Sleep(look)
			var now []uint64
			for _, addr := range addrs {
				for _, m := range s.Pools.States()[0].Members {
					if m.Addr == addr {
						now = append(now, m.Requests)
					}
				}
			}
			if len(now) < poolMembers {
				continue
			}
			mine, others := float64(now[0]-last[0]), 0.0
			for i := 1; i < poolMembers; i++ {
				others += float64(now[i] - last[i])
			}
			last = now
			w.share.Points = append(w.share.Points, struct{ X, Y float64 }{time.Since(began).Seconds(), mine / math.Max(1, mine+others)})
			if !recovered.IsZero() {
				w.back = math.Max(w.back, time.Since(recovered).Seconds())
				if mine >= 0.8*others/(poolMembers-1) {
					var most []float64
					for _, a := range apps[1:] {
						most = append(most, float64(a.TakeMaxInFlight()))
					}
					w.overrun = math.Max(w.overrun, float64(apps[0].TakeMaxInFlight())/math.Max(1, slices.Max(most)))
					recovered = time.Time{}
				}
			}
		}
	}()
	router, web := standin.NewRouter(s.RPC), standin.NewWebTier(s.Web, false)
	w.samples = plan.Run(ctx, map[string]standin.Caller{"msgpack": router, "uwsgi": web}, rules)
	router.Close()
	<-watched
	w.verdict = rules.Report()
	c := s.Pools.States()[0].Attempts
	w.first, w.further = float64(c.FirstAttempts), float64(c.Retries)
	// What the rules allow: the share of first tries, the floor a second, and what may be saved up at the start.
	w.allowed = p.Retry.Share*w.first + p.Retry.Floor*time.Since(began).Seconds() + p.Retry.Floor*10 + 100*p.Retry.Share
	if len(w.samples) == 0 {
		return fmt.Errorf("%s: no samples", w.way)
	}
	return nil
}
