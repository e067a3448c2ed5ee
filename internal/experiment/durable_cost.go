package experiment

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/store"
)

const (
	costRate      = 1000.0 // RPCs a second, half of them with a token
	costWork      = 10.0   // ms for each
	costCores     = 64
	slowDiskSyncs = 20 * time.Millisecond
)

// The configurations that durable-cost compares.
const (
	storeOff      = "off"
	storeOn       = "on"
	storeSlowDisk = "slow disk"
)

// costFigures are what one way came to, by method.
type costFigures struct {
	okPerSecond map[string]float64
	p99Ms       map[string]float64
}

// DurableCost is the experiment durable-cost: 500 RPCs a second with tokens and as many idempotent ones, with the store
// off, on this machine's disk, and on one whose syncs take 20 ms longer.
func DurableCost(o Options) (*Report, error) {
	length := 20 * time.Second
	if o.Quick {
		length = 8 * time.Second
	}
	r := &Report{Name: "durable-cost", Header: []string{"store", "method", "RPCs", "ok", "ok a second", "pushed back", "aborted", "p50 ms", "p99 ms", "syncs",
		"records a sync", "sync ms"}}
	figures := map[string]costFigures{}
	for _, way := range []string{storeOff, storeOn, storeSlowDisk} {
		of, err := measureStore(o, r, way, length)
		if err != nil {
			return nil, err
		}
		figures[way] = of
	}
	off, on := figures[storeOff], figures[storeOn]
	for _, way := range []string{storeOn, storeSlowDisk} {
		r.AddChecks(atMost("idempotent p99, "+way+" over off", figures[way].p99Ms["account-view"]/off.p99Ms["account-view"], 1.1))
	}
	r.AddChecks(atLeast("tokened ok a second, on over off", on.okPerSecond["topup-buy"]/off.okPerSecond["topup-buy"], 0.8))
	return r, nil
}

// measureStore loads a server that serves in one way, and adds a row for each method.
func measureStore(o Options, r *Report, way string, length time.Duration) (figures costFigures, err error) {
	tokens := &timedStore{}
	if way != storeOff {
		if err := tokens.open(way); err != nil {
			return figures, errors.Join(err, tokens.close())
		}
	}
	samples, err := loadStore(o, tokens, length)
	status := tokens.status()
	if err := errors.Join(err, tokens.close()); err != nil {
		return figures, err
	}
	figures = costFigures{okPerSecond: map[string]float64{}, p99Ms: map[string]float64{}}
	for _, row := range standin.Summarize(samples, false) {
		figures.okPerSecond[row.Method] = float64(row.OK) / length.Seconds()
		figures.p99Ms[row.Method] = row.P99
		r.AddRow(way, row.Method, row.Calls, row.OK, figures.okPerSecond[row.Method], row.Rejected, row.Aborted, row.P50, row.P99,
			status.Syncs, float64(status.Records)/max(1, float64(status.Syncs)), tokens.files.meanSyncMs())
	}
	return figures, nil
}

// loadStore loads a server with a token store by both protocols.
func loadStore(o Options, tokens *timedStore, length time.Duration) ([]standin.Sample, error) {
	var c cleanup
	defer c.run()
	cores := standin.NewCores(costCores, 0)
	c.add(cores.Close)
	rules := standin.NewInvariantChecker("topup-buy")
	engine, err := standin.NewEngine(cores, standin.WorkFromBody, rules)
	if err != nil {
		return nil, err
	}
	c.add(engine.Close)
	settings, err := methodSettings(durableMethods, costCores)
	if err != nil {
		return nil, err
	}
	server, err := startServerAt(settings, engine.Addr(), routedFile(durableMethods), tokens.forGate(), loopback, loopback)
	if err != nil {
		return nil, err
	}
	c.add(server.close)
	router, web := standin.NewRouter(server.rpcAddress), standin.NewWebTier(server.webAddress, true)
	c.add(web.Close)
	c.add(router.Close)
	plan := standin.LoadPlan{
		Rate:     costRate,
		Duration: length,
		Callers:  3,
		Seed:     o.Seed,
		Deadline: 1300 * time.Millisecond,
		Kinds: []standin.RequestKind{
			{Method: "account-view", Share: 0.5, MeanWorkMs: costWork},
			{Method: "topup-buy", Share: 0.5, MeanWorkMs: costWork, WithToken: true},
		},
	}
	return plan.Run(context.Background(), map[string]standin.Caller{"msgpack": router, "uwsgi": web}, rules), nil
}

// timedStore is a durable store in a temporary folder whose syncs are measured, or none if it was not opened.
type timedStore struct {
	store *store.Store
	files timedFiles
	dir   string
}

func (t *timedStore) open(way string) (err error) {
	if t.dir, err = os.MkdirTemp("", "durable-*"); err != nil {
		return err
	}
	if t.files.FS, err = store.OpenDir(t.dir); err != nil {
		return err
	}
	if way == storeSlowDisk {
		t.files.extraSync = slowDiskSyncs
	}
	t.store, err = store.Open(&t.files, durableLimits(), "node", unixMs, func(string, error) {})
	return err
}

// forGate is the store as a gate takes it; nil for none.
func (t *timedStore) forGate() gate.TokenStore {
	if t.store == nil {
		return nil
	}
	return store.TokenStore{Store: t.store}
}

func (t *timedStore) status() store.Status {
	if t.store == nil {
		return store.Status{}
	}
	return t.store.Status()
}

// close closes the store and removes its folder.
func (t *timedStore) close() error {
	var err error
	if t.store != nil {
		err = t.store.Close()
	}
	if t.dir != "" {
		err = errors.Join(err, os.RemoveAll(t.dir))
	}
	return err
}

// timedFiles measures the syncs of files, and slows them down.
type timedFiles struct {
	store.FS
	extraSync time.Duration // that each sync takes longer

	mu    sync.Mutex
	syncs int
	took  time.Duration // by all
}

// Create is that of the files, with its syncs measured.
func (t *timedFiles) Create(name string) (store.File, error) {
	file, err := t.FS.Create(name)
	return timedFile{file, t}, err
}

func (t *timedFiles) meanSyncMs() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.took.Microseconds()) / 1000 / float64(max(1, t.syncs))
}

// timedFile is one of the files.
type timedFile struct {
	store.File
	files *timedFiles
}

// Sync is that of the file, measured.
func (f timedFile) Sync() error {
	began := time.Now()
	time.Sleep(f.files.extraSync)
	err := f.File.Sync()
	f.files.mu.Lock()
	defer f.files.mu.Unlock()
	f.files.syncs++
	f.files.took += time.Since(began)
	return err
}
