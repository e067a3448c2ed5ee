package fleet

import (
	"slices"
	"time"

	"sorrelvalve/decision/outlier"
)

// tickOutcome is the result of one tick about this server itself.
type tickOutcome struct {
	stalled  bool // this server did not run for a while
	isolated bool // nothing has been received from any peer for a while
	excluded bool // this server is excluded from the fleet because another process uses its name
}

func (o tickOutcome) needsRestart() bool { return (o.stalled || o.isolated) && !o.excluded }

// loop drives the failure detector, announcements, joins, budgets and outlier detection. It restarts memberlist after a stall or isolation.
func (f *Fleet) loop() {
	defer close(f.loopDone)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	nextJoin := time.Now()
	var peers []string
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		outcome := f.observeTick(now)
		if outcome.needsRestart() {
			f.silenced.Store(true)
			f.restartMemberlist(outcome.stalled)
			nextJoin = time.Now()
			continue
		}
		f.lastTick.Store(int64(now.Sub(f.startedAt)))
		if outcome.excluded {
			continue
		}
		peers = f.runTick(now, peers)
		if !now.Before(nextJoin) {
			f.joinPeers(now)
			jitter := time.Duration(now.UnixNano() % int64(joinInterval/2))
			nextJoin = now.Add(joinInterval*3/4 + jitter)
		}
	}
}

// observeTick advances the failure detector.
func (f *Fleet) observeTick(now time.Time) tickOutcome {
	silenced := !f.awake() // checked before the tick is recorded, so that a gap between ticks is still visible
	f.mu.Lock()
	defer f.mu.Unlock()
	nowMs := f.elapsedMs(now)
	ticked := f.detector.Tick(nowMs, f.wallMs())
	outcome := tickOutcome{stalled: ticked || silenced, excluded: f.exclusion != nil}
	// While this server receives nothing from any peer, its detector accumulates suspicions that no peer can refute. If they were kept until
	// the partition heals, they would declare healthy peers dead.
	outcome.isolated = !outcome.stalled && len(f.nameByAddr) > 0 && f.detector.InboundTimedOut(nowMs)
	return outcome
}

// runTick announces this server if that is due, and advances outlier detection and budgets with the reachable peers. It returns those peers,
// reusing the memory of the slice passed in.
func (f *Fleet) runTick(now time.Time, peers []string) []string {
	f.mu.Lock()
	phase, _ := f.options.Phase()
	if phase != f.announcedPhase || now.Sub(f.announcedAt) >= f.announceWait() {
		f.announce(now)
	}
	budgets := f.budgets
	outliers := f.outliers
	announceWait := f.announceWait()
	complete := false
	if budgets != nil || outliers != nil {
		peers = f.detector.AppendReachable(f.elapsedMs(now), peers[:0])
		complete = f.detector.CompleteFor(f.elapsedMs(now), outlier.CompletePeriod)
	}
	f.mu.Unlock()
	if outliers != nil {
		outliers.tick(peers, complete, announceWait)
	}
	if budgets != nil {
		budgets.tick(peers)
	}
	return peers
}

// announceWait returns the time between two announcements of an unchanged record. The caller holds the lock.
func (f *Fleet) announceWait() time.Duration {
	return announceInterval * time.Duration(max(1, len(f.nameByAddr)/announceScale))
}

// joinPeers joins silent peers, and seeds whose address belongs to no reachable peer. It starts only a few joins at a time.
func (f *Fleet) joinPeers(now time.Time) {
	f.mu.Lock()
	addrs := f.joinCandidates(f.elapsedMs(now))
	in := f.instance
	f.mu.Unlock()
	if in == nil || len(addrs) == 0 {
		return
	}
	for range min(maxConcurrentJoins, len(addrs)) {
		f.joinAttempts++
		addr := addrs[f.joinAttempts%uint64(len(addrs))]
		select {
		case f.joinSlots <- struct{}{}:
		default:
			return
		}
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			_, _ = in.memberlist.Join([]string{addr}) // memberlist logs failures, which memberlistErrors counts; the next round retries
			<-f.joinSlots
		}()
	}
}

// joinCandidates returns the addresses to join. For a silent peer it prefers the address that the peer announced itself. The caller holds the
// lock.
func (f *Fleet) joinCandidates(nowMs float64) []string {
	var addrs []string
	for _, name := range f.detector.RejoinCandidates() {
		addr := f.lastAddr[name]
		if record, _, found := f.records.Get(nowMs, name, keyServer); found {
			if server, ok := parseServer(record.Body); ok && server.Addr != "" {
				addr = server.Addr
			}
		}
		if addr != "" && addr != f.options.Advertise {
			addrs = append(addrs, addr)
		}
	}
	for _, seed := range f.options.Seeds {
		_, reachable := f.nameByAddr[seed]
		own := seed == f.options.Advertise || seed == f.options.Listen
		if !reachable && !own && !slices.Contains(addrs, seed) {
			addrs = append(addrs, seed)
		}
	}
	return addrs
}
