package release

// This file divides a fleet into waves. A wave must never have more servers than the rules allow.

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

// Server is a server that a release covers.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"`
}

// orderedServer is a server with the keys that determine its place in the order of the waves.
type orderedServer struct {
	Server
	position float64 // within the zone, from 0 to 1
	tieBreak uint64
}

// Waves divides the servers into waves: the canaries first, then larger waves. Each wave is spread over the zones in
// proportion to their sizes. The order depends on a hash of the release's number, so that a bad version does not always hit
// the same servers first.
func Waves(rules Rules, servers []Server, number uint64) (waves [][]string) {
	ordered := orderServers(servers, number)
	for assigned := 0; assigned < len(ordered); {
		size := min(rules.waveSize(assigned, len(ordered)), len(ordered)-assigned)
		wave := make([]string, 0, size)
		for _, s := range ordered[assigned : assigned+size] {
			wave = append(wave, s.Name)
		}
		waves = append(waves, wave)
		assigned += size
	}
	return waves
}

// waveSize returns the size of the next wave, at least 1. assigned is the number of servers in the earlier waves, fleet the
// number of all servers.
func (r *Rules) waveSize(assigned, fleet int) int {
	if assigned == 0 {
		return max(r.CanaryServers, 1)
	}
	byGrowth := math.Ceil(r.MaxGrowth * float64(assigned))
	byShare := math.Floor(r.MaxWaveShare * float64(fleet))
	return max(int(math.Min(byGrowth, byShare)), 1)
}

// orderServers returns the servers in the order in which they receive the version.
func orderServers(servers []Server, number uint64) []orderedServer {
	ordered := make([]orderedServer, 0, len(servers))
	for _, s := range servers {
		ordered = append(ordered, orderedServer{Server: s, tieBreak: hashOrder(number, s.Name)})
	}
	slices.SortFunc(ordered, func(a, b orderedServer) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.tieBreak, b.tieBreak), cmp.Compare(a.Name, b.Name))
	})
	for from := 0; from < len(ordered); {
		to := from
		for to < len(ordered) && ordered[to].Zone == ordered[from].Zone {
			to++
		}
		placeInZone(ordered[from:to], number)
		from = to
	}
	slices.SortStableFunc(ordered, func(a, b orderedServer) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	return ordered
}

// placeInZone sets the positions of a zone's servers, evenly spaced from 0 to 1. Zones begin at different offsets, so that
// the canaries do not all come from one zone.
func placeInZone(zone []orderedServer, number uint64) {
	offset := float64(hashOrder(number, zone[0].Zone)>>11) / (1 << 53)
	for i := range zone {
		zone[i].position = (float64(i) + offset) / float64(len(zone))
	}
}

// hashOrder hashes a name with a release's number: FNV-1a followed by a shortened MurmurHash3 finalizer, because FNV alone
// mixes its upper bits too little.
func hashOrder(number uint64, name string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, number, "/", name) // a hash never returns an error
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
