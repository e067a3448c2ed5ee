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
	quotaCustomers = 10000   // that have a quota
	quotaSenders   = 2000    // of these, that send
	quotaRotation  = 50      // customers of the timed RPCs
	quotaCalls     = 2000000 // RPCs
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
	customers := make([]string, quotaCustomers)
	for i := range customers {
		customers[i] = fmt.Sprint("customer-", i)
		quotas[customers[i]] = operator.Budget{Bound: 1e6, Burst: 1e6, Floor: 1, MaxLeaseMs: quota.DefaultLeaseDuration}
	}
	budgets := member.ShareBudgets(&operator.Budgets{Servers: 300, ClockDrift: quota.DefaultClockDrift, Customers: quotas})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range quotaSenders {
		budgets.CheckQuota("account-view", customers[i], 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / quotaSenders
	runtime.ReadMemStats(&before)
	began := time.Now()
	for i := range quotaCalls {
		budgets.CheckQuota("account-view", customers[i%quotaRotation], 1)
	}
	nanoseconds := float64(time.Since(began).Nanoseconds()) / quotaCalls
	runtime.ReadMemStats(&after)
	allocations := float64(after.Mallocs-before.Mallocs) / quotaCalls
	r.AddRow("cost for an RPC: ns; allocations", quotaCalls, nanoseconds, allocations)
	r.AddRow("bytes for a customer that sends", quotaSenders, bytes, "")
	r.AddChecks(atMost("allocations for an RPC", math.Floor(allocations*100)/100, 0)) // the fleet's own ticks allocate beside
	return nil
}
