package fleet

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
)

const (
	settingsFileName = "version.json"
	// programFileName is the file that tells a server's supervisor which program to start: one line, its name; empty or missing for the
	// one that it starts by itself.
	programFileName = "program"
	// programRecordFileName is the server's own file about that: the version that this program is.
	programRecordFileName = "program.json"
	temporarySuffix       = ".new"
	dataDirMode           = 0o700
	dataFileMode          = 0o600
)

// versionStore keeps the settings version in force, and the program version to start, in the data folder over restarts. Other versions of
// this code read these files: their names and JSON do not change.
type versionStore struct {
	dir string // "" keeps nothing
}

// storedSettings is the settings version in force.
type storedSettings struct {
	Version uint64 `json:"version"` // 0 for the own file
	Hash    string `json:"hash,omitempty"`
	Index   uint64 `json:"index"` // of the directive by which it was put in force
	Body    []byte `json:"body,omitempty"`
}

// storedProgram is the program version that the folder names.
type storedProgram struct {
	Version uint64 `json:"version"`
	Name    string `json:"name"`
	Index   uint64 `json:"index"` // of the directive
}

// enabled tells whether there is a data folder.
func (s versionStore) enabled() bool { return s.dir != "" }

// readSettings fails with os.ErrNotExist if no version was kept.
func (s versionStore) readSettings() (settings storedSettings, err error) {
	err = s.readJSON(settingsFileName, &settings)
	return settings, err
}

func (s versionStore) writeSettings(settings *storedSettings) error {
	return s.writeJSON(settingsFileName, settings)
}

// readProgram fails with os.ErrNotExist if none was kept.
func (s versionStore) readProgram() (program storedProgram, err error) {
	err = s.readJSON(programRecordFileName, &program)
	return program, err
}

// writeProgram writes the server's own file first: the supervisor acts by the other.
func (s versionStore) writeProgram(program *storedProgram) error {
	if err := s.writeJSON(programRecordFileName, program); err != nil {
		return err
	}
	return writeFileAtomic(s.dir, programFileName, []byte(program.Name+"\n"))
}

func (s versionStore) readJSON(name string, value any) error {
	content, err := os.ReadFile(filepath.Join(s.dir, name))
	if err != nil {
		return err
	}
	return json.Unmarshal(content, value)
}

func (s versionStore) writeJSON(name string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return writeFileAtomic(s.dir, name, content)
}

// writeFileAtomic writes a file of a folder completely or not at all, whenever this process is killed.
func writeFileAtomic(dir, name string, content []byte) error {
	if err := os.MkdirAll(dir, dataDirMode); err != nil {
		return err
	}
	path := filepath.Join(dir, name)
	if err := writeFileSync(path+temporarySuffix, content); err != nil {
		return err
	}
	return os.Rename(path+temporarySuffix, path)
}

// writeFileSync writes a file and waits until it is on the disk.
func writeFileSync(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, dataFileMode)
	if err != nil {
		return err
	}
	if _, err = file.Write(content); err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}
