package httpvalve

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelvalve/decision/route"
	"sorrelvalve/valve"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testTimeout = 10 * time.Second

var routes = []route.Rule{
	{Name: "view", Path: "/view/*", Method: "view"},
	{Name: "buy", Path: "/buy", Verb: "POST", Method: "buy", Token: route.Source{Variable: "HTTP_IDEMPOTENCY_KEY"}, CostHint: route.Source{Variable: "HTTP_WORK_MS"}},
}

// testServer is an HTTP server whose handler runs behind a valve.
type testServer struct {
	*testing.T
	valve  *valve.Valve
	server *httptest.Server
	runs   atomic.Int32
}

func startServer(t *testing.T, handler http.HandlerFunc, change ...func(*valve.Options, *Options, *httptest.Server)) *testServer {
	vo := valve.Options{
		Methods: []valve.Method{{Name: "view", LatencyObjective: 200 * time.Millisecond, Deadline: 400 * time.Millisecond},
			{Name: "buy", LatencyObjective: 2 * time.Second, Idempotency: valve.IdempotencyKeyed, DedupWindow: time.Minute, Criticality: 3}},
		Cores: 1, MaxRunsPerCore: 1, MaxRetryAfter: 1500 * time.Millisecond, Gauges: func() (valve.Gauges, bool) { return valve.Gauges{}, false },
	}
	o := Options{Routes: routes, CacheBytes: 1000, MaxBodyBytes: 100}
	r := &testServer{T: t}
	r.server = httptest.NewUnstartedServer(nil)
	r.server.Config.ErrorLog = log.New(io.Discard, "", 0)
	for _, c := range change {
		c(&vo, &o, r.server)
	}
	v, err := valve.New(vo)
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(v, o)
	if err != nil {
		t.Fatal(err)
	}
	r.valve = v
	r.server.Config.Handler = m.Handler(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.runs.Add(1)
		handler(w, q)
	}))
	r.server.Start()
	t.Cleanup(func() {
		r.server.Close()
		v.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return r
}

// writeString writes s and fails the test on an error.
func writeString(t testing.TB, w io.Writer, s string) {
	if _, err := io.WriteString(w, s); err != nil {
		t.Errorf("write: %v", err)
	}
}

// mustClose closes c and fails the test on an error.
func mustClose(t testing.TB, c io.Closer) {
	if err := c.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}

// get sends a request and returns "STATUS BODY" and the header. It returns "error" if there is no response, and "STATUS cut"
// if the body is incomplete.
func (r *testServer) get(verb, path, body string, header ...string) (string, http.Header) {
	q, err := http.NewRequest(verb, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		r.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return "error", nil
	}
	defer mustClose(r, response.Body)
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Sprintf("%d cut", response.StatusCode), response.Header
	}
	for k, v := range response.Trailer {
		response.Header["Trailer:"+k] = v
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", response.StatusCode, b)), response.Header
}

func (r *testServer) expect(want, verb, path, body string, header ...string) http.Header {
	r.Helper()
	got, h := r.get(verb, path, body, header...)
	if got != want {
		r.Errorf("%s %s: got %q, want %q; header %v", verb, path, got, want, h)
	}
	return h
}

func (r *testServer) waitIdle() {
	r.Helper()
	for end := time.Now().Add(testTimeout); r.valve.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.Fatalf("RPCs in flight after the time limit: got %d, want 0", r.valve.InFlight())
		}
	}
}

// TestOverdue checks a handler that runs past its deadline: the caller gets one response in time, what the handler writes
// afterwards is discarded, and the run counts as in flight until the handler returns.
func TestOverdue(t *testing.T) {
	release, wrote := make(chan struct{}), make(chan error, 1)
	r := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, err := io.WriteString(w, "late")
		wrote <- err
	})
	began := time.Now()
	r.expect("504", "GET", "/view/1", "")
	if elapsed := time.Since(began); elapsed > 2*time.Second {
		t.Errorf("status 504 after %v, want within 2 s", elapsed)
	}
	if r.valve.InFlight() != 1 {
		t.Errorf("RPCs in flight: got %d, want 1", r.valve.InFlight())
	}
	close(release)
	if err := <-wrote; !errors.Is(err, http.ErrHandlerTimeout) {
		t.Error(err)
	}
	r.waitIdle()
}

// TestQueued checks that queued RPCs are rejected in time with a retry-after, and that an RPC whose caller has disconnected does
// not run.
func TestQueued(t *testing.T) {
	release := make(chan struct{})
	r := startServer(t, func(_ http.ResponseWriter, q *http.Request) {
		if strings.HasSuffix(q.URL.Path, "slow") {
			<-release
		}
	}, func(v *valve.Options, _ *Options, _ *httptest.Server) {
		v.Methods[0].Deadline = 5 * time.Second
	})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); r.get("GET", "/view/slow", "") }()
	for r.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, disconnect := context.WithCancel(context.Background())
	wg.Add(1)
	go func() {
		defer wg.Done()
		q, _ := http.NewRequestWithContext(ctx, "GET", r.server.URL+"/view/left", nil)
		if response, err := http.DefaultClient.Do(q); err == nil {
			mustClose(t, response.Body)
		}
	}()
	for r.valve.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	disconnect()
	for r.valve.InFlight() > 1 {
		time.Sleep(time.Millisecond)
	}
	h := r.expect("503", "GET", "/view/held", "")
	if h.Get("Retry-After") == "" || h.Get("Retry-After") == "0" || h.Get("Valve-Away-Ms") == "" {
		t.Errorf("header: got %v", h)
	}
	close(release)
	wg.Wait()
	r.waitIdle()
	if r.runs.Load() != 1 {
		t.Errorf("runs: got %d, want 1", r.runs.Load())
	}
}

// TestOtherTimeouts checks timeouts of the server or of outer handlers that fire before the valve's: there is one response,
// and the run counts as in flight until the handler returns.
func TestOtherTimeouts(t *testing.T) {
	release := make(chan struct{})
	var once sync.Once
	defer once.Do(func() { close(release) })
	slow := func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "late") // the client no longer waits, so an error is expected
	}
	patient := func(v *valve.Options, _ *Options, _ *httptest.Server) { v.Methods[0].Deadline = time.Minute }
	t.Run("outer TimeoutHandler", func(t *testing.T) {
		r := startServer(t, slow, patient, func(*valve.Options, *Options, *httptest.Server) {})
		inner := r.server.Config.Handler
		r.server.Config.Handler = http.TimeoutHandler(inner, 30*time.Millisecond, "outer")
		r.expect("503 outer", "GET", "/view/1", "")
		if r.valve.InFlight() != 1 {
			t.Errorf("RPCs in flight: got %d, want 1", r.valve.InFlight())
		}
		once.Do(func() { close(release) })
		r.waitIdle()
	})
	t.Run("write timeout of the server", func(t *testing.T) {
		hold := make(chan struct{})
		r := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			<-hold
			_, _ = io.WriteString(w, "late") // the client no longer waits, so an error is expected
		}, patient,
			func(_ *valve.Options, _ *Options, s *httptest.Server) { s.Config.WriteTimeout = 30 * time.Millisecond })
		time.AfterFunc(100*time.Millisecond, func() { close(hold) })
		r.expect("error", "GET", "/view/1", "")
		r.waitIdle()
	})
	t.Run("Shutdown with a running and a queued request", func(t *testing.T) {
		hold := make(chan struct{})
		r := startServer(t, func(w http.ResponseWriter, _ *http.Request) { <-hold; writeString(t, w, "x") }, func(v *valve.Options, _ *Options, _ *httptest.Server) {
			v.Methods[0].Deadline, v.Methods[0].LatencyObjective = time.Minute, time.Minute
		})
		responses := make(chan string, 2)
		for range 2 {
			go func() { s, _ := r.get("GET", "/view/1", ""); responses <- s }()
		}
		for r.valve.InFlight() < 2 {
			time.Sleep(time.Millisecond)
		}
		r.valve.Drain(time.Minute)
		shutdown := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			shutdown <- r.server.Config.Shutdown(ctx)
		}()
		time.AfterFunc(20*time.Millisecond, func() { close(hold) })
		for range 2 {
			if s := <-responses; s != "200 x" {
				t.Errorf("response: got %q", s)
			}
		}
		if err := <-shutdown; err != nil {
			t.Error(err)
		}
	})
}

// TestTokens checks requests with idempotency tokens: complete responses are cached, and no handler runs twice.
func TestTokens(t *testing.T) {
	key := []string{"Idempotency-Key", "k"}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    []string // responses to consecutive attempts
	}{
		{"status, header and body", func(w http.ResponseWriter, q *http.Request) {
			b, _ := io.ReadAll(q.Body)
			w.Header().Set("Receipt", "r1")
			w.WriteHeader(201)
			writeString(t, w, fmt.Sprintf("bought %s", b))
		}, []string{"201 bought x", "201 bought x"}},
		{"response too long for the cache", func(w http.ResponseWriter, _ *http.Request) {
			writeString(t, w, strings.Repeat("y", 1001))
		}, []string{"200 " + strings.Repeat("y", 1001), "500"}},
		{"panic after the effect", func(http.ResponseWriter, *http.Request) { panic("x") }, []string{"500", "500"}},
		{"error status", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusBadGateway) }, []string{"502 no", "500"}},
		{"trailers are not cached", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "Sum")
			writeString(t, w, "x")
			w.Header().Set("Sum", "7")
		}, []string{"200 x", "500"}},
		{"writes nothing", func(http.ResponseWriter, *http.Request) {}, []string{"200", "200"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := startServer(t, c.handler)
			for i, want := range c.want {
				h := r.expect(want, "POST", "/buy", "x", key...)
				if strings.HasPrefix(want, "201") && h.Get("Receipt") != "r1" {
					t.Errorf("attempt %d: header: got %v", i, h)
				}
			}
			r.expect("400", "POST", "/buy", "other", key...)
			if r.runs.Load() != 1 {
				t.Errorf("runs: got %d, want 1", r.runs.Load())
			}
		})
	}
	t.Run("two concurrent attempts", func(t *testing.T) {
		release := make(chan struct{})
		r := startServer(t, func(w http.ResponseWriter, _ *http.Request) { <-release; writeString(t, w, "done") })
		responses := make(chan string, 2)
		for range 2 {
			go func() { s, _ := r.get("POST", "/buy", "x", key...); responses <- s }()
		}
		for r.valve.InFlight() < 2 {
			time.Sleep(time.Millisecond)
		}
		close(release)
		for range 2 {
			if s := <-responses; s != "200 done" {
				t.Errorf("response: got %q", s)
			}
		}
		if r.runs.Load() != 1 {
			t.Errorf("runs: got %d, want 1", r.runs.Load())
		}
	})
}

func TestNew(t *testing.T) {
	v, err := valve.New(valve.Options{Methods: []valve.Method{{Name: "view"}, {Name: "buy", Idempotency: valve.IdempotencyKeyed, DedupWindow: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	for want, o := range map[string]Options{
		"Routes or Identify":                {},
		"ties":                              {Routes: []route.Rule{{Name: "a", Path: "/", Method: "view"}, {Name: "b", Path: "/", Method: "view"}}},
		"no method \"sell\"":                {Routes: []route.Rule{{Name: "a", Path: "/", Method: "sell"}}},
		"buy requires an idempotency token": {Routes: []route.Rule{{Name: "a", Path: "/", Method: "buy"}}},
	} {
		if _, err := New(v, o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New: got error %v, want %q", err, want)
		}
	}
}

// TestIncompleteBody checks a client that sends a part of a body with a token and keeps the connection open: the request is
// answered, and no handler runs.
func TestIncompleteBody(t *testing.T) {
	r := startServer(t, func(http.ResponseWriter, *http.Request) {}, func(_ *valve.Options, o *Options, _ *httptest.Server) { o.BodyTimeout = 30 * time.Millisecond })
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, c)
	writeString(t, c, "POST /buy HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 10\r\n\r\nabc")
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != 400 || r.runs.Load() != 0 {
		t.Errorf("response: got %+v, error %v", response, err)
	}
}

func Example() {
	v, err := valve.New(valve.Options{Methods: []valve.Method{{Name: "account-view", LatencyObjective: 500 * time.Millisecond}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer v.Close()
	m, err := New(v, Options{Routes: []route.Rule{{Name: "view", Path: "/accounts/{id}", Verb: "GET", Method: "account-view", Subject: route.Source{Segment: "id"}}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	h := m.Handler(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if _, err := fmt.Fprint(w, "account of ", q.URL.Path); err != nil {
			fmt.Println(err)
		}
	}))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", "/accounts/7", nil))
	fmt.Println(w.Code, w.Body)
	// Output: 200 account of /accounts/7
}
