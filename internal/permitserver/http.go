package permitserver

// This file implements the client API, JSON over HTTP. Any replica accepts requests; a replica that is not the leader responds
// with the leader's address. The number of concurrent requests and the size of their bodies are bounded.

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
	"sorrelvalve/internal/permitclient"
)

const (
	maxBodyBytes   = 4 << 20 // a roster of 4,096 servers takes about 300 KB
	maxHeaderBytes = 8 << 10
	maxRequests    = 256 // concurrent
	requestTimeout = 5 * time.Second
	idleTimeout    = time.Minute // after which an idle connection is closed
)

// Serve serves clients on ln until ln or the replica is closed. It returns ErrCorruptLog if the replica closed itself because
// its log is corrupt.
func (s *Server) Serve(ln net.Listener) error {
	server := &http.Server{
		Handler:        limitRequests(s.routes()),
		ReadTimeout:    requestTimeout,
		WriteTimeout:   requestTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	served := make(chan struct{})
	var closer sync.WaitGroup
	closer.Go(func() {
		select {
		case <-s.closed:
			_ = server.Close() // fails if the listener is closed already
		case <-served:
		}
	})
	err := server.Serve(ln)
	close(served)
	closer.Wait()
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	if s.machine.isCorrupt() {
		return ErrCorruptLog
	}
	return nil
}

// limitRequests rejects requests while maxRequests others are in progress.
func limitRequests(next http.Handler) http.Handler {
	slots := make(chan struct{}, maxRequests)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			next.ServeHTTP(w, r)
		default:
			http.Error(w, "too many at a time", http.StatusTooManyRequests)
		}
	})
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/command", s.serveCommand)
	mux.HandleFunc("POST /v1/here", s.serveHeartbeat)
	mux.HandleFunc("POST /v1/release", s.serveRelease)
	mux.HandleFunc("GET /v1/version", s.serveVersion)
	mux.HandleFunc("POST /v1/keepers", s.serveReplacement)
	mux.HandleFunc("GET /v1/state", s.serveState)
	return mux
}

// respond writes v as JSON, or err with the HTTP status for it.
func respond(w http.ResponseWriter, v any, err error) {
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		w.Header().Set(permitclient.LeaderHeader, notLeader.Addr)
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
		return
	}
	var body []byte
	if err == nil {
		body, err = json.Marshal(v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // a client that lost its connection retries
}

// decode decodes the JSON of a request's body into v and reports whether it succeeded. If not, it has written the error
// response.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, "no message: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) serveCommand(w http.ResponseWriter, r *http.Request) {
	var c permit.Command
	if !decode(w, r, &c) {
		return
	}
	result, err := s.Do(c)
	respond(w, result, err)
}

func (s *Server) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	var h permitclient.Heartbeat
	if !decode(w, r, &h) {
		return
	}
	if !s.IsLeader() {
		respond(w, nil, s.notLeader())
		return
	}
	if len(h.MembersOut) > permitclient.MaxMembers || len(h.MemberDrains) > permitclient.MaxMembers {
		http.Error(w, "too many members", http.StatusBadRequest)
		return
	}
	respond(w, s.Heartbeat(h), nil)
}

func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var c release.Command
	if !decode(w, r, &c) {
		return
	}
	if c.Kind == release.Observe {
		http.Error(w, "looks are the leader's", http.StatusBadRequest)
		return
	}
	result, err := s.Release(c)
	respond(w, result, err)
}

func (s *Server) serveVersion(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.URL.Query().Get("number"), 10, 64)
	if err != nil {
		http.Error(w, "number: one expected", http.StatusBadRequest)
		return
	}
	if !s.IsLeader() { // a follower may not have the version yet; a stored version never changes
		respond(w, nil, s.notLeader())
		return
	}
	v := s.version(release.Settings, number)
	if v == nil {
		http.Error(w, "not kept", http.StatusBadRequest)
		return
	}
	respond(w, v, nil)
}

func (s *Server) serveReplacement(w http.ResponseWriter, r *http.Request) {
	var replacement permitclient.Replacement
	if decode(w, r, &replacement) {
		respond(w, struct{}{}, s.applyReplacement(&replacement))
	}
}

func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	status, err := s.status()
	respond(w, status, err)
}

// status returns the replicated state and the leader's observations, for operators.
func (s *Server) status() (permitclient.Status, error) {
	permits, observations, err := s.State()
	if err != nil {
		return permitclient.Status{}, err
	}
	status := permitclient.Status{Leader: s.options.Name, Observations: observations, State: permits}
	if status.SettingsReleases, err = s.releaseState(release.Settings); err != nil {
		return permitclient.Status{}, err
	}
	if status.ProgramReleases, err = s.releaseState(release.Program); err != nil {
		return permitclient.Status{}, err
	}
	reports, rejectedShare := s.drainReports()
	status.RejectedShare = rejectedShare
	status.Drains = permits.DrainProgress(reports)
	return status, nil
}
