package daemon

// This file owns the demonstration: a stand-in engine and callers beside the server, in one process, so that the main
// job can be seen with nothing else at hand. It must never be part of a server that others use.

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/startup"
)

// demonstration is the configuration of the demonstration: a machine of four cores, two methods and a tokened one.
const demonstration = `{"name":"demo","listen":%q,"engine":%q,"members":%q,"seed":"1","stop_ms":3000,
"limits":{"cores":1,"memory_mb":64,"sockets":512},"settings":{"classes":[
{"name":"account-view","aim":500000000,"give_up":1500000000,"worth":1,"late_worth":0.2},
{"name":"settings-save","aim":500000000,"give_up":1500000000,"worth":1},
{"name":"topup-buy","aim":500000000,"give_up":1500000000,"worth":3,"idempotency":"idempotency_key","window":13584000000}],
"family_info":{"callers":3,"cores":4,"ram_kb":1000000,"run_factor":4,"key_kb":1,"heeded":1000000000,"idle":30000000000,
"meters":["core_use","on_cores"]},"client_habits":{"marks_retry":true},
"limits":{"retry_after":true,"max_retry_after":1000000000},"replicas_of_me":1,"tick":4000000,
"rules":{"answer_slack":80000000,"cold":1000000000,"drain_grace":500000000,"tip_multiple":8}}}`

// demoRate is 130% of what the stand-in engine can do: 4 cores, 40 ms of work for each RPC.
const demoRate, demoWork = 130.0, 40.0

// standIn starts the stand-ins and returns where the server gets its configuration from, and what ends them.
func startDemo() (load func() (Config, error), end func(), err error) {
	cores := standin.NewCores(4, 8)
	rules := standin.NewInvariantChecker("topup-buy")
	engine, err := standin.NewEngine(cores, standin.WorkFromBody, rules)
	if err != nil {
		return nil, nil, err
	}
	members, close, err := standin.StartMembershipService()
	if err != nil {
		return nil, nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	listen := ln.Addr().String()
	ln.Close()
	file, err := os.CreateTemp("", "sorrelvalve-*.json")
	if err != nil {
		return nil, nil, err
	}
	fmt.Fprintf(file, demonstration, listen, engine.Addr(), members)
	if err := file.Close(); err != nil {
		return nil, nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	go callers(ctx, listen, rules)
	end = func() {
		stop()
		engine.Close()
		close()
		os.Remove(file.Name())
	}
	return func() (Config, error) {
		p, err := startup.Load(func(key string) string {
			return map[string]string{"EDGE_CONFIG": file.Name()}[key]
		})
		return Config{Process: p}, err
	}, end, nil
}

// callers ask for more than the engine can do, and tell each second what came of it.
func callers(ctx context.Context, addr string, rules *standin.InvariantChecker) {
	time.Sleep(200 * time.Millisecond) // until the server listens
	router := standin.NewRouter(addr)
	defer router.Close()
	fmt.Printf("%8s  %-14s %6s %12s %8s %6s\n", "second", "method", "ok", "pushed back", "aborted", "p99 ms")
	for n := int64(1); ctx.Err() == nil; n++ {
		samples := standin.LoadPlan{
			Rate: demoRate, Duration: time.Second, Callers: 3, Seed: n, Deadline: 2 * time.Second,
			Kinds: []standin.RequestKind{{Method: "account-view", Share: 0.5, MeanWorkMs: demoWork}, {Method: "settings-save", Share: 0.38, MeanWorkMs: demoWork},
				{Method: "topup-buy", Share: 0.12, MeanWorkMs: demoWork, WithToken: true}},
		}.Run(ctx, map[string]standin.Caller{"msgpack": router}, rules)
		if ctx.Err() != nil {
			return
		}
		for _, row := range standin.Summarize(samples, false) {
			fmt.Printf("%8d  %-14s %6d %12d %8d %6.0f\n", n, row.Method, row.OK, row.Rejected, row.Aborted, row.P99)
		}
	}
}
