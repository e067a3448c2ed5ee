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
	"net/http/httptrace"
	"net/textproto"
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

const soon = 10 * time.Second

var routes = []route.Rule{
	{Name: "view", Path: "/view/*", Method: "view"},
	{Name: "buy", Path: "/buy", Verb: "POST", Method: "buy", Token: route.Source{Variable: "HTTP_IDEMPOTENCY_KEY"}, Hint: route.Source{Variable: "HTTP_WORK_MS"}},
}

// rig is a server whose handler the test gives.
type rig struct {
	*testing.T
	v    *valve.Valve
	s    *httptest.Server
	runs atomic.Int32
}

func start(t *testing.T, handler http.HandlerFunc, change ...func(*valve.Options, *Options, *httptest.Server)) *rig {
	vo := valve.Options{
		Methods: []valve.Method{{Name: "view", LatencyObjective: 200 * time.Millisecond, Deadline: 400 * time.Millisecond},
			{Name: "buy", LatencyObjective: 2 * time.Second, Idempotency: valve.IdempotencyKeyed, DedupWindow: time.Minute, Criticality: 3}},
		Cores: 1, MaxRunsPerCore: 1, MaxRetryAfter: 1500 * time.Millisecond, Gauges: func() (valve.Gauges, bool) { return valve.Gauges{}, false },
	}
	o := Options{Routes: routes, CacheBytes: 1000, MaxBodyBytes: 100}
	r := &rig{T: t}
	r.s = httptest.NewUnstartedServer(nil)
	r.s.Config.ErrorLog = log.New(io.Discard, "", 0)
	for _, c := range change {
		c(&vo, &o, r.s)
	}
	v, err := valve.New(vo)
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(v, o)
	if err != nil {
		t.Fatal(err)
	}
	r.v = v
	r.s.Config.Handler = m.Handler(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.runs.Add(1)
		handler(w, q)
	}))
	r.s.Start()
	t.Cleanup(func() {
		r.s.Close()
		v.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return r
}

// writeString writes a part of a response, which must succeed.
func writeString(t testing.TB, w io.Writer, s string) {
	if _, err := io.WriteString(w, s); err != nil {
		t.Errorf("write: %v", err)
	}
}

// mustClose closes c, which must succeed.
func mustClose(t testing.TB, c io.Closer) {
	if err := c.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}

// got is an answer in short: status and body, or the error.
func (r *rig) got(verb, path, body string, header ...string) (string, http.Header) {
	q, err := http.NewRequest(verb, r.s.URL+path, strings.NewReader(body))
	if err != nil {
		r.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return "error", nil
	}
	defer mustClose(r, a.Body)
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return fmt.Sprintf("%d cut", a.StatusCode), a.Header
	}
	for k, v := range a.Trailer {
		a.Header["Trailer:"+k] = v
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", a.StatusCode, b)), a.Header
}

func (r *rig) expect(want, verb, path, body string, header ...string) http.Header {
	r.Helper()
	got, h := r.got(verb, path, body, header...)
	if got != want {
		r.Errorf("%s %s: %q, want %q; head %v", verb, path, got, want, h)
	}
	return h
}

func (r *rig) quiet() {
	r.Helper()
	for end := time.Now().Add(soon); r.v.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.Fatalf("%d in hand", r.v.InFlight())
		}
	}
}

// What a handler may do: one answer each, and nothing left in hand.
func TestHandlers(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		do      func(r *rig)
	}{
		{"writes", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("A", "b")
			w.WriteHeader(201)
			writeString(t, w, "x")
		}, func(r *rig) {
			if h := r.expect("201 x", "GET", "/view/1", ""); h.Get("A") != "b" {
				r.Errorf("head %v", h)
			}
		}},
		{"writes nothing", func(http.ResponseWriter, *http.Request) {}, func(r *rig) { r.expect("200", "GET", "/view/1", "") }},
		{"says an error", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", 500) }, func(r *rig) { r.expect("500 no", "GET", "/view/1", "") }},
		{"writes its head twice", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(404)
			w.WriteHeader(200)
			writeString(t, w, "x")
		}, func(r *rig) {
			r.expect("404 x", "GET", "/view/1", "")
		}},
		{"panics before its first byte", func(http.ResponseWriter, *http.Request) { panic("x") }, func(r *rig) {
			if h := r.expect("500", "GET", "/view/1", ""); h.Get("Valve-Why") != "the handler panicked" {
				r.Errorf("head %v", h)
			}
		}},
		{"panics after its first byte", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			writeString(t, w, "half")
			w.(http.Flusher).Flush()
			panic("x")
		}, func(r *rig) { r.expect("200 cut", "GET", "/view/1", "") }},
		{"aborts", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, func(r *rig) { r.expect("error", "GET", "/view/1", "") }},
		{"streams", func(w http.ResponseWriter, _ *http.Request) {
			for i := range 3 {
				writeString(t, w, fmt.Sprint(i))
				w.(http.Flusher).Flush()
			}
		}, func(r *rig) { r.expect("200 012", "GET", "/view/1", "") }},
		{"trailers", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "Sum")
			writeString(t, w, "x")
			w.Header().Set("Sum", "7")
			w.Header().Set(http.TrailerPrefix+"Late", "8")
		}, func(r *rig) {
			h := r.expect("200 x", "GET", "/view/1", "")
			if fmt.Sprint(h["Trailer:Sum"], h["Trailer:Late"]) != "[7] [8]" {
				r.Errorf("head %v", h)
			}
		}},
		{"early hints", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Link", "a")
			w.WriteHeader(103)
			writeString(t, w, "x")
		}, func(r *rig) {
			hints := 0
			trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
				if code == 103 && h.Get("Link") == "a" {
					hints++
				}
				return nil
			}}
			q, _ := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), "GET", r.s.URL+"/view/1", nil)
			a, err := http.DefaultClient.Do(q)
			if err != nil {
				r.Fatal(err)
			}
			defer mustClose(r, a.Body)
			if b, _ := io.ReadAll(a.Body); string(b) != "x" || hints != 1 {
				r.Errorf("%q, %d hints", b, hints)
			}
		}},
		{"HEAD", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5")
			writeString(t, w, "12345")
		}, func(r *rig) {
			if h := r.expect("200", "HEAD", "/view/1", ""); h.Get("Content-Length") != "5" {
				r.Errorf("head %v", h)
			}
		}},
		{"takes the connection", func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer mustClose(t, c)
			if _, err := w.Write(nil); !errors.Is(err, http.ErrHijacked) {
				return
			}
			writeString(t, c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nown")
		}, func(r *rig) { r.expect("200 own", "GET", "/view/1", "") }},
		{"calls itself", nil, func(r *rig) { r.expect("200 inner", "GET", "/view/outer", "") }},
		{"an unknown path and verb", nil, func(r *rig) {
			r.expect("404", "GET", "/none", "")
			r.expect("405", "GET", "/buy", "")
			r.expect("400", "POST", "/buy", "")
			r.expect("413", "POST", "/buy", strings.Repeat("x", 101), "Idempotency-Key", "k")
			r.expect("400", "POST", "/buy", "", "Idempotency-Key", "k", "Work-Ms", "NaN")
			if r.runs.Load() != 0 {
				r.Error("it ran")
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r *rig
			handler := c.handler
			if handler == nil {
				handler = func(w http.ResponseWriter, q *http.Request) { // calls itself through the whole chain, on the one core
					if strings.HasSuffix(q.URL.Path, "outer") {
						q = q.Clone(q.Context())
						q.URL.Path = "/view/inner"
						r.s.Config.Handler.ServeHTTP(w, q)
						return
					}
					writeString(t, w, "inner")
				}
			}
			r = start(t, handler)
			c.do(r)
			r.quiet()
		})
	}
}

// A handler that outlasts its due time: its caller hears in time, once; what it writes then goes nowhere, and its work
// counts until it ends.
func TestOverdue(t *testing.T) {
	release, wrote := make(chan struct{}), make(chan error, 1)
	r := start(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, err := io.WriteString(w, "late")
		wrote <- err
	})
	began := time.Now()
	r.expect("504", "GET", "/view/1", "")
	if gone := time.Since(began); gone > 2*time.Second {
		t.Errorf("after %v", gone)
	}
	if r.v.InFlight() != 1 {
		t.Errorf("%d in hand", r.v.InFlight())
	}
	close(release)
	if err := <-wrote; !errors.Is(err, http.ErrHandlerTimeout) {
		t.Error(err)
	}
	r.quiet()
}

// Held RPCs: pushed back in time with when to return; a caller that leaves is not run.
func TestHeld(t *testing.T) {
	release := make(chan struct{})
	r := start(t, func(_ http.ResponseWriter, q *http.Request) {
		if strings.HasSuffix(q.URL.Path, "slow") {
			<-release
		}
	}, func(v *valve.Options, _ *Options, _ *httptest.Server) {
		v.Methods[0].Deadline = 5 * time.Second
	})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); r.got("GET", "/view/slow", "") }()
	for r.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, leave := context.WithCancel(context.Background())
	wg.Add(1)
	go func() {
		defer wg.Done()
		q, _ := http.NewRequestWithContext(ctx, "GET", r.s.URL+"/view/left", nil)
		if a, err := http.DefaultClient.Do(q); err == nil {
			mustClose(t, a.Body)
		}
	}()
	for r.v.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	leave()
	for r.v.InFlight() > 1 {
		time.Sleep(time.Millisecond)
	}
	h := r.expect("503", "GET", "/view/held", "")
	if h.Get("Retry-After") == "" || h.Get("Retry-After") == "0" || h.Get("Valve-Away-Ms") == "" {
		t.Errorf("head %v", h)
	}
	close(release)
	wg.Wait()
	r.quiet()
	if r.runs.Load() != 1 {
		t.Errorf("%d ran", r.runs.Load())
	}
}

// Time-outs other than the valve's fire first: one answer, the run counts until the handler returns.
func TestOtherTimeouts(t *testing.T) {
	release := make(chan struct{})
	var once sync.Once
	defer once.Do(func() { close(release) })
	slow := func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "late") // nobody waits for it any more
	}
	patient := func(v *valve.Options, _ *Options, _ *httptest.Server) { v.Methods[0].Deadline = time.Minute }
	t.Run("a TimeoutHandler outside", func(t *testing.T) {
		r := start(t, slow, patient, func(*valve.Options, *Options, *httptest.Server) {})
		inner := r.s.Config.Handler
		r.s.Config.Handler = http.TimeoutHandler(inner, 30*time.Millisecond, "outer")
		r.expect("503 outer", "GET", "/view/1", "")
		if r.v.InFlight() != 1 {
			t.Errorf("%d in hand", r.v.InFlight())
		}
		once.Do(func() { close(release) })
		r.quiet()
	})
	t.Run("the server's write time-out", func(t *testing.T) {
		hold := make(chan struct{})
		r := start(t, func(w http.ResponseWriter, _ *http.Request) {
			<-hold
			_, _ = io.WriteString(w, "late") // nobody waits for it any more
		}, patient,
			func(_ *valve.Options, _ *Options, s *httptest.Server) { s.Config.WriteTimeout = 30 * time.Millisecond })
		time.AfterFunc(100*time.Millisecond, func() { close(hold) })
		r.expect("error", "GET", "/view/1", "")
		r.quiet()
	})
	t.Run("Shutdown while one runs and one is held", func(t *testing.T) {
		hold := make(chan struct{})
		r := start(t, func(w http.ResponseWriter, _ *http.Request) { <-hold; writeString(t, w, "x") }, func(v *valve.Options, _ *Options, _ *httptest.Server) {
			v.Methods[0].Deadline, v.Methods[0].LatencyObjective = time.Minute, time.Minute
		})
		answers := make(chan string, 2)
		for range 2 {
			go func() { s, _ := r.got("GET", "/view/1", ""); answers <- s }()
		}
		for r.v.InFlight() < 2 {
			time.Sleep(time.Millisecond)
		}
		r.v.Drain(time.Minute)
		over := make(chan error, 1)
		go func() {
			ctx, end := context.WithTimeout(context.Background(), soon)
			defer end()
			over <- r.s.Config.Shutdown(ctx)
		}()
		time.AfterFunc(20*time.Millisecond, func() { close(hold) })
		for range 2 {
			if s := <-answers; s != "200 x" {
				t.Errorf("answer %q", s)
			}
		}
		if err := <-over; err != nil {
			t.Error(err)
		}
	})
}

// Tokened handlers: the whole answer is kept, and nothing runs twice.
func TestTokened(t *testing.T) {
	key := []string{"Idempotency-Key", "k"}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    []string // of tries one after the other
	}{
		{"status, head and body", func(w http.ResponseWriter, q *http.Request) {
			b, _ := io.ReadAll(q.Body)
			w.Header().Set("Receipt", "r1")
			w.WriteHeader(201)
			writeString(t, w, fmt.Sprintf("bought %s", b))
		}, []string{"201 bought x", "201 bought x"}},
		{"an answer that outgrows the bound", func(w http.ResponseWriter, _ *http.Request) {
			writeString(t, w, strings.Repeat("y", 1001))
		}, []string{"200 " + strings.Repeat("y", 1001), "500"}},
		{"a panic after its effect", func(http.ResponseWriter, *http.Request) { panic("x") }, []string{"500", "500"}},
		{"an error", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusBadGateway) }, []string{"502 no", "500"}},
		{"trailers can't be kept", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "Sum")
			writeString(t, w, "x")
			w.Header().Set("Sum", "7")
		}, []string{"200 x", "500"}},
		{"writes nothing", func(http.ResponseWriter, *http.Request) {}, []string{"200", "200"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, c.handler)
			for i, want := range c.want {
				h := r.expect(want, "POST", "/buy", "x", key...)
				if strings.HasPrefix(want, "201") && h.Get("Receipt") != "r1" {
					t.Errorf("try %d: head %v", i, h)
				}
			}
			r.expect("400", "POST", "/buy", "other", key...)
			if r.runs.Load() != 1 {
				t.Errorf("%d ran", r.runs.Load())
			}
		})
	}
	t.Run("two at once", func(t *testing.T) {
		release := make(chan struct{})
		r := start(t, func(w http.ResponseWriter, _ *http.Request) { <-release; writeString(t, w, "done") })
		answers := make(chan string, 2)
		for range 2 {
			go func() { s, _ := r.got("POST", "/buy", "x", key...); answers <- s }()
		}
		for r.v.InFlight() < 2 {
			time.Sleep(time.Millisecond)
		}
		close(release)
		for range 2 {
			if s := <-answers; s != "200 done" {
				t.Errorf("answer %q", s)
			}
		}
		if r.runs.Load() != 1 {
			t.Errorf("%d ran", r.runs.Load())
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
		"Routes or Identify": {},
		"ties":               {Routes: []route.Rule{{Name: "a", Path: "/", Method: "view"}, {Name: "b", Path: "/", Method: "view"}}},
		"no \"sell\"":        {Routes: []route.Rule{{Name: "a", Path: "/", Method: "sell"}}},
		"buy is tokened":     {Routes: []route.Rule{{Name: "a", Path: "/", Method: "buy"}}},
	} {
		if _, err := New(v, o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}

// A client that sends half a tokened body and stays is answered, and reaches nothing.
func TestHalfBody(t *testing.T) {
	r := start(t, func(http.ResponseWriter, *http.Request) {}, func(_ *valve.Options, o *Options, _ *httptest.Server) { o.BodyTimeout = 30 * time.Millisecond })
	c, err := net.Dial("tcp", r.s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, c)
	writeString(t, c, "POST /buy HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 10\r\n\r\nabc")
	if err := c.SetReadDeadline(time.Now().Add(soon)); err != nil {
		t.Fatal(err)
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || a.StatusCode != 400 || r.runs.Load() != 0 {
		t.Errorf("answer %+v, error %v", a, err)
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
