package experiment

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sorrelvalve/decision/permit"
	"sorrelvalve/internal/permitclient"
	"sorrelvalve/internal/standin"
)

const (
	grantClients = 64
	grantServers = 64
	grantLimit   = 25 * time.Minute // for the long form of a million permits
)

// grantExperiment is the part of fleet-drain that measures what permit servers cost: the time to grant with and without
// the loss of a leader, and how memory, disk and the time to start again grow with the permits that were given. Permits
// are given and returned by many clients, on a roster of which all may be out.
type grantExperiment struct {
	report  *Report
	permits int64         // given by all clients together
	timed   time.Duration // for which one client measures times
	cleanup cleanup
	ctx     context.Context

	dir     string
	servers *permitServers
	client  *permitclient.Client

	given          uint64  // by the servers' own count
	residentBefore float64 // MB
	residentAfter  float64
	diskMB         float64
	took           time.Duration // for all permits
	restartTook    time.Duration
}

func grants(o Options, r *Report) error {
	x := &grantExperiment{report: r, permits: 4000, timed: 2 * time.Second}
	if !o.Quick {
		x.permits = 1000000
		x.timed = 10 * time.Second
	}
	defer x.cleanup.run()
	return runSteps([]step{
		{"start the permit servers", x.start},
		{"set the roster", x.setRoster},
		{"report the servers as running", x.startReports},
		{"time one client at rest", x.timeAtRest},
		{"time one client over the leader's loss", x.timeLeaderLoss},
		{"give permits by many clients", x.giveByMany},
		{"restart a permit server", x.restartOne},
		{"report the cost", x.reportCost},
	})
}

func (x *grantExperiment) start() (err error) {
	if x.dir, err = os.MkdirTemp("", "grant"); err != nil {
		return err
	}
	x.cleanup.add(func() { _ = os.RemoveAll(x.dir) }) // a temporary folder that stays does no harm
	if x.servers, err = startPermitServers(x.dir); err != nil {
		return err
	}
	x.cleanup.add(x.servers.close)
	ctx, cancel := context.WithTimeout(context.Background(), grantLimit)
	x.ctx = ctx
	x.cleanup.add(cancel)
	x.client = permitclient.New(x.servers.addresses)
	x.cleanup.add(x.client.Close)
	return nil
}

func (x *grantExperiment) setRoster() error {
	var servers []permit.Server
	for i := range grantServers {
		servers = append(servers, permit.Server{Name: grantServer(i)})
	}
	limits := &permit.Limits{Fleet: permit.Limit{MaxCount: 4 * grantServers}}
	return setRoster(x.ctx, x.client, permit.Command{Servers: servers, Limits: limits})
}

func grantServer(i int) string { return fmt.Sprint("n", i) }

// startReports reports all servers of the roster again and again, as these would themselves.
func (x *grantExperiment) startReports() error {
	ctx, cancel := context.WithCancel(x.ctx)
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			for i := range grantServers {
				report, done := context.WithTimeout(ctx, 2*time.Second)
				_, _ = x.client.Heartbeat(report, permitclient.Heartbeat{Name: grantServer(i), Incarnation: 1}) // repeated in a while
				done()
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	x.cleanup.add(func() {
		cancel()
		running.Wait()
	})
	return nil
}

// cycle asks for a permit and returns it. It measures the time of the former.
func (x *grantExperiment) cycle(client *permitclient.Client, name, id string) (took time.Duration, err error) {
	began := time.Now()
	answer, err := client.Do(x.ctx, permit.Command{ID: "a" + id, Kind: permit.Acquire, Subject: name, Actor: "lab", Incarnation: 1})
	took = time.Since(began)
	if err == nil && answer.OK {
		_, err = client.Do(x.ctx, permit.Command{ID: "r" + id, Kind: permit.Return, Subject: name, PermitID: answer.PermitID, Incarnation: 1})
	}
	return took, err
}

func (x *grantExperiment) timeAtRest() error {
	took, err := x.timeCycles(false)
	if err != nil {
		return err
	}
	p99 := standin.Quantile(took, 0.99)
	x.report.AddRow("ms to grant, one client, three keepers: p50; p99", standin.Quantile(took, 0.5), p99)
	x.report.AddChecks(atMost("ms to grant, p99", p99, 250))
	return nil
}

func (x *grantExperiment) timeLeaderLoss() error {
	took, err := x.timeCycles(true)
	if err != nil {
		return err
	}
	longest := standin.Quantile(took, 1)
	x.report.AddRow("  with the leader killed: p50; the longest", standin.Quantile(took, 0.5), longest)
	x.report.AddChecks(atMost("ms to grant over a leader's loss", longest, 5000))
	return x.servers.startMissing()
}

// timeCycles measures the times of one client in ms, with the leader killed after a third of them if asked for.
func (x *grantExperiment) timeCycles(killLeader bool) (took []float64, err error) {
	began := time.Now()
	killed := false
	for i := 0; time.Since(began) < x.timed; i++ {
		if killLeader && !killed && time.Since(began) > x.timed/3 {
			status, err := x.client.State(x.ctx)
			if err != nil {
				return nil, err
			}
			killed = true
			x.servers.kill(status.Leader)
		}
		d, err := x.cycle(x.client, grantServer(i%grantServers), fmt.Sprint("one", killLeader, i))
		if err != nil {
			return nil, err
		}
		took = append(took, d.Seconds()*1000)
	}
	return took, nil
}

// giveByMany has many clients at once ask for and return as many permits as are wanted.
func (x *grantExperiment) giveByMany() error {
	var next atomic.Int64
	var failed atomic.Pointer[error]
	var running sync.WaitGroup
	began := time.Now()
	x.residentBefore = x.servers.maxResidentMB()
	for worker := range grantClients {
		running.Go(func() {
			client := permitclient.New(x.servers.addresses)
			defer client.Close()
			for next.Add(1) <= x.permits && failed.Load() == nil {
				id := fmt.Sprint("w", worker, "-", next.Load(), time.Now().UnixNano())
				if _, err := x.cycle(client, grantServer(worker), id); err != nil {
					failed.Store(&err)
				}
			}
		})
	}
	running.Wait()
	x.took = time.Since(began)
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

// restartOne kills a server that does not lead, and measures its disk and how long it takes to serve again.
func (x *grantExperiment) restartOne() (err error) {
	status, err := x.client.State(x.ctx)
	if err != nil {
		return err
	}
	x.given = uint64(status.State.LastPermitID)
	x.residentAfter = x.servers.maxResidentMB()
	name := x.servers.names[0]
	if status.Leader == name {
		name = x.servers.names[1]
	}
	if x.diskMB, err = folderMB(filepath.Join(x.dir, name)); err != nil {
		return err
	}
	x.servers.kill(name)
	began := time.Now()
	if err := x.servers.start(name, false); err != nil {
		return err
	}
	client := permitclient.New([]string{x.servers.addresses[slices.Index(x.servers.names, name)]})
	defer client.Close()
	for x.ctx.Err() == nil && !serves(x.ctx, client) {
		time.Sleep(5 * time.Millisecond)
	}
	x.restartTook = time.Since(began)
	return nil
}

// serves reports whether a client's server answers: it redirects to the leader as soon as it serves.
func serves(ctx context.Context, client *permitclient.Client) bool {
	attempt, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := client.State(attempt)
	return err == nil
}

func (x *grantExperiment) reportCost() error {
	r := x.report
	r.AddRow(fmt.Sprintf("%d permits given and returned by %d clients: permits a second", x.given, grantClients), float64(x.permits)/x.took.Seconds(), "")
	r.AddRow("  MB resident of the largest keeper before; after", x.residentBefore, x.residentAfter)
	r.AddRow("  MB on a keeper's disk; s until one that was killed serves again", x.diskMB, x.restartTook.Seconds())
	r.AddChecks(
		atLeast("permits given", float64(x.given), float64(x.permits)),
		atMost("MB resident of a keeper, after", x.residentAfter, 192),
		atMost("MB on a keeper's disk", x.diskMB, 256),
		atMost("s until a killed keeper serves again", x.restartTook.Seconds(), 5),
	)
	return nil
}
