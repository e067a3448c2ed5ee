package control

// tokenCache holds the cached idempotency tokens. There are only tens of them, so lookups are linear.
type tokenCache struct {
	entryKB float64 // memory of one token in KB
	entries []cachedToken
}

// cachedToken is the idempotency token of an RPC. Its times are clock values in ms.
type cachedToken struct {
	rpc             uint32
	expiresAt       float64 // when the server's table evicts the token
	duplicatesUntil float64 // until when a duplicate that is read late may refer to the token
}

// add caches an RPC's token for lifetime ms. A duplicate that arrives in that time may be read up to deadline ms later.
func (t *tokenCache) add(rpc uint32, now, lifetime, deadline float64) {
	t.evict(rpc, now)
	t.entries = append(t.entries, cachedToken{rpc, now + lifetime, now + lifetime + deadline})
}

// evict removes an RPC's token and all tokens that no duplicate can refer to anymore.
func (t *tokenCache) evict(rpc uint32, now float64) {
	n := 0
	for _, e := range t.entries {
		if e.rpc != rpc && e.duplicatesUntil >= now {
			t.entries[n] = e
			n++
		}
	}
	t.entries = t.entries[:n]
}

// contains reports whether an RPC's token is cached.
func (t *tokenCache) contains(rpc uint32) bool {
	for _, e := range t.entries {
		if e.rpc == rpc {
			return true
		}
	}
	return false
}

// usedKB returns the memory in KB that the tokens take.
func (t *tokenCache) usedKB(now float64) float64 {
	kb := 0.0
	for _, e := range t.entries {
		if e.expiresAt >= now {
			kb += t.entryKB
		}
	}
	return kb
}
