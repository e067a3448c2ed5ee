package standin

// This file owns the callers: one that speaks MessagePack-RPC as the routers do, one that speaks uwsgi as a web tier
// does, and an open-loop load over both. A caller must tell an answer that never came from one that said no.

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sorrelvalve/internal/msgpack"
	wire "sorrelvalve/internal/uwsgi"
)

// Call is one RPC to be made.
type Call struct {
	Method, Customer string
	Token            string
	Body             []byte
	Caller           int
	Subject          uint64
	HintMs           float64 // ms
	Retry            bool
	ArrivedAt        time.Time // when it reached the machine; now if zero
}

// Outcome is how a call ended.
type Outcome int

const (
	OK Outcome = iota
	Rejected
	Aborted
	Invalid
	Lost // no whole answer came
)

func (o Outcome) String() string {
	return [...]string{"ok", "pushed back", "aborted", "senseless", "lost"}[o]
}

// Reply is what a caller got.
type Reply struct {
	Outcome      Outcome
	Body         []byte
	Reason       string
	RetryAfterMs float64 // ms
	Latency      time.Duration
}

// Caller makes calls. It may be used by many goroutines.
type Caller interface {
	Call(ctx context.Context, c Call) Reply
	Close()
}

var txns atomic.Uint64

// Router speaks MessagePack-RPC over some connections.
type Router struct {
	addr string
	next atomic.Uint64
	mu   sync.Mutex
	conn []*routerConn
}

type routerConn struct {
	nc net.Conn

	mu   sync.Mutex
	next uint64
	open map[uint64]chan Reply
	shut bool // no more on it
}

// mostOpen is what the protocol lets a router have open on one connection.
const mostOpen = 32

// NewRouter returns a router that opens connections as it needs them.
func NewRouter(addr string) *Router { return &Router{addr: addr} }

// Close ends its connections.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conn {
		c.nc.Close()
	}
}

// place is a connection with room, and a number on it.
func (r *Router) place() (*routerConn, uint64, chan Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conn {
		if id, answer := c.book(); answer != nil {
			return c, id, answer, nil
		}
	}
	nc, err := net.DialTimeout("tcp", r.addr, time.Second)
	if err != nil {
		return nil, 0, nil, err
	}
	c := &routerConn{nc: nc, open: map[uint64]chan Reply{}}
	r.conn = append(r.conn, c)
	go func() {
		c.read()
		r.mu.Lock()
		defer r.mu.Unlock()
		for i, o := range r.conn {
			if o == c {
				r.conn = append(r.conn[:i], r.conn[i+1:]...)
				return
			}
		}
	}()
	id, answer := c.book()
	return c, id, answer, nil
}

func (c *routerConn) book() (uint64, chan Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut || len(c.open) >= mostOpen {
		return 0, nil
	}
	c.next++
	answer := make(chan Reply, 2)
	c.open[c.next] = answer
	return c.next, answer
}

// Call writes one RPC and waits for its answer. Once ctx ends it is withdrawn.
func (r *Router) Call(ctx context.Context, c Call) (reply Reply) {
	began := time.Now()
	defer func() { reply.Latency = time.Since(began) }()
	conn, id, answer, err := r.place()
	if err != nil {
		return Reply{Outcome: Lost, Reason: err.Error()}
	}
	door := began
	if !c.ArrivedAt.IsZero() {
		door = c.ArrivedAt
	}
	f := []string{"txn", fmt.Sprintf("%016x", txns.Add(1)), "door", strconv.FormatInt(door.UnixMilli(), 10), "lb", strconv.Itoa(c.Caller), "ram", "24.5"}
	add := func(key, value string) { f = append(f, key, value) }
	if c.Customer != "" {
		add("team", c.Customer)
	}
	if c.HintMs > 0 {
		add("cpu", strconv.FormatFloat(c.HintMs, 'f', 2, 64))
	}
	if c.Token != "" {
		add("unique", c.Token)
	}
	if c.Subject != 0 {
		add("item", strconv.FormatUint(c.Subject, 16))
	}
	if c.Retry {
		add("second", "1")
	}
	b := msgpack.AppendString(msgpack.AppendUint(append(msgpack.AppendArray(nil, 4), 0), id), c.Method)
	b = msgpack.AppendMap(msgpack.AppendArray(b, 2), len(f)/2)
	for _, s := range f {
		b = msgpack.AppendString(b, s)
	}
	b = append(msgpack.AppendBinHeader(b, len(c.Body)), c.Body...)
	if _, err := conn.nc.Write(b); err != nil {
		conn.nc.Close()
		return Reply{Outcome: Lost, Reason: err.Error()}
	}
	select {
	case reply = <-answer:
		return reply
	case <-ctx.Done():
		b := msgpack.AppendString(msgpack.AppendUint(msgpack.AppendArray(nil, 3), 2), "cancel")
		conn.nc.Write(msgpack.AppendUint(msgpack.AppendArray(b, 1), id))
		return Reply{Outcome: Lost, Reason: ctx.Err().Error()}
	}
}

func (c *routerConn) read() {
	defer func() {
		c.nc.Close()
		c.mu.Lock()
		c.shut = true
		for _, answer := range c.open {
			answer <- Reply{Outcome: Lost, Reason: "the connection ended"}
		}
		clear(c.open)
		c.mu.Unlock()
	}()
	var b []byte
	part := make([]byte, 16<<10)
	for {
		p := msgpack.Parse(b)
		if p.Skip(); p.Err() != nil {
			n, err := c.nc.Read(part)
			if b = append(b, part[:n]...); err != nil {
				return
			}
			continue
		}
		c.answer(b[:p.Offset()])
		b = append([]byte(nil), b[p.Offset():]...)
		c.mu.Lock()
		over := c.shut && len(c.open) == 0
		c.mu.Unlock()
		if over {
			return
		}
	}
}

// answer takes one message apart.
func (c *routerConn) answer(b []byte) {
	p := msgpack.Parse(b)
	if p.Array() == 3 { // the notice that asks for no more
		c.mu.Lock()
		c.shut = true
		c.mu.Unlock()
		return
	}
	p.Uint()
	id := p.Uint()
	r := Reply{}
	if q := p; true {
		if q.Nil(); q.Err() == nil { // no error
			q.Array()
			r.Body = bytes.Clone(q.Bytes())
		} else {
			p.Array()
			what := string(p.Bytes())
			switch what {
			case "Overloaded":
				r.Outcome = Rejected
			case "Invalid":
				r.Outcome = Invalid
			default:
				r.Outcome = Aborted
			}
			for n := p.Map(); n > 0 && p.Err() == nil; n-- {
				key, v := string(p.Bytes()), string(p.Bytes())
				if key == "later" {
					r.RetryAfterMs, _ = strconv.ParseFloat(v, 64)
				} else if key == "why" {
					r.Reason = v
				}
			}
		}
	}
	c.mu.Lock()
	answer := c.open[id]
	delete(c.open, id)
	c.mu.Unlock()
	if answer != nil {
		answer <- r
	}
}

// WebTier is a web tier that speaks uwsgi: a connection for each RPC, or kept ones.
type WebTier struct {
	addr string
	keep bool
	free chan net.Conn
}

// NewWebTier returns a web tier before the server at addr.
func NewWebTier(addr string, keep bool) *WebTier {
	return &WebTier{addr: addr, keep: keep, free: make(chan net.Conn, 256)}
}

// Close ends the connections that it has kept.
func (w *WebTier) Close() {
	for {
		select {
		case c := <-w.free:
			c.Close()
		default:
			return
		}
	}
}

// RequestPacket is what a web tier writes for a call, without its body.
func RequestPacket(c Call, more ...string) []byte {
	f := append([]string{"REQUEST_METHOD", "POST", "PATH_INFO", "/" + c.Method, "REQUEST_URI", "/" + c.Method, "QUERY_STRING", "", "SERVER_PROTOCOL", "HTTP/1.1",
		"HTTP_HOST", "portal.example", "CONTENT_TYPE", "application/octet-stream", "CONTENT_LENGTH", strconv.Itoa(len(c.Body)), "REMOTE_ADDR", fmt.Sprintf("10.0.0.%d", c.Caller),
		"PROVIDER", c.Customer, "HTTP_USER_AGENT", "Mozilla/5.0 (X11; Linux x86_64) stand-in", "HTTP_ACCEPT", "*/*"}, more...)
	if c.Token != "" {
		f = append(f, "HTTP_IDEMPOTENCY_KEY", c.Token)
	}
	if c.HintMs > 0 {
		f = append(f, "WORK_MS", strconv.FormatFloat(c.HintMs, 'f', 2, 64))
	}
	if c.Retry {
		f = append(f, "SECOND", "1")
	}
	if c.Subject != 0 {
		f = append(f, "SUBJECT", strconv.FormatUint(c.Subject, 16))
	}
	b := make([]byte, wire.HeaderSize, 1024)
	for i := 0; i < len(f); i += 2 {
		b = wire.AppendVariable(b, f[i], f[i+1])
	}
	wire.AppendHeader(b[:0], 0, len(b)-wire.HeaderSize, 0)
	return b
}

// Call sends one RPC and reads its answer. Once ctx ends its connection is closed.
func (w *WebTier) Call(ctx context.Context, c Call) (reply Reply) {
	began := time.Now()
	defer func() { reply.Latency = time.Since(began) }()
	var nc net.Conn
	var more []string
	if w.keep {
		more = []string{"VALVE_KEEP", "1"}
		select {
		case nc = <-w.free:
		default:
		}
	}
	if nc == nil {
		var err error
		if nc, err = net.DialTimeout("tcp", w.addr, time.Second); err != nil {
			return Reply{Outcome: Lost, Reason: err.Error()}
		}
	}
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	parts := net.Buffers{RequestPacket(c, more...), c.Body}
	if _, err := parts.WriteTo(nc); err != nil {
		nc.Close()
		return Reply{Outcome: Lost, Reason: err.Error()}
	}
	reply, keep := ReadResponse(bufio.NewReader(nc))
	if stop() && keep && w.keep && reply.Outcome != Lost {
		select {
		case w.free <- nc:
			return reply
		default:
		}
	}
	nc.Close()
	return reply
}

// ReadResponse reads one answer, and tells whether the connection goes on.
func ReadResponse(in *bufio.Reader) (r Reply, keep bool) {
	var head []byte
	for {
		line, err := in.ReadSlice('\n')
		if head = append(head, line...); err != nil {
			return Reply{Outcome: Lost, Reason: err.Error()}, false
		}
		if len(line) <= 2 {
			break
		}
	}
	a, _, err := wire.ParseResponse(head)
	if err != nil {
		return Reply{Outcome: Lost, Reason: err.Error()}, false
	}
	keep = true
	wire.EachField(a.Head, func(name, value []byte) {
		switch string(name) {
		case "Connection":
			keep = string(value) != "close"
		case "Valve-Away-Ms":
			r.RetryAfterMs, _ = strconv.ParseFloat(string(value), 64)
		case "Valve-Why":
			r.Reason = string(value)
		}
	})
	switch {
	case a.Status < 400:
	case a.Status == 503:
		r.Outcome = Rejected
	case a.Status >= 500:
		r.Outcome = Aborted
	default:
		r.Outcome = Invalid
	}
	if a.Length > 0 {
		r.Body = make([]byte, a.Length)
		if _, err := io.ReadFull(in, r.Body); err != nil {
			return Reply{Outcome: Lost, Reason: err.Error()}, false
		}
	} else if a.Length < 0 && !a.HasNoBody() {
		if r.Body, err = io.ReadAll(in); err != nil {
			return Reply{Outcome: Lost, Reason: err.Error()}, false
		}
		keep = false
	}
	return r, keep
}

// RequestKind is one sort of RPC in a load.
type RequestKind struct {
	Method     string
	Share      float64
	MeanWorkMs float64 // mean, in ms; the hint is the RPC's own work, roughly
	WithToken  bool
	BodySuffix string // that stands in the body, behind the work
}

// LoadPlan is an open-loop load: calls come by chance at a rate, whatever becomes of those before.
type LoadPlan struct {
	Rate           float64 // a second
	Duration       time.Duration
	Kinds          []RequestKind
	Customers      []string
	Callers        int
	Seed           int64
	DuplicateShare float64       // share of tokened RPCs that are sent a second time by the other protocol, at once
	Deadline       time.Duration // after which a caller withdraws
}

// Sample is one call of a load.
type Sample struct {
	Offset   time.Duration // since the beginning
	Protocol string
	Method   string
	Reply
}

// Run puts a load on callers by their protocol, half to each, and returns a sample for each call. Each call is told
// to the rules.
func (p LoadPlan) Run(ctx context.Context, callers map[string]Caller, rules *InvariantChecker) []Sample {
	names := make([]string, 0, len(callers))
	for name := range callers {
		names = append(names, name)
	}
	if len(names) == 2 && names[0] > names[1] {
		names[0], names[1] = names[1], names[0]
	}
	chance := rand.New(rand.NewSource(p.Seed))
	var mu sync.Mutex
	var samples []Sample
	var wg sync.WaitGroup
	began := time.Now()
	at := 0.0
	for n := uint64(1); ; n++ {
		at += chance.ExpFloat64() / p.Rate
		due := time.Duration(at * float64(time.Second))
		if due >= p.Duration || ctx.Err() != nil {
			break
		}
		c := Call{Caller: chance.Intn(max(1, p.Callers)) + 1, Subject: uint64(chance.Intn(5000)) + 1}
		if len(p.Customers) > 0 {
			c.Customer = p.Customers[chance.Intn(len(p.Customers))]
		}
		kind := p.Kinds[len(p.Kinds)-1]
		for x, i := chance.Float64(), 0; i < len(p.Kinds); i++ {
			if x -= p.Kinds[i].Share; x < 0 {
				kind = p.Kinds[i]
				break
			}
		}
		work := RandomWork(chance, kind.MeanWorkMs)
		c.Method, c.HintMs = kind.Method, work*(0.8+0.4*chance.Float64())
		c.Body = strconv.AppendFloat(nil, work, 'f', 3, 64) // which the worker reads
		if kind.BodySuffix != "" {
			c.Body = append(append(c.Body, ' '), kind.BodySuffix...)
		}
		if kind.WithToken {
			c.Token = fmt.Sprintf("t%d-%d", p.Seed, n)
			c.Subject = 0
			c.Body = append(append(c.Body, ' '), c.Token...)
		}
		first := chance.Intn(len(names))
		to := []string{names[first]}
		if kind.WithToken && chance.Float64() < p.DuplicateShare {
			to = append(to, names[(first+1)%len(names)])
		}
		time.Sleep(time.Until(began.Add(due)))
		for k, name := range to {
			id := n<<1 | uint64(k)
			rules.RecordRequest(id)
			wg.Add(1)
			go func() {
				defer wg.Done()
				ctx, end := context.WithTimeout(ctx, p.Deadline)
				defer end()
				c := c
				c.Retry = k > 0
				r := callers[name].Call(ctx, c)
				if r.Outcome != Lost {
					rules.RecordResponse(id)
				}
				if r.Outcome == OK && !bytes.Equal(r.Body, c.Body) {
					rules.RecordViolation("%s by %s: the result is not that of its body", c.Method, name)
				}
				mu.Lock()
				defer mu.Unlock()
				samples = append(samples, Sample{due, name, c.Method, r})
			}()
		}
	}
	wg.Wait()
	return samples
}

// WorkFromBody is a Worker that takes the work told in the body, as Plan writes it, and echoes the body.
func WorkFromBody(_ string, body []byte) (float64, []byte) {
	text, _, _ := bytes.Cut(body, []byte{' '})
	work, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return 1, body
	}
	return work, body
}

// SummaryRow sums up the calls of one method, by one protocol or all.
type SummaryRow struct {
	Protocol, Method                         string
	Calls, OK, Late, Rejected, Aborted, Lost int
	P50, P99                                 float64 // ms, of ok answers
	RejectedP99                              float64 // ms, of pushed-back answers
	RejectedLate                             int     // pushed back after more than HeldMs
	OnTimeShare                              float64 // share of all that was ok within the latency target
	took, pushed                             []float64
}

// Summarize sums samples up by method, and by protocol if that is asked for. Late are ok answers past a latency target,
// which is 0 for none.
func Summarize(samples []Sample, byProtocol bool, target ...time.Duration) (rows []SummaryRow) {
	at := map[string]int{}
	for _, s := range samples {
		key := s.Method
		if byProtocol {
			key += " " + s.Protocol
		}
		i, has := at[key]
		if !has {
			i = len(rows)
			at[key] = i
			r := SummaryRow{Method: s.Method}
			if byProtocol {
				r.Protocol = s.Protocol
			}
			rows = append(rows, r)
		}
		r := &rows[i]
		r.Calls++
		ms := float64(s.Latency) / 1e6
		switch s.Outcome {
		case OK:
			r.took = append(r.took, ms)
			if len(target) > 0 && s.Latency > target[0] {
				r.Late++
			} else {
				r.OK++
			}
		case Rejected:
			r.Rejected++
			r.pushed = append(r.pushed, ms)
			if ms > LateRejectionMs {
				r.RejectedLate++
			}
		case Lost:
			r.Lost++
		default:
			r.Aborted++
		}
	}
	for i := range rows {
		r := &rows[i]
		r.P50, r.P99, r.RejectedP99 = Quantile(r.took, 0.5), Quantile(r.took, 0.99), Quantile(r.pushed, 0.99)
		r.OnTimeShare = float64(r.OK) / float64(max(1, r.Calls))
	}
	sort.Slice(rows, func(i, k int) bool {
		if rows[i].Method != rows[k].Method {
			return rows[i].Method < rows[k].Method
		}
		return rows[i].Protocol < rows[k].Protocol
	})
	return rows
}

// LateRejectionMs is above what an answer that was decided at once takes on a busy machine.
const LateRejectionMs = 20.0

// Quantile is the exact one of some values, which it sorts; 0 of none.
func Quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sort.Float64s(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}
