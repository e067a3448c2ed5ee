package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"sorrelvalve/control"
	"sorrelvalve/internal/front"
	"sorrelvalve/internal/front/mprpc"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/startup"
	"sorrelvalve/valve"
	"sorrelvalve/valve/ginvalve"
	"sorrelvalve/valve/httpvalve"
)

// progress is what a frontend's decisions have done so far.
type progress struct {
	arrived   atomic.Int64
	started   atomic.Int64
	completed atomic.Int64
}

// frontend is one way in. No decision passes from one frontend to another.
type frontend struct {
	name     string
	call     func(a *arrival, at time.Time) (rejected bool) // blocks until it is answered
	tick     func() time.Duration                           // returns when the next is due
	drain    func(time.Duration)
	close    func()
	progress *progress
}

// frontendHost is what a frontend runs on.
type frontendHost struct {
	clock  func() time.Time // nil for the real one
	gauges func() (utilization, runnable float64)
	run    func(n int, done func()) // does the work of the nth arrival
}

// progressTracer counts what a gate's decisions do.
type progressTracer struct{ *progress }

// Begin does nothing.
func (progressTracer) Begin(*startup.Config, bool, time.Time) {}

// Event counts arrivals, runs and their ends.
func (t progressTracer) Event(_ float64, event control.Event, actions []control.Action, _ string) {
	switch event.Kind {
	case control.Arrived:
		t.arrived.Add(1)
	case control.Completed:
		t.completed.Add(1)
	}
	for _, action := range actions {
		if action.Kind == control.Run {
			t.started.Add(1)
		}
	}
}

// daemonFrontend is the daemon's MessagePack front and gate. They are put together here, as the daemon's own assembly has
// neither another clock nor a tracer that counts.
func daemonFrontend(host frontendHost) (*frontend, error) {
	settings, err := paritySettings()
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logger.WithField("node", "parity")
	f := &frontend{name: "daemon", progress: &progress{}}
	g := gate.New(settings, 256, func(string, string) {})
	g.UseTracer(progressTracer{f.progress})
	if host.clock != nil {
		g.UseClock(host.clock)
	}
	g.Start(true, 0)
	table := front.NewConnTable(1024, func() time.Duration { return time.Hour }, log)
	run := func(request gate.RunRequest, done runDone) {
		n, _ := strconv.Atoi(string(request.Body)) // a number that paritySequence wrote
		host.run(n, func() { done(gate.Succeeded, 0, nil, request.Body) })
	}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	table.AddListener(ln.(*net.TCPListener), mprpc.New(table, g, run, log).Open)
	router := standin.NewRouter(ln.Addr().String())
	f.call = func(a *arrival, at time.Time) bool {
		call := a.call
		call.ArrivedAt = at
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		return router.Call(ctx, call).Outcome != standin.OK
	}
	f.tick = func() time.Duration {
		utilization, runnable := host.gauges()
		return g.Tick([]float64{utilization, runnable})
	}
	f.drain = g.Drain
	f.close = func() {
		router.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		table.Shutdown(ctx)
	}
	return f, nil
}

// arrivalKey is that of a timedArrival in a request's context.
type arrivalKey struct{}

// timedArrival is an arrival at a time.
type timedArrival struct {
	*arrival
	at time.Time
}

// ginFrontend is a gin program with the library's middleware.
func ginFrontend(host frontendHost) (*frontend, error) {
	f := &frontend{name: "gin", progress: &progress{}}
	v, err := valve.New(observedOptions(host, f.progress))
	if err != nil {
		return nil, err
	}
	middleware, err := ginvalve.New(v, httpvalve.Options{Identify: identifyArrival})
	if err != nil {
		return nil, err
	}
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(middleware)
	engine.POST("/:method", func(c *gin.Context) {
		body, err := io.ReadAll(c.Request.Body)
		if err != nil {
			c.AbortWithStatus(http.StatusBadRequest)
			return
		}
		n, _ := strconv.Atoi(string(body)) // a number that paritySequence wrote
		finished := make(chan struct{})
		host.run(n, func() { close(finished) })
		<-finished
		c.Data(http.StatusOK, "application/octet-stream", body)
	})
	f.call = func(a *arrival, at time.Time) bool {
		body := struct{ io.Reader }{bytes.NewReader(a.call.Body)} // of a length that is not known beforehand
		request := httptest.NewRequest(http.MethodPost, "/"+a.call.Method, body)
		request = request.WithContext(context.WithValue(request.Context(), arrivalKey{}, timedArrival{a, at}))
		response := httptest.NewRecorder()
		engine.ServeHTTP(response, request)
		return response.Code != http.StatusOK
	}
	f.tick = v.Tick
	f.drain = v.Drain
	f.close = v.Close
	return f, nil
}

// observedOptions are the library's on a host, with its progress counted.
func observedOptions(host frontendHost, p *progress) valve.Options {
	options := parityOptions()
	options.Clock = host.clock
	options.Gauges = func() (valve.Gauges, bool) {
		utilization, runnable := host.gauges()
		return valve.Gauges{CPUUtilization: utilization, Runnable: runnable}, true
	}
	options.Observer = func(event valve.Event) {
		switch event.Kind {
		case valve.Arrived:
			p.arrived.Add(1)
		case valve.Started:
			p.started.Add(1)
		case valve.Completed:
			p.completed.Add(1)
		}
	}
	return options
}

// identifyArrival is the RPC of a request that ginFrontend made.
func identifyArrival(request *http.Request) (valve.RPC, bool) {
	a, ok := request.Context().Value(arrivalKey{}).(timedArrival)
	if !ok {
		return valve.RPC{}, false
	}
	return valve.RPC{
		Method:    a.call.Method,
		Caller:    uint64(a.call.Caller),
		Subject:   a.call.Subject,
		Token:     a.call.Token,
		ArrivedAt: a.at,
		CostHint:  time.Duration(math.Round(a.call.HintMs * 1e6)),
		Memory:    parityRPCMemory,
	}, true
}

// notSettled is the error of a frontend that did not do what it was to do.
func notSettled(f *frontend, what string) error {
	return fmt.Errorf("%s: %s does not settle", f.name, what)
}
