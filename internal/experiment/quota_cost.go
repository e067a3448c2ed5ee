package experiment

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/quota"
	"sorrelvalve/internal/fleet"
	"sorrelvalve/internal/operator"
)

const (
	costCustomers = 10000   // that have a quota
	costSenders   = 2000    // of these, that send
	costRotation  = 50      // customers of the timed RPCs
	costCalls     = 2000000 // RPCs
)

// measureQuotaCost measures what an RPC pays for shared quotas, and what memory a customer takes that sends.
func measureQuotaCost(r *Report) error {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	network := fleet.NewMemoryNetwork()
	defer network.Close()
	options := network.AddServer("n0")
	options.Log = logger.WithField("node", "n0")
	member, err := fleet.Start(options)
	if err != nil {
		return err
	}
	defer member.Crash()
	quotas := map[string]operator.Budget{}
	customers := make([]string, costCustomers)
	for i := range customers {
		customers[i] = fmt.Sprint("customer-", i)
		quotas[customers[i]] = operator.Budget{Bound: 1e6, Burst: 1e6, Floor: 1, MaxLeaseMs: quota.DefaultLeaseDuration}
	}
	budgets := member.ShareBudgets(&operator.Budgets{Servers: 300, ClockDrift: quota.DefaultClockDrift, Customers: quotas})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range costSenders {
		budgets.CheckQuota("account-view", customers[i], 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / costSenders
	runtime.ReadMemStats(&before)
	began := time.Now()
	for i := range costCalls {
		budgets.CheckQuota("account-view", customers[i%costRotation], 1)
	}
	nanoseconds := float64(time.Since(began).Nanoseconds()) / costCalls
	runtime.ReadMemStats(&after)
	allocations := float64(after.Mallocs-before.Mallocs) / costCalls
	r.AddRow("cost for an RPC: ns; allocations", costCalls, nanoseconds, allocations)
	r.AddRow("bytes for a customer that sends", costSenders, bytes, "")
	r.AddChecks(atMost("allocations for an RPC", math.Floor(allocations*100)/100, 0)) // the fleet's own ticks allocate beside
	return nil
}
