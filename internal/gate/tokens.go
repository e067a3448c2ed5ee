package gate

import "math"

// token is a cached idempotency token: the state of the attempt that may run, for its duplicates. It belongs to the method,
// whatever front the attempts come by.
type token struct {
	expiry               // its time, past the end of the window: a duplicate that is read later is past its deadline
	id         uint32    // of the RPC that may run
	key        string    // as tokenKey has it
	bodyHash   uint64    // of that RPC
	untilMs    float64   // end of its window, in Unix ms: no attempt that arrives before may run
	ran        bool      // its run was asked for
	completed  bool      // its run has ended
	succeeded  bool      // with a result that is cached
	uncached   bool      // with a result that is not cached
	head       []byte    // of the result
	result     []byte    // what duplicates are answered with
	extraKB    float64   // memory of head and result beyond tokenKB
	duplicates []*Ticket // that wait for the end of the run
}

const (
	// tokenKB is what a cached token counts for: a head and result of up to plainResultBytes and its entry, rounded up for the
	// allocator. A larger result counts for its excess as well.
	tokenKB          = 6
	plainResultBytes = 4 << 10
	// maxResultShare is the largest share of the cache that one result may take: a few large ones must not keep tokens out.
	maxResultShare = 1.0 / 16
	// arrivalRoundingMs is added to a window, as times of arrival have whole ms.
	arrivalRoundingMs = 1
)

// tokenKey returns the key of an RPC's token: it is unique for the method.
func tokenKey(r *RPC) string { return r.Method + "\x00" + r.Token }

// cacheToken caches the token of an RPC for some ms at least, in place of an earlier one that is over.
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

// cacheResult notes the end of a token's run and caches its result if there is memory for it. A duplicate of one whose
// result is not cached is aborted and never runs.
func (g *Gate) cacheResult(k *token, outcome Outcome, head, result []byte) {
	k.completed = true
	k.succeeded = outcome == Succeeded
	k.uncached = outcome == SucceededUncached
	if !k.succeeded {
		return
	}
	extra := float64(len(head)+len(result)-plainResultBytes) / 1024
	if extra > 0 {
		largest := maxResultShare * (g.cacheFreeKB + tokenKB*float64(len(g.tokens)))
		if extra > largest || extra > g.cacheFreeKB {
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

// dropToken evicts a token whose attempt never ran. The duplicates that wait for it are aborted.
func (g *Gate) dropToken(k *token) {
	g.evictToken(k)
	k.completed = true
	g.answerDuplicates(k)
}

// answerDuplicates gives a final verdict to the duplicates that wait for a token.
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
