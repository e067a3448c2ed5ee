package fleet

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"sorrelvalve/decision/count"
	"sorrelvalve/decision/gossip"
	"sorrelvalve/decision/health"
)

const (
	keyCounts          = "counts" // key of the record
	countsIntervalMs   = 2000.0   // between two records
	maxPublishedCounts = 12       // counters per record, which is limited to 1 KB
	maxRecordCounts    = 16       // counters per record, including pools' calls in flight
	maxCountsBytes     = 900      // size of the record's body
	countOverhead      = 16       // bytes of an encoded counter besides its key
	minPublishedCount  = 0.05     // per second; lower counts are left out
	maxCount           = 1e12     // largest valid value from a peer
	// inFlightPrefix followed by a pool's name is the key of the pool's calls in flight.
	inFlightPrefix = "in hand|"
)

// The fields of message Counts in fleet.proto.
const (
	countsRest protowire.Number = iota + 1
	countsKey
	countsValue
	countsMaxError
)

// CountRange bounds the sum of the fleet's counts under a key. The unit is events per second, or calls in flight.
type CountRange struct {
	Key string
	Min float64 `json:"AtLeast"`
	Max float64 `json:"AtMost"`
}

// localCounts holds the counts that this server publishes to the fleet.
type localCounts struct {
	counter     *count.Local
	inFlight    map[string]int // calls in flight, by pool
	publishedAt float64        // ms
}

func newLocalCounts() localCounts {
	return localCounts{counter: count.NewLocal(count.DefaultConfig), inFlight: map[string]int{}}
}

// dueRecord returns the record to publish now, or nil if none is due or nothing was counted.
func (c *localCounts) dueRecord(now float64) []byte {
	if now-c.publishedAt < countsIntervalMs {
		return nil
	}
	c.publishedAt = now
	counters := c.counter.Largest(now, maxPublishedCounts)
	rest := 0.0 // upper bound of each counter that is left out
	if len(counters) == maxPublishedCounts {
		rest = counters[maxPublishedCounts-1].Value
	}
	counters = slices.DeleteFunc(counters, func(counter count.Counter) bool { return counter.Value < minPublishedCount })
	for _, pool := range slices.Sorted(maps.Keys(c.inFlight)) {
		if len(counters) < maxRecordCounts {
			counters = append(counters, count.Counter{Key: inFlightPrefix + pool, Value: float64(c.inFlight[pool])})
		}
	}
	if len(counters) == 0 {
		return nil
	}
	return appendCounts(nil, counters, rest)
}

// appendCounts appends an encoded record to b, with as many counters as fit into maxCountsBytes.
func appendCounts(b []byte, counters []count.Counter, rest float64) []byte {
	b = appendFloatField(b, countsRest, rest)
	for _, counter := range counters {
		if len(b)+len(counter.Key)+countOverhead > maxCountsBytes {
			break
		}
		b = appendStringField(b, countsKey, counter.Key)
		b = appendFloatField(b, countsValue, counter.Value)
		b = appendFloatField(b, countsMaxError, counter.MaxError)
	}
	return b
}

// parseCounts parses a record that appendCounts wrote. Values that are out of bounds are replaced by 0.
func parseCounts(body []byte) (counters []count.Counter, rest float64, ok bool) {
	ok = eachField(body, func(number protowire.Number, content []byte, bits uint64) {
		value := floatValue(bits)
		if !(value >= 0 && value < maxCount) {
			value = 0
		}
		last := len(counters) - 1
		switch {
		case number == countsRest:
			rest = value
		case number == countsKey:
			counters = append(counters, count.Counter{Key: sanitize(string(content))})
		case number == countsValue && last >= 0:
			counters[last].Value = value
		case number == countsMaxError && last >= 0:
			counters[last].MaxError = value
		}
	})
	return counters, rest, ok
}

// countRanges sums the counts over all members, and returns the largest sums, at most limit. The ranges widen while no records arrive from
// some members. The caller holds the lock.
func (f *Fleet) countRanges(now float64, limit int) []CountRange {
	aggregate := count.NewAggregate(count.DefaultConfig)
	members := []string{f.options.Name}
	for _, p := range f.detector.Peers(now) {
		if p.Departure == health.Present {
			members = append(members, p.Name)
		}
	}
	f.records.Each(now, keyCounts, func(record *gossip.Record, age float64) {
		if counters, rest, ok := parseCounts(record.Body); ok {
			aggregate.Merge(now-age, record.Origin, record.Generation, record.Sequence, counters, rest)
		}
	})
	var ranges []CountRange
	for _, key := range aggregate.Keys() {
		sum := aggregate.Sum(now, key, members)
		ranges = append(ranges, CountRange{Key: key, Min: sum.Min, Max: sum.Max})
	}
	slices.SortStableFunc(ranges, func(a, b CountRange) int { return cmp.Compare(b.Min, a.Min) })
	return ranges[:min(limit, len(ranges))]
}
