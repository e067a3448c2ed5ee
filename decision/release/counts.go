package release

// signal is a share of bad outcomes that is compared between servers with and without a version.
type signal int

// The signals.
const (
	signalFailed         signal = iota // of all RPCs: aborted, or failed
	signalRejected                     // of all RPCs: rejected
	signalLate                         // of all RPCs: answered past their latency objective
	signalCriticalFailed               // of the most critical method's RPCs: anything but ok
	signalCount
)

// signalNames stand in reasons and evidence, which are part of the replicated state.
var signalNames = [signalCount]string{"failed", "pushed back", "late", "the most critical method not served"}

// Counts are one server's RPCs since it runs a version and is warm.
type Counts struct {
	Total          float64 `json:"all"`
	Failed         float64 `json:"failed,omitempty"`
	Rejected       float64 `json:"pushed,omitempty"`
	Late           float64 `json:"late,omitempty"`
	Critical       float64 `json:"top,omitempty"`     // of the most critical method
	CriticalFailed float64 `json:"top_bad,omitempty"` // of these, not ok
}

// maxCount bounds the RPCs between two reports; more is an error of the sender.
const maxCount = 1e12

// signal returns the bad outcomes of a signal, and the RPCs that they are a share of.
func (c *Counts) signal(s signal) (bad, total float64) {
	switch s {
	case signalFailed:
		return c.Failed, c.Total
	case signalRejected:
		return c.Rejected, c.Total
	case signalLate:
		return c.Late, c.Total
	}
	return c.CriticalFailed, c.Critical
}

func (c *Counts) add(d Counts) {
	c.Total += d.Total
	c.Failed += d.Failed
	c.Rejected += d.Rejected
	c.Late += d.Late
	c.Critical += d.Critical
	c.CriticalFailed += d.CriticalFailed
}

// minus returns what came since an earlier report; nothing if the counts began anew or are inconsistent.
func (c Counts) minus(before Counts) Counts {
	d := Counts{
		Total:          c.Total - before.Total,
		Failed:         c.Failed - before.Failed,
		Rejected:       c.Rejected - before.Rejected,
		Late:           c.Late - before.Late,
		Critical:       c.Critical - before.Critical,
		CriticalFailed: c.CriticalFailed - before.CriticalFailed,
	}
	if !d.consistent() {
		return Counts{}
	}
	return d
}

// consistent reports whether no count is negative, not a number, or larger than the total that it is a part of.
func (c *Counts) consistent() bool {
	if !(c.Total >= 0 && c.Total < maxCount && c.Critical >= 0) {
		return false
	}
	for _, part := range [...]float64{c.Failed, c.Rejected, c.Late, c.Critical} {
		if !(part >= 0 && part <= c.Total) {
			return false
		}
	}
	return c.CriticalFailed >= 0 && c.CriticalFailed <= c.Critical
}
