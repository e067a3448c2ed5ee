package experiment

// This file owns the experiment fleet-drain: a whole fleet of processes drained one after another by permits, under load, with
// faults at the keepers and between the servers, beside the same fleet without drains. It must never take a keeper's word for
// who was out: that is read from the servers' own logs.

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/fleetsim"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/permitclient"
	"sorrelvalve/internal/permitserver"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/standin/script"
	"sorrelvalve/internal/testbed"
)

const (
	drainServers = 6
	drainLimit   = 1.0
	drainLoad    = 0.7 // of what all can do
	drainWork    = 20.0
)

// PermitServer is a keeper as a process of the experiment: its name, its folder, and NAME,RAFT,HTTP of each.
func PermitServer(name, dir string, fresh bool, peers []string) error {
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	o := permitserver.Options{Name: name, Dir: dir, New: fresh, Log: logrus.NewEntry(log)}
	listen := ""
	for _, s := range peers {
		f := strings.Split(s, ",")
		o.Peers = append(o.Peers, permitserver.Peer{Name: f[0], Raft: f[1], HTTP: f[2]})
		if f[0] == name {
			listen = f[2]
		}
	}
	k, err := permitserver.Start(o)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	return k.Serve(ln)
}

// keepers are three processes.
type keepers struct {
	dir   string
	names []string
	peers []string
	http  []string
	mu    sync.Mutex
	procs map[string]*exec.Cmd
}

func newKeepers(dir string) (*keepers, error) {
	k := &keepers{dir: dir, procs: map[string]*exec.Cmd{}}
	for i := range 3 {
		var addrs [2]string
		for j := range addrs {
			// Of an IP address of its own: what calls from 127.0.0.1 takes ports there at any time.
			ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+rand.Intn(200), rand.Intn(256), 1+rand.Intn(250)))
			if err != nil {
				return nil, err
			}
			addrs[j] = ln.Addr().String()
			ln.Close()
		}
		name := fmt.Sprint("k", i)
		k.names, k.peers, k.http = append(k.names, name), append(k.peers, name+","+addrs[0]+","+addrs[1]), append(k.http, addrs[1])
	}
	for _, name := range k.names {
		if err := k.start(name, true); err != nil {
			return k, err
		}
	}
	return k, nil
}

func (k *keepers) start(name string, fresh bool) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	args := []string{"keeper-server", name, filepath.Join(k.dir, name)}
	if fresh {
		args = append(args, "--new")
	}
	c := exec.Command(own, append(args, k.peers...)...)
	if err := c.Start(); err != nil {
		return err
	}
	k.mu.Lock()
	k.procs[name] = c
	k.mu.Unlock()
	return nil
}

func (k *keepers) kill(name string) {
	k.mu.Lock()
	c := k.procs[name]
	delete(k.procs, name)
	k.mu.Unlock()
	if c != nil {
		c.Process.Signal(syscall.SIGCONT)
		c.Process.Kill()
		c.Wait()
	}
}

func (k *keepers) signal(name string, s syscall.Signal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.procs[name]; c != nil {
		c.Process.Signal(s)
	}
}

func (k *keepers) close() {
	for _, name := range k.names {
		k.kill(name)
	}
}

// spread is a caller that goes from server to server, and on where one did not take its RPC.
type spread struct {
	routers []*standin.Router
	next    atomic.Uint64
	lost    atomic.Int64 // RPCs that a server had read, and whose connection ended without an answer
	killed  atomic.Int64 // such whose server was killed meanwhile
	kills   []atomic.Int64
	avoid   []atomic.Int64
}

func newSpread(b *testbed.Bed) *spread {
	s := &spread{avoid: make([]atomic.Int64, len(b.Names)), kills: make([]atomic.Int64, len(b.Names))}
	for _, name := range b.Names {
		s.routers = append(s.routers, standin.NewRouter(b.Listen(name)))
	}
	return s
}

// Call tries up to three servers.
func (s *spread) Call(ctx context.Context, c standin.Call) (r standin.Reply) {
	began := time.Now()
	c.Door = began
	for try := range 3 {
		at := int(s.next.Add(1)) % len(s.routers)
		for range s.routers {
			if time.Now().UnixNano() >= s.avoid[at].Load() {
				break
			}
			at = (at + 1) % len(s.routers)
		}
		c.Retry = try > 0
		r = s.routers[at].Call(ctx, c)
		r.Took = time.Since(began)
		switch {
		case r.Outcome == standin.PushedBack:
			s.avoid[at].Store(time.Now().Add(200 * time.Millisecond).UnixNano())
			continue
		case r.Outcome == standin.Lost && strings.Contains(r.Why, "refused"):
			s.avoid[at].Store(time.Now().Add(500 * time.Millisecond).UnixNano())
			continue
		case r.Outcome == standin.Lost && ctx.Err() == nil && time.Since(time.Unix(0, s.kills[at].Load())) < killedWithin:
			s.killed.Add(1) // kill -9 takes what it had in hand with it
		case r.Outcome == standin.Lost && ctx.Err() == nil:
			s.lost.Add(1)
		}
		return r
	}
	return r
}

// killedWithin is more than a deadline: by then what was in hand at a kill has ended.
const killedWithin = 1500 * time.Millisecond

// Close ends its connections.
func (s *spread) Close() {
	for _, r := range s.routers {
		r.Close()
	}
}

// FleetDrain is the experiment.
func FleetDrain(o Options) (*Report, error) {
	r := &Report{Name: "fleet-drain", Header: []string{"what", "value", "beside"}}
	rounds, bound := 1, 30*time.Second
	if !o.Quick {
		rounds, bound = 4, 60*time.Second
	}
	dir, err := os.MkdirTemp("", "keep")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	k, err := newKeepers(dir)
	if k != nil {
		defer k.close()
	}
	if err != nil {
		return nil, err
	}
	serve, err := fleetServe()
	if err != nil {
		return nil, err
	}
	client := permitclient.New(k.http)
	defer client.Close()
	var servers []permit.Server
	for _, name := range fleetsim.Names(drainServers) {
		servers = append(servers, permit.Server{Name: name})
	}
	apps, addrs, endApps, err := drainApps()
	if err != nil {
		return nil, err
	}
	defer endApps()
	var members []permit.Member
	for _, addr := range addrs {
		members = append(members, permit.Member{Pool: "apps", Name: addr})
	}
	ctx, end := context.WithTimeout(context.Background(), time.Duration(rounds)*bound+2*longest)
	defer end()
	if a, err := client.Do(ctx, permit.Command{ID: "roster", Kind: permit.Configure, Servers: servers, Members: members,
		Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: drainLimit}, Pools: map[string]permit.Limit{"apps": {MaxCount: 1}}}}); err != nil || !a.OK {
		return nil, fmt.Errorf("roster: %+v %v", a, err)
	}
	beds := make([]*testbed.Bed, 2) // with drains, and without
	rules := []*standin.Rules{standin.NewRules("topup-buy"), standin.NewRules("topup-buy")}
	for i := range beds {
		opt := testbed.Options{Names: fleetsim.Names(drainServers), Seed: o.Seed + int64(i), Cores: 2, Set: fleetSettings, Rules: rules[i], Serve: func() testbed.Command { return serve }}
		mine := addrs
		if i == 1 { // its own: what is drained in the one is in use in the other
			_, others, endOthers, err := drainApps()
			if err != nil {
				return nil, err
			}
			defer endOthers()
			mine = others
		}
		p := Pool(mine...)
		p.MaxQueued, p.RecoveryMs = 0, 2000
		opt.File = operator.File{Pools: map[string]operator.Pool{"apps": p}, Methods: map[string]operator.Method{"settings-save": {Pool: "apps", Path: "/settings", Verb: "POST"}}}
		if i == 0 {
			opt.Keepers = k.http
		}
		if beds[i], err = testbed.New(opt); err != nil {
			return nil, err
		}
		defer beds[i].Close()
		if err := beds[i].StartAll(); err != nil {
			return nil, err
		}
	}
	for _, b := range beds {
		if err := b.Await(longest, b.Names, testbed.Hears("whole", drainServers)); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second) // ramps
	loading, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var load sync.WaitGroup
	var worth, all [2]float64
	callers := make([]*spread, 2)
	for i, b := range beds {
		callers[i] = newSpread(b)
		defer callers[i].Close()
		load.Go(func() {
			samples := standin.Plan{Rate: drainLoad * drainServers * 2 * 1000 / drainWork, For: time.Hour, Callers: 3, Seed: o.Seed, Deadline: 1200 * time.Millisecond, Kinds: []standin.Kind{
				{Method: "account-view", Share: 0.5, Work: drainWork}, {Method: "settings-save", Share: 0.35, Work: drainWork}, {Method: "topup-buy", Share: 0.15, Work: drainWork, Tokened: true},
			}}.Run(loading, map[string]standin.Caller{"msgpack": callers[i]}, rules[i])
			for _, s := range samples {
				w := 1.0
				if s.Method == "topup-buy" {
					w = 3
				}
				if s.Outcome == standin.Lost && s.Why == context.Canceled.Error() {
					continue // the load's own end
				}
				if all[i] += w; s.Outcome == standin.OK && s.Took <= 400*time.Millisecond {
					worth[i] += w
				} else if s.Outcome == standin.OK {
					worth[i] += 0.2 * w
				}
			}
		})
	}
	// What supervises: a server that has ended is started again.
	b := beds[0]
	watch, endWatch := context.WithCancel(ctx)
	defer endWatch()
	var beside sync.WaitGroup
	for _, name := range b.Names {
		beside.Go(func() {
			for watch.Err() == nil {
				if !b.Procs.Runs(name) && !b.Procs.Alive(name) {
					b.Procs.Start(name)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	// Servers killed now and then, one at the same place in both beds, and started again by what supervises, here too without drains.
	var downs struct {
		sync.Mutex
		all []down
	}
	for _, name := range beds[1].Names {
		beside.Go(func() {
			for watch.Err() == nil {
				if !beds[1].Procs.Alive(name) {
					beds[1].Procs.Start(name)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	beside.Go(func() {
		chance := rand.New(rand.NewSource(o.Seed))
		for watch.Err() == nil {
			select {
			case <-watch.Done():
				return
			case <-time.After(killEvery):
			}
			i := chance.Intn(drainServers)
			for k, b := range beds {
				if b.Procs.Alive(b.Names[i]) {
					callers[k].kills[i].Store(time.Now().UnixNano())
					at := time.Now()
					b.Procs.Kill(b.Names[i])
					if k == 0 {
						downs.Lock()
						downs.all = append(downs.all, down{b.Names[i], at})
						downs.Unlock()
					}
				}
			}
		}
	})
	// Halts by hand, by way of any server: how soon all that are heard know.
	var halts []span
	var halted []float64
	var haltErr error
	beside.Go(func() {
		for i := 0; watch.Err() == nil && haltErr == nil; i++ {
			select {
			case <-watch.Done():
				return
			case <-time.After(haltEvery):
			}
			at := b.Names[(5*i+1)%drainServers]
			if !b.Procs.Runs(at) {
				continue
			}
			if fleet.Drain(watch, b.Socket(at), "what=halt&who=lab&why=look") != nil {
				continue // its keepers or itself were lost meanwhile: asked again in a while
			}
			began := time.Now()
			known := func(name string) bool {
				s, err := b.View(name)
				return err != nil || s.Drain == nil || !s.Drain.Keepers || s.Drain.Halted == "look" // not heard by keepers: before its next beginning
			}
			for slices.ContainsFunc(b.Names, func(name string) bool { return !known(name) }) && time.Since(began) < 10*time.Second && watch.Err() == nil {
				time.Sleep(20 * time.Millisecond)
			}
			halted = append(halted, time.Since(began).Seconds())
			time.Sleep(time.Second)
			to := time.Now()
			for watch.Err() == nil && fleet.Drain(watch, b.Socket(b.Names[i%drainServers]), "what=resume&who=lab&why=seen") != nil {
				time.Sleep(100 * time.Millisecond)
			}
			halts = append(halts, span{began, to})
		}
	})
	// A member of the pool below drained now and then, and taken back.
	var below struct{ drains, after, took float64 }
	beside.Go(func() {
		for i := 0; watch.Err() == nil; i++ {
			m := i % len(apps)
			by := func(what string) error {
				for _, name := range b.Names {
					if b.Procs.Runs(name) {
						return fleet.Drain(watch, b.Socket(name), "who=lab&why=disk&what="+what+"&subject=apps/"+addrs[m])
					}
				}
				return errors.New("no server runs")
			}
			if by("drain") == nil {
				began := time.Now()
				done := func() bool {
					st, err := client.State(watch)
					return err == nil && slices.ContainsFunc(st.Drains, func(d permit.DrainStatus) bool {
						return d.Subject == "apps/"+addrs[m] && d.Done && len(d.Unreachable) == 0
					})
				}
				for !done() && watch.Err() == nil && time.Since(began) < 10*time.Second {
					time.Sleep(50 * time.Millisecond)
				}
				if took := time.Since(began).Seconds(); took < 10 && watch.Err() == nil {
					downs.Lock()
					kills := len(downs.all)
					downs.Unlock()
					was := apps[m].Taken()
					time.Sleep(700 * time.Millisecond)
					after := float64(apps[m].Taken() - was)
					downs.Lock()
					same := kills == len(downs.all)
					downs.Unlock()
					if same && allRun(b) { // one that has just started hears who is drained with its first word
						below.drains, below.after, below.took = below.drains+1, below.after+after, max(below.took, took)
					}
				}
				for watch.Err() == nil && by("back") != nil {
					time.Sleep(200 * time.Millisecond)
				}
			}
			select {
			case <-watch.Done():
			case <-time.After(time.Second):
			}
		}
	})
	// Faults: a keeper killed and back, one stopped, membership cut in halves; in both beds alike for the latter.
	beside.Go(func() {
		for i := 0; watch.Err() == nil; i++ {
			name := k.names[i%3]
			switch i % 3 {
			case 0:
				k.kill(name)
				time.Sleep(time.Second)
				k.start(name, false)
			case 1:
				k.signal(name, syscall.SIGSTOP)
				time.Sleep(1500 * time.Millisecond)
				k.signal(name, syscall.SIGCONT)
			case 2:
				for _, b := range beds {
					s, _ := script.Parse("0s split n0,n1,n2|n3,n4,n5\n0s loss *>* 0.1", b.Names)
					b.Play(watch, s)
				}
				time.Sleep(1500 * time.Millisecond)
				for _, b := range beds {
					b.Net.Heal()
				}
			}
			select {
			case <-watch.Done():
			case <-time.After(1500 * time.Millisecond):
			}
		}
	})
	var took []time.Duration
	refused := 0
	for range rounds {
		began := time.Now()
		for _, name := range b.Names {
			for {
				err := fleet.Drain(ctx, b.Socket(name), "who=lab&why=roll")
				if err == nil {
					break
				}
				refused++
				if time.Since(began) > bound || ctx.Err() != nil {
					return nil, fmt.Errorf("the roll stands still at %s after %s: %w", name, time.Since(began), err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		took = append(took, time.Since(began))
	}
	time.Sleep(2 * time.Second)
	endLoad()
	load.Wait()
	endWatch()
	beside.Wait()
	_, longestRoll := timesOf(took)
	begun, over := 0, 0
	var spans []span
	var starts []down // of servers, by their own logs
	for _, name := range b.Names {
		mine, err := spansOf(b.Procs.Log(name))
		if err != nil {
			return nil, err
		}
		begun += len(mine)
		spans = append(spans, mine...)
		ups, err := startsOf(b.Procs.Log(name))
		if err != nil {
			return nil, err
		}
		for _, at := range ups {
			starts = append(starts, down{name, at})
		}
	}
	// A loss counts from when the keepers must know of it, to the server's next start.
	afterLoss, whileHalted := 0, 0
	for _, x := range spans {
		for _, d := range downs.all {
			back := time.Now()
			for _, s := range starts {
				if s.name == d.name && s.at.After(d.at) && s.at.Before(back) {
					back = s.at
				}
			}
			if x.from.After(d.at.Add(knownAfter)) && x.from.Before(back) {
				afterLoss++
			}
		}
		for _, h := range halts {
			if x.from.After(h.from) && x.from.Before(h.to) {
				whileHalted++
			}
		}
	}
	for _, x := range spans {
		at := 0
		for _, y := range spans {
			if !y.from.After(x.from) && y.to.After(x.from) {
				at++
			}
		}
		over = max(over, at)
	}
	r.AddRow(fmt.Sprintf("%d servers, limit %g, %d rolls: drains begun; answers that it may not yet", drainServers, drainLimit, rounds), begun, refused)
	r.AddRow("s for a roll, the longest", longestRoll, "")
	r.AddRow("most out by intent at a time, by the servers' own logs, from begun to back and warm", over, "")
	r.AddRow("criticality served with drains; without", worth[0]/all[0], worth[1]/all[1])
	v := rules[0].Verdict()
	r.AddRow("RPCs whose connection ended without an answer; second effects", callers[0].lost.Load(), v.SecondRuns)
	r.AddRow("servers killed; RPCs that they had in hand", len(downs.all), callers[0].killed.Load())
	if len(halted) > 0 {
		r.AddRow("halts; s until all heard servers know, p50", len(halted), standin.Quantile(halted, 0.5))
		r.AddRow("  the longest", slices.Max(halted), "")
		r.AddChecks(atMost("s until a halt is known at all heard servers", slices.Max(halted), 1.25))
	}
	r.AddRow("members of the pool drained; s until all servers leave it alone, the longest", below.drains, below.took)
	r.AddRow("  RPCs to them from then on", below.after, "")
	if err := grants(o, r); err != nil {
		return nil, err
	}
	r.AddChecks(atMost("out by intent at a time", float64(over), drainLimit))
	r.AddChecks(atMost("begun while a loss used the allowance up", float64(afterLoss), 0))
	r.AddChecks(atMost("begun while halted", float64(whileHalted), 0))
	r.AddChecks(atLeast("halts", float64(len(halted)), 1))
	r.AddChecks(atLeast("servers killed", float64(len(downs.all)), 1))
	r.AddChecks(atLeast("members drained", below.drains, 1))
	r.AddChecks(atMost("RPCs to drained members", below.after, 0))
	r.AddChecks(atLeast("drains begun", float64(begun), float64(rounds*drainServers)))
	r.AddChecks(atMost("RPCs lost", float64(callers[0].lost.Load()), 0))
	r.AddChecks(atMost("second effects", float64(v.SecondRuns), 0))
	r.AddChecks(atLeast("criticality served, of that without drains", worth[0]/all[0]/(worth[1]/all[1]), 0.98))
	return r, nil
}

// down is a server killed, or started.
type down struct {
	name string
	at   time.Time
}

const (
	killEvery = 4 * time.Second
	haltEvery = 3 * time.Second
	// knownAfter a loss the keepers know: three words missed, one on its way, and a leader's change.
	knownAfter = 4500 * time.Millisecond
)

// drainApps are four application servers.
func drainApps() (apps []*standin.App, addrs []string, end func(), err error) {
	cores := standin.NewCores(16, 8)
	end = func() {
		for _, a := range apps {
			a.Stop()
		}
		cores.Close()
	}
	for range 4 {
		a, err := standin.NewApp(cores, standin.ByBody, nil)
		if err != nil {
			end()
			return nil, nil, nil, err
		}
		apps, addrs = append(apps, a), append(addrs, a.Addr())
	}
	return apps, addrs, end, nil
}

func allRun(b *testbed.Bed) bool {
	return !slices.ContainsFunc(b.Names, func(name string) bool { return !b.Procs.Runs(name) })
}

var startLine = regexp.MustCompile(`time="([^"]+)" .*msg="serve: begins"`)

// startsOf reads the starts of a server from its log.
func startsOf(path string) (all []time.Time, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for _, m := range startLine.FindAllStringSubmatch(string(text), -1) {
		at, err := time.Parse(time.RFC3339Nano, m[1])
		if err != nil {
			return nil, err
		}
		all = append(all, at)
	}
	return all, nil
}

// span is the time for which a server was out by intent.
type span struct{ from, to time.Time }

var logLine = regexp.MustCompile(`time="([^"]+)" .*msg="(drain: begins by permit|drain: back and warm, the permit is returned)"`)

// spansOf reads them from a server's log. One that has not come back is out until now.
func spansOf(path string) (all []span, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for _, m := range logLine.FindAllStringSubmatch(string(text), -1) {
		at, err := time.Parse(time.RFC3339Nano, m[1])
		if err != nil {
			return nil, err
		}
		if strings.Contains(m[2], "begins") {
			all = append(all, span{at, time.Now()})
		} else if len(all) > 0 {
			all[len(all)-1].to = at
		}
	}
	return all, nil
}
