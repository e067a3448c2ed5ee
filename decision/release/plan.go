// Package release implements progressive rollout of settings and program versions across a fleet: servers are assigned
// to waves, each wave is compared with the servers that still run the previous version over the same minutes (canary
// analysis with a sequential test), and the rollout is paused or rolled back where the new version is worse or where too
// little is known. It is a replicated state machine beside decision/permit: the permit servers apply commands in the
// order of their raft log, and the same commands give the same ledger on every replica; time enters only as durations
// carried by the commands, measured on the leader's clock. The package is pure: no I/O, no clock and no randomness.
// A server is never assigned a version before its wave, and never left on a version that was rolled back.
package release

// This file owns the plan: which server is in which wave. It must never put more servers into a wave than the rules let.

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

// Rules are what an operator sets of a release. Times are ms.
type Rules struct {
	CanaryServers  int     `json:"canary"`  // servers of the first wave
	MaxGrowth      float64 `json:"growth"`  // servers of a wave over all before it, at the most
	MaxWaveShare   float64 `json:"most"`    // share of the fleet in one wave, at the most
	BakeMS         float64 `json:"bake"`    // for which a wave runs the version, warm, before the next
	MinRPCs        float64 `json:"least"`   // RPCs on each side before a wave is judged
	MaxWaveMS      float64 `json:"longest"` // of a wave; then the release is held
	FalseAlarmRate float64 `json:"alarm"`   // chance that a version that is no worse is taken back, over the whole release
	Margin         float64 `json:"margin"`  // by which a share may be worse
	MaxUnreachable int     `json:"unheard"` // servers of the plan that may be unheard before the release is held
}

// Usual are rules for a fleet whose servers answer some RPCs a second each: a wave of a minute, one false alarm in two hundred
// releases, and a hundredth of all RPCs for what does not matter.
func DefaultRules() Rules {
	return Rules{CanaryServers: 1, MaxGrowth: 2, MaxWaveShare: 0.34, BakeMS: 60e3, MinRPCs: 400, MaxWaveMS: 600e3, FalseAlarmRate: 0.005, Margin: 0.01, MaxUnreachable: 1}
}

// Check names what is wrong with rules; "" if nothing is.
func (r *Rules) Validate() string {
	in := func(v, low, high float64) bool { return v >= low && v <= high }
	switch {
	case r.CanaryServers < 1 || r.CanaryServers > 64:
		return "canary: from 1 to 64 servers expected"
	case !in(r.MaxGrowth, 1, 16):
		return "growth: from 1 to 16 expected"
	case !in(r.MaxWaveShare, 0.001, 1):
		return "most: a share of the fleet expected"
	case !in(r.BakeMS, 0, 86400e3):
		return "bake: up to a day in ms expected"
	case !in(r.MinRPCs, 0, 1e9):
		return "least: a number of RPCs expected"
	case !in(r.MaxWaveMS, math.Max(1, r.BakeMS), 7*86400e3):
		return "longest: at least bake, up to a week in ms expected"
	case !in(r.FalseAlarmRate, 1e-6, 0.5):
		return "alarm: a chance from 0.000001 to 0.5 expected"
	case !in(r.Margin, 0, 1):
		return "margin: a share expected"
	case r.MaxUnreachable < 0:
		return "unheard: a number of servers expected"
	}
	return ""
}

// Server is one that a release is for.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"`
}

// Waves are who gets a version when: the canaries first, then more and more, each wave spread over the zones by their sizes. Which
// servers go first is drawn by the release's number, so that it is not always the same ones that meet what is bad.
func Waves(r Rules, servers []Server, number uint64) (waves [][]string) {
	type placed struct {
		Server
		at float64 // in its zone, from 0 to 1
		by uint64
	}
	all := make([]placed, 0, len(servers))
	for _, s := range servers {
		all = append(all, placed{Server: s, by: hashOrder(number, s.Name)})
	}
	slices.SortFunc(all, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.by, b.by), cmp.Compare(a.Name, b.Name))
	})
	for from := 0; from < len(all); {
		to := from
		for to < len(all) && all[to].Zone == all[from].Zone {
			to++
		}
		first := float64(hashOrder(number, all[from].Zone)>>11) / (1 << 53) // zones begin at different places, lest all canaries of one lie together
		for i := from; i < to; i++ {
			all[i].at = (float64(i-from) + first) / float64(to-from)
		}
		from = to
	}
	slices.SortStableFunc(all, func(a, b placed) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by)) })
	for done := 0; done < len(all); {
		n := r.CanaryServers
		if done > 0 {
			n = int(math.Min(math.Ceil(r.MaxGrowth*float64(done)), math.Floor(r.MaxWaveShare*float64(len(all)))))
		}
		n = min(max(n, 1), len(all)-done)
		wave := make([]string, 0, n)
		for _, s := range all[done : done+n] {
			wave = append(wave, s.Name)
		}
		waves, done = append(waves, wave), done+n
	}
	return waves
}

func hashOrder(number uint64, name string) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, number, "/", name)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
