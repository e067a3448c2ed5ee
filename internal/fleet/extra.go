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

// part is a fleet beside a daemon.
type part struct {
	f *Fleet
	s *Socket
	b *Budgets
	d *Drains // nil without keepers
}

// Set takes what a new file has of it: the budgets.
func (p *part) Set(f *operator.File) { p.b.Set(f.Budgets) }

// Close ends it.
func (p *part) Close() {
	if p.s != nil {
		p.s.Close()
	}
	if p.d != nil {
		p.d.Close()
	}
	p.f.Close()
}

// Beside starts a server's part in the fleet of its operator's file, if that has one. It is a daemon.Extension.
func Beside(p daemon.Parts) (daemon.Addition, error) {
	if p.Config.Operator == nil || p.Config.Operator.File.Fleet == nil {
		return nil, nil
	}
	x := p.Config.Operator.File.Fleet
	o := Options{
		Name: p.Config.Name, Zone: x.Zone, Listen: x.Listen, Advertise: x.Advertise, Fleet: x.Name, Seeds: x.Seeds,
		Expect: x.ExpectedServers, Version: p.Build, Settings: p.Config.Operator.Hash[:min(12, len(p.Config.Operator.Hash))], Log: p.Log,
		Phase: PhaseOf(p.Phase),
	}
	if x.KeyFile != "" {
		b, err := os.ReadFile(x.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("operator: fleet.key_file: %w", err)
		}
		if o.Key, err = base64.StdEncoding.DecodeString(strings.TrimSpace(string(b))); err == nil {
			err = CheckKey(o.Key)
		}
		if err != nil {
			return nil, fmt.Errorf("operator: fleet.key_file: %s: base64 of 16, 24 or 32 bytes expected: %w", x.KeyFile, err)
		}
	}
	f, err := Start(o)
	if err != nil {
		return nil, err
	}
	y := &part{f: f, b: f.Share(p.Config.Operator.File.Budgets)}
	p.Gate.Share(y.b)
	p.Pools.UseOutlierDetection(f.Judge())
	methods := p.Config.Config.Methods
	p.Pools.UseBudgets(y.b, func(method string) float64 {
		i := slices.IndexFunc(methods, func(m control.Method) bool { return m.Name == method })
		return methods[max(0, i)].Criticality
	})
	if len(x.PermitServers) > 0 {
		y.d = f.Drains(x.PermitServers, Life{Leave: p.Leave, Stay: p.CancelDrain, Aside: p.Pools.SetDraining, Below: below(p.Pools), Flow: func() (arrived, pushed uint64) {
			n := p.Gate.Flow()
			return n.All, n.PushedBack
		}, Settle: Settle{Build: p.Build, Folder: x.DataDir, Take: p.Release, Flow: p.Gate.Flow, Mark: p.SampleLoad}})
	}
	if x.Socket != "" {
		if y.s, err = f.ServeSocket(x.Socket); err != nil {
			y.Close()
			return nil, err
		}
	}
	p.Log.WithField("fleet", x.Listen).Info("fleet: begins")
	return y, nil
}

// below tells how the members of pools stand.
func below(b *pools.Backends) func() map[string]map[string]Below {
	return func() map[string]map[string]Below {
		all := map[string]map[string]Below{}
		for _, s := range b.States() {
			all[s.Name] = map[string]Below{}
			for _, m := range s.Members {
				all[s.Name][m.Addr] = Below{Out: m.Ejection != pool.NotEjected, InHand: m.InFlight}
			}
		}
		return all
	}
}

// PhaseOf turns what a server tells of its ramp and drain into a phase.
func PhaseOf(of func() (ramp float64, draining bool)) func() (Phase, float64) {
	return func() (Phase, float64) {
		ramp, draining := of()
		switch {
		case draining:
			return Draining, ramp
		case ramp < 1:
			return Cold, ramp
		}
		return Warm, 1
	}
}
