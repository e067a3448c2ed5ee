package evidence

import (
	"math"
	"testing"
)

func TestViews(t *testing.T) {
	var o Recorder
	for i := range 40 {
		at := float64(i * 50)
		o.RecordSuccess(at, "a", 20)
		o.RecordSuccess(at, "b", 200)
		if i%10 == 0 {
			o.RecordSuccess(at, "c", 20)
		} else {
			o.RecordFailure(at, "c")
		}
	}
	o.RecordBusy(1950, "d", 60e3)
	v := o.Summaries(2000)
	if len(v) != 4 || v[0].Run != MaxRun || v[0].Age != 50 || v[0].FailureFraction != 0 {
		t.Fatalf("%+v", v)
	}
	if d := v[1].LogLatencyRatio - v[0].LogLatencyRatio; math.Abs(d-math.Log(10)) > 0.1 || v[1].LatencySamples < 10 {
		t.Errorf("b is ten times as slow as a: %+v", v)
	}
	if v[2].Run != -9 || v[2].FailureFraction < 0.85 {
		t.Errorf("c answers every tenth: %+v", v[2])
	}
	if v[3].BusyRemaining != mostBusy-50 || v[3].Run != 0 {
		t.Errorf("d is busy, no more than may be heeded: %+v", v[3])
	}
	if n, w := v[0].Attempts, o.Summaries(2000 + halfEnds)[0].Attempts; math.Abs(w-n/2) > 1e-9 {
		t.Errorf("%g, a half-life later %g", n, w)
	}
	if v := o.Summaries(2000 + 2*forget); len(v) != 0 {
		t.Errorf("long after: %+v", v)
	}
	o.Retain([]string{"a"})
	if len(o.all) != 1 {
		t.Errorf("%d are kept", len(o.all))
	}
}

func BenchmarkOK(b *testing.B) {
	var o Recorder
	b.ReportAllocs()
	names := [...]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	for i := 0; b.Loop(); i++ {
		o.RecordSuccess(float64(i)/100, names[i%4], 20)
	}
}
