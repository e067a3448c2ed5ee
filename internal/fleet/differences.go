package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// peerReports collects what several servers report about one peer.
type peerReports struct {
	reachableAt   []string // servers at which the peer is reachable
	unreachableAt []string // servers at which the peer is an unreachable member
	generations   map[uint64]bool
}

// Differences describes where the servers' views differ: which peers are reachable, their generations, and the settings in force. It does not
// say which view is wrong. Servers in their grace period are left out, as they have no view yet.
func Differences(statuses []Status) []string {
	differences := peerDifferences(collectReports(statuses))
	if text := settingsDifference(statuses); text != "" {
		differences = append(differences, text)
	}
	return differences
}

func collectReports(statuses []Status) map[string]*peerReports {
	byPeer := map[string]*peerReports{}
	for _, s := range statuses {
		if s.InGracePeriod {
			continue
		}
		for _, p := range s.Peers {
			reports := byPeer[p.Name]
			if reports == nil {
				reports = &peerReports{generations: map[uint64]bool{}}
				byPeer[p.Name] = reports
			}
			if p.Reachable {
				reports.reachableAt = append(reports.reachableAt, s.Name)
				reports.generations[p.Generation] = true
			} else if p.Departed == "" {
				reports.unreachableAt = append(reports.unreachableAt, s.Name)
			}
		}
	}
	return byPeer
}

func peerDifferences(byPeer map[string]*peerReports) (differences []string) {
	for _, name := range slices.Sorted(maps.Keys(byPeer)) {
		reports := byPeer[name]
		if len(reports.reachableAt) > 0 && len(reports.unreachableAt) > 0 {
			differences = append(differences, fmt.Sprintf("%s is heard by %s and not by %s",
				name, strings.Join(reports.reachableAt, " "), strings.Join(reports.unreachableAt, " ")))
		}
		if len(reports.generations) > 1 {
			differences = append(differences, fmt.Sprintf("%s is known by %d different starts", name, len(reports.generations)))
		}
	}
	return differences
}

// settingsDifference describes which servers run which settings. It returns "" if all run the same settings.
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
