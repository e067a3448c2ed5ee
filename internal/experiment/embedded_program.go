package experiment

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"sorrelvalve/decision/route"
	"sorrelvalve/valve"
	"sorrelvalve/valve/ginvalve"
	"sorrelvalve/valve/httpvalve"
)

const (
	embeddedCores   = 2
	semaphorePlaces = 16 * embeddedCores // as many as computing alone would need several times over
	peakEvery       = 100 * time.Millisecond
)

var embeddedMethods = []methodSpec{
	{name: "report", targetMs: 250, deadlineMs: 1000, criticality: 1},
	{name: "account-view", targetMs: 250, deadlineMs: 1000, criticality: 1},
	{name: "topup-buy", targetMs: 250, deadlineMs: 1000, criticality: 3, idempotencyKeyed: true, windowMs: 13584},
}

// Program is the gin program of the experiment embedded. It serves in one way until its standard input ends. It prints
// its address first, and at the end the most goroutines and the most memory in KB that it had.
func Program(way string) (err error) {
	runtime.GOMAXPROCS(embeddedCores)
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	switch way {
	case waySemaphore:
		engine.Use(semaphore(semaphorePlaces))
	case wayValve:
		v, middleware, err := embeddedValve()
		if err != nil {
			return err
		}
		defer v.Close()
		engine.Use(middleware)
	}
	for _, m := range embeddedMethods {
		engine.POST("/"+m.name, handleWork)
	}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: engine, ReadHeaderTimeout: 5 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	fmt.Println(ln.Addr())
	stop := make(chan struct{})
	peaks := make(chan programPeaks, 1)
	go func() { peaks <- watchPeaks(stop) }()
	_, err = io.Copy(io.Discard, os.Stdin)
	close(stop)
	peak := <-peaks
	fmt.Println(peak.goroutines, peak.memoryKB)
	err = errors.Join(err, server.Close())
	if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

// semaphore lets as many in at once as there are places; who finds none waits for one.
func semaphore(places int) gin.HandlerFunc {
	free := make(chan struct{}, places)
	return func(c *gin.Context) {
		select {
		case free <- struct{}{}:
		case <-c.Request.Context().Done():
			c.AbortWithStatus(http.StatusServiceUnavailable)
			return
		}
		defer func() { <-free }()
		c.Next()
	}
}

// embeddedValve is the library's valve, and its middleware.
func embeddedValve() (*valve.Valve, gin.HandlerFunc, error) {
	var methods []valve.Method
	var rules []route.Rule
	for _, m := range embeddedMethods {
		method := valve.Method{
			Name:             m.name,
			LatencyObjective: time.Duration(m.targetMs) * time.Millisecond,
			Deadline:         time.Duration(m.deadlineMs) * time.Millisecond,
			Criticality:      m.criticality,
		}
		rule := route.Rule{Name: m.name, Path: "/" + m.name, Method: m.name, Caller: route.Source{Variable: "HTTP_CALLER"}}
		if m.idempotencyKeyed {
			method.Idempotency = valve.IdempotencyKeyed
			method.DedupWindow = time.Duration(m.windowMs) * time.Millisecond
			rule.Token = route.Source{Variable: "HTTP_IDEMPOTENCY_KEY"}
		}
		methods = append(methods, method)
		rules = append(rules, rule)
	}
	v, err := valve.New(valve.Options{Methods: methods, Cores: embeddedCores, MaxRunsPerCore: 32, MaxRetryAfter: time.Second})
	if err != nil {
		return nil, nil, err
	}
	middleware, err := ginvalve.New(v, httpvalve.Options{Routes: rules})
	if err != nil {
		v.Close()
		return nil, nil, err
	}
	return v, middleware, nil
}

// handleWork computes and waits for as long as the header Work asks, in ms: "COMPUTE" or "COMPUTE WAIT".
func handleWork(c *gin.Context) {
	compute, wait, _ := strings.Cut(c.GetHeader("Work"), " ")
	ms, err := strconv.ParseFloat(compute, 64)
	if err != nil {
		c.AbortWithStatus(http.StatusBadRequest)
		return
	}
	spin(ms)
	if ms, err := strconv.ParseFloat(wait, 64); err == nil && ms > 0 {
		time.Sleep(time.Duration(ms * 1e6))
	}
	c.String(http.StatusOK, "done")
}

// programPeaks are the largest figures of the program.
type programPeaks struct {
	goroutines int
	memoryKB   int
}

// watchPeaks looks at the program until stop is closed.
func watchPeaks(stop <-chan struct{}) (peak programPeaks) {
	ticker := time.NewTicker(peakEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return peak
		case <-ticker.C:
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak.goroutines = max(peak.goroutines, runtime.NumGoroutine())
			peak.memoryKB = max(peak.memoryKB, int(stats.HeapInuse+stats.StackInuse)>>10)
		}
	}
}

const (
	spinPart      = 2000  // iterations between two looks at the clock
	spinLostCore  = 200e3 // ns: a part that took longer had lost the core
	spinUsualPart = 10e3  // ns that a part usually takes
)

// spin takes some ms of a core's time. It is calibrated by the clock in small parts, so that time in which another
// handler has the core does not count.
func spin(ms float64) {
	for left := ms * 1e6; left > 0; {
		began := time.Now()
		x := 1.0
		for i := range spinPart {
			x += math.Sqrt(float64(i) + x)
		}
		took := float64(time.Since(began))
		if x < 0 || took > spinLostCore { // x keeps the loop from being optimized away
			took = spinUsualPart
		}
		left -= took
	}
}
