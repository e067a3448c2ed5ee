package quota

// This file owns what servers say to one another about loans: who is asked, how much, what an ask is answered, and when a
// loan goes back. It must never grant what is not booked first, nor book what was not asked for.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	askEvery   = 100.0  // between two rounds of asking, at the fastest
	askSlow    = 1600.0 // and at the slowest, where rounds bring nothing
	askMost    = 64     // peers in a round; after one that brought nothing, askFew
	askFew     = 8      //
	askAgain   = 130.0  // after which an ask without an answer is sent once more: more than a round trip between zones
	askWait    = 400.0  // and after which it is given up
	shunFirst  = 200.0  // for which a peer that had nothing is not asked again; doubled each time
	shunLast   = 3200.0
	rivalFor   = 1000.0 // for which one that asked counts when what is free is divided
	askerFor   = 3000.0 // and for which it hears that something has come free
	mostAsker  = 32
	offerMost  = 4    // askers that hear of it
	fewer      = 0.8  // of what another has: much less
	renewAt    = 0.5  // of a loan's length, before its end, it is asked for again
	unused     = 0.5  // of a loan: if so much of it is not needed, it goes back
	leastNeed  = 0.02 // of the use: less that is turned away is chance
	leastLoan  = 0.05 // of the own part: less is not worth a message
	worthOffer = 0.1  // of the own part: so much more is free than askers know
	mostLoans  = 1024 // of either kind at a time
	mostShuns  = 4096 // peers that are remembered as having nothing
	settled    = 1.0  // times the time of the means for which a loan is kept before it may go back
)

// What a message is.
type MessageKind int

const (
	Request MessageKind = iota + 1
	Grant
	Deny
	Relinquish // of a loan before its end
	Offer      // to one that asked: there is something now
)

// DenialReason an ask got nothing.
type DenialReason int

const (
	Exhausted     DenialReason = iota + 1 // nothing is free
	Contended                             // others have asked, too, and each gets a part too small to lend
	TooManyLeases                         // it has as many loans as it may
	UnknownLimit                          // there is no such budget
	NoAnswer                              // no answer came
)

func (w DenialReason) String() string {
	return [...]string{"", "nothing is free there", "too many ask there", "it has lent to as many as it may", "it has no such budget", "no answer came"}[min(max(w, 0), NoAnswer)]
}

// Denial is an ask that got nothing.
type Denial struct {
	By     string
	Reason DenialReason `json:"Why"`
	Age    float64      `json:"Ago"` // ms
}

// Message travels between two servers, in any order, late, twice or never.
type Message struct {
	Kind            MessageKind
	To              string
	RequestID       uint64       // of the ask, within the asker's life
	Incarnation     uint64       // of the asker
	Amount          float64      // asked for, granted, returned or on offer
	Duration        float64      // Grant: ms
	PriorityWeight  float64      // Ask: criticality of what is being turned away
	CurrentCapacity float64      // Ask: the asker's part
	Renews          uint64       // Ask: the loan that is to last longer; 0 for a new one
	Reason          DenialReason // Deny
}

type asked struct {
	number uint64
	peer   string
	at     float64
	amount float64
	worth  float64
	has    float64
	renews uint64
	tries  int
}

func (a *asked) message(life uint64) Message {
	return Message{Kind: Request, To: a.peer, RequestID: a.number, Incarnation: life, Amount: a.amount, PriorityWeight: a.worth, CurrentCapacity: a.has, Renews: a.renews}
}

type asker struct {
	name               string
	at                 float64
	worth, amount, has float64
}

type shun struct {
	until, length float64
}

// talk is what a part remembers of what was said.
type talk struct {
	numbers *uint64 // of asks, over all parts of this life
	chance  *rand.Rand
	asks    []asked
	shuns   map[string]shun
	hints   []string // peers that said that they have something
	askers  []asker
	askAt   float64
	pause   float64 // between rounds
	batch   int
	offered float64 // when askers last heard of something free
	known   float64 // what askers know to be free
	quiet   bool    // nothing to do until something is taken or comes
	refused Denial
}

// Tick is to be called some times a second with those that can be asked; it returns the messages that are to be sent: few,
// and none at rest.
func (s *Allocation) Tick(now float64, peers []string) (out []Message) {
	if s.quiet {
		return nil
	}
	s.pass(now)
	for i := 0; i < len(s.asks); {
		a := &s.asks[i]
		if now-a.at > askWait {
			gone := *a
			s.asks = slices.Delete(s.asks, i, i+1)
			s.refuse(now, gone.peer, NoAnswer)
			if k := s.renewed(gone); k >= 0 {
				s.borrowed[k].asking = false // asked again as long as the loan lasts
			}
			continue
		}
		if n := float64(a.tries + 1); now-a.at > askAgain*n*(n+1)/2 { // the way loses some; who has answered it answers the same
			a.tries++
			out = append(out, a.message(s.life))
		}
		i++
	}
	out = s.offer(now, s.giveBack(now, out))
	use, need := s.wanted()
	have, ends, out := s.renew(now, use, need, out)
	if now >= s.askAt {
		out = s.ask(now, use, need, have, ends, peers, out)
	}
	s.quiet = len(s.lent) == 0 && len(s.borrowed) == 0 && len(s.asks) == 0 && use+need < leastLoan*s.own && len(s.askers) == 0
	return out
}

// giveBack returns loans that are not used.
func (s *Allocation) giveBack(now float64, out []Message) []Message {
	use, need := s.wanted()
	spare := s.part() - headroom*use - need
	if s.in == 0 || spare <= 0 {
		return out
	}
	gone := false
	for i := len(s.borrowed) - 1; i >= 0; i-- {
		l := &s.borrowed[i]
		if l.amount*unused > spare || now-l.began < settled*useTime || s.r.Kind == Concurrency && s.inHand > s.part()-l.amount {
			continue
		}
		spare -= l.amount
		out = append(out, Message{Kind: Relinquish, To: l.peer, RequestID: l.number, Incarnation: s.life, Amount: l.amount})
		s.borrowed = slices.Delete(s.borrowed, i, i+1)
		s.Counts.Released++
		gone = true
	}
	if gone {
		s.sum()
		s.tokens = math.Min(s.tokens, s.burst())
	}
	return out
}

// offer tells those that asked of late, the most critical first, that something has come free.
func (s *Allocation) offer(now float64, out []Message) []Message {
	s.askers = slices.DeleteFunc(s.askers, func(a asker) bool { return now-a.at > askerFor })
	free := s.free()
	s.known = math.Min(s.known, free)
	if len(s.askers) == 0 || free-s.known < worthOffer*s.own || now-s.offered < askEvery/2 {
		return out
	}
	s.known, s.offered = free, now
	n := min(offerMost, len(s.askers))
	for _, a := range s.byWorth()[:n] {
		out = append(out, Message{Kind: Offer, To: a.name, Amount: free / float64(n)})
	}
	return out
}

func (s *Allocation) byWorth() []asker {
	all := slices.Clone(s.askers)
	slices.SortStableFunc(all, func(a, b asker) int { return cmp.Compare(b.worth, a.worth) })
	return all
}

// renew has loans that end soon asked for again where they are, if they are needed: a lender has them booked, and no other
// could have them before they end. It returns what this server will have beside those that end, and how many do.
func (s *Allocation) renew(now, use, need float64, out []Message) (have float64, ends int, _ []Message) {
	have = s.own - s.out
	for i := range s.borrowed {
		if l := &s.borrowed[i]; l.asking || !l.denied && l.ends-now >= renewAt*s.r.MaxLeaseDuration {
			have += l.amount
		} else {
			ends++
		}
	}
	for i := range s.borrowed {
		l := &s.borrowed[i]
		if ends == 0 || l.asking || l.denied || l.ends-now >= renewAt*s.r.MaxLeaseDuration || have >= headroom*use+need {
			continue
		}
		have += l.amount
		l.asking = true
		out = append(out, s.asking(now, l.peer, l.amount, l.number))
	}
	return have, ends, out
}

// ask asks for what is missing beside what this server will have.
func (s *Allocation) ask(now, use, need, have float64, ends int, peers []string, out []Message) []Message {
	for _, a := range s.asks {
		if a.renews == 0 {
			have += a.amount
		}
	}
	want := math.Min(use+need-have, s.r.Capacity-s.part())
	if need <= leastNeed*use && ends == 0 {
		want = 0
	}
	if want < leastLoan*s.own || len(s.borrowed) >= mostLoans || len(peers) == 0 {
		return out
	}
	if s.pause == 0 {
		s.pause, s.batch = askEvery, askMost
	}
	usual := math.Max(1, s.own-s.r.Floor) // what a peer has of which nothing is known
	if s.r.OwnedCapacity > 0 {
		usual = s.r.Capacity
	}
	from := s.chance.IntN(len(peers))
	n := 0
	one := func(p string) bool {
		if n >= s.batch || want < leastLoan*s.own {
			return false
		}
		if !slices.ContainsFunc(s.asks, func(a asked) bool { return a.peer == p && a.renews == 0 }) {
			part := math.Min(want, usual)
			want -= part
			n++
			out = append(out, s.asking(now, p, part, 0))
		}
		return true
	}
	// First those that said that they have something, then those that had when they were asked, or never were; then the rest.
	for _, p := range s.hints {
		one(p)
	}
	s.hints = s.hints[:0]
	for _, had := range [2]bool{true, false} {
		for k := range peers {
			p := peers[(from+k)%len(peers)]
			if x, had1 := s.shuns[p]; had1 == had || x.until > now {
				continue
			}
			if !one(p) {
				break
			}
		}
	}
	// The more were asked, the later the next round; a grant or an offer sets that back.
	s.askAt = now + s.pause*(0.75+0.5*s.chance.Float64())
	s.pause = math.Min(2*s.pause, math.Max(askEvery, askSlow*math.Min(1, float64(n)/askFew)))
	s.batch = askFew
	return out
}

func (s *Allocation) asking(now float64, peer string, amount float64, renews uint64) Message {
	*s.numbers++
	a := asked{number: *s.numbers, peer: peer, at: now, amount: amount, worth: s.worth, has: s.part(), renews: renews}
	s.asks = append(s.asks, a)
	s.Counts.Requested++
	return a.message(s.life)
}

// renewed is the place of the loan that an ask would renew; negative if there is none.
func (s *Allocation) renewed(a asked) int {
	return slices.IndexFunc(s.borrowed, func(l loan) bool { return a.renews != 0 && l.number == a.renews && l.peer == a.peer })
}

// refuse notes that a peer had nothing: it is not asked for a while, the longer the more often that was so.
func (s *Allocation) refuse(now float64, peer string, why DenialReason) {
	s.refused = Denial{peer, why, now}
	if s.shuns == nil {
		s.shuns = map[string]shun{}
	}
	x, is := s.shuns[peer]
	if !is && len(s.shuns) >= mostShuns {
		return
	}
	x.length = math.Min(shunLast, math.Max(shunFirst, 2*x.length))
	x.until = now + x.length*(0.75+0.5*s.chance.Float64())
	s.shuns[peer] = x
}

// wakes has the next round come soon.
func (s *Allocation) wakes(now float64) {
	s.pause, s.batch = askEvery, askMost
	s.askAt = math.Min(s.askAt, now+askEvery/2)
}

// Receive takes a message from a peer and returns what is to be answered.
func (s *Allocation) Receive(now float64, from string, m Message) (out []Message) {
	s.pass(now)
	s.quiet = false
	switch m.Kind {
	case Request:
		out = append(out, s.lend(now, from, m))
		s.known = math.Min(s.known, s.free())
		return out
	case Grant:
		if gone := s.take(now, from, m); gone > 0 {
			out = append(out, Message{Kind: Relinquish, To: from, RequestID: gone, Incarnation: s.life})
		}
	case Deny:
		if i := s.open(from, m); i >= 0 {
			a := s.asks[i]
			s.asks = slices.Delete(s.asks, i, i+1)
			if k := s.renewed(a); k >= 0 {
				s.borrowed[k].asking, s.borrowed[k].denied = false, true
			}
			s.refuse(now, from, m.Reason)
			s.Counts.Denied++
		}
	case Relinquish:
		s.lent = slices.DeleteFunc(s.lent, func(l loan) bool {
			return l.peer == from && l.life == m.Incarnation && l.number == m.RequestID
		})
		s.sum()
	case Offer:
		delete(s.shuns, from)
		if len(s.hints) < askMost {
			s.hints = append(s.hints, from)
		}
		s.wakes(now)
	}
	return out
}

// open is the place of the ask that a message answers; negative if there is none of this life.
func (s *Allocation) open(from string, m Message) int {
	if m.Incarnation != s.life {
		return -1
	}
	return slices.IndexFunc(s.asks, func(a asked) bool { return a.number == m.RequestID && a.peer == from })
}

// lend answers an ask. The same one asked again gets the same answer, and no second part.
func (s *Allocation) lend(now float64, from string, m Message) Message {
	deny := func(why DenialReason) Message {
		return Message{Kind: Deny, To: from, RequestID: m.RequestID, Incarnation: m.Incarnation, Reason: why}
	}
	grant := func(amount float64) Message {
		return Message{Kind: Grant, To: from, RequestID: m.RequestID, Incarnation: m.Incarnation, Amount: amount, Duration: s.r.MaxLeaseDuration}
	}
	renews := -1
	for i := range s.lent {
		if l := &s.lent[i]; l.peer == from && l.life == m.Incarnation && !l.rest {
			if l.number == m.RequestID {
				return grant(l.amount)
			}
			if m.Renews != 0 && (l.number == m.Renews || l.was == m.Renews) { // it may not have heard of the last renewal
				renews = i
			}
		}
	}
	rivals, theirs := s.rivals(now, from, &m, renews < 0)
	if m.Renews != 0 && renews < 0 {
		return deny(Exhausted) // it has ended here: what it is asked for now is another loan, and the asker must know
	}
	if renews >= 0 {
		// Whoever has the loan keeps it as far as there is room for it beside what is used here, and shares it with those
		// that ask. What it gives up stays booked until it says that it has done so, or the loan that it has can have ended.
		l := &s.lent[renews]
		use, need := s.wanted()
		room := s.own - math.Max(s.r.Floor, headroom*use+need)
		amount := math.Min(l.amount, room-(s.out-l.amount))
		amount = math.Min(amount, math.Max(room/float64(rivals+1), room-theirs))
		if s.r.Kind == Concurrency {
			amount = math.Floor(amount)
		}
		if !(amount >= leastLoan*s.own) || len(s.lent) >= mostLoans {
			return deny(Contended)
		}
		if rest := l.amount - amount; rest > 0 {
			s.lent = append(s.lent, loan{peer: from, number: m.Renews, life: m.Incarnation, amount: rest, began: l.began, ends: l.ends, rest: true})
			l = &s.lent[renews]
		}
		l.was, l.number, l.amount, l.ends = m.Renews, m.RequestID, amount, s.booked(now)
		s.sum()
		s.Counts.Renewed++
		return grant(amount)
	}
	// What is free goes in even parts to all that asked of late, so that who asks first does not take it all; who wants
	// less than that leaves the rest to the others.
	free := s.free()
	amount := math.Min(m.Amount, math.Max(free/float64(rivals+1), free-theirs))
	if s.r.Kind == Concurrency {
		amount = math.Floor(amount)
	}
	switch {
	case len(s.lent) >= mostLoans:
		return deny(TooManyLeases)
	case !(amount >= leastLoan*s.own && amount > 0):
		if rivals > 0 {
			return deny(Contended)
		}
		return deny(Exhausted)
	}
	// Booked before it is told; its borrower counts from when it asked.
	s.lent = append(s.lent, loan{peer: from, number: m.RequestID, life: m.Incarnation, amount: amount, began: now, ends: s.booked(now)})
	s.sum()
	s.tokens = math.Min(s.tokens, s.burst())
	s.Counts.Granted++
	if last := len(s.askers) - 1; last >= 0 && s.askers[last].name == from { // it competes for the rest of what it wants only
		if s.askers[last].amount -= amount; s.askers[last].amount < leastLoan*s.own {
			s.askers = s.askers[:last]
		}
	}
	return grant(amount)
}

// rivals counts those that asked of late beside from, and what they asked for. Beside one that has its loan renewed only
// those count that have much less: what moves between two that have as much lies idle on its way. from is noted as one that
// asks anew.
func (s *Allocation) rivals(now float64, from string, m *Message, asks bool) (n int, theirs float64) {
	s.askers = slices.DeleteFunc(s.askers, func(a asker) bool { return now-a.at > askerFor || asks && a.name == from })
	for _, a := range s.askers {
		if a.name != from && now-a.at <= rivalFor && (asks || a.has < fewer*m.CurrentCapacity) {
			n++
			theirs += a.amount
		}
	}
	if asks && len(s.askers) < mostAsker {
		s.askers = append(s.askers, asker{from, now, m.PriorityWeight, m.Amount, m.CurrentCapacity})
	}
	return n, theirs
}

// take books a grant, once: for an ask of this life that is still open, from when it was asked. If it is for less than the loan
// that it renews, that loan's number is returned: nothing of the rest is used from here on.
func (s *Allocation) take(now float64, from string, m Message) (gone uint64) {
	i := s.open(from, m)
	if i < 0 {
		s.Counts.LateGrants++
		return 0
	}
	a := s.asks[i]
	s.asks = slices.Delete(s.asks, i, i+1)
	ends := a.at + math.Min(m.Duration, s.r.MaxLeaseDuration)*(1-s.r.ClockDrift)
	if ends <= now || len(s.borrowed) >= mostLoans || !(m.Amount > 0 && m.Amount <= a.amount*(1+1e-9)) {
		s.Counts.LateGrants++
		if k := s.renewed(a); k >= 0 {
			s.borrowed[k].asking = false
		}
		return 0
	}
	if a.renews != 0 {
		k := s.renewed(a)
		if k < 0 { // it has ended here meanwhile, or went back: what was granted stands by itself
			s.borrowed = append(s.borrowed, loan{peer: from, number: m.RequestID, life: s.life, amount: m.Amount, began: now, ends: ends})
		} else {
			l := &s.borrowed[k]
			if m.Amount < l.amount {
				gone = l.number
			}
			l.number, l.amount, l.ends, l.asking, l.denied = m.RequestID, m.Amount, ends, false, false
		}
		s.Counts.Renewed++
	} else {
		delete(s.shuns, from)
		s.wakes(now)
		s.borrowed = append(s.borrowed, loan{peer: from, number: m.RequestID, life: s.life, amount: m.Amount, began: now, ends: ends})
		s.Counts.Leased++
	}
	s.sum()
	s.tokens = math.Min(s.tokens, s.burst())
	return gone
}
