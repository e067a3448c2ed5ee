package experiment

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/health"
	"sorrelvalve/internal/fleet"
)

// mesh is a fleet of members in this process, over loopback.
type mesh struct {
	addresses *fleet.MemoryNetwork
	members   []*fleet.Fleet
	began     time.Time
}

// startMesh starts n members, which all know the first.
func startMesh(n int) (*mesh, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m := &mesh{addresses: fleet.NewMemoryNetwork()}
	options := make([]fleet.Options, n)
	for i := range options {
		options[i] = m.addresses.AddServer(fmt.Sprintf("n%03d", i))
	}
	m.began = time.Now()
	for i, o := range options {
		o.Log = logger.WithField("node", o.Name)
		o.Zone = fmt.Sprint("z", i%3)
		o.Seeds = []string{options[0].Listen}
		member, err := fleet.Start(o)
		if err != nil {
			m.close()
			return nil, err
		}
		m.members = append(m.members, member)
	}
	return m, nil
}

func (m *mesh) close() {
	var closing sync.WaitGroup
	for _, member := range m.members {
		closing.Go(member.Crash)
	}
	closing.Wait()
	m.addresses.Close()
}

// complete counts the members that see all others.
func (m *mesh) complete() (count int) {
	for _, member := range m.members {
		if view := member.View(); view.State == health.Complete && view.Reachable == len(m.members) {
			count++
		}
	}
	return count
}

// awaitComplete waits until all views are complete, and returns the share of those that are over time.
func (m *mesh) awaitComplete() (Line, error) {
	n := len(m.members)
	line := Line{Name: fmt.Sprint(n, " servers")}
	for {
		complete := m.complete()
		line.add(time.Since(m.began).Seconds(), float64(complete)/float64(n))
		if complete == n {
			return line, nil
		}
		if time.Since(m.began) > awaitLimit {
			return line, fmt.Errorf("%d of %d views whole after %s", complete, n, awaitLimit)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sent is what all members have sent.
func (m *mesh) sent() (bytes, packets uint64) {
	for _, member := range m.members {
		traffic := member.Status().Traffic
		bytes += traffic.BytesOut
		packets += traffic.PacketsOut
	}
	return bytes, packets
}

// measureMesh measures how long n members take to see one another, and what each costs then. It returns the percentage
// of a core that one takes.
func measureMesh(o Options, r *Report, n int) (corePercent float64, err error) {
	window := 3 * time.Second
	if !o.Quick {
		window = 20 * time.Second
	}
	m, err := startMesh(n)
	if err != nil {
		return 0, err
	}
	defer m.close()
	line, err := m.awaitComplete()
	if err != nil {
		return 0, err
	}
	agreed := time.Since(m.began).Seconds()
	bytesBefore, packetsBefore := m.sent()
	cpuBefore, err := processCPUTime()
	if err != nil {
		return 0, err
	}
	time.Sleep(window)
	cpuAfter, err := processCPUTime()
	if err != nil {
		return 0, err
	}
	bytes, packets := m.sent()
	memberSeconds := window.Seconds() * float64(n)
	corePercent = 100 * (cpuAfter - cpuBefore).Seconds() / memberSeconds
	each := fmt.Sprintf("%.0f B %.1f p %.3f%%", float64(bytes-bytesBefore)/memberSeconds, float64(packets-packetsBefore)/memberSeconds, corePercent)
	r.AddRow(fmt.Sprintf("%d in one process: s until all whole; bytes and packets a second, %% of a core for each", n), 1, agreed, each)
	r.Charts = append(r.Charts, Chart{Name: fmt.Sprint("start-", n), XLabel: "s since the start", YLabel: "share of views that are whole", Lines: []Line{line}})
	return corePercent, nil
}

// processCPUTime is the processor time of this process.
func processCPUTime() (time.Duration, error) {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), err
}
