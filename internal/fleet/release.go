package fleet

// This file owns which version of the fleet's settings a server runs: it is told by the keepers, fetched, put in force whole or refused with
// the reason, and kept over restarts where a folder is set. It must never go back to an older word, nor leave the last good
// version because nobody answers.

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/release"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/permitclient"
)

// RolloutHooks is how a server takes a version.
type RolloutHooks struct {
	ProgramName string                                        // this program's own name
	Dir         string                                        // for the last good one; "" for none
	Apply       func(r *operator.Record, origin string) error // nil: the own file's
	Throughput  func() gate.Counts                            // what it has carried
	Sample      func()                                        // called again and again
}

// versionManager are one server's.
type versionManager struct {
	hooks RolloutHooks
	log   *logrus.Entry

	mu           sync.Mutex
	settings     storedSettings
	rejected     uint64
	rejectReason string
	program      storedProgram
	baseline     gate.Counts // what was carried before the version, or before it was warm
	warm         bool
}

// storedSettings is the version in force, as it is kept.
type storedSettings struct {
	Version uint64 `json:"version"` // 0: the own file's
	Hash    string `json:"hash,omitempty"`
	Index   uint64 `json:"index"` // of the keepers' word by which it was taken
	Body    []byte `json:"body,omitempty"`
}

const (
	settingsFileName = "version.json"
	// programFileName is the file in the folder that tells what supervises a server which program to start: one line, its name; empty or
	// not there for what it starts by itself. programNote is for the server: the version that this is.
	programFileName       = "program"
	programRecordFileName = "program.json"
	// ExitProgram is the code with which a server ends to be started as the program that the folder names.
	ExitProgram = 85
)

// storedProgram is which version of the program the folder names.
type storedProgram struct {
	Version uint64 `json:"version"`
	Name    string `json:"name"`
	Index   uint64 `json:"index"`
}

// loadProgram reads it. It counts only if this is that program: what supervises may have started another.
func (v *versionManager) loadProgram() {
	b, err := os.ReadFile(filepath.Join(v.hooks.Dir, programRecordFileName))
	if err != nil {
		return
	}
	var p storedProgram
	if json.Unmarshal(b, &p) == nil && (p.Name == v.hooks.ProgramName || p.Version == 0) {
		v.program = p
	} else {
		v.log.WithFields(logrus.Fields{"wanted": p.Name, "is": v.hooks.ProgramName}).Error("release: this is not the program that was wanted")
	}
}

// wantsProgram tells whether the keepers want another version of the program, by a newer word than the last that was followed.
func (v *versionManager) wantsProgram(o *permitclient.Directives) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hooks.Dir != "" && o.ProgramVersion != v.program.Version && o.Index > v.program.Index
}

// recordProgram notes which program is to be started next.
func (v *versionManager) recordProgram(number uint64, name string, index uint64) error {
	return v.writeProgram(&storedProgram{Version: number, Name: name, Index: index})
}

func (v *versionManager) writeProgram(p *storedProgram) error {
	b, err := json.Marshal(p)
	if err == nil {
		err = writeFileAtomic(v.hooks.Dir, programRecordFileName, b)
	}
	if err == nil {
		err = writeFileAtomic(v.hooks.Dir, programFileName, []byte(p.Name+"\n"))
	}
	return err
}

// newVersionManager takes up what was kept, if it can be read whole; what can't is named, and the own file's settings stay.
func newVersionManager(s RolloutHooks, log *logrus.Entry) *versionManager {
	v := &versionManager{hooks: s, log: log}
	if s.Dir == "" {
		return v
	}
	v.loadProgram()
	b, err := os.ReadFile(filepath.Join(s.Dir, settingsFileName))
	if errors.Is(err, os.ErrNotExist) {
		return v
	}
	var r storedSettings
	if err == nil {
		err = json.Unmarshal(b, &r)
	}
	if err == nil && r.Version != 0 {
		err = v.apply(&r)
	}
	if err != nil {
		log.WithError(err).Error("release: what was kept can't be taken, the own file's settings stay")
		return v
	}
	v.settings = r
	log.WithFields(logrus.Fields{"release": r.Version, "hash": shortHash(r.Hash)}).Info("release: the version that was kept is in force")
	return v
}

func shortHash(hash string) string { return hash[:min(12, len(hash))] }

// apply puts a version in force.
func (v *versionManager) apply(r *storedSettings) error {
	if r.Version == 0 {
		return v.hooks.Apply(nil, "keepers")
	}
	if sum := sha256.Sum256(r.Body); hex.EncodeToString(sum[:]) != r.Hash {
		return errors.New("it is not what its hash says")
	}
	rec, err := operator.Parse(r.Body)
	if err != nil {
		return err
	}
	return v.hooks.Apply(rec, "release of version "+strconv.FormatUint(r.Version, 10))
}

// persist writes what is in force, whole or not at all.
func (v *versionManager) persist() {
	if v.hooks.Dir == "" {
		return
	}
	b, err := json.Marshal(&v.settings)
	if err == nil {
		err = writeFileAtomic(v.hooks.Dir, settingsFileName, b)
	}
	if err != nil {
		v.log.WithError(err).Error("release: the version is in force, and can't be kept")
	}
}

// writeFileAtomic writes a file of a folder, whole or not at all, whenever this process is killed.
func writeFileAtomic(folder, name string, b []byte) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(folder, name)
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	return err
}

// applyOrders takes the version that the keepers tell, if theirs is a newer word than that by which the present one was taken. It tells
// whether there is news for them.
func (v *versionManager) applyOrders(ctx context.Context, c *permitclient.Client, o *permitclient.Directives) (news bool) {
	v.mu.Lock()
	runs, refused := v.settings, v.rejected
	v.mu.Unlock()
	if o.SettingsVersion == runs.Version && o.SettingsHash == runs.Hash {
		if o.SettingsVersion != refused && refused != 0 {
			v.mu.Lock()
			v.rejected, v.rejectReason = 0, ""
			v.mu.Unlock()
		}
		return false
	}
	if o.Index <= runs.Index || o.SettingsVersion == refused && o.SettingsVersion != 0 {
		return false // an older word than the one that was followed; or one that was refused, and does not change
	}
	next := storedSettings{Version: o.SettingsVersion, Hash: o.SettingsHash, Index: o.Index}
	var err error
	if o.SettingsVersion != 0 {
		asking, end := context.WithTimeout(ctx, reportTimeout) // a server that asks for long is not heard meanwhile
		defer end()
		var got release.Version
		if got, err = c.Version(asking, o.SettingsVersion); err != nil {
			v.log.WithError(err).Warn("release: a version can't be fetched, the present one stays")
			return false
		}
		next.Body = got.Body
	}
	err = v.apply(&next)
	v.mu.Lock()
	defer v.mu.Unlock()
	line := v.log.WithFields(logrus.Fields{"release": o.SettingsVersion, "hash": shortHash(o.SettingsHash), "was": runs.Version})
	if err != nil {
		v.rejected, v.rejectReason = o.SettingsVersion, sanitize(err.Error())
		line.WithError(err).Error("release: a version is refused, the present one stays")
		return true
	}
	v.settings, v.rejected, v.rejectReason = next, 0, ""
	v.baseline, v.warm = v.hooks.Throughput(), false
	v.persist()
	line.Info("release: a version is in force")
	return true
}

// report is what is told of the version that runs. What it carried counts from when the server was warm on it.
func (v *versionManager) report(warm bool) *release.Report {
	v.hooks.Sample()
	flow := v.hooks.Throughput()
	v.mu.Lock()
	defer v.mu.Unlock()
	if warm != v.warm {
		v.warm, v.baseline = warm, flow
	}
	d := func(now, was uint64) float64 { return float64(now - was) }
	b := &v.baseline
	return &release.Report{Version: v.settings.Version, RejectedVersion: v.rejected, RejectReason: v.rejectReason, Warm: warm, ResidentMB: residentMB(), ProgramVersion: v.program.Version, Counts: release.Counts{
		Total: d(flow.Total, b.Total), Failed: d(flow.Aborted, b.Aborted), Rejected: d(flow.Rejected, b.Rejected), Late: d(flow.Late, b.Late),
		Critical: d(flow.Critical, b.Critical), CriticalFailed: d(flow.CriticalFailed, b.CriticalFailed)}}
}

// residentMB is this process's memory in MB; 0 if that can't be read.
func residentMB() float64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(f[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// VersionStatus is which version a server runs.
type VersionStatus struct {
	Version  uint64 // 0: the own file's
	Hash     string `json:",omitempty"`
	Rejected string `json:"Refused,omitempty"` // the version that was rejected, and why
	Program  uint64 `json:",omitempty"`        // of the program; 0: what it is started with by itself
}

func (v *versionManager) status() *VersionStatus {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := &VersionStatus{Version: v.settings.Version, Hash: v.settings.Hash, Program: v.program.Version}
	if v.rejected != 0 {
		s.Rejected = fmt.Sprintf("%d: %s", v.rejected, v.rejectReason)
	}
	return s
}
