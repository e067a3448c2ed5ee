package experiment

// This file owns what keepers cost: time to grant with and without the loss of a leader, and how memory, log and the time to start
// again grow with the permits that were given. It must never count an answer that was given twice as two.

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
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
)

// grants are given and returned by many clients of three keepers, on a roster of which all may be out.
func grants(o Options, r *Report) error {
	permits, timed := 4000, 2*time.Second
	if !o.Quick {
		permits, timed = 1000000, 10*time.Second
	}
	dir, err := os.MkdirTemp("", "grant")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	k, err := newKeepers(dir)
	if k != nil {
		defer k.close()
	}
	if err != nil {
		return err
	}
	ctx, end := context.WithTimeout(context.Background(), 25*time.Minute)
	defer end()
	client := permitclient.New(k.http)
	defer client.Close()
	var servers []permit.Server
	for i := range grantServers {
		servers = append(servers, permit.Server{Name: fmt.Sprint("n", i)})
	}
	if a, err := client.Do(ctx, permit.Command{ID: "roster", Kind: permit.Configure, Servers: servers, Limits: &permit.Limits{Fleet: permit.Limit{MaxCount: 4 * grantServers}}}); err != nil || !a.OK {
		return fmt.Errorf("roster: %+v %w", a, err)
	}
	hearing, endHearing := context.WithCancel(ctx)
	var hear sync.WaitGroup
	defer hear.Wait()
	defer endHearing()
	hear.Go(func() {
		for hearing.Err() == nil {
			for i := range grantServers {
				one, done := context.WithTimeout(hearing, 2*time.Second)
				client.Heartbeat(one, permitclient.Heartbeat{Name: fmt.Sprint("n", i), Incarnation: 1})
				done()
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	cycle := func(c *permitclient.Client, name, id string) (took time.Duration, err error) {
		began := time.Now()
		a, err := c.Do(ctx, permit.Command{ID: "a" + id, Kind: permit.Acquire, Subject: name, Actor: "lab", Incarnation: 1})
		took = time.Since(began)
		if err == nil && a.OK {
			_, err = c.Do(ctx, permit.Command{ID: "r" + id, Kind: permit.Return, Subject: name, PermitID: a.PermitID, Incarnation: 1})
		}
		return took, err
	}
	// One client's times, at rest and with the leader killed in the middle.
	for _, kill := range []bool{false, true} {
		var took []float64
		began, killed := time.Now(), !kill
		for i := 0; time.Since(began) < timed; i++ {
			if !killed && time.Since(began) > timed/3 {
				st, err := client.State(ctx)
				if err != nil {
					return err
				}
				killed = true
				k.kill(st.Leader)
			}
			t, err := cycle(client, fmt.Sprint("n", i%grantServers), fmt.Sprint("one", kill, i))
			if err != nil {
				return err
			}
			took = append(took, t.Seconds()*1000)
		}
		name := "ms to grant, one client, three keepers: p50; p99"
		if kill {
			name = "  with the leader killed: p50; the longest"
			r.AddRow(name, standin.Quantile(took, 0.5), standin.Quantile(took, 1))
			r.AddChecks(atMost("ms to grant over a leader's loss", standin.Quantile(took, 1), 5000))
			for _, name := range k.names {
				if k.procs[name] == nil {
					k.start(name, false)
				}
			}
		} else {
			r.AddRow(name, standin.Quantile(took, 0.5), standin.Quantile(took, 0.99))
			r.AddChecks(atMost("ms to grant, p99", standin.Quantile(took, 0.99), 250))
		}
	}
	// Many at once, up to the number wanted.
	var next atomic.Int64
	var all sync.WaitGroup
	began := time.Now()
	before := k.resident()
	var failed atomic.Pointer[error]
	for w := range grantClients {
		all.Go(func() {
			c := permitclient.New(k.http)
			defer c.Close()
			for next.Add(1) <= int64(permits) && failed.Load() == nil {
				if _, err := cycle(c, fmt.Sprint("n", w), fmt.Sprint("w", w, "-", next.Load(), time.Now().UnixNano())); err != nil {
					failed.Store(&err)
				}
			}
		})
	}
	all.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	took := time.Since(began)
	st, err := client.State(ctx)
	if err != nil {
		return err
	}
	after := k.resident()
	name := k.names[0]
	if st.Leader == name {
		name = k.names[1]
	}
	log := folder(filepath.Join(dir, name))
	k.kill(name)
	again := time.Now()
	if err := k.start(name, false); err != nil {
		return err
	}
	one := permitclient.New([]string{k.http[slices.Index(k.names, name)]})
	defer one.Close()
	for ctx.Err() == nil { // it leads on to the leader as soon as it serves
		tryOne, done := context.WithTimeout(ctx, time.Second)
		_, err := one.State(tryOne)
		done()
		if err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	restart := time.Since(again)
	r.AddRow(fmt.Sprintf("%d permits given and returned by %d clients: permits a second", st.State.LastPermitID, grantClients), float64(permits)/took.Seconds(), "")
	r.AddRow("  MB resident of the largest keeper before; after", before, after)
	r.AddRow("  MB on a keeper's disk; s until one that was killed serves again", log, restart.Seconds())
	r.AddChecks(atLeast("permits given", float64(st.State.LastPermitID), float64(permits)))
	r.AddChecks(atMost("MB resident of a keeper, after", after, 192))
	r.AddChecks(atMost("MB on a keeper's disk", log, 256))
	r.AddChecks(atMost("s until a killed keeper serves again", restart.Seconds(), 5))
	return nil
}

// resident is the largest of the keepers' memory in MB.
func (k *keepers) resident() (most float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.procs {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(b)) {
			if f := strings.Fields(line); len(f) == 3 && f[0] == "VmRSS:" {
				if kb, err := strconv.ParseFloat(f[1], 64); err == nil {
					most = max(most, kb/1024)
				}
			}
		}
	}
	return most
}

// folder is the size of all files in one, in MB.
func folder(path string) (mb float64) {
	filepath.Walk(path, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			mb += float64(info.Size()) / (1 << 20)
		}
		return nil
	})
	return mb
}
