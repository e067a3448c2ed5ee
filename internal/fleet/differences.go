package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// opinions are what several servers' views say of one peer.
type opinions struct {
	reachableAt   []string // servers that reach it
	unreachableAt []string // servers that do not, and have it as a member
	generations   map[uint64]bool
}

// Differences names where views differ: which peers are reachable, of which generation, and the settings. Neither view is called wrong.
// Servers in their grace period have no view yet.
func Differences(statuses []Status) []string {
	differences := peerDifferences(collectOpinions(statuses))
	if text := settingsDifference(statuses); text != "" {
		differences = append(differences, text)
	}
	return differences
}

func collectOpinions(statuses []Status) map[string]*opinions {
	byPeer := map[string]*opinions{}
	for _, s := range statuses {
		if s.InGracePeriod {
			continue
		}
		for _, p := range s.Peers {
			o := byPeer[p.Name]
			if o == nil {
				o = &opinions{generations: map[uint64]bool{}}
				byPeer[p.Name] = o
			}
			if p.Reachable {
				o.reachableAt = append(o.reachableAt, s.Name)
				o.generations[p.Generation] = true
			} else if p.Departed == "" {
				o.unreachableAt = append(o.unreachableAt, s.Name)
			}
		}
	}
	return byPeer
}

func peerDifferences(byPeer map[string]*opinions) (differences []string) {
	for _, name := range slices.Sorted(maps.Keys(byPeer)) {
		o := byPeer[name]
		if len(o.reachableAt) > 0 && len(o.unreachableAt) > 0 {
			differences = append(differences, fmt.Sprintf("%s is heard by %s and not by %s",
				name, strings.Join(o.reachableAt, " "), strings.Join(o.unreachableAt, " ")))
		}
		if len(o.generations) > 1 {
			differences = append(differences, fmt.Sprintf("%s is known by %d different starts", name, len(o.generations)))
		}
	}
	return differences
}

// settingsDifference names which servers run which settings; "" if all run the same.
func settingsDifference(statuses []Status) string {
	serversByHash := map[string][]string{}
	for _, s := range statuses {
		serversByHash[s.SettingsHash] = append(serversByHash[s.SettingsHash], s.Name)
	}
	if len(serversByHash) <= 1 {
		return ""
	}
	var parts []string
	for hash, servers := range serversByHash {
		parts = append(parts, cmp.Or(hash, "none")+" at "+strings.Join(servers, " "))
	}
	slices.Sort(parts)
	return "settings: " + strings.Join(parts, ", ")
}
