// Package share divides a bound of the whole fleet among its servers: a rate with a burst, or a stock of things in hand. Each
// of the servers that an operator counts owns an equal part, keeps a floor of it whatever is asked, and lends the rest to
// peers for a time; a borrower uses a loan only while its lender can't have taken it back. So the sum over the fleet holds by
// construction, whoever hears nothing, crashes or stalls, as long as no more servers run than were counted and clocks differ
// by no more than was stated. It does no I/O and has no clock; an instance must be guarded by its owner. It must never use
// what it can't prove to be its own at that moment.
package share

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
)

// Kind is what a bound is of.
type Kind int

const (
	Rate  Kind = iota // so many a second, and a burst beyond
	Stock             // so many in hand at a time
)

// Rules are what an operator sets, the same on all servers. Times are ms.
type Rules struct {
	Kind    Kind
	Bound   float64 // of the whole fleet: a second, or in hand
	Burst   float64 // of the whole fleet beyond the rate
	Servers int     // that run at a time, at the most
	Floor   float64 // of each server, never lent
	Longest float64 // that a loan lasts
	Drift   float64 // by which the rate of a server's clock may be off, as a share
}

// Usual figures for what operators do not set: a loan is long enough that renewing it is a few messages, and short enough that
// a part whose borrower has gone is back within a breath; clocks of machines are off by less than a thousandth.
const (
	UsualLongest = 2000.0
	UsualDrift   = 1e-3
)

const (
	askEvery  = 200.0 // between two rounds of asking
	askMost   = 4     // peers in a round
	askWait   = 400.0 // after which an ask without an answer is given up
	askersFor = 1000  // ms for which one that asked counts as an asker: what is free is divided among them
	mostAsker = 32
	headroom  = 1.25  // times the own use, before anything counts as free
	useTime   = 500.0 // of the means of use and need
	renewAt   = 0.5   // of a loan's length, before its end, it is asked for again
	unused    = 0.5   // of what is borrowed: less use than this, and a loan goes back
	leastLoan = 0.01  // of the own part: less is not worth a message
	mostLoans = 64    // of either kind at a time
	mostPeers = 4096
)

// What a message is.
type MessageKind int

const (
	Ask MessageKind = iota + 1
	Grant
	Deny
	Return // of a loan before its end
)

// Message travels between two servers, in any order, late, twice or never.
type Message struct {
	Kind   MessageKind
	To     string
	Number uint64  // of the ask, within the asker's life
	Life   uint64  // of the asker
	Amount float64 // asked for, granted or returned
	For    float64 // Grant: ms
	Worth  float64 // Ask: criticality of what is being turned away
	Renews uint64  // Ask: the loan that is to last longer; 0 for a new one
}

// loan is a part that has changed hands.
type loan struct {
	peer    string
	number  uint64
	life    uint64 // of the borrower
	amount  float64
	ends    float64 // own ms: until then it is used, or counts as lent
	began   float64
	asking  bool // borrowed: to renew it
	denied  bool // borrowed: it will end
	renewed bool // borrowed, and asked for again in time
}

type asked struct {
	peer   string
	at     float64
	amount float64
	renews uint64
}

type asker struct {
	name string
	at   float64
}

type peer struct {
	name    string
	spare   float64
	at      float64
	shunned float64 // until then it is not asked
}

// Share is one server's part of one bound.
type Share struct {
	r    Rules
	life uint64
	own  float64

	lent     []loan
	borrowed []loan
	asks     map[uint64]asked
	number   uint64
	peers    []peer
	askers   []asker
	askAt    float64
	chance   *rand.Rand

	tokens float64 // Rate: in the bucket
	filled float64 // when
	inHand float64 // Stock

	use, need float64 // means a second, or of what is in hand; need is what was turned away
	worth     float64 // of what was turned away of late, the most
	meanAt    float64
	Counts    Counts
}

// Counts are since the start.
type Counts struct{ Taken, Turned, Asked, Granted, Denied, Borrowed, Returned, Late uint64 }

// New returns the part of a server whose process has the given life, drawn at its start. What its former life may have lent
// counts as lent until no such loan can last: at first it has its floor.
func New(r Rules, life uint64, seed int64, now float64) *Share {
	s := &Share{r: r, life: life, own: r.Bound / float64(max(1, r.Servers)), asks: map[uint64]asked{}, chance: rand.New(rand.NewSource(seed)), filled: now, meanAt: now}
	s.forgotten(now)
	return s
}

// forgotten books all that may be out and is not known of.
func (s *Share) forgotten(now float64) {
	if out := s.own - s.r.Floor; out > 0 {
		s.lent = append(s.lent[:0], loan{amount: out, ends: s.booked(now)})
	}
}

// booked is until when a loan of now counts as lent: longer than its borrower, whose clock may be slow where ours is fast,
// can use it.
func (s *Share) booked(now float64) float64 {
	return now + s.r.Longest*(1+s.r.Drift)*(1+s.r.Drift)
}

// Void drops what is borrowed: the own clock can't be trusted to have seen its end. What is lent counts as lent anew.
func (s *Share) Void(now float64) {
	s.drop(now, func(*loan) bool { return true })
	clear(s.asks)
	for i := range s.lent {
		s.lent[i].ends = s.booked(now)
	}
}

// pass brings loans and the bucket up to now.
func (s *Share) pass(now float64) {
	// The bucket fills at the part held meanwhile; what ended on the way ends for the time after it.
	for {
		next := now
		for i := range s.borrowed {
			next = math.Min(next, math.Max(s.filled, s.borrowed[i].ends))
		}
		for i := range s.lent {
			next = math.Min(next, math.Max(s.filled, s.lent[i].ends))
		}
		s.fill(next)
		before := len(s.borrowed) + len(s.lent)
		s.drop(next, func(l *loan) bool { return l.ends <= next })
		s.lent = slices.DeleteFunc(s.lent, func(l loan) bool { return l.ends <= next })
		if next >= now && before == len(s.borrowed)+len(s.lent) {
			break
		}
	}
	if dt := now - s.meanAt; dt > 0 {
		keep := math.Exp(-dt / useTime)
		s.use, s.need, s.worth = s.use*keep, s.need*keep, s.worth*keep
		s.meanAt = now
	}
}

// part is what may be used now: the own one without what is lent, and what is borrowed.
func (s *Share) part() float64 {
	sum := s.own - s.lentOut()
	for i := range s.borrowed {
		sum += s.borrowed[i].amount
	}
	return math.Max(0, sum)
}

// burst is the part's share of the fleet's.
func (s *Share) burst() float64 {
	if s.r.Bound <= 0 {
		return 0
	}
	return s.r.Burst * s.part() / s.r.Bound
}

func (s *Share) fill(now float64) {
	if s.r.Kind == Rate && now > s.filled {
		// A clock that is fast by the drift must not fill the bucket faster than the part.
		s.tokens = math.Min(s.burst(), s.tokens+s.part()/(1+s.r.Drift)*(now-s.filled)/1000)
	}
	s.filled = math.Max(s.filled, now)
}

// drop gives up loans that are borrowed; what they brought of the burst goes with them.
func (s *Share) drop(now float64, which func(*loan) bool) {
	n := len(s.borrowed)
	s.borrowed = slices.DeleteFunc(s.borrowed, func(l loan) bool { return which(&l) })
	if len(s.borrowed) < n {
		s.tokens = math.Min(s.tokens, s.burst())
	}
}

// Take asks for n of the bound, of a criticality. For a stock, longest is how long it may be held at the most: it is taken
// from a loan only if that lasts as long. What is taken of a stock is given back by Give.
func (s *Share) Take(now, n, worth, longest float64) bool {
	s.pass(now)
	ok := false
	if s.r.Kind == Rate {
		if ok = s.tokens >= n; ok {
			s.tokens -= n
		}
	} else {
		room := s.own - s.inHand - s.lentOut()
		for i := range s.borrowed {
			if l := &s.borrowed[i]; l.ends-now >= longest*(1+s.r.Drift) {
				room += l.amount
			}
		}
		if ok = room >= n; ok {
			s.inHand += n
		}
	}
	if ok {
		s.Counts.Taken++
		s.use += n * 1000 / useTime
		return true
	}
	s.Counts.Turned++
	s.need += n * 1000 / useTime
	s.worth = math.Max(s.worth, worth)
	return false
}

// Give returns n of a stock.
func (s *Share) Give(n float64) { s.inHand = math.Max(0, s.inHand-n) }

// wanted is what this server uses, a second or in hand, and what it turns away.
func (s *Share) wanted() (use, need float64) {
	if s.r.Kind == Stock {
		return s.inHand, s.need * useTime / 1000
	}
	return s.use, s.need
}

// free is what may be lent: not the floor, nor what is used, nor what is lent already. What is borrowed is never lent on.
func (s *Share) free() float64 {
	use, need := s.wanted()
	return math.Max(0, s.own-s.lentOut()-math.Max(s.r.Floor, headroom*use+need))
}

func (s *Share) lentOut() (sum float64) {
	for i := range s.lent {
		sum += s.lent[i].amount
	}
	return sum
}

// Spare is what others may be told that can be borrowed here.
func (s *Share) Spare(now float64) float64 {
	s.pass(now)
	return s.free()
}

// Told is what a peer said it has to spare.
func (s *Share) Told(now float64, name string, spare float64) {
	i, has := slices.BinarySearchFunc(s.peers, name, func(p peer, name string) int { return cmp.Compare(p.name, name) })
	if !has {
		if len(s.peers) >= mostPeers {
			return
		}
		s.peers = slices.Insert(s.peers, i, peer{name: name})
	}
	s.peers[i].spare, s.peers[i].at = spare, now
}

// Tick is to be called some times a second; it returns the messages that are to be sent: few, and none at rest.
func (s *Share) Tick(now float64) (out []Message) {
	s.pass(now)
	for n, a := range s.asks {
		if now-a.at > askWait {
			delete(s.asks, n)
			s.answered(a, false)
			s.shun(a.peer, now)
		}
	}
	use, need := s.wanted()
	// A loan that is not used goes back.
	borrowed := 0.0
	for i := range s.borrowed {
		borrowed += s.borrowed[i].amount
	}
	if spare := s.part() - headroom*use - need; borrowed > 0 && spare > 0 {
		for i := len(s.borrowed) - 1; i >= 0; i-- {
			l := &s.borrowed[i]
			if l.amount*unused > spare || now-l.began < useTime || s.r.Kind == Stock && s.inHand > s.part()-l.amount {
				continue
			}
			spare -= l.amount
			out = append(out, Message{Kind: Return, To: l.peer, Number: l.number, Life: s.life, Amount: l.amount})
			gone := l.number
			s.drop(now, func(l *loan) bool { return l.number == gone })
			s.Counts.Returned++
		}
	}
	if now < s.askAt {
		return out
	}
	s.askAt = now + askEvery*(0.75+0.5*s.chance.Float64())
	// What is missing: what was turned away, and loans that end soon and will not be renewed. Those that may be are asked
	// for again where they are: a lender has them booked, and no other could have them before they end.
	want := need
	for i := range s.borrowed {
		l := &s.borrowed[i]
		if l.ends-now >= renewAt*s.r.Longest || l.asking {
			continue
		}
		if l.denied {
			want += l.amount
			continue
		}
		s.number++
		l.asking = true
		s.asks[s.number] = asked{l.peer, now, l.amount, l.number}
		s.Counts.Asked++
		out = append(out, Message{Kind: Ask, To: l.peer, Number: s.number, Life: s.life, Amount: l.amount, Worth: s.worth, Renews: l.number})
	}
	for _, a := range s.asks {
		if a.renews == 0 {
			want -= a.amount
		}
	}
	want = math.Min(want, s.r.Bound-s.part())
	if want < leastLoan*s.own || len(s.borrowed) >= mostLoans {
		return out
	}
	order := make([]int, 0, len(s.peers))
	for i := range s.peers {
		if s.peers[i].spare > 0 && s.peers[i].shunned <= now {
			order = append(order, i)
		}
	}
	s.chance.Shuffle(len(order), func(i, k int) { order[i], order[k] = order[k], order[i] })
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.peers[b].spare, s.peers[a].spare) })
	for _, i := range order[:min(askMost, len(order))] {
		s.number++
		part := math.Min(want, s.peers[i].spare)
		if part < leastLoan*s.own {
			break
		}
		want -= part
		s.asks[s.number] = asked{s.peers[i].name, now, part, 0}
		s.Counts.Asked++
		out = append(out, Message{Kind: Ask, To: s.peers[i].name, Number: s.number, Life: s.life, Amount: part, Worth: s.worth})
	}
	return out
}

// answered notes the answer to an ask that would renew a loan.
func (s *Share) answered(a asked, granted bool) {
	for i := range s.borrowed {
		if l := &s.borrowed[i]; a.renews != 0 && l.number == a.renews && l.peer == a.peer {
			l.asking, l.denied = false, !granted
		}
	}
}

func (s *Share) shun(name string, now float64) {
	if i, has := slices.BinarySearchFunc(s.peers, name, func(p peer, name string) int { return cmp.Compare(p.name, name) }); has {
		s.peers[i].shunned = now + askEvery*(1+2*s.chance.Float64())
	}
}

// Receive takes a message from a peer and returns what is to be answered.
func (s *Share) Receive(now float64, from string, m Message) (out []Message) {
	s.pass(now)
	switch m.Kind {
	case Ask:
		return []Message{s.lend(now, from, m)}
	case Grant:
		s.take(now, from, m)
	case Deny:
		if a, has := s.asks[m.Number]; has && m.Life == s.life && a.peer == from {
			delete(s.asks, m.Number)
			s.answered(a, false)
			s.shun(from, now)
			s.Counts.Denied++
		}
	case Return:
		s.lent = slices.DeleteFunc(s.lent, func(l loan) bool {
			return l.peer == from && l.life == m.Life && l.number == m.Number
		})
	}
	return out
}

// lend answers an ask. The same one asked again gets the same answer, and no second part.
func (s *Share) lend(now float64, from string, m Message) Message {
	for i := range s.lent {
		if l := &s.lent[i]; l.peer == from && l.life == m.Life && l.number == m.Number {
			return Message{Kind: Grant, To: from, Number: m.Number, Life: m.Life, Amount: l.amount, For: s.r.Longest}
		}
	}
	if m.Renews != 0 {
		for i := range s.lent {
			l := &s.lent[i]
			if l.peer != from || l.life != m.Life || l.number != m.Renews {
				continue
			}
			if use, need := s.wanted(); s.others(now, from) || headroom*use+need > s.own-s.lentOut() {
				return Message{Kind: Deny, To: from, Number: m.Number, Life: m.Life}
			}
			l.number, l.ends = m.Number, now+s.r.Longest*(1+s.r.Drift)*(1+s.r.Drift)
			s.Counts.Granted++
			return Message{Kind: Grant, To: from, Number: m.Number, Life: m.Life, Amount: l.amount, For: s.r.Longest}
		}
	}
	// What is free goes in even parts to all that asked of late, so that who asks first does not take it all.
	others := s.others(now, from)
	s.askers = slices.DeleteFunc(s.askers, func(a asker) bool { return a.name == from })
	if len(s.askers) < mostAsker {
		s.askers = append(s.askers, asker{from, now})
	}
	parts := 1
	if others {
		parts = len(s.askers)
	}
	amount := math.Min(m.Amount, s.free()/float64(parts))
	if !(amount >= leastLoan*s.own) || len(s.lent) >= mostLoans {
		return Message{Kind: Deny, To: from, Number: m.Number, Life: m.Life}
	}
	if s.r.Kind == Stock {
		amount = math.Floor(amount)
		if amount < 1 {
			return Message{Kind: Deny, To: from, Number: m.Number, Life: m.Life}
		}
	}
	// Booked before it is told; its borrower counts from when it asked.
	s.lent = append(s.lent, loan{peer: from, number: m.Number, life: m.Life, amount: amount, began: now, ends: s.booked(now)})
	s.tokens = math.Min(s.tokens, s.burst())
	s.Counts.Granted++
	return Message{Kind: Grant, To: from, Number: m.Number, Life: m.Life, Amount: amount, For: s.r.Longest}
}

// others tells whether anybody else has asked of late for what it does not have yet.
func (s *Share) others(now float64, from string) bool {
	s.askers = slices.DeleteFunc(s.askers, func(a asker) bool { return now-a.at > askersFor })
	return slices.ContainsFunc(s.askers, func(a asker) bool { return a.name != from })
}

// take books a grant, once: for an ask of this life that is still open, from when it was asked.
func (s *Share) take(now float64, from string, m Message) {
	a, has := s.asks[m.Number]
	if !has || m.Life != s.life || a.peer != from {
		s.Counts.Late++
		return
	}
	delete(s.asks, m.Number)
	ends := a.at + math.Min(m.For, s.r.Longest)*(1-s.r.Drift)
	if ends <= now || len(s.borrowed) >= mostLoans || !(m.Amount > 0 && m.Amount <= a.amount*(1+1e-9)) {
		s.Counts.Late++
		return
	}
	for i := range s.borrowed {
		if l := &s.borrowed[i]; a.renews != 0 && l.number == a.renews && l.peer == from {
			if m.Amount != l.amount { // not a renewal: the lender had given it back already
				s.Counts.Late++
				l.asking, l.denied = false, true
				return
			}
			l.number, l.ends, l.asking, l.renewed = m.Number, ends, false, true
			s.Counts.Borrowed++
			return
		}
	}
	s.borrowed = append(s.borrowed, loan{peer: from, number: m.Number, life: s.life, amount: m.Amount, began: now, ends: ends})
	s.Counts.Borrowed++
}

// State is how a part stands.
type State struct{ Own, Floor, Lent, Borrowed, Part, Use, Need, InHand float64 }

// State tells it.
func (s *Share) State(now float64) (st State) {
	s.pass(now)
	st = State{Own: s.own, Floor: s.r.Floor, Part: s.part(), InHand: s.inHand}
	st.Lent = s.lentOut()
	for i := range s.borrowed {
		st.Borrowed += s.borrowed[i].amount
	}
	st.Use, st.Need = s.wanted()
	return st
}
