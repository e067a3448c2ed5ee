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

// At the connection limit that both fronts share, a large number of unused connections to one front must not keep
// working peers out of either front.
func TestSharedLimit(t *testing.T) {
	for _, unusedProtocol := range []string{"uwsgi", "msgpack"} {
		t.Run("unused connections by "+unusedProtocol, func(t *testing.T) {
			t.Parallel()
			r := start(t, 0) // the minimum: 8 connections
			addr := r.webAddr
			if unusedProtocol == "msgpack" {
				addr = r.rpcAddr
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
					t.Errorf("%s: reply: got %+v", protocol, got)
				}
			}
			if n := len(r.table.Conns()); n > 8 {
				t.Errorf("open connections: got %d, want at most 8", n)
			}
		})
	}
}

// A shutdown with connections in every state must answer all messages that were read, close the other connections and
// end in time.
func TestShutdown(t *testing.T) {
	r := start(t, 1024, func(f *operator.File) { f.UWSGI.ReadTimeoutMs = 100 })
	kept := r.conn
	r.write(get("/view", "VALVE_KEEP", "1"))
	r.run().succeed("a")
	r.expect("200 a")
	r.dial() // sends nothing
	r.dial()
	r.write(get("/view")[:10]) // half a message
	r.dial()
	r.write(get("/view", "VALVE_KEEP", "1"))
	run := r.run() // an RPC in flight
	running, in := r.conn, r.in
	r.dial()
	lateConn := r.conn
	began := time.Now()
	done := make(chan struct{})
	ctx, end := context.WithTimeout(context.Background(), testTimeout)
	defer end()
	go func() { r.table.Shutdown(ctx); close(done) }()
	r.waitUntil("the shutdown has begun", r.table.ShuttingDown)
	r.conn, r.in = lateConn, bufio.NewReader(lateConn)
	r.write(get("/view", "VALVE_KEEP", "1")) // read after the shutdown has begun
	second := r.run()
	r.conn, r.in = kept, bufio.NewReader(kept)
	r.expect("") // idle
	run.succeed("b")
	r.conn, r.in = running, in
	if head := r.expect("200 b", ""); head != "" {
		t.Error("connection was kept")
	}
	second.succeed("c")
	r.conn, r.in = lateConn, bufio.NewReader(lateConn)
	r.expect("200 c", "")
	<-done
	if elapsed := time.Since(began); elapsed > testTimeout/2 {
		t.Errorf("shutdown took %v", elapsed)
	}
}

// Each RPC must get exactly one response while peers with and without kept connections connect, disconnect and leave
// before they are answered.
func TestChurn(t *testing.T) {
	r := start(t, 1024)
	go func() {
		for {
			select {
			case run := <-r.runs:
				go run.succeed(string(run.Body))
			case <-r.testDone:
				return
			}
		}
	}()
	var wg sync.WaitGroup
	checker := standin.NewInvariantChecker()
	for worker := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			webTier := standin.NewWebTier(r.webAddr, worker%2 == 0)
			defer webTier.Close()
			for i := range 50 {
				id := uint64(worker*1000 + i)
				ctx, end := context.WithTimeout(context.Background(), testTimeout)
				if i%5 == 4 {
					end() // the peer leaves at once
				} else {
					checker.RecordRequest(id)
				}
				got := webTier.Call(ctx, standin.Call{Method: "topup-buy", Token: fmt.Sprint(id), Body: []byte("b")})
				if i%5 != 4 && got.Outcome == standin.OK {
					checker.RecordResponse(id)
				}
				end()
			}
		}()
	}
	wg.Wait()
	if v := checker.Report(); v.Unanswered > 0 || v.RPCs != 8*40 {
		t.Errorf("invariant report: got %+v", v)
	}
	r.waitIdle()
}
