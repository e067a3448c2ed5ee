package fleet

import (
	"encoding/base64"
	"fmt"
	"os"
	"slices"
	"strings"

	"sorrelvalve/control"
	"sorrelvalve/decision/pool"
	"sorrelvalve/internal/back/pools"
	"sorrelvalve/internal/daemon"
	"sorrelvalve/internal/operator"
)

// daemonFleet is the fleet membership of a server that runs as a daemon. It never delays the server's stop, and delays its start by
// startTimeout at most.
type daemonFleet struct {
	fleet   *Fleet
	budgets *Budgets
	socket  *Socket           // nil if no socket is configured
	drains  *DrainCoordinator // nil without permit servers
}

// Set applies the budgets of a new operator's file. Changes to the file's fleet section take effect after a restart.
func (m *daemonFleet) Set(file *operator.File) { m.budgets.Set(file.Budgets) }

// Close ends the membership.
func (m *daemonFleet) Close() {
	if m.socket != nil {
		m.socket.Close()
	}
	if m.drains != nil {
		m.drains.Close()
	}
	m.fleet.Close()
}

// StartWithDaemon starts the fleet membership that the operator's file configures, if any. It is a daemon.Extension.
func StartWithDaemon(parts daemon.Parts) (daemon.ExtensionPart, error) {
	if parts.Config.Operator == nil || parts.Config.Operator.File.Fleet == nil {
		return nil, nil
	}
	file := &parts.Config.Operator.File
	options, err := optionsOf(&parts)
	if err != nil {
		return nil, err
	}
	fleet, err := Start(options)
	if err != nil {
		return nil, err
	}
	member := &daemonFleet{fleet: fleet, budgets: fleet.ShareBudgets(file.Budgets)}
	parts.Gate.UseQuota(member.budgets)
	parts.Pools.UseOutlierDetection(fleet.DetectOutliers())
	parts.Pools.UseBudgets(member.budgets, criticalityOf(parts.Config.Settings.Methods))
	if len(file.Fleet.PermitServers) > 0 {
		member.drains = fleet.CoordinateDrains(file.Fleet.PermitServers, drainHooks(&parts))
	}
	if file.Fleet.Socket != "" {
		if member.socket, err = fleet.ServeSocket(file.Fleet.Socket); err != nil {
			member.Close()
			return nil, err
		}
	}
	parts.Log.WithField("listen", file.Fleet.Listen).Info("fleet.started")
	return member, nil
}

// optionsOf returns the options that the operator's file sets.
func optionsOf(parts *daemon.Parts) (Options, error) {
	record := parts.Config.Operator
	config := record.File.Fleet
	options := Options{
		Name:            parts.Config.Name,
		Zone:            config.Zone,
		Listen:          config.Listen,
		Advertise:       config.Advertise,
		FleetName:       config.Name,
		Seeds:           config.Seeds,
		ExpectedServers: config.ExpectedServers,
		Version:         parts.Build,
		SettingsHash:    shortHash(record.Hash),
		Log:             parts.Log,
		Phase:           PhaseFunc(parts.Phase),
	}
	if config.KeyFile == "" {
		return options, nil
	}
	key, err := readKey(config.KeyFile)
	if err != nil {
		return Options{}, fmt.Errorf("operator: fleet.key_file: %w", err)
	}
	options.EncryptionKey = key
	return options, nil
}

// readKey reads a base64-encoded encryption key from a file.
func readKey(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err == nil {
		err = ValidateKey(key)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: invalid base64 encryption key: %w", path, err)
	}
	return key, nil
}

// criticalityOf returns a function that returns the criticality of a method by its name, or that of the first method if the name is unknown.
func criticalityOf(methods []control.Method) func(method string) float64 {
	return func(method string) float64 {
		i := slices.IndexFunc(methods, func(m control.Method) bool { return m.Name == method })
		return methods[max(0, i)].Criticality
	}
}

// drainHooks returns the hooks by which drains and rollouts act on the daemon.
func drainHooks(parts *daemon.Parts) DrainHooks {
	gate := parts.Gate
	return DrainHooks{
		StartDrain:        parts.RequestDrain,
		CancelDrain:       parts.CancelDrain,
		SetDrainedMembers: parts.Pools.SetDraining,
		MemberStates:      memberStates(parts.Pools),
		RequestCounts: func() (arrived, rejected uint64) {
			counts := gate.Counts()
			return counts.Total, counts.Rejected
		},
		Rollout: RolloutHooks{
			ProgramName: parts.Build,
			Dir:         parts.Config.Operator.File.Fleet.DataDir,
			Apply:       parts.Release,
			Throughput:  gate.Counts,
			Sample:      parts.SampleLoad,
		},
	}
}

// memberStates returns a function that returns the states of the pools' members by pool and address.
func memberStates(backends *pools.Backends) func() map[string]map[string]MemberState {
	return func() map[string]map[string]MemberState {
		states := map[string]map[string]MemberState{}
		for _, p := range backends.States() {
			members := map[string]MemberState{}
			for _, m := range p.Members {
				members[m.Addr] = MemberState{Unavailable: m.Ejection != pool.NotEjected, InFlight: m.InFlight}
			}
			states[p.Name] = members
		}
		return states
	}
}

// PhaseFunc returns a function that derives the server's phase from state, which reports its warm-up progress from 0 to 1 and whether it is
// draining.
func PhaseFunc(state func() (warmUp float64, draining bool)) func() (Phase, float64) {
	return func() (Phase, float64) {
		warmUp, draining := state()
		switch {
		case draining:
			return Draining, warmUp
		case warmUp < 1:
			return WarmingUp, warmUp
		}
		return Warm, 1
	}
}
