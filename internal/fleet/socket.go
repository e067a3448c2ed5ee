package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// Bounds of the status socket: it serves operators and a monitor or two. A client that does not read its answer in time is cut off.
const (
	maxSocketRequests = 8
	socketTimeout     = 2 * time.Second
	maxHeaderBytes    = 8 << 10
	socketMode        = 0o600
	socketDialTimeout = time.Second
)

// ErrSocketInUse reports that a running process serves the socket's path.
var ErrSocketInUse = errors.New("a process serves there")

var (
	errNoPermitServers  = errors.New("no keepers are set: fleet.keepers")
	errOperatorMissing  = errors.New("who and why expected")
	errNameMissing      = errors.New("name and who expected")
	errTooManyRequests  = errors.New("too many readers")
	errUnknownOperation = errors.New("drain, back, halt or resume expected")
)

// Socket serves a server's status and operators' commands over HTTP on a Unix socket. The paths, query keys and JSON names are an
// interface that does not change.
type Socket struct {
	server *http.Server
	done   chan struct{} // closed once it has ended
}

// ServeSocket listens on a path. A socket that a former process left there is replaced; it fails with ErrSocketInUse for one that is served.
func (f *Fleet) ServeSocket(path string) (*Socket, error) {
	listener, err := listenUnix(path)
	if err != nil {
		return nil, err
	}
	handler := &socketHandler{fleet: f, slots: make(chan struct{}, maxSocketRequests), mux: http.NewServeMux()}
	handler.mux.HandleFunc("GET /v1/status", handler.status)
	handler.mux.HandleFunc("POST /v1/gone", handler.removal)
	handler.mux.HandleFunc("POST /v1/drain", handler.drain)
	handler.mux.HandleFunc("GET /v1/permits", handler.permits)
	s := &Socket{
		done: make(chan struct{}),
		server: &http.Server{
			Handler:        handler,
			ReadTimeout:    socketTimeout,
			WriteTimeout:   socketTimeout + 3*permitTimeout, // a drain asks the permit servers up to three times
			IdleTimeout:    socketTimeout,
			MaxHeaderBytes: maxHeaderBytes,
		},
	}
	go func() {
		defer close(s.done)
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			f.options.Log.WithError(err).Error("fleet.socket_failed")
		}
	}()
	return s, nil
}

// listenUnix listens on a path that only this user may open.
func listenUnix(path string) (net.Listener, error) {
	if conn, err := net.DialTimeout("unix", path, socketDialTimeout); err == nil {
		_ = conn.Close() // nothing was written to it
		return nil, fmt.Errorf("fleet: %s: %w", path, ErrSocketInUse)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if err := os.Chmod(path, socketMode); err != nil {
		return nil, fmt.Errorf("fleet: %w", errors.Join(err, listener.Close()))
	}
	return listener, nil
}

// Close ends the socket at once, with the requests that are under way.
func (s *Socket) Close() {
	_ = s.server.Close() // its listener is gone in any case
	<-s.done
}

// socketHandler answers the requests, a bounded number at a time.
type socketHandler struct {
	fleet *Fleet
	mux   *http.ServeMux
	slots chan struct{} // semaphore
}

func (h *socketHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
		h.mux.ServeHTTP(w, r)
	default:
		http.Error(w, errTooManyRequests.Error(), http.StatusServiceUnavailable)
	}
}

// drains returns the drain coordinator; nil without permit servers.
func (h *socketHandler) drains() *DrainCoordinator {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fleet.drains
}

func (h *socketHandler) status(w http.ResponseWriter, _ *http.Request) {
	var body bytes.Buffer // complete before it is sent: no lock is held for a slow reader
	encoder := json.NewEncoder(&body)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(h.fleet.Status()); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body.Bytes()) // fails only if the client has gone
}

func (h *socketHandler) removal(w http.ResponseWriter, r *http.Request) {
	removal := parseRemovalQuery(r.URL.Query())
	if removal.Operator == "" || removal.Name == "" {
		http.Error(w, errNameMissing.Error(), http.StatusBadRequest)
		return
	}
	if err := h.fleet.DeclareRemoved(removal); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

func (h *socketHandler) permits(w http.ResponseWriter, r *http.Request) {
	drains := h.drains()
	if drains == nil {
		http.Error(w, errNoPermitServers.Error(), http.StatusConflict)
		return
	}
	state, err := drains.PermitState(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state) // fails only if the client has gone
}

func (h *socketHandler) drain(w http.ResponseWriter, r *http.Request) {
	drains := h.drains()
	if drains == nil {
		http.Error(w, errNoPermitServers.Error(), http.StatusConflict)
		return
	}
	command := parseDrainCommand(r.URL.Query(), h.fleet.options.Name)
	if command.Operator == "" || command.Reason == "" {
		http.Error(w, errOperatorMissing.Error(), http.StatusBadRequest)
		return
	}
	err := command.run(r.Context(), drains, h.fleet.options.Name)
	switch {
	case errors.Is(err, errUnknownOperation):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case err != nil:
		http.Error(w, err.Error(), http.StatusConflict)
	}
}
