package ginvalve

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"sorrelvalve/decision/route"
	"sorrelvalve/valve"
	"sorrelvalve/valve/httpvalve"
)

func init() { gin.SetMode(gin.ReleaseMode) }

func newEngine(t testing.TB, o httpvalve.Options, change ...func(*valve.Options)) (*gin.Engine, *valve.Valve) {
	vo := valve.Options{
		Methods: []valve.Method{{Name: "view", LatencyObjective: 300 * time.Millisecond, Deadline: 300 * time.Millisecond},
			{Name: "buy", Idempotency: valve.IdempotencyKeyed, DedupWindow: time.Minute, Criticality: 3}},
		Cores: 64, MaxRetryAfter: time.Second,
	}
	for _, c := range change {
		c(&vo)
	}
	v, err := valve.New(vo)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	if o.Routes == nil {
		o.Routes = []route.Rule{{Name: "view", Path: "/view/{id}", Method: "view"},
			{Name: "buy", Path: "/buy", Method: "buy", Token: route.Source{Variable: "HTTP_IDEMPOTENCY_KEY"}}}
	}
	m, err := New(v, o)
	if err != nil {
		t.Fatal(err)
	}
	e := gin.New()
	e.Use(gin.CustomRecoveryWithWriter(io.Discard, func(c *gin.Context, _ any) { c.AbortWithStatus(500) }), m)
	return e, v
}

func do(e *gin.Engine, verb, path, body string, header ...string) *httptest.ResponseRecorder {
	q := httptest.NewRequest(verb, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, q)
	return w
}

// TestGin checks that each request gets exactly one response, whatever a gin handler does.
func TestGin(t *testing.T) {
	runs := 0
	release := make(chan struct{})
	e, v := newEngine(t, httpvalve.Options{CacheBytes: 100})
	e.Any("/view/:id", func(c *gin.Context) {
		runs++
		switch c.Param("id") {
		case "json":
			c.JSON(201, gin.H{"a": 1})
		case "abort":
			c.AbortWithStatus(409)
		case "error":
			_ = c.Error(fmt.Errorf("no")) // the result is the error that is added to the context
			c.Status(502)
		case "panic":
			panic("x")
		case "half":
			c.String(200, "half")
			panic("x")
		case "slow":
			<-release
			c.String(200, "late")
		case "twice":
			c.String(200, "a")
			c.String(500, "b")
		}
	})
	e.POST("/buy", func(c *gin.Context) {
		runs++
		b, _ := io.ReadAll(c.Request.Body)
		c.Header("Receipt", "r")
		c.String(201, "bought %s", b)
	})
	for _, c := range []struct{ path, want string }{
		{"/view/json", `201 {"a":1}`}, {"/view/abort", "409 "}, {"/view/error", "502 "}, {"/view/panic", "500 "}, {"/view/half", "200 half"},
		{"/view/twice", "200 ab"}, {"/view/nothing", "200 "}, {"/none", "404 "},
	} {
		if w := do(e, "GET", c.path, ""); fmt.Sprintf("%d %s", w.Code, w.Body) != c.want {
			t.Errorf("%s: got %d %s, want %s", c.path, w.Code, w.Body, c.want)
		}
	}
	time.AfterFunc(600*time.Millisecond, func() { close(release) })
	if w := do(e, "GET", "/view/slow", ""); w.Code != 504 || w.Body.Len() > 0 {
		t.Errorf("slow handler: got %d %s, want 504", w.Code, w.Body)
	}
	runs = 0
	for range 2 {
		if w := do(e, "POST", "/buy", "x", "Idempotency-Key", "k"); w.Code != 201 || w.Body.String() != "bought x" || w.Header().Get("Receipt") != "r" {
			t.Errorf("POST /buy: got %d %s", w.Code, w.Body)
		}
	}
	if runs != 1 || v.InFlight() != 0 {
		t.Errorf("runs: got %d, want 1; RPCs in flight: got %d, want 0", runs, v.InFlight())
	}
}

// BenchmarkGin measures the overhead of the middleware over plain gin. The overhead must be below 5 us and 10 allocations for
// an admitted request, and below 3 us for a rejected one.
func BenchmarkGin(b *testing.B) {
	serve := func(b *testing.B, e *gin.Engine, want int) {
		q := httptest.NewRequest("GET", "/view/7", nil)
		w := &sink{header: http.Header{}}
		b.ReportAllocs()
		for b.Loop() {
			clear(w.header)
			w.status = 0
			e.ServeHTTP(w, q)
			if w.status != want {
				b.Fatalf("status: got %d", w.status)
			}
		}
	}
	handler := func(c *gin.Context) { c.String(200, "ok") }
	b.Run("bare", func(b *testing.B) {
		e := gin.New()
		e.GET("/view/:id", handler)
		serve(b, e, 200)
	})
	b.Run("admitted", func(b *testing.B) {
		e, _ := newEngine(b, httpvalve.Options{})
		e.GET("/view/:id", handler)
		serve(b, e, 200)
	})
	b.Run("rejected", func(b *testing.B) {
		e, v := newEngine(b, httpvalve.Options{}, func(o *valve.Options) { o.DrainGrace = time.Nanosecond })
		e.GET("/view/:id", handler)
		v.Drain(time.Hour)
		time.Sleep(10 * time.Millisecond)
		serve(b, e, 503)
	})
}

// sink is an http.ResponseWriter that discards the body.
type sink struct {
	header http.Header
	status int
}

func (s *sink) Header() http.Header         { return s.header }
func (s *sink) WriteHeader(status int)      { s.status = status }
func (s *sink) Write(b []byte) (int, error) { return len(b), nil }
func (s *sink) Flush()                      {}
