package release

// This file owns the division of a fleet into waves. It must never put more servers into a wave than the rules allow.

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

// Server is a server that a release is for.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"`
}

// orderedServer is a server with what decides its place in the order of the waves.
type orderedServer struct {
	Server
	position float64 // within its zone, from 0 to 1
	tieBreak uint64
}

// Waves divides the servers into waves: the canaries first, then larger waves, each spread over the zones by their sizes. A hash
// of the release's number decides which servers go first, so that the same servers are not always the first to meet a bad
// version.
func Waves(rules Rules, servers []Server, number uint64) (waves [][]string) {
	all := orderServers(servers, number)
	for assigned := 0; assigned < len(all); {
		size := min(rules.waveSize(assigned, len(all)), len(all)-assigned)
		wave := make([]string, 0, size)
		for _, s := range all[assigned : assigned+size] {
			wave = append(wave, s.Name)
		}
		waves = append(waves, wave)
		assigned += size
	}
	return waves
}

// waveSize returns the size of the wave that follows so many servers of a fleet, which is at least 1.
func (r *Rules) waveSize(assigned, fleet int) int {
	if assigned == 0 {
		return max(r.CanaryServers, 1)
	}
	byGrowth := math.Ceil(r.MaxGrowth * float64(assigned))
	byShare := math.Floor(r.MaxWaveShare * float64(fleet))
	return max(int(math.Min(byGrowth, byShare)), 1)
}

// orderServers returns the servers in the order in which they get the version.
func orderServers(servers []Server, number uint64) []orderedServer {
	all := make([]orderedServer, 0, len(servers))
	for _, s := range servers {
		all = append(all, orderedServer{Server: s, tieBreak: hashOrder(number, s.Name)})
	}
	slices.SortFunc(all, func(a, b orderedServer) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.tieBreak, b.tieBreak), cmp.Compare(a.Name, b.Name))
	})
	for from := 0; from < len(all); {
		to := from
		for to < len(all) && all[to].Zone == all[from].Zone {
			to++
		}
		placeInZone(all[from:to], number)
		from = to
	}
	slices.SortStableFunc(all, func(a, b orderedServer) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	return all
}

// placeInZone spaces the servers of a zone evenly from 0 to 1. Zones begin at different offsets, so that the canaries are not
// all of one zone.
func placeInZone(zone []orderedServer, number uint64) {
	offset := float64(hashOrder(number, zone[0].Zone)>>11) / (1 << 53)
	for i := range zone {
		zone[i].position = (float64(i) + offset) / float64(len(zone))
	}
}

// hashOrder hashes a name with a release's number: FNV-1a with the finalizer of MurmurHash3, shortened, since FNV alone mixes
// its upper bits too little.
func hashOrder(number uint64, name string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, number, "/", name) // a hash never returns an error
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
