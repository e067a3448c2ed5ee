package store

// This file owns the way to the disk: what a store needs of a folder, and the real one. Tests put one in its place that
// fails. It must never report as written what the system has not taken.

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is one folder.
type FS interface {
	Create(name string) (File, error) // empty; it must not exist
	Open(name string) (File, error)   // for reading
	List() ([]string, error)
	Remove(name string) error
	Sync() error // of the folder: names that were created or removed
	Close() error
}

// File is one file of it.
type File interface {
	io.Writer
	io.ReaderAt
	Sync() error
	Size() (int64, error)
	Close() error
}

// ErrLocked is that another process has the folder.
var ErrLocked = errors.New("store: another process uses the folder")

// dir is a real folder, locked for this process.
type dir struct {
	path string
	lock *os.File
}

// OpenDir locks a folder, which is made if it is not there.
func OpenDir(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, "LOCK"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &dir{path, lock}, nil
}

type file struct{ *os.File }

func (f file) Size() (int64, error) {
	i, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return i.Size(), nil
}

func (d *dir) Create(name string) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_EXCL|os.O_RDWR|os.O_APPEND, 0o600)
	return file{f}, err
}

func (d *dir) Open(name string) (File, error) {
	f, err := os.Open(filepath.Join(d.path, name))
	return file{f}, err
}

func (d *dir) List() (names []string, err error) {
	all, err := os.ReadDir(d.path)
	for _, e := range all {
		names = append(names, e.Name())
	}
	return names, err
}

func (d *dir) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

func (d *dir) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d *dir) Close() error { return d.lock.Close() }
