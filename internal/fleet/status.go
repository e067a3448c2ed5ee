package fleet

import (
	"strconv"
	"time"

	"sorrelvalve/decision/gossip"
	"sorrelvalve/decision/health"
)

// Status is one server's view of the fleet, as the status socket serves it. The JSON names are part of that interface and do not change.
// Durations are in milliseconds. Ages are measured from when this server last received a message about the
// subject.
type Status struct {
	Name           string
	Zone           string
	Version        string // of the program
	SettingsHash   string `json:"Settings"` // hash of the operator's record
	Generation     uint64 `json:"Start"`
	Incarnation    string `json:"Life"` // hexadecimal
	Phase          string
	WarmupProgress float64 `json:"Ramp"`  // from 0 to 1
	Connectivity   string  `json:"Hears"` // "alone", "part" or "whole"
	// InGracePeriod is set while this server reports nothing about others yet, because it has just started or stalled.
	InGracePeriod   bool    `json:"Listening"`
	StateDurationMs float64 `json:"ForMs"`  // time in this connectivity state
	Members         int     `json:"Roster"` // number of members of the fleet, including this server
	Reachable       int     `json:"Heard"`  // number of reachable members, including this server
	MinServers      int     `json:"AtLeast"`
	MaxServers      int     `json:"AtMost"`
	MaxUnknown      bool    `json:"Blind"` // no contact with any peer so far, and no expected size set: more than MaxServers may be running
	Zones           []health.Zone
	Peers           []PeerStatus
	DuplicateNames  []string `json:"Twins,omitempty"`   // names used by two servers, with their addresses
	ExclusionReason string   `json:"Refused,omitempty"` // why this server is excluded from the fleet
	StallCount      int      `json:"Stalls"`            // number of times that this server found that it had stalled
	PeersLost       uint64   `json:"Lost"`              // number of times that the failure detector lost a peer
	StateChanges    int      `json:"Changes"`           // number of changes of the connectivity state
	Records         RecordStatus
	Traffic         Traffic
	Budgets         *BudgetStatus   `json:",omitempty"`
	Outliers        []OutlierStatus `json:"Judged,omitempty"`
	Drain           *DrainStatus    `json:",omitempty"`
}

// PeerStatus is this server's view of a peer.
type PeerStatus struct {
	Name             string
	Zone             string
	Version          string
	SettingsHash     string `json:"Settings"`
	Phase            string
	Addr             string
	Generation       uint64  `json:"Start"`
	WarmupProgress   float64 `json:"Ramp"` // from 0 to 1
	Reachable        bool    `json:"Heard"`
	FlapDamped       bool    `json:"Damped"` // the peer flapped, and counts as unreachable for a while
	DuplicateName    bool    `json:"Twin"`   // two servers use the name
	Contact          string  // "direct", "one way", "through others" or "none"
	RelayedBy        string  `json:"Through"` // the peer that relayed its last record
	LastContactAgeMs float64 `json:"AgeMs"`   // since the last message from it or about it
	StatusDurationMs float64 `json:"ForMs"`   // time in its present state
	SuspicionCount   int     `json:"Losses"`
	Departed         string  `json:"Away,omitempty"` // "left" or "declared gone"; "" for a member
}

// RecordStatus is the state of the table of gossiped records.
type RecordStatus struct {
	Origins int
	Records int
	Bytes   int
	gossip.Counts
}

// Traffic counts packets, bytes and streams since the start.
type Traffic struct {
	PacketsIn        uint64
	PacketsOut       uint64
	BytesIn          uint64
	BytesOut         uint64
	Dropped          uint64 // packets and streams over a limit, or while this server was silenced after a stall or by its exclusion
	Damaged          uint64 // packets with a wrong checksum
	Streams          uint64
	MemberlistErrors uint64 `json:"Complaints"` // errors and warnings that memberlist logged
}

// Status returns this server's present view of the fleet.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	budgets := f.budgets
	outliers := f.outliers
	drains := f.drains
	f.mu.Unlock()
	// The components come first, because their locks are acquired before the fleet's.
	var drainStatus *DrainStatus
	if drains != nil {
		drainStatus = drains.status()
	}
	var outlierStatus []OutlierStatus
	if outliers != nil {
		outlierStatus = outliers.status()
	}
	var budgetStatus *BudgetStatus
	if budgets != nil {
		budgetStatus = budgets.status()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	nowMs := f.elapsedMs(time.Now())
	status := f.membershipStatus(nowMs)
	for _, p := range f.detector.Peers(nowMs) {
		status.Peers = append(status.Peers, f.peerStatus(nowMs, &p))
	}
	status.Records.Origins, status.Records.Records, status.Records.Bytes = f.records.Size()
	status.Records.Counts = f.records.Counts
	status.Traffic = f.traffic.status()
	status.Traffic.MemberlistErrors = f.memberlistErrors.Load()
	status.Outliers = outlierStatus
	status.Drain = drainStatus
	status.Budgets = budgetStatus
	if budgetStatus != nil {
		budgetStatus.FleetCounts = f.countRanges(nowMs, maxReportedQuotas)
	}
	return status
}

// membershipStatus returns the part of the status about this server and the fleet as a whole. The caller holds the lock.
func (f *Fleet) membershipStatus(nowMs float64) Status {
	view := f.detector.View(nowMs)
	phase, warmupProgress := f.options.Phase()
	status := Status{
		Name:            f.options.Name,
		Zone:            f.options.Zone,
		Version:         f.options.Version,
		SettingsHash:    f.options.SettingsHash,
		Generation:      f.identity.Generation,
		Incarnation:     strconv.FormatUint(f.identity.Incarnation, 16),
		Phase:           phase.String(),
		WarmupProgress:  warmupProgress,
		Connectivity:    view.State.String(),
		InGracePeriod:   view.InGracePeriod,
		StateDurationMs: view.StateDuration,
		Members:         view.Members,
		Reachable:       view.Reachable,
		MinServers:      view.MinServers,
		MaxServers:      view.MaxServers,
		MaxUnknown:      view.MaxUnknown,
		Zones:           view.Zones,
		DuplicateNames:  append([]string(nil), f.duplicateNames...),
		StallCount:      view.StallCount,
		PeersLost:       f.peersLost,
		StateChanges:    view.StateChanges,
	}
	if f.exclusion != nil {
		status.ExclusionReason = f.exclusion.Error()
	}
	return status
}

// peerStatus returns the status of a peer. Text that came from the network is sanitized. The caller holds the lock.
func (f *Fleet) peerStatus(nowMs float64, p *health.Peer) PeerStatus {
	status := PeerStatus{
		Name:             sanitize(p.Name),
		Zone:             sanitize(p.Zone),
		Generation:       p.Generation,
		Reachable:        p.Reachable,
		FlapDamped:       p.FlapDamped,
		DuplicateName:    p.DuplicateName,
		Contact:          p.Contact.String(),
		RelayedBy:        sanitize(p.Via),
		LastContactAgeMs: p.LastContactAge,
		StatusDurationMs: p.StatusDuration,
		SuspicionCount:   p.SuspicionCount,
		Departed:         departureText(p.Departure),
	}
	record, _, found := f.records.Get(nowMs, p.Name, keyServer)
	if !found {
		return status
	}
	if server, ok := parseServer(record.Body); ok {
		status.Version = sanitize(server.Version)
		status.SettingsHash = sanitize(server.SettingsHash)
		status.Phase = server.Phase.String()
		status.WarmupProgress = server.WarmupProgress
		status.Addr = sanitize(server.Addr)
	}
	return status
}

// departureText returns the text for a departure in the status, or "" for a peer that is a member.
func departureText(d health.Departure) string {
	switch d {
	case health.Left:
		return "left"
	case health.DeclaredDead:
		return "declared gone"
	}
	return ""
}
