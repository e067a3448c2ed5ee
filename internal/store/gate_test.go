package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/startup"
	"sorrelvalve/internal/store"
)

const serverSettings = "classes.count=2\nclasses.0.name=view\nclasses.0.aim=1000000000\nclasses.0.give_up=2000000000\n" +
	"classes.1.name=buy\nclasses.1.aim=1000000000\nclasses.1.give_up=2000000000\nclasses.1.idempotency=idempotency_key\nclasses.1.window=8000000000\n" +
	"family_info.cores=64\nfamily_info.ram_kb=1000000\nrules.tip_multiple=8\nlimits.max_retry_after=60000000000\n"

// server is a gate whose tokens are stored on a disk that can fail.
type server struct {
	*rig
	g *gate.Gate
}

func startServer(t failer) *server {
	s := &server{rig: &rig{t: t, disk: standin.NewDisk(1), b: defaultLimits, at: 1.7e12}}
	s.b.MaxWindow = 10e3
	s.restart()
	return s
}

// restart opens store and gate anew, as a process does.
func (s *server) restart() {
	s.mustOpen()
	o, err := startup.Parse(serverSettings)
	if err != nil {
		s.t.Fatalf("%v", err)
	}
	s.g = gate.New(o, 64, func(string, string) {})
	s.g.UseClock(func() time.Time { return time.UnixMilli(int64(s.now())) })
	s.g.UseTokenStore(store.TokenStore{Store: s.s})
	s.g.Start(false, 0)
}

func (s *server) crash() {
	s.disk.PowerOff()
	_ = s.s.Close() // the power is off
	s.disk.Configure(func(d *standin.Disk) { d.FailSyncs, d.Delay = 0, 0 })
	s.restart()
}

func (s *server) submit(key, body string) (*gate.Ticket, error) {
	return s.g.Submit(gate.RPC{Method: "buy", Token: key, Body: []byte(body), ArrivedMs: s.now(), QueuedKB: 10, CostHintMs: 100})
}

// verdict is the next verdict, in short.
func (s *server) verdict(t *gate.Ticket) string {
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	switch v := t.Wait(ctx); v.Kind {
	case gate.Run:
		return "run"
	case gate.OK:
		return "ok " + string(v.Result)
	case gate.Rejected:
		return "rejected"
	case gate.Aborted:
		return "aborted"
	}
	return "gone"
}

func (s *server) attempt(key, body string) (*gate.Ticket, string) {
	t, err := s.submit(key, body)
	if err != nil {
		return nil, "invalid"
	}
	return t, s.verdict(t)
}

// gateCase is one way of an RPC with a token through gate, store and faults of the disk.
type gateCase struct {
	name string
	do   func(s *server) string
	want string
}

var gateCases = []gateCase{
	{"a duplicate after a crash gets the first result", func(s *server) string {
		a, _ := s.attempt("k", "x")
		a.Report(gate.Succeeded, 1, []byte("done"))
		first := s.verdict(a)
		s.crash()
		_, again := s.attempt("k", "x")
		return first + ", " + again
	}, "ok done, ok done"},
	{"with another body it is invalid", func(s *server) string {
		a, _ := s.attempt("k", "x")
		a.Report(gate.Succeeded, 1, []byte("done"))
		s.verdict(a)
		s.crash()
		_, again := s.attempt("k", "y")
		return again
	}, "invalid"},
	{"a crash while it runs: it may have run", func(s *server) string {
		s.attempt("k", "x")
		s.crash()
		_, again := s.attempt("k", "x")
		_, more := s.attempt("k", "x")
		return again + ", " + more
	}, "aborted, aborted"},
	{"and may run once its window is over", func(s *server) string {
		s.attempt("k", "x")
		s.crash()
		s.advance(9000)
		_, again := s.attempt("k", "x")
		return again
	}, "run"},
	{"a crash between its end and the sync", func(s *server) string {
		a, _ := s.attempt("k", "x")
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 20 * time.Millisecond })
		a.Report(gate.Succeeded, 1, []byte("done"))
		s.crash()
		first := s.verdict(a)
		_, again := s.attempt("k", "x")
		return first + ", " + again
	}, "aborted, aborted"},
	{"a sync that fails at its end: its caller gets what a duplicate will", func(s *server) string {
		a, _ := s.attempt("k", "x")
		s.disk.Configure(func(d *standin.Disk) { d.FailSyncs = 1 })
		a.Report(gate.Succeeded, 1, []byte("done"))
		first := s.verdict(a)
		s.crash()
		_, again := s.attempt("k", "x")
		return first + ", " + again
	}, "aborted, aborted"},
	{"a sync that fails at its start: rejected, and it may run later", func(s *server) string {
		s.disk.Configure(func(d *standin.Disk) { d.FailSyncs = 1 })
		_, first := s.attempt("k", "x")
		s.crash()
		_, again := s.attempt("k", "x")
		return first + ", " + again
	}, "rejected, run"},
	{"a full store rejects RPCs with a token, and no others", func(s *server) string {
		s.b.MaxBytes = 3000
		s.crash()
		var last string
		for i := range 5 {
			_, last = s.attempt(fmt.Sprint(i), "x")
		}
		v, err := s.g.Submit(gate.RPC{Method: "view", ArrivedMs: s.now(), QueuedKB: 10, CostHintMs: 100})
		if err != nil {
			return err.Error()
		}
		return last + ", " + s.verdict(v)
	}, "rejected, run"},
	{"a stalled disk: RPCs with a token wait, and no others", func(s *server) string {
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 200 * time.Millisecond })
		a, err := s.submit("k", "x")
		if err != nil {
			return err.Error()
		}
		began := time.Now()
		v, err := s.g.Submit(gate.RPC{Method: "view", ArrivedMs: s.now(), QueuedKB: 10, CostHintMs: 100})
		if err != nil {
			return err.Error()
		}
		first := s.verdict(v)
		if time.Since(began) > 150*time.Millisecond {
			return "it waited"
		}
		return first + ", " + s.verdict(a)
	}, "run, run"},
	{"a stalled disk past the deadline: answered then, and never run", func(s *server) string {
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 300 * time.Millisecond })
		a, err := s.submit("k", "x")
		if err != nil {
			return err.Error()
		}
		s.advance(2100)
		s.g.Tick(nil)
		first := s.verdict(a)
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 0 })
		for end := time.Now().Add(10 * time.Second); s.g.InFlight() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				return "still in flight"
			}
		}
		if _, there := a.TryWait(); there {
			return "a second verdict"
		}
		return first
	}, "aborted"},
	{"its caller leaves while its start is recorded: it never runs, and a duplicate may", func(s *server) string {
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 50 * time.Millisecond })
		a, err := s.submit("k", "x")
		if err != nil {
			return err.Error()
		}
		a.Cancel()
		first := s.verdict(a)
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 0 })
		for end := time.Now().Add(10 * time.Second); s.g.InFlight() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				return "still in flight"
			}
		}
		s.close()
		s.restart()
		_, again := s.attempt("k", "x")
		return first + ", " + again
	}, "gone, run"},
	{"a duplicate that arrives during recovery: rejected, then answered as the first", func(s *server) string {
		a, _ := s.attempt("k", "x")
		a.Report(gate.Succeeded, 1, []byte("done"))
		s.verdict(a)
		s.crash()
		started := s.g
		o, err := startup.Parse(serverSettings)
		if err != nil {
			return err.Error()
		}
		s.g = gate.New(o, 64, func(string, string) {}) // not started, as the store is being read
		s.g.UseClock(func() time.Time { return time.UnixMilli(int64(s.now())) })
		_, early := s.attempt("k", "x")
		s.g = started
		_, again := s.attempt("k", "x")
		return early + ", " + again
	}, "rejected, ok done"},
	{"the gate is closed while an end is on its way to the disk: never rejected", func(s *server) string {
		a, _ := s.attempt("k", "x")
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 50 * time.Millisecond })
		a.Report(gate.Succeeded, 1, []byte("done"))
		s.g.Close()
		return s.verdict(a)
	}, "aborted"},
	{"a result too large to record", func(s *server) string {
		a, _ := s.attempt("k", "x")
		a.Report(gate.Succeeded, 1, make([]byte, 5000))
		s.verdict(a)
		s.crash()
		_, again := s.attempt("k", "x")
		return again
	}, "aborted"},
}

func TestGateCases(t *testing.T) {
	for _, c := range gateCases {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t)
			defer s.close()
			if got := c.do(s); got != c.want {
				t.Errorf("%s; want %s; log %q", got, c.want, s.lines)
			}
		})
	}
}

// TestGateModel compares store and gate with a model, with crashes between any two steps: nothing runs twice within its
// window, and a caller that got a result gets the same for as long.
func TestGateModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := startServer(t)
		defer s.close()
		type known struct {
			ran    float64 // when it last began; 0 for never
			answer string
			open   *gate.Ticket
		}
		model := map[string]*known{}
		n := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
			k := model[key]
			if k == nil {
				k = &known{}
				model[key] = k
			}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if k.open != nil {
					continue // a duplicate would wait for it
				}
				ticket, got := s.attempt(key, "x")
				within := k.ran > 0 && s.now() < k.ran+8000
				switch {
				case got == "run" && within:
					t.Fatalf("%s ran %g ms after its first run", key, s.now()-k.ran)
				case got == "run":
					k.ran, k.answer, k.open = s.now(), "", ticket
				case within && k.answer != "" && got != k.answer:
					t.Fatalf("%s: answered %q, then %q", key, k.answer, got)
				}
			case 2:
				if k.open == nil {
					continue
				}
				n++
				how := rapid.SampledFrom([]gate.Outcome{gate.Succeeded, gate.Succeeded, gate.Failed}).Draw(t, "how")
				k.open.Report(how, 1, []byte(fmt.Sprint(n)))
				got := s.verdict(k.open)
				if k.open = nil; got == fmt.Sprint("ok ", n) {
					k.answer = got
				} else if got != "aborted" {
					t.Fatalf("%s ended as %q", key, got)
				}
			case 3:
				s.crash()
				for _, k := range model {
					k.open = nil
				}
			case 4:
				s.advance(rapid.Float64Range(0, 6000).Draw(t, "by"))
			case 5:
				s.disk.Configure(func(d *standin.Disk) { d.FailSyncs = rapid.IntRange(0, 1).Draw(t, "syncs") })
			}
		}
	})
}
