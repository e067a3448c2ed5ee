package trace

// This file owns the writer: it gathers entries into blocks and writes these to rotated files beside the decisions. It must
// never block the caller of Event.

import (
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sorrelvalve/control"
)

// FileLimits bound the files of a trace.
type FileLimits struct {
	MaxFileBytes int64 // a file is full then, and the next begins
	MaxFiles     int   // that are retained, the one that is written included
}

const (
	targetBlockBytes = 64 << 10    // of entries: about a thousand; a block is compressed in some tens of microseconds
	blockSpareBytes  = 4 << 10     // for the entry that completes a block
	maxQueuedBlocks  = 8           // blocks that may wait for the disk; entries beyond are dropped
	flushInterval    = time.Second // a block that is not full is written after that
)

// File is what a writer writes to.
type File interface{ io.WriteCloser }

// entryBlock is a block of encoded entries.
type entryBlock struct {
	bytes   []byte
	entries int
}

// Writer records to files. Event may be called by one goroutine at a time; all else by any.
type Writer struct {
	path   string
	limits FileLimits
	header []byte

	mu      sync.Mutex
	block   *entryBlock // that is filled
	scratch []byte
	dropped int // entries since the last that was taken
	closed  bool

	fullBlocks chan *entryBlock
	blockPool  sync.Pool // of *entryBlock
	running    sync.WaitGroup
	stop       chan struct{}

	Dropped      atomic.Uint64 // entries, in all
	FailedBlocks atomic.Uint64 // blocks and files that the disk did not take

	// Of the goroutine that writes.
	size int64 // of the file
	file File  // nil where none could be opened
	open func(path string) (File, error)
}

// Create begins a trace at path; an earlier file there is retained as path.1 and so on, as far as the limits allow.
func Create(path string, h *Header, limits FileLimits) (*Writer, error) {
	return create(path, h, limits, func(path string) (File, error) { return os.Create(path) })
}

func create(path string, h *Header, limits FileLimits, open func(string) (File, error)) (*Writer, error) {
	header, err := appendHeader(nil, h)
	if err != nil {
		return nil, err
	}
	w := &Writer{
		path:       path,
		limits:     limits,
		header:     header,
		fullBlocks: make(chan *entryBlock, maxQueuedBlocks),
		stop:       make(chan struct{}),
		open:       open,
	}
	w.blockPool.New = func() any { return &entryBlock{bytes: make([]byte, 0, targetBlockBytes+blockSpareBytes)} }
	w.block = w.emptyBlock()
	if err := w.rotate(); err != nil {
		return nil, err
	}
	w.running.Add(2)
	go w.writeBlocks()
	go w.flushPeriodically()
	return w, nil
}

// emptyBlock returns a block of the pool.
func (w *Writer) emptyBlock() *entryBlock {
	block := w.blockPool.Get().(*entryBlock)
	block.clear()
	return block
}

func (b *entryBlock) clear() {
	b.bytes = b.bytes[:0]
	b.entries = 0
}

// Event records one entry. The actions are copied.
func (w *Writer) Event(now float64, ev control.Event, actions []control.Action, token uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	e := Entry{Now: now, Event: ev, Token: token, Actions: actions, Dropped: w.dropped}
	w.block.bytes = appendEntry(w.block.bytes, &e, &w.scratch)
	w.block.entries++
	w.dropped = 0
	if len(w.block.bytes) >= targetBlockBytes {
		w.enqueueBlock()
	}
}

// enqueueBlock queues the block for the disk, or drops its entries if the disk does not keep up. The caller holds the lock.
func (w *Writer) enqueueBlock() {
	if w.block.entries == 0 {
		return
	}
	select {
	case w.fullBlocks <- w.block:
		w.block = w.emptyBlock()
	default:
		w.dropped += w.block.entries
		w.Dropped.Add(uint64(w.block.entries))
		w.block.clear()
	}
}

// flushPeriodically queues blocks that are not full.
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

// writeBlocks writes the queued blocks until the queue is closed.
func (w *Writer) writeBlocks() {
	defer w.running.Done()
	var compressed, out []byte
	for block := range w.fullBlocks {
		if w.size >= w.limits.MaxFileBytes {
			if err := w.rotate(); err != nil {
				w.FailedBlocks.Add(1)
			}
		}
		out = appendBlock(out[:0], block.bytes, &compressed)
		w.writeBlock(out)
		w.blockPool.Put(block)
	}
	w.closeFile()
}

// writeBlock writes one block. Nothing is written behind a torn block: the file ends there, and the next block begins a new
// one.
func (w *Writer) writeBlock(block []byte) {
	if w.file == nil {
		w.FailedBlocks.Add(1)
		return
	}
	n, err := w.file.Write(block)
	w.size += int64(n)
	if err != nil {
		w.FailedBlocks.Add(1)
		w.closeFile()
		w.size = w.limits.MaxFileBytes
	}
}

// closeFile closes the file, if there is one.
func (w *Writer) closeFile() {
	if w.file == nil {
		return
	}
	if err := w.file.Close(); err != nil {
		w.FailedBlocks.Add(1)
	}
	w.file = nil
}

// rotate begins the next file.
func (w *Writer) rotate() error {
	w.closeFile()
	if w.limits.MaxFiles > 1 {
		for n := w.limits.MaxFiles - 1; n > 1; n-- {
			_ = os.Rename(rotatedName(w.path, n-1), rotatedName(w.path, n)) // there may be fewer files yet
		}
		_ = os.Rename(w.path, rotatedName(w.path, 1)) // it may be the first
	}
	file, err := w.open(w.path)
	if err != nil {
		return err
	}
	var buffer []byte
	beginning := appendBlock(append([]byte(nil), fileMagic...), w.header, &buffer)
	if _, err := file.Write(beginning); err != nil {
		_ = file.Close() // the first error tells
		return err
	}
	w.file = file
	w.size = int64(len(beginning))
	return nil
}

// Close writes the entries that are queued and closes the file; later events are not recorded.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	if w.block.entries > 0 {
		w.fullBlocks <- w.block // writeBlocks still runs
	}
	w.mu.Unlock()
	close(w.stop)
	close(w.fullBlocks)
	w.running.Wait()
}
