package permitserver

// This file owns what clients ask a keeper, over HTTP with JSON: any keeper does, who does not lead names the leader. It must
// never hold more than a bounded number of bounded bodies.

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
	"sorrelvalve/internal/permitclient"
)

const (
	maxBodyBytes   = 4 << 20 // a roster of 4,096 servers takes about 300 KB
	maxRequests    = 256
	requestTimeout = 5 * time.Second
)

// Serve answers clients on ln until it is closed, or until the keeper ends: with ErrBroken if that was by itself.
func (k *Server) Serve(ln net.Listener) error {
	places := make(chan struct{}, maxRequests)
	answer := func(w http.ResponseWriter, v any, err error) {
		var other *NotLeaderError
		switch {
		case errors.As(err, &other):
			w.Header().Set(permitclient.LeaderHeader, other.Addr)
			http.Error(w, err.Error(), http.StatusMisdirectedRequest)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			b, _ := json.Marshal(v)
			w.Header().Set("Content-Type", "application/json")
			w.Write(b)
		}
	}
	read := func(w http.ResponseWriter, r *http.Request, v any) bool {
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(v); err != nil {
			http.Error(w, "no message: "+err.Error(), http.StatusBadRequest)
			return false
		}
		return true
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/command", func(w http.ResponseWriter, r *http.Request) {
		var c permit.Command
		if read(w, r, &c) {
			a, err := k.Do(c)
			answer(w, a, err)
		}
	})
	mux.HandleFunc("POST /v1/here", func(w http.ResponseWriter, r *http.Request) {
		var h permitclient.Heartbeat
		if read(w, r, &h) {
			if !k.IsLeader() {
				answer(w, nil, k.notLeader())
				return
			}
			if len(h.MembersOut) > permitclient.MaxMembers || len(h.MemberDrains) > permitclient.MaxMembers {
				http.Error(w, "too many members", http.StatusBadRequest)
				return
			}
			answer(w, k.Heartbeat(h), nil)
		}
	})
	mux.HandleFunc("POST /v1/release", func(w http.ResponseWriter, r *http.Request) {
		var c release.Command
		if read(w, r, &c) {
			if c.Kind == release.Observe {
				http.Error(w, "looks are the leader's", http.StatusBadRequest)
				return
			}
			a, err := k.Release(c)
			answer(w, a, err)
		}
	})
	mux.HandleFunc("GET /v1/version", func(w http.ResponseWriter, r *http.Request) {
		number, err := strconv.ParseUint(r.URL.Query().Get("number"), 10, 64)
		if err != nil {
			http.Error(w, "number: one expected", http.StatusBadRequest)
			return
		}
		if !k.IsLeader() { // a copy may not have it yet; what is kept under a number never changes
			answer(w, nil, k.notLeader())
			return
		}
		if v := k.version(release.Settings, number); v != nil {
			answer(w, v, nil)
		} else {
			http.Error(w, "not kept", http.StatusBadRequest)
		}
	})
	mux.HandleFunc("POST /v1/keepers", func(w http.ResponseWriter, r *http.Request) {
		var x permitclient.Replacement
		if read(w, r, &x) {
			answer(w, struct{}{}, k.Replace(x.Removed, Peer{Name: x.Added, RaftAddr: x.AddedRaftAddr}))
		}
	})
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, r *http.Request) {
		s, seen, err := k.State()
		x := permitclient.Status{Leader: k.options.Name, Observations: seen, State: s}
		if err == nil {
			x.SettingsReleases, err = k.releaseState(release.Settings)
			if err == nil {
				x.ProgramReleases, err = k.releaseState(release.Program)
			}
			words, pushed := k.drainReports()
			x.RejectedShare, x.Drains = pushed, s.DrainProgress(words)
		}
		answer(w, x, err)
	})
	srv := &http.Server{ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case places <- struct{}{}:
				defer func() { <-places }()
				mux.ServeHTTP(w, r)
			default:
				http.Error(w, "too many at a time", http.StatusTooManyRequests)
			}
		})}
	go func() {
		<-k.closed
		srv.Close()
	}()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	k.machine.mu.Lock()
	defer k.machine.mu.Unlock()
	if k.machine.corrupt {
		return ErrCorruptLog
	}
	return nil
}
