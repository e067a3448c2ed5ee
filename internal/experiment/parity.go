package experiment

// This file owns the experiment parity: one sequence of arrivals at 120% of capacity, with a cold start, a burst and a
// drain, goes through the daemon's front and through gin with the library's middleware. It must never let a verdict pass
// from one form to the other.

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"sorrelvalve/control"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/front/mprpc"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/startup"
	"sorrelvalve/valve"
	"sorrelvalve/valve/ginvalve"
	"sorrelvalve/valve/httpvalve"
)

const (
	parityCores = 16
	parityWork  = 60.0
	parityWarm  = 6 * time.Second // of the cold start
	parityStop  = 1500 * time.Millisecond
)

var parityMethods = []valve.Method{
	{Name: "account-view", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, Criticality: 1, LateFraction: 0.2},
	{Name: "settings-save", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, Criticality: 1},
	{Name: "topup-buy", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, Criticality: 3, Idempotency: valve.IdempotencyKeyed, DedupWindow: 13584 * time.Millisecond},
}

// parityOptions and paritySettings say the same, to the library and to the daemon.
func parityOptions() valve.Options {
	return valve.Options{Methods: parityMethods, Cores: parityCores, Memory: 4 << 30, CacheBytes: 64 << 20, Callers: 3, WarmingUp: true, WarmUpTime: parityWarm,
		MaxRetryAfter: time.Second, DrainGrace: 500 * time.Millisecond, Seed: 11}
}

func paritySettings() (*startup.Config, error) {
	s := fmt.Sprintf("classes.count=%d\nfamily_info.cores=%d\nfamily_info.ram_kb=%d\nfamily_info.callers=3\nfamily_info.meters=core_use,on_cores\n"+
		"rules.tip_multiple=8\nrules.drain_grace=500000000\nrules.answer_slack=80000000\nrules.cold=%d\nlimits.max_retry_after=1000000000\nclient_habits.marks_retry=true\n",
		len(parityMethods), parityCores, 4<<20, parityWarm.Nanoseconds())
	for i, m := range parityMethods {
		kind := "read_like"
		if m.Idempotency == valve.IdempotencyKeyed {
			kind = "idempotency_key"
		}
		s += fmt.Sprintf("classes.%d.name=%s\nclasses.%d.aim=%d\nclasses.%d.give_up=%d\nclasses.%d.worth=%g\nclasses.%d.late_worth=%g\nclasses.%d.idempotency=%s\nclasses.%d.window=%d\n",
			i, m.Name, i, m.LatencyObjective.Nanoseconds(), i, m.Deadline.Nanoseconds(), i, m.Criticality, i, m.LateFraction, i, kind, i, m.DedupWindow.Nanoseconds())
	}
	o, err := startup.Parse(s)
	if err == nil {
		o.Node.Seed = 11
	}
	return o, err
}

// arrival is one RPC of the sequence.
type arrival struct {
	at   time.Duration // whole ms since the beginning
	call standin.Call
	work float64
}

// paritySequence is some seconds at 120% of capacity; in a tenth of it, before its middle, at 240%.
func paritySequence(seed int64, length time.Duration) (all []arrival) {
	chance := rand.New(rand.NewSource(seed))
	end := float64(length.Milliseconds())
	rate := 1.2 * parityCores / parityWork // a ms
	for at, n := 0.0, 0; ; n++ {
		r := rate
		if at > 0.4*end && at < 0.5*end {
			r *= 2
		}
		if at += chance.ExpFloat64() / r; at >= end {
			return all
		}
		a := arrival{at: time.Duration(at) * time.Millisecond, work: standin.RandomWork(chance, parityWork)}
		a.call = standin.Call{Method: "account-view", Caller: chance.Intn(3) + 1, Subject: uint64(chance.Intn(3000)) + 1}
		switch x := chance.Float64(); {
		case x < 0.12:
			a.call.Method, a.call.Token, a.call.Subject = "topup-buy", fmt.Sprint("t", n), 0
		case x < 0.5:
			a.call.Method = "settings-save"
		}
		a.call.HintMs, _ = strconv.ParseFloat(strconv.FormatFloat(a.work*(0.8+0.4*chance.Float64()), 'f', 2, 64), 64)
		a.call.Body = []byte(strconv.Itoa(n))
		all = append(all, a)
	}
}

// counts are what a form's decisions have done so far.
type counts struct{ arrived, ran, ended atomic.Int64 }

// form is one way in.
type form struct {
	name  string
	call  func(a *arrival, door time.Time) (turnedAway bool) // blocks until it is answered
	tick  func() time.Duration
	drain func(time.Duration)
	close func()
	did   *counts
}

// host is what a form runs on: its clock (nil for the real one), its gauges, and the work of the nth arrival.
type host struct {
	clock func() time.Time
	gauge func() (use, on float64)
	run   func(n int, done func())
}

// tracer counts what a gate's decisions do.
type tracer struct{ *counts }

func (tracer) Begin(*startup.Config, bool, time.Time) {}

func (t tracer) Event(_ float64, ev control.Event, actions []control.Action, _ string) {
	switch ev.Kind {
	case control.Arrived:
		t.arrived.Add(1)
	case control.Completed:
		t.ended.Add(1)
	}
	for _, a := range actions {
		if a.Kind == control.Run {
			t.ran.Add(1)
		}
	}
}

// daemonForm is the daemon's MessagePack front and gate.
func daemonForm(h host) (*form, error) {
	o, err := paritySettings()
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logger.WithField("node", "parity")
	f := &form{name: "daemon", did: &counts{}}
	g := gate.New(o, 256, func(string, string) {})
	g.UseTracer(tracer{f.did})
	if h.clock != nil {
		g.UseClock(h.clock)
	}
	g.Start(true, 0)
	table := front.NewConnTable(1024, func() time.Duration { return time.Hour }, log)
	srv := mprpc.New(table, g, func(w gate.RunRequest, done func(gate.Outcome, float64, []byte, []byte)) {
		n, _ := strconv.Atoi(string(w.Body))
		h.run(n, func() { done(gate.Succeeded, 0, nil, w.Body) })
	}, log)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	table.AddListener(ln.(*net.TCPListener), srv.Open)
	router := standin.NewRouter(ln.Addr().String())
	f.call = func(a *arrival, door time.Time) bool {
		c := a.call
		c.ArrivedAt = door
		ctx, end := context.WithTimeout(context.Background(), time.Minute)
		defer end()
		return router.Call(ctx, c).Outcome != standin.OK
	}
	f.tick = func() time.Duration {
		use, on := h.gauge()
		return g.Tick([]float64{use, on})
	}
	f.drain = g.Drain
	f.close = func() {
		router.Close()
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		table.Shutdown(ctx)
	}
	return f, nil
}

// ginForm is a gin program with the middleware.
func ginForm(h host) (*form, error) {
	f := &form{name: "gin", did: &counts{}}
	o := parityOptions()
	o.Clock = h.clock
	o.Gauges = func() (valve.Gauges, bool) {
		use, on := h.gauge()
		return valve.Gauges{CPUUtilization: use, Runnable: on}, true
	}
	o.Observer = func(x valve.Event) {
		switch x.Kind {
		case valve.Arrived:
			f.did.arrived.Add(1)
		case valve.Started:
			f.did.ran.Add(1)
		case valve.Completed:
			f.did.ended.Add(1)
		}
	}
	v, err := valve.New(o)
	if err != nil {
		return nil, err
	}
	m, err := ginvalve.New(v, httpvalve.Options{Identify: func(q *http.Request) (valve.RPC, bool) {
		a := q.Context().Value(arrivalKey{}).(*told)
		return valve.RPC{
			Method: a.call.Method, Caller: uint64(a.call.Caller), Subject: a.call.Subject, Token: a.call.Token, ArrivedAt: a.door,
			CostHint: time.Duration(math.Round(a.call.HintMs * 1e6)), Memory: 24.5 * 1024,
		}, true
	}})
	if err != nil {
		return nil, err
	}
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(m)
	e.POST("/:method", func(c *gin.Context) {
		b, _ := io.ReadAll(c.Request.Body)
		n, _ := strconv.Atoi(string(b))
		over := make(chan struct{})
		h.run(n, func() { close(over) })
		<-over
		c.Data(200, "application/octet-stream", b)
	})
	f.call = func(a *arrival, door time.Time) bool {
		q := httptest.NewRequest("POST", "/"+a.call.Method, bodyOf(a.call.Body))
		q = q.WithContext(context.WithValue(q.Context(), arrivalKey{}, &told{a, door}))
		w := httptest.NewRecorder()
		e.ServeHTTP(w, q)
		return w.Code != 200
	}
	f.tick, f.drain, f.close = v.Tick, v.Drain, v.Close
	return f, nil
}

type arrivalKey struct{}

type told struct {
	*arrival
	door time.Time
}

func bodyOf(b []byte) io.Reader { return &reader{b} }

type reader struct{ b []byte }

func (r *reader) Read(p []byte) (int, error) {
	if len(r.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.b)
	r.b = r.b[n:]
	return n, nil
}

// virtual is a machine and clock of the lab's: all that waits for time waits for it.
type virtual struct {
	mu   sync.Mutex
	at   time.Time
	jobs []*virtualJob
	use  float64
	told int64 // jobs that were begun
}

type virtualJob struct {
	left float64
	n    int
	done func()
}

func (v *virtual) now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at
}

func (v *virtual) gauge() (float64, float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.use, float64(len(v.jobs))
}

func (v *virtual) rate() float64 { return math.Min(1, parityCores/math.Max(1, float64(len(v.jobs)))) }

// first is the job that ends first, and when. Jobs that end at once are taken in the order of their numbers.
func (v *virtual) first() (*virtualJob, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var least *virtualJob
	for _, j := range v.jobs {
		if least == nil || j.left < least.left || j.left == least.left && j.n < least.n {
			least = j
		}
	}
	if least == nil {
		return nil, v.at.Add(time.Hour)
	}
	return least, v.at.Add(time.Duration(math.Ceil(least.left / v.rate() * 1e6)))
}

// pass lives on to a time.
func (v *virtual) pass(to time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	gap := float64(to.Sub(v.at)) / 1e6
	if gap <= 0 {
		return
	}
	busy := math.Min(1, float64(len(v.jobs))/parityCores)
	r := v.rate()
	v.use += (1 - math.Exp(-gap/250)) * (busy - v.use)
	for _, j := range v.jobs {
		j.left -= gap * r
	}
	v.at = to
}

// play puts a sequence through a form on the virtual clock and returns which were turned away.
func play(build func(host) (*form, error), seq []arrival, length time.Duration) ([]bool, error) {
	v := &virtual{at: time.Now().Add(-time.Hour).Truncate(time.Millisecond)} // doors must not lie ahead of the real clock
	begin := v.at
	f, err := build(host{v.now, v.gauge, func(n int, done func()) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.jobs = append(v.jobs, &virtualJob{seq[n].work, n, done})
		v.told++
	}})
	if err != nil {
		return nil, err
	}
	defer f.close()
	away := make([]bool, len(seq))
	var wg sync.WaitGroup
	settle := func(what string, holds func() bool) error {
		for real := time.Now(); !holds(); {
			if time.Since(real) > 10*time.Second {
				return fmt.Errorf("%s: %s does not settle", f.name, what)
			}
			time.Sleep(5 * time.Microsecond)
		}
		return nil
	}
	running := func() bool { // all runs that were asked for have begun
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.told == f.did.ran.Load()
	}
	next := begin
	drained := false
	drainAt := begin.Add(length * 8 / 10)
	for i := 0; ; {
		job, ends := v.first()
		at, what := next, "tick"
		if ends.Before(at) {
			at, what = ends, "end"
		}
		if i < len(seq) && begin.Add(seq[i].at).Before(at) {
			at, what = begin.Add(seq[i].at), "arrival"
		}
		if !drained && drainAt.Before(at) {
			at, what = drainAt, "drain"
		}
		if i == len(seq) && job == nil && what == "tick" && at.After(begin.Add(length+3*time.Second)) {
			break
		}
		v.pass(at)
		var err error
		switch what {
		case "tick":
			next = at.Add(f.tick())
		case "drain":
			drained = true
			f.drain(parityStop + length) // the stop lies past the sequence: what is compared is the grace
		case "arrival":
			n, before := i, f.did.arrived.Load()
			i++
			wg.Add(1)
			go func() {
				defer wg.Done()
				away[n] = f.call(&seq[n], at)
			}()
			err = settle("an arrival", func() bool { return f.did.arrived.Load() > before })
		case "end":
			v.mu.Lock()
			for k, j := range v.jobs {
				if j == job {
					v.jobs = append(v.jobs[:k], v.jobs[k+1:]...)
					break
				}
			}
			v.mu.Unlock()
			before := f.did.ended.Load()
			job.done()
			err = settle("an end", func() bool { return f.did.ended.Load() > before })
		}
		if err == nil {
			err = settle("a run", running)
		}
		if err != nil {
			return nil, err
		}
	}
	wg.Wait()
	return away, nil
}

// playReal puts it through a form in real time.
func playReal(build func(host) (*form, error), seq []arrival, length time.Duration) ([]bool, error) {
	cores := standin.NewCores(parityCores, 0)
	defer cores.Close()
	f, err := build(host{nil, cores.Gauges, func(n int, done func()) { cores.Run(seq[n].work, done) }})
	if err != nil {
		return nil, err
	}
	defer f.close()
	stop, over := make(chan struct{}), make(chan struct{})
	if f.name == "daemon" { // the library ticks by itself
		go func() {
			defer close(over)
			for t := time.NewTimer(0); ; {
				select {
				case <-stop:
					return
				case <-t.C:
				}
				t.Reset(f.tick())
			}
		}()
	} else {
		close(over)
	}
	away := make([]bool, len(seq))
	var wg sync.WaitGroup
	begin := time.Now()
	drain := time.AfterFunc(length*8/10, func() { f.drain(parityStop + length) })
	defer drain.Stop()
	for i := range seq {
		time.Sleep(time.Until(begin.Add(seq[i].at)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			away[i] = f.call(&seq[i], time.Now().Truncate(time.Millisecond))
		}()
	}
	wg.Wait()
	close(stop)
	<-over
	return away, nil
}

// Parity is the experiment.
func Parity(o Options) (*Report, error) {
	length := 60 * time.Second
	if o.Quick {
		length = 20 * time.Second
	}
	r := &Report{Name: "parity", Header: []string{"clock", "method", "RPCs", "turned away by the daemon", "by gin", "only by the daemon", "only by gin"}}
	seq := paritySequence(o.Seed, length)
	apart, noise, shares := map[string]float64{}, 0.0, 0.0
	for _, clock := range []string{"virtual", "real"} {
		player := play
		if clock == "real" {
			player = playReal
		}
		forms := []func(host) (*form, error){daemonForm, ginForm}
		if clock == "real" { // how far two of the same form part, as no two runs in real time are alike
			forms = append(forms, daemonForm)
		}
		got, errs := make([][]bool, len(forms)), make([]error, len(forms))
		var wg sync.WaitGroup
		for i, f := range forms {
			wg.Add(1)
			go func() {
				defer wg.Done()
				got[i], errs[i] = player(f, seq, length)
			}()
		}
		wg.Wait()
		for _, err := range errs {
			if err != nil {
				return nil, err
			}
		}
		differ := 0
		for _, m := range parityMethods {
			n, a, b, onlyA, onlyB := 0, 0, 0, 0, 0
			for i := range seq {
				if seq[i].call.Method != m.Name {
					continue
				}
				n++
				x, y := got[0][i], got[1][i]
				if x {
					a++
				}
				if y {
					b++
				}
				if x && !y {
					onlyA++
				} else if y && !x {
					onlyB++
				}
			}
			differ += onlyA + onlyB
			if clock == "real" {
				shares = math.Max(shares, math.Abs(float64(a-b))/float64(n))
			}
			r.AddRow(clock, m.Name, n, a, b, onlyA, onlyB)
		}
		apart[clock] = float64(differ) / float64(len(seq))
		if clock == "real" {
			for i := range seq {
				if got[0][i] != got[2][i] {
					noise += 1 / float64(len(seq))
				}
			}
			r.AddRow(clock, "two daemons part in", len(seq), "", "", noise, "")
		}
	}
	r.AddChecks(atMost("turned away by one only, virtual clock", apart["virtual"], 0))
	r.AddChecks(atMost("share of a method turned away, apart in real time", shares, 0.01))
	r.AddChecks(atMost("turned away by one only in real time, beyond what two daemons part", apart["real"]-noise, 0.01))
	return r, nil
}
