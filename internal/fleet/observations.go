package fleet

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"sorrelvalve/decision/evidence"
	"sorrelvalve/decision/outlier"
)

const (
	// keyObservations, behind which the pool's name stands, is the key of records.
	keyObservations = "seen/"
	maxViewBytes    = 900 // of a record, which has 1 KB
	viewOverhead    = 3   // bytes of a summary beside its content

	// Bounds of what is read: who gossips nonsense weighs no more for it.
	maxFigure          = 1e9
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

// appendNonZeroFloat writes a float field unless it is 0.
func appendNonZeroFloat(b []byte, number protowire.Number, v float64) []byte {
	if v == 0 {
		return b
	}
	return appendFloatField(b, number, v)
}

// appendObservations writes the record of a pool as far as there is room: half of it for ejected and returning members, the rest for
// summaries, failing members first.
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

// parseObservations reads a record. Figures out of their bounds are brought into them.
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

// parseSummary reads a summary as far as it is well-formed.
func parseSummary(body []byte) (s evidence.Summary) {
	eachField(body, func(number protowire.Number, content []byte, bits uint64) {
		switch number {
		case viewMember:
			s.Member = string(content)
		case viewRun:
			s.Run = int(max(-evidence.MaxRun, min(evidence.MaxRun, protowire.DecodeZigZag(bits))))
		case viewAge:
			s.Age = boundedFloat(bits, maxFigure)
		case viewAttempts:
			s.Attempts = boundedFloat(bits, maxFigure)
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

// parseRecovery reads a returning member as far as it is well-formed.
func parseRecovery(body []byte) (r outlier.Recovery) {
	eachField(body, func(number protowire.Number, content []byte, bits uint64) {
		switch number {
		case backMember:
			r.Member = string(content)
		case backElapsed:
			r.Elapsed = floatValue(bits)
			if !(r.Elapsed >= outlier.MinElapsed && r.Elapsed <= maxFigure) {
				r.Elapsed = maxFigure // back for long: that starts nothing
			}
		}
	})
	return r
}
