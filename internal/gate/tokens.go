package gate

import "math"

// token is a cached idempotency token. It holds the state of the one attempt that may run, for its duplicates. It is unique
// within its method, regardless of the fronts through which the attempts arrive.
type token struct {
	expiry               // evicted one deadline after the window: a duplicate that is read later is overdue
	id         uint32    // RPC that may run
	key        string    // result of tokenKey
	bodyHash   uint64    // hash of the body of that RPC
	untilMs    float64   // end of its window in Unix ms: no other attempt that arrives earlier may run
	ran        bool      // its run was requested
	completed  bool      // its run has ended
	succeeded  bool      // its run succeeded and the result is cached
	uncached   bool      // its run succeeded and the result is not cached
	head       []byte    // cached head
	result     []byte    // cached result, with which duplicates are answered
	extraKB    float64   // memory of head and result beyond tokenKB
	duplicates []*Ticket // duplicates that wait for the end of the run
}

const (
	// tokenKB is the memory charged for a cached token: a head and result of up to includedResultBytes and the entry itself,
	// rounded up for the allocator. The excess of a larger result is charged as well.
	tokenKB             = 6
	includedResultBytes = 4 << 10
	// maxResultShare is the largest fraction of the cache that one result may take, so that a few large results cannot keep
	// tokens out of the cache.
	maxResultShare = 1.0 / 16
	// arrivalRoundingMs is added to a window, because times of arrival are rounded to whole ms.
	arrivalRoundingMs = 1
)

// tokenKey returns the cache key of an RPC's token, which consists of the method and the token.
func tokenKey(r *RPC) string { return r.Method + "\x00" + r.Token }

// cacheToken caches the token of an RPC for at least the given time in ms. It replaces an earlier token that never ran or
// whose window is over.
func (g *Gate) cacheToken(t *Ticket, ms float64) {
	if t.tokenKey == "" {
		return
	}
	if k := g.tokens[t.tokenKey]; k != nil {
		if k.ran && t.arrivedMs < k.untilMs {
			return
		}
		g.dropToken(k)
	}
	method := &g.startup.Methods[t.method]
	k := &token{
		id:       t.id,
		key:      t.tokenKey,
		bodyHash: t.bodyHash,
		untilMs:  math.Max(unixMillis(g.now())+ms, t.arrivedMs+method.DedupWindow+arrivalRoundingMs),
	}
	k.expiry = expiry{atMs: k.untilMs + method.Deadline, token: k}
	g.tokens[t.tokenKey] = k
	g.expiries.add(&k.expiry)
	g.cacheFreeKB -= tokenKB
}

// evictToken removes a token and its result from the cache.
func (g *Gate) evictToken(k *token) {
	if g.tokens[k.key] != k {
		return
	}
	delete(g.tokens, k.key)
	g.expiries.remove(&k.expiry)
	g.cacheFreeKB += tokenKB + k.extraKB
}

// cacheResult records the end of a token's run and caches the result if there is enough memory. If the result is not cached,
// duplicates are aborted and never run.
func (g *Gate) cacheResult(k *token, outcome Outcome, head, result []byte) {
	k.completed = true
	k.succeeded = outcome == Succeeded
	k.uncached = outcome == SucceededUncached
	if !k.succeeded {
		return
	}
	extra := float64(len(head)+len(result)-includedResultBytes) / 1024
	if extra > 0 {
		maxExtra := maxResultShare * (g.cacheFreeKB + tokenKB*float64(len(g.tokens)))
		if extra > maxExtra || extra > g.cacheFreeKB {
			k.succeeded = false
			k.uncached = true
			return
		}
		k.extraKB = extra
		g.cacheFreeKB -= extra
	}
	k.head = head
	k.result = result
}

// dropToken evicts a token whose attempt never ran and aborts the duplicates that wait for it.
func (g *Gate) dropToken(k *token) {
	g.evictToken(k)
	k.completed = true
	g.answerDuplicates(k)
}

// answerDuplicates gives the duplicates that wait for a token their final verdict.
func (g *Gate) answerDuplicates(k *token) {
	waiting := k.duplicates
	k.duplicates = nil
	for _, t := range waiting {
		switch {
		case k.succeeded:
			g.completeUnrun(t, Verdict{Kind: OK, Head: k.head, Result: k.result})
		case k.uncached:
			g.completeUnrun(t, Verdict{Kind: Aborted, Reason: reasonUncached})
		default:
			g.completeUnrun(t, Verdict{Kind: Aborted, Reason: "the try that it repeats failed"})
		}
	}
}
