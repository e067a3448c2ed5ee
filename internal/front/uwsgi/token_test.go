package uwsgi

import (
	"context"
	"strings"
	"testing"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/standin"
)

// topup sends an RPC with a token by either protocol.
func (r *rig) topup(protocol, token, body string) <-chan standin.Reply {
	var caller standin.Caller = standin.NewRouter(r.rpc)
	method := "buy"
	if protocol == "uwsgi" {
		caller, method = standin.NewWebTier(r.web, false), "topup-buy"
	}
	got := make(chan standin.Reply, 1)
	r.Cleanup(caller.Close)
	go func() {
		ctx, end := context.WithTimeout(context.Background(), soon)
		defer end()
		got <- caller.Call(ctx, standin.Call{Method: method, Token: token, Body: []byte(body), Caller: 1})
	}()
	return got
}

// A token belongs to its method, whatever protocol its attempts come by: it runs once, and both get the same result.
func TestTokenAcrossProtocols(t *testing.T) {
	other := map[string]string{"uwsgi": "msgpack", "msgpack": "uwsgi"}
	for first, second := range other {
		cases := []struct {
			name string
			do   func(r *rig)
		}{
			{"at the same moment", func(r *rig) {
				a, b := r.topup(first, "k", "x"), r.topup(second, "k", "x")
				r.run().succeed("done")
				for _, got := range []standin.Reply{<-a, <-b} {
					if got.Outcome != standin.OK || string(got.Body) != "done" {
						r.Errorf("got %+v", got)
					}
				}
			}},
			{"the second while the first runs", func(r *rig) {
				a := r.topup(first, "k", "x")
				run := r.run()
				b := r.topup(second, "k", "x")
				r.inFlight(2)
				run.succeed("done")
				if x, y := <-a, <-b; string(x.Body) != "done" || string(y.Body) != "done" {
					r.Errorf("got %+v and %+v", x, y)
				}
			}},
			{"the second while the first is held", func(r *rig) {
				r.topup(first, "busy", "y")
				busy := r.run() // on the one core
				a := r.topup(first, "k", "x")
				r.inFlight(2)
				b := r.topup(second, "k", "x")
				r.inFlight(3)
				if len(r.runs) > 0 {
					r.Fatal("none is held")
				}
				busy.succeed("y")
				r.run().succeed("done")
				if x, y := <-a, <-b; string(x.Body) != "done" || string(y.Body) != "done" {
					r.Errorf("got %+v and %+v", x, y)
				}
			}},
			{"the second after the first has ended", func(r *rig) {
				a := r.topup(first, "k", "x")
				r.run().succeed("done")
				<-a
				if got := <-r.topup(second, "k", "x"); string(got.Body) != "done" {
					r.Errorf("got %+v", got)
				}
			}},
			{"the second after the first has failed", func(r *rig) {
				a := r.topup(first, "k", "x")
				r.run().done(gate.Failed, 1, nil, nil)
				for _, got := range []standin.Reply{<-a, <-r.topup(second, "k", "x")} {
					if got.Outcome != standin.Aborted {
						r.Errorf("got %+v", got)
					}
				}
			}},
			{"the second with another body", func(r *rig) {
				a := r.topup(first, "k", "x")
				run := r.run()
				if got := <-r.topup(second, "k", "z"); got.Outcome != standin.Invalid {
					r.Errorf("got %+v", got)
				}
				run.succeed("done")
				if got := <-a; got.Outcome != standin.OK {
					r.Errorf("got %+v", got)
				}
			}},
		}
		for _, c := range cases {
			t.Run(first+" first: "+c.name, func(t *testing.T) {
				t.Parallel()
				cores := 64
				if strings.Contains(c.name, "held") {
					cores = 1
				}
				r := startOn(t, cores, 1024)
				c.do(r)
				select {
				case <-r.runs:
					t.Error("it ran twice")
				default:
				}
			})
		}
	}
}

// A first attempt whose connection is lost while it runs is answered to its retry by the other protocol.
func TestTokenOfLostFront(t *testing.T) {
	r := start(t, 1024)
	r.write(post("/topup-buy", "x", "HTTP_IDEMPOTENCY_KEY", "k"))
	run := r.run()
	r.noError(r.conn.Close())
	r.gone()
	got := r.topup("msgpack", "k", "x")
	r.inFlight(2)
	run.succeed("done")
	if got := <-got; got.Outcome != standin.OK || string(got.Body) != "done" {
		t.Errorf("got %+v", got)
	}
}
