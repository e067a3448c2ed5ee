package standin

import (
	"errors"
	"io"
	"math/rand"
	"sort"
	"sync"
	"time"

	"sorrelvalve/internal/store"
)

// Errors of a Disk.
var (
	ErrNoSpace  = errors.New("disk: no space left")
	ErrIO       = errors.New("disk: input/output error")
	errPowerOff = errors.New("disk: the power is out")
	errExists   = errors.New("disk: it exists")
	errNotFound = errors.New("disk: no such file")
)

// Disk is a directory in memory that loses what was not synced when the power goes off, tears what was being written, flips
// bits, fills up, stalls and fails. What a sync has confirmed it loses only by FailSyncs, FlipBit and Remove. The exported
// fields are set by Configure, and read once nothing uses the disk.
type Disk struct {
	mu          sync.Mutex
	rand        *rand.Rand
	data        map[string]*diskData
	syncedNames map[string]bool // names that a sync of the directory has confirmed
	incarnation int             // counts power failures: files opened before the latest are unusable

	FreeBytes    int // bytes that may still be written; negative for no bound
	FailSyncs    int // so many syncs fail and lose what they should have synced
	FailReads    bool
	ShortWrites  bool          // writes write half and fail with ErrIO
	Delay        time.Duration // of each write and sync
	Writes       int           // writes so far
	Syncs        int           // syncs so far, failed ones included
	BytesWritten int
}

// diskData is the contents of a file: what a sync has confirmed, and what was written since.
type diskData struct {
	synced   []byte
	unsynced []byte
}

// sync counts all that was written as synced.
func (d *diskData) sync() {
	d.synced = append(d.synced, d.unsynced...)
	d.unsynced = nil
}

// size is the number of bytes written.
func (d *diskData) size() int { return len(d.synced) + len(d.unsynced) }

// NewDisk returns an empty disk without faults.
func NewDisk(seed int64) *Disk {
	return &Disk{rand: rand.New(rand.NewSource(seed)), data: map[string]*diskData{}, syncedNames: map[string]bool{}, FreeBytes: -1}
}

// Configure changes how the disk fails.
func (d *Disk) Configure(change func(*Disk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

// PowerOff loses what was not synced, except for a random part at its beginning, which may be torn; names that were not synced
// may be gone. Files and the folder must be opened again.
func (d *Disk) PowerOff() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnation++
	for name, f := range d.data {
		if !d.syncedNames[name] && d.rand.Intn(2) == 0 {
			delete(d.data, name)
			continue
		}
		f.synced = append(f.synced, f.unsynced[:d.rand.Intn(len(f.unsynced)+1)]...)
		f.unsynced = nil
	}
}

// FlipBit flips one bit of a file at an offset, which counts from the end if it is negative.
func (d *Disk) FlipBit(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.data[name]
	f.sync()
	if at < 0 {
		at += len(f.synced)
	}
	f.synced[at] ^= 0x10
}

// Size is the length of a file, which must exist.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.data[name].size()
}

// Files returns the names of all files, sorted.
func (d *Disk) Files() (names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.data {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Folder opens the directory, as a process does at its start.
func (d *Disk) Folder() store.FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &diskFolder{d, d.incarnation}
}

// diskFolder is the directory as one process has opened it.
type diskFolder struct {
	disk        *Disk
	incarnation int
}

func (f *diskFolder) Create(name string) (store.File, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.incarnation != f.disk.incarnation {
		return nil, errPowerOff
	}
	if f.disk.FreeBytes == 0 {
		return nil, ErrNoSpace
	}
	if f.disk.data[name] != nil {
		return nil, errExists
	}
	f.disk.data[name] = &diskData{}
	return &diskFile{f.disk, f.disk.data[name], f.incarnation}, nil
}

func (f *diskFolder) Open(name string) (store.File, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.data[name] == nil {
		return nil, errNotFound
	}
	return &diskFile{f.disk, f.disk.data[name], f.incarnation}, nil
}

func (f *diskFolder) List() ([]string, error) { return f.disk.Files(), nil }

func (f *diskFolder) Remove(name string) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.incarnation != f.disk.incarnation {
		return errPowerOff
	}
	if x := f.disk.data[name]; x != nil && f.disk.FreeBytes >= 0 {
		f.disk.FreeBytes += x.size()
	}
	delete(f.disk.data, name)
	return nil
}

func (f *diskFolder) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.incarnation != f.disk.incarnation {
		return errPowerOff
	}
	for name := range f.disk.data {
		f.disk.syncedNames[name] = true
	}
	return nil
}

func (f *diskFolder) Close() error { return nil }

// diskFile is an open file.
type diskFile struct {
	disk        *Disk
	data        *diskData
	incarnation int
}

// wait sleeps for the disk's Delay.
func (f *diskFile) wait() {
	f.disk.mu.Lock()
	delay := f.disk.Delay
	f.disk.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

func (f *diskFile) Write(b []byte) (int, error) {
	f.wait()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.incarnation != f.disk.incarnation {
		return 0, errPowerOff
	}
	f.disk.Writes++
	n := len(b)
	var err error
	if f.disk.ShortWrites {
		n /= 2
		err = ErrIO
	}
	if f.disk.FreeBytes >= 0 && n > f.disk.FreeBytes {
		n = f.disk.FreeBytes
		err = ErrNoSpace
	}
	if f.disk.FreeBytes >= 0 {
		f.disk.FreeBytes -= n
	}
	f.data.unsynced = append(f.data.unsynced, b[:n]...)
	f.disk.BytesWritten += n
	return n, err
}

func (f *diskFile) Sync() error {
	f.wait()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.incarnation != f.disk.incarnation {
		return errPowerOff
	}
	f.disk.Syncs++
	if f.disk.FailSyncs > 0 { // as kernels do: the pages count as clean and are lost
		f.disk.FailSyncs--
		f.data.unsynced = nil
		return ErrIO
	}
	f.data.sync()
	return nil
}

func (f *diskFile) ReadAt(b []byte, off int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.FailReads {
		return 0, ErrIO
	}
	all := append(append([]byte(nil), f.data.synced...), f.data.unsynced...)
	if off >= int64(len(all)) {
		return 0, io.EOF
	}
	n := copy(b, all[off:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *diskFile) Size() (int64, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return int64(f.data.size()), nil
}

func (f *diskFile) Close() error { return nil }
