// Package ask is how servers and operators ask keepers, over HTTP with JSON: any keeper does, who does not lead names the
// leader. It links no raft. It must never send anything that may not come twice.
package permitclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/decision/release"
)

const (
	attemptTimeout = 3 * time.Second // longer than a keeper waits for the others
	attemptPause   = 100 * time.Millisecond
)

// LeaderField of an answer names where the leader takes clients.
const LeaderHeader = "Keeper-Leader"

// Here is a server's word: how much of it is out of use, which start of its name it is, and what it knows of members of pools.
type Heartbeat struct {
	Name         string                        `json:"name"`
	OutOfService float64                       `json:"out"`
	Incarnation  uint64                        `json:"start"`
	DecidedRPS   float64                       `json:"seen,omitempty"`    // RPCs a second that it decided on of late
	RejectedRPS  float64                       `json:"pushed,omitempty"`  // of these, pushed back
	MembersOut   map[string]bool               `json:"members,omitempty"` // pool/member: whether it is out here, whyever
	MemberDrains map[string]permit.MemberDrain `json:"left,omitempty"`    // of those that it was told to leave alone
	Release      *release.Report               `json:"runs,omitempty"`    // the version that it runs, and what it carried by that
}

// Orders are what a server is to do.
type Directives struct {
	permit.Directives
	Index           uint64 `json:"index"` // of the keepers' log: an older word goes behind a newer
	SettingsVersion uint64 `json:"version"`
	SettingsHash    string `json:"hash,omitempty"`    // SHA-256 of its body; "" for the own file's
	ProgramVersion  uint64 `json:"program,omitempty"` // version of the program; 0: what it is started with by itself
	ProgramName     string `json:"name,omitempty"`    // by which that is started
}

// MostMembers of pools are told of by a server; of more, none is.
const MaxMembers = 512

// Status is what a keeper that leads tells.
type Status struct {
	Leader       string               `json:"leader"`
	Observations []permit.Observation `json:"seen"`
	State        *permit.State        `json:"state"`

	SettingsReleases *release.State       `json:"releases"` // of settings
	ProgramReleases  *release.State       `json:"programs"`
	RejectedShare    float64              `json:"pushed"` // share of its RPCs that the heard fleet pushes back
	Drains           []permit.DrainStatus `json:"drained,omitempty"`
}

// Client asks keepers. It may be used by many goroutines.
type Client struct {
	addrs []string
	http  http.Client
}

// New returns a client of the keepers at these addresses.
func New(addrs []string) *Client {
	return &Client{addrs: addrs, http: http.Client{Timeout: attemptTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// Close ends its connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// ask goes from keeper to keeper until one answers as the leader, or ctx ends. What is asked must do nothing if it comes again.
func (c *Client) request(ctx context.Context, verb, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	last := errors.New("no keeper is known")
	next := ""
	for i := 0; ; i++ {
		addr := next
		if next = ""; addr == "" {
			if len(c.addrs) == 0 {
				return last
			}
			addr = c.addrs[i%len(c.addrs)]
		}
		r, err := http.NewRequestWithContext(ctx, verb, "http://"+addr+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		a, err := c.http.Do(r)
		if err == nil {
			b, readErr := io.ReadAll(io.LimitReader(a.Body, 64<<20))
			a.Body.Close()
			switch {
			case readErr != nil:
				last = readErr
			case a.StatusCode == http.StatusOK:
				return json.Unmarshal(b, out)
			case a.StatusCode == http.StatusBadRequest:
				return errors.New(string(bytes.TrimSpace(b)))
			default:
				last = errors.New(string(bytes.TrimSpace(b)))
				next = a.Header.Get(LeaderHeader)
			}
		} else {
			last = err
		}
		if next != "" {
			continue
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("keepers: %w", last)
		case <-time.After(attemptPause):
		}
	}
}

// Do sends a command until it has its answer or ctx ends.
func (c *Client) Do(ctx context.Context, x permit.Command) (a permit.Result, err error) {
	return a, c.request(ctx, http.MethodPost, "/v1/command", x, &a)
}

// Here tells the leader how a server is, and returns what the server is to do.
func (c *Client) Heartbeat(ctx context.Context, h Heartbeat) (o Directives, err error) {
	return o, c.request(ctx, http.MethodPost, "/v1/here", h, &o)
}

// Release sends a command on versions and releases until it has its answer or ctx ends.
func (c *Client) Release(ctx context.Context, x release.Command) (a release.Result, err error) {
	return a, c.request(ctx, http.MethodPost, "/v1/release", x, &a)
}

// Version reads one that is kept, from the leader.
func (c *Client) Version(ctx context.Context, number uint64) (v release.Version, err error) {
	return v, c.request(ctx, http.MethodGet, fmt.Sprint("/v1/version?number=", number), nil, &v)
}

// Exchange is one keeper for another: either may be empty.
type Replacement struct {
	Removed       string `json:"out"`  // the name of the one that goes
	Added         string `json:"name"` // of the one that comes
	AddedRaftAddr string `json:"raft"` // where keepers reach that
}

// Replace has the leader take a keeper out of the set, and another in. The same again does the same.
func (c *Client) Replace(ctx context.Context, x Replacement) error {
	return c.request(ctx, http.MethodPost, "/v1/keepers", x, &struct{}{})
}

// State reads all that is agreed on, through the leader.
func (c *Client) State(ctx context.Context) (s Status, err error) {
	return s, c.request(ctx, http.MethodGet, "/v1/state", nil, &s)
}
