package standin

// This file owns the stand-in disk: a folder in memory that loses what was not synced when the power goes, tears what was
// being written, flips bits, fills up, stalls and fails. It must never lose what a sync has confirmed, unless told to.

import (
	"errors"
	"io"
	"math/rand"
	"sort"
	"sync"
	"time"

	"sorrelvalve/internal/store"
)

// Errors of the disk.
var (
	ErrNoSpace = errors.New("disk: no space left")
	ErrIO      = errors.New("disk: input/output error")
	errPower   = errors.New("disk: the power is out")
)

// Disk is a folder that fails as it is told.
type Disk struct {
	mu     sync.Mutex
	chance *rand.Rand
	data   map[string]*diskData
	names  map[string]bool // that a sync of the folder has confirmed
	life   int             // of the power: files opened in an earlier one are dead

	FreeBytes    int           // bytes that may still be written; below 0 for any
	FailSyncs    int           // so many syncs fail, and lose what they were to keep
	FailReads    bool          //
	ShortWrites  bool          // writes take half of what they are given, and fail
	Delay        time.Duration // each write and sync takes so long
	Writes       int
	Syncs        int
	BytesWritten int
}

type diskData struct {
	kept  []byte // what a sync has confirmed
	fresh []byte // what was written since
}

// NewDisk returns an empty disk without faults.
func NewDisk(seed int64) *Disk {
	return &Disk{chance: rand.New(rand.NewSource(seed)), data: map[string]*diskData{}, names: map[string]bool{}, FreeBytes: -1}
}

// Set changes how it fails.
func (d *Disk) Configure(change func(*Disk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}

// PowerOff loses what was not synced, but for a part of the beginning of each file's rest, which may be torn; names that
// were not synced may be gone. All files and the folder must be opened again.
func (d *Disk) PowerOff() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	for name, f := range d.data {
		if !d.names[name] && d.chance.Intn(2) == 0 {
			delete(d.data, name)
			continue
		}
		f.kept = append(f.kept, f.fresh[:d.chance.Intn(len(f.fresh)+1)]...)
		f.fresh = nil
	}
}

// FlipBit turns one bit of a file, counted from its end if at is below 0.
func (d *Disk) FlipBit(name string, at int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.data[name]
	f.kept, f.fresh = append(f.kept, f.fresh...), nil
	if at < 0 {
		at += len(f.kept)
	}
	f.kept[at] ^= 0x10
}

// Size is the length of a file.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.data[name].kept) + len(d.data[name].fresh)
}

// Names are the files there.
func (d *Disk) Files() (names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.data {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Folder opens the folder, as a process does.
func (d *Disk) Folder() store.FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &folder{d, d.life}
}

type folder struct {
	d    *Disk
	life int
}

func (f *folder) Create(name string) (store.File, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.life != f.d.life {
		return nil, errPower
	}
	if f.d.FreeBytes == 0 {
		return nil, ErrNoSpace
	}
	if f.d.data[name] != nil {
		return nil, errors.New("disk: it exists")
	}
	f.d.data[name] = &diskData{}
	return &diskFile{f.d, f.d.data[name], f.life}, nil
}

func (f *folder) Open(name string) (store.File, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.data[name] == nil {
		return nil, errors.New("disk: no such file")
	}
	return &diskFile{f.d, f.d.data[name], f.life}, nil
}

func (f *folder) List() ([]string, error) { return f.d.Files(), nil }

func (f *folder) Remove(name string) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.life != f.d.life {
		return errPower
	}
	if x := f.d.data[name]; x != nil && f.d.FreeBytes >= 0 {
		f.d.FreeBytes += len(x.kept) + len(x.fresh)
	}
	delete(f.d.data, name)
	return nil
}

func (f *folder) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.life != f.d.life {
		return errPower
	}
	for name := range f.d.data {
		f.d.names[name] = true
	}
	return nil
}

func (f *folder) Close() error { return nil }

type diskFile struct {
	d    *Disk
	data *diskData
	life int
}

func (f *diskFile) stall() {
	f.d.mu.Lock()
	stall := f.d.Delay
	f.d.mu.Unlock()
	if stall > 0 {
		time.Sleep(stall)
	}
}

func (f *diskFile) Write(b []byte) (int, error) {
	f.stall()
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.life != f.d.life {
		return 0, errPower
	}
	f.d.Writes++
	n, err := len(b), error(nil)
	if f.d.ShortWrites {
		n, err = n/2, ErrIO
	}
	if f.d.FreeBytes >= 0 && n > f.d.FreeBytes {
		n, err = f.d.FreeBytes, ErrNoSpace
	}
	if f.d.FreeBytes >= 0 {
		f.d.FreeBytes -= n
	}
	f.data.fresh = append(f.data.fresh, b[:n]...)
	f.d.BytesWritten += n
	return n, err
}

func (f *diskFile) Sync() error {
	f.stall()
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.life != f.d.life {
		return errPower
	}
	f.d.Syncs++
	if f.d.FailSyncs > 0 { // as kernels do: the pages count as clean, and are lost
		f.d.FailSyncs--
		f.data.fresh = nil
		return ErrIO
	}
	f.data.kept, f.data.fresh = append(f.data.kept, f.data.fresh...), nil
	return nil
}

func (f *diskFile) ReadAt(b []byte, off int64) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.FailReads {
		return 0, ErrIO
	}
	all := append(append([]byte(nil), f.data.kept...), f.data.fresh...)
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
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	return int64(len(f.data.kept) + len(f.data.fresh)), nil
}

func (f *diskFile) Close() error { return nil }
