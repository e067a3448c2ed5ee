package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	wire "sorrelvalve/internal/uwsgi"
)

// app is a stand-in application server: a member of a pool that speaks uwsgi, works for a while and answers 200. It notes each
// run in the record and counts the runs at a time.
type app struct {
	stage    *stage
	group    *appGroup
	name     string
	addr     string
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// appGroup counts the runs over several apps.
type appGroup struct {
	work time.Duration

	mu      sync.Mutex
	running int
	most    int
	runs    int
}

const connectionLimit = time.Minute

// startApp starts an app at an address.
func (s *stage) startApp(group *appGroup, name string) (*app, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.onClose(func() { _ = ln.Close() }) // fails only if it is closed already
	a := &app{stage: s, group: group, name: name, addr: ln.Addr().String(), listener: ln, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns[c] = true
			a.mu.Unlock()
			go a.serve(c)
		}
	}()
	return a, nil
}

// stop ends the app, as an operator does who takes the machine away: what it has in hand is lost.
func (a *app) stop() {
	a.stage.note("%s is stopped with %d runs", a.name, a.group.now())
	_ = a.listener.Close() // fails only if it is closed already
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.Close() // it may have ended
	}
}

func (a *app) serve(c net.Conn) {
	defer func() {
		_ = c.Close() // the peer may have closed it
		a.mu.Lock()
		delete(a.conns, c)
		a.mu.Unlock()
	}()
	_ = c.SetDeadline(time.Now().Add(connectionLimit)) // fails only on a closed connection
	in := bufio.NewReader(c)
	head := make([]byte, wire.HeaderSize)
	if _, err := io.ReadFull(in, head); err != nil {
		return
	}
	block := make([]byte, wire.ParseHeader(head).BlockSize)
	if _, err := io.ReadFull(in, block); err != nil {
		return
	}
	length, _ := wire.Lookup(string(block), "CONTENT_LENGTH")
	n, _ := strconv.Atoi(length) // without a number there is no body
	body := make([]byte, n)
	if _, err := io.ReadFull(in, body); err != nil {
		return
	}
	running := a.group.enter()
	a.stage.note("%s runs %s, %d at a time", a.name, body, running)
	time.Sleep(a.group.work)
	a.group.leave()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, body) // a peer that has left needs no answer
}

// enter counts a run that begins, and returns how many there are.
func (g *appGroup) enter() (running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
	g.runs++
	g.most = max(g.most, g.running)
	return g.running
}

func (g *appGroup) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
}

// takeMost returns the most runs at a time since the last call.
func (g *appGroup) takeMost() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := g.most
	g.most = g.running
	return most
}

// now returns the runs at a time just now.
func (g *appGroup) now() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

func (g *appGroup) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs
}
