package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"sync"
	"time"

	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/store"
)

const (
	durableBuyers       = 16
	maxPurchaseAttempts = 12
	wantedAnswers       = 2  // ok for each purchase: the first, and a repeat
	maxLookups          = 50 // of a purchase after the last restart: a fresh server rejects until its engine has answered
	durableCores        = 16
	purchaseWork        = 15.0 // ms
	serverReady         = "serves"
)

var durableMethods = []methodSpec{
	{name: "account-view", targetMs: 400, deadlineMs: 1000, criticality: 1, lateShare: 0.2},
	{name: "topup-buy", targetMs: 400, deadlineMs: 1000, criticality: 3, idempotencyKeyed: true, windowMs: 60000},
}

func durableLimits() store.Limits {
	return store.Limits{MaxBytes: 64 << 20, SegmentBytes: 256 << 10, MaxResultBytes: 4 << 10, MaxWindow: 61000, ClockTolerance: 2000}
}

// unixMs is the time of the store's clock.
func unixMs() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// StoreServer serves with a durable store until it is killed or its standard input ends. It is the process of the
// experiment durable-kill.
func StoreServer(dir, engine, rpcAddress, webAddress string) (err error) {
	files, err := store.OpenDir(dir)
	if err != nil {
		return err
	}
	tokens, err := store.Open(files, durableLimits(), "node", unixMs, func(text string, err error) { fmt.Fprintln(os.Stderr, text, err) })
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, tokens.Close()) }()
	settings, err := methodSettings(durableMethods, durableCores)
	if err != nil {
		return err
	}
	server, err := startServerAt(settings, engine, routedFile(durableMethods), store.TokenStore{Store: tokens}, rpcAddress, webAddress)
	if err != nil {
		return err
	}
	defer server.close()
	fmt.Println(serverReady)
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// purchase is one token and what its attempts were answered.
type purchase struct {
	token string

	mu          sync.Mutex
	answer      string // the first that was ok
	oks         int
	contradicts string // an answer that contradicts it
}

// attempt buys by one caller.
func (p *purchase) attempt(caller standin.Caller, retry bool) standin.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	reply := caller.Call(ctx, standin.Call{Method: "topup-buy", Token: p.token, Body: []byte(p.token), Caller: 1, Retry: retry})
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case reply.Outcome == standin.OK && p.answer == "":
		p.answer = string(reply.Body)
		p.oks = 1
	case reply.Outcome == standin.OK && p.answer == string(reply.Body):
		p.oks++
	case reply.Outcome == standin.OK, reply.Outcome == standin.Aborted && p.answer != "":
		p.contradicts = reply.Reason + string(reply.Body)
	}
	return reply
}

// killExperiment is durable-kill: a real process with a durable store that is killed at random under repeated purchases
// by both protocols. Effects are counted at the engine, which outlives the process, and nowhere else.
type killExperiment struct {
	options Options
	report  *Report
	cleanup cleanup
	kills   int

	rules      *standin.InvariantChecker
	server     *childProcess
	rpcAddress string
	webAddress string
	starting   time.Duration // in which the server was started again, in all

	stopBuyers func() // waits for them
	mu         sync.Mutex
	purchases  []*purchase
	outcomes   map[standin.Outcome]int

	answeredOK   int // purchases
	notFound     int // of these, after the last restart
	contradicted int // purchases with an answer that contradicts the first
}

// DurableKill is the experiment durable-kill.
func DurableKill(o Options) (*Report, error) {
	x := &killExperiment{
		options: o,
		report: &Report{Name: "durable-kill", Header: []string{"kills", "purchases", "told ok", "tries ok", "pushed back", "aborted", "lost with the process",
			"runs twice", "start ms"}},
		kills:    200,
		rules:    standin.NewInvariantChecker("topup-buy"),
		outcomes: map[standin.Outcome]int{},
	}
	if o.Quick {
		x.kills = 20
	}
	defer x.cleanup.run()
	err := runSteps([]step{
		{"start the server", x.startServer},
		{"start the buyers", x.startBuyers},
		{"kill the server again and again", x.killServer},
		{"look the purchases up", x.findPurchases},
		{"report the purchases", x.reportPurchases},
	})
	return x.report, err
}

func (x *killExperiment) startServer() error {
	dir, err := os.MkdirTemp("", "durable-*")
	if err != nil {
		return err
	}
	x.cleanup.add(func() { _ = os.RemoveAll(dir) }) // a temporary folder that stays does no harm
	cores := standin.NewCores(durableCores, 0)
	x.cleanup.add(cores.Close)
	buy := func(_ string, body []byte) (float64, []byte) { return purchaseWork, append([]byte("bought "), body...) }
	engine, err := standin.NewEngine(cores, buy, x.rules)
	if err != nil {
		return err
	}
	x.cleanup.add(engine.Close)
	if x.rpcAddress, err = freeLoopbackAddress(); err != nil {
		return err
	}
	if x.webAddress, err = freeLoopbackAddress(); err != nil {
		return err
	}
	x.server = &childProcess{args: []string{"node", dir, engine.Addr(), x.rpcAddress, x.webAddress}}
	if err := x.restart(); err != nil {
		return err
	}
	x.cleanup.add(x.server.kill)
	return nil
}

// restart starts the server, which does not run.
func (x *killExperiment) restart() error {
	ready, err := x.server.start()
	if err != nil {
		return err
	}
	if ready != serverReady {
		x.server.kill()
		return fmt.Errorf("the node did not start: %q", ready)
	}
	return nil
}

func (x *killExperiment) startBuyers() error {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for buyer := range durableBuyers {
		running.Go(func() { x.buy(ctx, buyer) })
	}
	x.stopBuyers = func() {
		cancel()
		running.Wait()
	}
	x.cleanup.add(x.stopBuyers)
	return nil
}

// buy is one buyer, who repeats each purchase over either protocol until it is answered ok, and then once more.
func (x *killExperiment) buy(ctx context.Context, buyer int) {
	callers := []standin.Caller{standin.NewRouter(x.rpcAddress), standin.NewWebTier(x.webAddress, false)}
	defer callers[0].Close()
	random := rand.New(rand.NewSource(x.options.Seed*1000 + int64(buyer)))
	for i := 0; ; i++ {
		p := &purchase{token: fmt.Sprintf("w%d-%d", buyer, i)}
		x.mu.Lock()
		x.purchases = append(x.purchases, p)
		x.mu.Unlock()
		for attempt := 0; attempt < maxPurchaseAttempts && p.oks < wantedAnswers; attempt++ {
			if ctx.Err() != nil {
				return
			}
			reply := p.attempt(callers[random.Intn(2)], attempt > 0)
			x.mu.Lock()
			x.outcomes[reply.Outcome]++
			x.mu.Unlock()
			if reply.Outcome != standin.OK {
				time.Sleep(time.Duration(5+random.Intn(40)) * time.Millisecond)
			}
		}
	}
}

// killServer kills the server at random times, and starts it again each time.
func (x *killExperiment) killServer() error {
	random := rand.New(rand.NewSource(x.options.Seed))
	for range x.kills {
		time.Sleep(time.Duration(20+random.Intn(400)) * time.Millisecond)
		x.server.kill()
		began := time.Now()
		if err := x.restart(); err != nil {
			return err
		}
		x.starting += time.Since(began)
	}
	x.stopBuyers()
	return nil
}

// findPurchases looks for every purchase that was answered ok, after one more restart.
func (x *killExperiment) findPurchases() error {
	x.server.kill()
	if err := x.restart(); err != nil {
		return err
	}
	router := standin.NewRouter(x.rpcAddress)
	defer router.Close()
	for _, p := range x.purchases {
		if p.contradicts != "" {
			x.contradicted++
		}
		if p.oks == 0 {
			continue
		}
		x.answeredOK++
		if !found(router, p) {
			x.notFound++
		}
	}
	return nil
}

// found reports whether a purchase gets the same answer as its first attempt that was ok.
func found(caller standin.Caller, p *purchase) bool {
	reply := p.attempt(caller, true)
	for range maxLookups {
		if reply.Outcome != standin.Rejected && reply.Outcome != standin.Lost {
			break
		}
		time.Sleep(20 * time.Millisecond)
		reply = p.attempt(caller, true)
	}
	return reply.Outcome == standin.OK && string(reply.Body) == p.answer
}

func (x *killExperiment) reportPurchases() error {
	r := x.report
	duplicates := x.rules.Report().DuplicateRuns
	r.AddRow(x.kills, len(x.purchases), x.answeredOK, x.outcomes[standin.OK], x.outcomes[standin.Rejected], x.outcomes[standin.Aborted], x.outcomes[standin.Lost],
		duplicates, float64(x.starting.Milliseconds())/float64(x.kills))
	r.AddChecks(
		atMost("double runs", float64(duplicates), 0),
		atMost("answers that contradict the first", float64(x.contradicted), 0),
		atMost("told ok and not found after the restart", float64(x.notFound), 0),
		atLeast("purchases told ok", float64(x.answeredOK), float64(x.kills)),
	)
	return nil
}
