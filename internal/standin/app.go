package standin

// This file owns the stand-in application server that speaks uwsgi, and the ways in which it fails. It must never
// answer with anything but what its script says.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	wire "sorrelvalve/internal/uwsgi"
)

// Fault is a way in which an application server fails.
type Fault int32

const (
	NoFault            Fault = iota
	HangAfterRead            // accepts, reads and says nothing
	HangOnAccept             // accepts and does not even read
	ServerError              // a 500 at once
	TruncatedBody            // half an answer, then the end
	NoContentLength          // an answer that ends with the connection
	ExtraResponse            // a second answer behind the first
	ResetAfterRead           // a reset once the body has been read
	ResetOnAccept            // a reset before anything is read
	MalformedResponse        // what is no answer
	ChunkedResponse          // an answer in a transfer coding
	EndlessHeader            // a head that never ends
	OversizedLength          // a length beyond all bounds
	InterimResponse          // a 100 before the answer
	ServiceUnavailable       // a 503 that asks to be left alone for 3 s
	EarlyResponse            // answers before it has read the body
)

// App is a stand-in application server.
type App struct {
	cores *Cores
	work  Worker
	rules *InvariantChecker

	mu    sync.Mutex
	ln    net.Listener
	addr  string
	over  chan struct{} // closed by Stop
	conns map[net.Conn]bool
	fault atomic.Int32
	only  atomic.Pointer[func(body []byte) bool] // the fault is for these; nil: for all
	taken atomic.Int64                           // RPCs whose body came whole
	slow  atomic.Int64                           // percent of the work
	now   atomic.Int64
	most  atomic.Int64 // in hand at once
}

// NewApp starts an application server on a loopback address. Its work is that of the method told in VALVE_METHOD, or
// by its path.
func NewApp(cores *Cores, work Worker, rules *InvariantChecker) (*App, error) {
	a := &App{cores: cores, work: work, rules: rules, conns: map[net.Conn]bool{}}
	a.slow.Store(100)
	return a, a.Start()
}

// Start listens again after a Stop, at the same address.
func (a *App) Start() error {
	addr := a.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.ln, a.addr, a.over = ln, ln.Addr().String(), make(chan struct{})
	a.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns[c] = true
			a.mu.Unlock()
			go func() {
				a.serve(c)
				a.mu.Lock()
				delete(a.conns, c)
				a.mu.Unlock()
			}()
		}
	}()
	return nil
}

// Stop ends it, as a crash does: nothing listens, all connections end.
func (a *App) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ln.Close() == nil {
		close(a.over)
	}
	for c := range a.conns {
		c.Close()
	}
}

// untilStop waits for the end of the application server, a minute at the most.
func (a *App) untilStop() {
	a.mu.Lock()
	over := a.over
	a.mu.Unlock()
	select {
	case <-over:
	case <-time.After(time.Minute):
	}
}

// Addr is where it listens, or did.
func (a *App) Addr() string { return a.addr }

// SetFault makes it fail from the next RPC on.
func (a *App) SetFault(f Fault) {
	a.only.Store(nil)
	a.fault.Store(int32(f))
}

// SetFaultFor makes it fail for some RPCs only, by their bodies. It is for faults that show once the body has been read.
func (a *App) SetFaultFor(f Fault, only func(body []byte) bool) {
	a.only.Store(&only)
	a.fault.Store(int32(f))
}

// Slow makes each work take so many percent of its time.
func (a *App) SetWorkPercent(percent int) { a.slow.Store(int64(percent)) }

// Taken is the number of RPCs whose body came whole.
func (a *App) Received() int { return int(a.taken.Load()) }

// TakeMaxInFlight is the largest number of RPCs in hand at once since the last call.
func (a *App) TakeMaxInFlight() int { return int(a.most.Swap(0)) }

func (a *App) serve(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	fault := Fault(a.fault.Load())
	reset := func() {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	}
	switch fault {
	case HangOnAccept:
		a.untilStop()
		return
	case ResetOnAccept:
		reset()
		return
	}
	in := bufio.NewReader(c)
	head := make([]byte, wire.HeaderSize)
	if _, err := io.ReadFull(in, head); err != nil {
		return
	}
	h := wire.ParseHeader(head)
	if h.Modifier1 == 100 { // a ping
		if fault != HangAfterRead {
			c.Write(wire.AppendHeader(nil, 100, 0, 1))
		}
		return
	}
	block := make([]byte, h.BlockSize)
	if _, err := io.ReadFull(in, block); err != nil {
		return
	}
	var v wire.Variables
	if v.Parse(string(block), 1024) != nil {
		return
	}
	if fault == EarlyResponse {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
		return
	}
	length, _ := v.Get("CONTENT_LENGTH")
	n, _ := strconv.Atoi(length)
	body := make([]byte, n)
	if _, err := io.ReadFull(in, body); err != nil {
		return
	}
	if only := a.only.Load(); only != nil && !(*only)(body) {
		fault = NoFault
	}
	a.taken.Add(1)
	if now := a.now.Add(1); now > a.most.Load() {
		a.most.Store(now)
	}
	leave := sync.OnceFunc(func() { a.now.Add(-1) })
	defer leave()
	switch fault {
	case HangAfterRead:
		io.Copy(io.Discard, in) // until the peer ends it
		return
	case ServerError:
		io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops")
		return
	case ServiceUnavailable:
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 4\r\n\r\nbusy")
		return
	case ResetAfterRead:
		reset()
		return
	case MalformedResponse:
		io.WriteString(c, "\x00\x01\x02 not an answer")
		return
	case TruncatedBody:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		return
	case EndlessHeader:
		for i := 0; i < 10000; i++ {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-%d: y\r\n"[min(i, 1)*17:], i); err != nil {
				return
			}
		}
		return
	case OversizedLength:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\nx")
		return
	case ChunkedResponse:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
		return
	case InterimResponse:
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	method, has := v.Get("VALVE_METHOD")
	if !has {
		method, _ = v.Get("PATH_INFO")
	}
	if a.rules != nil {
		a.rules.RecordRun(method, body)
	}
	work, result := a.work(method, body)
	if result == nil {
		result = body
	}
	over := make(chan struct{})
	a.cores.Run(work*float64(a.slow.Load())/100, func() { close(over) })
	select {
	case <-over:
	case <-a.over:
		return
	}
	leave() // before its caller can send the next
	if fault == NoContentLength {
		fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n%s", result)
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-App: %s\r\nContent-Length: %d\r\n\r\n%s", a.addr, len(result), result)
	if fault == ExtraResponse {
		io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 6\r\n\r\nsecond")
	}
}
