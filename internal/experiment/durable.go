package experiment

// This file owns the experiments on the durable store: a real process that is killed at random under repeated purchases,
// and what the store costs. It must never count an effect anywhere but at the engine, which outlives the process.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/store"
)

var durableMethods = []Method{
	{Name: "account-view", Target: 400, Deadline: 1000, Criticality: 1, Late: 0.2},
	{Name: "topup-buy", Target: 400, Deadline: 1000, Criticality: 3, Tokened: true, Window: 60000},
}

func durableBounds() store.Limits {
	return store.Limits{MaxBytes: 64 << 20, SegmentBytes: 256 << 10, MaxResultBytes: 4 << 10, MaxWindow: 61000, ClockTolerance: 2000}
}

// StoreServer serves with a durable store until it is killed or its standard input ends.
func StoreServer(dir, engine, rpc, web string) error {
	fs, err := store.OpenDir(dir)
	if err != nil {
		return err
	}
	s, err := store.Open(fs, durableBounds(), "node", func() float64 { return float64(time.Now().UnixNano()) / 1e6 },
		func(text string, err error) { fmt.Fprintln(os.Stderr, text, err) })
	if err != nil {
		return err
	}
	settings, err := Settings(durableMethods, 16)
	if err != nil {
		return err
	}
	srv, err := NewKeptServer(settings, engine, File(durableMethods), store.TokenStore{Store: s}, rpc, web)
	if err != nil {
		return err
	}
	fmt.Println("serves")
	io.Copy(io.Discard, os.Stdin)
	srv.Close()
	return s.Close()
}

// freeAddr is one that nothing listens on just now.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// node is a process that is started and killed.
type node struct {
	args []string
	cmd  *exec.Cmd
	in   io.WriteCloser
}

func (n *node) start() error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	n.cmd = exec.Command(own, n.args...)
	n.cmd.Stderr = os.Stderr
	if n.in, err = n.cmd.StdinPipe(); err != nil {
		return err
	}
	out, err := n.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil || strings.TrimSpace(line) != "serves" {
		n.kill()
		return fmt.Errorf("the node did not start: %q, %w", line, err)
	}
	return nil
}

func (n *node) kill() {
	n.cmd.Process.Kill()
	n.cmd.Wait()
}

// purchase is one token and what its tries were told.
type purchase struct {
	token string
	mu    sync.Mutex
	ok    string // the answer that was told first
	oks   int
	bad   string // an answer that contradicts it
}

// DurableKill is the experiment durable-kill.
func DurableKill(o Options) (*Report, error) {
	kills := 200
	if o.Quick {
		kills = 20
	}
	dir, err := os.MkdirTemp("", "durable-*")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	rules := standin.NewInvariantChecker("topup-buy")
	cores := standin.NewCores(16, 0)
	defer cores.Close()
	engine, err := standin.NewEngine(cores, func(_ string, body []byte) (float64, []byte) { return 15, append([]byte("bought "), body...) }, rules)
	if err != nil {
		return nil, err
	}
	defer engine.Close()
	var addrs [2]string
	for i := range addrs {
		if addrs[i], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	n := &node{args: []string{"node", dir, engine.Addr(), addrs[0], addrs[1]}}
	if err := n.start(); err != nil {
		return nil, err
	}
	defer func() { n.kill() }()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*purchase
	counts := map[standin.Outcome]int{}
	for w := range 16 { // buyers, each of whom repeats a purchase over either protocol until it is told ok, and then once more
		wg.Add(1)
		go func() {
			defer wg.Done()
			callers := []standin.Caller{standin.NewRouter(addrs[0]), standin.NewWebTier(addrs[1], false)}
			defer callers[0].Close()
			chance := rand.New(rand.NewSource(o.Seed*1000 + int64(w)))
			for i := 0; ; i++ {
				p := &purchase{token: fmt.Sprintf("w%d-%d", w, i)}
				mu.Lock()
				all = append(all, p)
				mu.Unlock()
				for try := 0; try < 12 && p.oks < 2; try++ {
					select {
					case <-stop:
						return
					default:
					}
					r := buy(callers[chance.Intn(2)], p, try > 0)
					mu.Lock()
					counts[r.Outcome]++
					mu.Unlock()
					if r.Outcome != standin.OK {
						time.Sleep(time.Duration(5+chance.Intn(40)) * time.Millisecond)
					}
				}
			}
		}()
	}
	chance := rand.New(rand.NewSource(o.Seed))
	down := time.Duration(0)
	for range kills {
		time.Sleep(time.Duration(20+chance.Intn(400)) * time.Millisecond)
		n.kill()
		began := time.Now()
		if err := n.start(); err != nil {
			close(stop)
			wg.Wait()
			return nil, err
		}
		down += time.Since(began)
	}
	close(stop)
	wg.Wait()
	// Every purchase that was told ok must be found, after one more restart.
	n.kill()
	if err := n.start(); err != nil {
		return nil, err
	}
	router := standin.NewRouter(addrs[0])
	defer router.Close()
	told, missing, contradicted := 0, 0, 0
	for _, p := range all {
		if p.bad != "" {
			contradicted++
		}
		if p.oks == 0 {
			continue
		}
		told++
		for try := 0; ; try++ { // a fresh server pushes back until its engine has answered
			r := buy(router, p, true)
			if r.Outcome == standin.Rejected || r.Outcome == standin.Lost {
				if try < 50 {
					time.Sleep(20 * time.Millisecond)
					continue
				}
			}
			if r.Outcome != standin.OK || string(r.Body) != p.ok {
				missing++
			}
			break
		}
	}
	v := rules.Report()
	r := &Report{Name: "durable-kill", Header: []string{"kills", "purchases", "told ok", "tries ok", "pushed back", "aborted", "lost with the process", "runs twice", "start ms"}}
	r.AddRow(kills, len(all), told, counts[standin.OK], counts[standin.Rejected], counts[standin.Aborted], counts[standin.Lost], v.DuplicateRuns, float64(down.Milliseconds())/float64(kills))
	r.AddChecks(atMost("double runs", float64(v.DuplicateRuns), 0))
	r.AddChecks(atMost("answers that contradict the first", float64(contradicted), 0))
	r.AddChecks(atMost("told ok and not found after the restart", float64(missing), 0))
	r.AddChecks(atLeast("purchases told ok", float64(told), float64(kills)))
	return r, nil
}

func buy(c standin.Caller, p *purchase, again bool) standin.Reply {
	ctx, end := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer end()
	r := c.Call(ctx, standin.Call{Method: "topup-buy", Token: p.token, Body: []byte(p.token), Caller: 1, Retry: again})
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case r.Outcome == standin.OK && p.ok == "":
		p.ok, p.oks = string(r.Body), 1
	case r.Outcome == standin.OK && p.ok == string(r.Body):
		p.oks++
	case r.Outcome == standin.OK, r.Outcome == standin.Aborted && p.ok != "":
		p.bad = r.Reason + string(r.Body)
	}
	return r
}

// DurableCost is the experiment durable-cost: 500 tokened RPCs a second and as many idempotent ones, with the store off,
// on this machine's disk, and on one whose writes and syncs take 20 ms.
func DurableCost(o Options) (*Report, error) {
	length := 20 * time.Second
	if o.Quick {
		length = 8 * time.Second
	}
	r := &Report{Name: "durable-cost", Header: []string{"store", "method", "RPCs", "ok", "ok a second", "pushed back", "aborted", "p50 ms", "p99 ms", "syncs", "records a sync", "sync ms"}}
	type figures struct{ perSecond, p99 map[string]float64 }
	got := map[string]figures{}
	for _, way := range []string{"off", "on", "slow disk"} {
		cores := standin.NewCores(64, 0)
		rules := standin.NewInvariantChecker("topup-buy")
		engine, err := standin.NewEngine(cores, standin.WorkFromBody, rules)
		if err != nil {
			return nil, err
		}
		settings, err := Settings(durableMethods, 64)
		if err != nil {
			return nil, err
		}
		var keeper gate.TokenStore
		var s *store.Store
		timed := &timedFS{}
		if way != "off" {
			dir, err := os.MkdirTemp("", "durable-*")
			if err != nil {
				return nil, err
			}
			defer os.RemoveAll(dir)
			if timed.FS, err = store.OpenDir(dir); err != nil {
				return nil, err
			}
			if way == "slow disk" {
				timed.slow = 20 * time.Millisecond
			}
			s, err = store.Open(timed, durableBounds(), "node", func() float64 { return float64(time.Now().UnixNano()) / 1e6 }, func(string, error) {})
			if err != nil {
				return nil, err
			}
			keeper = store.TokenStore{Store: s}
		}
		srv, err := NewKeptServer(settings, engine.Addr(), File(durableMethods), keeper, "127.0.0.1:0", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		router, web := standin.NewRouter(srv.RPC), standin.NewWebTier(srv.Web, true)
		samples := standin.LoadPlan{
			Rate: 1000, Duration: length, Callers: 3, Seed: o.Seed, Deadline: 1300 * time.Millisecond,
			Kinds: []standin.RequestKind{{Method: "account-view", Share: 0.5, MeanWorkMs: 10}, {Method: "topup-buy", Share: 0.5, MeanWorkMs: 10, WithToken: true}},
		}.Run(context.Background(), map[string]standin.Caller{"msgpack": router, "uwsgi": web}, rules)
		router.Close()
		web.Close()
		srv.Close()
		engine.Close()
		cores.Close()
		var st store.Status
		if s != nil {
			st = s.Status()
			s.Close()
		}
		f := figures{map[string]float64{}, map[string]float64{}}
		for _, row := range standin.Summarize(samples, false) {
			f.perSecond[row.Method], f.p99[row.Method] = float64(row.OK)/length.Seconds(), row.P99
			r.AddRow(way, row.Method, row.Calls, row.OK, f.perSecond[row.Method], row.Rejected, row.Aborted, row.P50, row.P99,
				st.Syncs, float64(st.Records)/max(1, float64(st.Syncs)), timed.mean())
		}
		got[way] = f
	}
	for _, way := range []string{"on", "slow disk"} {
		r.AddChecks(atMost("idempotent p99, "+way+" over off", got[way].p99["account-view"]/got["off"].p99["account-view"], 1.1))
	}
	r.AddChecks(atLeast("tokened ok a second, on over off", got["on"].perSecond["topup-buy"]/got["off"].perSecond["topup-buy"], 0.8))
	return r, nil
}

// timedFS measures syncs, and slows a disk down.
type timedFS struct {
	store.FS
	slow time.Duration
	mu   sync.Mutex
	n    int
	took time.Duration
}

func (t *timedFS) Create(name string) (store.File, error) {
	f, err := t.FS.Create(name)
	return timedFile{f, t}, err
}

func (t *timedFS) mean() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.took.Microseconds()) / 1000 / float64(max(1, t.n))
}

type timedFile struct {
	store.File
	t *timedFS
}

func (f timedFile) Sync() error {
	began := time.Now()
	time.Sleep(f.t.slow)
	err := f.File.Sync()
	f.t.mu.Lock()
	defer f.t.mu.Unlock()
	f.t.n++
	f.t.took += time.Since(began)
	return err
}
