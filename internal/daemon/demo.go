package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/startup"
)

// This file has the demonstration: a stub engine and callers in the same process as the server, which show the server under
// overload without any other program. It must not be used in production.

// demoConfig is the configuration of the demonstration: a machine with four cores, two idempotent methods and one method
// with idempotency tokens. Its format verbs are the addresses of the server, the engine and the membership service.
const demoConfig = `{"name":"demo","listen":%q,"engine":%q,"members":%q,"seed":"1","stop_ms":3000,
"limits":{"cores":1,"memory_mb":64,"sockets":512},"settings":{"classes":[
{"name":"account-view","aim":500000000,"give_up":1500000000,"worth":1,"late_worth":0.2},
{"name":"settings-save","aim":500000000,"give_up":1500000000,"worth":1},
{"name":"topup-buy","aim":500000000,"give_up":1500000000,"worth":3,"idempotency":"idempotency_key","window":13584000000}],
"family_info":{"callers":3,"cores":4,"ram_kb":1000000,"run_factor":4,"key_kb":1,"heeded":1000000000,"idle":30000000000,
"meters":["core_use","on_cores"]},"client_habits":{"marks_retry":true},
"limits":{"retry_after":true,"max_retry_after":1000000000},"replicas_of_me":1,"tick":4000000,
"rules":{"answer_slack":80000000,"cold":1000000000,"drain_grace":500000000,"tip_multiple":8}}}`

// The load of the demonstration is 130% of the capacity of the stub engine.
const (
	demoCores    = 4
	demoMaxRuns  = 8     // per core
	demoRate     = 130.0 // RPCs per second
	demoWorkMs   = 40.0  // mean work of an RPC
	demoCallers  = 3
	demoDeadline = 2 * time.Second
	demoDelay    = 200 * time.Millisecond // until the server listens
)

// startDemo starts the stubs and callers. It returns the loader of the server's configuration and a function that ends them.
func startDemo() (load loader, end func(), err error) {
	cores := standin.NewCores(demoCores, demoMaxRuns)
	checker := standin.NewInvariantChecker("topup-buy")
	engine, err := standin.NewEngine(cores, standin.WorkFromBody, checker)
	if err != nil {
		return nil, nil, err
	}
	members, closeMembers, err := standin.StartMembershipService()
	if err != nil {
		return nil, nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, nil, err
	}
	path, err := writeDemoConfig(listen, engine.Addr(), members)
	if err != nil {
		return nil, nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	go runDemoCallers(ctx, listen, checker) // ends shortly after stop, at the latest with the process
	end = func() {
		stop()
		engine.Close()
		closeMembers()
		_ = os.Remove(path) // a temporary file
	}
	load = func() (Config, error) {
		p, err := startup.Load(func(key string) string { return map[string]string{"EDGE_CONFIG": path}[key] })
		return Config{Process: p}, err
	}
	return load, end, nil
}

// freeAddress returns a loopback address that was free when it was checked.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// writeDemoConfig writes the configuration to a temporary file and returns its path.
func writeDemoConfig(listen, engine, members string) (path string, err error) {
	file, err := os.CreateTemp("", "sorrelvalve-*.json")
	if err != nil {
		return "", err
	}
	_, err = fmt.Fprintf(file, demoConfig, listen, engine, members)
	return file.Name(), errors.Join(err, file.Close())
}

// runDemoCallers sends more load than the engine can serve, and prints the outcomes of each second by method.
func runDemoCallers(ctx context.Context, addr string, checker *standin.InvariantChecker) {
	time.Sleep(demoDelay)
	router := standin.NewRouter(addr)
	defer router.Close()
	fmt.Printf("%8s  %-14s %6s %12s %8s %6s\n", "second", "method", "ok", "pushed back", "aborted", "p99 ms")
	for second := int64(1); ctx.Err() == nil; second++ {
		plan := standin.LoadPlan{
			Rate: demoRate, Duration: time.Second, Callers: demoCallers, Seed: second, Deadline: demoDeadline,
			Kinds: []standin.RequestKind{
				{Method: "account-view", Share: 0.5, MeanWorkMs: demoWorkMs},
				{Method: "settings-save", Share: 0.38, MeanWorkMs: demoWorkMs},
				{Method: "topup-buy", Share: 0.12, MeanWorkMs: demoWorkMs, WithToken: true},
			},
		}
		samples := plan.Run(ctx, map[string]standin.Caller{"msgpack": router}, checker)
		if ctx.Err() != nil {
			return
		}
		for _, row := range standin.Summarize(samples, false) {
			fmt.Printf("%8d  %-14s %6d %12d %8d %6.0f\n", second, row.Method, row.OK, row.Rejected, row.Aborted, row.P99)
		}
	}
}
