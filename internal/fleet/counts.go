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
	keyCounts          = "counts" // of the record
	countsIntervalMs   = 2000.0   // between two records
	maxPublishedCounts = 12       // counters in a record, which has 1 KB
	maxRecordCounts    = 16       // counters and pools' calls in flight
	maxCountsBytes     = 900      // of the record's body
	countOverhead      = 16       // bytes of a counter beside its key
	minPublishedCount  = 0.05     // a second; what is rarer is left out
	maxCount           = 1e12
	// inFlightPrefix, behind which a pool's name stands, is the key of its calls in flight.
	inFlightPrefix = "in hand|"
)

// The fields of message Counts in fleet.proto.
const (
	countsRest protowire.Number = iota + 1
	countsKey
	countsValue
	countsMaxError
)

// CountRange is what the fleet's servers count under a key: between Min and Max a second, or in flight.
type CountRange struct {
	Key string
	Min float64 `json:"AtLeast"`
	Max float64 `json:"AtMost"`
}

// localCounts are what this server counts for the others.
type localCounts struct {
	counter     *count.Local
	inFlight    map[string]int // calls, by pool
	publishedAt float64        // ms
}

func newLocalCounts() localCounts {
	return localCounts{counter: count.NewLocal(count.DefaultConfig), inFlight: map[string]int{}}
}

// dueRecord returns the record that is to be published now; nil if none is due, or nothing was counted.
func (c *localCounts) dueRecord(now float64) []byte {
	if now-c.publishedAt < countsIntervalMs {
		return nil
	}
	c.publishedAt = now
	counters := c.counter.Largest(now, maxPublishedCounts)
	rest := 0.0 // bound of every counter that is left out
	if len(counters) == maxPublishedCounts {
		rest = counters[maxPublishedCounts-1].Value
	}
	counters = slices.DeleteFunc(counters, func(x count.Counter) bool { return x.Value < minPublishedCount })
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

// appendCounts writes counters as far as there is room.
func appendCounts(b []byte, counters []count.Counter, rest float64) []byte {
	b = appendFloatField(b, countsRest, rest)
	for _, x := range counters {
		if len(b)+len(x.Key)+countOverhead > maxCountsBytes {
			break
		}
		b = appendStringField(b, countsKey, x.Key)
		b = appendFloatField(b, countsValue, x.Value)
		b = appendFloatField(b, countsMaxError, x.MaxError)
	}
	return b
}

// parseCounts reads such a record. Figures out of bounds count as 0.
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

// countRanges sums the counts over the members, and returns the largest ones. The ranges widen for members that are not received from. The
// lock is held.
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
