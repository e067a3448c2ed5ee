package experiment

// This file owns the experiment embedded: a gin program with handlers that compute and handlers that wait, as a process
// of its own on two cores, at 150% of what it can do: bare, behind a plain semaphore, behind the valve. It must never let
// the load's own work run on the program's cores unless the machine has no others.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"sorrelvalve/decision/route"
	"sorrelvalve/internal/standin"
	"sorrelvalve/valve"
	"sorrelvalve/valve/ginvalve"
	"sorrelvalve/valve/httpvalve"
)

const (
	embeddedCores = 2
	embeddedCPU   = 6.0  // ms that a computing handler takes of a core
	embeddedWait  = 60.0 // ms that a waiting one waits for its database, after a tenth of the computing
	embeddedLoad  = 1.5
	embeddedPart  = 0.6 // of the RPCs compute
)

var embeddedMethods = []Method{
	{Name: "report", Target: 250, Deadline: 1000, Criticality: 1},
	{Name: "account-view", Target: 250, Deadline: 1000, Criticality: 1},
	{Name: "topup-buy", Target: 250, Deadline: 1000, Criticality: 3, Tokened: true, Window: 13584},
}

// Program serves as one way until its standard input ends. It prints its address first, and its peaks at the end.
func Program(way string) error {
	runtime.GOMAXPROCS(embeddedCores)
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	switch way {
	case "semaphore": // as many at once as computing alone would need several times over; who finds none waits for it
		places := make(chan struct{}, 16*embeddedCores)
		e.Use(func(c *gin.Context) {
			select {
			case places <- struct{}{}:
			case <-c.Request.Context().Done():
				c.AbortWithStatus(503)
				return
			}
			defer func() { <-places }()
			c.Next()
		})
	case "valve":
		var methods []valve.Method
		var rules []route.Rule
		for _, m := range embeddedMethods {
			v := valve.Method{Name: m.Name, LatencyObjective: time.Duration(m.Target) * time.Millisecond, Deadline: time.Duration(m.Deadline) * time.Millisecond,
				Criticality: m.Criticality}
			r := route.Rule{Name: m.Name, Path: "/" + m.Name, Method: m.Name, Caller: route.Source{Variable: "HTTP_CALLER"}}
			if m.Tokened {
				v.Idempotency, v.DedupWindow = valve.IdempotencyKeyed, 13584*time.Millisecond
				r.Token = route.Source{Variable: "HTTP_IDEMPOTENCY_KEY"}
			}
			methods, rules = append(methods, v), append(rules, r)
		}
		v, err := valve.New(valve.Options{Methods: methods, Cores: embeddedCores, MaxRunsPerCore: 32, MaxRetryAfter: time.Second})
		if err != nil {
			return err
		}
		defer v.Close()
		m, err := ginvalve.New(v, httpvalve.Options{Routes: rules})
		if err != nil {
			return err
		}
		e.Use(m)
	}
	handler := func(c *gin.Context) {
		x, wait, _ := strings.Cut(c.GetHeader("Work"), " ")
		ms, _ := strconv.ParseFloat(x, 64)
		spin(ms)
		if w, err := strconv.ParseFloat(wait, 64); err == nil && w > 0 {
			time.Sleep(time.Duration(w * 1e6))
		}
		c.String(200, "done")
	}
	for _, m := range embeddedMethods {
		e.POST("/"+m.Name, handler)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go s.Serve(ln)
	fmt.Println(ln.Addr())
	peak := make(chan [2]int, 1)
	stop := make(chan struct{})
	go func() {
		most := [2]int{}
		for t := time.NewTicker(100 * time.Millisecond); ; {
			select {
			case <-stop:
				peak <- most
				return
			case <-t.C:
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				most[0], most[1] = max(most[0], runtime.NumGoroutine()), max(most[1], int(m.HeapInuse+m.StackInuse)>>10)
			}
		}
	}()
	io.Copy(io.Discard, os.Stdin)
	close(stop)
	most := <-peak
	fmt.Println(most[0], most[1])
	return s.Close()
}

// spin takes some ms of a core's time. It is calibrated by the clock in small parts, so that time in which another
// handler has the core does not count.
func spin(ms float64) {
	const part = 2000
	for left := ms * 1e6; left > 0; {
		began := time.Now()
		x := 1.0
		for i := range part {
			x += math.Sqrt(float64(i) + x)
		}
		gap := float64(time.Since(began))
		if x < 0 || gap > 200e3 { // it lost the core: count what the part usually takes
			gap = 10e3
		}
		left -= gap
	}
}

// Embedded is the experiment.
func Embedded(o Options) (*Report, error) {
	length := 30 * time.Second
	if o.Quick {
		length = 10 * time.Second
	}
	// The cores' part of an RPC in the mean, and with it the rate that takes 150% of them.
	each := embeddedPart*embeddedCPU + (1-embeddedPart)*embeddedCPU/10
	rate := embeddedLoad * embeddedCores * 1000 / each
	r := &Report{Name: "embedded", Header: []string{"way", "method", "RPCs", "ok in target", "ok late", "pushed back", "aborted", "lost", "p50 ms", "p99 ms", "goroutines", "memory KB"}}
	served := map[string]float64{}
	for _, way := range []string{"bare", "semaphore", "valve"} {
		samples, peaks, err := embeddedRun(o, way, rate, length)
		if err != nil {
			return nil, err
		}
		for _, row := range standin.Summarize(samples, false, 250*time.Millisecond) {
			r.AddRow(way, row.Method, row.Calls, row.OnTimeShare, row.Late, row.Rejected, row.Aborted, row.Lost, row.P50, row.P99, peaks[0], peaks[1])
		}
		served[way] = criticality(samples, embeddedMethods)
	}
	r.AddChecks(above("criticality served, above bare", served["valve"], served["bare"]))
	r.AddChecks(above("criticality served, above a semaphore", served["valve"], served["semaphore"]))
	return r, nil
}

func embeddedRun(o Options, way string, rate float64, length time.Duration) (samples []standin.Sample, peaks [2]string, err error) {
	own, err := os.Executable()
	if err != nil {
		return nil, peaks, err
	}
	cmd := exec.Command(own, "program", way)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, peaks, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, peaks, err
	}
	if err := cmd.Start(); err != nil {
		return nil, peaks, err
	}
	lines := bufio.NewReader(out)
	addr, err := lines.ReadString('\n')
	if err != nil {
		cmd.Process.Kill()
		return nil, peaks, fmt.Errorf("the program did not start: %w", err)
	}
	client := &http.Client{Timeout: 1300 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxConnsPerHost: 4096}}
	chance := rand.New(rand.NewSource(o.Seed))
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for at, n := 0.0, 0; ; n++ {
		at += chance.ExpFloat64() / rate
		due := time.Duration(at * float64(time.Second))
		if due >= length {
			break
		}
		method, work := "account-view", fmt.Sprintf("%.3f %.3f", embeddedCPU/10, standin.RandomWork(chance, embeddedWait))
		if chance.Float64() < embeddedPart {
			method, work = "report", fmt.Sprintf("%.3f", standin.RandomWork(chance, embeddedCPU))
		}
		if chance.Float64() < 0.15 {
			method = "topup-buy"
		}
		time.Sleep(time.Until(began.Add(due)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := time.Now()
			q, _ := http.NewRequestWithContext(context.Background(), "POST", "http://"+strings.TrimSpace(addr)+"/"+method, http.NoBody)
			q.Header.Set("Work", work)
			q.Header.Set("Caller", strconv.Itoa(n%3))
			q.Header.Set("Idempotency-Key", strconv.Itoa(n))
			s := standin.Sample{Offset: due, Protocol: "http", Method: method}
			a, err := client.Do(q)
			if err != nil {
				s.Outcome = standin.Lost
			} else {
				io.Copy(io.Discard, a.Body)
				a.Body.Close()
				switch {
				case a.StatusCode == 503:
					s.Outcome = standin.Rejected
				case a.StatusCode >= 500:
					s.Outcome = standin.Aborted
				case a.StatusCode >= 400:
					s.Outcome = standin.Invalid
				}
			}
			s.Latency = time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, s)
		}()
	}
	wg.Wait()
	client.CloseIdleConnections()
	in.Close()
	fmt.Fscan(lines, &peaks[0], &peaks[1])
	return samples, peaks, cmd.Wait()
}
