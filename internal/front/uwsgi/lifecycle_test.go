package uwsgi

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/standin"
)

// At the limit that both fronts share, a crowd on one keeps no sound peer out of the other.
func TestSharedLimit(t *testing.T) {
	for _, crowd := range []string{"uwsgi", "msgpack"} {
		t.Run("a crowd by "+crowd, func(t *testing.T) {
			t.Parallel()
			r := start(t, 0) // the minimum: 8 connections
			addr := r.web
			if crowd == "msgpack" {
				addr = r.rpc
			}
			for range 60 {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { r.noError(c.Close()) })
			}
			for _, protocol := range []string{"uwsgi", "msgpack"} {
				got := r.topup(protocol, protocol, "x")
				r.run().succeed("done")
				if got := <-got; got.Outcome != standin.OK {
					t.Errorf("%s: %+v", protocol, got)
				}
			}
			if n := len(r.table.Conns()); n > 8 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

// A shutdown with connections in every state: what was read is answered, the rest is closed, and it ends in time.
func TestShutdown(t *testing.T) {
	r := start(t, 1024, func(f *operator.File) { f.UWSGI.ReadTimeoutMs = 100 })
	kept := r.conn
	r.write(get("/view", "VALVE_KEEP", "1"))
	r.run().succeed("a")
	r.expect("200 a")
	r.dial() // says nothing
	r.dial()
	r.write(get("/view")[:10]) // half a message
	r.dial()
	r.write(get("/view", "VALVE_KEEP", "1"))
	run := r.run() // runs
	running, in := r.conn, r.in
	r.dial()
	late := r.conn
	began := time.Now()
	over := make(chan struct{})
	ctx, end := context.WithTimeout(context.Background(), soon)
	defer end()
	go func() { r.table.Shutdown(ctx); close(over) }()
	r.until("it is over", r.table.ShuttingDown)
	r.conn, r.in = late, bufio.NewReader(late)
	r.write(get("/view", "VALVE_KEEP", "1")) // read after it has begun
	second := r.run()
	r.conn, r.in = kept, bufio.NewReader(kept)
	r.expect("") // idle
	run.succeed("b")
	r.conn, r.in = running, in
	if head := r.expect("200 b", ""); head != "" {
		t.Error("the connection goes on")
	}
	second.succeed("c")
	r.conn, r.in = late, bufio.NewReader(late)
	r.expect("200 c", "")
	<-over
	if gone := time.Since(began); gone > soon/2 {
		t.Errorf("it took %v", gone)
	}
}

// Each RPC gets exactly one response while peers of both kinds come, go and leave within a response.
func TestChurn(t *testing.T) {
	r := start(t, 1024)
	go func() {
		for {
			select {
			case run := <-r.runs:
				go run.succeed(string(run.Body))
			case <-r.over:
				return
			}
		}
	}()
	var wg sync.WaitGroup
	rules := standin.NewInvariantChecker()
	for w := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			web := standin.NewWebTier(r.web, w%2 == 0)
			defer web.Close()
			for i := range 50 {
				id := uint64(w*1000 + i)
				ctx, end := context.WithTimeout(context.Background(), soon)
				if i%5 == 4 {
					end() // leaves at once
				} else {
					rules.RecordRequest(id)
				}
				got := web.Call(ctx, standin.Call{Method: "topup-buy", Token: fmt.Sprint(id), Body: []byte("b")})
				if i%5 != 4 && got.Outcome == standin.OK {
					rules.RecordResponse(id)
				}
				end()
			}
		}()
	}
	wg.Wait()
	if v := rules.Report(); v.Unanswered > 0 || v.RPCs != 8*40 {
		t.Errorf("verdict %+v", v)
	}
	r.quiet()
}
