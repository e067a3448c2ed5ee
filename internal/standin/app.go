package standin

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

// Fault is a way in which an App fails.
type Fault int32

// The faults. Those that concern the connection show before anything is read, the others once the body has been read.
const (
	NoFault            Fault = iota
	HangAfterRead            // reads the request and never answers
	HangOnAccept             // accepts the connection and never reads
	ServerError              // answers 500 at once
	TruncatedBody            // closes the connection within the body
	NoContentLength          // delimits the answer by the end of the connection
	ExtraResponse            // sends a second answer behind the first
	ResetAfterRead           // resets the connection
	ResetOnAccept            // resets the connection before it reads
	MalformedResponse        // sends bytes that are no HTTP answer
	ChunkedResponse          // uses chunked transfer coding
	EndlessHeader            // sends header lines without end
	OversizedLength          // states a Content-Length beyond all bounds
	InterimResponse          // sends 100 Continue before the answer
	ServiceUnavailable       // answers 503 with a Retry-After of 3 s
	EarlyResponse            // answers before it has read the body
)

// fixedResponses are what faults answer in place of the result.
var fixedResponses = map[Fault]string{
	ServerError:        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops",
	ServiceUnavailable: "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 4\r\n\r\nbusy",
	MalformedResponse:  "\x00\x01\x02 not an answer",
	TruncatedBody:      "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
	OversizedLength:    "HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\nx",
	ChunkedResponse:    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
}

const (
	pingModifier       = 100 // uwsgi's modifier1 of a ping
	maxVariables       = 1024
	endlessHeaderLines = 10000
	connectionTimeout  = time.Minute
)

// App is a stand-in application server that speaks uwsgi and can be told to fail. Its methods may be called concurrently.
type App struct {
	cores   *Cores
	work    Worker
	checker *InvariantChecker

	mu       sync.Mutex
	listener net.Listener
	addr     string
	stopped  chan struct{} // closed by Stop
	conns    map[net.Conn]bool

	fault        atomic.Int32
	faultApplies atomic.Pointer[func(body []byte) bool] // nil: to all RPCs
	received     atomic.Int64
	workPercent  atomic.Int64
	inFlight     atomic.Int64
	maxInFlight  atomic.Int64
}

// NewApp starts an application server on a loopback address. It takes the method from VALVE_METHOD, or else from the path.
// checker, which may be nil, is told of each run.
func NewApp(cores *Cores, work Worker, checker *InvariantChecker) (*App, error) {
	a := &App{cores: cores, work: work, checker: checker, conns: map[net.Conn]bool{}}
	a.workPercent.Store(100)
	return a, a.Start()
}

// Start listens again after a Stop, at the same address.
func (a *App) Start() error {
	addr := a.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.listener = listener
	a.addr = listener.Addr().String()
	a.stopped = make(chan struct{})
	a.mu.Unlock()
	go a.accept(listener)
	return nil
}

// accept serves the connections of a listener until that is closed.
func (a *App) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
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
}

// Stop ends the server as a crash does: it no longer listens, and all its connections are closed.
func (a *App) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listener.Close() == nil {
		close(a.stopped)
	}
	for c := range a.conns {
		_ = c.Close() // a crash reports nothing
	}
}

// stopSignal returns the channel that the next Stop closes.
func (a *App) stopSignal() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopped
}

// waitForStop waits for Stop, a minute at most.
func (a *App) waitForStop() {
	select {
	case <-a.stopSignal():
	case <-time.After(connectionTimeout):
	}
}

// Addr is the address at which the server listens, or did until Stop.
func (a *App) Addr() string { return a.addr }

// SetFault makes the server fail from the next RPC on; NoFault ends that.
func (a *App) SetFault(f Fault) {
	a.faultApplies.Store(nil)
	a.fault.Store(int32(f))
}

// SetFaultFor makes the server fail for the RPCs that applies accepts by their bodies. It is meant for faults that show once
// the body has been read.
func (a *App) SetFaultFor(f Fault, applies func(body []byte) bool) {
	a.faultApplies.Store(&applies)
	a.fault.Store(int32(f))
}

// SetWorkPercent scales the work of all later RPCs; 100 is the Worker's own.
func (a *App) SetWorkPercent(percent int) { a.workPercent.Store(int64(percent)) }

// Received is the number of RPCs whose body arrived complete.
func (a *App) Received() int { return int(a.received.Load()) }

// TakeMaxInFlight returns the largest number of RPCs in flight at once since the last call, and resets it.
func (a *App) TakeMaxInFlight() int { return int(a.maxInFlight.Swap(0)) }

// serve serves one connection, which carries one RPC.
func (a *App) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // Stop may have closed it
	if c.SetDeadline(time.Now().Add(connectionTimeout)) != nil {
		return
	}
	fault := Fault(a.fault.Load())
	switch fault {
	case HangOnAccept:
		a.waitForStop()
		return
	case ResetOnAccept:
		reset(c)
		return
	}
	in := bufio.NewReader(c)
	variables, ok := readVariables(c, in, fault)
	if !ok {
		return
	}
	if fault == EarlyResponse {
		respond(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
		return
	}
	length, _ := variables.Get("CONTENT_LENGTH")
	n, _ := strconv.Atoi(length) // without a number there is no body
	body := make([]byte, n)
	if _, err := io.ReadFull(in, body); err != nil {
		return
	}
	if applies := a.faultApplies.Load(); applies != nil && !(*applies)(body) {
		fault = NoFault
	}
	leave := a.enter()
	defer leave()
	if failInstead(c, in, fault) {
		return
	}
	if fault == InterimResponse {
		respond(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	result, ok := a.run(variables, body)
	if !ok {
		return
	}
	leave() // before the answer, so that the caller's next RPC finds its place free
	a.respondResult(c, fault, result)
}

// enter counts an RPC as in flight; leave, which may be called again, ends that.
func (a *App) enter() (leave func()) {
	a.received.Add(1)
	if n := a.inFlight.Add(1); n > a.maxInFlight.Load() {
		a.maxInFlight.Store(n)
	}
	return sync.OnceFunc(func() { a.inFlight.Add(-1) })
}

// readVariables reads a request's head. It answers pings itself, and then returns false as it does for what can't be read.
func readVariables(c net.Conn, in *bufio.Reader, fault Fault) (*wire.Variables, bool) {
	head := make([]byte, wire.HeaderSize)
	if _, err := io.ReadFull(in, head); err != nil {
		return nil, false
	}
	h := wire.ParseHeader(head)
	if h.Modifier1 == pingModifier {
		if fault != HangAfterRead {
			_, _ = c.Write(wire.AppendHeader(nil, pingModifier, 0, 1)) // a caller that has left needs no answer
		}
		return nil, false
	}
	block := make([]byte, h.BlockSize)
	if _, err := io.ReadFull(in, block); err != nil {
		return nil, false
	}
	v := &wire.Variables{}
	if v.Parse(string(block), maxVariables) != nil {
		return nil, false
	}
	return v, true
}

// failInstead plays the faults that take the place of a run, and reports whether there was one.
func failInstead(c net.Conn, in io.Reader, fault Fault) bool {
	if response, ok := fixedResponses[fault]; ok {
		respond(c, response)
		return true
	}
	switch fault {
	case HangAfterRead:
		_, _ = io.Copy(io.Discard, in) // until the caller closes the connection
	case ResetAfterRead:
		reset(c)
	case EndlessHeader:
		respondEndlessHeader(c)
	default:
		return false
	}
	return true
}

// run runs an RPC on the cores; false if the server stops meanwhile.
func (a *App) run(variables *wire.Variables, body []byte) (result []byte, ok bool) {
	method, given := variables.Get("VALVE_METHOD")
	if !given {
		method, _ = variables.Get("PATH_INFO")
	}
	if a.checker != nil {
		a.checker.RecordRun(method, body)
	}
	work, result := a.work(method, body)
	if result == nil {
		result = body
	}
	done := make(chan struct{})
	a.cores.Run(work*float64(a.workPercent.Load())/100, func() { close(done) })
	select {
	case <-done:
		return result, true
	case <-a.stopSignal():
		return nil, false
	}
}

// respondResult sends the result of a run.
func (a *App) respondResult(c net.Conn, fault Fault, result []byte) {
	if fault == NoContentLength {
		respond(c, fmt.Sprintf("HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n%s", result))
		return
	}
	const format = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-App: %s\r\nContent-Length: %d\r\n\r\n%s"
	respond(c, fmt.Sprintf(format, a.addr, len(result), result))
	if fault == ExtraResponse {
		respond(c, "HTTP/1.1 500 No\r\nContent-Length: 6\r\n\r\nsecond")
	}
}

// respondEndlessHeader sends header lines until the caller closes the connection.
func respondEndlessHeader(c net.Conn) {
	respond(c, "HTTP/1.1 200 OK\r\nX-0: y\r\n")
	for i := 1; i < endlessHeaderLines; i++ {
		if _, err := fmt.Fprintf(c, "X-%d: y\r\n", i); err != nil {
			return
		}
	}
}

// respond writes an answer. A caller that has left is no error of the server.
func respond(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// reset makes the close of a connection send a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a connection that is closed already
	}
}
