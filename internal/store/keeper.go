package store

// This file owns a store as a gate has its tokens kept by, and what can be told of a folder that no process uses. It must
// never write to a folder that it only looks at.

import (
	"errors"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sorrelvalve/decision/recovery"
)

// Keeper is a gate.Keeper.
type Keeper struct{ *Store }

// Hash is that of a body, the same in every process.
func (k Keeper) Hash(body []byte) uint64 { return xxhash.Sum64(body) }

// Find tells what a try is told. What is known and can't be read may have run.
func (k Keeper) Find(key string, body uint64, door, window float64) (recovery.Says, []byte, []byte) {
	f, has, err := k.Store.Find(PrintOf(key))
	switch {
	case err != nil:
		return recovery.MayRun, nil, nil
	case !has:
		return recovery.Unknown, nil, nil
	}
	return recovery.Tell(f.Entry, door, body, window, k.bounds.Tolerance), f.Head, f.Result
}

// Begin and End are those of the store, by key.
func (k Keeper) Begin(key string, body uint64, until float64, done func(error)) {
	k.Store.Begin(PrintOf(key), body, until, done)
}

func (k Keeper) End(key string, state recovery.State, body uint64, until float64, head, result []byte, done func(error)) {
	k.Store.End(PrintOf(key), state, body, until, head, result, done)
}

// Seen is what stands in one segment.
type Seen struct {
	Name    string
	Bytes   int64
	Version byte
	Owner   uint64
	Records int
	States  [recovery.Forgotten + 1]int
	Last    float64 // Unix ms: the latest window
	Err     error   // what ended the reading early; nil at its end
}

// Look reads all segments of a folder, and each record whole.
func Look(fs FS) (all []Seen, err error) {
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	for _, name := range names {
		if len(name) != len(segName(1)) || name[len(name)-4:] != ".seg" {
			continue
		}
		f, err := fs.Open(name)
		if err != nil {
			return nil, err
		}
		all = append(all, look(name, f))
		f.Close()
	}
	return all, nil
}

func look(name string, f File) (s Seen) {
	s.Name = name
	if s.Bytes, s.Err = f.Size(); s.Err != nil {
		return s
	}
	head := make([]byte, segHead)
	if _, s.Err = f.ReadAt(head, 0); s.Err != nil && s.Err != io.EOF {
		return s
	}
	s.Err = nil
	if string(head[:7]) != segMagic {
		s.Err = errors.New("no segment of a store")
		return s
	}
	s.Version, s.Owner = head[7], le64(head[8:])
	if s.Version != Version {
		s.Err = ErrVersion
		return s
	}
	for at := int64(segHead); at < s.Bytes; {
		r, err := readAt(f, at)
		if err != nil {
			s.Err = err
			return s
		}
		size, err := sizeAt(f, at)
		if err != nil {
			s.Err = err
			return s
		}
		s.Records++
		s.States[r.state]++
		s.Last = max(s.Last, r.until)
		at += size
	}
	return s
}
