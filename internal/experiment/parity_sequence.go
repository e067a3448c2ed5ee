package experiment

import (
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"time"

	"sorrelvalve/internal/standin"
	"sorrelvalve/internal/startup"
	"sorrelvalve/valve"
)

const (
	parityCores       = 16
	parityWork        = 60.0 // ms, mean
	parityLoad        = 1.2  // of capacity; twice that in the burst
	paritySlowStart   = 6 * time.Second
	parityDrainStop   = 1500 * time.Millisecond
	paritySeed        = 11 // of the decisions
	parityCallers     = 3
	paritySubjects    = 3000
	parityMemory      = 4 << 30         // bytes
	parityRPCMemory   = 24.5 * 1024     // bytes
	parityCacheMemory = 64 << 20        // bytes
	burstFrom         = 0.4             // of the sequence
	burstTo           = 0.5             // of the sequence
	drainAfter        = 8               // tenths of the sequence
	parityTail        = 3 * time.Second // for which the clock goes on after the sequence
)

var parityMethods = []valve.Method{
	{Name: "account-view", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, Criticality: 1, LateFraction: 0.2},
	{Name: "settings-save", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, Criticality: 1},
	{Name: "topup-buy", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, Criticality: 3, Idempotency: valve.IdempotencyKeyed, DedupWindow: 13584 * time.Millisecond},
}

// parityOptions configure the library as paritySettings configure the daemon.
func parityOptions() valve.Options {
	return valve.Options{
		Methods:       parityMethods,
		Cores:         parityCores,
		Memory:        parityMemory,
		CacheBytes:    parityCacheMemory,
		Callers:       parityCallers,
		WarmingUp:     true,
		WarmUpTime:    paritySlowStart,
		MaxRetryAfter: time.Second,
		DrainGrace:    500 * time.Millisecond,
		Seed:          paritySeed,
	}
}

func paritySettings() (*startup.Config, error) {
	var lines strings.Builder
	set := func(key string, value any) { fmt.Fprintf(&lines, "%s=%v\n", key, value) }
	set("classes.count", len(parityMethods))
	set("family_info.cores", parityCores)
	set("family_info.ram_kb", parityMemory>>10)
	set("family_info.callers", parityCallers)
	set("family_info.meters", "core_use,on_cores")
	set("rules.tip_multiple", 8)
	set("rules.drain_grace", (500 * time.Millisecond).Nanoseconds())
	set("rules.answer_slack", (80 * time.Millisecond).Nanoseconds())
	set("rules.cold", paritySlowStart.Nanoseconds())
	set("limits.max_retry_after", time.Second.Nanoseconds())
	set("client_habits.marks_retry", true)
	for i, m := range parityMethods {
		idempotency := "read_like"
		if m.Idempotency == valve.IdempotencyKeyed {
			idempotency = "idempotency_key"
		}
		class := fmt.Sprintf("classes.%d.", i)
		set(class+"name", m.Name)
		set(class+"aim", m.LatencyObjective.Nanoseconds())
		set(class+"give_up", m.Deadline.Nanoseconds())
		set(class+"worth", m.Criticality)
		set(class+"late_worth", m.LateFraction)
		set(class+"idempotency", idempotency)
		set(class+"window", m.DedupWindow.Nanoseconds())
	}
	config, err := startup.Parse(lines.String())
	if err != nil {
		return nil, err
	}
	config.Node.Seed = paritySeed
	return config, nil
}

// arrival is one RPC of the sequence.
type arrival struct {
	at   time.Duration // whole ms since the beginning
	call standin.Call
	work float64 // ms
}

// paritySequence draws arrivals at 120% of capacity over some time, and in a burst before its middle at 240%.
func paritySequence(seed int64, length time.Duration) (arrivals []arrival) {
	random := rand.New(rand.NewSource(seed))
	endMs := float64(length.Milliseconds())
	atMs := 0.0
	for {
		perMs := parityLoad * parityCores / parityWork
		if atMs > burstFrom*endMs && atMs < burstTo*endMs {
			perMs *= 2
		}
		atMs += random.ExpFloat64() / perMs
		if atMs >= endMs {
			return arrivals
		}
		arrivals = append(arrivals, randomArrival(random, len(arrivals), time.Duration(atMs)*time.Millisecond))
	}
}

// randomArrival draws the nth arrival. Its hint is its work, off by up to a fifth.
func randomArrival(random *rand.Rand, n int, at time.Duration) arrival {
	a := arrival{at: at, work: standin.RandomWork(random, parityWork)}
	a.call = standin.Call{
		Method:  "account-view",
		Caller:  random.Intn(parityCallers) + 1,
		Subject: uint64(random.Intn(paritySubjects)) + 1,
		Body:    []byte(strconv.Itoa(n)),
	}
	switch x := random.Float64(); {
	case x < 0.12:
		a.call.Method = "topup-buy"
		a.call.Token = fmt.Sprint("t", n)
		a.call.Subject = 0
	case x < 0.5:
		a.call.Method = "settings-save"
	}
	hint := strconv.FormatFloat(a.work*(0.8+0.4*random.Float64()), 'f', 2, 64)
	a.call.HintMs, _ = strconv.ParseFloat(hint, 64) // as the wire has it; it was just formatted
	return a
}
