package rig

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	wire "sorrelvalve/internal/uwsgi"
)

// App is a stand-in application server of a pool, which speaks uwsgi. The body of an RPC is its label, a blank and the
// duration of its run in ms; the label is the result.
type App struct {
	Name string
	Addr string

	c        *Case
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  map[string]bool // labels of the runs in progress
	received int
	most     int
}

const (
	pingModifier   = 100 // modifier1 of a uwsgi ping
	maxVariables   = 1024
	connectionLife = time.Minute
)

// StartApp starts an application server.
func (c *Case) StartApp(name string) *App {
	a := &App{Name: name, Addr: c.FreeAddr(), c: c, conns: map[net.Conn]bool{}, running: map[string]bool{}}
	var err error
	a.listener, err = net.Listen("tcp", a.Addr)
	c.Check(err)
	go func() {
		for {
			conn, err := a.listener.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns[conn] = true
			a.mu.Unlock()
			go a.serve(conn)
		}
	}()
	return a
}

// Stop ends the application server: it no longer listens, and its connections are closed.
func (a *App) Stop() {
	_ = a.listener.Close() // fails only if it was stopped before
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.conns {
		_ = conn.Close() // the peer may have closed it
	}
}

// InHand returns the labels of the RPCs that run now.
func (a *App) InHand() (labels []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for label := range a.running {
		labels = append(labels, label)
	}
	return labels
}

// Received returns the number of RPCs that were received.
func (a *App) Received() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received
}

// TakeMost returns the largest number of RPCs that ran at once since the last call.
func (a *App) TakeMost() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := a.most
	a.most = len(a.running)
	return most
}

// serve serves one connection, which carries one RPC.
func (a *App) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close() // Stop may have closed it
		a.mu.Lock()
		delete(a.conns, conn)
		a.mu.Unlock()
	}()
	if conn.SetDeadline(time.Now().Add(connectionLife)) != nil {
		return
	}
	body, ok := readRequest(conn)
	if !ok {
		return
	}
	label, duration, _ := strings.Cut(string(body), " ")
	ms, _ := strconv.Atoi(duration) // without a number the run takes no time
	a.mu.Lock()
	a.received++
	a.running[label] = true
	a.most = max(a.most, len(a.running))
	a.mu.Unlock()
	a.c.Note("%s: run of %s began", a.Name, label)
	time.Sleep(time.Duration(ms) * time.Millisecond)
	a.mu.Lock()
	delete(a.running, label)
	a.mu.Unlock()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(label), label)
	a.c.Note("%s: run of %s ended, answer written: %t", a.Name, label, err == nil)
}

// readRequest reads a request and returns its body. It answers pings.
func readRequest(conn net.Conn) (body []byte, ok bool) {
	head := make([]byte, wire.HeaderSize)
	if _, err := io.ReadFull(conn, head); err != nil {
		return nil, false
	}
	h := wire.ParseHeader(head)
	if h.Modifier1 == pingModifier {
		_, _ = conn.Write(wire.AppendHeader(nil, pingModifier, 0, 1)) // a caller that has left needs no answer
		return nil, false
	}
	block := make([]byte, h.BlockSize)
	if _, err := io.ReadFull(conn, block); err != nil {
		return nil, false
	}
	var variables wire.Variables
	if variables.Parse(string(block), maxVariables) != nil {
		return nil, false
	}
	length, _ := variables.Get("CONTENT_LENGTH")
	n, _ := strconv.Atoi(length) // without a number there is no body
	body = make([]byte, n)
	_, err := io.ReadFull(conn, body)
	return body, err == nil
}
