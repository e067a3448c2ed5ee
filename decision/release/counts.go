package release

// signal is a kind of bad outcome whose share is compared between the servers with and without a version.
type signal int

// The signals.
const (
	signalFailed         signal = iota // of all RPCs: aborted or failed
	signalRejected                     // of all RPCs: rejected
	signalLate                         // of all RPCs: completed past their latency objective
	signalCriticalFailed               // of the most critical method's RPCs: not completed ok
	signalCount
)

// signalNames are used in reasons and evidence, which are part of the replicated state.
var signalNames = [signalCount]string{"failed", "pushed back", "late", "the most critical method not served"}

// Counts are the RPCs of one server since it has run a version and been warm.
type Counts struct {
	Total          float64 `json:"all"`
	Failed         float64 `json:"failed,omitempty"`
	Rejected       float64 `json:"pushed,omitempty"`
	Late           float64 `json:"late,omitempty"`
	Critical       float64 `json:"top,omitempty"`     // of the most critical method
	CriticalFailed float64 `json:"top_bad,omitempty"` // of Critical, those not completed ok
}

// maxCount bounds the RPCs between two reports; a larger number is an error of the sender.
const maxCount = 1e12

// signal returns the number of bad outcomes of a signal, and the number of RPCs that they are a share of.
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

func (c *Counts) add(other Counts) {
	c.Total += other.Total
	c.Failed += other.Failed
	c.Rejected += other.Rejected
	c.Late += other.Late
	c.Critical += other.Critical
	c.CriticalFailed += other.CriticalFailed
}

// minus returns the counts added since an earlier report; zero if the counts were reset or are inconsistent.
func (c Counts) minus(before Counts) Counts {
	difference := Counts{
		Total:          c.Total - before.Total,
		Failed:         c.Failed - before.Failed,
		Rejected:       c.Rejected - before.Rejected,
		Late:           c.Late - before.Late,
		Critical:       c.Critical - before.Critical,
		CriticalFailed: c.CriticalFailed - before.CriticalFailed,
	}
	if !difference.consistent() {
		return Counts{}
	}
	return difference
}

// consistent reports whether the counts are numbers, not negative, and no larger than the total that they are a part of.
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
