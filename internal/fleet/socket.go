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

// Limits of the status socket, which serves operators and one or two monitoring systems. Clients that do not read their response in time are
// disconnected.
const (
	maxSocketRequests = 8
	socketTimeout     = 2 * time.Second
	maxHeaderBytes    = 8 << 10
	socketMode        = 0o600
	socketDialTimeout = time.Second
)

// ErrSocketInUse is returned if a running process serves the socket's path.
var ErrSocketInUse = errors.New("socket is in use by a running process")

// Errors that the status socket sends to its clients. The texts are part of its interface.
var (
	errNoPermitServers  = errors.New("no keepers are set: fleet.keepers")
	errOperatorMissing  = errors.New("who and why expected")
	errNameMissing      = errors.New("name and who expected")
	errTooManyRequests  = errors.New("too many readers")
	errUnknownOperation = errors.New("drain, back, halt or resume expected")
)

// Socket serves a server's status and operators' commands over HTTP on a Unix socket. The paths, query parameters and JSON names are a stable
// interface.
type Socket struct {
	server *http.Server
	done   chan struct{} // closed when the server has stopped
}

// ServeSocket serves the status socket at path. It replaces a socket that a previous process left there, and returns ErrSocketInUse if a running
// process serves it.
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
			WriteTimeout:   socketTimeout + 3*permitTimeout, // a drain sends up to three requests to the permit servers
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

// listenUnix listens on a Unix socket that only the user of this process may open.
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

// Close closes the socket at once, and aborts the requests in progress.
func (s *Socket) Close() {
	_ = s.server.Close() // the listener is closed even if this fails
	<-s.done
}

// socketHandler serves the requests, at most maxSocketRequests at a time.
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

// drains returns the drain coordinator, or nil without permit servers.
func (h *socketHandler) drains() *DrainCoordinator {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fleet.drains
}

func (h *socketHandler) status(w http.ResponseWriter, _ *http.Request) {
	var body bytes.Buffer // encoded completely before it is sent, so that no lock is held while a client reads slowly
	encoder := json.NewEncoder(&body)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(h.fleet.Status()); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body.Bytes()) // fails only if the client has disconnected
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
	_ = json.NewEncoder(w).Encode(state) // fails only if the client has disconnected
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
