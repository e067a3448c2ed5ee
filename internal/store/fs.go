package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the folder that holds a store. Tests replace it with one that injects faults.
type FS interface {
	Create(name string) (File, error) // creates an empty file for appending; the name must not exist
	Open(name string) (File, error)   // opens a file for reading
	List() ([]string, error)
	Remove(name string) error
	Sync() error // makes the creation and removal of names durable
	Close() error
}

// File is one file of a folder. Write appends.
type File interface {
	io.Writer
	io.ReaderAt
	Sync() error // makes earlier writes durable
	Size() (int64, error)
	Close() error
}

// ErrLocked is returned by OpenDir if another process uses the folder.
var ErrLocked = errors.New("store: folder is in use by another process")

// lockName is the file that a process locks while it uses the folder.
const lockName = "LOCK"

// osFolder is an FS on a folder of the file system that this process has locked.
type osFolder struct {
	path string
	lock *os.File
}

// OpenDir creates the folder if it does not exist, and locks it. Closing the folder unlocks it.
func OpenDir(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &osFolder{path, lock}, nil
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (d *osFolder) Create(name string) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_EXCL|os.O_RDWR|os.O_APPEND, 0o600)
	return osFile{f}, err
}

func (d *osFolder) Open(name string) (File, error) {
	f, err := os.Open(filepath.Join(d.path, name))
	return osFile{f}, err
}

func (d *osFolder) List() (names []string, err error) {
	entries, err := os.ReadDir(d.path)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (d *osFolder) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

func (d *osFolder) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // opened only for the sync
	return f.Sync()
}

func (d *osFolder) Close() error { return d.lock.Close() }
