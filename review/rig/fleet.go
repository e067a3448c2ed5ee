package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"sorrelvalve/internal/permitclient"
	"sorrelvalve/internal/standin"
)

// Settings are those of the README's complete file, whose methods are worked on by pools in these cases.
const Settings = `{
  "classes": [
    {"name": "account-view", "aim": 1800000000, "give_up": 4500000000, "idempotency": "read_like", "worth": 1.0, "late_worth": 0.2},
    {"name": "topup-buy", "aim": 1800000000, "give_up": 4500000000, "idempotency": "idempotency_key", "worth": 3.0, "window": 13584000000}
  ],
  "customers": [{"name": "kaipara-wireless", "quota_rps": 52.0}, {"name": "ruapehu-air", "quota_rps": 46.0}],
  "client_habits": {"marks_retry": true},
  "family_info": {"callers": 3, "cores": 6, "ram_kb": 75690.0, "run_factor": 16.0, "key_kb": 84.55,
    "heeded": 1000000000, "idle": 30000000000, "meters": ["core_use", "on_cores"]},
  "limits": {"retry_after": true, "max_retry_after": 1000000000},
  "over_share_worth": 0.1,
  "replicas_of_me": 2,
  "rules": {"answer_slack": 80000000, "cold": 17000000000, "drain_grace": 2500000000, "start_capacity": 0.21, "tip_multiple": 8.0},
  "tick": 4000000
}`

// Customer is the customer on whose behalf the cases send RPCs.
const Customer = "kaipara-wireless"

const startTimeout = 20 * time.Second

// Keepers are the replicas of the permit service.
type Keepers struct {
	Addrs []string // for clients
	c     *Case
}

// StartKeepers starts a new set of n replicas.
func (c *Case) StartKeepers(n int) *Keepers {
	k := &Keepers{c: c}
	var peers []string
	for i := range n {
		client := c.FreeAddr()
		k.Addrs = append(k.Addrs, client)
		peers = append(peers, "--peer", fmt.Sprintf("k%d=%s,%s", i, c.FreeAddr(), client))
	}
	for i := range n {
		name := fmt.Sprint("k", i)
		args := append([]string{"serve", "--name", name, "--dir", c.Path(name), "--new"}, peers...)
		c.Start(name, nil, "valvepermitd", args...)
	}
	return k
}

// Flag returns the value of --keepers.
func (k *Keepers) Flag() string { return strings.Join(k.Addrs, ",") }

// Set sets the roster and the limits.
func (k *Keepers) Set(roster string) {
	path := k.c.WriteFile("roster.json", roster)
	k.c.Check(Await("roster taken by the keepers", startTimeout, func() bool {
		_, err := k.c.Command("valvepermitd", "set", "--keepers", k.Flag(), path)
		return err == nil
	}))
}

// Member is a server of the fleet, with its engine.
type Member struct {
	Name    string
	Listen  string // for routers
	Gossip  string
	Socket  string
	Process *Process
	Config  string // path
	Record  string // path

	c *Case
}

// NewMember prepares a server: its addresses, its engine and its configuration. It is started with Start.
func (c *Case) NewMember(name, membership, settings string) *Member {
	cores := standin.NewCores(6, 8)
	engine, err := standin.NewEngine(cores, standin.WorkByMethod(map[string]float64{"account-view": 5, "topup-buy": 5}, 1), nil)
	c.Check(err)
	m := &Member{Name: name, Listen: c.FreeAddr(), Gossip: c.FreeAddr(), Socket: c.Path(name + ".sock"), c: c}
	m.Config = c.WriteFile(name+".json", fmt.Sprintf(`{"name":%q,"listen":%q,"engine":%q,"members":%q,"seed":"8c1f30d27a5be964",`+
		`"stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s}`,
		name, m.Listen, engine.Addr(), membership, settings))
	m.Record = c.Path(name + ".record")
	return m
}

// FleetPart returns the fleet section of the server's operator's file.
func (m *Member) FleetPart(seeds, keepers []string, folder string) string {
	part := fmt.Sprintf("fleet: {\n\tname: \"portal\"\n\tlisten: %q\n\tseeds: %s\n\tsocket: %q\n", m.Gossip, JSON(seeds), m.Socket)
	if len(keepers) > 0 {
		part += "\tkeepers: " + JSON(keepers) + "\n"
	}
	if folder != "" {
		part += fmt.Sprintf("\tfolder: %q\n", folder)
	}
	return part + "}\n"
}

// JSON returns a list of texts as JSON, which is CUE too.
func JSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // lists of texts can always be encoded
	}
	return string(b)
}

// Compile checks the operator's file and compiles it to the record that the server reads.
func (m *Member) Compile(cue string) {
	path := m.c.WriteFile(m.Name+".cue", "package sorrelvalve\n\n"+cue)
	_, err := m.c.Command("valvectl", "check", path, "--settings", m.Config)
	m.c.Check(err)
	_, err = m.c.Command("valvectl", "compile", path, "--settings", m.Config, "-o", m.Record)
	m.c.Check(err)
}

// Start starts the server's process.
func (m *Member) Start() {
	m.Process = m.c.Start(m.Name, []string{"EDGE_CONFIG=" + m.Config}, "valvefleet", "serve", "--operator", m.Record)
}

// Permits returns what the command permits prints as JSON.
func (m *Member) Permits() (s permitclient.Status, err error) {
	out, err := m.c.Command("valvefleet", "permits", m.Socket, "--json")
	if err == nil {
		err = json.Unmarshal([]byte(out), &s)
	}
	return s, err
}

// AwaitHeard waits until the keepers hear all servers and count nothing as out.
func (m *Member) AwaitHeard() {
	m.c.Check(Await("all servers are heard", startTimeout, func() bool {
		s, err := m.Permits()
		return err == nil && len(s.State.Servers) > 0 && len(s.Observations) == 0 && s.State.AutoHaltReason == ""
	}))
}

// Membership is a stand-in membership service, which records changes of what is reported.
type Membership struct {
	Addr string
	c    *Case
	mu   sync.Mutex
	last map[string]string // phase by server
	at   map[string]time.Time
}

// StartMembership starts a membership service.
func (c *Case) StartMembership() *Membership {
	s := &Membership{Addr: c.FreeAddr(), c: c, last: map[string]string{}, at: map[string]time.Time{}}
	ln, err := net.Listen("tcp", s.Addr)
	c.Check(err)
	go func() { _ = http.Serve(ln, s) }() // until the end of this process
	return s
}

// ServeHTTP takes one report.
func (s *Membership) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report struct{ Phase string }
	if json.NewDecoder(r.Body).Decode(&report) != nil {
		http.Error(w, "no report", http.StatusBadRequest)
		return
	}
	name := strings.TrimPrefix(r.URL.Path, "/members/")
	s.mu.Lock()
	changed := s.last[name] != report.Phase
	if changed {
		s.last[name] = report.Phase
		s.at[name] = time.Now()
	}
	s.mu.Unlock()
	if changed {
		s.c.Log("membership service: %s reports %s", name, report.Phase)
	}
	w.WriteHeader(http.StatusNoContent)
}

// Phase returns what a server reported last, and since when.
func (s *Membership) Phase(name string) (phase string, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[name], s.at[name]
}
