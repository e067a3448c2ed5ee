package uwsgi

import (
	"context"
	"strings"
	"testing"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/standin"
)

// topup sends an RPC with a token over the given protocol and returns the channel of its reply.
func (r *rig) topup(protocol, token, body string) <-chan standin.Reply {
	var caller standin.Caller = standin.NewRouter(r.rpcAddr)
	method := "buy"
	if protocol == "uwsgi" {
		caller, method = standin.NewWebTier(r.webAddr, false), "topup-buy"
	}
	reply := make(chan standin.Reply, 1)
	r.Cleanup(caller.Close)
	go func() {
		ctx, end := context.WithTimeout(context.Background(), testTimeout)
		defer end()
		reply <- caller.Call(ctx, standin.Call{Method: method, Token: token, Body: []byte(body), Caller: 1})
	}()
	return reply
}

// A token identifies an RPC of a method across protocols. Attempts with one token over both protocols must run once and
// get the same result.
func TestTokenAcrossProtocols(t *testing.T) {
	other := map[string]string{"uwsgi": "msgpack", "msgpack": "uwsgi"}
	for first, second := range other {
		cases := []struct {
			name string
			do   func(r *rig)
		}{
			{"both attempts at once", func(r *rig) {
				a, b := r.topup(first, "k", "x"), r.topup(second, "k", "x")
				r.run().succeed("done")
				for _, got := range []standin.Reply{<-a, <-b} {
					if got.Outcome != standin.OK || string(got.Body) != "done" {
						r.Errorf("reply: got %+v", got)
					}
				}
			}},
			{"second attempt while the first runs", func(r *rig) {
				a := r.topup(first, "k", "x")
				run := r.run()
				b := r.topup(second, "k", "x")
				r.waitInFlight(2)
				run.succeed("done")
				if replyA, replyB := <-a, <-b; string(replyA.Body) != "done" || string(replyB.Body) != "done" {
					r.Errorf("replies: got %+v and %+v", replyA, replyB)
				}
			}},
			{"second attempt while the first is queued", func(r *rig) {
				r.topup(first, "busy", "y")
				busy := r.run() // takes the only core
				a := r.topup(first, "k", "x")
				r.waitInFlight(2)
				b := r.topup(second, "k", "x")
				r.waitInFlight(3)
				if len(r.runs) > 0 {
					r.Fatal("first attempt runs, want it queued")
				}
				busy.succeed("y")
				r.run().succeed("done")
				if replyA, replyB := <-a, <-b; string(replyA.Body) != "done" || string(replyB.Body) != "done" {
					r.Errorf("replies: got %+v and %+v", replyA, replyB)
				}
			}},
			{"second attempt after the first has ended", func(r *rig) {
				a := r.topup(first, "k", "x")
				r.run().succeed("done")
				<-a
				if got := <-r.topup(second, "k", "x"); string(got.Body) != "done" {
					r.Errorf("reply: got %+v", got)
				}
			}},
			{"second attempt after the first has failed", func(r *rig) {
				a := r.topup(first, "k", "x")
				r.run().done(gate.Failed, 1, nil, nil)
				for _, got := range []standin.Reply{<-a, <-r.topup(second, "k", "x")} {
					if got.Outcome != standin.Aborted {
						r.Errorf("reply: got %+v", got)
					}
				}
			}},
			{"second attempt with another body", func(r *rig) {
				a := r.topup(first, "k", "x")
				run := r.run()
				if got := <-r.topup(second, "k", "z"); got.Outcome != standin.Invalid {
					r.Errorf("reply: got %+v", got)
				}
				run.succeed("done")
				if got := <-a; got.Outcome != standin.OK {
					r.Errorf("reply: got %+v", got)
				}
			}},
		}
		for _, c := range cases {
			t.Run(first+" first: "+c.name, func(t *testing.T) {
				t.Parallel()
				cores := 64
				if strings.Contains(c.name, "queued") {
					cores = 1
				}
				r := startOn(t, cores, 1024)
				c.do(r)
				select {
				case <-r.runs:
					t.Error("RPC ran twice")
				default:
				}
			})
		}
	}
}

// If the connection of a first attempt is lost during its run, a retry over the other protocol must get the result.
func TestTokenOfLostFront(t *testing.T) {
	r := start(t, 1024)
	r.write(post("/topup-buy", "x", "HTTP_IDEMPOTENCY_KEY", "k"))
	run := r.run()
	r.noError(r.conn.Close())
	r.waitNoConns()
	reply := r.topup("msgpack", "k", "x")
	r.waitInFlight(2)
	run.succeed("done")
	if got := <-reply; got.Outcome != standin.OK || string(got.Body) != "done" {
		t.Errorf("reply: got %+v", got)
	}
}
