package gate

import (
	"math"
)

// token is a try of a tokened RPC that repeats are told of. It is of the method, whatever front its tries come by.
type token struct {
	id        uint32
	key       string
	body      uint64  // hash
	until     float64 // Unix ms: no try that comes before may run
	expiry            // its time: repeats read late are past their deadline then
	ran, over bool
	ok        bool
	large     bool // it ran, and its result is too large to keep
	head      []byte
	result    []byte
	kb        float64 // of these beyond tokenKB
	joined    []*Ticket
}

const (
	// tokenKB bounds what a kept token takes: a result of up to plainResult and its entry, rounded up for the
	// allocator. One with a larger result counts for what it takes beyond.
	tokenKB     = 6
	plainResult = 4 << 10
	// keptMost is the largest share of all that may be kept that one result may take: a few large ones must not
	// keep tokens out.
	keptMost = 1.0 / 16
)

// remember sets the token of a try; one that it takes over from is no longer named.
func (g *Gate) remember(t *Ticket, life float64) {
	if t.key == "" {
		return
	}
	if k := g.tokens[t.key]; k != nil {
		if k.ran && t.door < k.until {
			return
		}
		g.forget(k)
	}
	until := math.Max(unixMs(g.now())+life, t.door+g.told.Methods[t.method].DedupWindow+1) // a door has whole ms
	k := &token{id: t.id, key: t.key, body: t.body, until: until}
	k.at, k.token = until+g.told.Methods[t.method].Deadline, k
	g.tokens[t.key] = k
	g.expiries.add(&k.expiry)
	g.keptKB -= tokenKB
}

// release drops a token and what is kept with it.
func (g *Gate) release(k *token) {
	if g.tokens[k.key] != k {
		return
	}
	delete(g.tokens, k.key)
	g.expiries.remove(&k.expiry)
	g.keptKB += tokenKB + k.kb
}

// keep takes the end of a token's run, and its result if there is room for that. A repeat of one whose result is
// not kept hears that it ran, and never runs.
func (g *Gate) keep(k *token, how Outcome, head, result []byte) {
	k.over, k.ok, k.large = true, how == Succeeded, how == SucceededUncached
	if !k.ok {
		return
	}
	if more := float64(len(head)+len(result)-plainResult) / 1024; more > 0 {
		most := keptMost * (g.keptKB + tokenKB*float64(len(g.tokens)))
		if more > most || more > g.keptKB {
			k.ok, k.large = false, true
			return
		}
		k.kb = more
		g.keptKB -= more
	}
	k.head, k.result = head, result
}

// forget drops a token whose try never ran. Those that wait for it end with an error.
func (g *Gate) forget(k *token) {
	g.release(k)
	k.over = true
	g.settle(k)
}

// settle ends those that wait for a token's try.
func (g *Gate) settle(k *token) {
	joined := k.joined
	k.joined = nil
	for _, t := range joined {
		switch {
		case k.ok:
			g.ended(t, Verdict{Kind: OK, Head: k.head, Result: k.result})
		case k.large:
			g.ended(t, Verdict{Kind: Aborted, Reason: "the try that it repeats has run; its result was too large to keep"})
		default:
			g.ended(t, Verdict{Kind: Aborted, Reason: "the try that it repeats failed"})
		}
	}
}
