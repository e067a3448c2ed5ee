package store

import (
	"github.com/cespare/xxhash/v2"

	"sorrelvalve/decision/recovery"
)

// TokenStore adapts a Store to gate.TokenStore. It identifies tokens by their keys and resolves entries to answers.
type TokenStore struct{ *Store }

// Hash returns the hash of a body. It is the same in every process.
func (s TokenStore) Hash(body []byte) uint64 { return xxhash.Sum64(body) }

// Lookup returns how a duplicate is answered, with the recorded head and result. If the token's entry can't be read, the
// answer is MayHaveRun. Lookup reads from the disk.
func (s TokenStore) Lookup(key string, bodyHash uint64, arrivedMs, window float64) (answer recovery.Resolution, head, result []byte) {
	e, ok, err := s.Store.Lookup(FingerprintOf(key))
	if err != nil {
		return recovery.MayHaveRun, nil, nil
	}
	if !ok {
		return recovery.Unknown, nil, nil
	}
	return recovery.Resolve(e.Entry, arrivedMs, bodyHash, window, s.limits.ClockTolerance), e.Head, e.Result
}

// RecordStart calls Store.RecordStart for the token with the given key.
func (s TokenStore) RecordStart(key string, bodyHash uint64, untilMs float64, done func(error)) {
	s.Store.RecordStart(FingerprintOf(key), bodyHash, untilMs, done)
}

// RecordEnd calls Store.RecordEnd for the token with the given key.
func (s TokenStore) RecordEnd(key string, state recovery.State, bodyHash uint64, untilMs float64, head, result []byte, done func(error)) {
	s.Store.RecordEnd(FingerprintOf(key), state, bodyHash, untilMs, head, result, done)
}
