package control

// tokenCache holds the idempotency tokens that are cached here: some tens, so lookups are linear.
type tokenCache struct {
	entryKB float64 // memory of one token
	entries []cachedToken
}

// cachedToken is the token of one RPC. Its times are clock values in ms.
type cachedToken struct {
	rpc             uint32
	expiresAt       float64 // the server's table drops it then
	duplicatesUntil float64 // a duplicate that is read late may name it until then
}

// add caches an RPC's token for lifetime ms. A duplicate that arrives within that may be read up to deadline ms later.
func (t *tokenCache) add(rpc uint32, now, lifetime, deadline float64) {
	t.evict(rpc, now)
	t.entries = append(t.entries, cachedToken{rpc, now + lifetime, now + lifetime + deadline})
}

// evict drops an RPC's token, and all that no duplicate can name any more.
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

// contains tells whether an RPC's token is cached.
func (t *tokenCache) contains(rpc uint32) bool {
	for _, e := range t.entries {
		if e.rpc == rpc {
			return true
		}
	}
	return false
}

// usedKB is the memory that the tokens take.
func (t *tokenCache) usedKB(now float64) float64 {
	kb := 0.0
	for _, e := range t.entries {
		if e.expiresAt >= now {
			kb += t.entryKB
		}
	}
	return kb
}
