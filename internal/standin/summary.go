package standin

import (
	"sort"
	"time"
)

// SummaryRow sums up the calls of one method, by one protocol or by all. Latencies are in ms.
type SummaryRow struct {
	Protocol, Method                         string
	Calls, OK, Late, Rejected, Aborted, Lost int
	P50, P99                                 float64 // latency of successful calls
	RejectedP99                              float64 // latency of rejected calls
	RejectedLate                             int     // rejected after more than LateRejectionMs
	OnTimeShare                              float64 // of all calls: successful within the latency target
	latencies, rejectedLatencies             []float64
}

// LateRejectionMs is above what a rejection that was decided at once takes on a busy machine.
const LateRejectionMs = 20.0

// Summarize sums samples up by method, and by protocol if byProtocol is set. Late counts successful calls above the latency
// target, if one is given.
func Summarize(samples []Sample, byProtocol bool, target ...time.Duration) (rows []SummaryRow) {
	type key struct{ protocol, method string }
	index := map[key]int{}
	for _, s := range samples {
		k := key{method: s.Method}
		if byProtocol {
			k.protocol = s.Protocol
		}
		i, known := index[k]
		if !known {
			i = len(rows)
			index[k] = i
			rows = append(rows, SummaryRow{Protocol: k.protocol, Method: k.method})
		}
		late := len(target) > 0 && s.Latency > target[0]
		rows[i].add(&s, late)
	}
	for i := range rows {
		r := &rows[i]
		r.P50 = Quantile(r.latencies, 0.5)
		r.P99 = Quantile(r.latencies, 0.99)
		r.RejectedP99 = Quantile(r.rejectedLatencies, 0.99)
		r.OnTimeShare = float64(r.OK) / float64(max(1, r.Calls))
	}
	sort.Slice(rows, func(i, k int) bool {
		if rows[i].Method != rows[k].Method {
			return rows[i].Method < rows[k].Method
		}
		return rows[i].Protocol < rows[k].Protocol
	})
	return rows
}

// add counts one sample; late tells that a successful call missed the latency target.
func (r *SummaryRow) add(s *Sample, late bool) {
	r.Calls++
	ms := float64(s.Latency) / float64(time.Millisecond)
	switch s.Outcome {
	case OK:
		r.latencies = append(r.latencies, ms)
		if late {
			r.Late++
		} else {
			r.OK++
		}
	case Rejected:
		r.Rejected++
		r.rejectedLatencies = append(r.rejectedLatencies, ms)
		if ms > LateRejectionMs {
			r.RejectedLate++
		}
	case Lost:
		r.Lost++
	default:
		r.Aborted++
	}
}

// Quantile returns the exact quantile q of some values, which it sorts; 0 without values.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
