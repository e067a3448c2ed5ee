package release

// Rules are the parameters of a release that an operator sets. Durations are in ms.
type Rules struct {
	CanaryServers  int     `json:"canary"`  // size of the first wave
	MaxGrowth      float64 `json:"growth"`  // maximum size of a wave, relative to all earlier waves together
	MaxWaveShare   float64 `json:"most"`    // maximum share of the fleet in one wave
	BakeMS         float64 `json:"bake"`    // how long all servers of a wave run the version, warm, before the next wave begins
	MinRPCs        float64 `json:"least"`   // served by the servers with the version before a wave may end, and by all servers before the first wave
	MaxWaveMS      float64 `json:"longest"` // maximum duration of a wave; then the release is paused
	FalseAlarmRate float64 `json:"alarm"`   // probability that a version that is no worse is rolled back, over the whole release
	Margin         float64 `json:"margin"`  // by how much the share of bad outcomes may exceed that of the control group
	MaxUnreachable int     `json:"unheard"` // servers; if more are unreachable for maxUncertainMS, the release is paused
}

// DefaultRules returns rules for a fleet whose servers each handle a few RPCs per second: waves of one minute, one false
// alarm in 200 releases, and a margin of 1% of all RPCs.
func DefaultRules() Rules {
	return Rules{
		CanaryServers:  1,
		MaxGrowth:      2,
		MaxWaveShare:   0.34,
		BakeMS:         60e3,
		MinRPCs:        400,
		MaxWaveMS:      600e3,
		FalseAlarmRate: 0.005,
		Margin:         0.01,
		MaxUnreachable: 1,
	}
}

// Bounds that Validate enforces.
const (
	maxCanaryServers  = 64
	maxMaxGrowth      = 16
	minMaxWaveShare   = 0.001
	dayMS             = 86400e3
	weekMS            = 7 * dayMS
	maxMinRPCs        = 1e9
	minFalseAlarmRate = 1e-6
	maxFalseAlarmRate = 0.5
)

// Validate describes the first invalid rule by its JSON name; "" if all rules are valid. The text becomes part of the
// replicated state.
func (r *Rules) Validate() string {
	within := func(v, low, high float64) bool { return v >= low && v <= high } // false for NaN
	switch {
	case r.CanaryServers < 1 || r.CanaryServers > maxCanaryServers:
		return "canary: from 1 to 64 servers expected"
	case !within(r.MaxGrowth, 1, maxMaxGrowth):
		return "growth: from 1 to 16 expected"
	case !within(r.MaxWaveShare, minMaxWaveShare, 1):
		return "most: a share of the fleet expected"
	case !within(r.BakeMS, 0, dayMS):
		return "bake: up to a day in ms expected"
	case !within(r.MinRPCs, 0, maxMinRPCs):
		return "least: a number of RPCs expected"
	case !within(r.MaxWaveMS, max(1, r.BakeMS), weekMS):
		return "longest: at least bake, up to a week in ms expected"
	case !within(r.FalseAlarmRate, minFalseAlarmRate, maxFalseAlarmRate):
		return "alarm: a chance from 0.000001 to 0.5 expected"
	case !within(r.Margin, 0, 1):
		return "margin: a share expected"
	case r.MaxUnreachable < 0:
		return "unheard: a number of servers expected"
	}
	return ""
}
