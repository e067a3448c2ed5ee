package standin

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"
)

// Worker returns the work of a run in ms, and its result; nil for an echo of the body.
type Worker func(method string, body []byte) (work float64, result []byte)

// Engine is a stand-in engine: it speaks JSON lines over TCP and runs RPCs on Cores of its own or shared ones. As the protocol
// promises, its notices are numbered and retained over links, and it runs each id once.
type Engine struct {
	cores    *Cores
	work     Worker
	checker  *InvariantChecker
	listener net.Listener

	mu         sync.Mutex
	lastNotice uint64
	notices    [][]byte // the latest ones, from number first on
	first      uint64
	runs       map[string]bool
	links      map[net.Conn]chan []byte // lines to be written to each attached link
	startedAt  time.Time
}

const (
	maxNotices     = 4000 // notices that the protocol has an engine retain
	lineBufferSize = 64 << 10
	maxLineSize    = 32 << 20
)

// NewEngine starts an engine on a loopback address; checker, which may be nil, is told of each run.
func NewEngine(cores *Cores, work Worker, checker *InvariantChecker) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{
		cores: cores, work: work, checker: checker, listener: listener, first: 1,
		runs: map[string]bool{}, links: map[net.Conn]chan []byte{}, startedAt: time.Now(),
	}
	go e.accept()
	return e, nil
}

// Addr is the address at which it listens.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Close ends the engine and its links.
func (e *Engine) Close() {
	_ = e.listener.Close() // only fails if it is closed already
	e.DropLinks()
}

// DropLinks closes all links; runs go on.
func (e *Engine) DropLinks() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.links {
		_ = c.Close() // the peer may have closed it
	}
}

func (e *Engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serveLink(c)
	}
}

// queueLine queues a line for a link. A peer that doesn't read loses its link.
func queueLine(c net.Conn, out chan<- []byte, line []byte) {
	select {
	case out <- line:
	default:
		_ = c.Close() // the peer may have closed it
	}
}

// serveLink handles the commands of one link.
func (e *Engine) serveLink(c net.Conn) {
	out := make(chan []byte, maxNotices)
	go func() {
		for line := range out {
			if _, err := c.Write(line); err != nil {
				_ = c.Close() // so that the reader ends too
			}
		}
	}()
	defer func() {
		e.mu.Lock()
		delete(e.links, c)
		close(out)
		e.mu.Unlock()
		_ = c.Close() // the peer may have closed it
	}()
	in := bufio.NewScanner(c)
	in.Buffer(make([]byte, lineBufferSize), maxLineSize)
	for in.Scan() {
		if !e.handle(c, out, in.Bytes()) {
			return
		}
	}
}

// command is one line of a peer.
type command struct {
	Type   string `json:"t"`
	RunID  string `json:"rid"`
	Method string `json:"route"`
	Body   string `json:"b64"`
	Mark   string `json:"mark"`
	Notice uint64 `json:"no"` // the last one that the peer has
}

// handle handles a command; false ends the link.
func (e *Engine) handle(c net.Conn, out chan []byte, line []byte) bool {
	var cmd command
	if json.Unmarshal(line, &cmd) != nil {
		return false
	}
	switch cmd.Type {
	case "ATTACH":
		e.attach(c, out, cmd.Notice)
	case "STAT":
		use, jobs := e.cores.Gauges()
		queueLine(c, out, fmt.Appendf(nil, `{"t":"STATS","mark":%q,"v":[%g,%g]}`+"\n", cmd.Mark, use, jobs))
	case "RUN":
		body, err := base64.StdEncoding.DecodeString(cmd.Body)
		if err != nil {
			return false
		}
		e.run(cmd.RunID, cmd.Method, body)
	}
	return true
}

// attach greets a link with the notices after lastSeen, and sends it all later ones.
func (e *Engine) attach(c net.Conn, out chan []byte, lastSeen uint64) {
	e.mu.Lock()
	defer e.mu.Unlock() // held while the line is queued, so that no notice overtakes it
	hello := fmt.Appendf(nil, `{"t":"HELLO","status":"steady","time_ms":%d}`+"\n", time.Since(e.startedAt).Milliseconds())
	for i, notice := range e.notices {
		if e.first+uint64(i) > lastSeen {
			hello = append(hello, notice...)
		}
	}
	queueLine(c, out, hello)
	e.links[c] = out
}

// run runs an RPC, unless its id has run before.
func (e *Engine) run(id, method string, body []byte) {
	e.mu.Lock()
	known := e.runs[id]
	e.runs[id] = true
	e.mu.Unlock()
	if known {
		return
	}
	if e.checker != nil {
		e.checker.RecordRun(method, body)
	}
	work, result := e.work(method, body)
	if result == nil {
		result = body
	}
	began := time.Now()
	e.cores.Run(work, func() {
		ms := float64(time.Since(began)) / float64(time.Millisecond)
		e.notify(`"t":"DONE","rid":%q,"status":"success","time_ms":%g,"b64":%q`, id, ms, base64.StdEncoding.EncodeToString(result))
	})
}

// notify numbers a notice, retains it and sends it to all links.
func (e *Engine) notify(format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastNotice++
	notice := fmt.Appendf(nil, `{"no":%d,`+format+"}\n", append([]any{e.lastNotice}, a...)...)
	e.notices = append(e.notices, notice)
	if len(e.notices) > maxNotices {
		e.notices = e.notices[1:]
		e.first++
	}
	for c, out := range e.links {
		queueLine(c, out, notice)
	}
}

// WorkByMethod is a Worker that draws each work around its method's mean, from a seed, and echoes the body.
func WorkByMethod(means map[string]float64, seed int64) Worker {
	var mu sync.Mutex
	rng := rand.New(rand.NewSource(seed))
	return func(method string, _ []byte) (float64, []byte) {
		mu.Lock()
		defer mu.Unlock()
		return RandomWork(rng, means[method]), nil
	}
}

// RandomWork draws a work around a mean with a coefficient of variation of about 0.64: a fixed part of a tenth, and the mean of
// two exponential ones.
func RandomWork(rng *rand.Rand, mean float64) float64 {
	return mean * (0.1 + 0.9*(rng.ExpFloat64()+rng.ExpFloat64())/2)
}
