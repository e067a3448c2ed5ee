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

// TokenStore is a gate.Keeper.
type TokenStore struct{ *Store }

// Hash is that of a body, the same in every process.
func (k TokenStore) Hash(body []byte) uint64 { return xxhash.Sum64(body) }

// Lookup tells what a try is told. What is known and can't be read may have run.
func (k TokenStore) Lookup(key string, body uint64, door, window float64) (recovery.Resolution, []byte, []byte) {
	f, has, err := k.Store.Lookup(FingerprintOf(key))
	switch {
	case err != nil:
		return recovery.MayHaveRun, nil, nil
	case !has:
		return recovery.Unknown, nil, nil
	}
	return recovery.Resolve(f.Entry, door, body, window, k.limits.ClockTolerance), f.Head, f.Result
}

// RecordStart and End are those of the store, by key.
func (k TokenStore) RecordStart(key string, body uint64, until float64, done func(error)) {
	k.Store.RecordStart(FingerprintOf(key), body, until, done)
}

func (k TokenStore) RecordEnd(key string, state recovery.State, body uint64, until float64, head, result []byte, done func(error)) {
	k.Store.RecordEnd(FingerprintOf(key), state, body, until, head, result, done)
}

// SegmentInfo is what stands in one segment.
type SegmentInfo struct {
	Name         string
	Bytes        int64
	Version      byte
	Owner        uint64
	Records      int
	States       [recovery.NeverRan + 1]int
	LastExpiryMs float64 // Unix ms: the latest window
	Err          error   // what ended the reading early; nil at its end
}

// InspectSegments reads all segments of a folder, and each record whole.
func InspectSegments(fs FS) (all []SegmentInfo, err error) {
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	for _, name := range names {
		if len(name) != len(segmentName(1)) || name[len(name)-4:] != ".seg" {
			continue
		}
		f, err := fs.Open(name)
		if err != nil {
			return nil, err
		}
		all = append(all, inspectSegment(name, f))
		f.Close()
	}
	return all, nil
}

func inspectSegment(name string, f File) (s SegmentInfo) {
	s.Name = name
	if s.Bytes, s.Err = f.Size(); s.Err != nil {
		return s
	}
	head := make([]byte, segmentHeaderSize)
	if _, s.Err = f.ReadAt(head, 0); s.Err != nil && s.Err != io.EOF {
		return s
	}
	s.Err = nil
	if string(head[:7]) != segmentMagic {
		s.Err = errors.New("no segment of a store")
		return s
	}
	s.Version, s.Owner = head[7], littleEndian64(head[8:])
	if s.Version != Version {
		s.Err = ErrVersion
		return s
	}
	for at := int64(segmentHeaderSize); at < s.Bytes; {
		r, err := readRecord(f, at)
		if err != nil {
			s.Err = err
			return s
		}
		size, err := recordSizeAt(f, at)
		if err != nil {
			s.Err = err
			return s
		}
		s.Records++
		s.States[r.state]++
		s.LastExpiryMs = max(s.LastExpiryMs, r.untilMs)
		at += size
	}
	return s
}
