package fleet

// This file owns how a server's part in a fleet is put beside the daemon's other parts. It must never hold up a stop of the
// server, nor a start beyond half a second: a fleet that can't be reached is a fleet of which nothing is heard.

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

// daemonFleet is a fleet beside a daemon.
type daemonFleet struct {
	fleet   *Fleet
	socket  *Socket
	budgets *Budgets
	drains  *DrainCoordinator // nil without keepers
}

// Set takes what a new file has of it: the budgets.
func (p *daemonFleet) Set(f *operator.File) { p.budgets.Set(f.Budgets) }

// Close ends it.
func (p *daemonFleet) Close() {
	if p.socket != nil {
		p.socket.Close()
	}
	if p.drains != nil {
		p.drains.Close()
	}
	p.fleet.Close()
}

// StartWithDaemon starts a server's part in the fleet of its operator's file, if that has one. It is a daemon.Extension.
func StartWithDaemon(p daemon.Parts) (daemon.Addition, error) {
	if p.Config.Operator == nil || p.Config.Operator.File.Fleet == nil {
		return nil, nil
	}
	x := p.Config.Operator.File.Fleet
	o := Options{
		Name: p.Config.Name, Zone: x.Zone, Listen: x.Listen, Advertise: x.Advertise, FleetName: x.Name, Seeds: x.Seeds,
		ExpectedServers: x.ExpectedServers, Version: p.Build, SettingsHash: p.Config.Operator.Hash[:min(12, len(p.Config.Operator.Hash))], Log: p.Log,
		Phase: PhaseFunc(p.Phase),
	}
	if x.KeyFile != "" {
		b, err := os.ReadFile(x.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("operator: fleet.key_file: %w", err)
		}
		if o.EncryptionKey, err = base64.StdEncoding.DecodeString(strings.TrimSpace(string(b))); err == nil {
			err = ValidateKey(o.EncryptionKey)
		}
		if err != nil {
			return nil, fmt.Errorf("operator: fleet.key_file: %s: base64 of 16, 24 or 32 bytes expected: %w", x.KeyFile, err)
		}
	}
	f, err := Start(o)
	if err != nil {
		return nil, err
	}
	y := &daemonFleet{fleet: f, budgets: f.ShareBudgets(p.Config.Operator.File.Budgets)}
	p.Gate.UseQuota(y.budgets)
	p.Pools.UseOutlierDetection(f.DetectOutliers())
	methods := p.Config.Settings.Methods
	p.Pools.UseBudgets(y.budgets, func(method string) float64 {
		i := slices.IndexFunc(methods, func(m control.Method) bool { return m.Name == method })
		return methods[max(0, i)].Criticality
	})
	if len(x.PermitServers) > 0 {
		y.drains = f.CoordinateDrains(x.PermitServers, DrainHooks{StartDrain: p.Leave, CancelDrain: p.CancelDrain, SetDrainedMembers: p.Pools.SetDraining, MemberStates: memberStates(p.Pools), RequestCounts: func() (arrived, pushed uint64) {
			n := p.Gate.Counts()
			return n.Total, n.Rejected
		}, Rollout: RolloutHooks{ProgramName: p.Build, Dir: x.DataDir, Apply: p.Release, Throughput: p.Gate.Counts, Sample: p.SampleLoad}})
	}
	if x.Socket != "" {
		if y.socket, err = f.ServeSocket(x.Socket); err != nil {
			y.Close()
			return nil, err
		}
	}
	p.Log.WithField("listen", x.Listen).Info("fleet.started")
	return y, nil
}

// memberStates tells how the members of pools stand.
func memberStates(b *pools.Backends) func() map[string]map[string]MemberState {
	return func() map[string]map[string]MemberState {
		all := map[string]map[string]MemberState{}
		for _, s := range b.States() {
			all[s.Name] = map[string]MemberState{}
			for _, m := range s.Members {
				all[s.Name][m.Addr] = MemberState{Unavailable: m.Ejection != pool.NotEjected, InFlight: m.InFlight}
			}
		}
		return all
	}
}

// PhaseFunc turns what a server tells of its ramp and drain into a phase.
func PhaseFunc(of func() (ramp float64, draining bool)) func() (Phase, float64) {
	return func() (Phase, float64) {
		ramp, draining := of()
		switch {
		case draining:
			return Draining, ramp
		case ramp < 1:
			return WarmingUp, ramp
		}
		return Warm, 1
	}
}
