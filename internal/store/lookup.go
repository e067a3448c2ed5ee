package store

import (
	"errors"
	"io"

	"sorrelvalve/decision/recovery"
)

// Entry is the last record of a token.
type Entry struct {
	recovery.Entry
	Head   []byte
	Result []byte
}

// Lookup returns the entry of a token, or false if there is none. It reads from the disk. An error means that the token has
// an entry that can't be read; its RPC must not run, as it may have run before.
func (s *Store) Lookup(token Fingerprint) (Entry, bool, error) {
	s.mu.Lock()
	n, offset, ok := s.index.get(token[0])
	seg := s.segments[n]
	s.mu.Unlock()
	if !ok || seg == nil {
		return Entry{}, false, nil
	}
	r, err := readRecord(seg.file, int64(offset))
	if err != nil {
		s.mu.Lock()
		dropped := s.segments[n] == nil // since the index was read, because all its windows have ended
		s.mu.Unlock()
		if dropped {
			return Entry{}, false, nil
		}
		s.log("store.record_unreadable", err)
		return Entry{}, true, err
	}
	if r.fingerprint != token { // another token with the same first half; the probability is 2^-64 for each pair
		return Entry{}, false, nil
	}
	e := recovery.Entry{State: r.state, BodyHash: r.bodyHash, UntilMs: r.untilMs, WrittenMs: r.writtenMs}
	return Entry{Entry: e, Head: r.head, Result: r.result}, true, nil
}

// firstReadBytes is the size of the first read of a record. Most records fit into it.
const firstReadBytes = 4 << 10

// readRecord reads the record at an offset of a segment, with its head and result.
func readRecord(f File, offset int64) (record, error) {
	b := make([]byte, firstReadBytes)
	for {
		n, err := f.ReadAt(b, offset)
		if err != nil && !errors.Is(err, io.EOF) {
			return record{}, err
		}
		r, _, err := parseRecord(b[:n], true)
		if errors.Is(err, errTruncated) && n == len(b) && len(b) < 2*maxRecord {
			b = make([]byte, 4*len(b))
			continue
		}
		return r, err
	}
}
