// Package permitclient is the client of the permit service, over HTTP with JSON: any replica accepts requests, and one that is
// not the leader names the leader. It links no raft. It must never send a request that may not be carried out twice, since it
// retries.
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
	attemptTimeout     = 3 * time.Second // longer than a replica waits for a majority
	attemptPause       = 100 * time.Millisecond
	dialTimeout        = time.Second
	maxIdleConnections = 2        // to each replica
	maxResponseBytes   = 64 << 20 // the status of the largest roster is a few MB
)

// LeaderHeader is the response header that names where the leader takes clients.
const LeaderHeader = "Keeper-Leader"

// MaxMembers bounds the pool members of a heartbeat; a server that has more reports none.
const MaxMembers = 512

// ErrNoServers is returned by a client that was given no addresses.
var ErrNoServers = errors.New("no keeper is known")

// ResponseError is a response of a replica that is not a result.
type ResponseError struct {
	StatusCode int
	Text       string // as the replica gave it
	Leader     string // where the leader takes clients; "" if the replica does not know
}

// Error returns the text.
func (e *ResponseError) Error() string { return e.Text }

// Heartbeat is what a server reports about itself, each second.
type Heartbeat struct {
	Name         string                        `json:"name"`
	OutOfService float64                       `json:"out"`               // share of the server, from 0 to 1
	Incarnation  uint64                        `json:"start"`             // larger after each restart
	DecidedRPS   float64                       `json:"seen,omitempty"`    // RPCs per second that it decided on recently
	RejectedRPS  float64                       `json:"pushed,omitempty"`  // of these, rejected
	MembersOut   map[string]bool               `json:"members,omitempty"` // by pool/member: whether it is out of service here, for any reason
	MemberDrains map[string]permit.MemberDrain `json:"left,omitempty"`    // by pool/member: of those that it was directed to stop using
	Release      *release.Report               `json:"runs,omitempty"`    // the versions that it runs, and their counts
}

// Directives are what a server is to do.
type Directives struct {
	permit.Directives
	Index           uint64 `json:"index"`             // of the raft log; directives of a lower index are older and must not be followed
	SettingsVersion uint64 `json:"version"`           // 0: its own file's
	SettingsHash    string `json:"hash,omitempty"`    // SHA-256 of the version's body, hex; "" for its own file's
	ProgramVersion  uint64 `json:"program,omitempty"` // 0: the program that it is started with by default
	ProgramName     string `json:"name,omitempty"`    // by which the supervisor starts the program
}

// Status is what the leader reports to operators.
type Status struct {
	Leader           string               `json:"leader"` // the replica's name
	Observations     []permit.Observation `json:"seen"`
	State            *permit.State        `json:"state"`
	SettingsReleases *release.State       `json:"releases"`
	ProgramReleases  *release.State       `json:"programs"`
	RejectedShare    float64              `json:"pushed"` // of the RPCs of all reachable servers
	Drains           []permit.DrainStatus `json:"drained,omitempty"`
}

// Replacement replaces one replica by another: either may be empty.
type Replacement struct {
	Removed       string `json:"out"`  // the name of the replica to remove
	Added         string `json:"name"` // the name of the replica to add
	AddedRaftAddr string `json:"raft"` // where the other replicas reach that
}

// Client sends requests to the permit service. It may be used by many goroutines.
type Client struct {
	addrs []string
	http  http.Client
}

// New returns a client of the replicas at these addresses (IP and port).
func New(addrs []string) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DialContext: dialer.DialContext}
	return &Client{addrs: addrs, http: http.Client{Timeout: attemptTimeout, Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a command until it has its result or ctx ends.
func (c *Client) Do(ctx context.Context, command permit.Command) (result permit.Result, err error) {
	err = c.request(ctx, http.MethodPost, "/v1/command", command, &result)
	return result, err
}

// Heartbeat reports a server to the leader and returns the server's directives.
func (c *Client) Heartbeat(ctx context.Context, h Heartbeat) (d Directives, err error) {
	err = c.request(ctx, http.MethodPost, "/v1/here", h, &d)
	return d, err
}

// Release sends a command on versions and releases until it has its result or ctx ends.
func (c *Client) Release(ctx context.Context, command release.Command) (result release.Result, err error) {
	err = c.request(ctx, http.MethodPost, "/v1/release", command, &result)
	return result, err
}

// Version reads a stored version of settings from the leader.
func (c *Client) Version(ctx context.Context, number uint64) (v release.Version, err error) {
	err = c.request(ctx, http.MethodGet, fmt.Sprint("/v1/version?number=", number), nil, &v)
	return v, err
}

// Replace has the leader remove a replica from the cluster and add another. A repeated request changes nothing more.
func (c *Client) Replace(ctx context.Context, x Replacement) error {
	return c.request(ctx, http.MethodPost, "/v1/keepers", x, &struct{}{})
}

// State reads the replicated state and what the leader observes.
func (c *Client) State(ctx context.Context) (s Status, err error) {
	err = c.request(ctx, http.MethodGet, "/v1/state", nil, &s)
	return s, err
}

// request sends one request to replica after replica until one responds as the leader, a replica finds the request malformed,
// or ctx ends. in is sent as JSON unless it is nil; the response is read into out.
func (c *Client) request(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	if len(c.addrs) == 0 {
		return ErrNoServers
	}
	leader := "" // as the last response named it
	for i := 0; ; i++ {
		addr := leader
		if addr == "" {
			addr = c.addrs[i%len(c.addrs)]
		}
		r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		response, err := c.attempt(r)
		if err == nil {
			return json.Unmarshal(response, out)
		}
		leader = ""
		var refused *ResponseError
		if errors.As(err, &refused) {
			if refused.StatusCode == http.StatusBadRequest {
				return refused
			}
			leader = refused.Leader
		}
		if leader != "" {
			continue
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("keepers: %w", err)
		case <-time.After(attemptPause):
		}
	}
}

// attempt sends one request to one replica and returns the body of its response, or a ResponseError.
func (c *Client) attempt(r *http.Request) ([]byte, error) {
	response, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	_ = response.Body.Close() // it is read, or lost with its connection
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		text := string(bytes.TrimSpace(body))
		return nil, &ResponseError{StatusCode: response.StatusCode, Text: text, Leader: response.Header.Get(LeaderHeader)}
	}
	return body, nil
}
