// Package permitclient implements the client of the permit service, with JSON over HTTP. Any replica accepts requests; a replica
// that is not the leader responds with the leader's address. The package does not link raft. Since the client retries, it must
// never send a request that is not idempotent.
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
	attemptTimeout     = 3 * time.Second        // longer than the time that a replica waits for a majority
	attemptPause       = 100 * time.Millisecond // before the next attempt, unless the leader is known
	dialTimeout        = time.Second
	maxIdleConnections = 2        // to each replica
	maxResponseBytes   = 64 << 20 // the status of the largest roster is a few MB
)

// LeaderHeader is the response header that holds the leader's address for clients.
const LeaderHeader = "Keeper-Leader"

// MaxMembers bounds the number of pool members in a heartbeat. A server with more members reports none.
const MaxMembers = 512

// ErrNoServers is returned by a client that has no addresses of replicas.
var ErrNoServers = errors.New("no keeper is known")

// ResponseError is an error response of a replica.
type ResponseError struct {
	StatusCode int
	Text       string // of the response body
	Leader     string // address of the leader for clients; "" if the replica does not know it
}

// Error returns the text of the response.
func (e *ResponseError) Error() string { return e.Text }

// Heartbeat is the report that each server sends every second.
type Heartbeat struct {
	Name         string                        `json:"name"`
	OutOfService float64                       `json:"out"`               // share of the server that is out of service, from 0 to 1
	Incarnation  uint64                        `json:"start"`             // increases with each restart
	DecidedRPS   float64                       `json:"seen,omitempty"`    // RPCs per second that it recently admitted or rejected
	RejectedRPS  float64                       `json:"pushed,omitempty"`  // RPCs per second that it recently rejected
	MembersOut   map[string]bool               `json:"members,omitempty"` // keyed by pool/member: whether the member is out of service at this server, for any reason
	MemberDrains map[string]permit.MemberDrain `json:"left,omitempty"`    // keyed by pool/member: progress of the members that the server was directed to stop using
	Release      *release.Report               `json:"runs,omitempty"`    // versions that the server runs, and their counts
}

// Directives are the leader's instructions to a server.
type Directives struct {
	permit.Directives
	Index           uint64 `json:"index"`             // raft log index; directives with a lower index are older and must not be followed
	SettingsVersion uint64 `json:"version"`           // to run; 0 for the version of the server's own file
	SettingsHash    string `json:"hash,omitempty"`    // SHA-256 of the version's body in hex; "" for the server's own file
	ProgramVersion  uint64 `json:"program,omitempty"` // to run; 0 for the default program
	ProgramName     string `json:"name,omitempty"`    // name by which the supervisor starts the program
}

// Status is the leader's report to operators.
type Status struct {
	Leader           string               `json:"leader"` // name of the replica
	Observations     []permit.Observation `json:"seen"`
	State            *permit.State        `json:"state"`
	SettingsReleases *release.State       `json:"releases"`
	ProgramReleases  *release.State       `json:"programs"`
	RejectedShare    float64              `json:"pushed"` // rejected share of the RPCs of all reachable servers
	Drains           []permit.DrainStatus `json:"drained,omitempty"`
}

// Replacement is a request to replace one replica with another. Either name may be empty.
type Replacement struct {
	Removed       string `json:"out"`  // name of the replica to remove
	Added         string `json:"name"` // name of the replica to add
	AddedRaftAddr string `json:"raft"` // address of the added replica for the others
}

// Client sends requests to the permit service. It is safe for concurrent use.
type Client struct {
	addrs []string
	http  http.Client
}

// New returns a client of the replicas at the given addresses (IP and port).
func New(addrs []string) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DialContext: dialer.DialContext}
	return &Client{addrs: addrs, http: http.Client{Timeout: attemptTimeout, Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a command, and retries until it receives the result or ctx ends.
func (c *Client) Do(ctx context.Context, command permit.Command) (result permit.Result, err error) {
	err = c.request(ctx, http.MethodPost, "/v1/command", command, &result)
	return result, err
}

// Heartbeat sends a server's heartbeat to the leader and returns the server's directives.
func (c *Client) Heartbeat(ctx context.Context, h Heartbeat) (d Directives, err error) {
	err = c.request(ctx, http.MethodPost, "/v1/here", h, &d)
	return d, err
}

// Release sends a command on versions and releases, and retries until it receives the result or ctx ends.
func (c *Client) Release(ctx context.Context, command release.Command) (result release.Result, err error) {
	err = c.request(ctx, http.MethodPost, "/v1/release", command, &result)
	return result, err
}

// Version reads a stored version of settings from the leader.
func (c *Client) Version(ctx context.Context, number uint64) (v release.Version, err error) {
	err = c.request(ctx, http.MethodGet, fmt.Sprint("/v1/version?number=", number), nil, &v)
	return v, err
}

// Replace requests that the leader removes a replica from the cluster and adds another. It is idempotent.
func (c *Client) Replace(ctx context.Context, r Replacement) error {
	return c.request(ctx, http.MethodPost, "/v1/keepers", r, &struct{}{})
}

// State reads the replicated state and the leader's observations.
func (c *Client) State(ctx context.Context) (s Status, err error) {
	err = c.request(ctx, http.MethodGet, "/v1/state", nil, &s)
	return s, err
}

// request sends one request to one replica after another until the leader responds, a replica rejects the request as malformed,
// or ctx ends. in is sent as JSON unless it is nil; the response is decoded into out.
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
	leader := "" // address in the last response
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
		var rejection *ResponseError
		if errors.As(err, &rejection) {
			if rejection.StatusCode == http.StatusBadRequest {
				return rejection
			}
			leader = rejection.Leader
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
	_ = response.Body.Close() // the body has been read, or its connection is broken
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		text := string(bytes.TrimSpace(body))
		return nil, &ResponseError{StatusCode: response.StatusCode, Text: text, Leader: response.Header.Get(LeaderHeader)}
	}
	return body, nil
}
