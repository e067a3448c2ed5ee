package main

import (
	"io"
	"net"
	"net/http"
	"path"
	"strings"
	"sync"
	"time"
)

// platform is a stand-in membership service, which notes the reports in the record.
type platform struct {
	addr string

	mu   sync.Mutex
	last map[string]string
	out  map[string]time.Time // first report of OUT
}

// startPlatform starts a membership service.
func (s *stage) startPlatform() (*platform, error) {
	ln, err := net.Listen("tcp", s.host+":0")
	if err != nil {
		return nil, err
	}
	p := &platform{addr: ln.Addr().String(), last: map[string]string{}, out: map[string]time.Time{}}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // a report that broke off says nothing
		s.report(p, path.Base(r.URL.Path), string(body))
		w.WriteHeader(http.StatusNoContent)
	}), ReadHeaderTimeout: startLimit}
	go func() { _ = server.Serve(ln) }() // ends with its close
	s.onClose(func() { _ = server.Close() })
	return p, nil
}

// report takes one report of a server.
func (s *stage) report(p *platform, name, body string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last[name] != body {
		p.last[name] = body
		s.note("membership service: %s reports %s", name, body)
	}
	if strings.Contains(body, "OUT") && p.out[name].IsZero() {
		p.out[name] = time.Now()
	}
}

// firstOut is when a server first reported that it takes no work; zero if it has not.
func (p *platform) firstOut(name string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out[name]
}
