package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	cutLength  = 2 * time.Second // more than the second within which a checked permit is begun, less than its asker waits
	reportsEnd = 8 * time.Second
)

// haltedBegin: an operator has a server drain by permit, and another halts the fleet. The answer to the server's last question comes
// after the halt, since the server's link to the keepers is cut for a while. The server must not begin.
func haltedBegin(s *stage) error {
	keeper, err := s.startKeeper(roster([]string{"n0", "n1", "n2"}))
	if err != nil {
		return err
	}
	asked := make(chan struct{})
	relay, err := s.startKeeperRelay(keeper, asked)
	if err != nil {
		return err
	}
	platform, err := s.startPlatform()
	if err != nil {
		return err
	}
	var servers []*server
	seeds := ""
	for _, name := range []string{"n0", "n1", "n2"} {
		s.members = platform.addr
		v, err := s.newServer(name)
		if err != nil {
			return err
		}
		servers = append(servers, v)
		seeds += fmt.Sprintf("%q, ", v.gossip)
	}
	for i, v := range servers {
		address := keeper
		if i == 0 {
			address = relay
		}
		if err := v.compile("version: \"1\"\n" + v.fleetPart(seeds, fmt.Sprintf("%q", address))); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	drained := make(chan error, 1)
	go func() {
		_, err := s.command("valvefleet", "drain", servers[0].socket, "--why", "new kernel")
		drained <- err
	}()
	select {
	case <-asked:
	case err := <-drained:
		return fmt.Errorf("the drain did not come to its last question: %w", errors.Join(err, errors.New("it ended")))
	case <-time.After(startLimit):
		return errors.New("the drain did not come to its last question")
	}
	time.Sleep(300 * time.Millisecond)
	if _, err := s.command("valvefleet", "halt", servers[1].socket, "--why", "portal is slow"); err != nil {
		return err
	}
	halted := time.Now()
	s.note("the fleet is halted")
	if _, err := s.command("valvepermitd", "status", "--keepers", keeper); err != nil {
		return err
	}
	time.Sleep(reportsEnd)
	out := platform.firstOut("n0")
	_, _ = s.command("valvepermitd", "status", "--keepers", keeper) // for the record only
	switch {
	case out.IsZero() && !s.trouble:
		return errors.New("n0 did not drain")
	case out.IsZero():
		s.note("n0 did not begin to drain")
		return nil
	case out.Before(halted):
		s.note("n0 began to drain %.3f s before the halt", halted.Sub(out).Seconds())
		return nil
	}
	s.note("n0 began to drain %.3f s after the halt", out.Sub(halted).Seconds())
	return errBroken
}

// startKeeperRelay starts a relay to a keeper. It closes asked when a server's last question before a drain has been answered. If the
// case has its disruption, the link is cut from this moment on for cutLength: what is under way then passes once the link is back.
func (s *stage) startKeeperRelay(keeper string, asked chan struct{}) (addr string, err error) {
	ln, err := net.Listen("tcp", s.host+":0")
	if err != nil {
		return "", err
	}
	var cutEnd atomic.Pointer[time.Time]
	waitCut := func() {
		if end := cutEnd.Load(); end != nil {
			time.Sleep(time.Until(*end))
		}
	}
	var questions atomic.Int64
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: keeper})
	proxy.ModifyResponse = func(r *http.Response) error {
		if r.Request.Header.Get(markQuestion) != "" && questions.Add(1) == 1 {
			s.note("relay: the keepers have answered the last question")
			if s.trouble {
				end := time.Now().Add(cutLength)
				cutEnd.Store(&end)
				s.note("relay: the link between n0 and the keepers is cut for %s", cutLength)
			}
			close(asked)
		}
		waitCut()
		return nil
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		waitCut()
		if bytes.Contains(body, []byte(`"kind":"check"`)) {
			s.note("relay: question %s", body)
			r.Header.Set(markQuestion, "1")
		}
		proxy.ServeHTTP(w, r)
	}), ReadHeaderTimeout: startLimit}
	go func() { _ = server.Serve(ln) }() // ends with its close
	s.onClose(func() { _ = server.Close() })
	return ln.Addr().String(), nil
}

// markQuestion is a header by which the relay knows the answer to a last question.
const markQuestion = "Review-Question"
