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

// server is a gate whose tokens are stored on a simulated disk that injects faults.
type server struct {
	*rig
	gate *gate.Gate
}

func startServer(t failer) *server {
	s := &server{rig: &rig{t: t, disk: standin.NewDisk(1), limits: defaultLimits, nowMs: 1.7e12}}
	s.limits.MaxWindow = 10e3
	s.restart()
	return s
}

// restart opens the store and creates a new gate, as a process does when it starts.
func (s *server) restart() {
	s.mustOpen()
	config, err := startup.Parse(serverSettings)
	if err != nil {
		s.t.Fatalf("parse settings: %v", err)
	}
	s.gate = gate.New(config, 64, func(string, string) {})
	s.gate.UseClock(func() time.Time { return time.UnixMilli(int64(s.now())) })
	s.gate.UseTokenStore(store.TokenStore{Store: s.store})
	s.gate.Start(false, 0)
}

// crash simulates a power loss followed by a restart.
func (s *server) crash() {
	s.disk.PowerOff()
	_ = s.store.Close() // fails, as the power is off
	s.disk.Configure(func(d *standin.Disk) { d.FailSyncs, d.Delay = 0, 0 })
	s.restart()
}

func (s *server) submit(key, body string) (*gate.Ticket, error) {
	return s.gate.Submit(gate.RPC{Method: "buy", Token: key, Body: []byte(body), ArrivedMs: s.now(), QueuedKB: 10, CostHintMs: 100})
}

// verdict waits for the next verdict and returns a short text for it.
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

// attempt submits an RPC and returns its ticket and first verdict.
func (s *server) attempt(key, body string) (*gate.Ticket, string) {
	t, err := s.submit(key, body)
	if err != nil {
		return nil, "invalid"
	}
	return t, s.verdict(t)
}

// gateCase is one sequence of RPCs with tokens, disk faults and restarts, with the verdicts that it must lead to.
type gateCase struct {
	name string
	run  func(s *server) string
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
	{"a duplicate with another body after a crash is invalid", func(s *server) string {
		a, _ := s.attempt("k", "x")
		a.Report(gate.Succeeded, 1, []byte("done"))
		s.verdict(a)
		s.crash()
		_, again := s.attempt("k", "y")
		return again
	}, "invalid"},
	{"a crash during a run: duplicates are aborted, as it may have run", func(s *server) string {
		s.attempt("k", "x")
		s.crash()
		_, again := s.attempt("k", "x")
		_, more := s.attempt("k", "x")
		return again + ", " + more
	}, "aborted, aborted"},
	{"a crash during a run: a duplicate may run after the end of the window", func(s *server) string {
		s.attempt("k", "x")
		s.crash()
		s.advance(9000)
		_, again := s.attempt("k", "x")
		return again
	}, "run"},
	{"a crash between the end of a run and the sync", func(s *server) string {
		a, _ := s.attempt("k", "x")
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 20 * time.Millisecond })
		a.Report(gate.Succeeded, 1, []byte("done"))
		s.crash()
		first := s.verdict(a)
		_, again := s.attempt("k", "x")
		return first + ", " + again
	}, "aborted, aborted"},
	{"a sync that fails at the end of a run: its caller gets the same answer as a duplicate", func(s *server) string {
		a, _ := s.attempt("k", "x")
		s.disk.Configure(func(d *standin.Disk) { d.FailSyncs = 1 })
		a.Report(gate.Succeeded, 1, []byte("done"))
		first := s.verdict(a)
		s.crash()
		_, again := s.attempt("k", "x")
		return first + ", " + again
	}, "aborted, aborted"},
	{"a sync that fails at the start of a run: rejected, and a duplicate may run", func(s *server) string {
		s.disk.Configure(func(d *standin.Disk) { d.FailSyncs = 1 })
		_, first := s.attempt("k", "x")
		s.crash()
		_, again := s.attempt("k", "x")
		return first + ", " + again
	}, "rejected, run"},
	{"a full store rejects only RPCs with a token", func(s *server) string {
		s.limits.MaxBytes = 3000
		s.crash()
		var last string
		for i := range 5 {
			_, last = s.attempt(fmt.Sprint(i), "x")
		}
		v, err := s.gate.Submit(gate.RPC{Method: "view", ArrivedMs: s.now(), QueuedKB: 10, CostHintMs: 100})
		if err != nil {
			return err.Error()
		}
		return last + ", " + s.verdict(v)
	}, "rejected, run"},
	{"a stalled disk delays only RPCs with a token", func(s *server) string {
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 200 * time.Millisecond })
		a, err := s.submit("k", "x")
		if err != nil {
			return err.Error()
		}
		began := time.Now()
		v, err := s.gate.Submit(gate.RPC{Method: "view", ArrivedMs: s.now(), QueuedKB: 10, CostHintMs: 100})
		if err != nil {
			return err.Error()
		}
		first := s.verdict(v)
		if time.Since(began) > 150*time.Millisecond {
			return "the RPC without a token waited for the disk"
		}
		return first + ", " + s.verdict(a)
	}, "run, run"},
	{"a disk that stalls past the deadline: aborted at the deadline, and never run", func(s *server) string {
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 300 * time.Millisecond })
		a, err := s.submit("k", "x")
		if err != nil {
			return err.Error()
		}
		s.advance(2100)
		s.gate.Tick(nil)
		first := s.verdict(a)
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 0 })
		for end := time.Now().Add(10 * time.Second); s.gate.InFlight() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				return "still in flight"
			}
		}
		if _, ok := a.TryWait(); ok {
			return "a second verdict"
		}
		return first
	}, "aborted"},
	{"a caller that leaves while the start is recorded: the RPC never runs, and a duplicate may run", func(s *server) string {
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 50 * time.Millisecond })
		a, err := s.submit("k", "x")
		if err != nil {
			return err.Error()
		}
		a.Cancel()
		first := s.verdict(a)
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 0 })
		for end := time.Now().Add(10 * time.Second); s.gate.InFlight() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				return "still in flight"
			}
		}
		s.close()
		s.restart()
		_, again := s.attempt("k", "x")
		return first + ", " + again
	}, "gone, run"},
	{"a duplicate that arrives during recovery: rejected, and answered with the first result afterwards", func(s *server) string {
		a, _ := s.attempt("k", "x")
		a.Report(gate.Succeeded, 1, []byte("done"))
		s.verdict(a)
		s.crash()
		started := s.gate
		config, err := startup.Parse(serverSettings)
		if err != nil {
			return err.Error()
		}
		s.gate = gate.New(config, 64, func(string, string) {}) // not started, as during recovery of the store
		s.gate.UseClock(func() time.Time { return time.UnixMilli(int64(s.now())) })
		_, early := s.attempt("k", "x")
		s.gate = started
		_, again := s.attempt("k", "x")
		return early + ", " + again
	}, "rejected, ok done"},
	{"the gate is closed while the end of a run is being written: not rejected", func(s *server) string {
		a, _ := s.attempt("k", "x")
		s.disk.Configure(func(d *standin.Disk) { d.Delay = 50 * time.Millisecond })
		a.Report(gate.Succeeded, 1, []byte("done"))
		s.gate.Close()
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

// TestGateCases checks the verdicts on RPCs with tokens under disk faults and restarts.
func TestGateCases(t *testing.T) {
	for _, c := range gateCases {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t)
			defer s.close()
			if got := c.run(s); got != c.want {
				t.Errorf("verdicts: got %s, want %s; log %q", got, c.want, s.logLines)
			}
		})
	}
}

// TestGateModel compares store and gate with a model, with crashes between any two steps. Within its window a token must not run
// twice, and a duplicate of an RPC that was answered with a result must get the same result.
func TestGateModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := startServer(t)
		defer s.close()
		type tokenState struct {
			ran    float64 // start of the last run in Unix ms; 0 if it never ran
			answer string
			open   *gate.Ticket
		}
		model := map[string]*tokenState{}
		n := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
			state := model[key]
			if state == nil {
				state = &tokenState{}
				model[key] = state
			}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if state.open != nil {
					continue // a duplicate would wait for the open run
				}
				ticket, got := s.attempt(key, "x")
				within := state.ran > 0 && s.now() < state.ran+8000
				switch {
				case got == "run" && within:
					t.Fatalf("token %s ran again %g ms after its first run", key, s.now()-state.ran)
				case got == "run":
					state.ran, state.answer, state.open = s.now(), "", ticket
				case within && state.answer != "" && got != state.answer:
					t.Fatalf("token %s: answered %q first, then %q", key, state.answer, got)
				}
			case 2:
				if state.open == nil {
					continue
				}
				n++
				outcome := rapid.SampledFrom([]gate.Outcome{gate.Succeeded, gate.Succeeded, gate.Failed}).Draw(t, "how")
				state.open.Report(outcome, 1, []byte(fmt.Sprint(n)))
				got := s.verdict(state.open)
				if state.open = nil; got == fmt.Sprint("ok ", n) {
					state.answer = got
				} else if got != "aborted" {
					t.Fatalf("token %s: got verdict %q at the end of the run", key, got)
				}
			case 3:
				s.crash()
				for _, state := range model {
					state.open = nil
				}
			case 4:
				s.advance(rapid.Float64Range(0, 6000).Draw(t, "by"))
			case 5:
				s.disk.Configure(func(d *standin.Disk) { d.FailSyncs = rapid.IntRange(0, 1).Draw(t, "syncs") })
			}
		}
	})
}
