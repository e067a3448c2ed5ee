package fleet

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"sorrelvalve/decision/evidence"
	"sorrelvalve/decision/outlier"
)

const (
	// keyObservations followed by a pool's name is the key of the pool's records.
	keyObservations = "seen/"
	maxViewBytes    = 900 // size of a record's body; a record is limited to 1 KB
	viewOverhead    = 3   // bytes of an encoded summary besides its content

	// Bounds of the values that are read from peers, so that invalid values gain no additional weight.
	maxValue           = 1e9
	maxLatencySamples  = 1e6
	maxBusyMs          = 10e3
	maxLogLatencyRatio = 20.0
)

// The fields of message Seen in fleet.proto, and of its messages View and Back.
const (
	seenZone    protowire.Number = 1
	seenView    protowire.Number = 2
	seenEjected protowire.Number = 3
	seenBack    protowire.Number = 4

	viewMember          protowire.Number = 1
	viewRun             protowire.Number = 2
	viewAge             protowire.Number = 3
	viewAttempts        protowire.Number = 4
	viewFailureFraction protowire.Number = 5
	viewLogLatencyRatio protowire.Number = 6
	viewBusyRemaining   protowire.Number = 7
	viewLatencySamples  protowire.Number = 8

	backMember  protowire.Number = 1
	backElapsed protowire.Number = 2
)

// appendNonZeroFloat appends a float field unless its value is 0.
func appendNonZeroFloat(b []byte, number protowire.Number, v float64) []byte {
	if v == 0 {
		return b
	}
	return appendFloatField(b, number, v)
}

// appendObservations encodes the record of a pool, leaving out what does not fit into maxViewBytes: half of the space is for ejected and
// returning members, the rest for summaries, with those of failing members first.
func appendObservations(summaries []evidence.Summary, zone string, ejected []string, recoveries []outlier.Recovery) []byte {
	summaries = slices.Clone(summaries)
	slices.SortStableFunc(summaries, func(a, b evidence.Summary) int { return min(a.Run, 0) - min(b.Run, 0) })
	b := appendStringField(nil, seenZone, zone)
	for _, name := range ejected {
		if len(b) < maxViewBytes/2 {
			b = appendStringField(b, seenEjected, name)
		}
	}
	for _, r := range recoveries {
		if len(b) < maxViewBytes/2 {
			recovery := appendStringField(nil, backMember, r.Member)
			b = appendBytesField(b, seenBack, appendNonZeroFloat(recovery, backElapsed, r.Elapsed))
		}
	}
	for _, s := range summaries {
		view := appendSummary(&s)
		if len(b)+len(view)+viewOverhead > maxViewBytes {
			break
		}
		b = appendBytesField(b, seenView, view)
	}
	return b
}

func appendSummary(s *evidence.Summary) []byte {
	b := appendStringField(nil, viewMember, s.Member)
	b = appendVarintField(b, viewRun, protowire.EncodeZigZag(int64(s.Run)))
	b = appendNonZeroFloat(b, viewAge, s.Age)
	b = appendNonZeroFloat(b, viewAttempts, s.Attempts)
	b = appendNonZeroFloat(b, viewFailureFraction, s.FailureFraction)
	b = appendNonZeroFloat(b, viewLogLatencyRatio, s.LogLatencyRatio)
	b = appendNonZeroFloat(b, viewBusyRemaining, s.BusyRemaining)
	return appendNonZeroFloat(b, viewLatencySamples, s.LatencySamples)
}

// parseObservations parses a record. Values that are out of bounds are replaced by valid ones.
func parseObservations(body []byte) (report outlier.Report, ok bool) {
	ok = eachField(body, func(number protowire.Number, content []byte, _ uint64) {
		switch number {
		case seenZone:
			report.Zone = sanitize(string(content))
		case seenView:
			report.Summaries = append(report.Summaries, parseSummary(content))
		case seenEjected:
			report.Ejected = append(report.Ejected, string(content))
		case seenBack:
			report.Recoveries = append(report.Recoveries, parseRecovery(content))
		}
	})
	return report, ok
}

// parseSummary parses a summary up to the first malformed field.
func parseSummary(body []byte) (s evidence.Summary) {
	eachField(body, func(number protowire.Number, content []byte, bits uint64) {
		switch number {
		case viewMember:
			s.Member = string(content)
		case viewRun:
			s.Run = int(max(-evidence.MaxRun, min(evidence.MaxRun, protowire.DecodeZigZag(bits))))
		case viewAge:
			s.Age = boundedFloat(bits, maxValue)
		case viewAttempts:
			s.Attempts = boundedFloat(bits, maxValue)
		case viewFailureFraction:
			s.FailureFraction = boundedFloat(bits, 1)
		case viewLogLatencyRatio:
			s.LogLatencyRatio = floatValue(bits)
			if !(s.LogLatencyRatio >= -maxLogLatencyRatio && s.LogLatencyRatio <= maxLogLatencyRatio) {
				s.LogLatencyRatio = 0
			}
		case viewBusyRemaining:
			s.BusyRemaining = boundedFloat(bits, maxBusyMs)
		case viewLatencySamples:
			s.LatencySamples = boundedFloat(bits, maxLatencySamples)
		}
	})
	return s
}

// parseRecovery parses a returning member up to the first malformed field.
func parseRecovery(body []byte) (r outlier.Recovery) {
	eachField(body, func(number protowire.Number, content []byte, bits uint64) {
		switch number {
		case backMember:
			r.Member = string(content)
		case backElapsed:
			r.Elapsed = floatValue(bits)
			if !(r.Elapsed >= outlier.MinElapsed && r.Elapsed <= maxValue) {
				r.Elapsed = maxValue // a return that started long ago has no effect
			}
		}
	})
	return r
}
