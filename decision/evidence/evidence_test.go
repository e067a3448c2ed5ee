package evidence

import (
	"math"
	"testing"
)

func TestSummaries(t *testing.T) {
	var recorder Recorder
	for i := range 40 {
		at := float64(i * 50)
		recorder.RecordSuccess(at, "a", 20)
		recorder.RecordSuccess(at, "b", 200)
		if i%10 == 0 {
			recorder.RecordSuccess(at, "c", 20)
		} else {
			recorder.RecordFailure(at, "c")
		}
	}
	recorder.RecordBusy(1950, "d", 60e3)
	summaries := recorder.Summaries(2000)
	if len(summaries) != 4 || summaries[0].Run != MaxRun || summaries[0].Age != 50 || summaries[0].FailureFraction != 0 {
		t.Fatalf("summaries after 40 successes of a: got %+v", summaries)
	}
	if difference := summaries[1].LogLatencyRatio - summaries[0].LogLatencyRatio; math.Abs(difference-math.Log(10)) > 0.1 || summaries[1].LatencySamples < 10 {
		t.Errorf("latency ratios with b ten times as slow as a: got %+v", summaries)
	}
	if summaries[2].Run != -9 || summaries[2].FailureFraction < 0.85 {
		t.Errorf("summary of c, which answers one in ten: got %+v", summaries[2])
	}
	if summaries[3].BusyRemaining != maxBusy-50 || summaries[3].Run != 0 {
		t.Errorf("summary of busy d, want BusyRemaining limited by maxBusy: got %+v", summaries[3])
	}
	if before, after := summaries[0].Attempts, recorder.Summaries(2000 + failureHalfLife)[0].Attempts; math.Abs(after-before/2) > 1e-9 {
		t.Errorf("attempts: %g, a half-life later %g, want half", before, after)
	}
	if summaries := recorder.Summaries(2000 + 2*retention); len(summaries) != 0 {
		t.Errorf("summaries after twice the retention: got %+v, want none", summaries)
	}
	recorder.Retain([]string{"a"})
	if len(recorder.members) != 1 {
		t.Errorf("members after Retain of one: got %d, want 1", len(recorder.members))
	}
}

func BenchmarkRecordSuccess(b *testing.B) {
	var recorder Recorder
	b.ReportAllocs()
	names := [...]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	for i := 0; b.Loop(); i++ {
		recorder.RecordSuccess(float64(i)/100, names[i%4], 20)
	}
}
