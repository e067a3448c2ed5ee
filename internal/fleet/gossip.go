package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"sorrelvalve/decision/gossip"
	"sorrelvalve/decision/health"
)

// RecordTooLargeError reports a record that exceeds the limits of decision/gossip.
type RecordTooLargeError struct{ Key string }

// Error names the record's key.
func (e *RecordTooLargeError) Error() string {
	return fmt.Sprintf("fleet: the record %q is over the bounds", e.Key)
}

// ownRecord returns this server's record about itself, without its phase.
func (f *Fleet) ownRecord() ServerRecord {
	return ServerRecord{Zone: f.options.Zone, Version: f.options.Version, SettingsHash: f.options.SettingsHash, Addr: f.options.Advertise}
}

// announce publishes this server's record about itself. The caller holds the lock.
func (f *Fleet) announce(now time.Time) {
	record := f.ownRecord()
	record.Phase, record.WarmupProgress = f.options.Phase()
	f.announcedPhase = record.Phase
	f.announcedAt = now
	f.publishOrLog(now, keyServer, record.appendTo(nil))
}

// publish gossips a record of this server. The caller holds the lock.
func (f *Fleet) publish(now time.Time, key string, body []byte) error {
	f.sequences[key]++
	record := gossip.Record{
		Origin:      f.options.Name,
		Key:         key,
		Generation:  f.identity.Generation,
		Incarnation: f.identity.Incarnation,
		Sequence:    f.sequences[key],
		Body:        body,
	}
	raw := record.Append(nil)
	if _, result := f.records.Put(f.elapsedMs(now), raw); result != gossip.Updated {
		return &RecordTooLargeError{Key: key}
	}
	f.published[key] = body
	f.broadcasts.QueueBroadcast(newRecordBroadcast(f.options.Name, key, raw))
	return nil
}

// publishOrLog publishes a record like publish, and logs a failure. The caller holds the lock.
func (f *Fleet) publishOrLog(now time.Time, key string, body []byte) {
	if err := f.publish(now, key, body); err != nil {
		f.options.Log.WithError(err).Warn("fleet.publish_failed")
	}
}

// Publish gossips a record of this server under a key. The record replaces all previous ones with that key. It returns a RecordTooLargeError if
// the record exceeds the limits.
func (f *Fleet) Publish(key string, body []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publish(time.Now(), key, body)
}

// Get returns the newest record of an origin under a key, and its age in ms since it was received.
func (f *Fleet) Get(origin, key string) (record gossip.Record, age float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.records.Get(f.elapsedMs(time.Now()), origin, key)
}

// Each calls visit for the newest record of each origin under a key, with its age in ms since it was received. visit must not call methods of
// the Fleet.
func (f *Fleet) Each(key string, visit func(record *gossip.Record, age float64)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records.Each(f.elapsedMs(time.Now()), key, visit)
}

// recordBroadcast is a record in memberlist's broadcast queue. It replaces older records with the same origin and key.
type recordBroadcast struct {
	key    string
	record []byte
}

func newRecordBroadcast(origin, key string, raw []byte) *recordBroadcast {
	return &recordBroadcast{key: origin + "\x00" + key, record: raw}
}

// Invalidates reports whether this broadcast replaces other (memberlist.Broadcast).
func (r *recordBroadcast) Invalidates(other memberlist.Broadcast) bool {
	record, ok := other.(*recordBroadcast)
	return ok && record.key == r.key
}

// Name returns the name under which the broadcast is unique in the queue (memberlist.NamedBroadcast).
func (r *recordBroadcast) Name() string { return r.key }

// Message returns the record (memberlist.Broadcast).
func (r *recordBroadcast) Message() []byte { return r.record }

// Finished is called when the record has been forwarded often enough (memberlist.Broadcast).
func (r *recordBroadcast) Finished() {}

// GetBroadcasts returns the records to send with the next packet, each prefixed with this server's name (memberlist.Delegate).
func (in *instance) GetBroadcasts(overhead, limit int) [][]byte {
	name := in.fleet.options.Name
	records := in.fleet.broadcasts.GetBroadcasts(overhead+1+len(name), limit)
	for i, raw := range records {
		message := make([]byte, 0, 1+len(name)+len(raw))
		message = appendName(message, name)
		records[i] = append(message, raw...)
	}
	return records
}

// appendName appends a name, prefixed by its length in one byte.
func appendName(b []byte, name string) []byte {
	return append(append(b, byte(len(name))), name...)
}

// cutName parses a name that appendName wrote, and returns it and the remaining bytes.
func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) < 1 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	length := int(b[0])
	return string(b[1 : 1+length]), b[1+length:], true
}

// NotifyMsg receives a record or a direct packet (memberlist.Delegate).
func (in *instance) NotifyMsg(message []byte) {
	if len(message) > 1 && message[0] == directMark {
		in.receiveDirect(message[1:])
		return
	}
	relay, raw, ok := cutName(message)
	if !ok {
		in.fleet.receiveRecord(in, "", nil) // counted as a corrupt record
		return
	}
	in.fleet.receiveRecord(in, relay, raw)
}

// LocalState returns this server's side of a state exchange: its name and all records (memberlist.Delegate).
func (in *instance) LocalState(bool) []byte {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.records.AppendState(appendName(nil, f.options.Name), maxStateBytes)
}

// MergeRemoteState receives the other side of a state exchange (memberlist.Delegate).
func (in *instance) MergeRemoteState(state []byte, _ bool) {
	_, records, ok := cutName(state)
	if !ok || len(state) > 2*maxStateBytes {
		in.fleet.receiveRecord(in, "", nil) // counted as a corrupt record
		return
	}
	if !gossip.SplitState(records, func(raw []byte) { in.fleet.receiveRecord(in, "", raw) }) {
		in.fleet.receiveRecord(in, "", nil)
	}
}

// receiveRecord processes a record. relay is the peer that sent it, or "" if the transfer is no evidence of reachability.
func (f *Fleet) receiveRecord(in *instance, relay string, raw []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !in.isCurrent() || !f.awake() || f.exclusion != nil {
		return
	}
	now := time.Now()
	record, err := gossip.Parse(raw)
	if err == nil && !validName(record.Origin) {
		raw = nil // counted as a corrupt record
	} else if err == nil && record.Origin == f.options.Name {
		f.receiveOwnRecord(now, &record)
		return
	}
	record, result := f.records.Put(f.elapsedMs(now), raw)
	if result != gossip.Updated {
		return
	}
	f.broadcasts.QueueBroadcast(newRecordBroadcast(record.Origin, record.Key, slices.Clone(raw)))
	f.applyRecord(f.elapsedMs(now), &record)
	f.detector.RecordIndirect(f.elapsedMs(now), record.Origin, relay)
}

// applyRecord passes the contents of a new record to the failure detector. The caller holds the lock.
func (f *Fleet) applyRecord(nowMs float64, record *gossip.Record) {
	switch record.Key {
	case keyServer:
		server, ok := parseServer(record.Body)
		if !ok {
			return
		}
		f.detector.AddMember(nowMs, record.Origin, server.Zone, record.Generation, record.Incarnation)
		if server.Phase == Leaving {
			f.detector.MarkDeparted(nowMs, record.Origin, record.Generation, health.Left)
		}
	case keyRemoval:
		declaration, ok := parseRemoval(record.Body)
		if ok && declaration.name != f.options.Name {
			f.detector.MarkDeparted(nowMs, declaration.name, declaration.generation, health.DeclaredDead)
		}
	}
}

// receiveOwnRecord processes a record with this server's name. It comes from a previous incarnation or from another process. The caller holds
// the lock.
func (f *Fleet) receiveOwnRecord(now time.Time, record *gossip.Record) {
	raised, duplicate := f.identity.Refute(f.elapsedMs(now), record.Generation, record.Incarnation)
	if !raised {
		return
	}
	if duplicate {
		f.exclude(&NameConflictError{Name: f.options.Name})
		return
	}
	clear(f.sequences)
	for key, body := range f.published {
		f.publishOrLog(now, key, body)
	}
	in := f.instance
	if in == nil || f.closed { // Close waits only for goroutines that were started before it
		return
	}
	f.wg.Add(1)
	go func() { // memberlist must not be called from within its own callback
		defer f.wg.Done()
		if <-in.ready; in.memberlist != nil {
			_ = in.memberlist.UpdateNode(leaveTimeout) // after a timeout the next state exchange transfers the metadata
		}
	}()
}
