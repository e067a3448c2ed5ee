package experiment

import (
	"context"
	"math"
	"time"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/standin"
)

// The portal's methods, at a fifth of its times.
var mixedMethods = []methodSpec{
	{name: "account-view", targetMs: 400, deadlineMs: 1000, criticality: 1, lateShare: 0.2},
	{name: "settings-save", targetMs: 400, deadlineMs: 1000, criticality: 1},
	{name: "topup-buy", targetMs: 400, deadlineMs: 1000, criticality: 3, idempotencyKeyed: true, windowMs: 13584},
}

const (
	mixedCores       = 16
	mixedWork        = 60.0 // ms, mean
	mixedSettleMs    = 20.0 // hold.settled_ms, so that a rejection is always immediate
	mixedLoad        = 1.2  // of what the machine can do
	mixedTarget      = 400 * time.Millisecond
	waitPastDeadline = 300 * time.Millisecond // that a caller waits: an answer may be under way
)

// The configurations that uwsgi-mixed compares, beside wayValve.
const (
	wayPastValve  = "past the valve" // uwsgi goes to an application server directly
	wayPlainQueue = "plain queue"
)

// MixedProtocols is the experiment uwsgi-mixed: one machine, traffic above what it can do, half of it by each protocol.
// All ways have the same machine and the same RPCs.
func MixedProtocols(o Options) (*Report, error) {
	length := 60 * time.Second
	if o.Quick {
		length = 7 * time.Second
	}
	r := &Report{Name: "uwsgi-mixed", Header: []string{"way", "protocol", "method", "RPCs", "ok in target", "ok late", "pushed back", "aborted", "lost", "p50 ms", "p99 ms",
		"pushed back p99 ms", "after 20 ms"}}
	served := map[string]float64{}
	for _, way := range []string{wayPastValve, wayPlainQueue, wayValve} {
		if o.Quick && way == wayValve { // the protocols' shares are compared to 0.03: over 11 s the noise alone reached that
			length *= 3
		}
		run := &mixedRun{way: way, rules: standin.NewInvariantChecker("topup-buy")}
		if err := run.run(o, length); err != nil {
			return nil, err
		}
		rows := standin.Summarize(run.samples, true, mixedTarget)
		for _, row := range rows {
			r.AddRow(way, row.Protocol, row.Method, row.Calls, row.OnTimeShare, row.Late, row.Rejected, row.Aborted, row.Lost, row.P50, row.P99,
				row.RejectedP99, row.RejectedLate)
		}
		served[way] = criticalityServed(run.samples, mixedMethods)
		r.Charts = append(r.Charts, chartOnTime(way, run.samples))
		if way == wayValve {
			checkProtocols(r, rows, run.rules.Report())
		}
	}
	r.AddChecks(above("criticality served", served[wayValve], served[wayPlainQueue]))
	return r, nil
}

// mixedRun is one way to serve the traffic.
type mixedRun struct {
	way     string
	rules   *standin.InvariantChecker
	cleanup cleanup
	callers map[string]standin.Caller // by protocol
	samples []standin.Sample
}

func (x *mixedRun) run(o Options, length time.Duration) error {
	defer x.cleanup.run()
	cores := standin.NewCores(mixedCores, 8)
	x.cleanup.add(cores.Close)
	if x.way == wayPlainQueue {
		x.startQueue(cores)
	} else if err := x.startServer(cores); err != nil {
		return err
	}
	for _, caller := range x.callers {
		x.cleanup.add(caller.Close)
	}
	plan := standin.LoadPlan{
		Rate:           mixedLoad * mixedCores * 1000 / mixedWork,
		Duration:       length,
		Callers:        3,
		Seed:           o.Seed,
		DuplicateShare: 0.2,
		Deadline:       time.Second + waitPastDeadline,
		Kinds: []standin.RequestKind{
			{Method: "account-view", Share: 0.5, MeanWorkMs: mixedWork},
			{Method: "settings-save", Share: 0.38, MeanWorkMs: mixedWork},
			{Method: "topup-buy", Share: 0.12, MeanWorkMs: mixedWork, WithToken: true},
		},
	}
	x.samples = plan.Run(context.Background(), x.callers, x.rules)
	return nil
}

// startQueue serves by a plain queue.
func (x *mixedRun) startQueue(cores *standin.Cores) {
	queue := newPlainQueue(func(request gate.RunRequest, done runDone) {
		x.rules.RecordRun(request.Method, request.Body)
		work, result := standin.WorkFromBody(request.Method, request.Body)
		cores.Run(work, func() { done(gate.Succeeded, work, nil, result) })
	}, mixedCores, 4*mixedCores)
	x.cleanup.add(queue.close)
	x.callers = map[string]standin.Caller{"msgpack": queueCaller{queue}, "uwsgi": queueCaller{queue}}
}

// startServer serves by a server of this build, and past it by an application server if the way is that.
func (x *mixedRun) startServer(cores *standin.Cores) error {
	engine, err := standin.NewEngine(cores, standin.WorkFromBody, x.rules)
	if err != nil {
		return err
	}
	x.cleanup.add(engine.Close)
	settings, err := methodSettings(mixedMethods, mixedCores)
	if err != nil {
		return err
	}
	settings.Limits.DisplaceableFor = mixedSettleMs
	server, err := startServer(settings, engine.Addr(), routedFile(mixedMethods))
	if err != nil {
		return err
	}
	x.cleanup.add(server.close)
	webAddress := server.webAddress
	if x.way == wayPastValve {
		app, err := standin.NewApp(cores, standin.WorkFromBody, x.rules)
		if err != nil {
			return err
		}
		x.cleanup.add(app.Stop)
		webAddress = app.Addr()
	}
	x.callers = map[string]standin.Caller{"msgpack": standin.NewRouter(server.rpcAddress), "uwsgi": standin.NewWebTier(webAddress, false)}
	return nil
}

// checkProtocols checks the valve's run. Its rows are one for each method and protocol, the protocols of a method in
// succession.
func checkProtocols(r *Report, rows []standin.SummaryRow, invariants standin.InvariantReport) {
	apart, rejectedP99 := 0.0, 0.0
	for i, row := range rows {
		if row.Method == "topup-buy" {
			r.AddChecks(atLeast("topup-buy in target by "+row.Protocol, row.OnTimeShare, 0.97))
		}
		if i%2 == 1 {
			apart = math.Max(apart, math.Abs(row.OnTimeShare-rows[i-1].OnTimeShare))
		}
		rejectedP99 = math.Max(rejectedP99, row.RejectedP99)
	}
	r.AddChecks(
		atMost("protocols apart", apart, 0.03),
		atMost("pushed back p99 ms", rejectedP99, 20),
		atMost("RPCs without an answer", float64(invariants.Unanswered), 0),
		atMost("RPCs with two", float64(invariants.AnsweredTwice), 0),
		atMost("second runs", float64(invariants.DuplicateRuns), 0),
		atMost("results changed", float64(len(invariants.Violations)), 0),
	)
}

// criticalityServed is the share of all criticality that was served, a late answer at what its method keeps.
func criticalityServed(samples []standin.Sample, methods []methodSpec) float64 {
	served, asked := 0.0, 0.0
	for _, sample := range samples {
		for _, m := range methods {
			if m.name != sample.Method {
				continue
			}
			asked += m.criticality
			switch {
			case sample.Outcome != standin.OK:
			case float64(sample.Latency)/1e6 <= m.targetMs:
				served += m.criticality
			default:
				served += m.criticality * m.lateShare
			}
		}
	}
	return served / math.Max(1, asked)
}

// chartOnTime is the share ok in target of each method, second by second.
func chartOnTime(way string, samples []standin.Sample) Chart {
	type tally struct{ ok, all float64 }
	bySecond := map[string]map[int]*tally{}
	last := 0
	for _, sample := range samples {
		second := int(sample.Offset / time.Second)
		last = max(last, second)
		if bySecond[sample.Method] == nil {
			bySecond[sample.Method] = map[int]*tally{}
		}
		t := bySecond[sample.Method][second]
		if t == nil {
			t = &tally{}
			bySecond[sample.Method][second] = t
		}
		t.all++
		if sample.Outcome == standin.OK && sample.Latency <= mixedTarget {
			t.ok++
		}
	}
	chart := Chart{Name: way, XLabel: "s", YLabel: "ok within the latency target"}
	for _, m := range mixedMethods {
		line := Line{Name: m.name}
		for second := range last + 1 {
			if t := bySecond[m.name][second]; t != nil {
				line.add(float64(second), t.ok/t.all)
			}
		}
		if len(line.Points) > 0 {
			chart.Lines = append(chart.Lines, line)
		}
	}
	return chart
}

// queueCaller calls the plain queue without any wire between, which is in the queue's favor.
type queueCaller struct{ queue *plainQueue }

// Close does nothing.
func (c queueCaller) Close() {}

// Call queues an RPC, and waits for its answer until ctx ends.
func (c queueCaller) Call(ctx context.Context, call standin.Call) standin.Reply {
	began := time.Now()
	replies := make(chan standin.Reply, 1)
	queued := c.queue.submit(gate.RunRequest{Method: call.Method, Body: call.Body}, call.Token, func(_ gate.Outcome, _ float64, _, result []byte) {
		replies <- standin.Reply{Body: result}
	})
	if !queued {
		return standin.Reply{Outcome: standin.Rejected, Latency: time.Since(began)}
	}
	select {
	case reply := <-replies:
		reply.Latency = time.Since(began)
		return reply
	case <-ctx.Done():
		return standin.Reply{Outcome: standin.Lost, Latency: time.Since(began)}
	}
}
