package experiment

// This file owns the experiment uwsgi-mixed: one machine, traffic above what it can do, half of it by each protocol. It
// must never let one of the three ways have more of the machine, or other RPCs, than another.

import (
	"context"
	"math"
	"time"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/standin"
)

// The portal's methods, at a fifth of its times.
var mixedMethods = []Method{
	{Name: "account-view", Target: 400, Deadline: 1000, Criticality: 1, Late: 0.2},
	{Name: "settings-save", Target: 400, Deadline: 1000, Criticality: 1},
	{Name: "topup-buy", Target: 400, Deadline: 1000, Criticality: 3, Tokened: true, Window: 13584},
}

const (
	mixedCores  = 16
	mixedWork   = 60.0                   // ms, mean
	mixedSettle = 20.0                   // ms: hold.settled_ms, so that who is pushed back hears at once
	mixedLoad   = 1.2                    // of what the machine can do
	ownWait     = 300 * time.Millisecond // that a caller waits past the deadline: an answer may be under way
)

func mixedPlan(o Options, length time.Duration) standin.LoadPlan {
	return standin.LoadPlan{
		Rate: mixedLoad * mixedCores * 1000 / mixedWork, Duration: length, Callers: 3, Seed: o.Seed, DuplicateShare: 0.2, Deadline: time.Second + ownWait,
		Kinds: []standin.RequestKind{{Method: "account-view", Share: 0.5, MeanWorkMs: mixedWork}, {Method: "settings-save", Share: 0.38, MeanWorkMs: mixedWork},
			{Method: "topup-buy", Share: 0.12, MeanWorkMs: mixedWork, WithToken: true}},
	}
}

// Mixed is the experiment.
func Mixed(o Options) (*Report, error) {
	length := 60 * time.Second
	if o.Quick {
		length = 7 * time.Second
	}
	r := &Report{Name: "uwsgi-mixed", Header: []string{"way", "protocol", "method", "RPCs", "ok in target", "ok late", "pushed back", "aborted", "lost", "p50 ms", "p99 ms", "pushed back p99 ms", "after 20 ms"}}
	served := map[string]float64{}
	for _, way := range []string{"past the valve", "plain queue", "valve"} {
		cores := standin.NewCores(mixedCores, 8)
		rules := standin.NewInvariantChecker("topup-buy")
		engine, err := standin.NewEngine(cores, standin.WorkFromBody, rules)
		if err != nil {
			return nil, err
		}
		settings, err := Settings(mixedMethods, mixedCores)
		if err != nil {
			return nil, err
		}
		var callers map[string]standin.Caller
		var ends []func()
		switch way {
		case "plain queue":
			q := NewQueue(func(w gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
				rules.RecordRun(w.Method, w.Body)
				work, result := standin.WorkFromBody(w.Method, w.Body)
				cores.Run(work, func() { done(gate.Succeeded, work, nil, result) })
			}, mixedCores, 4*mixedCores)
			callers = map[string]standin.Caller{"msgpack": queueCaller{q}, "uwsgi": queueCaller{q}}
			ends = append(ends, q.Close)
		default:
			settings.Limits.DisplaceableFor = mixedSettle
			s, err := NewServer(settings, engine.Addr(), File(mixedMethods))
			if err != nil {
				return nil, err
			}
			web := s.Web
			if way == "past the valve" {
				app, err := standin.NewApp(cores, standin.WorkFromBody, rules)
				if err != nil {
					return nil, err
				}
				web = app.Addr()
				ends = append(ends, app.Stop)
			}
			callers = map[string]standin.Caller{"msgpack": standin.NewRouter(s.RPC), "uwsgi": standin.NewWebTier(web, false)}
			ends = append(ends, s.Close)
		}
		if o.Quick && way == "valve" { // the protocols' shares must be told apart to 0.03: with 11 s chance alone came to that
			length *= 3
		}
		samples := mixedPlan(o, length).Run(context.Background(), callers, rules)
		for _, c := range callers {
			c.Close()
		}
		for _, end := range ends {
			end()
		}
		engine.Close()
		cores.Close()
		rows := standin.Summarize(samples, true, 400*time.Millisecond)
		for _, row := range rows {
			r.AddRow(way, row.Protocol, row.Method, row.Calls, row.OnTimeShare, row.Late, row.Rejected, row.Aborted, row.Lost, row.P50, row.P99, row.RejectedP99, row.RejectedLate)
		}
		served[way] = criticality(samples, mixedMethods)
		r.Charts = append(r.Charts, overTime(way, samples))
		if way != "valve" {
			continue
		}
		apart, pushed := 0.0, 0.0
		for i, row := range rows {
			if row.Method == "topup-buy" {
				r.AddChecks(atLeast("topup-buy in target by "+row.Protocol, row.OnTimeShare, 0.97))
			}
			if i%2 == 1 {
				apart = math.Max(apart, math.Abs(row.OnTimeShare-rows[i-1].OnTimeShare))
			}
			pushed = math.Max(pushed, row.RejectedP99)
		}
		v := rules.Report()
		r.AddChecks(atMost("protocols apart", apart, 0.03))
		r.AddChecks(atMost("pushed back p99 ms", pushed, 20))
		r.AddChecks(atMost("RPCs without an answer", float64(v.Unanswered), 0))
		r.AddChecks(atMost("RPCs with two", float64(v.AnsweredTwice), 0))
		r.AddChecks(atMost("second runs", float64(v.DuplicateRuns), 0))
		r.AddChecks(atMost("results changed", float64(len(v.Violations)), 0))
	}
	r.AddChecks(above("criticality served", served["valve"], served["plain queue"]))
	return r, nil
}

// criticality is the share of all criticality that was served, a late answer at what its method keeps.
func criticality(samples []standin.Sample, methods []Method) float64 {
	got, all := 0.0, 0.0
	for _, s := range samples {
		for _, m := range methods {
			if m.Name != s.Method {
				continue
			}
			all += m.Criticality
			if s.Outcome == standin.OK && float64(s.Latency)/1e6 <= m.Target {
				got += m.Criticality
			} else if s.Outcome == standin.OK {
				got += m.Criticality * m.Late
			}
		}
	}
	return got / math.Max(1, all)
}

// overTime is the share ok in target of each method, second by second.
func overTime(way string, samples []standin.Sample) Chart {
	c := Chart{Name: way, XLabel: "s", YLabel: "ok within the latency target"}
	type cell struct{ ok, all float64 }
	at := map[string]map[int]*cell{}
	last := 0
	for _, s := range samples {
		if at[s.Method] == nil {
			at[s.Method] = map[int]*cell{}
		}
		second := int(s.Offset / time.Second)
		if at[s.Method][second] == nil {
			at[s.Method][second] = &cell{}
		}
		last = max(last, second)
		x := at[s.Method][second]
		if x.all++; s.Outcome == standin.OK && s.Latency <= 400*time.Millisecond {
			x.ok++
		}
	}
	for _, m := range mixedMethods {
		l := Line{Name: m.Name}
		for s := range last + 1 {
			if x := at[m.Name][s]; x != nil {
				l.Points = append(l.Points, struct{ X, Y float64 }{float64(s), x.ok / x.all})
			}
		}
		if len(l.Points) > 0 {
			c.Lines = append(c.Lines, l)
		}
	}
	return c
}

// queueCaller calls the plain queue without any wire between, which is in the queue's favour.
type queueCaller struct{ q *Queue }

func (c queueCaller) Close() {}

func (c queueCaller) Call(ctx context.Context, call standin.Call) standin.Reply {
	began := time.Now()
	got := make(chan standin.Reply, 1)
	taken := c.q.Run(gate.RunRequest{Method: call.Method, Body: call.Body}, call.Token, func(_ gate.Outcome, _ float64, _, result []byte) {
		got <- standin.Reply{Body: result}
	})
	if !taken {
		return standin.Reply{Outcome: standin.Rejected, Latency: time.Since(began)}
	}
	select {
	case r := <-got:
		r.Latency = time.Since(began)
		return r
	case <-ctx.Done():
		return standin.Reply{Outcome: standin.Lost, Latency: time.Since(began)}
	}
}
