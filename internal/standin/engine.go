package standin

// This file owns the stand-in engine: JSON lines over TCP, runs on a machine of its own or one shared with others. It
// must keep what the protocol promises: numbered notices, kept over links, and a run once for each id.

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"
)

// Worker tells the work of a run in ms, and what it makes of the body; nil for an echo.
type Worker func(method string, body []byte) (work float64, result []byte)

// Engine is a stand-in engine.
type Engine struct {
	cores *Cores
	work  Worker
	rules *InvariantChecker
	ln    net.Listener

	mu     sync.Mutex
	no     uint64
	past   [][]byte // notices from number first on
	first  uint64
	runs   map[string]bool
	links  map[net.Conn]chan []byte // lines to be written, in their order
	began  time.Time
	closed bool
}

// keptNotices is what the protocol says.
const keptNotices = 4000

// NewEngine starts an engine on a loopback address; rules, which may be nil, hears of each run.
func NewEngine(cores *Cores, work Worker, rules *InvariantChecker) (*Engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{cores: cores, work: work, rules: rules, ln: ln, first: 1, runs: map[string]bool{}, links: map[net.Conn]chan []byte{}, began: time.Now()}
	go e.accept()
	return e, nil
}

// Addr is where it listens.
func (e *Engine) Addr() string { return e.ln.Addr().String() }

// Close ends it and its links.
func (e *Engine) Close() {
	e.ln.Close()
	e.DropLinks()
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
}

// DropLinks ends all links; runs go on.
func (e *Engine) DropLinks() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.links {
		c.Close()
	}
}

func (e *Engine) accept() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.link(c)
	}
}

func (e *Engine) link(c net.Conn) {
	out := make(chan []byte, keptNotices)
	say := func(b []byte) {
		select {
		case out <- b:
		default: // a peer that does not read has lost its link
			c.Close()
		}
	}
	go func() {
		for b := range out {
			if _, err := c.Write(b); err != nil {
				c.Close()
			}
		}
	}()
	defer func() {
		e.mu.Lock()
		delete(e.links, c)
		close(out)
		e.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewScanner(c)
	in.Buffer(make([]byte, 64<<10), 32<<20)
	for in.Scan() {
		var cmd struct {
			T, Rid, Route, B64, Mark string
			No                       uint64
		}
		if json.Unmarshal(in.Bytes(), &cmd) != nil {
			return
		}
		switch cmd.T {
		case "ATTACH":
			e.mu.Lock()
			hello := fmt.Appendf(nil, `{"t":"HELLO","status":"steady","time_ms":%d}`+"\n", time.Since(e.began).Milliseconds())
			for n, b := range e.past {
				if e.first+uint64(n) > cmd.No {
					hello = append(hello, b...)
				}
			}
			say(hello) // under the lock, so that no notice overtakes those that were missed
			e.links[c] = out
			e.mu.Unlock()
		case "STAT":
			use, on := e.cores.Gauges()
			say(fmt.Appendf(nil, `{"t":"STATS","mark":%q,"v":[%g,%g]}`+"\n", cmd.Mark, use, on))
		case "RUN":
			body, err := base64.StdEncoding.DecodeString(cmd.B64)
			if err != nil {
				return
			}
			e.run(cmd.Rid, cmd.Route, body)
		}
	}
}

func (e *Engine) run(rid, method string, body []byte) {
	e.mu.Lock()
	again := e.runs[rid]
	e.runs[rid] = true
	e.mu.Unlock()
	if again {
		return
	}
	if e.rules != nil {
		e.rules.RecordRun(method, body)
	}
	work, result := e.work(method, body)
	if result == nil {
		result = body
	}
	began := time.Now()
	e.cores.Run(work, func() {
		e.notice(`"t":"DONE","rid":%q,"status":"success","time_ms":%g,"b64":%q`, rid, float64(time.Since(began))/1e6, base64.StdEncoding.EncodeToString(result))
	})
}

func (e *Engine) notice(format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.no++
	b := fmt.Appendf(nil, `{"no":%d,`+format+"}\n", append([]any{e.no}, a...)...)
	if e.past = append(e.past, b); len(e.past) > keptNotices {
		e.past = e.past[1:]
		e.first++
	}
	for c, out := range e.links {
		select {
		case out <- b:
		default:
			c.Close()
		}
	}
}

// Mixed is a Worker by method: lognormal-like work around a mean, from a seed.
func WorkByMethod(means map[string]float64, seed int64) Worker {
	var mu sync.Mutex
	chance := rand.New(rand.NewSource(seed))
	return func(method string, body []byte) (float64, []byte) {
		mu.Lock()
		defer mu.Unlock()
		return RandomWork(chance, means[method]), nil
	}
}

// RandomWork is one draw around a mean, with a variation of 0.7: the sum of two exponential parts and a fixed one.
func RandomWork(chance *rand.Rand, mean float64) float64 {
	return mean * (0.1 + 0.9*(chance.ExpFloat64()+chance.ExpFloat64())/2)
}

// StartMembershipService is a membership service that takes every report. It returns its address and what ends it.
func StartMembershipService() (addr string, end func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				c.SetDeadline(time.Now().Add(time.Minute))
				in := bufio.NewReader(c)
				for length := 0; ; {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					fmt.Sscanf(strings.ToLower(line), "content-length: %d", &length)
					if strings.TrimSpace(line) != "" {
						continue
					}
					if _, err := in.Discard(min(length, 1<<10)); err != nil {
						return
					}
					if _, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n"); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), func() { ln.Close() }, nil
}
