package trace

// This file contains the writer, which collects entries into blocks and writes the blocks to rotated files in the background.
// It must never block the caller of Event.

import (
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sorrelvalve/control"
)

// FileLimits limit the size and number of a trace's files.
type FileLimits struct {
	MaxFileBytes int64 // size from which a file is full and the next one is created
	MaxFiles     int   // number of files that are retained, including the current one
}

const (
	targetBlockBytes = 64 << 10    // about a thousand entries; such a block is compressed in some tens of microseconds
	blockSpareBytes  = 4 << 10     // space for the entry that completes a block
	maxQueuedBlocks  = 8           // blocks that may wait for the disk; further ones are dropped
	flushInterval    = time.Second // interval at which blocks that are not full are written
)

// File is a file that a Writer writes to.
type File interface{ io.WriteCloser }

// entryBlock is a block of encoded entries.
type entryBlock struct {
	bytes   []byte
	entries int
}

// Writer writes a trace to files. Event may be called by one goroutine at a time, all other methods concurrently.
type Writer struct {
	path   string
	limits FileLimits
	header []byte

	mu      sync.Mutex
	block   *entryBlock // the block being filled
	scratch []byte
	dropped int // entries dropped since the last one that was not
	closed  bool

	fullBlocks chan *entryBlock
	blockPool  sync.Pool // of *entryBlock
	running    sync.WaitGroup
	stop       chan struct{}

	Dropped      atomic.Uint64 // total number of dropped entries
	FailedBlocks atomic.Uint64 // writes of blocks, and creations and closings of files, that failed

	// Used only by writeBlocks, and by create before writeBlocks starts.
	size int64 // size of the file
	file File  // nil if none could be opened
	open func(path string) (File, error)
}

// Create creates a trace at path. Earlier files are retained as path.1, path.2 and so on, as far as the limits allow.
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

// emptyBlock returns an empty block from the pool.
func (w *Writer) emptyBlock() *entryBlock {
	block := w.blockPool.Get().(*entryBlock)
	block.clear()
	return block
}

func (b *entryBlock) clear() {
	b.bytes = b.bytes[:0]
	b.entries = 0
}

// Event records one entry. It does not retain actions.
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

// enqueueBlock queues the block being filled for writing, or drops its entries if the queue is full. The caller holds the lock.
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

// flushPeriodically queues the block being filled at each flushInterval, even if it is not full.
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

// writeBlock writes one block. After a failed write the file may end with a torn block, so nothing more is written to it and
// the next block goes to a new file.
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

// closeFile closes the current file, if any.
func (w *Writer) closeFile() {
	if w.file == nil {
		return
	}
	if err := w.file.Close(); err != nil {
		w.FailedBlocks.Add(1)
	}
	w.file = nil
}

// rotate renames the earlier files and creates the next one with its header.
func (w *Writer) rotate() error {
	w.closeFile()
	if w.limits.MaxFiles > 1 {
		for n := w.limits.MaxFiles - 1; n > 1; n-- {
			_ = os.Rename(rotatedName(w.path, n-1), rotatedName(w.path, n)) // fails if there are fewer files
		}
		_ = os.Rename(w.path, rotatedName(w.path, 1)) // fails for the first file
	}
	file, err := w.open(w.path)
	if err != nil {
		return err
	}
	var buffer []byte
	beginning := appendBlock(append([]byte(nil), fileMagic...), w.header, &buffer)
	if _, err := file.Write(beginning); err != nil {
		_ = file.Close() // the error of the write is returned
		return err
	}
	w.file = file
	w.size = int64(len(beginning))
	return nil
}

// Close writes the queued entries and closes the file. Later events are not recorded.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	if w.block.entries > 0 {
		w.fullBlocks <- w.block // does not block for good, as writeBlocks is still running
	}
	w.mu.Unlock()
	close(w.stop)
	close(w.fullBlocks)
	w.running.Wait()
}
