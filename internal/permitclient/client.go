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
	tryWait    = 3 * time.Second // longer than a keeper waits for the others
	triesPause = 100 * time.Millisecond
)

// LeaderField of an answer names where the leader takes clients.
const LeaderField = "Keeper-Leader"

// Here is a server's word: how much of it is out of use, which start of its name it is, and what it knows of members of pools.
type Here struct {
	Name    string                 `json:"name"`
	Out     float64                `json:"out"`
	Start   uint64                 `json:"start"`
	Seen    float64                `json:"seen,omitempty"`    // RPCs a second that it decided on of late
	Pushed  float64                `json:"pushed,omitempty"`  // of these, pushed back
	Members map[string]bool        `json:"members,omitempty"` // pool/member: whether it is out here, whyever
	Left    map[string]permit.Left `json:"left,omitempty"`    // of those that it was told to leave alone
	Runs    *release.Seen          `json:"runs,omitempty"`    // the version that it runs, and what it carried by that
}

// Orders are what a server is to do.
type Orders struct {
	permit.Orders
	Index   uint64 `json:"index"` // of the keepers' log: an older word goes behind a newer
	Version uint64 `json:"version"`
	Hash    string `json:"hash,omitempty"`    // SHA-256 of its body; "" for the own file's
	Program uint64 `json:"program,omitempty"` // version of the program; 0: what it is started with by itself
	Name    string `json:"name,omitempty"`    // by which that is started
}

// MostMembers of pools are told of by a server; of more, none is.
const MostMembers = 512

// Status is what a keeper that leads tells.
type Status struct {
	Leader string        `json:"leader"`
	Seen   []permit.Seen `json:"seen"`
	State  *permit.State `json:"state"`

	Releases *release.Book    `json:"releases"` // of settings
	Programs *release.Book    `json:"programs"`
	Pushed   float64          `json:"pushed"` // share of its RPCs that the heard fleet pushes back
	Drained  []permit.Drained `json:"drained,omitempty"`
}

// Client asks keepers. It may be used by many goroutines.
type Client struct {
	addrs []string
	http  http.Client
}

// New returns a client of the keepers at these addresses.
func New(addrs []string) *Client {
	return &Client{addrs: addrs, http: http.Client{Timeout: tryWait, Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// Close ends its connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// ask goes from keeper to keeper until one answers as the leader, or ctx ends. What is asked must do nothing if it comes again.
func (c *Client) ask(ctx context.Context, verb, path string, in, out any) error {
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
				next = a.Header.Get(LeaderField)
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
		case <-time.After(triesPause):
		}
	}
}

// Do sends a command until it has its answer or ctx ends.
func (c *Client) Do(ctx context.Context, x permit.Command) (a permit.Answer, err error) {
	return a, c.ask(ctx, http.MethodPost, "/v1/command", x, &a)
}

// Here tells the leader how a server is, and returns what the server is to do.
func (c *Client) Here(ctx context.Context, h Here) (o Orders, err error) {
	return o, c.ask(ctx, http.MethodPost, "/v1/here", h, &o)
}

// Release sends a command on versions and releases until it has its answer or ctx ends.
func (c *Client) Release(ctx context.Context, x release.Command) (a release.Answer, err error) {
	return a, c.ask(ctx, http.MethodPost, "/v1/release", x, &a)
}

// Version reads one that is kept, from the leader.
func (c *Client) Version(ctx context.Context, number uint64) (v release.Version, err error) {
	return v, c.ask(ctx, http.MethodGet, fmt.Sprint("/v1/version?number=", number), nil, &v)
}

// Exchange is one keeper for another: either may be empty.
type Exchange struct {
	Out  string `json:"out"`  // the name of the one that goes
	Name string `json:"name"` // of the one that comes
	Raft string `json:"raft"` // where keepers reach that
}

// Replace has the leader take a keeper out of the set, and another in. The same again does the same.
func (c *Client) Replace(ctx context.Context, x Exchange) error {
	return c.ask(ctx, http.MethodPost, "/v1/keepers", x, &struct{}{})
}

// State reads all that is agreed on, through the leader.
func (c *Client) State(ctx context.Context) (s Status, err error) {
	return s, c.ask(ctx, http.MethodGet, "/v1/state", nil, &s)
}
