package fleet

// This file owns what a server tells operators and tests: its view of the fleet, over HTTP on a Unix socket, if the
// operator's record names one. It must never wait for a slow reader, nor tell of any RPC.

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"sorrelvalve/decision/gossip"
	"sorrelvalve/decision/health"
	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/permitclient"
)

// Status is one server's view of the fleet, as the status socket serves it. The JSON names are part of that interface and do not change.
// Durations are in milliseconds; ages count from when this server last received something.
type Status struct {
	Name           string
	Zone           string
	Version        string // of the program
	SettingsHash   string `json:"Settings"` // hash of the operator's record
	Generation     uint64 `json:"Start"`
	Incarnation    string `json:"Life"` // incarnation, hexadecimal
	Phase          string
	WarmupProgress float64 `json:"Ramp"`  // warm-up progress from 0 to 1
	Connectivity   string  `json:"Hears"` // alone, part or whole
	// Listening tells that this server has just started or stalled, and reports nothing about others yet.
	InGracePeriod   bool    `json:"Listening"`
	StateDurationMs float64 `json:"ForMs"`  // in this connectivity state
	Members         int     `json:"Roster"` // members of the fleet, this server included
	Reachable       int     `json:"Heard"`  // of these, reachable
	MinServers      int     `json:"AtLeast"`
	MaxServers      int     `json:"AtMost"`
	MaxUnknown      bool    `json:"Blind"` // never in contact, nor given the fleet's expected size
	Zones           []health.Zone
	Peers           []PeerStatus
	DuplicateNames  []string `json:"Twins,omitempty"`   // names borne by two servers, with their addresses
	ExclusionReason string   `json:"Refused,omitempty"` // why this server is excluded from the fleet
	StallCount      int      `json:"Stalls"`            // times that this server found that it had stalled
	PeersLost       uint64   `json:"Lost"`              // times that the failure detector lost a peer
	StateChanges    int      `json:"Changes"`           // of the connectivity state
	Records         RecordStatus
	Traffic         Traffic
	Budgets         *BudgetStatus   `json:",omitempty"`
	Outliers        []OutlierStatus `json:"Judged,omitempty"`
	Drain           *DrainStatus    `json:",omitempty"`
}

// PeerStatus is what this server knows of one other.
type PeerStatus struct {
	Name             string
	Zone             string
	Version          string
	SettingsHash     string `json:"Settings"`
	Phase            string
	Addr             string
	Generation       uint64  `json:"Start"`
	WarmupProgress   float64 `json:"Ramp"`   // warm-up progress from 0 to 1
	Reachable        bool    `json:"Heard"`  // reachable
	FlapDamped       bool    `json:"Damped"` // flapped, and counts as unreachable for a while
	DuplicateName    bool    `json:"Twin"`   // two servers bear the name
	Contact          string  // direct, one way, through others or none
	RelayedBy        string  `json:"Through"` // the peer that relayed its last record
	LastContactAgeMs float64 `json:"AgeMs"`   // since the last sign of it
	StatusDurationMs float64 `json:"ForMs"`   // in its present state
	SuspicionCount   int     `json:"Losses"`
	Departed         string  `json:"Away,omitempty"` // left or declared gone
}

// RecordStatus is the state of the table of gossiped records.
type RecordStatus struct {
	Origins int
	Records int
	Bytes   int
	gossip.Counts
}

// Traffic counts packets, bytes and streams since the start.
type Traffic struct {
	PacketsIn        uint64
	PacketsOut       uint64
	BytesIn          uint64
	BytesOut         uint64
	Dropped          uint64 // over a limit, or while this server had stalled
	Damaged          uint64 // with a wrong checksum
	Streams          uint64
	MemberlistErrors uint64 `json:"Complaints"` // errors and warnings of memberlist
}

// Status tells the view as it is now.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	shared, judges, drains := f.budgets, f.outliers, f.drains
	f.mu.Unlock()
	var drain *DrainStatus
	if drains != nil {
		drain = drains.status()
	}
	var judged []OutlierStatus
	if judges != nil {
		judged = judges.status()
	}
	var budgets *BudgetStatus
	if shared != nil { // its lock is taken before this one's
		budgets = shared.status()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.elapsedMs(time.Now())
	v := f.detector.View(now)
	phase, ramp := f.options.Phase()
	s := Status{
		Name: f.options.Name, Zone: f.options.Zone, Version: f.options.Version, SettingsHash: f.options.SettingsHash, Generation: f.identity.Generation,
		Incarnation: strconv.FormatUint(f.identity.Incarnation, 16), Phase: phase.String(), WarmupProgress: ramp, Connectivity: v.State.String(),
		InGracePeriod: v.InGracePeriod, StateDurationMs: v.StateDuration, Members: v.Members, Reachable: v.Reachable, MinServers: v.MinServers, MaxServers: v.MaxServers, MaxUnknown: v.MaxUnknown,
		Zones: v.Zones, DuplicateNames: append([]string(nil), f.duplicateNames...), StallCount: v.StallCount, PeersLost: f.peersLost, StateChanges: v.StateChanges,
	}
	if f.exclusion != nil {
		s.ExclusionReason = f.exclusion.Error()
	}
	for _, p := range f.detector.Peers(now) {
		x := PeerStatus{
			Name: sanitize(p.Name), Zone: sanitize(p.Zone), Generation: p.Generation, Reachable: p.Reachable, FlapDamped: p.FlapDamped, DuplicateName: p.DuplicateName,
			Contact: p.Contact.String(), RelayedBy: sanitize(p.Via), LastContactAgeMs: p.LastContactAge, StatusDurationMs: p.StatusDuration, SuspicionCount: p.SuspicionCount,
			Departed: [...]string{"", "left", "declared gone"}[p.Departure],
		}
		if r, _, has := f.records.Get(now, p.Name, keyServer); has {
			if d, ok := parseServer(r.Body); ok {
				x.Version, x.SettingsHash, x.Phase, x.WarmupProgress, x.Addr = sanitize(d.Version), sanitize(d.SettingsHash), d.Phase.String(), d.WarmupProgress, sanitize(d.Addr)
			}
		}
		s.Peers = append(s.Peers, x)
	}
	s.Records.Origins, s.Records.Records, s.Records.Bytes = f.records.Size()
	s.Records.Counts = f.records.Counts
	c := &f.traffic
	s.Traffic = Traffic{
		PacketsIn: c.packetsIn.Load(), PacketsOut: c.packetsOut.Load(), BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
		Dropped: c.dropped.Load(), Damaged: c.damaged.Load(), Streams: c.streams.Load(), MemberlistErrors: f.memberlistErrors.Load(),
	}
	s.Outliers, s.Drain = judged, drain
	if s.Budgets = budgets; budgets != nil {
		budgets.FleetCounts = f.countRanges(now, maxReportedQuotas)
	}
	return s
}

// The socket's bounds: operators and a watcher or two; a reader that does not take its answer within the time is cut off.
const (
	maxSocketRequests = 8
	socketTimeout     = 2 * time.Second
	maxHeaderBytes    = 8 << 10
)

// Socket serves operators on a Unix socket.
type Socket struct {
	server *http.Server
	path   string
	done   chan struct{}
}

// ServeSocket listens on a path; what a former process left there is taken away, a living one's is not.
func (f *Fleet) ServeSocket(path string) (*Socket, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("fleet: %s: a process serves there", path)
	} else if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	places := make(chan struct{}, maxSocketRequests)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		var b bytes.Buffer // whole before it is sent: no lock is held for a slow reader
		e := json.NewEncoder(&b)
		e.SetIndent("", " ")
		e.Encode(f.Status())
		w.Header().Set("Content-Type", "application/json")
		w.Write(b.Bytes())
	})
	mux.HandleFunc("POST /v1/gone", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if q.Get("who") == "" || q.Get("name") == "" {
			http.Error(w, "name and who expected", http.StatusBadRequest)
		} else if err := f.DeclareRemoved(q.Get("name"), q.Get("who"), q.Get("why")); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	})
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		drains := f.drains
		f.mu.Unlock()
		q := r.URL.Query()
		what, subject, who, why := cmp.Or(q.Get("what"), "drain"), cmp.Or(q.Get("subject"), f.options.Name), q.Get("who"), q.Get("why")
		member := strings.Contains(subject, "/")
		if drains == nil {
			http.Error(w, "no keepers are set: fleet.keepers", http.StatusConflict)
			return
		}
		if who == "" || why == "" {
			http.Error(w, "who and why expected", http.StatusBadRequest)
			return
		}
		var err error
		switch ctx := r.Context(); {
		case what == "drain" && member:
			err = drains.DrainMember(ctx, subject, who, why)
		case what == "drain" && subject == f.options.Name:
			err = drains.Drain(ctx, who, why)
		case what == "drain":
			err = drains.Command(ctx, permit.Command{Kind: permit.RequestDrain, Subject: subject, Actor: who, Reason: why})
		case what == "back" && subject == f.options.Name && drains.isDraining():
			err = drains.Cancel(ctx, who)
		case what == "back":
			err = drains.Command(ctx, permit.Command{Kind: permit.Recall, Subject: subject, Actor: who, Reason: why})
		case what == "halt":
			err = drains.Command(ctx, permit.Command{Kind: permit.Halt, Actor: who, Reason: why})
		case what == "resume":
			err = drains.Command(ctx, permit.Command{Kind: permit.Resume, Actor: who, Reason: why})
		default:
			http.Error(w, fmt.Sprintf("what: drain, back, halt or resume expected, %.20q there", what), http.StatusBadRequest)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	})
	mux.HandleFunc("GET /v1/permits", func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		drains := f.drains
		f.mu.Unlock()
		if drains == nil {
			http.Error(w, "no keepers are set: fleet.keepers", http.StatusConflict)
			return
		}
		s, err := drains.PermitState(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(s)
	})
	s := &Socket{path: path, done: make(chan struct{}), server: &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case places <- struct{}{}:
				defer func() { <-places }()
				mux.ServeHTTP(w, r)
			default:
				http.Error(w, "too many readers", http.StatusServiceUnavailable)
			}
		}),
		ReadTimeout: socketTimeout, WriteTimeout: socketTimeout + 3*permitTimeout, IdleTimeout: socketTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
	go func() {
		defer close(s.done)
		s.server.Serve(ln)
	}()
	return s, nil
}

// Close ends it at once.
func (s *Socket) Close() {
	s.server.Close()
	<-s.done
}

// socketRequest does one exchange with a server's socket.
func socketRequest(ctx context.Context, path, verb, target string) ([]byte, error) {
	client := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		},
	}}
	r, err := http.NewRequestWithContext(ctx, verb, "http://fleet"+target, nil)
	if err != nil {
		return nil, err
	}
	a, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, 16<<20))
	if err == nil && a.StatusCode != http.StatusOK {
		err = errors.New(string(bytes.TrimSpace(b)))
	}
	return b, err
}

// FetchStatus reads the status of the server whose socket is at path.
func FetchStatus(ctx context.Context, path string) (s Status, err error) {
	b, err := socketRequest(ctx, path, http.MethodGet, "/v1/status")
	if err == nil {
		err = json.Unmarshal(b, &s)
	}
	return s, err
}

// RequestDrain has the server at path drain by the keepers' permit, or do by what, subject, who and why of the query: drain, back, halt or
// resume; a server by its name, or pool/member.
func RequestDrain(ctx context.Context, path, query string) error {
	_, err := socketRequest(ctx, path, http.MethodPost, "/v1/drain?"+query)
	return err
}

// FetchPermits reads what keepers agree on, by way of the server at path.
func FetchPermits(ctx context.Context, path string) (s permitclient.Status, err error) {
	b, err := socketRequest(ctx, path, http.MethodGet, "/v1/permits")
	if err == nil {
		err = json.Unmarshal(b, &s)
	}
	return s, err
}

// RequestRemoval tells the server at path that a name is gone.
func RequestRemoval(ctx context.Context, path, query string) error {
	_, err := socketRequest(ctx, path, http.MethodPost, "/v1/gone?"+query)
	return err
}
