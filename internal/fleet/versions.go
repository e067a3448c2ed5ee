package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"sorrelvalve/decision/release"
	"sorrelvalve/internal/gate"
	"sorrelvalve/internal/operator"
	"sorrelvalve/internal/permitclient"
)

// ExitProgram is the exit code with which a server asks its supervisor to start the program that its data folder names.
const ExitProgram = 85

// shortHashLength is the number of characters of a hash that logs and the gossiped server record contain.
const shortHashLength = 12

// errHashMismatch is returned for a version whose body does not match its hash. The text is reported to the permit servers.
var errHashMismatch = errors.New("it is not what its hash says")

// RolloutHooks are the functions by which a rollout applies a settings version to the server and measures the server's service with it.
type RolloutHooks struct {
	ProgramName string // name of the running program
	Dir         string // data folder; "" for none
	// Apply puts settings in force completely or not at all; nil stands for the server's own settings file. origin is logged.
	Apply func(settings *operator.Record, origin string) error
	// Throughput returns the counts of RPCs since the start.
	Throughput func() gate.Counts
	// Sample is called for each report, and samples the server's load.
	Sample func()
}

// versionManager puts the settings version in force that the permit servers direct, completely or not at all. It reports the server's service
// with that version, and keeps the version across restarts. It never follows a directive older than the last one, and keeps the version in
// force while the permit servers are unreachable. Program versions are stored for the supervisor.
type versionManager struct {
	hooks RolloutHooks
	log   *logrus.Entry
	store versionStore

	mu           sync.Mutex
	settings     storedSettings // in force
	program      storedProgram  // running
	rejected     uint64         // settings version that this server rejected; 0 for none
	rejectReason string
	baseline     gate.Counts // counts when the version was put in force, or when the server became warm with it
	warm         bool
}

// newVersionManager returns a manager that has put the stored settings version in force. If that version can't be read or applied, it logs the
// failure, and the server's own settings file stays in force.
func newVersionManager(hooks RolloutHooks, log *logrus.Entry) *versionManager {
	v := &versionManager{hooks: hooks, log: log, store: versionStore{dir: hooks.Dir}}
	if !v.store.enabled() {
		return v
	}
	v.loadProgram()
	v.loadSettings()
	return v
}

// loadProgram reads the stored program version. It is used only if the running program is that version, because the supervisor may have started
// another one.
func (v *versionManager) loadProgram() {
	program, err := v.store.readProgram()
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil && (program.Name == v.hooks.ProgramName || program.Version == 0) {
		v.program = program
		return
	}
	line := v.log.WithFields(logrus.Fields{"wanted": program.Name, "running": v.hooks.ProgramName})
	if err != nil {
		line = line.WithError(err)
	}
	line.Error("release.program_mismatch")
}

// loadSettings puts the stored settings version in force.
func (v *versionManager) loadSettings() {
	settings, err := v.store.readSettings()
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil && settings.Version != 0 {
		err = v.apply(&settings)
	}
	if err != nil {
		v.log.WithError(err).Error("release.stored_version_rejected")
		return
	}
	v.settings = settings
	v.log.WithFields(logrus.Fields{"release": settings.Version, "hash": shortHash(settings.Hash)}).Info("release.stored_version_applied")
}

func shortHash(hash string) string { return hash[:min(shortHashLength, len(hash))] }

// apply puts a settings version in force.
func (v *versionManager) apply(settings *storedSettings) error {
	if settings.Version == 0 {
		return v.hooks.Apply(nil, "keepers")
	}
	if sum := sha256.Sum256(settings.Body); hex.EncodeToString(sum[:]) != settings.Hash {
		return errHashMismatch
	}
	record, err := operator.Parse(settings.Body)
	if err != nil {
		return err
	}
	return v.hooks.Apply(record, "release of version "+strconv.FormatUint(settings.Version, 10))
}

// persist stores the settings version in force. The caller holds the lock.
func (v *versionManager) persist() {
	if !v.store.enabled() {
		return
	}
	if err := v.store.writeSettings(&v.settings); err != nil {
		v.log.WithError(err).Error("release.store_failed")
	}
}

// wantsProgram reports whether directives ask for another program version, and are newer than the last directive that was followed.
func (v *versionManager) wantsProgram(directives *permitclient.Directives) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.store.enabled() && directives.ProgramVersion != v.program.Version && directives.Index > v.program.Index
}

// applyDirectives puts the directed settings version in force if the directive is newer than that of the present version. It returns whether
// there is a change to report.
func (v *versionManager) applyDirectives(ctx context.Context, client *permitclient.Client, directives *permitclient.Directives) (changed bool) {
	v.mu.Lock()
	current := v.settings
	rejected := v.rejected
	v.mu.Unlock()
	version := directives.SettingsVersion
	if version == current.Version && directives.SettingsHash == current.Hash {
		if rejected != 0 && rejected != version {
			v.mu.Lock()
			v.rejected = 0
			v.rejectReason = ""
			v.mu.Unlock()
		}
		return false
	}
	rejectedBefore := version != 0 && version == rejected // versions are immutable, so a retry would fail too
	if directives.Index <= current.Index || rejectedBefore {
		return false
	}
	next := storedSettings{Version: version, Hash: directives.SettingsHash, Index: directives.Index}
	if version != 0 {
		body, err := fetchVersion(ctx, client, version)
		if err != nil {
			v.log.WithError(err).Warn("release.fetch_failed")
			return false
		}
		next.Body = body
	}
	v.replace(&next, v.apply(&next))
	return true
}

// fetchVersion fetches a settings version from the permit servers. Its timeout is that of a report, because a server that does not report counts
// as lost.
func fetchVersion(ctx context.Context, client *permitclient.Client, version uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	fetched, err := client.Version(ctx, version)
	return fetched.Body, err
}

// replace records and logs that a version was put in force, which it stores, or was rejected with an error.
func (v *versionManager) replace(next *storedSettings, rejection error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	line := v.log.WithFields(logrus.Fields{"release": next.Version, "hash": shortHash(next.Hash), "replaced": v.settings.Version})
	if rejection != nil {
		v.rejected = next.Version
		v.rejectReason = sanitize(rejection.Error())
		line.WithError(rejection).Error("release.version_rejected")
		return
	}
	v.settings = *next
	v.rejected = 0
	v.rejectReason = ""
	v.baseline = v.hooks.Throughput()
	v.warm = false
	v.persist()
	line.Info("release.version_applied")
}

// report returns the report on the version in force for the permit servers. It covers the RPCs since the server became warm with the version.
func (v *versionManager) report(warm bool) *release.Report {
	v.hooks.Sample()
	served := v.hooks.Throughput()
	v.mu.Lock()
	defer v.mu.Unlock()
	if warm != v.warm {
		v.warm = warm
		v.baseline = served
	}
	return &release.Report{
		Version:         v.settings.Version,
		RejectedVersion: v.rejected,
		RejectReason:    v.rejectReason,
		Warm:            warm,
		ResidentMB:      residentMB(),
		ProgramVersion:  v.program.Version,
		Counts: release.Counts{
			Total:          float64(served.Total - v.baseline.Total),
			Failed:         float64(served.Aborted - v.baseline.Aborted),
			Rejected:       float64(served.Rejected - v.baseline.Rejected),
			Late:           float64(served.Late - v.baseline.Late),
			Critical:       float64(served.Critical - v.baseline.Critical),
			CriticalFailed: float64(served.CriticalFailed - v.baseline.CriticalFailed),
		},
	}
}

// residentMB returns the resident memory of this process in MB, or 0 if it can't be read. See proc(5), statm.
func residentMB() float64 {
	content, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// VersionStatus holds the versions that a server runs.
type VersionStatus struct {
	Version  uint64 // of the settings; 0 for the server's own settings file
	Hash     string `json:",omitempty"`
	Rejected string `json:"Refused,omitempty"` // the rejected settings version and the reason
	Program  uint64 `json:",omitempty"`        // of the program; 0 for the supervisor's default program
}

func (v *versionManager) status() *VersionStatus {
	v.mu.Lock()
	defer v.mu.Unlock()
	status := &VersionStatus{Version: v.settings.Version, Hash: v.settings.Hash, Program: v.program.Version}
	if v.rejected != 0 {
		status.Rejected = fmt.Sprintf("%d: %s", v.rejected, v.rejectReason)
	}
	return status
}
