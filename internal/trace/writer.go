package trace

// This file owns the recorder: it gathers entries, packs them beside the decisions and writes blocks to files that are
// rotated. It must never block who tells it of an event.

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/s2"

	"sorrelvalve/control"
)

// Bounds are those of a recorder.
type FileLimits struct {
	MaxFileBytes int64 // a file is full then, and the next begins
	MaxFiles     int   // that are kept, the one that is written included
}

const (
	targetBlockBytes = 64 << 10    // of entries: about a thousand; a block is packed in some tens of microseconds
	maxQueuedBlocks  = 8           // blocks that may wait for the disk; what comes beyond is dropped
	flushInterval    = time.Second // a block that is not full is written after that
)

// Writer records to a file. Event may be called by one goroutine at a time; the rest by any.
type Writer struct {
	path   string
	limits FileLimits
	header []byte

	mu           sync.Mutex
	block        []byte
	blockEntries int
	scratch      []byte
	dropped      int // since the last entry that was taken
	closed       bool

	fullBlocks chan []byte
	blockPool  sync.Pool
	running    sync.WaitGroup
	stop       chan struct{}

	Dropped      atomic.Uint64 // entries, in all
	FailedBlocks atomic.Uint64 // blocks that the disk did not take
	size         int64
	file         File
	open         func(path string) (File, error)
}

// File is what a recorder writes to.
type File interface {
	Write([]byte) (int, error)
	Close() error
}

// Create begins a trace at path; what stood there is kept as path.1 and so on, as far as the bounds allow.
func Create(path string, h *Header, b FileLimits) (*Writer, error) {
	return create(path, h, b, func(path string) (File, error) { return os.Create(path) })
}

func create(path string, h *Header, b FileLimits, open func(string) (File, error)) (*Writer, error) {
	header, err := appendHeader(nil, h)
	if err != nil {
		return nil, err
	}
	w := &Writer{path: path, limits: b, header: header, fullBlocks: make(chan []byte, maxQueuedBlocks), stop: make(chan struct{}), open: open}
	w.blockPool.New = func() any { return make([]byte, 0, targetBlockBytes+4096) }
	w.block = w.blockPool.Get().([]byte)
	if err := w.rotate(); err != nil {
		return nil, err
	}
	w.running.Add(2)
	go w.writeBlocks()
	go w.flushPeriodically()
	return w, nil
}

// Event takes one entry. The actions are copied.
func (w *Writer) Event(now float64, ev control.Event, actions []control.Action, token uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	e := Entry{Now: now, Event: ev, Token: token, Actions: actions, Dropped: w.dropped}
	w.block = appendEntry(w.block, &e, &w.scratch)
	w.blockEntries++
	w.dropped = 0
	if len(w.block) >= targetBlockBytes {
		w.enqueueBlock()
	}
}

// hand gives the block to the disk, or drops it if that does not keep up. It is called with the lock held.
func (w *Writer) enqueueBlock() {
	if w.blockEntries == 0 {
		return
	}
	select {
	case w.fullBlocks <- w.block:
		w.block = w.blockPool.Get().([]byte)[:0]
	default:
		w.dropped += w.blockEntries
		w.Dropped.Add(uint64(w.blockEntries))
		w.block = w.block[:0]
	}
	w.blockEntries = 0
}

func (w *Writer) flushPeriodically() {
	defer w.running.Done()
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-t.C:
			w.mu.Lock()
			w.enqueueBlock()
			w.mu.Unlock()
		}
	}
}

func (w *Writer) writeBlocks() {
	defer w.running.Done()
	var packed, out []byte
	for raw := range w.fullBlocks {
		if w.size >= w.limits.MaxFileBytes {
			if err := w.rotate(); err != nil {
				w.FailedBlocks.Add(1)
			}
		}
		packed = s2.Encode(packed[:cap(packed)], raw)
		out = append(appendBlockHeader(out[:0], packed, len(raw)), packed...)
		if w.file == nil {
			w.FailedBlocks.Add(1)
		} else if n, err := w.file.Write(out); err != nil { // a block is never written on behind a torn one: the file ends here
			w.size += int64(n)
			w.FailedBlocks.Add(1)
			w.file.Close()
			w.file = nil
			w.size = w.limits.MaxFileBytes // the next block tries a new file
		} else {
			w.size += int64(n)
		}
		w.blockPool.Put(raw[:0])
	}
	if w.file != nil {
		w.file.Close()
	}
}

// rotate begins the next file.
func (w *Writer) rotate() error {
	if w.file != nil {
		w.file.Close()
		w.file = nil
	}
	if w.limits.MaxFiles > 1 {
		for n := w.limits.MaxFiles - 1; n > 1; n-- {
			os.Rename(fmt.Sprintf("%s.%d", w.path, n-1), fmt.Sprintf("%s.%d", w.path, n))
		}
		os.Rename(w.path, w.path+".1")
	}
	f, err := w.open(w.path)
	if err != nil {
		return err
	}
	packed := s2.Encode(nil, w.header)
	out := append(append([]byte(nil), fileMagic...), appendBlockHeader(nil, packed, len(w.header))...)
	if _, err := f.Write(append(out, packed...)); err != nil {
		f.Close()
		return err
	}
	w.file, w.size = f, int64(len(out)+len(packed))
	return nil
}

// Close writes what there is and ends.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	if w.blockEntries > 0 {
		w.fullBlocks <- w.block // the writer still runs
	}
	w.mu.Unlock()
	close(w.stop)
	close(w.fullBlocks)
	w.running.Wait()
}
