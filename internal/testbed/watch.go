package testbed

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"sorrelvalve/internal/fleet"
)

const (
	statusTimeout   = time.Second
	awaitInterval   = 50 * time.Millisecond
	maxObservations = 120000 // of a watch: 100 servers, ten times a second, for two minutes
	minSettledViews = 3      // views as wanted at the end without which nothing has settled
)

// Status fetches one server's view of the fleet.
func (b *Bed) Status(name string) (fleet.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return fleet.FetchStatus(ctx, b.Socket(name))
}

// Observation is one server's view at one time.
type Observation struct {
	At         time.Duration // since the watch began
	Name       string
	AliveNames []string // peers that it finds alive, in the order of its status
	fleet.Status
}

// observe makes an observation of a status.
func observe(at time.Duration, name string, status fleet.Status) Observation {
	o := Observation{At: at, Name: name, Status: status}
	for _, peer := range status.Peers {
		if peer.Reachable {
			o.AliveNames = append(o.AliveNames, peer.Name)
		}
	}
	return o
}

// ExpectView is a condition for Await and SettledAt: a connectivity state, and a number of servers found alive, the observed one
// included.
func ExpectView(connectivity string, alive int) func(o *Observation) bool {
	return func(o *Observation) bool { return o.Connectivity == connectivity && len(o.AliveNames)+1 == alive }
}

// Watch polls the views of all running servers until it is closed.
type Watch struct {
	testbed   *Bed
	startedAt time.Time
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu           sync.Mutex
	observations []Observation
}

// Watch begins to poll each server at an interval.
func (b *Bed) Watch(interval time.Duration) *Watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{testbed: b, startedAt: time.Now(), cancel: cancel}
	for _, name := range b.Names {
		w.wg.Go(func() { w.poll(ctx, name, interval) })
	}
	return w
}

// poll polls one server until ctx is done.
func (w *Watch) poll(ctx context.Context, name string, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !w.testbed.Processes.Running(name) {
			continue
		}
		polled, cancel := context.WithTimeout(ctx, statusTimeout)
		status, err := fleet.FetchStatus(polled, w.testbed.Socket(name))
		cancel()
		if err != nil {
			continue // a server under faults may not answer; SettledAt misses its views
		}
		o := observe(time.Since(w.startedAt), name, status)
		w.mu.Lock()
		if len(w.observations) < maxObservations {
			w.observations = append(w.observations, o)
		}
		w.mu.Unlock()
	}
}

// Elapsed is the time since the watch began.
func (w *Watch) Elapsed() time.Duration { return time.Since(w.startedAt) }

// Observations returns those so far.
func (w *Watch) Observations() []Observation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.observations)
}

// Close ends the watch.
func (w *Watch) Close() {
	w.cancel()
	w.wg.Wait()
}

// SettledAt returns the time from which on, between two times, every viewer's views satisfy wanted. It fails if a viewer has
// fewer than three such views at the end: a watch that saw nothing has not settled.
func (w *Watch) SettledAt(from, until time.Duration, viewers []string, wanted func(o *Observation) bool) (time.Duration, error) {
	lastUnwanted := map[string]time.Duration{}
	wantedSince := map[string]int{} // number of views
	for _, o := range w.Observations() {
		if o.At < from || o.At > until || !slices.Contains(viewers, o.Name) {
			continue
		}
		wantedSince[o.Name]++
		if !wanted(&o) {
			lastUnwanted[o.Name] = o.At
			wantedSince[o.Name] = 0
		}
	}
	settled := from
	for _, name := range viewers {
		if n := wantedSince[name]; n < minSettledViews {
			return 0, fmt.Errorf("%s: %d views as wanted at the end, three at least expected", name, n)
		}
		settled = max(settled, lastUnwanted[name])
	}
	return settled, nil
}

// Await polls until the views of all viewers satisfy wanted in one round. After the time given, its error tells the last views.
func (b *Bed) Await(within time.Duration, viewers []string, wanted func(o *Observation) bool) error {
	var unwanted string
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		unwanted = b.unwantedViews(viewers, wanted)
		if unwanted == "" && len(viewers) > 0 {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", within, unwanted)
}

// unwantedViews describes those views that don't satisfy wanted.
func (b *Bed) unwantedViews(viewers []string, wanted func(o *Observation) bool) string {
	var text strings.Builder
	for _, name := range viewers {
		status, err := b.Status(name)
		if err != nil {
			fmt.Fprintf(&text, "%s: %v; ", name, err)
			continue
		}
		if o := observe(0, name, status); !wanted(&o) {
			fmt.Fprintf(&text, "%s hears %s %v, listening %v, stalls %d; ",
				name, status.Connectivity, o.AliveNames, status.InGracePeriod, status.StallCount)
		}
	}
	return text.String()
}
