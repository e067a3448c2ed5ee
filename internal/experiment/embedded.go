package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sorrelvalve/internal/standin"
)

const (
	embeddedCPU    = 6.0  // ms that a computing handler takes of a core
	embeddedWait   = 60.0 // ms that a waiting one waits for its database, after a tenth of the computing
	embeddedLoad   = 1.5  // of what the cores can do
	embeddedPart   = 0.6  // of the RPCs compute
	embeddedBuys   = 0.15 // of the RPCs buy
	embeddedTarget = 250 * time.Millisecond
)

// The configurations that embedded compares, beside wayValve.
const (
	wayBare      = "bare"
	waySemaphore = "semaphore"
)

// Embedded is the experiment embedded: a gin program with handlers that compute and handlers that wait, as a process of
// its own on two cores, at 150% of what it can do: bare, behind a plain semaphore, behind the valve. The load's own work
// runs on the program's cores only if the machine has no others.
func Embedded(o Options) (*Report, error) {
	length := 30 * time.Second
	if o.Quick {
		length = 10 * time.Second
	}
	r := &Report{Name: "embedded", Header: []string{"way", "method", "RPCs", "ok in target", "ok late", "pushed back", "aborted", "lost", "p50 ms", "p99 ms",
		"goroutines", "memory KB"}}
	served := map[string]float64{}
	for _, way := range []string{wayBare, waySemaphore, wayValve} {
		samples, peaks, err := runEmbedded(o, way, length)
		if err != nil {
			return nil, err
		}
		for _, row := range standin.Summarize(samples, false, embeddedTarget) {
			r.AddRow(way, row.Method, row.Calls, row.OnTimeShare, row.Late, row.Rejected, row.Aborted, row.Lost, row.P50, row.P99, peaks.goroutines, peaks.memoryKB)
		}
		served[way] = criticalityServed(samples, embeddedMethods)
	}
	r.AddChecks(
		above("criticality served, above bare", served[wayValve], served[wayBare]),
		above("criticality served, above a semaphore", served[wayValve], served[waySemaphore]),
	)
	return r, nil
}

// runEmbedded loads the program in one way.
func runEmbedded(o Options, way string, length time.Duration) (samples []standin.Sample, peaks programPeaks, err error) {
	program := &childProcess{args: []string{"program", way}}
	address, err := program.start()
	if err != nil {
		return nil, peaks, err
	}
	load := &embeddedLoadRun{
		url:    "http://" + address + "/",
		client: &http.Client{Timeout: 1300 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxConnsPerHost: 4096}},
	}
	load.run(rand.New(rand.NewSource(o.Seed)), length)
	load.client.CloseIdleConnections()
	if err := program.stdin.Close(); err != nil {
		program.kill()
		return nil, peaks, err
	}
	_, scanErr := fmt.Fscan(program.stdout, &peaks.goroutines, &peaks.memoryKB)
	return load.samples, peaks, errors.Join(scanErr, program.command.Wait())
}

// embeddedLoadRun is one load on the program.
type embeddedLoadRun struct {
	url    string
	client *http.Client

	mu      sync.Mutex
	samples []standin.Sample
}

// embeddedCall is one RPC.
type embeddedCall struct {
	number int
	due    time.Duration // since the beginning
	method string
	work   string // as handleWork takes it
}

// run sends RPCs at random times, at a rate that takes more than the program's cores, and waits for all answers.
func (l *embeddedLoadRun) run(random *rand.Rand, length time.Duration) {
	meanCPU := embeddedPart*embeddedCPU + (1-embeddedPart)*embeddedCPU/10
	rate := embeddedLoad * embeddedCores * 1000 / meanCPU
	var running sync.WaitGroup
	defer running.Wait()
	began := time.Now()
	for at, n := 0.0, 0; ; n++ {
		at += random.ExpFloat64() / rate
		call := embeddedCall{number: n, due: time.Duration(at * float64(time.Second))}
		if call.due >= length {
			return
		}
		call.method = "account-view"
		call.work = fmt.Sprintf("%.3f %.3f", embeddedCPU/10, standin.RandomWork(random, embeddedWait))
		if random.Float64() < embeddedPart {
			call.method = "report"
			call.work = fmt.Sprintf("%.3f", standin.RandomWork(random, embeddedCPU))
		}
		if random.Float64() < embeddedBuys {
			call.method = "topup-buy"
		}
		time.Sleep(time.Until(began.Add(call.due)))
		running.Go(func() { l.send(call) })
	}
}

// send sends one RPC, and notes what came of it.
func (l *embeddedLoadRun) send(call embeddedCall) {
	began := time.Now()
	sample := standin.Sample{Offset: call.due, Protocol: "http", Method: call.method}
	sample.Outcome = l.post(call)
	sample.Latency = time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample)
}

func (l *embeddedLoadRun) post(call embeddedCall) standin.Outcome {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, l.url+call.method, http.NoBody)
	if err != nil {
		return standin.Lost
	}
	request.Header.Set("Work", call.work)
	request.Header.Set("Caller", strconv.Itoa(call.number%3))
	request.Header.Set("Idempotency-Key", strconv.Itoa(call.number))
	response, err := l.client.Do(request)
	if err != nil {
		return standin.Lost
	}
	_, _ = io.Copy(io.Discard, response.Body) // what counts is the status; a body cut short is no loss
	_ = response.Body.Close()                 // it has been read
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return standin.Rejected
	case response.StatusCode >= http.StatusInternalServerError:
		return standin.Aborted
	case response.StatusCode >= http.StatusBadRequest:
		return standin.Invalid
	default:
		return standin.OK
	}
}
