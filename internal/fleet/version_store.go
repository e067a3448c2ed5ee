package fleet

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
)

const (
	settingsFileName = "version.json"
	// programFileName is the file that tells the server's supervisor which program to start. It holds one line with the program's name. If it is
	// empty or missing, the supervisor starts its default program.
	programFileName = "program"
	// programRecordFileName is the file in which the server records the version of that program.
	programRecordFileName = "program.json"
	temporarySuffix       = ".new"
	dataDirMode           = 0o700
	dataFileMode          = 0o600
)

// versionStore stores the settings version in force and the program version to start in the data folder, so that they survive restarts. Other
// versions of this code read these files, so their names and JSON do not change.
type versionStore struct {
	dir string // "" if nothing is stored
}

// storedSettings is the settings version in force.
type storedSettings struct {
	Version uint64 `json:"version"` // 0 for the server's own settings file
	Hash    string `json:"hash,omitempty"`
	Index   uint64 `json:"index"` // index of the directive that put it in force
	Body    []byte `json:"body,omitempty"`
}

// storedProgram is the program version that the data folder names.
type storedProgram struct {
	Version uint64 `json:"version"`
	Name    string `json:"name"`
	Index   uint64 `json:"index"` // index of the directive
}

// enabled reports whether there is a data folder.
func (s versionStore) enabled() bool { return s.dir != "" }

// readSettings returns the stored settings version. It fails with os.ErrNotExist if there is none.
func (s versionStore) readSettings() (settings storedSettings, err error) {
	err = s.readJSON(settingsFileName, &settings)
	return settings, err
}

func (s versionStore) writeSettings(settings *storedSettings) error {
	return s.writeJSON(settingsFileName, settings)
}

// readProgram returns the stored program version. It fails with os.ErrNotExist if there is none.
func (s versionStore) readProgram() (program storedProgram, err error) {
	err = s.readJSON(programRecordFileName, &program)
	return program, err
}

// writeProgram stores a program version. It writes the server's record first, because the supervisor acts on the other file.
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

// writeFileAtomic writes a file in dir completely or not at all, even if this process is killed meanwhile.
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

// writeFileSync writes a file, and returns once it is on disk.
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
